//! Changes as they happen.

use std::time::Duration;

use hyper::body::Incoming;
use serde_json::StreamDeserializer;
use serde_json::de::SliceRead;

use crate::Change;
use crate::PlatError;
use crate::etcd::item;
use crate::proto;

/// Silence after which a watch is taken for dead. The platform sends progress now and then, by
/// default every ten minutes; whoever wants to know sooner has to read.
const SILENCE: Duration = Duration::from_secs(11 * 60);

/// A running watch.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buffer: Vec<u8>,
}

impl Watch {
    pub(crate) fn new(body: Incoming) -> Self {
        let buffer = Vec::new();
        Self { body, buffer }
    }

    /// Waits for the next changes.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError::Compacted`] when changes were missed for good, and another
    /// [`PlatError`] when the watch is over; begin one from the revision after the last seen.
    pub async fn next(&mut self) -> Result<Vec<Change>, PlatError> {
        loop {
            let changes = self.parse()?;
            if !changes.is_empty() {
                return Ok(changes);
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), PlatError> {
        use http_body_util::BodyExt;
        let frame = tokio::time::timeout(SILENCE, self.body.frame()).await;
        match frame {
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.buffer.extend_from_slice(data);
                }
                Ok(())
            }
            Ok(Some(Err(_)) | None) | Err(_) => Err(PlatError::NoAnswer),
        }
    }

    /// Takes the whole messages off the buffer.
    fn parse(&mut self) -> Result<Vec<Change>, PlatError> {
        type Message = proto::Streamed<proto::WatchResponse>;
        let mut changes = Vec::new();
        let read = SliceRead::new(&self.buffer);
        let mut stream = StreamDeserializer::<_, Message>::new(read);
        let mut used = 0;
        loop {
            match stream.next() {
                Some(Ok(message)) => {
                    used = stream.byte_offset();
                    take(message.result, &mut changes)?;
                }
                Some(Err(error)) if error.is_eof() => break,
                Some(Err(_)) => return Err(PlatError::Garbled),
                None => {
                    used = self.buffer.len();
                    break;
                }
            }
        }
        self.buffer.drain(..used);
        Ok(changes)
    }
}

fn take(message: proto::WatchResponse, changes: &mut Vec<Change>) -> Result<(), PlatError> {
    if message.compact_revision.0 > 0 {
        return Err(PlatError::Compacted(message.compact_revision.0));
    }
    if message.canceled {
        return Err(PlatError::NoAnswer);
    }
    if message.events.is_empty() {
        changes.push(Change::Progress(message.header.revision.0));
    }
    for event in message.events {
        let item = item(event.kv)?;
        let deleted = event.kind.as_deref() == Some("DELETE");
        changes.push(match deleted {
            true => Change::Delete(item.key, item.rev),
            false => Change::Put(item),
        });
    }
    Ok(())
}
