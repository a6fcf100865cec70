//! Forwards calls to plain services.
//!
//! Load pattern: calls of milliseconds to seconds, to upstreams that crash, stop responding or become slow. A call that
//! may run twice is sent to a second upstream as soon as it takes longer than nearly all calls of its service do; one that
//! may not is sent again only when it is certain not to have run. When that is, and how long an attempt may take, decides
//! the crate `attempt`. Each attempt needs a place in the window of its service, where calls wait for one (`call_queue`).

mod attempt;

use std::sync::Arc;
use std::time::Duration;

use ::attempt::Failure;
use ::attempt::Objective;
use ::attempt::Permission;
use bytes::Bytes;
use http::Response;
use kernel::Millis;
use net::Reply;
use poison::Verdict;
use table::Config;
use table::Route;
use table::RouteKind;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::App;
use crate::call_queue::QueueRefusal;
use crate::call_queue::QueuedCall;
use crate::forwarded_request::ForwardedRequest;
use crate::forwarded_request::UpstreamSlot;
use crate::refusal::Refusal;
use crate::service_attempts::HedgeOutcome;
use crate::service_attempts::count_hedges;

use self::attempt::AttemptOutcome;
use self::attempt::attempt;

/// Reason in the log for requests that are quarantined or blocked because upstreams crash under them.
const QUARANTINE_REASON: &str = "request crashes upstreams";

/// Forwards a call and replies with the upstream's answer.
pub(crate) async fn forward_call(
    app: &Arc<App>,
    route: &Arc<Route>,
    request: ForwardedRequest,
) -> Reply {
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

/// Why an attempt was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// It is the first one, or follows one that has failed.
    Turn,
    /// Another one has not been answered for long.
    Hedge,
}

/// An attempt that has ended.
struct Ended {
    upstream: Arc<str>,
    cause: Cause,
    outcome: AttemptOutcome,
}

/// The attempts of one call.
struct Attempts<'a> {
    request: Arc<ForwardedRequest>,
    route: &'a Route,
    service: Option<Arc<str>>,
    /// The call in the queue of its service, if calls wait here.
    queued: Option<QueuedCall>,
    tried: Vec<Arc<str>>,
    running: JoinSet<Ended>,
    /// The upstreams of the attempts that run.
    unanswered: Vec<Arc<str>>,
    /// Number of hedges so far.
    hedges: usize,
    /// When another attempt may begin beside one that runs.
    hedge_at: Instant,
    requester: Requester,
    /// Whether an attempt may have been executed.
    may_have_run: bool,
}

impl<'a> Attempts<'a> {
    fn new(request: Arc<ForwardedRequest>, route: &'a Route, requester: Requester) -> Self {
        let service = Config::pick_service(route, rand::random()).cloned();
        let queued = match requester {
            Requester::Caller => QueuedCall::new(&request, route, service.as_ref()),
            Requester::Scorer => None,
        };
        Self {
            request,
            route,
            service,
            queued,
            tried: Vec::new(),
            running: JoinSet::new(),
            unanswered: Vec::new(),
            hedges: 0,
            hedge_at: Instant::now(),
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
        if let Err(refusal) = self.start_next(queue).await {
            return self.fail(refusal.reason());
        }
        loop {
            let outcome = tokio::select! {
                Some(outcome) = self.running.join_next() => outcome,
                () = sleep_until(self.hedge_at), if self.may_hedge() => {
                    self.hedge();
                    continue;
                }
            };
            let failure = match outcome.map(|ended| self.take_outcome(ended)) {
                Ok(AttemptOutcome::Answer(answer, signature)) => {
                    return ForwardOutcome::Answer { answer, signature };
                }
                Ok(AttemptOutcome::NotExecuted) => Failure::NotExecuted,
                // A panicked attempt may have sent the request.
                Ok(AttemptOutcome::Unknown) | Err(_) => Failure::Unknown,
            };
            self.may_have_run |= failure == Failure::Unknown;
            if self.may_have_run && !self.may_repeat() {
                return self.fail("outcome unknown");
            }
            if self.request.admit().await.is_some() {
                return self.fail(QUARANTINE_REASON);
            }
            if let Some(why) = self.start_replacement(failure, queue).await {
                return self.fail(why);
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

    /// Starts an attempt as soon as the call has a place at its service; `queue` permits queueing inside the upstream.
    async fn start_next(&mut self, queue: bool) -> Result<(), QueueRefusal> {
        if self.tried.len() >= self.max_attempts() {
            return Err(QueueRefusal::NoUpstream);
        }
        let slot = match &self.queued {
            Some(queued) => queued.acquire(&self.request, &self.tried).await?,
            None => self.reserve_slot(queue).ok_or(QueueRefusal::NoUpstream)?,
        };
        self.send(slot, Cause::Turn);
        Ok(())
    }

    /// Starts an attempt after another one has failed. Returns why the call fails, if it does.
    async fn start_replacement(&mut self, failure: Failure, queue: bool) -> Option<&'static str> {
        if self.tried.len() >= self.max_attempts() {
            return self.running.is_empty().then_some("no upstream left");
        }
        if let Permission::Denied(denial) = self.may_retry(failure) {
            return self.running.is_empty().then_some(denial.reason());
        }
        if self.queued.is_some() && !self.running.is_empty() {
            // The answer to the attempt that still runs must not wait for a place.
            if let Some(slot) = self.reserve_beside() {
                self.send(slot, Cause::Turn);
            }
            return None;
        }
        match self.start_next(queue).await {
            Ok(()) => None,
            Err(_) if !self.running.is_empty() => None,
            Err(QueueRefusal::NoUpstream) => Some("no upstream left"),
            Err(refusal) => Some(refusal.reason()),
        }
    }

    fn may_retry(&self, failure: Failure) -> Permission {
        let Some(service) = &self.service else {
            return Permission::Granted;
        };
        let app = &self.request.app;
        let left = self.request.time_left();
        app.attempts.retry(service, failure, left, app.clock.now())
    }

    /// Starts an attempt beside one that runs, if one is allowed and an upstream has a free slot.
    fn hedge(&mut self) {
        let Some(service) = self.service.clone() else {
            return;
        };
        // Denied now, it may be granted later.
        self.hedge_at = self.next_hedge(&service);
        let outcome = self.begin_hedge(&service);
        if let HedgeOutcome::Denied(denial) = outcome {
            log::debug!(target: "forward", id = &*self.request.id, why = denial.reason(); "hedge denied");
        }
        count_hedges(&service, outcome, 1);
    }

    fn begin_hedge(&mut self, service: &Arc<str>) -> HedgeOutcome {
        let Some(slot) = self.reserve_beside() else {
            return HedgeOutcome::NoSlot;
        };
        let app = &self.request.app;
        let left = self.request.time_left();
        if let Permission::Denied(denial) = app.attempts.hedge(app, service, left) {
            return HedgeOutcome::Denied(denial);
        }
        self.hedges += 1;
        self.send(slot, Cause::Hedge);
        HedgeOutcome::Begun
    }

    /// Reserves a place and a free slot for an attempt beside one that runs.
    fn reserve_beside(&self) -> Option<UpstreamSlot> {
        match &self.queued {
            Some(queued) => queued.hedge(&self.request, &self.tried),
            None => self.reserve_slot(false),
        }
    }

    /// Returns when another attempt may begin beside one that begins now.
    fn next_hedge(&self, service: &Arc<str>) -> Instant {
        let app = &self.request.app;
        let objective = Objective {
            target: self.route.target_latency,
            timeout: self.route.timeout,
        };
        let delay = app
            .attempts
            .hedge_delay(service, objective, app.clock.now());
        Instant::now() + Duration::from_millis(delay)
    }

    /// Returns the time limit of an attempt that begins now, in milliseconds.
    fn time_limit(&self, left: Millis) -> Millis {
        let is_last = self.tried.len() >= self.max_attempts();
        match &self.service {
            Some(service) if self.may_repeat() && !is_last => {
                let app = &self.request.app;
                app.attempts.time_limit(service, left, app.clock.now())
            }
            _ => left,
        }
    }

    /// Records that an attempt has ended.
    fn take_outcome(&mut self, ended: Ended) -> AttemptOutcome {
        self.unanswered.retain(|id| *id != ended.upstream);
        if let (AttemptOutcome::Answer(..), Cause::Hedge) = (&ended.outcome, ended.cause) {
            self.record_hedge_won();
        }
        ended.outcome
    }

    /// Records that a hedge has brought the answer. The upstreams that it has overtaken get no calls for a while: the budget
    /// is for the first calls to an upstream that turns slow or silent, not for each of them.
    fn record_hedge_won(&mut self) {
        let app = &self.request.app;
        let now = app.clock.now();
        let mut tracker = app.service_tracker.lock();
        for id in &self.unanswered {
            tracker.engine_failed(id, now);
        }
        drop(tracker);
        if let Some(service) = &self.service {
            count_hedges(service, HedgeOutcome::Won, 1);
        }
        self.hedges = self.hedges.saturating_sub(1);
    }

    fn reserve_slot(&self, queue: bool) -> Option<UpstreamSlot> {
        let service = self.service.as_deref()?;
        self.request.reserve_slot(service, &self.tried, queue)
    }

    fn send(&mut self, slot: UpstreamSlot, cause: Cause) {
        let upstream = &slot.upstream;
        self.tried.push(upstream.id.clone());
        if let Some(service) = &self.service {
            self.hedge_at = self.next_hedge(service);
            // Scores are asked for anew while no upstream has a free slot, so a call counts once it is sent.
            if self.tried.len() == 1 {
                self.request.app.attempts.began(service);
            }
        }
        let left = self.request.time_left();
        let limit = self.time_limit(left);
        log::info!(target: "forward", id = &*self.request.id, upstream = &*upstream.id,
            attempt = self.tried.len(), left_ms = left, limit_ms = limit,
            hedge = cause == Cause::Hedge; "sent");
        let (request, upstream) = (self.request.clone(), upstream.id.clone());
        self.unanswered.push(upstream.clone());
        self.running.spawn(async move {
            let outcome = attempt(&request, slot, limit).await;
            Ended {
                upstream,
                cause,
                outcome,
            }
        });
    }

    /// Returns the refusal of a call that was not executed.
    fn not_executed(&self) -> Refusal {
        let queued = self.queued.as_ref();
        queued.map_or(Refusal::NotExecuted, |queued| {
            Refusal::Busy(queued.retry_after())
        })
    }

    /// Returns the refusal after the deadline. A call that is still at an upstream may have run there.
    fn time_out(&self) -> ForwardOutcome {
        let may_have_run = self.may_have_run || !self.running.is_empty();
        let refusal = if may_have_run {
            Refusal::TimedOut
        } else {
            self.not_executed()
        };
        self.refuse(refusal, "deadline exceeded")
    }

    fn fail(&self, why: &str) -> ForwardOutcome {
        let may_have_run = self.may_have_run || !self.running.is_empty();
        let refusal = if may_have_run {
            Refusal::OutcomeUnknown
        } else {
            self.not_executed()
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
                outcome = refusal.name(), retry_ms = refusal.retry_after().unwrap_or(0),
                list_age_ms = age.unwrap_or(0); "call failed");
        }
        ForwardOutcome::Refused(refusal)
    }
}

impl Drop for Attempts<'_> {
    /// Counts the hedges that did not bring the answer.
    fn drop(&mut self) {
        if let Some(service) = &self.service {
            count_hedges(service, HedgeOutcome::Lost, self.hedges);
        }
    }
}
