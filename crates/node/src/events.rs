//! Splits a stream of server-sent events into blocks.
//!
//! The common libraries for server-sent events drop fields that the standard does not name, and the version of the
//! weights arrives as such a field. So this module only splits the blocks, which the [`Dialect`](crate::Dialect)
//! decodes.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use memchr::memmem;
use net::BodyBudget;
use net::BufferShare;

/// Largest event in bytes; a stream with a longer one counts as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size of the buffer that is kept between events, in bytes.
const KEPT_BYTES: usize = 16 << 10;

/// What ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// The next item of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextEvent {
    /// A complete event.
    Block(String),
    /// The regular end of the stream.
    End,
    /// The stream broke, ended inside an event, or holds an event that is too long.
    Broken,
    /// The event does not fit beside the other answers that are held in memory.
    NoRoom,
}

/// Returns whether all lines of a block are comments.
///
/// # Examples
///
/// ```
/// assert!(node::events::is_comment(": keep-alive"));
/// assert!(!node::events::is_comment(": keep-alive\ndata: a"));
/// ```
pub fn is_comment(block: &str) -> bool {
    block.lines().all(|line| line.starts_with(':'))
}

/// Splits a stream of bytes into events.
///
/// # Examples
///
/// ```
/// let mut splitter = node::events::EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\n");
/// assert_eq!(splitter.pop().as_deref(), Some("id: 1\ndata: a"));
/// assert_eq!(splitter.pop(), None);
/// assert!(!splitter.is_drained());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    bytes: Vec<u8>,
    /// Number of bytes at the start that do not contain the end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn pop(&mut self) -> Option<String> {
        let unscanned = &self.bytes[self.scanned..];
        let Some(offset) = memmem::find(unscanned, EVENT_END) else {
            // The last byte may be the first one of the end.
            self.scanned = self.bytes.len().saturating_sub(1);
            return None;
        };
        let end = self.scanned + offset;
        self.scanned = 0;
        let block = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        self.bytes.drain(..end + EVENT_END.len());
        if self.bytes.len() <= KEPT_BYTES {
            self.bytes.shrink_to(KEPT_BYTES);
        }
        Some(block)
    }

    /// Returns whether no part of an event is left.
    pub fn is_drained(&self) -> bool {
        self.bytes.iter().all(u8::is_ascii_whitespace)
    }

    fn is_too_long(&self) -> bool {
        self.bytes.len() > MAX_EVENT_BYTES
    }
}

/// Reads the events of an answer's body.
#[derive(Debug)]
pub struct Events {
    body: Incoming,
    splitter: EventSplitter,
    share: BufferShare,
}

impl Events {
    /// Creates a reader of a body, whose buffer takes a share of the budget.
    pub fn new(body: Incoming, budget: &BodyBudget) -> Self {
        Self {
            body,
            splitter: EventSplitter::default(),
            share: budget.share(),
        }
    }

    /// Waits for the next item. Cancel safe: dropping the future loses no data.
    pub async fn next(&mut self) -> NextEvent {
        loop {
            let block = self.splitter.pop();
            if self.share.resize(self.splitter.bytes.capacity()).is_err() {
                return NextEvent::NoRoom;
            }
            if let Some(block) = block {
                return NextEvent::Block(block);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data: Bytes = frame.into_data().unwrap_or_default();
                    self.splitter.push(&data);
                }
                Some(Err(_)) => return NextEvent::Broken,
                None if self.splitter.is_drained() => return NextEvent::End,
                None => return NextEvent::Broken,
            }
            if self.splitter.is_too_long() {
                return NextEvent::Broken;
            }
        }
    }
}
