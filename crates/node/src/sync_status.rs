//! What the synchronisation of the configuration is doing, and log lines about its changes.

use std::net::SocketAddr;

use kernel::Millis;

/// A step of the synchronisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncStep {
    /// A poll of the instance at this address.
    Poll(SocketAddr),
    /// A read of the platform.
    Read,
}

impl SyncStep {
    /// Returns the name of what is asked: an address or the platform.
    fn target(self) -> String {
        match self {
            Self::Poll(addr) => addr.to_string(),
            Self::Read => "platform".to_owned(),
        }
    }
}

/// The step under way, the result of the last one, and whether the configuration is late.
#[derive(Debug, Default)]
pub(crate) struct SyncStatus {
    /// The step under way and when it began.
    current: Option<(SyncStep, Millis)>,
    /// The last step that ended, its result, and since when steps have ended like that.
    last: Option<(SyncStep, &'static str, Millis)>,
    is_late: bool,
}

impl SyncStatus {
    /// Records that a step has begun.
    pub(crate) fn begin(&mut self, step: SyncStep, now: Millis) {
        self.current = Some((step, now));
    }

    /// Records the result of the step under way, and logs it unless the step before ended in the same way.
    pub(crate) fn end(&mut self, result: &'static str, now: Millis) {
        let Some((step, began)) = self.current.take() else {
            return;
        };
        if self
            .last
            .is_some_and(|(last, outcome, _)| (last, outcome) == (step, result))
        {
            return;
        }
        self.last = Some((step, result, now));
        let (address, took) = (step.target(), now.saturating_sub(began));
        log::info!(target: "news", address = address.as_str(), result, took_ms = took;
            "synchronisation step");
    }

    /// Logs once when the configuration becomes older than `limit` milliseconds, and once when it no longer is.
    pub(crate) fn check_age(&mut self, age: Option<Millis>, limit: Millis, now: Millis) {
        let is_late = age.is_none_or(|age| age > limit);
        if std::mem::replace(&mut self.is_late, is_late) == is_late {
            return;
        }
        let step = self.current.map(|(step, _)| step.target());
        let pending = self.current.map(|(_, began)| now.saturating_sub(began));
        let (result, since) = match self.last {
            Some((_, result, since)) => (result, Some(now.saturating_sub(since))),
            None => ("none", None),
        };
        if is_late {
            log::warn!(target: "news", config_age_ms = age, address = step.as_deref(),
                pending_ms = pending, result, since_ms = since; "configuration late");
        } else {
            log::info!(target: "news", config_age_ms = age; "configuration in time again");
        }
    }
}
