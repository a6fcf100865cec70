//! Accepts submitted steps, each exactly once.

use std::sync::Arc;
use std::time::Duration;

use batch::Head;
use batch::Spec;
use batch::keys;
use bytes::Buf;
use http::StatusCode;
use http::request::Parts;
use kernel::Millis;
use net::Payload;
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
use crate::control::orphans;
use crate::dialect::Caller;
use crate::dialect::StepRequest;
use crate::handover;
use crate::handover::HandoverOutcome;
use crate::member;
use crate::owner;
use crate::owner::HeldSpec;
use crate::refusal::Refusal;
use crate::step_head;
use crate::step_head::CreateOutcome;
use crate::telemetry;

/// Time for which the acceptance of a step from a caller is retried after refusals by the platform, in
/// milliseconds: a busy platform accepts calls again within moments.
const CALLER_RETRY_TIME: Millis = 1_000;

/// The same for a step that another instance has handed over, in milliseconds. That instance waits a second for the
/// reply and cannot know after it whether the step is accepted.
const PEER_RETRY_TIME: Millis = 500;

/// Time reserved for sending the answer to the caller, in milliseconds.
const REPLY_MARGIN: Millis = 20;

/// Number of running steps from which an instance accepts none from others: each holds its samples in memory, and
/// each running sample takes CPU.
const MAX_STEPS_FOR_PEERS: usize = 12;

/// The outcome of submitting a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AcceptOutcome {
    /// The step is stored.
    #[serde(rename = "Kept")]
    Stored,
    /// Nothing was written, and nothing will be.
    Refused,
    /// The step is invalid.
    #[serde(rename = "Wrong")]
    Invalid,
    /// Whether the step is stored was not known in time.
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

/// A submitted step whose body is not decoded yet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// The name under which the step is stored.
    pub id: Arc<str>,
    /// The name under which a team's step is stored if it was accepted before there were teams.
    #[serde(default, rename = "former")]
    pub legacy_id: Option<Arc<str>>,
    /// The team that the step belongs to.
    pub team: Option<Arc<str>>,
    /// The host that was requested.
    pub host: Arc<str>,
    /// The path that was requested.
    pub path: Arc<str>,
    /// Time that the caller waits for the answer, in milliseconds, if the request states it.
    #[serde(rename = "left")]
    pub timeout: Option<Millis>,
    /// The body of the request.
    #[serde(with = "crate::payload_bytes")]
    pub body: Payload,
}

/// Accepts a step, here or at the instance that runs the steps of its route.
pub async fn submit(
    app: &Arc<App>,
    head: &Parts,
    caller: &Caller,
    body: Payload,
    principal: &Principal,
) -> Reply {
    if app.is_leaving() {
        return Refusal::NotExecuted.reply();
    }
    let unscoped_id = principal.unscoped_name(&caller.id);
    // Without a team, a step would be stored under a name that may be that of a team's step.
    let has_name = principal.team().is_some() || unscoped_id.is_some();
    if !keys::is_valid_name(&caller.id) || !has_name {
        return Refusal::Invalid.reply();
    }
    let submission = Submission {
        id: principal.scoped_name(&caller.id),
        legacy_id: unscoped_id.filter(|_| principal.team().is_some()),
        team: principal.team().cloned(),
        host: caller.host.clone(),
        path: head.uri.path().into(),
        timeout: caller.timeout,
        body,
    };
    if app.running_steps.get(&submission.id).is_some() {
        return AcceptOutcome::Stored.reply();
    }
    match handover::hand_over(app, &submission).await {
        HandoverOutcome::Answered(accepted) => accepted.reply(),
        HandoverOutcome::Local => accept_locally(app, submission, Origin::Caller)
            .await
            .reply(),
        HandoverOutcome::Unclear => accept_locally(app, submission, Origin::Unclear)
            .await
            .reply(),
    }
}

/// Accepts a step that another instance hands over; [`None`] when this instance declines it.
pub async fn accept_from_peer(app: &Arc<App>, submission: Submission) -> Option<AcceptOutcome> {
    if app.is_leaving()
        || app.running_steps.len() >= MAX_STEPS_FOR_PEERS
        || !keys::is_valid_name(&submission.id)
    {
        return None;
    }
    Some(accept_locally(app, submission, Origin::Peer).await)
}

/// How a step reached the instance that is to accept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// Directly from its caller.
    Caller,
    /// From its caller, and another instance that did not answer may have accepted it.
    Unclear,
    /// From another instance.
    Peer,
}

impl Origin {
    /// Returns the outcome of a step that is not accepted here.
    fn refused(self) -> AcceptOutcome {
        match self {
            Self::Unclear => AcceptOutcome::Unclear,
            Self::Caller | Self::Peer => AcceptOutcome::Refused,
        }
    }
}

/// Accepts a step at this instance.
///
/// The step is stored at the platform before the caller gets the reply that it is accepted. A refusal that promises
/// that nothing runs is given only while no write was sent that may still take effect.
async fn accept_locally(
    app: &Arc<App>,
    mut submission: Submission,
    origin: Origin,
) -> AcceptOutcome {
    let id = submission.id.clone();
    let body = std::mem::take(&mut submission.body);
    let length = body.remaining();
    // Decoding frees the body bit by bit, and the samples take no more than it did.
    let request = match app.dialect.decode_step(body) {
        Ok(request) => request,
        Err(error) => {
            let why = error.to_string();
            log::info!(target: "steps", id = &*id, why = why.as_str(); "invalid step");
            return AcceptOutcome::Invalid;
        }
    };
    if app.running_steps.get(&id).is_some() {
        return AcceptOutcome::Stored;
    }
    if !serves_model(app, &submission, &request.model) {
        // Temporary: the configuration here may be a second behind that of an instance that has the model.
        log::info!(target: "steps", id = &*id, model = &*request.model; "unknown model");
        return origin.refused();
    }
    let Some(memory) = app.uploads.reserve(length) else {
        log::info!(target: "steps", id = &*id, bytes = length; "no memory for the samples of a step");
        return origin.refused();
    };
    let (sender, receiver) = oneshot::channel();
    let head = make_head(app, &submission, &request);
    let spec = HeldSpec {
        spec: Spec {
            samples: request.samples,
        },
        memory,
    };
    // Continues when the caller disconnects: whether the step is stored must be settled.
    let task = write_step(app.clone(), id, submission.legacy_id, head, spec, origin);
    tokio::spawn(async move {
        let _ = sender.send(task.await);
    });
    let timeout_after = submission
        .timeout
        .map(|left| left.saturating_sub(REPLY_MARGIN));
    let timeout_after = timeout_after
        .map_or(WRITE_TIMEOUT, Duration::from_millis)
        .min(WRITE_TIMEOUT);
    match timeout(timeout_after, receiver).await {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(_)) | Err(_) => AcceptOutcome::Unclear,
    }
}

/// Returns whether an engine of the step's route may have the model.
fn serves_model(app: &App, submission: &Submission, model: &str) -> bool {
    let config = app.config.load();
    let Some(config) = config.as_ref() else {
        return false;
    };
    let Some(route) = config.find_route(&submission.host, &submission.path) else {
        return false;
    };
    route.services.iter().any(|share| {
        let service = config.service(&share.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.is_none_or(|engine| engine.models.iter().any(|name| &**name == model))
    })
}

fn make_head(app: &App, submission: &Submission, request: &StepRequest) -> Head {
    let samples = request.samples.iter();
    Head {
        owner: app.me.clone(),
        opened: app.clock.wall(),
        host: submission.host.clone(),
        path: submission.path.clone(),
        model: request.model.clone(),
        min_version: request.min_version,
        required_groups: request.required_groups,
        total: request.samples.len() as u32,
        work: samples
            .map(|sample| u64::from(sample.expected.max(1)))
            .sum(),
        team: submission.team.clone(),
        ended: None,
    }
}

/// Writes the step until it is known whether it is stored.
async fn write_step(
    app: Arc<App>,
    id: Arc<str>,
    legacy_id: Option<Arc<str>>,
    head: Head,
    spec: HeldSpec,
    origin: Origin,
) -> AcceptOutcome {
    let started = app.clock.now();
    let mut unclear = origin == Origin::Unclear;
    let retry_time = match origin {
        Origin::Peer => PEER_RETRY_TIME,
        Origin::Caller | Origin::Unclear => CALLER_RETRY_TIME,
    };
    if let Err(error) = member::shorten_ttl(&app).await {
        // The next check of the entry tries it again.
        let why = error.to_string();
        log::warn!(target: "steps", id = &*id, why = why.as_str(); "own entry not shortened, a crash now would be noticed late");
    }
    loop {
        let age = app.clock.now() - started;
        // Checked before each attempt: after a long pause of the process the step may have been run, ended and
        // removed.
        if age > SETTLE_TIMEOUT {
            log::warn!(target: "steps", id = &*id, took_ms = age; "outcome of the write unknown");
            return AcceptOutcome::Unclear;
        }
        let result = step_head::create(&app, &id, legacy_id.as_deref(), &head, &spec.spec).await;
        let age = app.clock.now() - started;
        match result {
            Ok(CreateOutcome::Open(ownership)) => {
                log::info!(target: "steps", id = &*id, samples = head.total, work = head.work, least = head.min_version,
                    model = &*head.model, revision = ownership.rev(), took_ms = age; "step accepted");
                metrics::counter!(telemetry::STEPS, "outcome" => "accepted").increment(1);
                owner::begin(&app, &id, head, spec, ownership);
                return AcceptOutcome::Stored;
            }
            Ok(CreateOutcome::Exists(item)) => match handle_existing(&app, &id, &item).await {
                Ok(()) => return AcceptOutcome::Stored,
                Err(error) => {
                    unclear = true;
                    log_retry(&id, &error);
                }
            },
            // Removed between the two calls: no part of it can run.
            Ok(CreateOutcome::Removed) if !unclear => return AcceptOutcome::Refused,
            Ok(CreateOutcome::Removed) => (),
            Err(error) if error.is_indeterminate() => {
                unclear = true;
                log_retry(&id, &error);
            }
            // An earlier submission may have been accepted: the platform may serve reads but no writes.
            Err(_)
                if !unclear
                    && age > retry_time
                    && is_stored(&app, &id, legacy_id.as_deref()).await =>
            {
                log::info!(target: "steps", id = &*id, took_ms = age; "step known already");
                return AcceptOutcome::Stored;
            }
            Err(error) if !unclear && age > retry_time => {
                let why = error.to_string();
                log::warn!(target: "steps", id = &*id, why = why.as_str(), took_ms = age;
                    "step refused");
                metrics::counter!(telemetry::STEPS, "outcome" => "refused").increment(1);
                return AcceptOutcome::Refused;
            }
            Err(error) => log_retry(&id, &error),
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Returns whether the platform has a step, under its name or its legacy one.
async fn is_stored(app: &App, id: &str, legacy_id: Option<&str>) -> bool {
    for name in [id].into_iter().chain(legacy_id) {
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
    log::info!(target: "steps", id, why = why.as_str(); "outcome of the write not known yet");
}

/// Handles a head that exists already: the step was submitted before, or an earlier attempt of this write took
/// effect. A step that this instance owns and does not run is taken over like one whose owner is gone: its results
/// may be listed, and it may have ended since.
async fn handle_existing(
    app: &Arc<App>,
    id: &Arc<str>,
    item: &plat::Item,
) -> Result<(), PlatError> {
    // It may have been accepted under its legacy name.
    let id = &keys::step_of_head(&item.key).map_or_else(|| id.clone(), Arc::from);
    let head = match step_head::decode_head(item) {
        Ok(head) => head,
        Err(error) => {
            let why = error.to_string();
            log::error!(target: "steps", id = &**id, why = why.as_str(); "step head is invalid");
            return Ok(());
        }
    };
    let ended = head.ended.is_some();
    let is_orphaned = head.owner == app.me && app.running_steps.get(id).is_none();
    log::info!(target: "steps", id = &**id, revision = item.rev, instance = &*head.owner.instance, ended;
        "step known already");
    if ended || !is_orphaned {
        return Ok(());
    }
    orphans::take_over(app, id, item, head).await
}
