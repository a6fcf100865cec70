//! What is known of crashes, by what requests ask for to the byte and by what they have in common.
//!
//! Load pattern: the samples of a step come by the hundred, each with bytes of its own, and some of them
//! crash each engine. Known by its bytes alone, each of them ended three engines before it was held.

use std::sync::Arc;

use kernel::Millis;
use poison::Change;
use poison::Identity;
use poison::Ledger;
use poison::Observations;
use poison::Verdict;

/// The two ledgers.
#[derive(Debug)]
pub(crate) struct Ledgers {
    own: Ledger,
    kin: Ledger,
}

impl Default for Ledgers {
    fn default() -> Self {
        Self {
            own: Ledger::default(),
            kin: Ledger::for_groups(),
        }
    }
}

impl Ledgers {
    pub(crate) fn is_empty(&self) -> bool {
        self.own.is_empty() && self.kin.is_empty()
    }

    /// What may be done with a request: the less of what either ledger allows.
    pub(crate) fn verdict(&self, mark: Identity, now: Millis) -> Verdict {
        let own = self.own.verdict(mark.exact, now);
        own.max(self.kin.verdict(mark.group, now))
    }

    pub(crate) fn crashed(&mut self, mark: Identity, upstream: &Arc<str>, now: Millis) {
        self.own.record_crash(mark.exact, upstream, now);
        self.kin.record_crash(mark.group, upstream, now);
    }

    pub(crate) fn whole(&mut self, mark: Identity, now: Millis) {
        self.own.record_success(mark.exact, now);
        self.kin.record_success(mark.group, now);
    }

    pub(crate) fn heard(&mut self, seen: &Observations, now: Millis) {
        self.own.merge(&seen.exact, now);
        self.kin.merge(&seen.group, now);
    }

    pub(crate) fn prune(&mut self, now: Millis) {
        self.own.prune(now);
        self.kin.prune(now);
    }

    /// What is believed since the last call and was not before; of requests that have nothing in common with
    /// others once.
    pub(crate) fn changes(&mut self) -> Vec<Change> {
        let mut changes = self.own.take_changes();
        let kin = self.kin.take_changes();
        let new = kin.into_iter().filter(|one| !changes.contains(one));
        let new: Vec<_> = new.collect();
        changes.extend(new);
        changes
    }

    /// Requests that are quarantined; work with something in common counts once.
    pub(crate) fn quarantined(&self) -> usize {
        self.own
            .quarantined_count()
            .max(self.kin.quarantined_count())
    }

    pub(crate) fn own(&self) -> Observations {
        Observations {
            exact: self.own.local_report().clone(),
            group: self.kin.local_report().clone(),
        }
    }

    pub(crate) fn enter(&mut self, mark: Identity, upstream: &Arc<str>) {
        self.own.enter(mark.exact, upstream);
        self.kin.enter(mark.group, upstream);
    }

    pub(crate) fn leave(&mut self, mark: Identity, upstream: &str) {
        self.own.leave(mark.exact, upstream);
        self.kin.leave(mark.group, upstream);
    }

    /// The upstreams at which other suspects of this instance are.
    pub(crate) fn taken(&self, mark: Identity) -> Vec<Arc<str>> {
        self.own.upstreams_of_others(mark.exact).cloned().collect()
    }
}
