//! Accepting a step, once.

use std::sync::Arc;
use std::time::Duration;

use batch::Head;
use batch::Spec;
use batch::keys;
use bytes::Bytes;
use http::StatusCode;
use http::request::Parts;
use kernel::Millis;
use net::Reply;
use net::body;
use plat::PlatError;
use serde::Deserialize;
use serde::Serialize;
use team::Principal;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use super::RETRY_PAUSE;
use super::SETTLE_TIMEOUT;
use super::WRITE_TIMEOUT;
use crate::App;
use crate::claim;
use crate::claim::Tried;
use crate::control::orphans;
use crate::dialect::Caller;
use crate::dialect::StepRequest;
use crate::hand;
use crate::hand::HandoverOutcome;
use crate::member;
use crate::meter;
use crate::owner;
use crate::refuse::Refusal;

/// Time for which a step that the platform turns away is tried again before the caller is turned
/// away too: a busy platform takes calls again within moments.
const CALLER_RETRY_TIME: Millis = 1_000;

/// The same for a step that another instance has handed over, which waits for a second and cannot tell after it whether the
/// step is accepted, in milliseconds.
const PEER_RETRY_TIME: Millis = 500;

/// Time kept back for the way of the answer to the caller, in milliseconds.
const REPLY_MARGIN: Millis = 20;

/// Steps beyond which an instance takes none from others: each holds its samples in memory, and
/// each running sample takes processor.
const MAX_STEPS_FOR_PEERS: usize = 12;

/// What came of submitting a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AcceptOutcome {
    /// It is kept.
    #[serde(rename = "Kept")]
    Stored,
    /// Nothing was written and nothing will be.
    Refused,
    /// It is no proper step.
    #[serde(rename = "Wrong")]
    Invalid,
    /// Whether it is kept was not known in time.
    Unclear,
}

impl AcceptOutcome {
    fn reply(self) -> Reply {
        match self {
            Self::Stored => body::reply(StatusCode::ACCEPTED, "application/json", "{}"),
            Self::Refused => Refusal::NotExecuted.reply(),
            Self::Invalid => Refusal::Invalid.reply(),
            Self::Unclear => Refusal::TimedOut.reply(),
        }
    }
}

/// A step as a caller submits it, not yet looked into.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// The name under which it is kept.
    pub id: Arc<str>,
    /// The name that a team's step has if it was accepted before there were teams.
    #[serde(default, rename = "former")]
    pub legacy_id: Option<Arc<str>>,
    /// The team that it belongs to.
    pub team: Option<Arc<str>>,
    /// The host under which it was submitted.
    pub host: Arc<str>,
    /// The path under which it was submitted.
    pub path: Arc<str>,
    /// Time that the caller waits for the answer, in milliseconds, if it says so.
    #[serde(rename = "left")]
    pub timeout: Option<Millis>,
    /// The body of the request.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Accepts a step, here or at the instance that takes the steps of its route.
pub async fn submit(
    app: &Arc<App>,
    head: &Parts,
    caller: &Caller,
    bytes: &Bytes,
    principal: &Principal,
) -> Reply {
    if app.is_leaving() {
        return Refusal::NotExecuted.reply();
    }
    if !keys::is_valid_name(&caller.id) {
        return Refusal::Invalid.reply();
    }
    let submission = Submission {
        id: principal.scoped_name(&caller.id),
        legacy_id: principal.team().map(|_| caller.id.clone()),
        team: principal.team().cloned(),
        host: caller.host.clone(),
        path: head.uri.path().into(),
        timeout: caller.timeout,
        body: bytes.to_vec(),
    };
    if app.running_steps.get(&submission.id).is_some() {
        return AcceptOutcome::Stored.reply();
    }
    match hand::hand_over(app, &submission).await {
        HandoverOutcome::Answered(accepted) => accepted.reply(),
        HandoverOutcome::Local => accept_locally(app, submission, Origin::Caller)
            .await
            .reply(),
        HandoverOutcome::Unclear => accept_locally(app, submission, Origin::Unclear)
            .await
            .reply(),
    }
}

/// Accepts a step that another instance hands over; [`None`] when that one had better take it.
pub async fn accept_from_peer(app: &Arc<App>, submission: Submission) -> Option<AcceptOutcome> {
    if app.is_leaving()
        || app.running_steps.len() >= MAX_STEPS_FOR_PEERS
        || !keys::is_valid_name(&submission.id)
    {
        return None;
    }
    Some(accept_locally(app, submission, Origin::Peer).await)
}

/// How a step came to the instance that is to accept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// From its caller.
    Caller,
    /// From its caller, and another instance that did not answer may have accepted it.
    Unclear,
    /// From another instance.
    Peer,
}

/// Accepts a step here.
///
/// The step is at the platform before the caller hears that it is accepted. A refusal that
/// promises that nothing runs is given only while no write was sent that may yet take effect.
async fn accept_locally(app: &Arc<App>, submission: Submission, origin: Origin) -> AcceptOutcome {
    let id = submission.id.clone();
    let submitted = match app.dialect.decode_step(&submission.body) {
        Ok(submitted) => submitted,
        Err(error) => {
            let why = error.to_string();
            log::info!(target: "steps", id = &*id, why = why.as_str(); "improper step");
            return AcceptOutcome::Invalid;
        }
    };
    if app.running_steps.get(&id).is_some() {
        return AcceptOutcome::Stored;
    }
    if !serves_model(app, &submission, &submitted.model) {
        // Not for good: the configuration here may be a second behind one that has the model.
        log::info!(target: "steps", id = &*id, model = &*submitted.model; "unknown model");
        return match origin {
            Origin::Unclear => AcceptOutcome::Unclear,
            Origin::Caller | Origin::Peer => AcceptOutcome::Refused,
        };
    }
    let (sender, receiver) = oneshot::channel();
    let record = make_head(app, &submission, &submitted);
    let spec = Spec {
        samples: submitted.samples,
    };
    // Goes on when the caller leaves: whether the step was kept must become known.
    let task = write_step(app.clone(), id, submission.legacy_id, record, spec, origin);
    tokio::spawn(async move {
        let _ = sender.send(task.await);
    });
    let wait = submission
        .timeout
        .map(|left| left.saturating_sub(REPLY_MARGIN));
    let wait = wait
        .map_or(WRITE_TIMEOUT, Duration::from_millis)
        .min(WRITE_TIMEOUT);
    match timeout(wait, receiver).await {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(_)) | Err(_) => AcceptOutcome::Unclear,
    }
}

/// Tells whether an engine of the step's route may have the model.
fn serves_model(app: &App, submission: &Submission, model: &str) -> bool {
    let plan = app.config.load();
    let Some(plan) = plan.as_ref() else {
        return false;
    };
    let Some(route) = plan.find_route(&submission.host, &submission.path) else {
        return false;
    };
    route.services.iter().any(|share| {
        let service = plan.service(&share.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.is_none_or(|engine| engine.models.iter().any(|name| &**name == model))
    })
}

fn make_head(app: &App, submission: &Submission, submitted: &StepRequest) -> Head {
    let samples = submitted.samples.iter();
    Head {
        owner: app.me.clone(),
        opened: app.clock.wall(),
        host: submission.host.clone(),
        path: submission.path.clone(),
        model: submitted.model.clone(),
        min_version: submitted.min_version,
        required_groups: submitted.required_groups,
        total: submitted.samples.len() as u32,
        work: samples.map(|one| u64::from(one.expected.max(1))).sum(),
        team: submission.team.clone(),
        ended: None,
    }
}

/// Writes the step until it is known whether it is kept.
async fn write_step(
    app: Arc<App>,
    id: Arc<str>,
    former: Option<Arc<str>>,
    head: Head,
    spec: Spec,
    origin: Origin,
) -> AcceptOutcome {
    let since = app.clock.now();
    let mut unclear = origin == Origin::Unclear;
    let patience = match origin {
        Origin::Peer => PEER_RETRY_TIME,
        Origin::Caller | Origin::Unclear => CALLER_RETRY_TIME,
    };
    if let Err(error) = member::shorten_ttl(&app).await {
        // It is tried again with the next look at the entry.
        let why = error.to_string();
        log::warn!(target: "steps", id = &*id, why = why.as_str(); "missed late if killed now");
    }
    loop {
        let age = app.clock.now() - since;
        // Looked at before each try: after a long pause of the process the step may have been run, ended and removed.
        if age > SETTLE_TIMEOUT {
            log::warn!(target: "steps", id = &*id, took_ms = age; "step unclear");
            return AcceptOutcome::Unclear;
        }
        let tried = claim::accept(&app, &id, former.as_deref(), &head, &spec).await;
        let age = app.clock.now() - since;
        match tried {
            Ok(Tried::Open(open)) => {
                log::info!(target: "steps", id = &*id, samples = head.total, work = head.work, least = head.min_version,
                    model = &*head.model, revision = open.rev(), took_ms = age; "step accepted");
                metrics::counter!(meter::STEPS, "outcome" => "accepted").increment(1);
                owner::begin(&app, &id, head, spec, open);
                return AcceptOutcome::Stored;
            }
            Ok(Tried::Known(item)) => match handle_known(&app, &id, &item).await {
                Ok(()) => return AcceptOutcome::Stored,
                Err(error) => {
                    unclear = true;
                    log_retry(&id, &error);
                }
            },
            // Removed between the two calls: nothing of it can run.
            Ok(Tried::Gone) if !unclear => return AcceptOutcome::Refused,
            Ok(Tried::Gone) => (),
            Err(error) if error.is_indeterminate() => {
                unclear = true;
                log_retry(&id, &error);
            }
            // It may have been accepted when it came before: the platform may show that, and take no writes.
            Err(_)
                if !unclear && age > patience && is_stored(&app, &id, former.as_deref()).await =>
            {
                log::info!(target: "steps", id = &*id, took_ms = age; "step known already");
                return AcceptOutcome::Stored;
            }
            Err(error) if !unclear && age > patience => {
                let why = error.to_string();
                log::warn!(target: "steps", id = &*id, why = why.as_str(), took_ms = age;
                    "step refused");
                metrics::counter!(meter::STEPS, "outcome" => "refused").increment(1);
                return AcceptOutcome::Refused;
            }
            Err(error) => log_retry(&id, &error),
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Tells whether the platform shows a step, under its name or a former one.
async fn is_stored(app: &App, id: &str, former: Option<&str>) -> bool {
    for name in [id].into_iter().chain(former) {
        match app.plat.get(&keys::head(name)).await {
            Ok(Some(_)) => return true,
            Ok(None) => (),
            Err(error) => log_retry(id, &error),
        }
    }
    false
}

fn log_retry(id: &str, error: &PlatError) {
    let why = error.to_string();
    log::info!(target: "steps", id, why = why.as_str(); "step not settled yet");
}

/// A head is there already: the step was submitted before, or an earlier try of this one took effect. What is this
/// instance's and is not run here is taken up like a step whose owner is gone: its results may be
/// listed, and it may have ended since.
async fn handle_known(app: &Arc<App>, id: &Arc<str>, item: &plat::Item) -> Result<(), PlatError> {
    // It may have been accepted under its former name.
    let id = &keys::step_of_head(&item.key).map_or_else(|| id.clone(), Arc::from);
    let head = match claim::read(item) {
        Ok(head) => head,
        Err(error) => {
            let why = error.to_string();
            log::error!(target: "steps", id = &**id, why = why.as_str(); "head not understood");
            return Ok(());
        }
    };
    let ended = head.ended.is_some();
    let left = head.owner == app.me && app.running_steps.get(id).is_none();
    log::info!(target: "steps", id = &**id, revision = item.rev, instance = &*head.owner.instance, ended;
        "step known already");
    if ended || !left {
        return Ok(());
    }
    orphans::take_over(app, id, item, head).await
}
