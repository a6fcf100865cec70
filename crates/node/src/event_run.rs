//! The events of one run, checked to continue those that were received before.
//!
//! A run that breaks is continued by another one after the last event. Whatever the answer to that is, it is not the
//! rest of the stream until its status, its type and its events say so.

use std::sync::Arc;

use http::HeaderMap;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;

use crate::App;
use crate::Dialect;
use crate::answer::Answer;
use crate::dialect::Event;
use crate::events;
use crate::events::Events;
use crate::events::NextEvent;

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Maximum number of bytes between two events that belong to neither. Comments keep a connection alive; endless ones are
/// no answer.
const MAX_FILLER_BYTES: usize = 64 << 10;

/// Maximum number of blocks between two events that are none. Each is decoded and forwarded, so many small ones take
/// processor time from other requests.
const MAX_FILLER_BLOCKS: usize = 100;

/// A run has ended, but it is not known whether as a whole: [`RunItem::UnclearEnd`].
pub(crate) const UNCLEAR_END: &str = "unclear end";

/// The next event of a run does not fit into memory: [`RunItem::NoRoom`].
pub(crate) const NO_ROOM: &str = "no room for the next event";

/// Why an answer is no run of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OpenError {
    /// The upstream has executed the request and failed, with this status.
    Status(StatusCode),
    /// The answer has another type.
    ContentType,
}

impl OpenError {
    /// Returns the reason as it is logged.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::Status(_) => "status",
            Self::ContentType => "no stream of events",
        }
    }
}

/// The next item of a run.
#[derive(Debug)]
pub(crate) enum RunItem {
    /// The next event, as it was received and decoded.
    Event(String, Event),
    /// A comment, which belongs to no event.
    Comment(String),
    /// The regular end.
    End,
    /// The end right after blocks without a number, of which the last one may have been the last event.
    UnclearEnd,
    /// The connection broke, the run ended inside an event, or it does not get on to the next one.
    Broken,
    /// The next event does not fit into the memory for answers.
    NoRoom,
    /// An event that does not follow the last one: some are missing, or one comes again.
    OutOfSequence,
}

/// Blocks since the last event that are none.
#[derive(Clone, Copy, Debug, Default)]
struct Filler {
    blocks: usize,
    bytes: usize,
}

/// Result of [`Filler::add`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FillerOutcome {
    /// The next event may still come.
    Accepted,
    /// The run does not get on to its next event.
    TooMuch,
}

impl Filler {
    fn add(&mut self, block: &str) -> FillerOutcome {
        self.blocks += 1;
        self.bytes += block.len();
        match self.blocks > MAX_FILLER_BLOCKS || self.bytes > MAX_FILLER_BYTES {
            true => FillerOutcome::TooMuch,
            false => FillerOutcome::Accepted,
        }
    }
}

/// A run whose events are read.
pub(crate) struct EventRun {
    events: Events,
    /// The ID of its request.
    id: Arc<str>,
    /// The upstream.
    upstream: Arc<str>,
    dialect: Arc<dyn Dialect>,
    last: Option<u64>,
    /// What has come since the last event that belongs to none.
    filler: Filler,
    /// Number of blocks without a number, which belong to no answer and are dropped.
    unnumbered: usize,
    /// Whether one has come since the last event.
    is_end_unclear: bool,
}

/// Returns whether an answer can be read as a run of events.
///
/// # Errors
///
/// Returns [`OpenError`].
pub(crate) fn check_head(status: StatusCode, headers: &HeaderMap) -> Result<(), OpenError> {
    if status != StatusCode::OK {
        return Err(OpenError::Status(status));
    }
    let Some(kind) = headers.get(CONTENT_TYPE) else {
        return Ok(());
    };
    let kind = kind.to_str().unwrap_or_default().to_ascii_lowercase();
    match kind.starts_with(EVENT_STREAM) {
        true => Ok(()),
        false => Err(OpenError::ContentType),
    }
}

impl EventRun {
    /// Starts to read an answer whose head was checked, after event `last`; [`None`] if the first event may have any
    /// number.
    pub(crate) fn new(
        app: &App,
        answer: Answer<Incoming>,
        id: Arc<str>,
        upstream: Arc<str>,
        last: Option<u64>,
    ) -> Self {
        Self {
            events: Events::new(answer.body, app.http.bodies()),
            id,
            upstream,
            dialect: app.dialect.clone(),
            last,
            filler: Filler::default(),
            unnumbered: 0,
            is_end_unclear: false,
        }
    }

    /// Waits for the next item. Cancel safe: dropping the future loses no data.
    pub(crate) async fn next(&mut self) -> RunItem {
        loop {
            let block = match self.events.next().await {
                NextEvent::Block(block) => block,
                NextEvent::End if self.is_end_unclear => return RunItem::UnclearEnd,
                NextEvent::End => return RunItem::End,
                NextEvent::Broken => return RunItem::Broken,
                NextEvent::NoRoom => return RunItem::NoRoom,
            };
            if let Some(event) = self.dialect.decode_event(&block) {
                return self.advance(block, event);
            }
            if self.filler.add(&block) == FillerOutcome::TooMuch {
                return RunItem::Broken;
            }
            if events::is_comment(&block) {
                return RunItem::Comment(block);
            }
            self.drop_unnumbered();
        }
    }

    fn advance(&mut self, block: String, event: Event) -> RunItem {
        if self.last.is_some_and(|last| event.number != last + 1) {
            return RunItem::OutOfSequence;
        }
        self.last = Some(event.number);
        self.filler = Filler::default();
        self.is_end_unclear = false;
        RunItem::Event(block, event)
    }

    fn drop_unnumbered(&mut self) {
        self.is_end_unclear = true;
        self.unnumbered += 1;
        if self.unnumbered == 1 {
            log::warn!(target: "answer", id = &*self.id, upstream = &*self.upstream,
                to = self.last.unwrap_or_default(); "block without a number dropped");
        }
    }
}
