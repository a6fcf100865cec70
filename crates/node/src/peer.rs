//! What instances ask one another, as HTTP with MessagePack bodies.
//!
//! Everything here spares the platform calls or gets round an outage that concerns one instance;
//! nothing depends on an answer. Others are known from their entries at the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use batch::record;
use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use kernel::Millis;
use net::Reply;
use net::SendError;
use plat::Answer;
use plat::Call;
use plat::PlatError;
use spread::PollFailure;
use spread::SyncState;
use spread::Update;
use spread::timing;
use usage::Snapshot;
use usage::WindowCounts;

use crate::App;
use crate::message::Ask;
use crate::message::MOST;
use crate::message::TRY;
use crate::message::Told;
use crate::steps::accept::Accepted;
use crate::steps::accept::Submission;

/// Time that an answer may take beyond what it may wait for: milliseconds within a region, and a
/// busy instance has a part of one core.
const LIMIT: Millis = 350;

/// Time that an instance has to accept a step that is handed to it: the store may take half a second
/// on a slow day, and the trainer waits.
const HAND: Millis = 1_000;

/// Time that the keeper of a step's hint has to answer; the platform answers within milliseconds too.
const HINT: Millis = 120;

fn question(addr: SocketAddr, ask: &Ask) -> Option<Request<Full<Bytes>>> {
    let body = record::encode(ask).ok()?;
    Request::post(net::client::uri(addr, "/peer"))
        .body(Full::new(Bytes::from(body)))
        .ok()
}

fn silent(addr: SocketAddr, error: &SendError) {
    let (error, addr) = (error.to_string(), addr.to_string());
    log::debug!(target: "peer", address = addr.as_str(), error = error.as_str();
        "no answer from a peer");
}

async fn ask(app: &App, addr: SocketAddr, ask: &Ask, limit: Millis) -> Option<Told> {
    let request = question(addr, ask)?;
    let limit = Duration::from_millis(limit);
    match app.peers.fetch(request, limit, MOST).await {
        Ok(answer) => record::decode(answer.body()).ok(),
        Err(error) => {
            silent(addr, &error);
            None
        }
    }
}

/// Asks the owner of a step for results; [`None`] when it does not answer or is not sure.
///
/// They are passed on as they come. Read whole, decoded and written anew they took some times the
/// megabyte that an answer may have, at each of dozens of instances that callers read at.
pub async fn page(
    app: &App,
    owner: &str,
    step: &Arc<str>,
    from: usize,
    wait: Millis,
) -> Option<Reply> {
    let addr = address(app, owner)?;
    let ask = Ask::Page {
        step: step.clone(),
        from,
        wait,
    };
    let request = question(addr, &ask)?;
    let limit = Duration::from_millis(wait + LIMIT);
    match app.peers.send(request, limit).await {
        Ok(answer) if answer.status() == StatusCode::OK => {
            let kind = answer.headers().get(CONTENT_TYPE).cloned();
            let mut reply = Reply::new(net::body::pass(answer.into_body()));
            reply
                .headers_mut()
                .extend(kind.map(|kind| (CONTENT_TYPE, kind)));
            Some(reply)
        }
        Ok(_) => None,
        Err(error) => {
            silent(addr, &error);
            None
        }
    }
}

/// The address of an instance that has entered.
fn address(app: &App, instance: &str) -> Option<SocketAddr> {
    let members = app.members.lock();
    let found = members.iter().find(|one| &*one.owner.instance == instance);
    found.map(|one| one.addr)
}

/// Asks the owner of a step for the body of a sample; [`None`] when it does not run the step.
pub async fn body(
    app: &App,
    owner: &str,
    step: &Arc<str>,
    sample: &Arc<str>,
) -> Option<Option<Vec<u8>>> {
    let addr = address(app, owner)?;
    let question = Ask::Body {
        step: step.clone(),
        sample: sample.clone(),
    };
    match ask(app, addr, &question, LIMIT).await? {
        Told::Body(body) => body,
        _ => None,
    }
}

/// What came of handing a step over.
pub enum Handed {
    /// The other one has answered for it.
    Taken(Accepted),
    /// It does not take the step.
    Declined,
    /// Nothing was heard of it; it may have accepted the step all the same.
    Silent,
}

/// Hands a step over.
pub async fn submit(app: &App, to: SocketAddr, submission: &Submission) -> Handed {
    let question = Ask::Submit(submission.clone());
    match ask(app, to, &question, HAND).await {
        Some(Told::Submit(Some(accepted))) => Handed::Taken(accepted),
        Some(Told::Submit(None)) => Handed::Declined,
        _ => Handed::Silent,
    }
}

/// Tells the keeper of a step's hint who runs it.
pub async fn own(app: &App, keeper: SocketAddr, step: Arc<str>, owner: Arc<str>) {
    // It need not arrive.
    let _ = ask(app, keeper, &Ask::Own { step, owner }, HINT).await;
}

/// Asks the keeper of a step's hint who runs it.
pub async fn owner(app: &App, keeper: SocketAddr, step: &Arc<str>) -> Option<Arc<str>> {
    match ask(app, keeper, &Ask::Owner(step.clone()), HINT).await? {
        Told::Owner(owner) => owner,
        _ => None,
    }
}

/// Tells the owner of a step that it has ended; whether it has heard.
pub async fn ended(app: &App, owner: &str, step: &Arc<str>, rev: i64) -> bool {
    let step = step.clone();
    told(app, owner, &Ask::Ended { step, rev }).await
}

/// Tells the former owner of a step that somebody else runs it; whether it has heard.
pub async fn notify_taken_over(app: &App, owner: &str, step: &Arc<str>, rev: i64) -> bool {
    let step = step.clone();
    told(app, owner, &Ask::Taken { step, rev }).await
}

/// Tells an instance something, also one whose entry has lapsed though it lives.
async fn told(app: &App, instance: &str, word: &Ask) -> bool {
    let former = || {
        let former = app.recent_members();
        let found = former.iter().find(|one| *one.owner.instance == *instance);
        found.map(|one| one.addr)
    };
    let Some(addr) = address(app, instance).or_else(former) else {
        return false;
    };
    ask(app, addr, word, LIMIT).await.is_some()
}

/// Tells a keeper what this instance has counted; whether it has heard.
pub async fn send_counts(app: &App, keeper: SocketAddr, tally: Snapshot) -> bool {
    let owner = app.me.clone();
    ask(app, keeper, &Ask::Tally { owner, tally }, LIMIT)
        .await
        .is_some()
}

/// Asks another instance what it knows of the requests of a window.
pub async fn fetch_window_counts(
    app: &App,
    to: SocketAddr,
    window: u64,
) -> Option<Vec<WindowCounts>> {
    match ask(app, to, &Ask::Shares(window), LIMIT).await? {
        Told::Shares(shares) => Some(shares),
        _ => None,
    }
}

/// Asks another instance whether it reaches the address that takes reports.
pub async fn reaches_report_address(app: &App, to: SocketAddr) -> bool {
    matches!(
        ask(app, to, &Ask::Reaches, LIMIT).await,
        Some(Told::Reaches(true))
    )
}

/// What was heard of the configuration and the list of upstreams.
pub enum Heard {
    /// Something that this instance does not have.
    News(Update),
    /// Nothing.
    Lack(PollFailure),
}

/// Asks another instance for what this one does not have, or for a newer read.
pub async fn news(app: &App, addr: SocketAddr, have: SyncState, wait: Millis) -> Heard {
    let slack = timing::reply_slack(&app.board.lock());
    match ask(app, addr, &Ask::News { have, wait }, wait + slack).await {
        Some(Told::News(Some(news))) => Heard::News(news),
        Some(Told::Blind) => Heard::Lack(PollFailure::PlatformUnreachable),
        Some(Told::News(None)) => Heard::Lack(PollFailure::NoUpdate),
        _ => Heard::Lack(PollFailure::NoReply),
    }
}

/// Has another instance make a call of the platform; [`None`] when nobody knows whether it has.
pub async fn relay(
    app: &App,
    to: SocketAddr,
    call: Call,
    limit: Millis,
) -> Option<Result<Answer, PlatError>> {
    made(ask(app, to, &Ask::Relay(call), limit).await?)
}

/// The same, also when the platform did not serve the other one a moment ago: whether it does now is what is asked.
pub async fn attempt(app: &App, to: SocketAddr, call: Call) -> Option<Result<Answer, PlatError>> {
    made(ask(app, to, &Ask::Try(call), TRY + LIMIT).await?)
}

fn made(told: Told) -> Option<Result<Answer, PlatError>> {
    match told {
        Told::Relay(answer) => Some(answer),
        _ => None,
    }
}
