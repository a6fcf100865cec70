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
use crate::forwarded_request::ForwardedRequest;
use crate::forwarded_request::UpstreamSlot;
use crate::meter;
use crate::refuse::Refusal;

/// Time after which a call that may be repeated is sent to a second upstream as well: some times
/// the usual work of a lookup, and early enough for the second to answer within the latency that
/// callers aim at.
const HEDGE: Duration = Duration::from_millis(110);

/// Part of the time left that one attempt may take before it counts as lost, for a call that may
/// be repeated.
const PART: u32 = 2;

/// Time for which an upstream that turned a call away gets none, in milliseconds.
const FULL: Millis = 100;

/// Why a request is given up under which upstreams crash.
const POISON: &str = "upstreams crash under it";

/// Most bytes of an answer that is held until it is whole.
const ANSWER: usize = 32 << 20;

/// What came of one attempt.
enum Came {
    /// A whole answer of the upstream's application.
    Answer(Response<Bytes>, Arc<str>),
    /// The upstream has not run the call and never will.
    Unrun,
    /// Whether it ran is not known.
    Unknown,
}

/// Passes a call on and answers with what the upstream answered.
pub async fn call(
    app: &Arc<App>,
    route: &Arc<Route>,
    head: &Parts,
    caller: &Caller,
    body: Bytes,
    principal: Principal,
) -> Reply {
    let sent = ForwardedRequest::new(app, head, caller, body, route.timeout, principal);
    let sent = Arc::new(sent);
    let left = Duration::from_millis(sent.time_left());
    let mut tries = Tries::new(sent, route, Manner::Caller);
    let passed = match timeout(left, tries.answer()).await {
        Ok(passed) => passed,
        Err(_) => tries.late(),
    };
    match passed {
        Passed::Answer { answer, .. } => back(app, answer),
        Passed::Refused(refusal) => refusal.reply(),
    }
}

/// Asks a scorer for the score of a sample, once: within `limit`, and no longer than the request
/// has time.
pub(crate) async fn score(sent: Arc<ForwardedRequest>, route: &Route, limit: Duration) -> Passed {
    let left = Duration::from_millis(sent.time_left()).min(limit);
    let mut tries = Tries::new(sent, route, Manner::Scorer);
    match timeout(left, tries.answer()).await {
        Ok(passed) => passed,
        Err(_) => tries.late(),
    }
}

fn back(app: &App, answer: Response<Bytes>) -> Reply {
    let (head, bytes) = answer.into_parts();
    let mut reply = Response::new(net::body::full(bytes));
    *reply.status_mut() = head.status;
    *reply.headers_mut() = app.dialect.back(&head.headers);
    reply
}

/// What came of passing a request on.
pub(crate) enum Passed {
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
enum Manner {
    /// A caller waits for the answer: it may wait inside an upstream.
    Caller,
    /// A sample waits for its score: it takes free places alone. The samples of a step become whole by
    /// the dozen; if they queued inside upstreams, a caller's request would wait behind them.
    Scorer,
}

/// The attempts of one call.
struct Tries<'a> {
    sent: Arc<ForwardedRequest>,
    route: &'a Route,
    service: Option<Arc<str>>,
    used: Vec<Arc<str>>,
    running: JoinSet<Came>,
    manner: Manner,
    /// Whether it may have run somewhere.
    unclear: bool,
}

impl<'a> Tries<'a> {
    fn new(sent: Arc<ForwardedRequest>, route: &'a Route, manner: Manner) -> Self {
        Self {
            sent,
            route,
            service: Config::pick_service(route, rand::random()).cloned(),
            used: Vec::new(),
            running: JoinSet::new(),
            manner,
            unclear: false,
        }
    }

    fn may_repeat(&self) -> bool {
        self.manner == Manner::Scorer || self.route.kind == RouteKind::Idempotent
    }

    async fn answer(&mut self) -> Passed {
        let queue = self.manner == Manner::Caller;
        if let Some(left) = self.sent.admit().await {
            return self.refuse(Refusal::Quarantined(left), POISON);
        }
        if !self.begin(queue) {
            return self.give_up("no upstream has room");
        }
        loop {
            let came = tokio::select! {
                Some(came) = self.running.join_next() => came,
                () = sleep(HEDGE), if self.may_hedge() => {
                    self.begin(false);
                    continue;
                }
            };
            // A panicked attempt leaves open whether it was sent.
            match came.unwrap_or(Came::Unknown) {
                Came::Answer(answer, signature) => return Passed::Answer { answer, signature },
                Came::Unrun => (),
                Came::Unknown => self.unclear = true,
            }
            if self.unclear && !self.may_repeat() {
                return self.give_up("outcome unknown");
            }
            if self.sent.admit().await.is_some() {
                return self.give_up(POISON);
            }
            if !self.begin(queue) && self.running.is_empty() {
                return self.give_up("no upstream left");
            }
        }
    }

    fn may_hedge(&self) -> bool {
        self.may_repeat()
            && self.running.len() == 1
            && self.used.len() < self.attempts()
            && self.sent.verdict() == Verdict::Unrestricted
    }

    fn attempts(&self) -> usize {
        self.route.max_attempts.max(1) as usize
    }

    /// Begins an attempt if one is allowed and an upstream has room; `queue` tells whether it may
    /// wait inside the upstream.
    fn begin(&mut self, queue: bool) -> bool {
        if self.used.len() >= self.attempts() {
            return false;
        }
        let service = self.service.as_deref();
        let place = service.and_then(|name| self.sent.reserve_slot(name, &self.used, queue));
        let Some(place) = place else {
            return false;
        };
        let one = &place.upstream;
        self.used.push(one.id.clone());
        let left = self.sent.time_left();
        let part = match self.may_repeat() && self.used.len() < self.attempts() {
            true => left / Millis::from(PART),
            false => left,
        };
        log::info!(target: "forward", id = &*self.sent.id, upstream = &*one.id,
            attempt = self.used.len(), left_ms = left; "sent");
        let sent = self.sent.clone();
        self.running
            .spawn(async move { attempt(&sent, place, part).await });
        true
    }

    /// Answers when the time is over. A call that is still at an upstream may have run there.
    fn late(&self) -> Passed {
        let sent = self.unclear || !self.running.is_empty();
        let refusal = if sent { Refusal::Late } else { Refusal::Unrun };
        self.refuse(refusal, "time is over")
    }

    fn give_up(&self, why: &str) -> Passed {
        let sent = self.unclear || !self.running.is_empty();
        let refusal = if sent {
            Refusal::Unknown
        } else {
            Refusal::Unrun
        };
        self.refuse(refusal, why)
    }

    fn refuse(&self, refusal: Refusal, why: &str) -> Passed {
        // A sample that finds no free place looks again within moments, and writes a line when it has
        // its score or is given up.
        if self.manner == Manner::Caller || !self.used.is_empty() {
            let age = self.sent.app.roster.lock().age(self.sent.app.clock.now());
            log::info!(target: "forward", id = &*self.sent.id, why, attempts = self.used.len(),
                outcome = refusal.name(), list_age_ms = age.unwrap_or(0); "given up");
        }
        Passed::Refused(refusal)
    }
}

async fn attempt(sent: &ForwardedRequest, place: UpstreamSlot, part: Millis) -> Came {
    let one = &place.upstream;
    let Some(request) = sent.build_request(one, None) else {
        return Came::Unrun;
    };
    let begun = sent.app.clock.now();
    let number = sent.record_send();
    let limit = Duration::from_millis(part);
    let answer = sent.app.http.fetch(request, limit, ANSWER).await;
    let took = sent.app.clock.now() - begun;
    let broke = matches!(answer, Err(SendError::Broken));
    let came = judge(sent, one, answer, took);
    if broke {
        sent.check_crash(one).await;
    }
    if matches!(came, Came::Unrun) {
        sent.mark_unexecuted(number);
    }
    let outcome = match &came {
        Came::Answer(..) => "answered",
        Came::Unrun => "unrun",
        Came::Unknown => "unknown",
    };
    metrics::counter!(meter::ATTEMPTS, "outcome" => outcome).increment(1);
    came
}

fn judge(
    sent: &ForwardedRequest,
    one: &Arc<Upstream>,
    answer: Result<Response<Bytes>, SendError>,
    took: Millis,
) -> Came {
    let now = sent.app.clock.now();
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            sent.app.plain.lock().engine_failed(&one.id, now);
            let why = error.to_string();
            log::info!(target: "forward", id = &*sent.id, upstream = &*one.id,
                took_ms = took, why = why.as_str(); "attempt failed");
            return match error.is_unsent() {
                true => Came::Unrun,
                false => Came::Unknown,
            };
        }
    };
    let said = sent.app.dialect.said(answer.status(), answer.headers());
    let mut plain = sent.app.plain.lock();
    if let Some(load) = said.load {
        plain.load_reported(&one.id, load, now);
    }
    if said.unrun || said.other {
        plain.engine_busy(&one.id, now + FULL);
        return Came::Unrun;
    }
    if let (Some(id), Some(signature)) = (&said.id, said.signature)
        && **id == *sent.id
    {
        plain.event_received(&one.id, took as f64);
        drop(plain);
        sent.record_answer(answer.status());
        return Came::Answer(answer, signature);
    }
    plain.engine_failed(&one.id, now);
    let status = answer.status().as_u16();
    log::warn!(target: "forward", id = &*sent.id, upstream = &*one.id, status,
        answers = said.id.as_deref().unwrap_or("nothing"); "answer of something else");
    Came::Unknown
}
