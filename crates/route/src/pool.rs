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
use crate::choose::Choose;
use crate::prefix::Prefixes;

/// Blocks of prompts that a pool remembers.
const PREFIXES: usize = 65_536;

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

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// With an answer, after so many milliseconds.
    Answered(f64),
    /// With a failure of the upstream.
    Failed,
    /// Without a word about the upstream: the caller left, or the attempt was cancelled.
    Neutral,
}

/// Part of its window that an ejected upstream has when more than half are ejected.
const CROWDED: f64 = 0.25;

/// The part of its window that an upstream may use, if any.
fn part(upstream: &Upstream, now: Millis, crowded: bool) -> Option<f64> {
    match upstream.health.availability(now) {
        Availability::Open(part) => Some(part),
        Availability::Ejected if crowded => Some(CROWDED),
        Availability::Ejected | Availability::Leaving | Availability::Quarantined => None,
    }
}

/// The upstreams of one model or service, as one instance sees them.
pub struct Pool {
    chooser: Box<dyn Choose>,
    domain: Name,
    instances: u32,
    upstreams: Vec<Upstream>,
    prefixes: Prefixes,
}

impl Pool {
    /// Makes an empty pool for an instance in `domain`.
    pub fn new(chooser: &Chooser, domain: Name) -> Self {
        Self {
            chooser: (chooser.make)(),
            domain,
            instances: 1,
            upstreams: Vec::new(),
            prefixes: Prefixes::new(PREFIXES),
        }
    }

    /// Adds an upstream, or replaces the specification of a known one.
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

    /// Chooses an upstream for a request and counts it as outstanding there.
    pub fn pick(&mut self, requirements: &Requirements, now: Millis) -> Pick {
        let open = self.open(requirements, now);
        if open.is_empty() {
            return Pick::Unavailable;
        }
        let fresh = |at: &usize| !requirements.avoid.contains(&self.upstreams[*at].spec.name);
        let untried: Vec<_> = open.iter().copied().filter(fresh).collect();
        let from = if untried.is_empty() { open } else { untried };
        let roomy: Vec<_> = from
            .into_iter()
            .filter(|at| self.room(*at, now) > 0)
            .collect();
        if roomy.is_empty() {
            return Pick::Busy;
        }
        let at = self.choose(&roomy, requirements, now);
        self.take(at, requirements)
    }

    fn open(&self, requirements: &Requirements, now: Millis) -> Vec<usize> {
        let crowded = self.is_crowded(now);
        let able = |u: &Upstream| {
            // An engine of which nothing is known may do; its first chunk tells.
            let known = u
                .version
                .is_none_or(|version| version >= requirements.min_version);
            let versioned = u.spec.kind == UpstreamKind::Service || known;
            versioned && part(u, now, crowded).is_some()
        };
        let all = 0..self.upstreams.len();
        all.filter(|at| able(&self.upstreams[*at])).collect()
    }

    /// Tells whether more than half of the upstreams are ejected. Then ejection is more likely to
    /// follow from the load than from faults of theirs, and to leave the rest alone with all of
    /// it would eject them as well; so the ejected ones get a little work.
    fn is_crowded(&self, now: Millis) -> bool {
        let out = |u: &&Upstream| u.health.availability(now) == Availability::Ejected;
        self.upstreams.iter().filter(out).count() * 2 > self.upstreams.len()
    }

    fn room(&self, at: usize, now: Millis) -> u32 {
        let upstream = &self.upstreams[at];
        let part = part(upstream, now, self.is_crowded(now));
        part.map_or(0, |part| {
            upstream.available_slots(now, part, self.instances)
        })
    }

    fn choose(&mut self, roomy: &[usize], requirements: &Requirements, now: Millis) -> usize {
        let cached = self.prefixes.longest(&requirements.blocks);
        let candidates: Vec<_> = roomy
            .iter()
            .map(|at| {
                let u = &self.upstreams[*at];
                let hit = cached.filter(|(holder, _)| **holder == u.spec.name);
                Candidate {
                    name: &u.spec.name,
                    near: u.spec.domain == self.domain,
                    outstanding: u.outstanding,
                    others: u.other_requests(now),
                    slots: u.spec.slots,
                    latency: u.latency,
                    cached: hit.map_or(0, |(_, blocks)| blocks),
                }
            })
            .collect();
        roomy[self.chooser.choose(&candidates)]
    }

    fn take(&mut self, at: usize, requirements: &Requirements) -> Pick {
        let upstream = &mut self.upstreams[at];
        upstream.outstanding += 1;
        let spec = upstream.spec.clone();
        self.prefixes.note(&requirements.blocks, &spec.name);
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
        self.prefixes.forget(name);
    }

    /// Applies `f` to the health of an upstream; does nothing if the pool lacks it.
    pub fn update_health(&mut self, name: &str, f: impl FnOnce(&mut Health)) {
        if let Some(upstream) = self.find_mut(name) {
            f(&mut upstream.health);
        }
    }
}
