//! Decides which requests crash upstreams, from the crashes that one instance knows.
//!
//! Load pattern: one request among many crashes each upstream that starts to run it, and is retried at any
//! instance. The crash also aborts all other requests at that upstream, so a broken connection says little about a
//! single request. What counts is how often upstreams crashed while running it, and which other requests they ran
//! at that moment.
//!
//! A verdict depends only on the known crashes and successes, so instances with the same knowledge reach the same
//! verdict, in whatever order they learned of them.

use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use kernel::Set;

use crate::Fingerprint;
use crate::report::Crash;
use crate::report::MAX_ENTRIES;
use crate::report::Report;
use crate::report::Success;

/// Number of crashes after which a request is quarantined. One or two may be coincidence, and a higher limit would
/// cost the service more upstreams.
pub const QUARANTINE_CRASHES: usize = 3;

/// Minimum number of crashes at which a request must be the only suspect to be quarantined. A request that ran beside
/// the culprit each time has none. One is not enough, since the culprit's latest crash may not be known yet.
const MIN_SOLE_CRASHES: usize = 2;

/// Time after a crash, in milliseconds, until the other requests at the upstream are known. Another instance writes
/// its report within 150 ms, it is read within 850 ms, and it is relayed twice. Without this delay, two requests of
/// two instances that moved together from upstream to upstream had three crashes each within 120 ms, while each
/// instance knew only of its own request.
pub const SETTLING_MS: Millis = 1_500;

/// Time for which a crash counts, in milliseconds: ten minutes. By then callers no longer wait for the request or
/// retry it, and a repaired upstream gets the request again without operator action. If it still crashes, at most as
/// many crashes as the first time quarantine the request again, and a single one if the earlier crashes were far apart.
pub const CRASH_TTL_MS: Millis = 600_000;

/// Maximum number of tracked requests. If 600 upstreams crash at the same moment with a dozen requests each, there
/// are 7,200; most of them succeed elsewhere and are dropped. At about 200 bytes each the limit takes 1 MB.
const MAX_REQUESTS: usize = 4_096;

/// Divisor for the share of [`MAX_REQUESTS`] that one eviction removes. Scanning all requests for each new one would
/// take all processor time during a burst.
const EVICTION_DIVISOR: usize = 8;

const MAX_CRASHES_PER_REQUEST: usize = 16;

/// Time in milliseconds for which a success is kept if no other instance has reported crashes of the request. An older
/// report may still arrive.
const LOCAL_SUCCESS_TTL_MS: Millis = 10_000;

/// What a request may do, from least to most restrictive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It may run on any upstream.
    Unrestricted,
    /// An upstream crashed while running it. It should run on an upstream without other suspects, so that the
    /// next crash tells them apart.
    Suspect,
    /// Enough upstreams crashed while running it, but the other requests there may not be known yet. It should
    /// wait for this many milliseconds.
    Undecided(Millis),
    /// It must not run for this many milliseconds.
    Quarantined(Millis),
}

/// The start or end of a quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The number of crashes that count.
    pub crashes: usize,
    /// Whether the quarantine starts (`true`) or ends (`false`).
    pub quarantined: bool,
}

/// What is known about one request.
#[derive(Clone, Debug, Default)]
struct RequestState {
    /// The upstreams that crashed, and when.
    crashes: Vec<(Arc<str>, Millis)>,
    /// The time of the last success; 0 if there was none.
    last_success: Millis,
    quarantined: bool,
    /// Whether another instance has reported it. That instance may repeat its report for as long as a crash counts.
    reported: bool,
}

impl RequestState {
    /// Time for which a success is kept, in milliseconds.
    fn success_ttl(&self) -> Millis {
        match self.reported {
            true => CRASH_TTL_MS,
            false => LOCAL_SUCCESS_TTL_MS,
        }
    }

    /// The crashes that count: those that have not expired and are later than the last success.
    fn active_crashes(&self, now: Millis) -> impl Iterator<Item = &(Arc<str>, Millis)> {
        let crashes = self.crashes.iter();
        crashes.filter(move |(_, at)| *at > self.last_success && now < *at + CRASH_TTL_MS)
    }

    fn active_count(&self, now: Millis) -> usize {
        self.active_crashes(now).count()
    }

    /// Adds a crash; returns whether it was new.
    fn add_crash(&mut self, upstream: &Arc<str>, at: Millis) -> bool {
        if self.crashes.iter().any(|(known, _)| known == upstream) {
            return false;
        }
        self.crashes.push((upstream.clone(), at));
        if self.crashes.len() > MAX_CRASHES_PER_REQUEST {
            self.crashes.remove(0);
        }
        true
    }
}

/// The crashes and successes that one instance knows, by request.
///
/// # Examples
///
/// ```
/// use poison::{Fingerprint, Ledger, Verdict};
///
/// let fingerprint = Fingerprint::new("GET", "shop.example", "/a", b"", b"");
/// let mut ledger = Ledger::default();
/// for upstream in ["i-1", "i-2"] {
///     ledger.record_crash(fingerprint, &upstream.into(), 1_000);
/// }
/// assert_eq!(ledger.verdict(fingerprint, 1_000), Verdict::Suspect);
/// ledger.record_crash(fingerprint, &"i-3".into(), 1_000);
/// assert_eq!(ledger.verdict(fingerprint, 1_000), Verdict::Undecided(1_500));
/// assert_eq!(ledger.verdict(fingerprint, 2_500), Verdict::Quarantined(598_500));
/// ```
#[derive(Debug, Default)]
pub struct Ledger {
    requests: Map<Fingerprint, RequestState>,
    /// The requests that each crashed upstream ran at that moment.
    affected: Map<Arc<str>, Vec<Fingerprint>>,
    /// The observations of this instance.
    local: Report,
    /// The suspects of this instance that each upstream runs now.
    suspects: Map<Arc<str>, Vec<Fingerprint>>,
    changes: Vec<Change>,
}

impl Ledger {
    /// Returns whether no request is tracked, which is the normal state. Then no fingerprint has to be computed.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the number of tracked requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the verdict on a request. Times are in milliseconds since 1970.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Millis) -> Verdict {
        let Some(state) = self.requests.get(&fingerprint) else {
            return Verdict::Unrestricted;
        };
        let count = state.active_count(now);
        if count == 0 {
            return Verdict::Unrestricted;
        }
        if count < QUARANTINE_CRASHES {
            return Verdict::Suspect;
        }
        let sole = self.sole_crashes(fingerprint, state, count, now);
        let Some(last) = sole.get(MIN_SOLE_CRASHES - 1) else {
            return Verdict::Suspect;
        };
        match (last + SETTLING_MS).checked_sub(now) {
            Some(wait @ 1..) => Verdict::Undecided(wait),
            Some(0) | None => Verdict::Quarantined(quarantine_end(state, now).saturating_sub(now)),
        }
    }

    /// Returns the times of the crashes at which a request was the only suspect, in ascending order. Any other request
    /// at the upstream with at least one crash less than this one is a suspect too, since reports of other instances
    /// arrive late.
    fn sole_crashes(
        &self,
        fingerprint: Fingerprint,
        state: &RequestState,
        count: usize,
        now: Millis,
    ) -> Vec<Millis> {
        let rival = |other: &Fingerprint| {
            let other = self.requests.get(other).filter(|_| *other != fingerprint);
            other.is_some_and(|other| other.active_count(now) + 1 >= count)
        };
        let alone = |upstream: &Arc<str>| {
            let affected = self.affected.get(upstream);
            !affected.is_some_and(|affected| affected.iter().any(rival))
        };
        let active = state.active_crashes(now);
        let sole = active.filter(|(upstream, _)| alone(upstream));
        let mut sole: Vec<_> = sole.map(|(_, at)| *at).collect();
        sole.sort_unstable();
        sole
    }

    /// Records that an upstream crashed while it ran a request of this instance.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, upstream: &Arc<str>, now: Millis) {
        let crash = Crash {
            fingerprint,
            upstream: upstream.clone(),
            at: now,
        };
        if !self.insert_crash(&crash, now) {
            return;
        }
        self.update_quarantines(self.related([fingerprint]), now);
        if self.local.crashes.len() >= MAX_ENTRIES {
            // Crashes of quarantined requests are kept, so that they survive a restart of all instances.
            let count = |fingerprint| {
                self.requests
                    .get(&fingerprint)
                    .map_or(0, |state: &RequestState| state.active_count(now))
            };
            let crashes = &self.local.crashes;
            let removable = crashes
                .iter()
                .position(|crash| count(crash.fingerprint) < QUARANTINE_CRASHES);
            self.local.crashes.remove(removable.unwrap_or(0));
        }
        self.local.crashes.push(crash);
    }

    /// Records that an upstream answered a request of this instance completely, which clears the request.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Millis) {
        if !self.requests.contains_key(&fingerprint) {
            return;
        }
        let known = self.local.crashes.len();
        self.local
            .crashes
            .retain(|crash| crash.fingerprint != fingerprint);
        let crashes = self
            .requests
            .get(&fingerprint)
            .map_or(0, |state| state.crashes.len());
        if known - self.local.crashes.len() < crashes {
            // Other instances know of crashes too, so they have to learn of the success.
            self.local
                .successes
                .retain(|success| success.fingerprint != fingerprint);
            if self.local.successes.len() >= MAX_ENTRIES {
                self.local.successes.remove(0);
            }
            self.local.successes.push(Success {
                fingerprint,
                at: now,
            });
        }
        if let Some(state) = self.requests.get_mut(&fingerprint) {
            state.last_success = state.last_success.max(now);
        }
        self.update_quarantines(self.related([fingerprint]), now);
    }

    /// Merges the report of another instance. Merging is idempotent.
    pub fn merge(&mut self, report: &Report, now: Millis) {
        for crash in &report.crashes {
            self.insert_crash(crash, now);
            self.mark_reported(crash);
        }
        for success in &report.successes {
            let at = success.at.min(now);
            // Reports of crashes before the success may arrive later.
            if now < at + CRASH_TTL_MS {
                let state = self.state_mut(success.fingerprint, now);
                state.last_success = state.last_success.max(at);
                state.reported = true;
            }
        }
        let crashes = report.crashes.iter().map(|crash| crash.fingerprint);
        let successes = report.successes.iter().map(|success| success.fingerprint);
        self.update_quarantines(self.related(crashes.chain(successes)), now);
    }

    /// Inserts a crash; returns whether it was new and has not expired.
    fn insert_crash(&mut self, crash: &Crash, now: Millis) -> bool {
        // A reporter whose clock is ahead must not extend the time for which its crash counts.
        let at = crash.at.min(now);
        if now >= at + CRASH_TTL_MS {
            return false;
        }
        if !self
            .state_mut(crash.fingerprint, now)
            .add_crash(&crash.upstream, at)
        {
            return false;
        }
        let affected = self.affected.entry(crash.upstream.clone()).or_default();
        affected.push(crash.fingerprint);
        true
    }

    /// Returns the state of a request, after inserting it and evicting others if necessary.
    fn state_mut(&mut self, fingerprint: Fingerprint, now: Millis) -> &mut RequestState {
        if !self.requests.contains_key(&fingerprint) && self.requests.len() >= MAX_REQUESTS {
            self.evict(now);
        }
        self.requests.entry(fingerprint).or_default()
    }

    /// Marks a request as reported by another instance, unless the crash is this instance's own, whose report is
    /// read back too.
    fn mark_reported(&mut self, crash: &Crash) {
        if self.local.crashes.contains(crash) {
            return;
        }
        if let Some(state) = self.requests.get_mut(&crash.fingerprint) {
            state.reported = true;
        }
    }

    /// Evicts the requests with the fewest crashes, the oldest first: a burst of requests that were affected by one
    /// crash each must not displace quarantined ones.
    fn evict(&mut self, now: Millis) {
        let newest = |state: &RequestState| state.crashes.iter().map(|(_, at)| *at).max();
        let order = |(fingerprint, state): (&Fingerprint, &RequestState)| {
            (state.active_count(now), newest(state), *fingerprint)
        };
        let mut all: Vec<_> = self.requests.iter().map(order).collect();
        all.sort_unstable();
        for (.., fingerprint) in all.into_iter().take(MAX_REQUESTS / EVICTION_DIVISOR) {
            self.requests.remove(&fingerprint);
        }
        self.prune_affected();
    }

    /// Drops expired crashes and successes, and ends expired quarantines.
    pub fn prune(&mut self, now: Millis) {
        self.update_quarantines(self.requests.keys().copied().collect(), now);
        self.requests.retain(|_, state| {
            state.active_count(now) > 0 || now < state.last_success + state.success_ttl()
        });
        self.local
            .crashes
            .retain(|crash| now < crash.at + CRASH_TTL_MS);
        self.local
            .successes
            .retain(|success| now < success.at + CRASH_TTL_MS);
        self.prune_affected();
    }

    /// Drops untracked requests from the lists of affected requests.
    fn prune_affected(&mut self) {
        let requests = &self.requests;
        self.affected.retain(|_, affected| {
            affected.retain(|fingerprint| requests.contains_key(fingerprint));
            !affected.is_empty()
        });
    }

    /// Returns the requests whose verdict may depend on the given ones: themselves and all requests affected by the
    /// same crashes.
    fn related(&self, fingerprints: impl IntoIterator<Item = Fingerprint>) -> Set<Fingerprint> {
        let mut related = Set::default();
        for fingerprint in fingerprints {
            let crashes = self
                .requests
                .get(&fingerprint)
                .map(|state| state.crashes.iter());
            for (upstream, _) in crashes.into_iter().flatten() {
                related.extend(self.affected.get(upstream).into_iter().flatten());
            }
        }
        related
    }

    /// Updates the quarantine state of the given requests and collects the changes.
    fn update_quarantines(&mut self, fingerprints: Set<Fingerprint>, now: Millis) {
        let change = |fingerprint: Fingerprint| {
            let state = self.requests.get(&fingerprint)?;
            let quarantined = matches!(self.verdict(fingerprint, now), Verdict::Quarantined(_));
            (quarantined != state.quarantined).then(|| Change {
                fingerprint,
                crashes: state.active_count(now),
                quarantined,
            })
        };
        let changes: Vec<_> = fingerprints.into_iter().filter_map(change).collect();
        for change in &changes {
            if let Some(state) = self.requests.get_mut(&change.fingerprint) {
                state.quarantined = change.quarantined;
            }
        }
        self.changes.extend(changes);
    }

    /// Returns the quarantine changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        self.requests
            .values()
            .filter(|state| state.quarantined)
            .count()
    }

    /// Returns the observations of this instance.
    pub fn local_report(&self) -> &Report {
        &self.local
    }

    /// Records that an upstream starts to run a suspect of this instance.
    pub fn enter(&mut self, fingerprint: Fingerprint, upstream: &Arc<str>) {
        let suspects = self.suspects.entry(upstream.clone()).or_default();
        suspects.push(fingerprint);
    }

    /// Records that an upstream no longer runs a suspect of this instance.
    pub fn leave(&mut self, fingerprint: Fingerprint, upstream: &str) {
        let Some(suspects) = self.suspects.get_mut(upstream) else {
            return;
        };
        if let Some(index) = suspects.iter().position(|suspect| *suspect == fingerprint) {
            suspects.swap_remove(index);
        }
        if suspects.is_empty() {
            self.suspects.remove(upstream);
        }
    }

    /// Returns the upstreams that run other suspects of this instance.
    pub fn upstreams_of_others(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &Arc<str>> {
        let others = move |ids: &&Vec<Fingerprint>| ids.iter().any(|id| *id != fingerprint);
        let upstreams = self.suspects.iter();
        upstreams
            .filter(move |(_, ids)| others(ids))
            .map(|(upstream, _)| upstream)
    }
}

/// Returns the time at which a quarantine ends because fewer than [`QUARANTINE_CRASHES`] crashes still count.
fn quarantine_end(state: &RequestState, now: Millis) -> Millis {
    let mut times: Vec<_> = state.active_crashes(now).map(|(_, at)| *at).collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    times
        .get(QUARANTINE_CRASHES - 1)
        .map_or(now, |at| at + CRASH_TTL_MS)
}
