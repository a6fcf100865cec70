//! The bodies of requests that are received and held, and a limit on the memory that they take together.
//!
//! The bytes of a body are copied into one buffer, so that what is counted is what is held, however small the chunks are in
//! which they arrive. Only the filled part of a buffer takes memory, and only that counts, until the last clone of the body is
//! dropped. When the memory is used up, a body that has made no progress gives way to another one; a body that has arrived
//! never does.

use std::sync::Arc;

use bytes::Buf;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::Inbound;
use crate::Payload;
use crate::body::ReadError;
use crate::inbound::InboundSet;
use crate::memory::Memory;
use crate::memory::Reservation;

/// Length of the part of each body that may use the last of the memory, in bytes, so that ordinary requests are received
/// beside large ones.
const SMALL_BYTES: usize = 16 << 10;

/// Divisor of the memory that gives what is left to the first [`SMALL_BYTES`] of bodies.
const SMALL_DIVISOR: usize = 16;

/// Largest number of bytes that are reserved at a time.
const MAX_GROWTH_BYTES: usize = 64 << 10;

/// Number of bytes that are reserved first for a body of unknown length.
const MIN_GROWTH_BYTES: usize = 2 << 10;

/// Number of bytes that count as progress of a body: one byte now and then does not keep its memory.
const PROGRESS_BYTES: usize = 4 << 10;

/// Limits of a single body.
#[derive(Clone, Copy, Debug)]
pub struct UploadLimits {
    /// Greatest length in bytes.
    pub max_bytes: usize,
    /// When it has to be complete.
    pub deadline: Instant,
}

/// Memory for the bodies of requests, shared by all that are clones of one.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::Duration;
/// use http_body_util::Full;
/// use tokio::time::Instant;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let uploads = net::Uploads::new(1 << 20);
/// let inbound = Arc::new(net::Inbound::new(([127, 0, 0, 1], 1).into()));
/// let limits = net::UploadLimits {
///     max_bytes: 4 << 20,
///     deadline: Instant::now() + Duration::from_secs(1),
/// };
/// let body = |length| Full::new(bytes::Bytes::from(vec![0; length]));
/// let held = uploads.receive(body(900_000), &inbound, limits).await.unwrap();
/// assert!(uploads.receive(body(900_000), &inbound, limits).await.is_err());
/// assert!(uploads.receive(body(2_000), &inbound, limits).await.is_ok());
/// drop(held);
/// assert_eq!(uploads.held(), 0);
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Uploads {
    memory: Memory,
    receiving: Arc<InboundSet>,
    /// Notified when a body has given way.
    released: Arc<Notify>,
}

impl Uploads {
    /// Creates a limit of so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            memory: Memory::new(bytes),
            receiving: Arc::default(),
            released: Arc::default(),
        }
    }

    /// Returns the limit in bytes.
    pub fn limit(&self) -> usize {
        self.memory.limit()
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.limit() - self.memory.left()
    }

    /// Returns the length of the longest body that can be received, in bytes.
    pub fn longest(&self) -> usize {
        self.limit() - self.small_part()
    }

    /// Memory that is left to the first part of bodies.
    fn small_part(&self) -> usize {
        self.limit() / SMALL_DIVISOR
    }

    /// Reserves memory for what is made of bodies, if there is room beside ordinary requests.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.memory.reserve(bytes, self.small_part())
    }

    /// Reserves memory for what is held in any case.
    pub fn reserve_anyway(&self, bytes: usize) -> Reservation {
        self.memory.reserve_anyway(bytes)
    }

    /// Receives a whole body. Its bytes count until the result and its clones are dropped.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`]: a body whose length is announced and too long is not read at all, and one that is truncated, too
    /// late, or has no room is not read any further.
    pub async fn receive<B>(
        &self,
        body: B,
        inbound: &Arc<Inbound>,
        limits: UploadLimits,
    ) -> Result<Payload, ReadError>
    where
        B: http_body::Body<Data = Bytes>,
    {
        let announced = body.size_hint().lower();
        if announced > limits.max_bytes as u64 {
            return Err(ReadError::TooLong(limits.max_bytes));
        }
        if announced > self.longest() as u64 {
            return Err(ReadError::OverBudget);
        }
        if body.is_end_stream() {
            return Ok(Payload::default());
        }
        inbound.forget_eviction();
        inbound.body_progressed();
        // Dropped last, when what has been received is released.
        let _notice = ReleaseNotice(&self.released);
        let _membership = self.receiving.add(inbound);
        let mut upload = Upload::new(self, inbound, announced as usize);
        let received = tokio::select! {
            received = timeout_at(limits.deadline, upload.read(body, limits.max_bytes)) => {
                received.unwrap_or(Err(ReadError::Timeout))
            }
            () = inbound.body_evicted() => Err(ReadError::OverBudget),
        };
        inbound.body_ended();
        received.map(|()| upload.finish())
    }

    /// Like [`Uploads::receive`], and joins the bytes. What is joined counts until the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`], also when there is no room to join them.
    pub async fn receive_bytes<B>(
        &self,
        body: B,
        inbound: &Arc<Inbound>,
        limits: UploadLimits,
    ) -> Result<Bytes, ReadError>
    where
        B: http_body::Body<Data = Bytes>,
    {
        let payload = self.receive(body, inbound, limits).await?;
        if payload.as_contiguous().is_some() {
            return Ok(payload.into_bytes());
        }
        let reservation = self.reserve(payload.remaining());
        let joined = Buffer {
            reservation: Some(reservation.ok_or(ReadError::OverBudget)?),
            bytes: payload.into_bytes().into(),
        };
        Ok(joined.into_bytes())
    }

    /// Reserves more memory for a body, for which others give way if they can.
    async fn reserve_growth(&self, bytes: usize, is_small: bool) -> Result<Reservation, ReadError> {
        let floor = if is_small { 0 } else { self.small_part() };
        loop {
            let released = self.released.notified();
            if let Some(reservation) = self.memory.reserve(bytes, floor) {
                return Ok(reservation);
            }
            let evicted = self.receiving.take_evicted();
            evicted.ok_or(ReadError::OverBudget)?.evict_body();
            released.await;
        }
    }
}

/// Notifies those who wait for memory when it is dropped.
struct ReleaseNotice<'a>(&'a Notify);

impl Drop for ReleaseNotice<'_> {
    fn drop(&mut self) {
        self.0.notify_waiters();
    }
}

/// A body that is being received.
struct Upload<'a> {
    uploads: &'a Uploads,
    inbound: &'a Inbound,
    buffer: Buffer,
    /// Number of bytes received.
    length: usize,
    /// Number of bytes that were announced; 0 if unknown.
    announced: usize,
    /// Number of bytes at the last progress.
    progress: usize,
}

impl<'a> Upload<'a> {
    fn new(uploads: &'a Uploads, inbound: &'a Inbound, announced: usize) -> Self {
        Self {
            uploads,
            inbound,
            buffer: Buffer::default(),
            length: 0,
            announced,
            progress: 0,
        }
    }

    async fn read<B>(&mut self, body: B, max_bytes: usize) -> Result<(), ReadError>
    where
        B: http_body::Body<Data = Bytes>,
    {
        let mut body = std::pin::pin!(body);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Truncated)?;
            // Trailers are dropped.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if self.length + data.len() > max_bytes {
                return Err(ReadError::TooLong(max_bytes));
            }
            self.push(&data).await?;
        }
        Ok(())
    }

    async fn push(&mut self, mut data: &[u8]) -> Result<(), ReadError> {
        while !data.is_empty() {
            if self.buffer.room() == 0 {
                self.enlarge_buffer().await?;
            }
            let (part, rest) = data.split_at(data.len().min(self.buffer.room()));
            self.buffer.bytes.extend_from_slice(part);
            self.length += part.len();
            data = rest;
        }
        if self.length - self.progress >= PROGRESS_BYTES {
            self.progress = self.length;
            self.inbound.body_progressed();
        }
        Ok(())
    }

    /// Returns how much memory is reserved next: for what is left of an announced body, or about what there is already.
    fn next_growth(&self) -> usize {
        let expected = match self.announced.saturating_sub(self.length) {
            0 => self.length.max(MIN_GROWTH_BYTES),
            left => left,
        };
        expected.min(MAX_GROWTH_BYTES)
    }

    async fn enlarge_buffer(&mut self) -> Result<(), ReadError> {
        let size = self.next_growth();
        let is_small = self.length + size <= SMALL_BYTES;
        if !is_small {
            self.inbound.body_is_long();
        }
        let reservation = self.uploads.reserve_growth(size, is_small).await?;
        self.buffer.grow(reservation, self.announced);
        Ok(())
    }

    fn finish(self) -> Payload {
        self.buffer.into_bytes().into()
    }
}

/// The bytes of a body, with the memory that they take.
#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    reservation: Option<Reservation>,
}

impl Buffer {
    fn room(&self) -> usize {
        let reserved = self.reservation.as_ref().map_or(0, Reservation::bytes);
        reserved - self.bytes.len()
    }

    /// Adds memory. The body has this length in the end; 0 if unknown.
    fn grow(&mut self, added: Reservation, length: usize) {
        let needed = self.bytes.len() + added.bytes();
        if self.bytes.capacity() < needed {
            let capacity = length.max(needed).max(self.bytes.capacity() * 2);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        match &mut self.reservation {
            Some(reservation) => reservation.merge(added),
            None => self.reservation = Some(added),
        }
    }

    fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
