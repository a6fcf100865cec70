//! Load-balancing plug-ins: which of the upstreams with a free slot serves a request.

use kernel::Name;
use kernel::plugin::Plugin;
use kernel::plugin::inventory;

/// An upstream with a free slot, as a chooser sees it.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Name of the upstream.
    pub name: &'a Name,
    /// Whether it is in this instance's failure domain.
    pub same_domain: bool,
    /// Number of outstanding requests from this instance to the upstream.
    pub outstanding: u32,
    /// Number of requests that the upstream processes for other instances, according to its last load report.
    pub other_requests: u32,
    /// Maximum number of requests that it can process concurrently.
    pub slots: u32,
    /// Mean latency in milliseconds; 0 when unknown.
    pub latency: f64,
    /// Leading blocks of the prompt that its cache is estimated to hold.
    pub cached_blocks: usize,
}

/// A load-balancing strategy.
pub trait Strategy: Send {
    /// Returns the index of the chosen candidate; `candidates` is never empty.
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> usize;
}

/// A strategy that the settings select by name.
pub struct Chooser {
    /// Name in the settings.
    pub name: &'static str,
    /// Creates the strategy for one pool.
    pub make: fn() -> Box<dyn Strategy>,
}

inventory::collect!(Chooser);

impl Plugin for Chooser {
    const KIND: &'static str = "chooser";

    fn name(&self) -> &'static str {
        self.name
    }
}

/// Round robin, as a baseline.
#[derive(Debug, Default)]
struct RoundRobin {
    next: usize,
}

impl Strategy for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next % candidates.len()
    }
}

/// Fewest outstanding requests of this instance, as a baseline.
#[derive(Debug, Default)]
struct LeastOutstanding {
    next: usize,
}

impl Strategy for LeastOutstanding {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> usize {
        self.next = self.next.wrapping_add(1);
        lowest(candidates, self.next, |c| f64::from(c.outstanding))
    }
}

/// Lowest expected time: latency times load, reduced for a cached prefix and increased for another
/// failure domain.
#[derive(Debug, Default)]
struct Scored {
    next: usize,
}

/// Assumed latency in milliseconds of an upstream that has not responded yet; also the lower bound.
const MIN_LATENCY_MS: f64 = 1.0;

/// Cost factor of an upstream in another failure domain.
const REMOTE_FACTOR: f64 = 1.5;

/// Fraction of the cost that a fully cached prompt saves.
const MAX_CACHE_SAVING: f64 = 0.5;

/// Cached blocks beyond which a further one saves nothing.
const MAX_CACHED_BLOCKS: f64 = 16.0;

fn score(c: &Candidate<'_>) -> f64 {
    let load = f64::from(c.outstanding + c.other_requests + 1) / f64::from(c.slots.max(1));
    let distance = if c.same_domain { 1.0 } else { REMOTE_FACTOR };
    let cache = 1.0 - MAX_CACHE_SAVING * (c.cached_blocks as f64 / MAX_CACHED_BLOCKS).min(1.0);
    c.latency.max(MIN_LATENCY_MS) * load * distance * cache
}

impl Strategy for Scored {
    fn choose(&mut self, candidates: &[Candidate<'_>]) -> usize {
        self.next = self.next.wrapping_add(1);
        lowest(candidates, self.next, score)
    }
}

/// Returns the index of the candidate with the lowest cost. `offset` is the index at which the search
/// starts, so that candidates of equal cost take turns.
fn lowest(
    candidates: &[Candidate<'_>],
    offset: usize,
    cost: impl Fn(&Candidate<'_>) -> f64,
) -> usize {
    let count = candidates.len();
    (0..count)
        .map(|step| (offset + step) % count)
        .min_by(|a, b| cost(&candidates[*a]).total_cmp(&cost(&candidates[*b])))
        .unwrap_or(0)
}

inventory::submit! {
    Chooser { name: "round", make: || Box::<RoundRobin>::default() }
}

inventory::submit! {
    Chooser { name: "least", make: || Box::<LeastOutstanding>::default() }
}

inventory::submit! {
    Chooser { name: "scored", make: || Box::<Scored>::default() }
}
