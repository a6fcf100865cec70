//! Handles the requests of other instances.

use std::sync::Arc;
use std::time::Duration;

use batch::record;
use bytes::Bytes;
use gotham::helpers::http::Body;
use http::StatusCode;
use kernel::Millis;
use net::Inbound;
use net::Reply;
use net::UploadLimits;
use net::body::ReadError;
use place::LoadNotice;
use plat::Answer;
use plat::Call;
use plat::PlatError;
use spread::SyncState;
use spread::Update;
use tokio::time::Instant;

use crate::App;
use crate::engine_loads;
use crate::hint;
use crate::message::ConfirmedConfig;
use crate::message::MAX_MESSAGE_BYTES;
use crate::message::PeerReply;
use crate::message::PeerRequest;
use crate::message::RELAYED_READ_TIMEOUT;
use crate::slot_reports;
use crate::steps;
use crate::steps::accept;

/// Time within which a message has to be complete. Nobody waits longer for a reply.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles a request of another instance.
pub(crate) async fn handle(app: &Arc<App>, call: net::Call) -> Reply {
    let body = match receive(app, call.body, &call.inbound).await {
        Ok(body) => body,
        Err(ReadError::OverBudget) => return send(&PeerReply::Refused),
        Err(error) => return reject(&error),
    };
    let response = match record::decode(&body) {
        Ok(PeerRequest::Page { step, from, wait }) => {
            return page_reply(app, &step, from, wait).await;
        }
        Ok(request) => reply(app, request).await,
        Err(error) => return reject(&error),
    };
    send(&response)
}

fn send(response: &PeerReply) -> Reply {
    match record::encode(response) {
        Ok(bytes) => net::body::reply(StatusCode::OK, "application/msgpack", bytes),
        Err(error) => reject(&error),
    }
}

/// Receives a message.
async fn receive(app: &App, body: Body, inbound: &Arc<Inbound>) -> Result<Bytes, ReadError> {
    let limits = UploadLimits {
        max_bytes: MAX_MESSAGE_BYTES,
        deadline: Instant::now() + MESSAGE_TIMEOUT,
    };
    app.messages.receive_bytes(body, inbound, limits).await
}

fn reject(error: &dyn std::fmt::Display) -> Reply {
    let error = error.to_string();
    log::warn!(target: "peer", error = error.as_str(); "invalid peer request");
    net::body::reply(StatusCode::BAD_REQUEST, "text/plain", error)
}

/// Replies with results in the form that callers get, or with no content when this instance cannot confirm that it
/// still runs the step.
async fn page_reply(app: &Arc<App>, step: &Arc<str>, from: usize, wait: Millis) -> Reply {
    let page = match app.running_steps.get(step) {
        Some(owned) => owned.page(app, from, wait).await,
        None => None,
    };
    match page {
        Some(page) => page.reply(app, from),
        None => net::body::reply(StatusCode::NO_CONTENT, "text/plain", Vec::new()),
    }
}

async fn reply(app: &Arc<App>, request: PeerRequest) -> PeerReply {
    match request {
        // Handled by `page_reply`.
        PeerRequest::Page { .. } => PeerReply::Acknowledged,
        PeerRequest::Submit(submission) => {
            PeerReply::Submit(accept::accept_from_peer(app, submission).await)
        }
        PeerRequest::Body { step, sample } => {
            let owned = app.running_steps.get(&step);
            let body = owned.map(|owned| owned.sample_body(&sample));
            PeerReply::Body(body.map(|found| found.map(Vec::from)))
        }
        PeerRequest::Owner(step) => PeerReply::Owner(hint::get(app, &step)),
        PeerRequest::SetOwner { step, owner } => {
            hint::record(app, step, owner);
            PeerReply::Acknowledged
        }
        PeerRequest::Poll { state, wait } => match wait_for_update(app, state, wait).await {
            None if app.is_platform_unreachable() => PeerReply::PlatformUnreachable,
            update => PeerReply::Update(update),
        },
        PeerRequest::Relay(_) if app.plat.is_unserved() => {
            PeerReply::Relay(Err(PlatError::Unreachable))
        }
        PeerRequest::Counts { owner, snapshot } => {
            app.snapshots
                .lock()
                .update((owner.instance, owner.start), snapshot);
            PeerReply::Acknowledged
        }
        PeerRequest::WindowCounts(window) => {
            PeerReply::WindowCounts(crate::request_counts::window_counts(app, window))
        }
        PeerRequest::Ended { step, rev } => {
            steps::record_end(app, &step, rev);
            PeerReply::Acknowledged
        }
        PeerRequest::TakenOver { step, rev } => {
            if let Some(owned) = app.running_steps.get(&step) {
                owned.mark_replaced(rev);
            }
            PeerReply::Acknowledged
        }
        PeerRequest::LoadStarted {
            model,
            version,
            engines,
            duration,
        } => {
            let notice = LoadNotice {
                model,
                version,
                duration,
            };
            engine_loads::record_notice(app, &notice, &engines);
            PeerReply::Acknowledged
        }
        PeerRequest::SlotReport {
            report,
            wants_reply,
        } => PeerReply::SlotReport(slot_reports::receive(app, report, wants_reply)),
        PeerRequest::Config {
            rev,
            age,
            wanted_age,
            wait,
        } => {
            let wanted = WantedConfig {
                rev,
                age,
                wanted_age,
            };
            PeerReply::Config(wait_for_config(app, wanted, wait).await)
        }
        PeerRequest::ReachesReportAddress => PeerReply::ReachesReportAddress(
            crate::request_counts::can_reach_report_address(app).await,
        ),
        // Not relayed any further: two instances that the platform does not serve would relay to each other forever.
        PeerRequest::Relay(call) => PeerReply::Relay(app.plat.call_for_peer(&call).await),
        PeerRequest::RelayDirect(call) => PeerReply::Relay(call_with_timeout(app, &call).await),
    }
}

/// Calls the platform with a short time limit, since the requester has waited already and needs to know soon, also
/// that there is no answer.
async fn call_with_timeout(app: &App, call: &Call) -> Result<Answer, PlatError> {
    let limit = Duration::from_millis(RELAYED_READ_TIMEOUT);
    let answer = tokio::time::timeout(limit, app.plat.call_direct(call)).await;
    answer.unwrap_or(Err(PlatError::NoAnswer))
}

/// Waits up to `wait` milliseconds for an update that a follower in the given state lacks.
async fn wait_for_update(app: &App, mut state: SyncState, wait: Millis) -> Option<Update> {
    let started = app.clock.now();
    let mut changes = app.replica_changed.subscribe();
    let (age, config_age) = (state.age, state.config_age);
    let has_update = changes.wait_for(|()| {
        let now = app.clock.now();
        // The follower's state ages while it waits.
        state.age = age.map(|age| age + (now - started));
        state.config_age = config_age.map(|age| age + (now - started));
        app.replica.lock().has_more(state, now)
    });
    let result = tokio::time::timeout(Duration::from_millis(wait), has_update).await;
    // Neither timed out nor closed.
    result.ok()?.ok()?;
    let now = app.clock.now();
    let update = app.replica.lock().update_since(state, now);
    Some(Update {
        held: now - started,
        ..update
    })
}

/// What another instance has of the configuration, and what it wants.
#[derive(Clone, Copy)]
struct WantedConfig {
    /// Revision of its configuration.
    rev: i64,
    /// Time since that was last known to be the newest, in milliseconds, at the arrival of the request.
    age: Option<Millis>,
    /// Age of a confirmation that is worth waiting for, in milliseconds.
    wanted_age: Millis,
}

/// Waits up to `wait` milliseconds for the configuration that another instance wants. Returns what there is then if
/// that was confirmed more recently.
async fn wait_for_config(app: &App, wanted: WantedConfig, wait: Millis) -> Option<ConfirmedConfig> {
    let started = app.clock.now();
    let mut changes = app.replica_changed.subscribe();
    let is_wanted = changes.wait_for(|()| {
        let age = app.replica.lock().config_age(app.clock.now());
        age.is_some_and(|age| age <= wanted.wanted_age)
    });
    // What there is when the time is over may still help.
    let _ = tokio::time::timeout(Duration::from_millis(wait), is_wanted).await;
    let now = app.clock.now();
    let held = now - started;
    let replica = app.replica.lock();
    let age = replica.config_age(now)?;
    if wanted.age.is_some_and(|requester| requester + held <= age) {
        return None;
    }
    let configuration = replica.configuration().cloned();
    Some(ConfirmedConfig {
        configuration: configuration.filter(|configuration| configuration.rev > wanted.rev),
        age,
        held,
    })
}
