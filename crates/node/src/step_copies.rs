//! A limit on the memory for copies of steps that are being stored: as they are encoded, and as they are sent.

use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

/// How much more memory a step takes while it is being stored.
const COPIES: usize = 4;

/// Bytes of one permit.
const PERMIT_BYTES: usize = 1 << 10;

/// Memory for the copies.
#[derive(Debug)]
pub(crate) struct StepCopies {
    permits: Semaphore,
    limit: usize,
}

impl StepCopies {
    /// Creates a limit of so many bytes.
    pub(crate) fn new(bytes: usize) -> Self {
        let limit = bytes / PERMIT_BYTES;
        Self {
            permits: Semaphore::new(limit),
            limit,
        }
    }

    /// Waits until a step of so many bytes can be copied. A long one, which is stored in parts, waits for all others.
    pub(crate) async fn acquire(&self, bytes: usize) -> Option<SemaphorePermit<'_>> {
        let wanted = (bytes * COPIES / PERMIT_BYTES).min(self.limit);
        // The semaphore is never closed.
        self.permits.acquire_many(wanted as u32).await.ok()
    }
}
