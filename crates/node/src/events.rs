//! Events of a stream, block by block.
//!
//! The libraries for server-sent events drop fields that the standard does not name, and the
//! version of the weights comes as such a field; so the blocks are cut here and read by the
//! [`Dialect`](crate::Dialect).

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Most bytes of one event; more is not an event.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// What comes next in a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextEvent {
    /// A whole event.
    Block(String),
    /// The proper end of the stream.
    End,
    /// The stream broke, ended inside an event, or is none.
    Broken,
}

/// Cuts a stream of bytes into events.
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
}

impl EventSplitter {
    /// Takes in what has come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes out the next whole event.
    pub fn pop(&mut self) -> Option<String> {
        let at = self.bytes.windows(2).position(|pair| pair == b"\n\n")?;
        let block = String::from_utf8_lossy(&self.bytes[..at]).into_owned();
        self.bytes.drain(..at + 2);
        Some(block)
    }

    /// Tells whether no part of an event is left.
    pub fn is_drained(&self) -> bool {
        self.bytes.iter().all(u8::is_ascii_whitespace)
    }

    fn is_too_long(&self) -> bool {
        self.bytes.len() > MAX_EVENT_BYTES
    }
}

/// Reads the events of an answer.
#[derive(Debug)]
pub struct Events {
    body: Incoming,
    splitter: EventSplitter,
}

impl Events {
    /// Reads the events of a body.
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            splitter: EventSplitter::default(),
        }
    }

    /// Waits for what comes next. Dropping the wait loses nothing.
    pub async fn next(&mut self) -> NextEvent {
        loop {
            if let Some(block) = self.splitter.pop() {
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
