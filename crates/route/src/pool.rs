//! The upstreams of one model or service.

use kernel::Millis;
use kernel::Name;

use crate::Availability;
use crate::Chooser;
use crate::Health;
use crate::Upstream;
use crate::UpstreamKind;
use crate::UpstreamSpec;
use crate::choose::Candidate;
use crate::choose::Strategy;
use crate::prefix::PrefixIndex;

/// Most prompt blocks in the prefix index of a pool.
const MAX_PREFIX_BLOCKS: usize = 65_536;

/// What a request requires of the upstream that serves it.
#[derive(Clone, Debug, Default)]
pub struct Requirements {
    /// Block hashes of the prompt.
    pub blocks: Vec<u64>,
    /// Lowest acceptable weight version.
    pub min_version: u64,
    /// Upstreams that already failed this request; picked only when no other can serve it.
    pub avoid: Vec<Name>,
}

/// Result of picking an upstream for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// The upstream to send the request to; [`Pool::finish`] must follow.
    Upstream(UpstreamSpec),
    /// Every upstream that could serve it is at its concurrency limit.
    Busy,
    /// No upstream can serve it now: each is ejected, quarantined, leaving or has weights that are too old.
    Unavailable,
}

/// Outcome of an attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The upstream responded, after this many milliseconds.
    Answered(f64),
    /// The upstream failed.
    Failed,
    /// Says nothing about the upstream: the caller disconnected, or the attempt was cancelled.
    Neutral,
}

/// Fraction of its window that an ejected upstream keeps while more than half are ejected.
const MOST_EJECTED_FRACTION: f64 = 0.25;

/// Returns the fraction of its window that an upstream may use, if any.
fn window_fraction(upstream: &Upstream, now: Millis, most_ejected: bool) -> Option<f64> {
    match upstream.health.availability(now) {
        Availability::Open(fraction) => Some(fraction),
        Availability::Ejected if most_ejected => Some(MOST_EJECTED_FRACTION),
        Availability::Ejected | Availability::Leaving | Availability::Quarantined => None,
    }
}

/// The upstreams of one model or service, as observed by one instance.
pub struct Pool {
    chooser: Box<dyn Strategy>,
    domain: Name,
    instances: u32,
    upstreams: Vec<Upstream>,
    prefixes: PrefixIndex,
}

impl Pool {
    /// Creates an empty pool for an instance in the failure domain `domain`.
    pub fn new(chooser: &Chooser, domain: Name) -> Self {
        Self {
            chooser: (chooser.make)(),
            domain,
            instances: 1,
            upstreams: Vec::new(),
            prefixes: PrefixIndex::new(MAX_PREFIX_BLOCKS),
        }
    }

    /// Adds an upstream, or replaces the settings of a known one.
    pub fn add(&mut self, spec: UpstreamSpec) {
        match self.find_mut(&spec.name) {
            Some(upstream) => upstream.spec = spec,
            None => self.upstreams.push(Upstream::new(spec)),
        }
    }

    /// Sets how many live instances share these upstreams.
    pub fn set_instances(&mut self, count: u32) {
        self.instances = count.max(1);
    }

    /// Finds an upstream by name, for a change of its state.
    pub fn find_mut(&mut self, name: &str) -> Option<&mut Upstream> {
        self.upstreams.iter_mut().find(|u| &*u.spec.name == name)
    }

    /// Returns all upstreams, in the order in which they were added.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Picks an upstream for a request and counts the request as outstanding at that upstream.
    pub fn pick(&mut self, requirements: &Requirements, now: Millis) -> Pick {
        let eligible = self.eligible(requirements, now);
        if eligible.is_empty() {
            return Pick::Unavailable;
        }
        let is_untried = |i: &usize| !requirements.avoid.contains(&self.upstreams[*i].spec.name);
        let untried: Vec<_> = eligible.iter().copied().filter(is_untried).collect();
        let preferred = if untried.is_empty() {
            eligible
        } else {
            untried
        };
        let free: Vec<_> = preferred
            .into_iter()
            .filter(|index| self.available_slots(*index, now) > 0)
            .collect();
        if free.is_empty() {
            return Pick::Busy;
        }
        let index = self.choose(&free, requirements, now);
        self.assign(index, requirements)
    }

    fn eligible(&self, requirements: &Requirements, now: Millis) -> Vec<usize> {
        let most_ejected = self.are_most_ejected(now);
        let is_eligible = |u: &Upstream| {
            // An engine of unknown version is eligible: the first chunk of its response states it.
            let is_new_enough = u
                .version
                .is_none_or(|version| version >= requirements.min_version);
            let is_suitable = u.spec.kind == UpstreamKind::Service || is_new_enough;
            is_suitable && window_fraction(u, now, most_ejected).is_some()
        };
        let all = 0..self.upstreams.len();
        all.filter(|index| is_eligible(&self.upstreams[*index]))
            .collect()
    }

    /// Returns whether more than half of the upstreams are ejected. The cause is then more likely
    /// overload than faults of theirs, and the rest would be ejected as well if they got all the load,
    /// so the ejected ones get a little of it.
    fn are_most_ejected(&self, now: Millis) -> bool {
        let is_ejected = |u: &&Upstream| u.health.availability(now) == Availability::Ejected;
        self.upstreams.iter().filter(is_ejected).count() * 2 > self.upstreams.len()
    }

    fn available_slots(&self, index: usize, now: Millis) -> u32 {
        let upstream = &self.upstreams[index];
        let fraction = window_fraction(upstream, now, self.are_most_ejected(now));
        fraction.map_or(0, |fraction| {
            upstream.available_slots(now, fraction, self.instances)
        })
    }

    fn choose(&mut self, free: &[usize], requirements: &Requirements, now: Millis) -> usize {
        let cached = self.prefixes.longest_match(&requirements.blocks);
        let candidates: Vec<_> = free
            .iter()
            .map(|index| {
                let u = &self.upstreams[*index];
                let hit = cached.filter(|(upstream, _)| **upstream == u.spec.name);
                Candidate {
                    name: &u.spec.name,
                    same_domain: u.spec.domain == self.domain,
                    outstanding: u.outstanding,
                    other_requests: u.other_requests(now),
                    slots: u.spec.slots,
                    latency: u.latency,
                    cached_blocks: hit.map_or(0, |(_, blocks)| blocks),
                }
            })
            .collect();
        free[self.chooser.choose(&candidates)]
    }

    fn assign(&mut self, index: usize, requirements: &Requirements) -> Pick {
        let upstream = &mut self.upstreams[index];
        upstream.outstanding += 1;
        let spec = upstream.spec.clone();
        self.prefixes.record(&requirements.blocks, &spec.name);
        Pick::Upstream(spec)
    }

    /// Ends an attempt that [`Pool::pick`] began, and records its outcome.
    pub fn finish(&mut self, name: &str, outcome: Outcome, now: Millis) {
        let Some(upstream) = self.find_mut(name) else {
            return;
        };
        upstream.outstanding = upstream.outstanding.saturating_sub(1);
        match outcome {
            Outcome::Answered(latency) => {
                upstream.health.record_success();
                upstream.record_latency(latency);
            }
            Outcome::Failed => upstream.health.record_failure(now),
            Outcome::Neutral => (),
        }
    }

    /// Drops the prompt prefixes recorded for an upstream, whose cache was lost.
    pub fn forget_cache(&mut self, name: &str) {
        self.prefixes.remove(name);
    }

    /// Applies `f` to the health of an upstream; does nothing if the pool lacks it.
    pub fn update_health(&mut self, name: &str, f: impl FnOnce(&mut Health)) {
        if let Some(upstream) = self.find_mut(name) {
            f(&mut upstream.health);
        }
    }
}
