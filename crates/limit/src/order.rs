//! In which order a queue lets requests go: a plug-in.

use kernel::Map;
use kernel::Name;
use kernel::plugin::Plugin;
use kernel::plugin::inventory;

/// What an order knows of a request.
#[derive(Clone, Debug)]
pub struct QueueEntry {
    /// The customer.
    pub customer: Name,
    /// The contract's weight.
    pub weight: u32,
    /// The contract's priority class.
    pub class: u8,
    /// Expected work in any unit that is the same over the queue.
    pub cost: f64,
}

/// Gives each request a key when it arrives; the lowest key goes first.
pub trait Ranker: Send {
    /// Ranks an arriving request.
    fn rank(&mut self, entry: &QueueEntry) -> f64;

    /// Tells that the request with this rank goes now.
    fn served(&mut self, rank: f64);
}

/// An order that the settings choose by name.
pub struct QueueOrder {
    /// The name.
    pub name: &'static str,
    /// Makes a ranker for one queue.
    pub make: fn() -> Box<dyn Ranker>,
}

inventory::collect!(QueueOrder);

impl Plugin for QueueOrder {
    const KIND: &'static str = "queue order";

    fn name(&self) -> &'static str {
        self.name
    }
}

/// First come, first served: the baseline.
#[derive(Debug, Default)]
struct Fifo {
    next: f64,
}

impl Ranker for Fifo {
    fn rank(&mut self, _: &QueueEntry) -> f64 {
        self.next += 1.0;
        self.next
    }

    fn served(&mut self, _: f64) {}
}

/// Start-time fair queueing: each contract has a clock that its requests push on by cost over
/// weight; the queue's clock is that of the request served last, and a contract that was idle
/// starts there, so idle capacity is lent and never saved up.
#[derive(Debug, Default)]
struct Fair {
    clock: f64,
    ends: Map<Name, f64>,
}

/// Contracts after which a fair order drops the clocks that have passed.
const MANY: usize = 1_024;

/// Factor of weight between one priority class and the next.
const CLASS_FACTOR: f64 = 2.0;

impl Ranker for Fair {
    fn rank(&mut self, entry: &QueueEntry) -> f64 {
        if self.ends.len() > MANY {
            let clock = self.clock;
            self.ends.retain(|_, end| *end > clock);
        }
        let end = self.ends.entry(entry.customer.clone()).or_insert(0.0);
        let start = end.max(self.clock);
        let weight = f64::from(entry.weight.max(1)) * CLASS_FACTOR.powi(i32::from(entry.class));
        *end = start + entry.cost / weight;
        start
    }

    fn served(&mut self, rank: f64) {
        self.clock = self.clock.max(rank);
    }
}

inventory::submit! {
    QueueOrder { name: "fifo", make: || Box::<Fifo>::default() }
}

inventory::submit! {
    QueueOrder { name: "fair", make: || Box::<Fair>::default() }
}
