//! Faults that can be injected into a running stand-in.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

/// Marker in a request body that makes a stand-in with [`Fault::fatal`] crash.
pub const FATAL_MARKER: &str = "fatal";

/// The faults that are active at a stand-in; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Closes every connection without processing the request or sending a response. Streams of engines and watches of
    /// the platform are aborted.
    pub down: bool,
    /// Processes each request, then closes the connection without a response.
    pub mute: bool,
    /// Platform: number of transactions that are applied but get no response; counts down to 0.
    pub mute_writes: u32,
    /// Platform: watches send no progress messages while nothing changes.
    pub quiet: bool,
    /// Rejects every request with status 429.
    pub limited: bool,
    /// Delay before each request is processed, in milliseconds.
    pub delay: u64,
    /// Factor by which processing is slower; 0 counts as 1.
    pub slow: f64,
    /// Engines: number of chunks after which a stream is aborted; 0 for never.
    pub cut: u32,
    /// Engines: the next weight swap stops halfway, so that the engine reports two versions.
    pub mixed: bool,
    /// Engines: chunks are duplicated, and neighboring chunks are swapped.
    pub shuffle: bool,
    /// Announces that the stand-in is shutting down.
    pub leaving: bool,
    /// Crashes on a request whose body contains [`FATAL_MARKER`].
    pub fatal: bool,
    /// Time after a crash until the stand-in listens at its address again, in milliseconds; 0 for never.
    pub restart: u64,
}

impl Fault {
    /// The factor by which processing is slower.
    pub fn slowdown(&self) -> f64 {
        if self.slow > 0.0 { self.slow } else { 1.0 }
    }
}

/// Shared handle to the faults of one stand-in.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    current: Arc<Mutex<Fault>>,
    crash_requested: Arc<Notify>,
    stopped: Arc<Notify>,
    crashes: Arc<AtomicUsize>,
}

impl Faults {
    /// Returns the current faults.
    pub fn get(&self) -> Fault {
        *self.current.lock()
    }

    /// Replaces the faults.
    pub fn set(&self, fault: Fault) {
        *self.current.lock() = fault;
    }

    /// Modifies the faults in place.
    pub fn change(&self, f: impl FnOnce(&mut Fault)) {
        f(&mut self.current.lock());
    }

    /// Stops the stand-in as a crash would: its connections are closed and its listening socket is closed. Returns
    /// once it has stopped.
    pub async fn crash(&self) {
        self.change(|fault| fault.down = true);
        self.crashes.fetch_add(1, Ordering::Relaxed);
        self.crash_requested.notify_one();
        self.stopped.notified().await;
    }

    /// Returns how often the stand-in has crashed.
    pub fn crashes(&self) -> usize {
        self.crashes.load(Ordering::Relaxed)
    }

    /// Waits until a crash is requested.
    pub(crate) async fn crash_requested(&self) {
        self.crash_requested.notified().await;
    }

    /// Records that the server has stopped.
    pub(crate) fn mark_stopped(&self) {
        self.stopped.notify_waiters();
        self.stopped.notify_one();
    }

    /// Waits for the configured delay.
    pub async fn delay(&self) {
        let delay = self.get().delay;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }
}
