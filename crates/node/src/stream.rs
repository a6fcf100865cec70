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
use crate::events::Next;
use crate::forwarded_request::ForwardedRequest;
use crate::forwarded_request::UpstreamSlot;
use crate::refuse::Refusal;

/// Silence within a stream after which its upstream is taken for lost.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Most bytes of an answer that is no stream.
const ANSWER: usize = 1 << 20;

/// What came of one attempt.
enum Came {
    /// The head of a stream.
    Stream(Box<Response<Incoming>>, UpstreamSlot),
    /// The upstream has not run the request and never will.
    Unrun,
    /// Nothing was sent: upstreams crash under the request, which may not run for so many milliseconds.
    Quarantined(Millis),
    /// Whether it ran is not known.
    Unknown,
}

/// One caller's stream.
struct Stream {
    sent: ForwardedRequest,
    route: Arc<Route>,
    last: Option<Arc<str>>,
    used: Vec<Arc<str>>,
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
        sent: ForwardedRequest::new(app, head, caller, body, route.timeout, principal),
        route: route.clone(),
        last: caller.last.clone(),
        used: Vec::new(),
    };
    match stream.open(None).await {
        Came::Stream(answer, place) => {
            // It has begun to run; how long it lasts does not matter for its team's report.
            stream.sent.finish_count();
            stream.answer(*answer, place).await
        }
        Came::Unrun => Refusal::Unrun.reply(),
        Came::Quarantined(left) => Refusal::Quarantined(left).reply(),
        Came::Unknown => Refusal::Unknown.reply(),
    }
}

impl Stream {
    /// Takes a place, where the stream may wait inside the upstream as calls do: if it took free places alone,
    /// it would get next to none beside calls that wait.
    fn choose(&self) -> Option<UpstreamSlot> {
        let service = Config::pick_service(&self.route, rand::random())?;
        self.sent.reserve_slot(service, &self.used, true)
    }

    /// Opens the stream behind an event at one upstream after the other.
    async fn open(&mut self, last: Option<&str>) -> Came {
        let resumable = self.route.resumable;
        let mut unclear = false;
        if let Some(left) = self.sent.admit().await {
            log::info!(target: "stream", id = &*self.sent.id, left_ms = left;
                "upstreams crash under it");
            return Came::Quarantined(left);
        }
        while self.used.len() < self.route.max_attempts.max(1) as usize {
            let Some(place) = self.choose() else { break };
            self.used.push(place.upstream.id.clone());
            match self.attempt(place, last).await {
                Came::Unrun => (),
                Came::Unknown if resumable => unclear = true,
                came => return came,
            }
            if self.sent.admit().await.is_some() {
                break;
            }
        }
        match unclear {
            true => Came::Unknown,
            false => Came::Unrun,
        }
    }

    async fn attempt(&self, place: UpstreamSlot, last: Option<&str>) -> Came {
        let one = &place.upstream;
        let Some(request) = self.sent.build_request(one, last) else {
            return Came::Unrun;
        };
        let number = self.sent.record_send();
        let came = self.tried(request, place).await;
        if matches!(came, Came::Unrun) {
            self.sent.mark_unexecuted(number);
        }
        came
    }

    async fn tried(&self, request: Request<Full<Bytes>>, place: UpstreamSlot) -> Came {
        let one = &place.upstream;
        let left = Duration::from_millis(self.sent.time_left());
        let answer = match self.sent.app.http.send(request, left).await {
            Ok(answer) => answer,
            Err(error) => {
                self.sent
                    .app
                    .plain
                    .lock()
                    .engine_failed(&one.id, self.sent.app.clock.now());
                let why = error.to_string();
                log::info!(target: "stream", id = &*self.sent.id, upstream = &*one.id,
                    why = why.as_str(); "attempt failed");
                if matches!(error, SendError::Broken) {
                    self.sent.check_crash(one).await;
                }
                return match error.is_unsent() {
                    true => Came::Unrun,
                    false => Came::Unknown,
                };
            }
        };
        let said = self
            .sent
            .app
            .dialect
            .said(answer.status(), answer.headers());
        if said.unrun || said.other {
            return Came::Unrun;
        }
        match said.id.as_deref() == Some(&*self.sent.id) && said.signature.is_some() {
            true => Came::Stream(Box::new(answer), place),
            false => Came::Unknown,
        }
    }

    async fn answer(self, answer: Response<Incoming>, place: UpstreamSlot) -> Reply {
        let (head, body) = answer.into_parts();
        if head.status != StatusCode::OK {
            return self.plain(head, body).await;
        }
        let (sender, out) = net::body::stream();
        let mut reply = Response::new(out);
        *reply.status_mut() = head.status;
        *reply.headers_mut() = self.sent.app.dialect.back(&head.headers);
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
    async fn plain(self, head: http::response::Parts, body: Incoming) -> Reply {
        let Ok(bytes) = net::body::read(body, ANSWER).await else {
            return Refusal::Unknown.reply();
        };
        self.sent.record_answer(head.status);
        let mut reply = Response::new(net::body::full(bytes));
        *reply.status_mut() = head.status;
        *reply.headers_mut() = self.sent.app.dialect.back(&head.headers);
        reply
    }

    /// Passes events on until the end; tells whether it was reached.
    async fn pump(mut self, body: Incoming, place: UpstreamSlot, sender: &Sender) -> bool {
        let mut events = Events::new(body);
        let mut place = Some(place);
        let mut last = self.last.clone();
        loop {
            let next = tokio::select! {
                next = timeout(SILENCE, events.next()) => next.unwrap_or(Next::Broken),
                () = sender.closed() => return true,
            };
            match next {
                Next::Block(block) => {
                    if let Some(event) = self.sent.app.dialect.event(&block) {
                        last = Some(event.number.to_string().into());
                    }
                    let block = Bytes::from(block + "\n\n");
                    if sender.send(Ok(block)).await.is_err() {
                        return true;
                    }
                }
                Next::End => {
                    self.sent.record_answer(StatusCode::OK);
                    return true;
                }
                Next::Broken => {
                    if let Some(place) = place.take() {
                        self.sent.check_crash(&place.upstream).await;
                    }
                    if !self.route.resumable {
                        return false;
                    }
                    match self.open(last.as_deref()).await {
                        Came::Stream(answer, next) => {
                            events = Events::new(answer.into_body());
                            place = Some(next);
                        }
                        Came::Unrun | Came::Quarantined(_) | Came::Unknown => return false,
                    }
                }
            }
        }
    }
}
