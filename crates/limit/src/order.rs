//! Queue orders, selected as plug-ins.

use kernel::Map;
use kernel::Name;
use kernel::plugin::Plugin;
use kernel::plugin::inventory;

/// Properties of a request that determine its rank.
#[derive(Clone, Debug)]
pub struct QueueEntry {
    /// Customer that sent the request.
    pub customer: Name,
    /// Weight of the customer's contract.
    pub weight: u32,
    /// Priority class. A higher class gets a larger share in the order `fair`; 0 is the most urgent in the order
    /// `priority`.
    pub class: u8,
    /// Expected work, in any unit that is the same for the whole queue.
    pub cost: f64,
}

/// Assigns a rank to each arriving request; the request with the lowest rank leaves the queue first.
pub trait Ranker: Send {
    /// Ranks an arriving request.
    fn rank(&mut self, entry: &QueueEntry) -> f64;

    /// Records that the request with this rank has left the queue to run.
    fn dispatched(&mut self, rank: f64);

    /// Records that a ranked request was rejected or has left the queue without running.
    fn withdrawn(&mut self, _: &QueueEntry) {}
}

/// A queue order that the settings select by name.
pub struct QueueOrder {
    /// Name in the settings.
    pub name: &'static str,
    /// Creates a ranker for one queue.
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

    fn dispatched(&mut self, _: f64) {}
}

/// Start-time fair queueing. Each request advances its contract's virtual time by cost over weight. The
/// queue's virtual time is the rank of the last request to leave it, and a contract that was idle starts
/// there, so unused capacity goes to others and cannot be saved up.
#[derive(Debug, Default)]
struct Fair {
    virtual_time: f64,
    /// Virtual time of each contract after its last request.
    finish_times: Map<Name, f64>,
}

/// Number of contracts above which those whose virtual time has passed are removed.
const PRUNE_THRESHOLD: usize = 1_024;

/// Ratio of weights between adjacent priority classes.
const CLASS_FACTOR: f64 = 2.0;

impl Ranker for Fair {
    fn rank(&mut self, entry: &QueueEntry) -> f64 {
        if self.finish_times.len() > PRUNE_THRESHOLD {
            let now = self.virtual_time;
            self.finish_times.retain(|_, finish| *finish > now);
        }
        let finish = self
            .finish_times
            .entry(entry.customer.clone())
            .or_insert(0.0);
        let start = finish.max(self.virtual_time);
        let weight = f64::from(entry.weight.max(1)) * CLASS_FACTOR.powi(i32::from(entry.class));
        *finish = start + entry.cost / weight;
        start
    }

    fn dispatched(&mut self, rank: f64) {
        self.virtual_time = self.virtual_time.max(rank);
    }
}

/// Distance between the ranks of adjacent classes. It exceeds the virtual time of 30 years at 1,000 requests a second
/// that cost 1 each, and leaves nine bits of an `f64` for fractions of a request in class 9, the last priority.
const CLASS_DISTANCE: f64 = (1_u64 << 40) as f64;

/// Strict priority between classes, and start-time fair queueing within each.
#[derive(Debug, Default)]
struct Prioritized {
    classes: Map<u8, Fair>,
}

impl Ranker for Prioritized {
    fn rank(&mut self, entry: &QueueEntry) -> f64 {
        let class = self.classes.entry(entry.class).or_default();
        // `Fair` scales the weight by the class; within one class all weights count as they are.
        let equal = QueueEntry {
            class: 0,
            ..entry.clone()
        };
        f64::from(entry.class) * CLASS_DISTANCE + class.rank(&equal)
    }

    fn dispatched(&mut self, rank: f64) {
        let class = (rank / CLASS_DISTANCE) as u8;
        if let Some(fair) = self.classes.get_mut(&class) {
            fair.dispatched(rank % CLASS_DISTANCE);
        }
    }

    // Without this, a customer whose requests are rejected would be ranked behind all others for a long time.
    fn withdrawn(&mut self, entry: &QueueEntry) {
        let fair = self.classes.get_mut(&entry.class);
        if let Some(finish) = fair.and_then(|fair| fair.finish_times.get_mut(&entry.customer)) {
            *finish -= entry.cost / f64::from(entry.weight.max(1));
        }
    }
}

inventory::submit! {
    QueueOrder { name: "fifo", make: || Box::<Fifo>::default() }
}

inventory::submit! {
    QueueOrder { name: "fair", make: || Box::<Fair>::default() }
}

/// Creates a ranker of the order `priority`.
pub fn prioritized() -> Box<dyn Ranker> {
    Box::<Prioritized>::default()
}

inventory::submit! {
    QueueOrder { name: "priority", make: prioritized }
}
