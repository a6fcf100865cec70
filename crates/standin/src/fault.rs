//! Faults that can be switched on while a stand-in runs.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;

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

    /// Waits for the delay that is switched on.
    pub async fn delay(&self) {
        let delay = self.get().delay;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }
}
