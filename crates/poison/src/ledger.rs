//! Which requests crash upstreams, as far as one instance knows.
//!
//! Load pattern: one request among many crashes each upstream that begins to run it, and comes again, at
//! any instance. Whatever else runs there breaks off as well. A connection that broke therefore says little of
//! a request; what counts is how often upstreams crashed under it, and what else was there each time.
//!
//! The verdict follows from the crashes that are known and from nothing else, so instances that know the
//! same say the same, in whatever order they heard of it.

use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use kernel::Set;

use crate::Fingerprint;
use crate::report::Crash;
use crate::report::MOST;
use crate::report::Report;
use crate::report::Success;

/// Crashes after which a request runs no more: one may be chance and two a bad moment, and a service
/// loses no more upstreams to a request than it takes to tell.
pub const CRASHES: usize = 3;

/// Crashes that nothing else accounts for, without which a request is not blamed. A request that was beside
/// the culprit each time has none; two, since the culprit's last crash may not be known yet.
const SOLE: usize = 2;

/// Time after a crash from which it is known what else was there, in milliseconds: what another instance has
/// seen is told within 150 ms, read within 850, and passed on twice. Two requests that went from one upstream
/// to the next together, at two instances, had three crashes each within 120 ms, and each instance knew of its own.
pub const SETTLE: Millis = 1_500;

/// Time for which a crash counts, in milliseconds: ten minutes. Callers have given up by then, and an upstream
/// that was mended gets the request again without anybody's doing; if it was not, as many crashes as the first time
/// are enough, and one where those before were far apart.
pub const CRASH_TTL_MS: Millis = 600_000;

/// Most requests that are remembered. A fleet of 600 upstreams that crash at the same moment with a dozen
/// requests each leaves 7,200; most of those run whole elsewhere and are forgotten. With some 200 bytes
/// each they are 1 MB.
const CASES: usize = 4_096;

/// Part of the requests that are forgotten at a time when there are too many: a look through all of them
/// for each new one would take a flood's whole processor time.
const PART: usize = 8;

/// Most crashes that are remembered of one request.
const KNOWN: usize = 16;

/// Time for which it is remembered that a request ran whole after all its crashes, in milliseconds, where no other
/// instance has seen any: an older report of them may still be on its way.
const SETTLED: Millis = 10_000;

/// What may be done with a request; a later one allows less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It may run anywhere.
    Unrestricted,
    /// An upstream crashed under it: it had better run where no other such request does, so that the next
    /// crash tells them apart.
    Suspect,
    /// Upstreams crashed under it often enough, and what else was there may not be known yet: it had better
    /// wait for so many milliseconds.
    Undecided(Millis),
    /// It may not run for so many milliseconds.
    Quarantined(Millis),
}

/// A change of what is believed of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Crashes that count.
    pub crashes: usize,
    /// Whether it is quarantined now; else it has ceased to be.
    pub quarantined: bool,
}

#[derive(Clone, Debug, Default)]
struct Case {
    crashes: Vec<(Arc<str>, Millis)>,
    whole: Millis,
    quarantined: bool,
    /// Time after a whole answer in which no crash counts either, in milliseconds.
    cleared: Millis,
    /// Whether another instance has told of it, which may tell the same again for as long as a crash counts.
    told: bool,
}

impl Case {
    /// Time for which a whole answer is remembered, in milliseconds.
    fn settled(&self) -> Millis {
        match self.told {
            true => CRASH_TTL_MS,
            false => SETTLED.max(self.cleared),
        }
    }

    /// The crashes that count: none that are too old, and none before it ran whole, or soon after.
    fn counted(&self, now: Millis) -> impl Iterator<Item = &(Arc<str>, Millis)> {
        let crashes = self.crashes.iter();
        let cleared = match self.whole {
            0 => 0,
            whole => whole + self.cleared,
        };
        crashes.filter(move |(_, at)| *at > cleared && now < *at + CRASH_TTL_MS)
    }

    fn total(&self, now: Millis) -> usize {
        self.counted(now).count()
    }

    fn add(&mut self, upstream: &Arc<str>, at: Millis) -> bool {
        if self.crashes.iter().any(|(known, _)| known == upstream) {
            return false;
        }
        self.crashes.push((upstream.clone(), at));
        if self.crashes.len() > KNOWN {
            self.crashes.remove(0);
        }
        true
    }
}

/// What one instance knows of crashes.
///
/// # Examples
///
/// ```
/// use poison::{Ledger, Fingerprint, Verdict};
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
    cases: Map<Fingerprint, Case>,
    /// The requests that were at an upstream when it crashed.
    beside: Map<Arc<str>, Vec<Fingerprint>>,
    /// What this instance has seen itself.
    own: Report,
    /// The upstreams at which suspects of this instance are.
    places: Map<Arc<str>, Vec<Fingerprint>>,
    changes: Vec<Change>,
    /// Time for which a whole answer clears, beside what was before it, in milliseconds.
    cleared: Millis,
}

impl Ledger {
    /// A ledger of what requests of different bytes have in common. A single whole answer clears that for as
    /// long as a crash counts: many sound requests may share it with one that crashes upstreams, and nobody
    /// may be turned away for what another one does.
    pub fn for_groups() -> Self {
        Self {
            cleared: CRASH_TTL_MS,
            ..Self::default()
        }
    }

    /// Tells whether nothing is known, as it nearly always is: then no request needs a digest.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// What may be done with a request. Times are in milliseconds since 1970.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Millis) -> Verdict {
        let Some(case) = self.cases.get(&fingerprint) else {
            return Verdict::Unrestricted;
        };
        let total = case.total(now);
        if total == 0 {
            return Verdict::Unrestricted;
        }
        if total < CRASHES {
            return Verdict::Suspect;
        }
        let sole = self.sole(fingerprint, case, total, now);
        let Some(last) = sole.get(SOLE - 1) else {
            return Verdict::Suspect;
        };
        match (last + SETTLE).checked_sub(now) {
            Some(wait @ 1..) => Verdict::Undecided(wait),
            Some(0) | None => Verdict::Quarantined(until(case, now).saturating_sub(now)),
        }
    }

    /// When upstreams crashed under a request while nothing else was there that crashes about as often, the
    /// earliest first. A crash less counts as often: what an instance sees reaches the others later.
    fn sole(
        &self,
        fingerprint: Fingerprint,
        case: &Case,
        total: usize,
        now: Millis,
    ) -> Vec<Millis> {
        let rival = |other: &Fingerprint| {
            let other = self.cases.get(other).filter(|_| *other != fingerprint);
            other.is_some_and(|other| other.total(now) + 1 >= total)
        };
        let alone = |upstream: &Arc<str>| {
            let beside = self.beside.get(upstream);
            !beside.is_some_and(|beside| beside.iter().any(rival))
        };
        let counted = case.counted(now);
        let sole = counted.filter(|(upstream, _)| alone(upstream));
        let mut sole: Vec<_> = sole.map(|(_, at)| *at).collect();
        sole.sort_unstable();
        sole
    }

    /// Notes that an upstream crashed while a request of this instance was there.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, upstream: &Arc<str>, now: Millis) {
        let crash = Crash {
            fingerprint,
            upstream: upstream.clone(),
            at: now,
        };
        if !self.learn(&crash, now) {
            return;
        }
        self.judge(self.touched([fingerprint]), now);
        if self.own.crashes.len() >= MOST {
            // What crashes upstreams has to outlast a restart of all instances.
            let total = |fingerprint| {
                self.cases
                    .get(&fingerprint)
                    .map_or(0, |case: &Case| case.total(now))
            };
            let crashes = &self.own.crashes;
            let lesser = crashes
                .iter()
                .position(|crash| total(crash.fingerprint) < CRASHES);
            self.own.crashes.remove(lesser.unwrap_or(0));
        }
        self.own.crashes.push(crash);
    }

    /// Notes that an upstream answered a request of this instance whole: it is not what crashes them.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Millis) {
        if !self.cases.contains_key(&fingerprint) {
            return;
        }
        let known = self.own.crashes.len();
        self.own
            .crashes
            .retain(|crash| crash.fingerprint != fingerprint);
        let crashes = self
            .cases
            .get(&fingerprint)
            .map_or(0, |case| case.crashes.len());
        if known - self.own.crashes.len() < crashes {
            // Others know of it as well.
            self.own
                .successes
                .retain(|whole| whole.fingerprint != fingerprint);
            if self.own.successes.len() >= MOST {
                self.own.successes.remove(0);
            }
            self.own.successes.push(Success {
                fingerprint,
                at: now,
            });
        }
        if let Some(case) = self.cases.get_mut(&fingerprint) {
            case.whole = case.whole.max(now);
        }
        self.judge(self.touched([fingerprint]), now);
    }

    /// Takes in what another instance has seen; what is known already changes nothing.
    pub fn merge(&mut self, report: &Report, now: Millis) {
        for crash in &report.crashes {
            self.learn(crash, now);
            self.tell(crash);
        }
        for whole in &report.successes {
            let at = whole.at.min(now);
            // The crashes before it may be heard of later.
            if now < at + CRASH_TTL_MS {
                let case = self.case(whole.fingerprint, now);
                case.whole = case.whole.max(at);
                case.told = true;
            }
        }
        let crashes = report.crashes.iter().map(|crash| crash.fingerprint);
        let wholes = report.successes.iter().map(|whole| whole.fingerprint);
        self.judge(self.touched(crashes.chain(wholes)), now);
    }

    fn learn(&mut self, crash: &Crash, now: Millis) -> bool {
        // A clock that is ahead must not keep a crash for longer than the others do.
        let at = crash.at.min(now);
        if now >= at + CRASH_TTL_MS {
            return false;
        }
        if !self.case(crash.fingerprint, now).add(&crash.upstream, at) {
            return false;
        }
        let beside = self.beside.entry(crash.upstream.clone()).or_default();
        beside.push(crash.fingerprint);
        true
    }

    /// What is known of a request, with room for it if nothing is.
    fn case(&mut self, fingerprint: Fingerprint, now: Millis) -> &mut Case {
        if !self.cases.contains_key(&fingerprint) && self.cases.len() >= CASES {
            self.evict(now);
        }
        let cleared = self.cleared;
        self.cases.entry(fingerprint).or_insert_with(|| Case {
            cleared,
            ..Case::default()
        })
    }

    /// Notes that another instance has told of a crash; one's own record comes back as well.
    fn tell(&mut self, crash: &Crash) {
        if self.own.crashes.contains(crash) {
            return;
        }
        if let Some(case) = self.cases.get_mut(&crash.fingerprint) {
            case.told = true;
        }
    }

    /// Forgets those that have crashed least, the oldest first: a flood of requests that were beside one
    /// crash each must not push out what is quarantined.
    fn evict(&mut self, now: Millis) {
        let newest = |case: &Case| case.crashes.iter().map(|(_, at)| *at).max();
        let order = |(fingerprint, case): (&Fingerprint, &Case)| {
            (case.total(now), newest(case), *fingerprint)
        };
        let mut all: Vec<_> = self.cases.iter().map(order).collect();
        all.sort_unstable();
        for (.., fingerprint) in all.into_iter().take(CASES / PART) {
            self.cases.remove(&fingerprint);
        }
        self.settle();
    }

    /// Forgets what counts no more.
    pub fn prune(&mut self, now: Millis) {
        self.judge(self.cases.keys().copied().collect(), now);
        self.cases
            .retain(|_, case| case.total(now) > 0 || now < case.whole + case.settled());
        self.own
            .crashes
            .retain(|crash| now < crash.at + CRASH_TTL_MS);
        self.own
            .successes
            .retain(|whole| now < whole.at + CRASH_TTL_MS);
        self.settle();
    }

    fn settle(&mut self) {
        let cases = &self.cases;
        self.beside.retain(|_, beside| {
            beside.retain(|fingerprint| cases.contains_key(fingerprint));
            !beside.is_empty()
        });
    }

    /// The requests whose verdict may change with those of some: they and what was beside them.
    fn touched(&self, fingerprints: impl IntoIterator<Item = Fingerprint>) -> Set<Fingerprint> {
        let mut touched = Set::default();
        for fingerprint in fingerprints {
            let crashes = self.cases.get(&fingerprint).map(|case| case.crashes.iter());
            for (upstream, _) in crashes.into_iter().flatten() {
                touched.extend(self.beside.get(upstream).into_iter().flatten());
            }
        }
        touched
    }

    /// Notes which of some requests are quarantined now and were not, or were and are not.
    fn judge(&mut self, fingerprints: Set<Fingerprint>, now: Millis) {
        let judged = |fingerprint: Fingerprint| {
            let case = self.cases.get(&fingerprint)?;
            let quarantined = matches!(self.verdict(fingerprint, now), Verdict::Quarantined(_));
            (quarantined != case.quarantined).then(|| Change {
                fingerprint,
                crashes: case.total(now),
                quarantined,
            })
        };
        let changes: Vec<_> = fingerprints.into_iter().filter_map(judged).collect();
        for change in &changes {
            if let Some(case) = self.cases.get_mut(&change.fingerprint) {
                case.quarantined = change.quarantined;
            }
        }
        self.changes.extend(changes);
    }

    /// Takes the changes of belief since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Requests that are quarantined.
    pub fn quarantined_count(&self) -> usize {
        self.cases.values().filter(|case| case.quarantined).count()
    }

    /// What this instance has seen itself.
    pub fn local_report(&self) -> &Report {
        &self.own
    }

    /// Notes that a suspect of this instance is at an upstream.
    pub fn enter(&mut self, fingerprint: Fingerprint, upstream: &Arc<str>) {
        let place = self.places.entry(upstream.clone()).or_default();
        place.push(fingerprint);
    }

    /// Notes that a suspect of this instance has left an upstream.
    pub fn leave(&mut self, fingerprint: Fingerprint, upstream: &str) {
        let Some(place) = self.places.get_mut(upstream) else {
            return;
        };
        if let Some(at) = place.iter().position(|one| *one == fingerprint) {
            place.swap_remove(at);
        }
        if place.is_empty() {
            self.places.remove(upstream);
        }
    }

    /// The upstreams at which other suspects of this instance are.
    pub fn upstreams_of_others(&self, fingerprint: Fingerprint) -> impl Iterator<Item = &Arc<str>> {
        let others = move |place: &&Vec<Fingerprint>| place.iter().any(|one| *one != fingerprint);
        let places = self.places.iter();
        places
            .filter(move |(_, place)| others(place))
            .map(|(upstream, _)| upstream)
    }
}

/// When a quarantine ends: when only two crashes are left that count.
fn until(case: &Case, now: Millis) -> Millis {
    let mut times: Vec<_> = case.counted(now).map(|(_, at)| *at).collect();
    times.sort_unstable_by(|a, b| b.cmp(a));
    times.get(CRASHES - 1).map_or(now, |at| at + CRASH_TTL_MS)
}
