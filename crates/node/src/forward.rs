//! Passing a call on to a plain service.
//!
//! Load pattern: few calls with a short time to answer, beside upstreams that crash, go silent or
//! turn slow. A call that may run twice is sent to a second upstream as soon as it takes longer
//! than nearly all do; one that may not is sent again only when it is certain not to have run.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::Uri;
use http::request::Parts;
use http_body_util::Full;
use kernel::Millis;
use net::Reply;
use net::SendError;
use place::Want;
use table::Kind;
use table::Listed;
use table::Plan;
use table::Route;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::App;
use crate::dialect::Caller;
use crate::meter;
use crate::refuse::Refusal;

/// Time after which a call that may be repeated is sent to a second upstream as well: four times
/// the usual work of today's services, and early enough for the second to answer within the
/// latency that callers aim at.
const HEDGE: Duration = Duration::from_millis(110);

/// Part of the time left that one attempt may take before it counts as lost, for a call that may
/// be repeated.
const PART: u32 = 2;

/// Time kept back for the way of the answer to the caller, in milliseconds.
const WAY: Millis = 10;

/// Time for which an upstream that turned a call away gets none, in milliseconds.
const FULL: Millis = 100;

/// Most bytes of an answer that is held until it is whole.
const ANSWER: usize = 32 << 20;

/// What came of one attempt.
enum Came {
    /// A whole answer of the upstream's application.
    Answer(Response<Bytes>),
    /// The upstream has not run the call and never will.
    Unrun,
    /// Whether it ran is not known.
    Unknown,
}

/// A call as it is sent, once for each attempt.
pub(crate) struct Sent {
    app: Arc<App>,
    head: Parts,
    body: Bytes,
    id: Arc<str>,
}

/// Passes a call on and answers with what the upstream answered.
pub async fn call(
    app: &Arc<App>,
    route: &Arc<Route>,
    head: &Parts,
    caller: &Caller,
    body: Bytes,
) -> Reply {
    let sent = Arc::new(Sent {
        app: app.clone(),
        head: head.clone(),
        body,
        id: caller.id.clone(),
    });
    let wait = caller.deadline.unwrap_or(route.timeout).min(route.timeout);
    let left = Duration::from_millis(wait.saturating_sub(WAY));
    let mut tries = Tries::new(sent, route, app.clock.now() + wait);
    match timeout(left, tries.answer()).await {
        Ok(reply) => reply,
        Err(_) => tries.late(),
    }
}

/// The attempts of one call.
struct Tries<'a> {
    sent: Arc<Sent>,
    route: &'a Route,
    until: Millis,
    service: Option<Arc<str>>,
    used: Vec<Arc<str>>,
    running: JoinSet<Came>,
    /// Whether it may have run somewhere.
    unclear: bool,
}

impl<'a> Tries<'a> {
    fn new(sent: Arc<Sent>, route: &'a Route, until: Millis) -> Self {
        Self {
            sent,
            route,
            until,
            service: Plan::draw(route, rand::random()).cloned(),
            used: Vec::new(),
            running: JoinSet::new(),
            unclear: false,
        }
    }

    fn may_repeat(&self) -> bool {
        self.route.kind == Kind::Idempotent
    }

    async fn answer(&mut self) -> Reply {
        if !self.begin(true) {
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
                Came::Answer(answer) => return self.pass(answer),
                Came::Unrun => (),
                Came::Unknown => self.unclear = true,
            }
            if self.unclear && !self.may_repeat() {
                return self.give_up("outcome unknown");
            }
            if !self.begin(true) && self.running.is_empty() {
                return self.give_up("no upstream left");
            }
        }
    }

    fn may_hedge(&self) -> bool {
        self.may_repeat() && self.running.len() == 1 && self.used.len() < self.attempts()
    }

    fn attempts(&self) -> usize {
        self.route.attempts.max(1) as usize
    }

    /// Begins an attempt if one is allowed and an upstream has room; `queue` tells whether it may
    /// wait inside the upstream.
    fn begin(&mut self, queue: bool) -> bool {
        if self.used.len() >= self.attempts() {
            return false;
        }
        let Some(one) = self.choose(queue) else {
            return false;
        };
        self.used.push(one.id.clone());
        let now = self.sent.app.clock.now();
        let left = self.until.saturating_sub(now + WAY);
        let part = match self.may_repeat() && self.used.len() < self.attempts() {
            true => left / Millis::from(PART),
            false => left,
        };
        log::info!(target: "forward", id = &*self.sent.id, upstream = &*one.id,
            attempt = self.used.len(), left_ms = left; "sent");
        let sent = self.sent.clone();
        self.running
            .spawn(async move { sent.attempt(one, left, part).await });
        true
    }

    fn choose(&self, queue: bool) -> Option<Arc<Listed>> {
        let app = &self.sent.app;
        let roster = app.roster.lock();
        let service = self.service.as_deref()?;
        let slots = roster.of(service).map(|one| one.slots).max().unwrap_or(0);
        let want = Want {
            service,
            model: None,
            least: 0,
            queue: if queue { slots } else { 0 },
            domain: &app.settings.domain,
            kin: None,
            avoid: &self.used,
        };
        app.plain.lock().choose(&roster, &want, app.clock.now())
    }

    fn pass(&self, answer: Response<Bytes>) -> Reply {
        let (head, bytes) = answer.into_parts();
        let mut reply = Response::new(net::body::full(bytes));
        *reply.status_mut() = head.status;
        *reply.headers_mut() = self.sent.app.dialect.back(&head.headers);
        reply
    }

    /// Answers when the time is over. A call that is still at an upstream may have run there.
    fn late(&self) -> Reply {
        let sent = self.unclear || !self.running.is_empty();
        let refusal = if sent { Refusal::Late } else { Refusal::Unrun };
        self.refuse(refusal, "time is over")
    }

    fn give_up(&self, why: &str) -> Reply {
        let sent = self.unclear || !self.running.is_empty();
        let refusal = if sent {
            Refusal::Unknown
        } else {
            Refusal::Unrun
        };
        self.refuse(refusal, why)
    }

    fn refuse(&self, refusal: Refusal, why: &str) -> Reply {
        let age = self.sent.app.roster.lock().age(self.sent.app.clock.now());
        log::info!(target: "forward", id = &*self.sent.id, why, attempts = self.used.len(),
            outcome = refusal.name(), list_age_ms = age.unwrap_or(0); "given up");
        refusal.reply()
    }
}

/// Counts a request at an upstream for as long as it lives, also when the caller leaves.
pub(crate) struct Place {
    app: Arc<App>,
    one: Arc<Listed>,
}

impl Place {
    pub(crate) fn take(app: &Arc<App>, one: &Arc<Listed>) -> Self {
        app.plain.lock().begin(&one.id);
        Self {
            app: app.clone(),
            one: one.clone(),
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.app.plain.lock().end(&self.one.id);
    }
}

impl Sent {
    fn request(&self, one: &Listed, left: Millis) -> Option<Request<Full<Bytes>>> {
        let path = self
            .head
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let uri: Uri = net::client::uri(one.addr, path).parse().ok()?;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = uri;
        let dialect = &self.app.dialect;
        *request.headers_mut() = dialect.forward(&self.head.headers, &one.id, Some(left));
        Some(request)
    }

    async fn attempt(&self, one: Arc<Listed>, left: Millis, part: Millis) -> Came {
        let _place = Place::take(&self.app, &one);
        let Some(request) = self.request(&one, left) else {
            return Came::Unrun;
        };
        let begun = self.app.clock.now();
        let limit = Duration::from_millis(part);
        let answer = self.app.http.fetch(request, limit, ANSWER).await;
        let took = self.app.clock.now() - begun;
        let came = self.judge(&one, answer, took);
        let outcome = match &came {
            Came::Answer(_) => "answered",
            Came::Unrun => "unrun",
            Came::Unknown => "unknown",
        };
        metrics::counter!(meter::ATTEMPTS, "outcome" => outcome).increment(1);
        came
    }

    fn judge(
        &self,
        one: &Arc<Listed>,
        answer: Result<Response<Bytes>, SendError>,
        took: Millis,
    ) -> Came {
        let now = self.app.clock.now();
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.app.plain.lock().failed(&one.id, now);
                let why = error.to_string();
                log::info!(target: "forward", id = &*self.id, upstream = &*one.id,
                    took_ms = took, why = why.as_str(); "attempt failed");
                return match error.is_unsent() {
                    true => Came::Unrun,
                    false => Came::Unknown,
                };
            }
        };
        let said = self.app.dialect.said(answer.status(), answer.headers());
        let mut plain = self.app.plain.lock();
        if let Some(load) = said.load {
            plain.report(&one.id, load, now);
        }
        if said.unrun || said.other {
            plain.busy(&one.id, now + FULL);
            return Came::Unrun;
        }
        if said.id.as_deref() != Some(&*self.id) || !said.signed {
            plain.failed(&one.id, now);
            let status = answer.status().as_u16();
            log::warn!(target: "forward", id = &*self.id, upstream = &*one.id, status,
                answers = said.id.as_deref().unwrap_or("nothing"); "answer of something else");
            return Came::Unknown;
        }
        plain.event(&one.id, took as f64);
        Came::Answer(answer)
    }
}
