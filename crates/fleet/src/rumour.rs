//! News that instances pass on to one another.

use kernel::Map;
use kernel::Name;
use poison::Observations;
use serde::Deserialize;
use serde::Serialize;

use crate::Member;

/// A customer's demand on one instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// The customer.
    pub customer: Name,
    /// Requests a second that arrived.
    pub rate: f64,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Rumour {
    /// An instance's life.
    Member(Member),
    /// An upstream is leaving, or is back; the higher ordinal is newer.
    Upstream {
        /// The upstream.
        name: Name,
        /// Whether it is leaving.
        leaving: bool,
        /// Milliseconds since 1970 at the instance that noticed.
        at: u64,
    },
    /// What an engine states, as far as requests depend on it.
    Engine {
        /// The engine.
        name: Name,
        /// Its weight version; [`None`] when it states no single one.
        version: Option<u64>,
        /// Whether it says that it is leaving.
        leaving: bool,
        /// Milliseconds since 1970 at the instance that asked it.
        at: u64,
    },
    /// What an instance has seen of crashes under requests.
    Crashes {
        /// The instance.
        from: Name,
        /// Milliseconds since 1970 at that instance.
        at: u64,
        /// What it has seen.
        report: Observations,
    },
    /// What customers ask of one instance, for the split of their limits.
    Demand {
        /// The instance.
        from: Name,
        /// Rises with each report of that instance.
        turn: u64,
        /// Its customers with their demand.
        rates: Vec<Demand>,
    },
}

/// What a rumour is about; a newer one about the same replaces it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum About {
    /// An instance.
    Member(Name),
    /// An upstream.
    Upstream(Name),
    /// The demand on an instance.
    Demand(Name),
    /// What an engine states.
    Engine(Name),
    /// What an instance has seen of crashes.
    Crashes(Name),
}

impl Rumour {
    /// What the rumour is about.
    pub fn about(&self) -> About {
        match self {
            Self::Member(member) => About::Member(member.name.clone()),
            Self::Upstream { name, .. } => About::Upstream(name.clone()),
            Self::Engine { name, .. } => About::Engine(name.clone()),
            Self::Crashes { from, .. } => About::Crashes(from.clone()),
            Self::Demand { from, .. } => About::Demand(from.clone()),
        }
    }
}

/// Rumours in one message, so that its size stays bounded.
const BATCH: usize = 4;

/// Where a message goes. Probes of another failure domain are few, so what is told to those near must not
/// count for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// To an instance of the same failure domain.
    Near,
    /// To an instance of another one.
    Far,
}

/// Which messages a rumour must have been in before it is dropped.
#[derive(Clone, Copy, Debug)]
pub struct Due {
    /// Instances that are known; each rumour is told a number of times that grows with their logarithm.
    pub instances: usize,
    /// Whether those near have to hear of it from here.
    pub near: bool,
    /// Whether another failure domain has to hear of it from here.
    pub far: bool,
}

#[derive(Debug)]
struct Told {
    rumour: Rumour,
    near: u32,
    far: u32,
    /// Rises with each rumour.
    turn: u64,
}

impl Told {
    fn times(&self, way: Way) -> u32 {
        match way {
            Way::Near => self.near,
            Way::Far => self.far,
        }
    }

    fn count(&mut self, way: Way) {
        match way {
            Way::Near => self.near += 1,
            Way::Far => self.far += 1,
        }
    }
}

/// Rumours that still have to be passed on, each a number of times that grows with the logarithm
/// of the instances: enough for all to hear of it, and then no more traffic.
#[derive(Debug, Default)]
pub struct Broadcast {
    rumours: Map<About, Told>,
    turn: u64,
}

impl Broadcast {
    /// Adds a rumour in place of an older one about the same.
    pub fn add(&mut self, rumour: Rumour) {
        self.turn += 1;
        let told = Told {
            near: 0,
            far: 0,
            turn: self.turn,
            rumour,
        };
        self.rumours.insert(told.rumour.about(), told);
    }

    /// Takes the rumours for one message; those told least that way go first. Messages to another failure
    /// domain are seconds apart, so the newest go first in them.
    pub fn batch(&mut self, way: Way, due: Due) -> Vec<Rumour> {
        let times = 3 * (due.instances + 1).ilog2().max(1);
        let place = |told: &Told| match way {
            Way::Near => 0,
            Way::Far => u64::MAX - told.turn,
        };
        let open = self
            .rumours
            .iter()
            .filter(|(_, told)| told.times(way) < times);
        let mut order: Vec<_> = open
            .map(|(about, told)| (told.times(way), place(told), about.clone()))
            .collect();
        order.sort();
        let mut batch = Vec::new();
        for (.., about) in order.into_iter().take(BATCH) {
            if let Some(told) = self.rumours.get_mut(&about) {
                told.count(way);
                batch.push(told.rumour.clone());
            }
        }
        self.rumours
            .retain(|_, told| (due.near && told.near < times) || (due.far && told.far < times));
        batch
    }

    /// Rumours that are still passed on.
    pub fn len(&self) -> usize {
        self.rumours.len()
    }

    /// Tells whether there is nothing to pass on.
    pub fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }
}
