//! Forwards calls to plain services.
//!
//! Load pattern: a low rate of calls with a short deadline, to upstreams that crash, stop responding or become
//! slow. A call that may run twice is sent to a second upstream as soon as it takes longer than nearly all calls
//! do; one that may not is sent again only when it is certain not to have run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::request::Parts;
use kernel::Millis;
use net::Reply;
use net::SendError;
use poison::Verdict;
use table::Config;
use table::Route;
use table::RouteKind;
use table::Upstream;
use team::Principal;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::App;
use crate::dialect::Caller;
use crate::forwarded_request::ForwardedRequest;
use crate::forwarded_request::UpstreamSlot;
use crate::refusal::Refusal;
use crate::telemetry;

/// Delay after which a call that may be repeated is sent to a second upstream as well: several times the usual
/// duration of a lookup, and early enough for the second answer to meet the latency that callers aim at.
const HEDGE_DELAY: Duration = Duration::from_millis(110);

/// Divisor of the time left that gives the time limit of one attempt, for a call that may be repeated.
const ATTEMPT_TIME_DIVISOR: u32 = 2;

/// Time for which an upstream that refused a call gets none, in milliseconds.
const BUSY_BACKOFF: Millis = 100;

/// Reason in the log for requests that are quarantined or blocked because upstreams crash under them.
const QUARANTINE_REASON: &str = "request crashes upstreams";

/// Largest answer in bytes; answers are buffered completely.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// The outcome of one attempt.
enum AttemptOutcome {
    /// A complete answer of the upstream's application.
    Answer(Response<Bytes>, Arc<str>),
    /// The upstream has not executed the call and never will.
    NotExecuted,
    /// Whether the call was executed is unknown.
    Unknown,
}

/// Forwards a call and replies with the upstream's answer.
pub async fn forward_call(
    app: &Arc<App>,
    route: &Arc<Route>,
    head: &Parts,
    caller: &Caller,
    body: Bytes,
    principal: Principal,
) -> Reply {
    let request = ForwardedRequest::new(app, head, caller, body, route.timeout, principal);
    let request = Arc::new(request);
    let left = Duration::from_millis(request.time_left());
    let mut attempts = Attempts::new(request, route, Requester::Caller);
    let outcome = match timeout(left, attempts.answer()).await {
        Ok(outcome) => outcome,
        Err(_) => attempts.time_out(),
    };
    match outcome {
        ForwardOutcome::Answer { answer, .. } => build_reply(app, answer),
        ForwardOutcome::Refused(refusal) => refusal.reply(),
    }
}

/// Requests the score of a sample once: within `limit`, and no longer than the request's deadline.
pub(crate) async fn forward_score(
    request: Arc<ForwardedRequest>,
    route: &Route,
    limit: Duration,
) -> ForwardOutcome {
    let left = Duration::from_millis(request.time_left()).min(limit);
    let mut attempts = Attempts::new(request, route, Requester::Scorer);
    match timeout(left, attempts.answer()).await {
        Ok(outcome) => outcome,
        Err(_) => attempts.time_out(),
    }
}

fn build_reply(app: &App, answer: Response<Bytes>) -> Reply {
    let (head, bytes) = answer.into_parts();
    let mut reply = Response::new(net::body::full(bytes));
    *reply.status_mut() = head.status;
    *reply.headers_mut() = app.dialect.reply_headers(&head.headers);
    reply
}

/// The outcome of forwarding a request.
pub(crate) enum ForwardOutcome {
    /// A complete answer of the upstream's application, with its signature.
    Answer {
        /// The answer.
        answer: Response<Bytes>,
        /// The signature.
        signature: Arc<str>,
    },
    /// The request was refused.
    Refused(Refusal),
}

/// Who waits for the answer, which decides whether the request may queue inside an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requester {
    /// A caller, whose request may queue inside an upstream.
    Caller,
    /// A sample's score request, which takes free slots only. The samples of a step complete by the dozen; if their
    /// requests queued inside upstreams, callers' requests would wait behind them.
    Scorer,
}

/// The attempts of one call.
struct Attempts<'a> {
    request: Arc<ForwardedRequest>,
    route: &'a Route,
    service: Option<Arc<str>>,
    tried: Vec<Arc<str>>,
    running: JoinSet<AttemptOutcome>,
    requester: Requester,
    /// Whether an attempt may have been executed.
    may_have_run: bool,
}

impl<'a> Attempts<'a> {
    fn new(request: Arc<ForwardedRequest>, route: &'a Route, requester: Requester) -> Self {
        Self {
            request,
            route,
            service: Config::pick_service(route, rand::random()).cloned(),
            tried: Vec::new(),
            running: JoinSet::new(),
            requester,
            may_have_run: false,
        }
    }

    fn may_repeat(&self) -> bool {
        self.requester == Requester::Scorer || self.route.kind == RouteKind::Idempotent
    }

    async fn answer(&mut self) -> ForwardOutcome {
        let queue = self.requester == Requester::Caller;
        if let Some(left) = self.request.admit().await {
            return self.refuse(Refusal::Quarantined(left), QUARANTINE_REASON);
        }
        if !self.start_attempt(queue) {
            return self.fail("no upstream has a free slot");
        }
        loop {
            let outcome = tokio::select! {
                Some(outcome) = self.running.join_next() => outcome,
                () = sleep(HEDGE_DELAY), if self.may_hedge() => {
                    self.start_attempt(false);
                    continue;
                }
            };
            // A panicked attempt may have sent the request.
            match outcome.unwrap_or(AttemptOutcome::Unknown) {
                AttemptOutcome::Answer(answer, signature) => {
                    return ForwardOutcome::Answer { answer, signature };
                }
                AttemptOutcome::NotExecuted => (),
                AttemptOutcome::Unknown => self.may_have_run = true,
            }
            if self.may_have_run && !self.may_repeat() {
                return self.fail("outcome unknown");
            }
            if self.request.admit().await.is_some() {
                return self.fail(QUARANTINE_REASON);
            }
            if !self.start_attempt(queue) && self.running.is_empty() {
                return self.fail("no upstream left");
            }
        }
    }

    fn may_hedge(&self) -> bool {
        self.may_repeat()
            && self.running.len() == 1
            && self.tried.len() < self.max_attempts()
            && self.request.verdict() == Verdict::Unrestricted
    }

    fn max_attempts(&self) -> usize {
        self.route.max_attempts.max(1) as usize
    }

    /// Starts an attempt if one is allowed and an upstream has room; `queue` permits queueing inside the upstream.
    /// Returns whether one was started.
    fn start_attempt(&mut self, queue: bool) -> bool {
        if self.tried.len() >= self.max_attempts() {
            return false;
        }
        let service = self.service.as_deref();
        let slot = service.and_then(|name| self.request.reserve_slot(name, &self.tried, queue));
        let Some(slot) = slot else {
            return false;
        };
        let upstream = &slot.upstream;
        self.tried.push(upstream.id.clone());
        let left = self.request.time_left();
        let limit = match self.may_repeat() && self.tried.len() < self.max_attempts() {
            true => left / Millis::from(ATTEMPT_TIME_DIVISOR),
            false => left,
        };
        log::info!(target: "forward", id = &*self.request.id, upstream = &*upstream.id,
            attempt = self.tried.len(), left_ms = left; "sent");
        let request = self.request.clone();
        self.running
            .spawn(async move { attempt(&request, slot, limit).await });
        true
    }

    /// Returns the refusal after the deadline. A call that is still at an upstream may have run there.
    fn time_out(&self) -> ForwardOutcome {
        let may_have_run = self.may_have_run || !self.running.is_empty();
        let refusal = if may_have_run {
            Refusal::TimedOut
        } else {
            Refusal::NotExecuted
        };
        self.refuse(refusal, "deadline exceeded")
    }

    fn fail(&self, why: &str) -> ForwardOutcome {
        let may_have_run = self.may_have_run || !self.running.is_empty();
        let refusal = if may_have_run {
            Refusal::OutcomeUnknown
        } else {
            Refusal::NotExecuted
        };
        self.refuse(refusal, why)
    }

    fn refuse(&self, refusal: Refusal, why: &str) -> ForwardOutcome {
        // Score requests that find no free slot are tried again within moments, and logged when they end.
        if self.requester == Requester::Caller || !self.tried.is_empty() {
            let age = self
                .request
                .app
                .upstreams
                .lock()
                .age(self.request.app.clock.now());
            log::info!(target: "forward", id = &*self.request.id, why, attempts = self.tried.len(),
                outcome = refusal.name(), list_age_ms = age.unwrap_or(0); "call failed");
        }
        ForwardOutcome::Refused(refusal)
    }
}

async fn attempt(
    request: &ForwardedRequest,
    slot: UpstreamSlot,
    limit_ms: Millis,
) -> AttemptOutcome {
    let upstream = &slot.upstream;
    let Some(http_request) = request.build_request(upstream, None) else {
        return AttemptOutcome::NotExecuted;
    };
    let started = request.app.clock.now();
    let number = request.record_send();
    let limit = Duration::from_millis(limit_ms);
    let condition = request.send_condition();
    let answer = request
        .app
        .http
        .fetch_if(http_request, limit, MAX_ANSWER_BYTES, condition)
        .await;
    let took = request.app.clock.now() - started;
    let is_broken = matches!(answer, Err(SendError::Broken));
    let result = classify(request, upstream, answer, took);
    if is_broken {
        request.check_crash(upstream).await;
    }
    if matches!(result, AttemptOutcome::NotExecuted) {
        request.mark_unexecuted(number);
    }
    let outcome = match &result {
        AttemptOutcome::Answer(..) => "answered",
        AttemptOutcome::NotExecuted => "unrun",
        AttemptOutcome::Unknown => "unknown",
    };
    metrics::counter!(telemetry::ATTEMPTS, "outcome" => outcome).increment(1);
    result
}

fn classify(
    request: &ForwardedRequest,
    upstream: &Arc<Upstream>,
    answer: Result<Response<Bytes>, SendError>,
    took: Millis,
) -> AttemptOutcome {
    let now = request.app.clock.now();
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            if !matches!(error, SendError::Forbidden) {
                let mut tracker = request.app.service_tracker.lock();
                tracker.engine_failed(&upstream.id, now);
            }
            let why = error.to_string();
            log::info!(target: "forward", id = &*request.id, upstream = &*upstream.id,
                took_ms = took, why = why.as_str(); "attempt failed");
            return match error.is_unsent() {
                true => AttemptOutcome::NotExecuted,
                false => AttemptOutcome::Unknown,
            };
        }
    };
    let head = request
        .app
        .dialect
        .decode_answer_head(answer.status(), answer.headers());
    let mut tracker = request.app.service_tracker.lock();
    if let Some(load) = head.load {
        tracker.load_reported(&upstream.id, load, now);
    }
    if head.not_executed || head.misdirected {
        tracker.engine_busy(&upstream.id, now + BUSY_BACKOFF);
        return AttemptOutcome::NotExecuted;
    }
    if let (Some(id), Some(signature)) = (&head.attempt_id, head.signature)
        && **id == *request.id
    {
        tracker.event_received(&upstream.id, took as f64);
        drop(tracker);
        request.record_answer(answer.status());
        return AttemptOutcome::Answer(answer, signature);
    }
    tracker.engine_failed(&upstream.id, now);
    let status = answer.status().as_u16();
    log::warn!(target: "forward", id = &*request.id, upstream = &*upstream.id, status,
        answers = head.attempt_id.as_deref().unwrap_or("nothing"); "answer does not match the request");
    AttemptOutcome::Unknown
}
