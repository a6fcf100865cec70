//! The bytes of a message in segments, so that a long one needs no contiguous memory and no copy of its own.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Buf;
use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;

/// A body that has been received or is to be sent. Clones share the bytes; each segment is freed once the last clone has
/// passed it on or is dropped.
///
/// # Examples
///
/// ```
/// use std::io::Read;
/// use bytes::Buf;
///
/// let payload: net::Payload = ["a step", " in two"].into_iter().collect();
/// assert_eq!(payload.remaining(), 13);
/// let mut text = String::new();
/// payload.reader().read_to_string(&mut text)?;
/// assert_eq!(text, "a step in two");
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Payload {
    segments: VecDeque<Bytes>,
}

impl Payload {
    /// Returns the segments in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.segments.iter().map(Bytes::as_ref)
    }

    /// Returns the bytes, if they are in one segment.
    pub fn as_contiguous(&self) -> Option<&[u8]> {
        match self.segments.len() {
            0 => Some(&[]),
            1 => self.segments.front().map(Bytes::as_ref),
            _ => None,
        }
    }

    /// Returns the bytes in one segment; several are copied.
    pub fn into_bytes(mut self) -> Bytes {
        self.copy_to_bytes(self.remaining())
    }

    pub(crate) fn push(&mut self, segment: Bytes) {
        if !segment.is_empty() {
            self.segments.push_back(segment);
        }
    }
}

impl PartialEq for Payload {
    fn eq(&self, other: &Self) -> bool {
        self.segments().flatten().eq(other.segments().flatten())
    }
}

impl Eq for Payload {}

impl<B: Into<Bytes>> FromIterator<B> for Payload {
    fn from_iter<I: IntoIterator<Item = B>>(segments: I) -> Self {
        let mut payload = Self::default();
        for segment in segments {
            payload.push(segment.into());
        }
        payload
    }
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Self {
        std::iter::once(bytes).collect()
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Bytes::from(bytes).into()
    }
}

impl From<Full<Bytes>> for Payload {
    fn from(mut body: Full<Bytes>) -> Self {
        let mut context = Context::from_waker(Waker::noop());
        let frame = Pin::new(&mut body).poll_frame(&mut context);
        let Poll::Ready(Some(Ok(frame))) = frame else {
            return Self::default();
        };
        frame.into_data().map(Self::from).unwrap_or_default()
    }
}

impl Buf for Payload {
    fn remaining(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    fn chunk(&self) -> &[u8] {
        self.segments.front().map_or(&[], Bytes::as_ref)
    }

    fn advance(&mut self, mut count: usize) {
        while let Some(front) = self.segments.front_mut().filter(|_| count > 0) {
            let part = count.min(front.len());
            front.advance(part);
            count -= part;
            if front.is_empty() {
                self.segments.pop_front();
            }
        }
    }

    fn copy_to_bytes(&mut self, count: usize) -> Bytes {
        match self.segments.front_mut() {
            Some(front) if front.len() > count => front.split_to(count),
            Some(front) if front.len() == count => self.segments.pop_front().unwrap_or_default(),
            _ => {
                let mut bytes = Vec::with_capacity(count);
                while bytes.len() < count && self.has_remaining() {
                    let part = self.chunk().len().min(count - bytes.len());
                    bytes.extend_from_slice(&self.chunk()[..part]);
                    self.advance(part);
                }
                bytes.into()
            }
        }
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.pop_front();
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining() as u64)
    }
}
