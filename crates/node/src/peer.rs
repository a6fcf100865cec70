//! Requests to other instances, as HTTP with MessagePack bodies.
//!
//! Everything here saves platform calls or works around an outage that affects one instance; nothing depends on a
//! reply. Other instances are known from their entries at the platform.

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
use place::LoadNotice;
use place::SlotReport;
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
use crate::message::ConfirmedConfig;
use crate::message::MAX_MESSAGE_BYTES;
use crate::message::PeerReply;
use crate::message::PeerRequest;
use crate::message::RELAYED_READ_TIMEOUT;
use crate::steps::accept::AcceptOutcome;
use crate::steps::accept::Submission;

/// Time limit of a reply beyond the wait that the request allows, in milliseconds: the network takes milliseconds
/// within a region, and a busy instance has a fraction of one core.
const REPLY_TIMEOUT: Millis = 350;

/// Time limit for accepting a step that is handed over, in milliseconds: the store may take half a second when it
/// is slow, and the trainer waits.
const HANDOVER_TIMEOUT: Millis = 1_000;

/// Time limit for the keeper of a step's hint, in milliseconds; reading the platform takes milliseconds too.
const HINT_TIMEOUT: Millis = 120;

fn build_request(addr: SocketAddr, message: &PeerRequest) -> Option<Request<Full<Bytes>>> {
    let body = record::encode(message).ok()?;
    Request::post(net::client::uri(addr, "/peer"))
        .body(Full::new(Bytes::from(body)))
        .ok()
}

fn log_no_reply(addr: SocketAddr, error: &SendError) {
    let (error, addr) = (error.to_string(), addr.to_string());
    log::debug!(target: "peer", address = addr.as_str(), error = error.as_str();
        "no reply from peer");
}

async fn send_request(
    app: &App,
    addr: SocketAddr,
    message: &PeerRequest,
    limit: Millis,
) -> Option<PeerReply> {
    let request = build_request(addr, message)?;
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

/// Fetches results from the owner of a step; [`None`] when it does not reply or cannot confirm that it still runs
/// the step.
///
/// The body is streamed through. Buffering, decoding and encoding it again would take several times the megabyte
/// that an answer may have, at each of the dozens of instances at which callers read.
pub async fn fetch_page(
    app: &App,
    owner: &str,
    step: &Arc<str>,
    from: usize,
    wait: Millis,
) -> Option<Reply> {
    let addr = member_address(app, owner)?;
    let message = PeerRequest::Page {
        step: step.clone(),
        from,
        wait,
    };
    let request = build_request(addr, &message)?;
    let limit = Duration::from_millis(wait + REPLY_TIMEOUT);
    match app.peer_client.send(request, limit).await {
        Ok(answer) if answer.status() == StatusCode::OK => {
            let content_type = answer.headers().get(CONTENT_TYPE).cloned();
            let mut reply = Reply::new(net::body::forward(answer.into_body()));
            reply
                .headers_mut()
                .extend(content_type.map(|content_type| (CONTENT_TYPE, content_type)));
            Some(reply)
        }
        Ok(_) => None,
        Err(error) => {
            log_no_reply(addr, &error);
            None
        }
    }
}

/// Returns the address of a member.
fn member_address(app: &App, instance: &str) -> Option<SocketAddr> {
    let members = app.members.lock();
    let found = members
        .iter()
        .find(|member| &*member.owner.instance == instance);
    found.map(|member| member.addr)
}

/// Fetches the body of a sample from the owner of a step; [`None`] when that one does not run the step or does not
/// reply.
pub async fn fetch_body(
    app: &App,
    owner: &str,
    step: &Arc<str>,
    sample: &Arc<str>,
) -> Option<Option<Vec<u8>>> {
    let addr = member_address(app, owner)?;
    let request = PeerRequest::Body {
        step: step.clone(),
        sample: sample.clone(),
    };
    match send_request(app, addr, &request, REPLY_TIMEOUT).await? {
        PeerReply::Body(body) => body,
        _ => None,
    }
}

/// The outcome of handing a step over.
pub enum SubmitOutcome {
    /// The other instance has replied whether the step is accepted.
    Answered(AcceptOutcome),
    /// The other instance does not accept the step.
    Declined,
    /// There was no reply; the other instance may have accepted the step all the same.
    NoReply,
}

/// Hands a step over to another instance.
pub async fn submit(app: &App, to: SocketAddr, submission: &Submission) -> SubmitOutcome {
    let request = PeerRequest::Submit(submission.clone());
    match send_request(app, to, &request, HANDOVER_TIMEOUT).await {
        Some(PeerReply::Submit(Some(accepted))) => SubmitOutcome::Answered(accepted),
        Some(PeerReply::Submit(None) | PeerReply::Refused) => SubmitOutcome::Declined,
        _ => SubmitOutcome::NoReply,
    }
}

/// Publishes the owner of a step to the keeper of its hint.
pub async fn publish_owner(app: &App, keeper: SocketAddr, step: Arc<str>, owner: Arc<str>) {
    // A lost message does no harm.
    let _ = send_request(
        app,
        keeper,
        &PeerRequest::SetOwner { step, owner },
        HINT_TIMEOUT,
    )
    .await;
}

/// Fetches the owner of a step from the keeper of its hint.
pub async fn fetch_owner(app: &App, keeper: SocketAddr, step: &Arc<str>) -> Option<Arc<str>> {
    match send_request(app, keeper, &PeerRequest::Owner(step.clone()), HINT_TIMEOUT).await? {
        PeerReply::Owner(owner) => owner,
        _ => None,
    }
}

/// Notifies the owner of a step that it has ended; returns whether it has replied.
pub async fn notify_ended(app: &App, owner: &str, step: &Arc<str>, rev: i64) -> bool {
    let step = step.clone();
    notify(app, owner, &PeerRequest::Ended { step, rev }).await
}

/// Notifies the former owner of a step that another instance runs it; returns whether it has replied.
pub async fn notify_taken_over(app: &App, owner: &str, step: &Arc<str>, rev: i64) -> bool {
    let step = step.clone();
    notify(app, owner, &PeerRequest::TakenOver { step, rev }).await
}

/// Notifies an owner of steps that engines have begun to load weights; returns whether it has replied.
pub async fn notify_load_started(
    app: &App,
    owner: &str,
    notice: LoadNotice,
    engines: Vec<Arc<str>>,
) -> bool {
    let request = PeerRequest::LoadStarted {
        model: notice.model,
        version: notice.version,
        engines,
        duration: notice.duration,
    };
    notify(app, owner, &request).await
}

/// Sends a notice to an instance, also to one that is alive though its entry has expired. Returns whether it has
/// replied.
async fn notify(app: &App, instance: &str, notice: &PeerRequest) -> bool {
    let recent = || {
        let recent = app.recent_members();
        let found = recent
            .iter()
            .find(|member| *member.owner.instance == *instance);
        found.map(|member| member.addr)
    };
    let Some(addr) = member_address(app, instance).or_else(recent) else {
        return false;
    };
    send_request(app, addr, notice, REPLY_TIMEOUT)
        .await
        .is_some()
}

/// Sends this instance's request counts to a keeper; returns whether it has replied.
pub async fn send_counts(app: &App, keeper: SocketAddr, snapshot: Snapshot) -> bool {
    let owner = app.me.clone();
    send_request(
        app,
        keeper,
        &PeerRequest::Counts { owner, snapshot },
        REPLY_TIMEOUT,
    )
    .await
    .is_some()
}

/// Fetches the request counts of a window that another instance knows.
pub async fn fetch_window_counts(
    app: &App,
    to: SocketAddr,
    window: u64,
) -> Option<Vec<WindowCounts>> {
    match send_request(app, to, &PeerRequest::WindowCounts(window), REPLY_TIMEOUT).await? {
        PeerReply::WindowCounts(counts) => Some(counts),
        _ => None,
    }
}

/// Returns whether another instance can connect to the address that takes usage reports.
pub async fn reaches_report_address(app: &App, to: SocketAddr) -> bool {
    matches!(
        send_request(app, to, &PeerRequest::ReachesReportAddress, REPLY_TIMEOUT).await,
        Some(PeerReply::ReachesReportAddress(true))
    )
}

/// Sends a report of this instance's samples and runs to another owner of steps. Returns [`None`] if there was no
/// reply, otherwise the receiver's own report, if it was wanted and there is one.
pub async fn send_slot_report(
    app: &App,
    to: SocketAddr,
    report: SlotReport,
    wants_reply: bool,
) -> Option<Option<SlotReport>> {
    let request = PeerRequest::SlotReport {
        report,
        wants_reply,
    };
    match send_request(app, to, &request, REPLY_TIMEOUT).await? {
        PeerReply::SlotReport(report) => Some(report),
        _ => None,
    }
}

/// The outcome of polling another instance.
pub enum PollOutcome {
    /// State that this instance did not have, and the earliest time at which the other one can have sent it.
    Update(Box<Update>, Millis),
    /// There was no update.
    Failed(PollFailure),
}

/// Polls another instance for state that this one does not have, waiting for a newer read.
pub async fn poll(app: &App, addr: SocketAddr, state: SyncState, wait: Millis) -> PollOutcome {
    let slack = timing::reply_slack(&app.replica.lock());
    let sent_at = app.clock.now();
    match send_request(app, addr, &PeerRequest::Poll { state, wait }, wait + slack).await {
        Some(PeerReply::Update(Some(update))) => {
            let written_at = sent_at + update.held;
            PollOutcome::Update(Box::new(update), written_at)
        }
        Some(PeerReply::PlatformUnreachable) => {
            PollOutcome::Failed(PollFailure::PlatformUnreachable)
        }
        Some(PeerReply::Update(None)) => PollOutcome::Failed(PollFailure::NoUpdate),
        _ => PollOutcome::Failed(PollFailure::NoReply),
    }
}

/// Fetches the configuration of another instance if that was confirmed more recently than this one's, and the earliest
/// time at which the reply can have been sent.
pub(crate) async fn fetch_config(
    app: &App,
    to: SocketAddr,
    wanted_age: Millis,
    wait: Millis,
) -> Option<(ConfirmedConfig, Millis)> {
    let sent_at = app.clock.now();
    let state = app.sync_state();
    let request = PeerRequest::Config {
        rev: state.configuration,
        age: state.config_age,
        wanted_age,
        wait,
    };
    match send_request(app, to, &request, wait + REPLY_TIMEOUT).await? {
        PeerReply::Config(Some(confirmed)) => {
            let written_at = sent_at + confirmed.held;
            Some((confirmed, written_at))
        }
        _ => None,
    }
}

/// Relays a platform call through another instance; [`None`] when it is unknown whether that one has made the call.
pub async fn relay(
    app: &App,
    to: SocketAddr,
    call: Call,
    limit: Millis,
) -> Option<Result<Answer, PlatError>> {
    relay_answer(send_request(app, to, &PeerRequest::Relay(call), limit).await?)
}

/// Relays a platform call like [`relay`], even if the platform has just refused the other instance's own calls:
/// the relayed call determines whether the platform answers it now.
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

fn relay_answer(reply: PeerReply) -> Option<Result<Answer, PlatError>> {
    match reply {
        PeerReply::Relay(answer) => Some(answer),
        _ => None,
    }
}
