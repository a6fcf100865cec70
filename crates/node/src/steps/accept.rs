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

use super::ACCEPT;
use super::PAUSE;
use super::SETTLE;
use crate::App;
use crate::control::orphans;
use crate::dialect::Caller;
use crate::dialect::Submitted;
use crate::hand;
use crate::hand::Over;
use crate::member;
use crate::meter;
use crate::owner;
use crate::refuse::Refusal;
use crate::step_head;
use crate::step_head::AcceptOutcome;

/// Time for which a step that the platform turns away is tried again before the caller is turned
/// away too: a busy platform takes calls again within moments.
const PATIENCE: Millis = 1_000;

/// The same for a step that another instance has handed over, which waits for a second and cannot tell after it whether the
/// step is accepted, in milliseconds.
const HANDED: Millis = 500;

/// Time kept back for the way of the answer to the caller, in milliseconds.
const WAY: Millis = 20;

/// Steps beyond which an instance takes none from others: each holds its samples in memory, and
/// each running sample takes processor.
const MOST: usize = 12;

/// What came of submitting a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Accepted {
    /// It is kept.
    Kept,
    /// Nothing was written and nothing will be.
    Refused,
    /// It is no proper step.
    Wrong,
    /// Whether it is kept was not known in time.
    Unclear,
}

impl Accepted {
    fn reply(self) -> Reply {
        match self {
            Self::Kept => body::reply(StatusCode::ACCEPTED, "application/json", "{}"),
            Self::Refused => Refusal::Unrun.reply(),
            Self::Wrong => Refusal::Wrong.reply(),
            Self::Unclear => Refusal::Late.reply(),
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
    #[serde(default)]
    pub former: Option<Arc<str>>,
    /// The team that it belongs to.
    pub team: Option<Arc<str>>,
    /// The host under which it was submitted.
    pub host: Arc<str>,
    /// The path under which it was submitted.
    pub path: Arc<str>,
    /// Time that the caller waits for the answer, in milliseconds, if it says so.
    pub left: Option<Millis>,
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
        return Refusal::Unrun.reply();
    }
    if !keys::is_valid_name(&caller.id) {
        return Refusal::Wrong.reply();
    }
    let submission = Submission {
        id: principal.scoped_name(&caller.id),
        former: principal.team().map(|_| caller.id.clone()),
        team: principal.team().cloned(),
        host: caller.host.clone(),
        path: head.uri.path().into(),
        left: caller.deadline,
        body: bytes.to_vec(),
    };
    if app.works.get(&submission.id).is_some() {
        return Accepted::Kept.reply();
    }
    match hand::over(app, &submission).await {
        Over::Answered(accepted) => accepted.reply(),
        Over::Here => take(app, submission, Origin::Caller).await.reply(),
        Over::Unclear => take(app, submission, Origin::Unclear).await.reply(),
    }
}

/// Accepts a step that another instance hands over; [`None`] when that one had better take it.
pub async fn handed(app: &Arc<App>, submission: Submission) -> Option<Accepted> {
    if app.is_leaving() || app.works.len() >= MOST || !keys::is_valid_name(&submission.id) {
        return None;
    }
    Some(take(app, submission, Origin::Peer).await)
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
async fn take(app: &Arc<App>, submission: Submission, origin: Origin) -> Accepted {
    let id = submission.id.clone();
    let submitted = match app.dialect.submitted(&submission.body) {
        Ok(submitted) => submitted,
        Err(error) => {
            let why = error.to_string();
            log::info!(target: "steps", id = &*id, why = why.as_str(); "improper step");
            return Accepted::Wrong;
        }
    };
    if app.works.get(&id).is_some() {
        return Accepted::Kept;
    }
    if !serves(app, &submission, &submitted.model) {
        // Not for good: the configuration here may be a second behind one that has the model.
        log::info!(target: "steps", id = &*id, model = &*submitted.model; "unknown model");
        return match origin {
            Origin::Unclear => Accepted::Unclear,
            Origin::Caller | Origin::Peer => Accepted::Refused,
        };
    }
    let (sender, receiver) = oneshot::channel();
    let record = make_head(app, &submission, &submitted);
    let spec = Spec {
        samples: submitted.samples,
    };
    // Goes on when the caller leaves: whether the step was kept must become known.
    let task = accept(app.clone(), id, submission.former, record, spec, origin);
    tokio::spawn(async move {
        let _ = sender.send(task.await);
    });
    let wait = submission.left.map(|left| left.saturating_sub(WAY));
    let wait = wait.map_or(ACCEPT, Duration::from_millis).min(ACCEPT);
    match timeout(wait, receiver).await {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(_)) | Err(_) => Accepted::Unclear,
    }
}

/// Tells whether an engine of the step's route may have the model.
fn serves(app: &App, submission: &Submission, model: &str) -> bool {
    let plan = app.plan.load();
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

fn make_head(app: &App, submission: &Submission, submitted: &Submitted) -> Head {
    let samples = submitted.samples.iter();
    Head {
        owner: app.me.clone(),
        opened: app.clock.wall(),
        host: submission.host.clone(),
        path: submission.path.clone(),
        model: submitted.model.clone(),
        min_version: submitted.least,
        required_groups: submitted.wanted,
        total: submitted.samples.len() as u32,
        work: samples.map(|one| u64::from(one.expected.max(1))).sum(),
        team: submission.team.clone(),
        ended: None,
    }
}

/// Writes the step until it is known whether it is kept.
async fn accept(
    app: Arc<App>,
    id: Arc<str>,
    former: Option<Arc<str>>,
    head: Head,
    spec: Spec,
    origin: Origin,
) -> Accepted {
    let since = app.clock.now();
    let mut unclear = origin == Origin::Unclear;
    let patience = match origin {
        Origin::Peer => HANDED,
        Origin::Caller | Origin::Unclear => PATIENCE,
    };
    if let Err(error) = member::shorten(&app).await {
        // It is tried again with the next look at the entry.
        let why = error.to_string();
        log::warn!(target: "steps", id = &*id, why = why.as_str(); "missed late if killed now");
    }
    loop {
        let age = app.clock.now() - since;
        // Looked at before each try: after a long pause of the process the step may have been run, ended and removed.
        if age > SETTLE {
            log::warn!(target: "steps", id = &*id, took_ms = age; "step unclear");
            return Accepted::Unclear;
        }
        let tried = step_head::accept(&app, &id, former.as_deref(), &head, &spec).await;
        let age = app.clock.now() - since;
        match tried {
            Ok(AcceptOutcome::Open(open)) => {
                log::info!(target: "steps", id = &*id, samples = head.total, work = head.work, least = head.min_version,
                    model = &*head.model, revision = open.rev(), took_ms = age; "step accepted");
                metrics::counter!(meter::STEPS, "outcome" => "accepted").increment(1);
                owner::begin(&app, &id, head, spec, open);
                return Accepted::Kept;
            }
            Ok(AcceptOutcome::Exists(item)) => match known(&app, &id, &item).await {
                Ok(()) => return Accepted::Kept,
                Err(error) => {
                    unclear = true;
                    tell(&id, &error);
                }
            },
            // Removed between the two calls: nothing of it can run.
            Ok(AcceptOutcome::Removed) if !unclear => return Accepted::Refused,
            Ok(AcceptOutcome::Removed) => (),
            Err(error) if error.is_indeterminate() => {
                unclear = true;
                tell(&id, &error);
            }
            // It may have been accepted when it came before: the platform may show that, and take no writes.
            Err(_)
                if !unclear && age > patience && is_there(&app, &id, former.as_deref()).await =>
            {
                log::info!(target: "steps", id = &*id, took_ms = age; "step known already");
                return Accepted::Kept;
            }
            Err(error) if !unclear && age > patience => {
                let why = error.to_string();
                log::warn!(target: "steps", id = &*id, why = why.as_str(), took_ms = age;
                    "step refused");
                metrics::counter!(meter::STEPS, "outcome" => "refused").increment(1);
                return Accepted::Refused;
            }
            Err(error) => tell(&id, &error),
        }
        sleep(PAUSE).await;
    }
}

/// Tells whether the platform shows a step, under its name or a former one.
async fn is_there(app: &App, id: &str, former: Option<&str>) -> bool {
    for name in [id].into_iter().chain(former) {
        match app.plat.get(&keys::head(name)).await {
            Ok(Some(_)) => return true,
            Ok(None) => (),
            Err(error) => tell(id, &error),
        }
    }
    false
}

fn tell(id: &str, error: &PlatError) {
    let why = error.to_string();
    log::info!(target: "steps", id, why = why.as_str(); "step not settled yet");
}

/// A head is there already: the step was submitted before, or an earlier try of this one took effect. What is this
/// instance's and is not run here is taken up like a step whose owner is gone: its results may be
/// listed, and it may have ended since.
async fn known(app: &Arc<App>, id: &Arc<str>, item: &plat::Item) -> Result<(), PlatError> {
    // It may have been accepted under its former name.
    let id = &keys::step_of_head(&item.key).map_or_else(|| id.clone(), Arc::from);
    let head = match step_head::decode_head(item) {
        Ok(head) => head,
        Err(error) => {
            let why = error.to_string();
            log::error!(target: "steps", id = &**id, why = why.as_str(); "head not understood");
            return Ok(());
        }
    };
    let ended = head.ended.is_some();
    let left = head.owner == app.me && app.works.get(id).is_none();
    log::info!(target: "steps", id = &**id, revision = item.rev, instance = &*head.owner.instance, ended;
        "step known already");
    if ended || !left {
        return Ok(());
    }
    orphans::take_over(app, id, item, head).await
}
