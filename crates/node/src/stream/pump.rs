//! Forwards the events of a stream, from one run after the other, until the caller has all of them.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use hyper::body::Incoming;
use net::body::Sender;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::AttemptOutcome;
use super::Opening;
use super::Stream;
use crate::answer::Answer;
use crate::event_run::EventRun;
use crate::event_run::NO_ROOM;
use crate::event_run::RunItem;
use crate::event_run::UNCLEAR_END;
use crate::forwarded_request::UpstreamSlot;

/// Time without an event after which a stream is continued at another upstream.
const MAX_EVENT_GAP: Duration = Duration::from_millis(1_500);

/// What ends an event.
const EVENT_END: &str = "\n\n";

/// How the forwarding of a run ended.
enum RunEnd {
    /// The run has reached the end of the stream.
    Complete,
    /// The caller has closed its connection.
    CallerLeft,
    /// The next event does not fit into the memory for answers. No other run would change that.
    NoRoom,
    /// The connection to the upstream broke, or nothing more came.
    Broken,
    /// The run does not continue what the caller has received, for this reason.
    Unusable(&'static str),
}

/// What to do with an item of a run.
enum ItemAction {
    Forward(String),
    End(RunEnd),
}

/// What the caller has received so far.
struct Progress {
    /// The last event, as a header names it.
    last: Option<Arc<str>>,
}

impl Progress {
    fn last_number(&self) -> Option<u64> {
        self.last.as_ref()?.parse().ok()
    }

    fn advance(&mut self, item: RunItem) -> ItemAction {
        match item {
            RunItem::Event(block, event) => {
                self.last = Some(event.number.to_string().into());
                ItemAction::Forward(block)
            }
            RunItem::Comment(block) => ItemAction::Forward(block),
            RunItem::End => ItemAction::End(RunEnd::Complete),
            RunItem::UnclearEnd => ItemAction::End(RunEnd::Unusable(UNCLEAR_END)),
            RunItem::Broken => ItemAction::End(RunEnd::Broken),
            RunItem::NoRoom => ItemAction::End(RunEnd::NoRoom),
            RunItem::OutOfSequence => ItemAction::End(RunEnd::Unusable("event out of sequence")),
        }
    }
}

impl Stream {
    /// Forwards the events of an answer, and of those that continue it, until the end; returns whether it was reached
    /// or the caller has left.
    pub(super) async fn pump(
        mut self,
        mut answer: Answer<Incoming>,
        mut slot: UpstreamSlot,
        sender: &Sender,
    ) -> bool {
        let mut progress = Progress {
            last: self.last_event.clone(),
        };
        loop {
            let upstream = &slot.upstream.id;
            let end = self.forward_run(answer, upstream, &mut progress, sender);
            match end.await {
                RunEnd::Complete => {
                    self.request.record_answer(StatusCode::OK);
                    log::info!(target: "stream", id = &*self.request.id,
                        to = progress.last.as_deref().unwrap_or("nothing"); "stream ended");
                    return true;
                }
                RunEnd::CallerLeft => return true,
                RunEnd::NoRoom => {
                    log::warn!(target: "stream", id = &*self.request.id,
                        to = progress.last.as_deref().unwrap_or("nothing"), why = NO_ROOM; "stream not continued");
                    return false;
                }
                RunEnd::Broken => self.request.check_crash(&slot.upstream).await,
                RunEnd::Unusable(why) => {
                    log::warn!(target: "stream", id = &*self.request.id, upstream = &*slot.upstream.id,
                        to = progress.last.as_deref().unwrap_or("nothing"), why; "run does not continue the stream");
                }
            }
            self.record_failure(&slot);
            drop(slot);
            (answer, slot) = match self.resume(&progress).await {
                Some(next) => next,
                None => return false,
            };
        }
    }

    /// Records that an upstream has not brought a stream to its end, so that it gets no other one at once.
    fn record_failure(&self, slot: &UpstreamSlot) {
        let app = &self.request.app;
        let mut tracker = app.service_tracker.lock();
        tracker.engine_failed(&slot.upstream.id, app.clock.now());
    }

    /// Forwards the events of one run. Its connection is closed when it ends before the stream does, so that the
    /// upstream stops working on it.
    async fn forward_run(
        &self,
        answer: Answer<Incoming>,
        upstream: &Arc<str>,
        progress: &mut Progress,
        sender: &Sender,
    ) -> RunEnd {
        let mut run = EventRun::new(
            &self.request.app,
            answer,
            self.request.id.clone(),
            upstream.clone(),
            progress.last_number(),
        );
        let mut last_event_at = Instant::now();
        loop {
            let event_due = self.event_due(last_event_at);
            let item = tokio::select! {
                item = timeout_at(event_due, run.next()) => item.unwrap_or(RunItem::Broken),
                () = sender.closed() => return RunEnd::CallerLeft,
            };
            let is_event = matches!(item, RunItem::Event(..));
            let block = match progress.advance(item) {
                ItemAction::Forward(block) => block,
                ItemAction::End(end) => return end,
            };
            let block = (block + EVENT_END).into_bytes();
            let Ok(block) = self.request.app.http.bodies().hold(block) else {
                return RunEnd::NoRoom;
            };
            if sender.send(Ok(block)).await.is_err() {
                return RunEnd::CallerLeft;
            }
            if is_event {
                last_event_at = Instant::now();
            }
        }
    }

    /// Returns when the next event is due, whatever else comes before it. Where no other upstream can continue the
    /// stream, its caller decides how long to wait within the time that the request has.
    fn event_due(&self, last_event_at: Instant) -> Instant {
        let due = last_event_at + MAX_EVENT_GAP;
        let is_last = self.tried.len() >= self.max_attempts();
        match self.route.resumable && !is_last {
            true => due,
            false => due.max(Instant::now() + Duration::from_millis(self.request.time_left())),
        }
    }

    /// Has another upstream continue the stream; [`None`] if none does.
    async fn resume(&mut self, progress: &Progress) -> Option<(Answer<Incoming>, UpstreamSlot)> {
        if !self.route.resumable {
            return None;
        }
        let opening = Opening::Resumption(progress.last.as_deref());
        match self.open(opening).await {
            AttemptOutcome::Stream(answer, slot) => {
                log::info!(target: "stream", id = &*self.request.id, upstream = &*slot.upstream.id,
                    first = progress.last.as_deref().unwrap_or("nothing"); "stream resumed");
                Some((*answer, slot))
            }
            AttemptOutcome::NotExecuted
            | AttemptOutcome::Busy(_)
            | AttemptOutcome::Quarantined(_)
            | AttemptOutcome::Unknown => None,
        }
    }
}
