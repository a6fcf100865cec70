//! Passing a stream of events on to a caller.
//!
//! Events go on as they come. A stream that breaks is taken up behind its last event at another
//! upstream where the route allows it; else the answer is cut off, so that it does not look whole.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use kernel::Millis;
use net::Reply;
use net::SendError;
use net::body::Sender;
use table::Config;
use table::Route;
use team::Principal;
use tokio::time::timeout;

use crate::App;
use crate::dialect::Caller;
use crate::events::Events;
use crate::events::NextEvent;
use crate::refuse::Refusal;
use crate::sent::Place;
use crate::sent::Sent;

/// Silence within a stream after which its upstream is taken for lost.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_500);

/// Most bytes of an answer that is no stream.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// What came of one attempt.
enum AttemptOutcome {
    /// The head of a stream.
    Stream(Box<Response<Incoming>>, Place),
    /// The upstream has not run the request and never will.
    NotExecuted,
    /// Nothing was sent: upstreams crash under the request, which may not run for so many milliseconds.
    Quarantined(Millis),
    /// Whether it ran is not known.
    Unknown,
}

/// One caller's stream.
struct Stream {
    sent: Sent,
    route: Arc<Route>,
    last_event: Option<Arc<str>>,
    tried: Vec<Arc<str>>,
}

/// Passes a stream on.
pub async fn pass(
    app: &Arc<App>,
    route: &Arc<Route>,
    head: &Parts,
    caller: &Caller,
    body: Bytes,
    principal: Principal,
) -> Reply {
    let mut stream = Stream {
        sent: Sent::new(app, head, caller, body, route.timeout, principal),
        route: route.clone(),
        last_event: caller.last_event.clone(),
        tried: Vec::new(),
    };
    match stream.open(None).await {
        AttemptOutcome::Stream(answer, place) => {
            // It has begun to run; how long it lasts does not matter for its team's report.
            stream.sent.settle();
            stream.answer(*answer, place).await
        }
        AttemptOutcome::NotExecuted => Refusal::NotExecuted.reply(),
        AttemptOutcome::Quarantined(left) => Refusal::Quarantined(left).reply(),
        AttemptOutcome::Unknown => Refusal::OutcomeUnknown.reply(),
    }
}

impl Stream {
    /// Takes a place, where the stream may wait inside the upstream as calls do: if it took free places alone,
    /// it would get next to none beside calls that wait.
    fn choose(&self) -> Option<Place> {
        let service = Config::pick_service(&self.route, rand::random())?;
        self.sent.choose(service, &self.tried, true)
    }

    /// Opens the stream behind an event at one upstream after the other.
    async fn open(&mut self, last: Option<&str>) -> AttemptOutcome {
        let resumable = self.route.resumable;
        let mut unclear = false;
        if let Some(left) = self.sent.admit().await {
            log::info!(target: "stream", id = &*self.sent.id, left_ms = left;
                "upstreams crash under it");
            return AttemptOutcome::Quarantined(left);
        }
        while self.tried.len() < self.route.max_attempts.max(1) as usize {
            let Some(place) = self.choose() else { break };
            self.tried.push(place.one.id.clone());
            match self.attempt(place, last).await {
                AttemptOutcome::NotExecuted => (),
                AttemptOutcome::Unknown if resumable => unclear = true,
                came => return came,
            }
            if self.sent.admit().await.is_some() {
                break;
            }
        }
        match unclear {
            true => AttemptOutcome::Unknown,
            false => AttemptOutcome::NotExecuted,
        }
    }

    async fn attempt(&self, place: Place, last: Option<&str>) -> AttemptOutcome {
        let one = &place.one;
        let Some(request) = self.sent.request(one, last) else {
            return AttemptOutcome::NotExecuted;
        };
        let number = self.sent.send();
        let came = self.send_attempt(request, place).await;
        if matches!(came, AttemptOutcome::NotExecuted) {
            self.sent.unrun(number);
        }
        came
    }

    async fn send_attempt(&self, request: Request<Full<Bytes>>, place: Place) -> AttemptOutcome {
        let one = &place.one;
        let left = Duration::from_millis(self.sent.left());
        let answer = match self.sent.app.http.send(request, left).await {
            Ok(answer) => answer,
            Err(error) => {
                self.sent
                    .app
                    .service_tracker
                    .lock()
                    .engine_failed(&one.id, self.sent.app.clock.now());
                let why = error.to_string();
                log::info!(target: "stream", id = &*self.sent.id, upstream = &*one.id,
                    why = why.as_str(); "attempt failed");
                if matches!(error, SendError::Broken) {
                    self.sent.broke(one).await;
                }
                return match error.is_unsent() {
                    true => AttemptOutcome::NotExecuted,
                    false => AttemptOutcome::Unknown,
                };
            }
        };
        let said = self
            .sent
            .app
            .dialect
            .decode_answer_head(answer.status(), answer.headers());
        if said.not_executed || said.misdirected {
            return AttemptOutcome::NotExecuted;
        }
        match said.attempt_id.as_deref() == Some(&*self.sent.id) && said.signature.is_some() {
            true => AttemptOutcome::Stream(Box::new(answer), place),
            false => AttemptOutcome::Unknown,
        }
    }

    async fn answer(self, answer: Response<Incoming>, place: Place) -> Reply {
        let (head, body) = answer.into_parts();
        if head.status != StatusCode::OK {
            return self.reply_whole(head, body).await;
        }
        let (sender, out) = net::body::stream();
        let mut reply = Response::new(out);
        *reply.status_mut() = head.status;
        *reply.headers_mut() = self.sent.app.dialect.reply_headers(&head.headers);
        tokio::spawn(async move {
            let id = self.sent.id.clone();
            let whole = self.pump(body, place, &sender).await;
            if !whole {
                log::info!(target: "stream", id = &*id; "cut off");
                // The caller must not take what it has for the whole answer.
                let cut = io::Error::from(io::ErrorKind::ConnectionReset);
                let _ = sender.send(Err(cut)).await;
            }
        });
        reply
    }

    /// Passes an answer on that is no stream, once it is whole.
    async fn reply_whole(self, head: http::response::Parts, body: Incoming) -> Reply {
        let Ok(bytes) = net::body::read(body, MAX_ANSWER_BYTES).await else {
            return Refusal::OutcomeUnknown.reply();
        };
        self.sent.answered(head.status);
        let mut reply = Response::new(net::body::full(bytes));
        *reply.status_mut() = head.status;
        *reply.headers_mut() = self.sent.app.dialect.reply_headers(&head.headers);
        reply
    }

    /// Passes events on until the end; tells whether it was reached.
    async fn pump(mut self, body: Incoming, place: Place, sender: &Sender) -> bool {
        let mut events = Events::new(body);
        let mut place = Some(place);
        let mut last = self.last_event.clone();
        loop {
            let next = tokio::select! {
                next = timeout(MAX_EVENT_GAP, events.next()) => next.unwrap_or(NextEvent::Broken),
                () = sender.closed() => return true,
            };
            match next {
                NextEvent::Block(block) => {
                    if let Some(event) = self.sent.app.dialect.decode_event(&block) {
                        last = Some(event.number.to_string().into());
                    }
                    let block = Bytes::from(block + "\n\n");
                    if sender.send(Ok(block)).await.is_err() {
                        return true;
                    }
                }
                NextEvent::End => {
                    self.sent.answered(StatusCode::OK);
                    return true;
                }
                NextEvent::Broken => {
                    if let Some(place) = place.take() {
                        self.sent.broke(&place.one).await;
                    }
                    if !self.route.resumable {
                        return false;
                    }
                    match self.open(last.as_deref()).await {
                        AttemptOutcome::Stream(answer, next) => {
                            events = Events::new(answer.into_body());
                            place = Some(next);
                        }
                        AttemptOutcome::NotExecuted
                        | AttemptOutcome::Quarantined(_)
                        | AttemptOutcome::Unknown => return false,
                    }
                }
            }
        }
    }
}
