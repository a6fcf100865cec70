//! The API of steps for trainers: open, pull and end.
//!
//! The identifier of a step contains the name of its home, the instance that opened it. Other
//! instances forward pulls to the home. If the home is unreachable, the live instance with the
//! highest rank for the step takes over: it loads the step's prompts from the platform and derives
//! all other state from the cursor in the pull. No lease is needed, because two instances that run
//! the same step waste tokens but do not violate any guarantee.

mod active;
mod sample;
mod score;
mod storage;

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
use crate::completions;
use crate::gossip;
use crate::meter;
use crate::reply;
use crate::trace::Trace;
use active::ActiveStep;
use storage::Head;

/// Maximum time that a pull waits for a sample.
const MAX_PULL_WAIT: Millis = 30_000;

/// Timeout of a request to a peer, in addition to the wait of a forwarded pull.
const PEER_TIMEOUT: Millis = 1_500;

/// Maximum number of instances that are notified of an end concurrently.
const MAX_CONCURRENT_NOTICES: usize = 32;

/// Path of the peer request that returns whether a step has ended.
pub const STEP_ENDED_PATH: &str = "/peer/step/ended";

/// Maximum number of peers that are asked concurrently whether a step has ended.
const MAX_QUERIED_PEERS: usize = 2;

/// Timeout of the query to a peer whether a step has ended. It covers a fast platform read and the
/// round trip to the peer.
const QUERY_TIMEOUT: Millis = 500;

/// Retry delay for callers while the platform is unavailable, in milliseconds.
const RETRY_AFTER: Millis = 1_000;

/// The steps that this instance runs, by identifier.
#[derive(Default)]
pub struct Steps {
    active: ShardedMap<String, Arc<ActiveStep>>,
}

impl Steps {
    /// Returns all steps that this instance runs.
    pub fn all(&self) -> Vec<Arc<ActiveStep>> {
        let mut all = Vec::new();
        self.active
            .for_each_shard(|steps| all.extend(steps.values().cloned()));
        all
    }

    /// Returns the state of a step, if this instance runs it.
    pub fn state(&self, step: &str, instance: &Name) -> Option<StepState> {
        let active = self.active.get(&step.to_owned())?;
        Some(active.state(instance))
    }

    /// Stops a step on this instance, if it runs here, and discards its state.
    pub fn stop(&self, step: &str) {
        if let Some(active) = self.active.remove(&step.to_owned()) {
            active.cancel();
        }
    }
}

/// Builds the refusal of a call of which nothing was sent to an upstream.
fn deny(kind: Type) -> Problem {
    Problem::new(kind, Attempt::new().refuse())
}

/// Serves `POST /v1/steps`.
pub async fn open(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("step-open", app.clock);
    let result = handle_open(&app, call, &mut trace).await;
    let reply = result.map(|opened| body::json(StatusCode::CREATED, &opened));
    reply::finish(&app, trace, reply)
}

async fn handle_open(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<OpenedStep, Problem> {
    let active_contract = auth::authenticate(app, &call, trace)?;
    let open: OpenStep = completions::parse_body(app, call.body, &call.inbound).await?;
    completions::engine_dispatcher(app, &active_contract, &open.model)?;
    let contract = &active_contract.stored.contract;
    let spec = Spec {
        model: open.model,
        prompts: open.groups,
        group_size: open.samples,
        max_tokens: open.max_tokens,
        max_staleness: contract.max_staleness,
    };
    let validity = spec.check();
    validity.map_err(|error| deny(Type::BadRequest).with_detail(error.to_string()))?;
    let id = format!("{}.{}", Uuid::now_v7().simple(), app.settings.me.name);
    let head = Head {
        customer: contract.customer.clone(),
        spec: spec.clone(),
        parts: 0,
    };
    let saved = storage::save(app, &id, &head).await;
    let cursor = Cursor::empty(spec.total());
    let active = start(app, &id, &active_contract, spec, &cursor, open.version)?;
    if let Err(error) = saved {
        // The step runs here nevertheless, but no other instance can take it over until it is
        // saved.
        active.note(format!("not saved at the platform: {error}"));
        storage::save_later(app, &id, head, &active);
    }
    Ok(OpenedStep {
        step: id,
        total: active.total(),
        bound: contract.max_staleness,
    })
}

/// Starts a step on this instance, or returns it if it already runs here.
fn start(
    app: &Arc<App>,
    id: &str,
    active_contract: &ActiveContract,
    spec: Spec,
    cursor: &Cursor,
    version: u64,
) -> Result<Arc<ActiveStep>, Problem> {
    let dispatcher = completions::engine_dispatcher(app, active_contract, &spec.model)?;
    let policy = kernel::plugin::find(app.settings.policy);
    let policy = policy.map_err(|error| deny(Type::Internal).with_detail(error.to_string()))?;
    let customer = active_contract.stored.contract.customer.clone();
    let run = step::Run::new(spec, policy, cursor, version);
    let created = ActiveStep::new(id, customer, run, dispatcher, app.clock);
    let key = id.to_owned();
    let active = app.steps.active.with_shard(&key, |steps| {
        steps
            .entry(key.clone())
            .or_insert_with(|| created.clone())
            .clone()
    });
    // Of two pulls that take a step over concurrently, only one inserts it.
    if Arc::ptr_eq(&active, &created) {
        created.note(format!(
            "started at {} with a cursor of {} held samples",
            app.settings.me.name,
            cursor.count()
        ));
        created.start(app, active_contract.stored.contract.concurrency);
    }
    Ok(active)
}

/// Serves `POST /v1/steps/{step}/pull`.
pub async fn pull(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("step-pull", app.clock);
    let result = handle_pull(&app, call, &mut trace).await;
    let reply = result.map(|batch| body::json(StatusCode::OK, &batch));
    reply::finish(&app, trace, reply)
}

async fn handle_pull(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<Batch, Problem> {
    let active_contract = auth::authenticate(app, &call, trace)?;
    let step = call.segment(2).to_owned();
    let pull: PullRequest = completions::parse_body(app, call.body, &call.inbound).await?;
    let customer = active_contract.stored.contract.customer.clone();
    let mut message = StepPull {
        step,
        customer,
        pull,
    };
    message.pull.wait_ms = message.pull.wait_ms.min(MAX_PULL_WAIT);
    for member in candidates(app, &message.step) {
        if member.name == app.settings.me.name {
            return pull_local(app, &message).await;
        }
        let timeout = Duration::from_millis(message.pull.wait_ms + PEER_TIMEOUT);
        let path = peer::STEP_PULL;
        match gossip::exchange(app, member.addr, path, &message, timeout).await {
            Ok(StepPulled::Batch(batch)) => return Ok(batch),
            Ok(StepPulled::Refused(problem)) => return Err(problem),
            Err(error) => trace.note(format!("pull forwarded to {}: {error}", member.name)),
        }
    }
    pull_local(app, &message).await
}

/// Returns the live instances that a pull is forwarded to, in order: the step's home, then the
/// other instances by rank.
fn candidates(app: &App, step: &str) -> Vec<Member> {
    let home = step.split_once('.').map_or("", |(_, home)| home);
    let view = app.view.lock();
    let mut live: Vec<_> = view.live().cloned().collect();
    drop(view);
    live.sort_by_key(|member| {
        let is_other = *member.name != *home;
        (
            is_other,
            std::cmp::Reverse(kernel::rendezvous_rank(&member.name, step)),
        )
    });
    // One candidate besides the home is enough: if neither answers, this instance takes over the
    // step itself.
    live.truncate(2);
    live
}

/// Serves a pull on this instance, which takes over the step if it does not run here yet.
async fn pull_local(app: &Arc<App>, message: &StepPull) -> Result<Batch, Problem> {
    let active = match app.steps.active.get(&message.step) {
        Some(active) => active,
        None => take_over(app, message).await?,
    };
    if *active.customer() != message.customer || active.is_cancelled() {
        return Err(deny(Type::NotFound).with_detail("step"));
    }
    let cursor = Cursor::parse(&message.pull.cursor, active.total());
    let cursor = cursor.map_err(|error| deny(Type::BadRequest).with_detail(error.to_string()))?;
    let batch = active.pull(&cursor, &message.pull).await;
    if active.is_cancelled() {
        return Err(deny(Type::NotFound).with_detail("step"));
    }
    count_delivered(app, &message.customer, batch.samples.len());
    Ok(batch)
}

fn count_delivered(app: &App, customer: &Name, samples: usize) {
    let instance = app.settings.me.name.to_string();
    let customer = customer.to_string();
    metrics::counter!(meter::DELIVERED_SAMPLES, "instance" => instance, "customer" => customer)
        .increment(samples as u64);
}

/// Takes over a step that another instance ran.
async fn take_over(app: &Arc<App>, message: &StepPull) -> Result<Arc<ActiveStep>, Problem> {
    let head = match storage::load(app, &message.step).await {
        Ok(Some(head)) => head,
        Ok(None) => return Err(deny(Type::NotFound).with_detail("step")),
        Err(error) => {
            let problem = deny(Type::Platform).with_detail(error.to_string());
            return Err(problem.retry_after(RETRY_AFTER));
        }
    };
    if head.customer != message.customer {
        return Err(deny(Type::NotFound).with_detail("step"));
    }
    let active_contract = app.contracts.read().by_name(&head.customer).cloned();
    let active_contract = active_contract.ok_or_else(|| deny(Type::Unauthorized))?;
    let total = head.spec.total();
    let cursor = Cursor::parse(&message.pull.cursor, total);
    let cursor = cursor.map_err(|error| deny(Type::BadRequest).with_detail(error.to_string()))?;
    let version = message.pull.version;
    start(
        app,
        &message.step,
        &active_contract,
        head.spec,
        &cursor,
        version,
    )
}

/// Serves `DELETE /v1/steps/{step}`.
pub async fn end(app: Arc<App>, call: Call) -> Reply {
    let mut trace = Trace::begin("step-end", app.clock);
    let result = handle_end(&app, call, &mut trace).await;
    let reply = result.map(|()| {
        let mut reply = Reply::default();
        *reply.status_mut() = StatusCode::NO_CONTENT;
        reply
    });
    reply::finish(&app, trace, reply)
}

async fn handle_end(app: &Arc<App>, call: Call, trace: &mut Trace) -> Result<(), Problem> {
    let active_contract = auth::authenticate(app, &call, trace)?;
    let customer = active_contract.stored.contract.customer.clone();
    let step = call.segment(2).to_owned();
    let message = StepEnd { step, customer };
    let was_running = end_everywhere(app, &message).await;
    match storage::end(app, &message.step, &message.customer, was_running).await {
        Ok(true) => Ok(()),
        Ok(false) => Err(deny(Type::NotFound).with_detail("step")),
        // An end that is not stored at the platform is not acknowledged, because another instance
        // could still start the step again.
        Err(error) => {
            let problem = Problem::new(Type::Platform, Ran::Unknown);
            Err(problem
                .with_detail(error.to_string())
                .retry_after(RETRY_AFTER))
        }
    }
}

/// Stops a step on every live instance. Returns whether any of them ran it.
async fn end_everywhere(app: &Arc<App>, message: &StepEnd) -> bool {
    let mut was_running = end_local(app, message);
    let mut others: Vec<_> = app.view.lock().live().cloned().collect();
    others.retain(|member| member.name != app.settings.me.name);
    for chunk in others.chunks(MAX_CONCURRENT_NOTICES) {
        let notices = chunk.iter().map(|member| notify_end(app, member, message));
        was_running |= join_all(notices).await.contains(&true);
    }
    was_running
}

async fn notify_end(app: &App, member: &Member, message: &StepEnd) -> bool {
    let timeout = Duration::from_millis(PEER_TIMEOUT);
    let reply = gossip::exchange(app, member.addr, peer::STEP_END, message, timeout).await;
    reply.unwrap_or(false)
}

/// Stops a step that its customer ends. Returns whether this instance ran it.
pub fn end_local(app: &Arc<App>, message: &StepEnd) -> bool {
    let active = app.steps.active.get(&message.step);
    let Some(active) = active.filter(|active| *active.customer() == message.customer) else {
        return false;
    };
    if active.cancel() {
        active.note("ended".into());
        storage::end_later(app, active);
    }
    true
}

/// Returns whether a step has ended, as stored at the platform. With `with_peers`, peers read it as
/// well, in case the platform is unreachable from this instance only; the first answer counts.
async fn has_ended(
    app: &App,
    step: &str,
    customer: &Name,
    with_peers: bool,
) -> Result<bool, PlatError> {
    let local = storage::is_ended(app, step, customer);
    if !with_peers {
        return local.await;
    }
    let mut failure = PlatError::NoAnswer;
    let local = async { local.await.map_err(|error| failure = error) };
    let message = StepEnd {
        step: step.to_owned(),
        customer: customer.clone(),
    };
    tokio::select! {
        Ok(ended) = local => return Ok(ended),
        Some(ended) = query_peers(app, &message) => return Ok(ended),
        else => (),
    }
    Err(failure)
}

/// Asks peers to read the end of a step from the platform. Returns the first answer, or [`None`] if
/// no peer gets one.
async fn query_peers(app: &App, message: &StepEnd) -> Option<bool> {
    let queries = peers_to_query(app, &message.step)
        .into_iter()
        .map(|member| {
            Box::pin(async move {
                let timeout = Duration::from_millis(QUERY_TIMEOUT);
                let ended: Option<bool> =
                    gossip::exchange(app, member.addr, STEP_ENDED_PATH, message, timeout)
                        .await
                        .ok()?;
                ended
            })
        });
    let mut queries: FuturesUnordered<_> = queries.collect();
    while let Some(ended) = queries.next().await {
        if ended.is_some() {
            return ended;
        }
    }
    None
}

/// Returns the peers to ask, those of other failure domains first: a fault that separates this
/// instance from the platform may affect its whole failure domain.
fn peers_to_query(app: &App, step: &str) -> Vec<Member> {
    let me = &app.settings.me;
    let mut live: Vec<_> = app.view.lock().live().cloned().collect();
    live.retain(|member| member.name != me.name);
    live.sort_by_key(|member| {
        let same_domain = member.domain == me.domain;
        (
            same_domain,
            std::cmp::Reverse(kernel::rendezvous_rank(&member.name, step)),
        )
    });
    live.truncate(MAX_QUERIED_PEERS);
    live
}

/// Returns whether a step has ended, for a peer; [`None`] if the platform does not answer.
pub async fn query_ended(app: &App, message: StepEnd) -> Option<bool> {
    storage::is_ended(app, &message.step, &message.customer)
        .await
        .ok()
}

/// Serves a pull that a peer forwarded.
pub async fn serve_forwarded_pull(app: &Arc<App>, message: StepPull) -> StepPulled {
    match pull_local(app, &message).await {
        Ok(batch) => StepPulled::Batch(batch),
        Err(problem) => StepPulled::Refused(problem),
    }
}
