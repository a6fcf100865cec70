//! Forwards a stream of events to a caller.
//!
//! Events are forwarded as they arrive. A stream that breaks is resumed after its last event at another upstream
//! where the route allows it; otherwise the answer is aborted, so that the caller does not take it for complete.

mod pump;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use kernel::Millis;
use net::Payload;
use net::Reply;
use net::SendError;
use table::Config;
use table::Route;
use tokio::time::timeout;

use crate::answer;
use crate::answer::Answer;
use crate::answer::Attribution;
use crate::answer::Outbound;
use crate::answer::Statement;
use crate::call_queue::PlaceResult;
use crate::call_queue::QueueRefusal;
use crate::call_queue::QueuedCall;
use crate::dialect::Caller;
use crate::event_run;
use crate::forwarded_request::ForwardedRequest;
use crate::forwarded_request::UpstreamSlot;
use crate::refusal::Refusal;

/// Largest answer in bytes that is not a stream; it is buffered.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The outcome of one attempt.
enum AttemptOutcome {
    /// The head of the answer.
    Stream(Box<Answer<Incoming>>, UpstreamSlot),
    /// The upstream has not executed the request and never will.
    NotExecuted,
    /// The request was not executed: its service is busy for so many milliseconds.
    Busy(Millis),
    /// Nothing was sent: upstreams crash under the request, which is blocked for so many milliseconds.
    Quarantined(Millis),
    /// Whether the request was executed is unknown.
    Unknown,
}

/// Why a run of a stream is opened.
#[derive(Clone, Copy, Debug)]
enum Opening<'a> {
    /// It is the first one.
    First,
    /// The run before broke off after this event, if any.
    Resumption(Option<&'a str>),
}

/// The state of one caller's stream.
struct Stream {
    request: ForwardedRequest,
    route: Arc<Route>,
    last_event: Option<Arc<str>>,
    tried: Vec<Arc<str>>,
    /// The stream in the queue of its service until it has started, if calls wait here.
    queued: Option<QueuedCall>,
}

/// Forwards a stream to a caller.
pub(crate) async fn forward_stream(
    route: &Arc<Route>,
    caller: &Caller,
    request: ForwardedRequest,
) -> Reply {
    let service = Config::pick_service(route, rand::random());
    let mut stream = Stream {
        queued: QueuedCall::new(&request, route, service),
        request,
        route: route.clone(),
        last_event: caller.last_event.clone(),
        tried: Vec::new(),
    };
    match stream.open(Opening::First).await {
        AttemptOutcome::Stream(answer, slot) => {
            // Attempts to resume a stream that breaks neither take a place nor wait for one.
            stream.queued = None;
            // The request counts for its team's report once it has started, however long it runs.
            stream.request.finish_count();
            stream.answer(*answer, slot).await
        }
        AttemptOutcome::NotExecuted => Refusal::NotExecuted.reply(),
        AttemptOutcome::Busy(delay) => Refusal::Busy(delay).reply(),
        AttemptOutcome::Quarantined(left) => Refusal::Quarantined(left).reply(),
        AttemptOutcome::Unknown => Refusal::OutcomeUnknown.reply(),
    }
}

impl Stream {
    /// Reserves a slot, where the stream may queue inside the upstream as calls do: if it used free slots only, it
    /// would rarely get one, because queued calls take them first.
    async fn choose(&self) -> Result<UpstreamSlot, QueueRefusal> {
        if let Some(queued) = &self.queued {
            return queued.acquire(&self.request, &self.tried).await;
        }
        let service = Config::pick_service(&self.route, rand::random());
        service
            .and_then(|service| self.request.reserve_slot(service, &self.tried, true))
            .ok_or(QueueRefusal::NoUpstream)
    }

    fn max_attempts(&self) -> usize {
        self.route.max_attempts.max(1) as usize
    }

    /// Returns the outcome of a stream that was not executed.
    fn not_executed(&self, why: &str) -> AttemptOutcome {
        let Some(queued) = &self.queued else {
            return AttemptOutcome::NotExecuted;
        };
        let delay = queued.retry_after();
        log::info!(target: "stream", id = &*self.request.id, why, retry_ms = delay,
            attempts = self.tried.len(); "stream refused");
        AttemptOutcome::Busy(delay)
    }

    /// Opens a run of the stream, trying one upstream after the other.
    async fn open(&mut self, opening: Opening<'_>) -> AttemptOutcome {
        let resumable = self.route.resumable;
        let mut may_have_run = false;
        let mut why = "no upstream left";
        if let Some(left) = self.request.admit().await {
            log::info!(target: "stream", id = &*self.request.id, left_ms = left;
                "request crashes upstreams");
            return AttemptOutcome::Quarantined(left);
        }
        while self.tried.len() < self.max_attempts() {
            let slot = match self.choose().await {
                Ok(slot) => slot,
                Err(refusal) => {
                    why = refusal.reason();
                    break;
                }
            };
            self.tried.push(slot.upstream.id.clone());
            match self.attempt(slot, opening).await {
                AttemptOutcome::NotExecuted => (),
                AttemptOutcome::Unknown if resumable => may_have_run = true,
                outcome => return outcome,
            }
            if self.request.admit().await.is_some() {
                break;
            }
        }
        match may_have_run {
            true => AttemptOutcome::Unknown,
            false => self.not_executed(why),
        }
    }

    async fn attempt(&self, slot: UpstreamSlot, opening: Opening<'_>) -> AttemptOutcome {
        let upstream = &slot.upstream;
        let last = match opening {
            Opening::First => None,
            Opening::Resumption(last) => last,
        };
        let Some(request) = self.request.build_request(upstream, last) else {
            return AttemptOutcome::NotExecuted;
        };
        let number = self.request.record_send();
        let outcome = self.send_attempt(request, slot, opening).await;
        if matches!(outcome, AttemptOutcome::NotExecuted) {
            self.request.mark_unexecuted(number);
        }
        outcome
    }

    async fn send_attempt(
        &self,
        request: Request<Payload>,
        mut slot: UpstreamSlot,
        opening: Opening<'_>,
    ) -> AttemptOutcome {
        let upstream = slot.upstream.clone();
        let left = Duration::from_millis(self.request.time_left());
        let app = &self.request.app;
        let started = app.clock.now();
        let outbound = Outbound {
            request,
            upstream: upstream.id.clone(),
            id: Some(self.request.id.clone()),
            condition: self.request.send_condition(),
        };
        let answer = match answer::send(app, outbound, left).await {
            Ok(Attribution::Own(answer)) => answer,
            Ok(Attribution::Foreign) => {
                slot.record(PlaceResult::Unanswered, app.clock.now() - started);
                let mut tracker = app.service_tracker.lock();
                tracker.engine_failed(&upstream.id, app.clock.now());
                return AttemptOutcome::Unknown;
            }
            Err(error) => {
                slot.record(PlaceResult::Unanswered, app.clock.now() - started);
                if !matches!(error, SendError::Forbidden) {
                    let mut tracker = app.service_tracker.lock();
                    tracker.engine_failed(&upstream.id, app.clock.now());
                }
                let why = error.to_string();
                log::info!(target: "stream", id = &*self.request.id, upstream = &*upstream.id,
                    why = why.as_str(); "attempt failed");
                if matches!(error, SendError::Broken) {
                    self.request.check_crash(&upstream).await;
                }
                return match error.is_unsent() {
                    true => AttemptOutcome::NotExecuted,
                    false => AttemptOutcome::Unknown,
                };
            }
        };
        let took = app.clock.now() - started;
        match &answer.statement {
            Statement::Rejected => {
                slot.record(PlaceResult::Rejected, took);
                AttemptOutcome::NotExecuted
            }
            Statement::Misdirected => AttemptOutcome::NotExecuted,
            Statement::Executed(_) => {
                slot.record_answer(answer.load, took);
                match self.continues(&answer, &upstream.id, opening) {
                    true => AttemptOutcome::Stream(Box::new(answer), slot),
                    false => AttemptOutcome::Unknown,
                }
            }
            Statement::Unsigned => {
                slot.record_answer(answer.load, took);
                answer.log_unsigned(&self.request.id, &upstream.id);
                AttemptOutcome::Unknown
            }
        }
    }

    /// Returns whether an answer can be the rest of the stream. The first one reaches the caller whatever it is.
    fn continues(&self, answer: &Answer<Incoming>, upstream: &str, opening: Opening<'_>) -> bool {
        let Opening::Resumption(last) = opening else {
            return true;
        };
        let Err(error) = event_run::check_head(answer.status, &answer.headers) else {
            return true;
        };
        log::warn!(target: "stream", id = &*self.request.id, upstream, status = answer.status.as_u16(),
            first = last.unwrap_or("nothing"), why = error.reason(); "stream not resumed");
        false
    }

    async fn answer(self, answer: Answer<Incoming>, slot: UpstreamSlot) -> Reply {
        if event_run::check_head(answer.status, &answer.headers).is_err() {
            return self.reply_whole(answer).await;
        }
        let (sender, out) = net::body::stream();
        let mut reply = Response::new(out);
        *reply.status_mut() = answer.status;
        *reply.headers_mut() = self.request.app.dialect.reply_headers(&answer.headers);
        tokio::spawn(async move {
            let id = self.request.id.clone();
            let is_complete = self.pump(answer, slot, &sender).await;
            if !is_complete {
                log::info!(target: "stream", id = &*id; "stream aborted");
                // The caller must not take a partial answer for a complete one.
                let reset = io::Error::from(io::ErrorKind::ConnectionReset);
                let _ = sender.send(Err(reset)).await;
            }
        });
        reply
    }

    /// Forwards an answer that is not a stream, once it is complete.
    async fn reply_whole(self, answer: Answer<Incoming>) -> Reply {
        let left = Duration::from_millis(self.request.time_left());
        let http = &self.request.app.http;
        let bytes = match timeout(left, http.read_body(answer.body, MAX_ANSWER_BYTES)).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) => return Refusal::OutcomeUnknown.reply(),
            Err(_) => return Refusal::TimedOut.reply(),
        };
        self.request.record_answer(answer.status);
        let mut reply = Response::new(net::body::full(bytes));
        *reply.status_mut() = answer.status;
        *reply.headers_mut() = self.request.app.dialect.reply_headers(&answer.headers);
        reply
    }
}
