//! Which of the upstreams with room takes a request: a plug-in.

use kernel::Name;
use kernel::plugin::Plugin;
use kernel::plugin::inventory;

/// What a chooser knows of an upstream with room.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a Name,
    /// Whether it is in this instance's failure domain.
    pub near: bool,
    /// Requests that this instance has there.
    pub outstanding: u32,
    /// Requests that others have there, by its last report.
    pub others: u32,
    /// Requests that it can work on at once.
    pub slots: u32,
    /// Mean latency in milliseconds; 0 when not known.
    pub latency: f64,
    /// Blocks of the prompt that it is thought to hold.
    pub cached: usize,
}

/// Chooses an upstream.
pub trait Choose: Send {
    /// Returns the index of the choice; `candidates` is never empty.
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> usize;
}

/// A chooser that the settings choose by name.
pub struct Chooser {
    /// The name.
    pub name: &'static str,
    /// Makes a chooser for one pool.
    pub make: fn() -> Box<dyn Choose>,
}

inventory::collect!(Chooser);

impl Plugin for Chooser {
    const KIND: &'static str = "chooser";

    fn name(&self) -> &'static str {
        self.name
    }
}

/// One after the other: a baseline.
#[derive(Debug, Default)]
struct Round {
    next: usize,
}

impl Choose for Round {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next % candidates.len()
    }
}

/// Least outstanding requests of this instance: a baseline.
#[derive(Debug, Default)]
struct Least {
    next: usize,
}

impl Choose for Least {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> usize {
        self.next = self.next.wrapping_add(1);
        lowest(candidates, self.next, |c| f64::from(c.outstanding))
    }
}

/// Least expected time: latency times load, less for a cached prefix, more for another domain.
#[derive(Debug, Default)]
struct Scored {
    next: usize,
}

/// Latency in milliseconds that is assumed of an upstream that has not answered yet.
const UNKNOWN: f64 = 1.0;

/// Factor on the cost of an upstream in another failure domain.
const FAR: f64 = 1.5;

/// Part of the cost that a fully cached prompt saves.
const CACHED: f64 = 0.5;

/// Blocks beyond which more cached blocks save nothing more.
const CACHED_BLOCKS: f64 = 16.0;

fn score(c: &Candidate<'_>) -> f64 {
    let load = f64::from(c.outstanding + c.others + 1) / f64::from(c.slots.max(1));
    let far = if c.near { 1.0 } else { FAR };
    let cached = 1.0 - CACHED * (c.cached as f64 / CACHED_BLOCKS).min(1.0);
    c.latency.max(UNKNOWN) * load * far * cached
}

impl Choose for Scored {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> usize {
        self.next = self.next.wrapping_add(1);
        lowest(candidates, self.next, score)
    }
}

/// Finds the candidate with the lowest cost; among equals the turn decides.
fn lowest(
    candidates: &[Candidate<'_>],
    turn: usize,
    cost: impl Fn(&Candidate<'_>) -> f64,
) -> usize {
    let count = candidates.len();
    (0..count)
        .map(|step| (turn + step) % count)
        .min_by(|a, b| cost(&candidates[*a]).total_cmp(&cost(&candidates[*b])))
        .unwrap_or(0)
}

inventory::submit! {
    Chooser { name: "round", make: || Box::<Round>::default() }
}

inventory::submit! {
    Chooser { name: "least", make: || Box::<Least>::default() }
}

inventory::submit! {
    Chooser { name: "scored", make: || Box::<Scored>::default() }
}
