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
use crate::message::Ask;
use crate::message::MOST;
use crate::message::TRY;
use crate::message::Told;
use crate::steps;
use crate::steps::accept;

/// Answers a question.
pub(crate) async fn answer(app: &Arc<App>, call: net::Call) -> Reply {
    let body = match net::body::read(call.body, MOST).await {
        Ok(body) => body,
        Err(error) => return improper(&error),
    };
    let told = match record::decode(&body) {
        Ok(Ask::Page { step, from, wait }) => return tell_page(app, &step, from, wait).await,
        Ok(ask) => tell(app, ask).await,
        Err(error) => return improper(&error),
    };
    match record::encode(&told) {
        Ok(bytes) => net::body::reply(StatusCode::OK, "application/msgpack", bytes),
        Err(error) => improper(&error),
    }
}

fn improper(error: &dyn std::fmt::Display) -> Reply {
    let error = error.to_string();
    log::warn!(target: "peer", error = error.as_str(); "improper question");
    net::body::reply(StatusCode::BAD_REQUEST, "text/plain", error)
}

/// Answers with results as they go to the caller, or with nothing when this instance is not sure of
/// them.
async fn tell_page(app: &Arc<App>, step: &Arc<str>, from: usize, wait: Millis) -> Reply {
    let page = match app.works.get(step) {
        Some(work) => work.page(app, from, wait).await,
        None => None,
    };
    match page {
        Some(page) => page.reply(app, from),
        None => net::body::reply(StatusCode::NO_CONTENT, "text/plain", Vec::new()),
    }
}

async fn tell(app: &Arc<App>, ask: Ask) -> Told {
    match ask {
        // Answered with the results themselves.
        Ask::Page { .. } => Told::Noted,
        Ask::Submit(submission) => Told::Submit(accept::handed(app, submission).await),
        Ask::Body { step, sample } => {
            let work = app.works.get(&step);
            Told::Body(work.map(|work| work.sample_body(&sample)))
        }
        Ask::Owner(step) => Told::Owner(hint::known(app, &step)),
        Ask::Own { step, owner } => {
            hint::note(app, step, owner);
            Told::Noted
        }
        Ask::News { have, wait } => match newer(app, have, wait).await {
            None if app.is_blind() => Told::Blind,
            news => Told::News(news),
        },
        Ask::Relay(_) if app.plat.is_unserved() => Told::Relay(Err(PlatError::Unreachable)),
        Ask::Tally { owner, tally } => {
            app.keeper
                .lock()
                .update((owner.instance, owner.start), tally);
            Told::Noted
        }
        Ask::Shares(window) => Told::Shares(crate::request_counts::window_counts(app, window)),
        Ask::Ended { step, rev } => {
            steps::note_end(app, &step, rev);
            Told::Noted
        }
        Ask::Taken { step, rev } => {
            if let Some(work) = app.works.get(&step) {
                work.mark_replaced(rev);
            }
            Told::Noted
        }
        Ask::Reaches => Told::Reaches(crate::request_counts::can_reach_accounts(app).await),
        // Never through a third one: two that are turned away would ask each other forever.
        Ask::Relay(call) => Told::Relay(app.plat.call_for_peer(&call).await),
        Ask::Try(call) => Told::Relay(attempted(app, &call).await),
    }
}

/// Makes a call whose answer is needed soon; that there is none is one as well.
async fn attempted(app: &App, call: &Call) -> Result<Answer, PlatError> {
    let limit = Duration::from_millis(TRY);
    let tried = tokio::time::timeout(limit, app.plat.call_direct(call)).await;
    tried.unwrap_or(Err(PlatError::NoAnswer))
}

/// Waits for something that a follower does not have yet.
async fn newer(app: &App, mut have: SyncState, wait: Millis) -> Option<Update> {
    let asked = app.clock.now();
    let mut changes = app.news.subscribe();
    let age = have.age;
    let newer = changes.wait_for(|()| {
        let now = app.clock.now();
        // What the follower has grows older while it waits.
        have.age = age.map(|age| age + (now - asked));
        app.board.lock().has_more(have, now)
    });
    let found = tokio::time::timeout(Duration::from_millis(wait), newer).await;
    // Neither over time nor dropped.
    found.ok()?.ok()?;
    Some(app.board.lock().update_since(have, app.clock.now()))
}
