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
use crate::message::MAX_MESSAGE_BYTES;
use crate::message::PeerReply;
use crate::message::PeerRequest;
use crate::message::RELAYED_READ_TIMEOUT;
use crate::steps::accept::AcceptOutcome;
use crate::steps::accept::Submission;

/// Time that an answer may take beyond what it may wait for: milliseconds within a region, and a
/// busy instance has a part of one core.
const REPLY_TIMEOUT: Millis = 350;

/// Time that an instance has to accept a step that is handed to it: the store may take half a second
/// on a slow day, and the trainer waits.
const HANDOVER_TIMEOUT: Millis = 1_000;

/// Time that the keeper of a step's hint has to answer; the platform answers within milliseconds too.
const HINT_TIMEOUT: Millis = 120;

fn build_request(addr: SocketAddr, ask: &PeerRequest) -> Option<Request<Full<Bytes>>> {
    let body = record::encode(ask).ok()?;
    Request::post(net::client::uri(addr, "/peer"))
        .body(Full::new(Bytes::from(body)))
        .ok()
}

fn log_no_reply(addr: SocketAddr, error: &SendError) {
    let (error, addr) = (error.to_string(), addr.to_string());
    log::debug!(target: "peer", address = addr.as_str(), error = error.as_str();
        "no answer from a peer");
}

async fn send_request(
    app: &App,
    addr: SocketAddr,
    ask: &PeerRequest,
    limit: Millis,
) -> Option<PeerReply> {
    let request = build_request(addr, ask)?;
    let limit = Duration::from_millis(limit);
    match app
        .peer_client
        .fetch(request, limit, MAX_MESSAGE_BYTES)
        .await
    {
        Ok(answer) => record::decode(answer.body()).ok(),
        Err(error) => {
            log_no_reply(addr, &error);
            None
        }
    }
}

/// Asks the owner of a step for results; [`None`] when it does not answer or is not sure.
///
/// They are passed on as they come. Read whole, decoded and written anew they took some times the
/// megabyte that an answer may have, at each of dozens of instances that callers read at.
pub async fn fetch_page(
    app: &App,
    owner: &str,
    step: &Arc<str>,
    from: usize,
    wait: Millis,
) -> Option<Reply> {
    let addr = member_address(app, owner)?;
    let ask = PeerRequest::Page {
        step: step.clone(),
        from,
        wait,
    };
    let request = build_request(addr, &ask)?;
    let limit = Duration::from_millis(wait + REPLY_TIMEOUT);
    match app.peer_client.send(request, limit).await {
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
            log_no_reply(addr, &error);
            None
        }
    }
}

/// The address of an instance that has entered.
fn member_address(app: &App, instance: &str) -> Option<SocketAddr> {
    let members = app.members.lock();
    let found = members.iter().find(|one| &*one.owner.instance == instance);
    found.map(|one| one.addr)
}

/// Asks the owner of a step for the body of a sample; [`None`] when it does not run the step.
pub async fn fetch_body(
    app: &App,
    owner: &str,
    step: &Arc<str>,
    sample: &Arc<str>,
) -> Option<Option<Vec<u8>>> {
    let addr = member_address(app, owner)?;
    let question = PeerRequest::Body {
        step: step.clone(),
        sample: sample.clone(),
    };
    match send_request(app, addr, &question, REPLY_TIMEOUT).await? {
        PeerReply::Body(body) => body,
        _ => None,
    }
}

/// What came of handing a step over.
pub enum SubmitOutcome {
    /// The other one has answered for it.
    Answered(AcceptOutcome),
    /// It does not take the step.
    Declined,
    /// Nothing was heard of it; it may have accepted the step all the same.
    NoReply,
}

/// Hands a step over.
pub async fn submit(app: &App, to: SocketAddr, submission: &Submission) -> SubmitOutcome {
    let question = PeerRequest::Submit(submission.clone());
    match send_request(app, to, &question, HANDOVER_TIMEOUT).await {
        Some(PeerReply::Submit(Some(accepted))) => SubmitOutcome::Answered(accepted),
        Some(PeerReply::Submit(None)) => SubmitOutcome::Declined,
        _ => SubmitOutcome::NoReply,
    }
}

/// Tells the keeper of a step's hint who runs it.
pub async fn publish_owner(app: &App, keeper: SocketAddr, step: Arc<str>, owner: Arc<str>) {
    // It need not arrive.
    let _ = send_request(
        app,
        keeper,
        &PeerRequest::SetOwner { step, owner },
        HINT_TIMEOUT,
    )
    .await;
}

/// Asks the keeper of a step's hint who runs it.
pub async fn fetch_owner(app: &App, keeper: SocketAddr, step: &Arc<str>) -> Option<Arc<str>> {
    match send_request(app, keeper, &PeerRequest::Owner(step.clone()), HINT_TIMEOUT).await? {
        PeerReply::Owner(owner) => owner,
        _ => None,
    }
}

/// Tells the owner of a step that it has ended; whether it has heard.
pub async fn notify_ended(app: &App, owner: &str, step: &Arc<str>, rev: i64) -> bool {
    let step = step.clone();
    notify(app, owner, &PeerRequest::Ended { step, rev }).await
}

/// Tells the former owner of a step that somebody else runs it; whether it has heard.
pub async fn notify_taken_over(app: &App, owner: &str, step: &Arc<str>, rev: i64) -> bool {
    let step = step.clone();
    notify(app, owner, &PeerRequest::TakenOver { step, rev }).await
}

/// Tells an instance something, also one whose entry has lapsed though it lives.
async fn notify(app: &App, instance: &str, word: &PeerRequest) -> bool {
    let former = || {
        let former = app.recent_members();
        let found = former.iter().find(|one| *one.owner.instance == *instance);
        found.map(|one| one.addr)
    };
    let Some(addr) = member_address(app, instance).or_else(former) else {
        return false;
    };
    send_request(app, addr, word, REPLY_TIMEOUT).await.is_some()
}

/// Tells a keeper what this instance has counted; whether it has heard.
pub async fn send_counts(app: &App, keeper: SocketAddr, tally: Snapshot) -> bool {
    let owner = app.me.clone();
    send_request(
        app,
        keeper,
        &PeerRequest::Counts { owner, tally },
        REPLY_TIMEOUT,
    )
    .await
    .is_some()
}

/// Asks another instance what it knows of the requests of a window.
pub async fn fetch_window_counts(
    app: &App,
    to: SocketAddr,
    window: u64,
) -> Option<Vec<WindowCounts>> {
    match send_request(app, to, &PeerRequest::WindowCounts(window), REPLY_TIMEOUT).await? {
        PeerReply::WindowCounts(shares) => Some(shares),
        _ => None,
    }
}

/// Asks another instance whether it reaches the address that takes reports.
pub async fn reaches_report_address(app: &App, to: SocketAddr) -> bool {
    matches!(
        send_request(app, to, &PeerRequest::ReachesReportAddress, REPLY_TIMEOUT).await,
        Some(PeerReply::ReachesReportAddress(true))
    )
}

/// What was heard of the configuration and the list of upstreams.
pub enum PollOutcome {
    /// Something that this instance does not have.
    Update(Update),
    /// Nothing.
    Failed(PollFailure),
}

/// Asks another instance for what this one does not have, or for a newer read.
pub async fn poll(app: &App, addr: SocketAddr, have: SyncState, wait: Millis) -> PollOutcome {
    let slack = timing::reply_slack(&app.replica.lock());
    match send_request(app, addr, &PeerRequest::Poll { have, wait }, wait + slack).await {
        Some(PeerReply::Update(Some(news))) => PollOutcome::Update(news),
        Some(PeerReply::PlatformUnreachable) => {
            PollOutcome::Failed(PollFailure::PlatformUnreachable)
        }
        Some(PeerReply::Update(None)) => PollOutcome::Failed(PollFailure::NoUpdate),
        _ => PollOutcome::Failed(PollFailure::NoReply),
    }
}

/// Has another instance make a call of the platform; [`None`] when nobody knows whether it has.
pub async fn relay(
    app: &App,
    to: SocketAddr,
    call: Call,
    limit: Millis,
) -> Option<Result<Answer, PlatError>> {
    relay_answer(send_request(app, to, &PeerRequest::Relay(call), limit).await?)
}

/// The same, also when the platform did not serve the other one a moment ago: whether it does now is what is asked.
pub async fn relay_direct(
    app: &App,
    to: SocketAddr,
    call: Call,
) -> Option<Result<Answer, PlatError>> {
    relay_answer(
        send_request(
            app,
            to,
            &PeerRequest::RelayDirect(call),
            RELAYED_READ_TIMEOUT + REPLY_TIMEOUT,
        )
        .await?,
    )
}

fn relay_answer(told: PeerReply) -> Option<Result<Answer, PlatError>> {
    match told {
        PeerReply::Relay(answer) => Some(answer),
        _ => None,
    }
}
