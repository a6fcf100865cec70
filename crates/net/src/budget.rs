//! A limit on the memory that received bodies take together.
//!
//! Each body has a length limit of its own, but the sum over all that are received at the same time has none: servers
//! whose bodies never end would take the memory of the process in a moment.

use bytes::Bytes;
use http_body_util::BodyExt;

use crate::body::ReadError;
use crate::memory::Memory;
use crate::memory::Reservation;

/// Number of bytes of each body that are not counted, so that ordinary bodies are received whatever others take.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// Memory for received bodies, shared by all that are clones of one.
///
/// # Examples
///
/// ```
/// use http_body_util::Full;
/// use net::BodyBudget;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let budget = BodyBudget::new(64_000);
/// let body = |length| Full::new(bytes::Bytes::from(vec![0; length]));
/// let held = budget.read(body(80_000), 1 << 20).await.unwrap();
/// assert!(budget.left() < 1_000);
/// assert!(budget.read(body(80_000), 1 << 20).await.is_err());
/// assert!(budget.read(body(5_000), 1 << 20).await.is_ok());
/// drop(held);
/// assert!(budget.read(body(80_000), 1 << 20).await.is_ok());
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct BodyBudget(Memory);

impl BodyBudget {
    /// Creates a budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Memory::new(bytes))
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Self {
        Self::new(isize::MAX as usize)
    }

    /// Returns the number of bytes that are left.
    pub fn left(&self) -> usize {
        self.0.left()
    }

    /// Reads a whole body. Its bytes count until the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] when the body is longer than `limit` bytes, does not fit into the budget, or is truncated.
    pub async fn read<B>(&self, body: B, limit: usize) -> Result<Bytes, ReadError>
    where
        B: http_body::Body<Data = Bytes>,
    {
        let mut body = std::pin::pin!(body);
        let mut received = Received {
            bytes: Vec::new(),
            share: self.share(),
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Truncated)?;
            // Trailers are dropped.
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if received.bytes.len() + data.len() > limit {
                return Err(ReadError::TooLong(limit));
            }
            received.push(&data)?;
        }
        Ok(Bytes::from_owner(received))
    }

    /// Returns bytes that count until the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::OverBudget`] when they do not fit into the budget.
    ///
    /// # Examples
    ///
    /// ```
    /// let budget = net::BodyBudget::new(64_000);
    /// let held = budget.hold(vec![0; 80_000])?;
    /// assert!(budget.hold(vec![0; 80_000]).is_err());
    /// drop(held);
    /// assert!(budget.hold(vec![0; 80_000]).is_ok());
    /// # Ok::<(), net::body::ReadError>(())
    /// ```
    pub fn hold(&self, bytes: Vec<u8>) -> Result<Bytes, ReadError> {
        let mut share = self.share();
        share.resize(bytes.capacity())?;
        Ok(Bytes::from_owner(Received { bytes, share }))
    }

    /// Returns the share of an empty buffer.
    pub fn share(&self) -> BufferShare {
        BufferShare(self.0.reserve_anyway(0))
    }
}

/// What a buffer takes of a budget, until it is dropped.
#[derive(Debug)]
pub struct BufferShare(Reservation);

impl BufferShare {
    /// Counts a buffer of so many bytes in place of the one before.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError::OverBudget`] when it does not fit into the budget; the one before still counts.
    pub fn resize(&mut self, bytes: usize) -> Result<(), ReadError> {
        let counted = bytes.saturating_sub(UNCOUNTED_BYTES);
        match self.0.resize(counted) {
            true => Ok(()),
            false => Err(ReadError::OverBudget),
        }
    }
}

/// The bytes of a body that have been received, and what of the budget they take.
#[derive(Debug)]
struct Received {
    bytes: Vec<u8>,
    share: BufferShare,
}

impl Received {
    /// Appends bytes, after taking from the budget what the buffer grows by.
    fn push(&mut self, data: &[u8]) -> Result<(), ReadError> {
        let length = self.bytes.len() + data.len();
        if length > self.bytes.capacity() {
            let capacity = length.max(self.bytes.capacity() * 2);
            self.share.resize(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl AsRef<[u8]> for Received {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
