//! Streams of changes to keys.

use std::time::Duration;

use hyper::body::Incoming;
use serde_json::StreamDeserializer;
use serde_json::de::SliceRead;

use crate::Change;
use crate::PlatError;
use crate::etcd::decode_item;
use crate::proto;

/// Time without data after which a watch is considered dead. The platform sends progress messages periodically, by
/// default every ten minutes; a caller that has to detect a dead watch sooner must read the keys.
const IDLE_TIMEOUT: Duration = Duration::from_secs(11 * 60);

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

    /// Waits for the next batch of changes.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError::Compacted`] if changes are permanently lost, and another [`PlatError`] if the watch has
    /// ended; the caller then starts a new one at the revision after the last one that it received.
    pub async fn next(&mut self) -> Result<Vec<Change>, PlatError> {
        loop {
            let changes = self.drain_messages()?;
            if !changes.is_empty() {
                return Ok(changes);
            }
            self.read_frame().await?;
        }
    }

    async fn read_frame(&mut self) -> Result<(), PlatError> {
        use http_body_util::BodyExt;
        let frame = tokio::time::timeout(IDLE_TIMEOUT, self.body.frame()).await;
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

    /// Removes the complete messages from the buffer and decodes them.
    fn drain_messages(&mut self) -> Result<Vec<Change>, PlatError> {
        type Message = proto::StreamMessage<proto::WatchResponse>;
        let mut changes = Vec::new();
        let read = SliceRead::new(&self.buffer);
        let mut stream = StreamDeserializer::<_, Message>::new(read);
        let mut used = 0;
        loop {
            match stream.next() {
                Some(Ok(message)) => {
                    used = stream.byte_offset();
                    append_changes(message.result, &mut changes)?;
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

fn append_changes(
    message: proto::WatchResponse,
    changes: &mut Vec<Change>,
) -> Result<(), PlatError> {
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
        let item = decode_item(event.kv)?;
        let deleted = event.kind.as_deref() == Some("DELETE");
        changes.push(match deleted {
            true => Change::Delete(item.key, item.rev),
            false => Change::Put(item),
        });
    }
    Ok(())
}
