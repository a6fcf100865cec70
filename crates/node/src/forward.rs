//! Passing a call on to a plain service.
//!
//! Load pattern: few calls with a short time to answer, beside upstreams that crash, go silent or
//! turn slow. A call that may run twice is sent to a second upstream as soon as it takes longer
//! than nearly all do; one that may not is sent again only when it is certain not to have run.

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
use crate::meter;
use crate::refuse::Refusal;
use crate::sent::Place;
use crate::sent::Sent;

/// Time after which a call that may be repeated is sent to a second upstream as well: some times
/// the usual work of a lookup, and early enough for the second to answer within the latency that
/// callers aim at.
const HEDGE_DELAY: Duration = Duration::from_millis(110);

/// Part of the time left that one attempt may take before it counts as lost, for a call that may
/// be repeated.
const ATTEMPT_TIME_DIVISOR: u32 = 2;

/// Time for which an upstream that turned a call away gets none, in milliseconds.
const BUSY_PAUSE: Millis = 100;

/// Why a request is given up under which upstreams crash.
const QUARANTINE_REASON: &str = "upstreams crash under it";

/// Most bytes of an answer that is held until it is whole.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// What came of one attempt.
enum AttemptOutcome {
    /// A whole answer of the upstream's application.
    Answer(Response<Bytes>, Arc<str>),
    /// The upstream has not run the call and never will.
    NotExecuted,
    /// Whether it ran is not known.
    Unknown,
}

/// Passes a call on and answers with what the upstream answered.
pub async fn forward_call(
    app: &Arc<App>,
    route: &Arc<Route>,
    head: &Parts,
    caller: &Caller,
    body: Bytes,
    principal: Principal,
) -> Reply {
    let sent = Sent::new(app, head, caller, body, route.timeout, principal);
    let sent = Arc::new(sent);
    let left = Duration::from_millis(sent.left());
    let mut tries = Attempts::new(sent, route, Requester::Caller);
    let passed = match timeout(left, tries.answer()).await {
        Ok(passed) => passed,
        Err(_) => tries.time_out(),
    };
    match passed {
        ForwardOutcome::Answer { answer, .. } => build_reply(app, answer),
        ForwardOutcome::Refused(refusal) => refusal.reply(),
    }
}

/// Asks a scorer for the score of a sample, once: within `limit`, and no longer than the request
/// has time.
pub(crate) async fn forward_score(
    sent: Arc<Sent>,
    route: &Route,
    limit: Duration,
) -> ForwardOutcome {
    let left = Duration::from_millis(sent.left()).min(limit);
    let mut tries = Attempts::new(sent, route, Requester::Scorer);
    match timeout(left, tries.answer()).await {
        Ok(passed) => passed,
        Err(_) => tries.time_out(),
    }
}

fn build_reply(app: &App, answer: Response<Bytes>) -> Reply {
    let (head, bytes) = answer.into_parts();
    let mut reply = Response::new(net::body::full(bytes));
    *reply.status_mut() = head.status;
    *reply.headers_mut() = app.dialect.reply_headers(&head.headers);
    reply
}

/// What came of passing a request on.
pub(crate) enum ForwardOutcome {
    /// A whole answer of the upstream's application, with its signature.
    Answer {
        /// The answer.
        answer: Response<Bytes>,
        /// The signature.
        signature: Arc<str>,
    },
    /// There is none.
    Refused(Refusal),
}

/// How a request is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Requester {
    /// A caller waits for the answer: it may wait inside an upstream.
    Caller,
    /// A sample waits for its score: it takes free places alone. The samples of a step become whole by
    /// the dozen; if they queued inside upstreams, a caller's request would wait behind them.
    Scorer,
}

/// The attempts of one call.
struct Attempts<'a> {
    sent: Arc<Sent>,
    route: &'a Route,
    service: Option<Arc<str>>,
    tried: Vec<Arc<str>>,
    running: JoinSet<AttemptOutcome>,
    requester: Requester,
    /// Whether it may have run somewhere.
    may_have_run: bool,
}

impl<'a> Attempts<'a> {
    fn new(sent: Arc<Sent>, route: &'a Route, manner: Requester) -> Self {
        Self {
            sent,
            route,
            service: Config::pick_service(route, rand::random()).cloned(),
            tried: Vec::new(),
            running: JoinSet::new(),
            requester: manner,
            may_have_run: false,
        }
    }

    fn may_repeat(&self) -> bool {
        self.requester == Requester::Scorer || self.route.kind == RouteKind::Idempotent
    }

    async fn answer(&mut self) -> ForwardOutcome {
        let queue = self.requester == Requester::Caller;
        if let Some(left) = self.sent.admit().await {
            return self.refuse(Refusal::Quarantined(left), QUARANTINE_REASON);
        }
        if !self.start_attempt(queue) {
            return self.give_up("no upstream has room");
        }
        loop {
            let came = tokio::select! {
                Some(came) = self.running.join_next() => came,
                () = sleep(HEDGE_DELAY), if self.may_hedge() => {
                    self.start_attempt(false);
                    continue;
                }
            };
            // A panicked attempt leaves open whether it was sent.
            match came.unwrap_or(AttemptOutcome::Unknown) {
                AttemptOutcome::Answer(answer, signature) => {
                    return ForwardOutcome::Answer { answer, signature };
                }
                AttemptOutcome::NotExecuted => (),
                AttemptOutcome::Unknown => self.may_have_run = true,
            }
            if self.may_have_run && !self.may_repeat() {
                return self.give_up("outcome unknown");
            }
            if self.sent.admit().await.is_some() {
                return self.give_up(QUARANTINE_REASON);
            }
            if !self.start_attempt(queue) && self.running.is_empty() {
                return self.give_up("no upstream left");
            }
        }
    }

    fn may_hedge(&self) -> bool {
        self.may_repeat()
            && self.running.len() == 1
            && self.tried.len() < self.max_attempts()
            && self.sent.verdict() == Verdict::Unrestricted
    }

    fn max_attempts(&self) -> usize {
        self.route.max_attempts.max(1) as usize
    }

    /// Begins an attempt if one is allowed and an upstream has room; `queue` tells whether it may
    /// wait inside the upstream.
    fn start_attempt(&mut self, queue: bool) -> bool {
        if self.tried.len() >= self.max_attempts() {
            return false;
        }
        let service = self.service.as_deref();
        let place = service.and_then(|name| self.sent.choose(name, &self.tried, queue));
        let Some(place) = place else {
            return false;
        };
        let one = &place.one;
        self.tried.push(one.id.clone());
        let left = self.sent.left();
        let part = match self.may_repeat() && self.tried.len() < self.max_attempts() {
            true => left / Millis::from(ATTEMPT_TIME_DIVISOR),
            false => left,
        };
        log::info!(target: "forward", id = &*self.sent.id, upstream = &*one.id,
            attempt = self.tried.len(), left_ms = left; "sent");
        let sent = self.sent.clone();
        self.running
            .spawn(async move { attempt(&sent, place, part).await });
        true
    }

    /// Answers when the time is over. A call that is still at an upstream may have run there.
    fn time_out(&self) -> ForwardOutcome {
        let sent = self.may_have_run || !self.running.is_empty();
        let refusal = if sent {
            Refusal::TimedOut
        } else {
            Refusal::NotExecuted
        };
        self.refuse(refusal, "time is over")
    }

    fn give_up(&self, why: &str) -> ForwardOutcome {
        let sent = self.may_have_run || !self.running.is_empty();
        let refusal = if sent {
            Refusal::OutcomeUnknown
        } else {
            Refusal::NotExecuted
        };
        self.refuse(refusal, why)
    }

    fn refuse(&self, refusal: Refusal, why: &str) -> ForwardOutcome {
        // A sample that finds no free place looks again within moments, and writes a line when it has
        // its score or is given up.
        if self.requester == Requester::Caller || !self.tried.is_empty() {
            let age = self
                .sent
                .app
                .upstreams
                .lock()
                .age(self.sent.app.clock.now());
            log::info!(target: "forward", id = &*self.sent.id, why, attempts = self.tried.len(),
                outcome = refusal.name(), list_age_ms = age.unwrap_or(0); "given up");
        }
        ForwardOutcome::Refused(refusal)
    }
}

async fn attempt(sent: &Sent, place: Place, part: Millis) -> AttemptOutcome {
    let one = &place.one;
    let Some(request) = sent.request(one, None) else {
        return AttemptOutcome::NotExecuted;
    };
    let begun = sent.app.clock.now();
    let number = sent.send();
    let limit = Duration::from_millis(part);
    let answer = sent.app.http.fetch(request, limit, MAX_ANSWER_BYTES).await;
    let took = sent.app.clock.now() - begun;
    let broke = matches!(answer, Err(SendError::Broken));
    let came = classify(sent, one, answer, took);
    if broke {
        sent.broke(one).await;
    }
    if matches!(came, AttemptOutcome::NotExecuted) {
        sent.unrun(number);
    }
    let outcome = match &came {
        AttemptOutcome::Answer(..) => "answered",
        AttemptOutcome::NotExecuted => "unrun",
        AttemptOutcome::Unknown => "unknown",
    };
    metrics::counter!(meter::ATTEMPTS, "outcome" => outcome).increment(1);
    came
}

fn classify(
    sent: &Sent,
    one: &Arc<Upstream>,
    answer: Result<Response<Bytes>, SendError>,
    took: Millis,
) -> AttemptOutcome {
    let now = sent.app.clock.now();
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            sent.app.service_tracker.lock().engine_failed(&one.id, now);
            let why = error.to_string();
            log::info!(target: "forward", id = &*sent.id, upstream = &*one.id,
                took_ms = took, why = why.as_str(); "attempt failed");
            return match error.is_unsent() {
                true => AttemptOutcome::NotExecuted,
                false => AttemptOutcome::Unknown,
            };
        }
    };
    let said = sent
        .app
        .dialect
        .decode_answer_head(answer.status(), answer.headers());
    let mut plain = sent.app.service_tracker.lock();
    if let Some(load) = said.load {
        plain.load_reported(&one.id, load, now);
    }
    if said.not_executed || said.misdirected {
        plain.engine_busy(&one.id, now + BUSY_PAUSE);
        return AttemptOutcome::NotExecuted;
    }
    if let (Some(id), Some(signature)) = (&said.attempt_id, said.signature)
        && **id == *sent.id
    {
        plain.event_received(&one.id, took as f64);
        drop(plain);
        sent.answered(answer.status());
        return AttemptOutcome::Answer(answer, signature);
    }
    plain.engine_failed(&one.id, now);
    let status = answer.status().as_u16();
    log::warn!(target: "forward", id = &*sent.id, upstream = &*one.id, status,
        answers = said.attempt_id.as_deref().unwrap_or("nothing"); "answer of something else");
    AttemptOutcome::Unknown
}
