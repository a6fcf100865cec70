//! Events of a stream, block by block.
//!
//! The libraries for server-sent events drop fields that the standard does not name, and the
//! version of the weights comes as such a field; so the blocks are cut here and read by the
//! [`Dialect`](crate::Dialect).

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Most bytes of one event; more is not an event.
const MOST: usize = 4 << 20;

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
/// let mut cutter = node::events::Cutter::default();
/// cutter.push(b"id: 1\ndata: a\n\nid: 2\n");
/// assert_eq!(cutter.pop().as_deref(), Some("id: 1\ndata: a"));
/// assert_eq!(cutter.pop(), None);
/// assert!(!cutter.is_clean());
/// ```
#[derive(Debug, Default)]
pub struct Cutter {
    bytes: Vec<u8>,
}

impl Cutter {
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
    pub fn is_clean(&self) -> bool {
        self.bytes.iter().all(u8::is_ascii_whitespace)
    }

    fn is_long(&self) -> bool {
        self.bytes.len() > MOST
    }
}

/// Reads the events of an answer.
#[derive(Debug)]
pub struct Events {
    body: Incoming,
    cutter: Cutter,
}

impl Events {
    /// Reads the events of a body.
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            cutter: Cutter::default(),
        }
    }

    /// Waits for what comes next. Dropping the wait loses nothing.
    pub async fn next(&mut self) -> NextEvent {
        loop {
            if let Some(block) = self.cutter.pop() {
                return NextEvent::Block(block);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    let data: Bytes = frame.into_data().unwrap_or_default();
                    self.cutter.push(&data);
                }
                Some(Err(_)) => return NextEvent::Broken,
                None if self.cutter.is_clean() => return NextEvent::End,
                None => return NextEvent::Broken,
            }
            if self.cutter.is_long() {
                return NextEvent::Broken;
            }
        }
    }
}
