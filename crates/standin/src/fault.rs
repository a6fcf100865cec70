//! Faults that can be switched on while a stand-in runs.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

/// Marker in a request body that makes a stand-in with [`Fault::fatal`] crash.
pub const FATAL_MARKER: &str = "fatal";

/// What goes wrong at a stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// It closes every connection without an answer, and before it does anything.
    pub down: bool,
    /// It does what it is asked, then closes the connection without an answer.
    pub mute: bool,
    /// The platform: so many transactions are carried out and left without an answer.
    pub mute_writes: u32,
    /// The platform: watches say nothing while nothing changes.
    pub quiet: bool,
    /// It turns every call away with status 429.
    pub limited: bool,
    /// Milliseconds that each answer waits.
    pub delay: u64,
    /// Factor by which it is slower; 0 counts as 1.
    pub slow: f64,
    /// Engines: streams are cut after so many chunks; 0 for never.
    pub cut: u32,
    /// Engines: the next swap fails partway, so that two versions are stated.
    pub mixed: bool,
    /// Engines: chunks come doubled and in pairs the wrong way round.
    pub shuffle: bool,
    /// It says that it is leaving.
    pub leaving: bool,
    /// It ends as a process does when a body that it reads holds the word [`FATAL_MARKER`].
    pub fatal: bool,
}

impl Fault {
    /// The factor by which it is slower.
    pub fn factor(&self) -> f64 {
        if self.slow > 0.0 { self.slow } else { 1.0 }
    }
}

/// The faults of one stand-in, shared with those who switch them.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    now: Arc<Mutex<Fault>>,
    ended: Arc<Notify>,
    gone: Arc<Notify>,
}

impl Faults {
    /// The faults now.
    pub fn get(&self) -> Fault {
        *self.now.lock()
    }

    /// Replaces the faults.
    pub fn set(&self, fault: Fault) {
        *self.now.lock() = fault;
    }

    /// Changes the faults.
    pub fn change(&self, f: impl FnOnce(&mut Fault)) {
        f(&mut self.now.lock());
    }

    /// Ends the stand-in as a process does: whoever is connected is cut off, and nobody listens any more.
    pub async fn end(&self) {
        self.change(|fault| fault.down = true);
        self.ended.notify_one();
        self.gone.notified().await;
    }

    /// Waits until the stand-in is to end.
    pub(crate) async fn ended(&self) {
        self.ended.notified().await;
    }

    /// Notes that nobody listens any more.
    pub(crate) fn gone(&self) {
        self.gone.notify_waiters();
        self.gone.notify_one();
    }

    /// Waits for the delay that is switched on.
    pub async fn delay(&self) {
        let delay = self.get().delay;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }
}
