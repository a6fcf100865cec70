//! What an instance answers to the questions of others.

use std::sync::Arc;
use std::time::Duration;

use batch::record;
use http::StatusCode;
use kernel::Millis;
use net::Reply;
use plat::Answer;
use plat::Call;
use plat::PlatError;
use spread::SyncState;
use spread::Update;

use crate::App;
use crate::hint;
use crate::message::MAX_MESSAGE_BYTES;
use crate::message::PeerReply;
use crate::message::PeerRequest;
use crate::message::RELAYED_READ_TIMEOUT;
use crate::steps;
use crate::steps::accept;

/// Answers a question.
pub(crate) async fn handle(app: &Arc<App>, call: net::Call) -> Reply {
    let body = match net::body::read(call.body, MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(error) => return reject(&error),
    };
    let told = match record::decode(&body) {
        Ok(PeerRequest::Page { step, from, wait }) => {
            return page_reply(app, &step, from, wait).await;
        }
        Ok(ask) => reply(app, ask).await,
        Err(error) => return reject(&error),
    };
    match record::encode(&told) {
        Ok(bytes) => net::body::reply(StatusCode::OK, "application/msgpack", bytes),
        Err(error) => reject(&error),
    }
}

fn reject(error: &dyn std::fmt::Display) -> Reply {
    let error = error.to_string();
    log::warn!(target: "peer", error = error.as_str(); "improper question");
    net::body::reply(StatusCode::BAD_REQUEST, "text/plain", error)
}

/// Answers with results as they go to the caller, or with nothing when this instance is not sure of
/// them.
async fn page_reply(app: &Arc<App>, step: &Arc<str>, from: usize, wait: Millis) -> Reply {
    let page = match app.running_steps.get(step) {
        Some(work) => work.page(app, from, wait).await,
        None => None,
    };
    match page {
        Some(page) => page.reply(app, from),
        None => net::body::reply(StatusCode::NO_CONTENT, "text/plain", Vec::new()),
    }
}

async fn reply(app: &Arc<App>, ask: PeerRequest) -> PeerReply {
    match ask {
        // Answered with the results themselves.
        PeerRequest::Page { .. } => PeerReply::Acknowledged,
        PeerRequest::Submit(submission) => {
            PeerReply::Submit(accept::accept_from_peer(app, submission).await)
        }
        PeerRequest::Body { step, sample } => {
            let work = app.running_steps.get(&step);
            PeerReply::Body(work.map(|work| work.body(&sample)))
        }
        PeerRequest::Owner(step) => PeerReply::Owner(hint::get(app, &step)),
        PeerRequest::SetOwner { step, owner } => {
            hint::record(app, step, owner);
            PeerReply::Acknowledged
        }
        PeerRequest::Poll { have, wait } => match wait_for_update(app, have, wait).await {
            None if app.is_platform_unreachable() => PeerReply::PlatformUnreachable,
            news => PeerReply::Update(news),
        },
        PeerRequest::Relay(_) if app.plat.is_unserved() => {
            PeerReply::Relay(Err(PlatError::Unreachable))
        }
        PeerRequest::Counts { owner, tally } => {
            app.snapshots
                .lock()
                .update((owner.instance, owner.start), tally);
            PeerReply::Acknowledged
        }
        PeerRequest::WindowCounts(window) => {
            PeerReply::WindowCounts(crate::tally::shares(app, window))
        }
        PeerRequest::Ended { step, rev } => {
            steps::record_end(app, &step, rev);
            PeerReply::Acknowledged
        }
        PeerRequest::TakenOver { step, rev } => {
            if let Some(work) = app.running_steps.get(&step) {
                work.replaced(rev);
            }
            PeerReply::Acknowledged
        }
        PeerRequest::ReachesReportAddress => {
            PeerReply::ReachesReportAddress(crate::tally::reaches(app).await)
        }
        // Never through a third one: two that are turned away would ask each other forever.
        PeerRequest::Relay(call) => PeerReply::Relay(app.plat.call_for_peer(&call).await),
        PeerRequest::RelayDirect(call) => PeerReply::Relay(call_with_timeout(app, &call).await),
    }
}

/// Makes a call whose answer is needed soon; that there is none is one as well.
async fn call_with_timeout(app: &App, call: &Call) -> Result<Answer, PlatError> {
    let limit = Duration::from_millis(RELAYED_READ_TIMEOUT);
    let tried = tokio::time::timeout(limit, app.plat.call_direct(call)).await;
    tried.unwrap_or(Err(PlatError::NoAnswer))
}

/// Waits for something that a follower does not have yet.
async fn wait_for_update(app: &App, mut have: SyncState, wait: Millis) -> Option<Update> {
    let asked = app.clock.now();
    let mut changes = app.replica_changed.subscribe();
    let age = have.age;
    let newer = changes.wait_for(|()| {
        let now = app.clock.now();
        // What the follower has grows older while it waits.
        have.age = age.map(|age| age + (now - asked));
        app.replica.lock().has_more(have, now)
    });
    let found = tokio::time::timeout(Duration::from_millis(wait), newer).await;
    // Neither over time nor dropped.
    found.ok()?.ok()?;
    Some(app.replica.lock().update_since(have, app.clock.now()))
}
