//! Counts crashes by exact request and by group of similar requests.
//!
//! Load pattern: the samples of a step arrive by the hundred, each with different bytes, and some of them crash every
//! engine that runs them. Counted by exact request alone, each of them crashed three engines before it was quarantined.

use std::sync::Arc;

use kernel::Millis;
use poison::Change;
use poison::Identity;
use poison::Ledger;
use poison::Observations;
use poison::Verdict;

/// A ledger of exact requests and a ledger of groups.
#[derive(Debug)]
pub(crate) struct Ledgers {
    exact: Ledger,
    group: Ledger,
}

impl Default for Ledgers {
    fn default() -> Self {
        Self {
            exact: Ledger::default(),
            group: Ledger::for_groups(),
        }
    }
}

impl Ledgers {
    pub(crate) fn is_empty(&self) -> bool {
        self.exact.is_empty() && self.group.is_empty()
    }

    /// Returns the more restrictive verdict of the two ledgers.
    pub(crate) fn verdict(&self, identity: Identity, now: Millis) -> Verdict {
        let exact = self.exact.verdict(identity.exact, now);
        exact.max(self.group.verdict(identity.group, now))
    }

    pub(crate) fn record_crash(&mut self, identity: Identity, upstream: &Arc<str>, now: Millis) {
        self.exact.record_crash(identity.exact, upstream, now);
        self.group.record_crash(identity.group, upstream, now);
    }

    pub(crate) fn record_success(&mut self, identity: Identity, now: Millis) {
        self.exact.record_success(identity.exact, now);
        self.group.record_success(identity.group, now);
    }

    pub(crate) fn merge(&mut self, observed: &Observations, now: Millis) {
        self.exact.merge(&observed.exact, now);
        self.group.merge(&observed.group, now);
    }

    pub(crate) fn prune(&mut self, now: Millis) {
        self.exact.prune(now);
        self.group.prune(now);
    }

    /// Returns the quarantine changes since the last call. A request without a group has the same fingerprint in both
    /// ledgers; its changes are returned once.
    pub(crate) fn take_changes(&mut self) -> Vec<Change> {
        let mut changes = self.exact.take_changes();
        let group = self.group.take_changes();
        let new = group.into_iter().filter(|change| !changes.contains(change));
        let new: Vec<_> = new.collect();
        changes.extend(new);
        changes
    }

    /// Returns the number of quarantined requests or of quarantined groups, whichever is larger.
    pub(crate) fn quarantined_count(&self) -> usize {
        self.exact
            .quarantined_count()
            .max(self.group.quarantined_count())
    }

    pub(crate) fn local_observations(&self) -> Observations {
        Observations {
            exact: self.exact.local_report().clone(),
            group: self.group.local_report().clone(),
        }
    }

    pub(crate) fn enter(&mut self, identity: Identity, upstream: &Arc<str>) {
        self.exact.enter(identity.exact, upstream);
        self.group.enter(identity.group, upstream);
    }

    pub(crate) fn leave(&mut self, identity: Identity, upstream: &str) {
        self.exact.leave(identity.exact, upstream);
        self.group.leave(identity.group, upstream);
    }

    /// Returns the upstreams that run other suspects of this instance.
    pub(crate) fn upstreams_of_others(&self, identity: Identity) -> Vec<Arc<str>> {
        self.exact
            .upstreams_of_others(identity.exact)
            .cloned()
            .collect()
    }
}
