//! Steps, as trainers meet them: opening, pulling, ending.
//!
//! The identifier of a step names its home, the instance that it was opened at. A pull that comes
//! to another instance is passed on there. When the home cannot be reached, the live instance
//! with the highest rank for the step takes it over: it reads the step's prompts from the
//! platform, and everything else from the cursor that the trainer sends. Two instances that both
//! work on a step waste tokens and break no promise, so no lease is taken.

mod ledger;
mod sample;
mod score;
mod work;

use std::sync::Arc;
use std::time::Duration;

use contract::registry::ActiveContract;
use fleet::Member;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use kernel::Millis;
use kernel::Name;
use kernel::ShardedMap;
use net::Call;
use net::Reply;
use net::body;
use plat::PlatError;
use route::Attempt;
use route::Ran;
use step::Cursor;
use step::Spec;
use uuid::Uuid;
use wire::Problem;
use wire::caller::Batch;
use wire::caller::OpenStep;
use wire::caller::OpenedStep;
use wire::caller::PullRequest;
use wire::caller::StepState;
use wire::peer;
use wire::peer::StepEnd;
use wire::peer::StepPull;
use wire::peer::StepPulled;
use wire::problem::Type;

use crate::App;
use crate::auth;
use crate::complete;
use crate::gossip;
use crate::meter;
use crate::reply;
use crate::trace::Trace;
use ledger::Head;
use work::Work;

/// Longest time that a pull waits for a sample.
const WAIT: Millis = 30_000;

/// Time beyond a pull's own wait that a peer has to answer it.
const RELAY: Millis = 1_500;

/// Instances that are told of an end at the same time.
const TOLD: usize = 32;

/// Path at which peers are asked whether a step has ended.
pub const ASKED: &str = "/peer/step/ended";

/// Peers that are asked at the same time.
const HELPERS: usize = 2;

/// Time that a peer has to say whether a step has ended: a quick answer of the platform and the way.
const HELP: Millis = 500;

/// When to come back when a step cannot be worked on now, in milliseconds.
const LATER: Millis = 1_000;

/// The steps that this instance works on.
#[derive(Default)]
pub struct Steps {
    works: ShardedMap<String, Arc<Work>>,
}

impl Steps {
    /// The steps that this instance works on.
    pub fn all(&self) -> Vec<Arc<Work>> {
        let mut all = Vec::new();
        self.works
            .for_each_shard(|works| all.extend(works.values().cloned()));
        all
    }

    /// How a step stands here, if this instance works on it.
    pub fn state(&self, step: &str, instance: &Name) -> Option<StepState> {
        let work = self.works.get(&step.to_owned())?;
        Some(work.state(instance))
    }

    /// Stops working on a step.
    pub fn stop(&self, step: &str) {
        if let Some(work) = self.works.remove(&step.to_owned()) {
            work.cancel();
        }
    }
}

fn no(kind: Type) -> Problem {
    Problem::new(kind, Attempt::new().refuse())
}

/// Serves `POST /v1/steps`.
pub async fn open(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("step-open", app.clock);
    let result = opened(&app, call, &mut trace).await;
    let reply = result.map(|opened| body::json(StatusCode::CREATED, &opened));
    reply::finish(&app, trace, reply)
}

async fn opened(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<OpenedStep, Problem> {
    let held = auth::authenticate(app, &call, trace)?;
    let open: OpenStep = complete::parse(app, call.body).await?;
    complete::model(app, &held, &open.model)?;
    let contract = &held.stored.contract;
    let spec = Spec {
        model: open.model,
        prompts: open.groups,
        group_size: open.samples,
        max_tokens: open.max_tokens,
        max_staleness: contract.max_staleness,
    };
    let checked = spec.check();
    checked.map_err(|error| no(Type::BadRequest).with_detail(error.to_string()))?;
    let id = format!("{}.{}", Uuid::now_v7().simple(), app.settings.me.name);
    let head = Head {
        customer: contract.customer.clone(),
        spec: spec.clone(),
        parts: 0,
    };
    let saved = ledger::save(app, &id, &head).await;
    let cursor = Cursor::empty(spec.total());
    let work = begin(app, &id, &held, spec, &cursor, open.version)?;
    if let Err(error) = saved {
        // The step goes on here; what is lost is that another instance could take it over.
        work.note(format!("not saved at the platform: {error}"));
        ledger::save_later(app, &id, head, &work);
    }
    Ok(OpenedStep {
        step: id,
        total: work.total(),
        bound: contract.max_staleness,
    })
}

fn begin(
    app: &Arc<App>,
    id: &str,
    held: &ActiveContract,
    spec: Spec,
    cursor: &Cursor,
    version: u64,
) -> Result<Arc<Work>, Problem> {
    let dispatcher = complete::model(app, held, &spec.model)?;
    let policy = kernel::plugin::find(app.settings.policy);
    let policy = policy.map_err(|error| no(Type::Internal).with_detail(error.to_string()))?;
    let customer = held.stored.contract.customer.clone();
    let run = step::Run::new(spec, policy, cursor, version);
    let work = Work::new(id, customer, run, dispatcher, app.clock);
    let key = id.to_owned();
    let kept = app.steps.works.with_shard(&key, |works| {
        works
            .entry(key.clone())
            .or_insert_with(|| work.clone())
            .clone()
    });
    // Of two pulls that take a step over at once, one finds the other's work.
    if Arc::ptr_eq(&kept, &work) {
        work.note(format!(
            "begun at {} with cursor of {} held",
            app.settings.me.name,
            cursor.count()
        ));
        work.begin(app, held.stored.contract.concurrency);
    }
    Ok(kept)
}

/// Serves `POST /v1/steps/{step}/pull`.
pub async fn pull(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("step-pull", app.clock);
    let result = pulled(&app, call, &mut trace).await;
    let reply = result.map(|batch| body::json(StatusCode::OK, &batch));
    reply::finish(&app, trace, reply)
}

async fn pulled(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<Batch, Problem> {
    let held = auth::authenticate(app, &call, trace)?;
    let step = call.segment(2).to_owned();
    let pull: PullRequest = complete::parse(app, call.body).await?;
    let customer = held.stored.contract.customer.clone();
    let mut message = StepPull {
        step,
        customer,
        pull,
    };
    message.pull.wait_ms = message.pull.wait_ms.min(WAIT);
    for member in runners(app, &message.step) {
        if member.name == app.settings.me.name {
            return here(app, &message).await;
        }
        let limit = Duration::from_millis(message.pull.wait_ms + RELAY);
        let path = peer::STEP_PULL;
        match gossip::exchange(app, member.addr, path, &message, limit).await {
            Ok(StepPulled::Batch(batch)) => return Ok(batch),
            Ok(StepPulled::Refused(problem)) => return Err(problem),
            Err(error) => trace.note(format!("step at {}: {error}", member.name)),
        }
    }
    here(app, &message).await
}

/// Who works on a step, in the order in which to ask: its home if it is live, then the other live
/// instances by rank.
fn runners(app: &App, step: &str) -> Vec<Member> {
    let home = step.split_once('.').map_or("", |(_, home)| home);
    let view = app.view.lock();
    let mut live: Vec<_> = view.live().cloned().collect();
    drop(view);
    live.sort_by_key(|member| {
        let away = *member.name != *home;
        (
            away,
            std::cmp::Reverse(kernel::rendezvous_rank(&member.name, step)),
        )
    });
    // One after the home is enough: if that one is gone as well, this instance takes the step.
    live.truncate(2);
    live
}

/// Answers a pull on this instance, which takes the step over if it has to.
async fn here(app: &Arc<App>, message: &StepPull) -> Result<Batch, Problem> {
    let work = match app.steps.works.get(&message.step) {
        Some(work) => work,
        None => adopt(app, message).await?,
    };
    if *work.customer() != message.customer || work.is_cancelled() {
        return Err(no(Type::NotFound).with_detail("step"));
    }
    let cursor = Cursor::parse(&message.pull.cursor, work.total());
    let cursor = cursor.map_err(|error| no(Type::BadRequest).with_detail(error.to_string()))?;
    let batch = work.pull(&cursor, &message.pull).await;
    if work.is_cancelled() {
        return Err(no(Type::NotFound).with_detail("step"));
    }
    count(app, &message.customer, batch.samples.len());
    Ok(batch)
}

fn count(app: &App, customer: &Name, samples: usize) {
    let instance = app.settings.me.name.to_string();
    let customer = customer.to_string();
    metrics::counter!(meter::DELIVERED_SAMPLES, "instance" => instance, "customer" => customer)
        .increment(samples as u64);
}

/// Takes over a step that another instance worked on.
async fn adopt(app: &Arc<App>, message: &StepPull) -> Result<Arc<Work>, Problem> {
    let head = match ledger::load(app, &message.step).await {
        Ok(Some(head)) => head,
        Ok(None) => return Err(no(Type::NotFound).with_detail("step")),
        Err(error) => {
            let problem = no(Type::Platform).with_detail(error.to_string());
            return Err(problem.retry_after(LATER));
        }
    };
    if head.customer != message.customer {
        return Err(no(Type::NotFound).with_detail("step"));
    }
    let held = app.contracts.read().by_name(&head.customer).cloned();
    let held = held.ok_or_else(|| no(Type::Unauthorized))?;
    let total = head.spec.total();
    let cursor = Cursor::parse(&message.pull.cursor, total);
    let cursor = cursor.map_err(|error| no(Type::BadRequest).with_detail(error.to_string()))?;
    let version = message.pull.version;
    begin(app, &message.step, &held, head.spec, &cursor, version)
}

/// Serves `DELETE /v1/steps/{step}`.
pub async fn end(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("step-end", app.clock);
    let result = ended(&app, call, &mut trace).await;
    let reply = result.map(|()| {
        let mut reply = Reply::default();
        *reply.status_mut() = StatusCode::NO_CONTENT;
        reply
    });
    reply::finish(&app, trace, reply)
}

async fn ended(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<(), Problem> {
    let held = auth::authenticate(app, &call, trace)?;
    let customer = held.stored.contract.customer.clone();
    let step = call.segment(2).to_owned();
    let message = StepEnd { step, customer };
    let known = tell(app, &message).await;
    match ledger::end(app, &message.step, &message.customer, known).await {
        Ok(true) => Ok(()),
        Ok(false) => Err(no(Type::NotFound).with_detail("step")),
        // An end that is nowhere but in memory is not acknowledged: the step could be begun again.
        Err(error) => {
            let problem = Problem::new(Type::Platform, Ran::Unknown);
            Err(problem.with_detail(error.to_string()).retry_after(LATER))
        }
    }
}

/// Tells every live instance that a step is over; tells whether one of them works on it.
async fn tell(app: &Arc<App>, message: &StepEnd) -> bool {
    let mut known = end_here(app, message);
    let mut others: Vec<_> = app.view.lock().live().cloned().collect();
    others.retain(|member| member.name != app.settings.me.name);
    for some in others.chunks(TOLD) {
        let told = some.iter().map(|member| tell_one(app, member, message));
        known |= join_all(told).await.contains(&true);
    }
    known
}

async fn tell_one(app: &App, member: &Member, message: &StepEnd) -> bool {
    let limit = Duration::from_millis(RELAY);
    let told = gossip::exchange(app, member.addr, peer::STEP_END, message, limit).await;
    told.unwrap_or(false)
}

/// Stops working on a step that a customer ends; tells whether this instance did.
pub fn end_here(app: &Arc<App>, message: &StepEnd) -> bool {
    let work = app.steps.works.get(&message.step);
    let Some(work) = work.filter(|work| *work.customer() == message.customer) else {
        return false;
    };
    if work.cancel() {
        work.note("ended".into());
        ledger::end_later(app, work);
    }
    true
}

/// Asks the platform whether a step has ended, and peers that may reach it if this instance may not.
async fn asked(
    app: &App,
    step: &str,
    customer: &Name,
    with_peers: bool,
) -> Result<bool, PlatError> {
    let own = ledger::is_ended(app, step, customer);
    if !with_peers {
        return own.await;
    }
    let mut failed = PlatError::NoAnswer;
    let own = async { own.await.map_err(|error| failed = error) };
    let message = StepEnd {
        step: step.to_owned(),
        customer: customer.clone(),
    };
    tokio::select! {
        Ok(ended) = own => return Ok(ended),
        Some(ended) = peers_word(app, &message) => return Ok(ended),
        else => (),
    }
    Err(failed)
}

/// What the first peer that gets an answer hears of the end of a step.
async fn peers_word(app: &App, message: &StepEnd) -> Option<bool> {
    let asked = helpers(app, &message.step).into_iter().map(|member| {
        Box::pin(async move {
            let limit = Duration::from_millis(HELP);
            let heard: Option<bool> = gossip::exchange(app, member.addr, ASKED, message, limit)
                .await
                .ok()?;
            heard
        })
    });
    let mut asked: FuturesUnordered<_> = asked.collect();
    while let Some(heard) = asked.next().await {
        if heard.is_some() {
            return heard;
        }
    }
    None
}

/// The peers to ask, those of other failure domains first: what cuts one instance off from the
/// platform may cut off its whole domain.
fn helpers(app: &App, step: &str) -> Vec<Member> {
    let me = &app.settings.me;
    let mut live: Vec<_> = app.view.lock().live().cloned().collect();
    live.retain(|member| member.name != me.name);
    live.sort_by_key(|member| {
        let near = member.domain == me.domain;
        (
            near,
            std::cmp::Reverse(kernel::rendezvous_rank(&member.name, step)),
        )
    });
    live.truncate(HELPERS);
    live
}

/// Tells a peer whether a step has ended, if the platform says so.
pub async fn heard(app: &App, message: StepEnd) -> Option<bool> {
    ledger::is_ended(app, &message.step, &message.customer)
        .await
        .ok()
}

/// Serves a pull that a peer passed on.
pub async fn relayed(app: &Arc<App>, message: StepPull) -> StepPulled {
    match here(app, &message).await {
        Ok(batch) => StepPulled::Batch(batch),
        Err(problem) => StepPulled::Refused(problem),
    }
}
