//! Rumours: pieces of state that instances pass on to each other.

use kernel::Map;
use kernel::Name;
use poison::Observations;
use serde::Deserialize;
use serde::Serialize;

use crate::Member;

/// Demand of a customer at one instance.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// The customer.
    pub customer: Name,
    /// Requests per second that arrived.
    pub rate: f64,
}

/// A piece of state that instances pass on to each other.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Rumour {
    /// State of a member.
    Member(Member),
    /// An upstream is leaving, or is back; the rumour with the higher `at` is newer.
    Upstream {
        /// Name of the upstream.
        name: Name,
        /// Whether it is leaving.
        leaving: bool,
        /// Milliseconds since 1970 on the clock of the instance that noticed.
        at: u64,
    },
    /// What an engine reports about itself, as far as requests depend on it.
    Engine {
        /// Name of the engine.
        name: Name,
        /// Its weight version; [`None`] if it reports no single one.
        version: Option<u64>,
        /// Whether it reports that it is leaving.
        leaving: bool,
        /// Milliseconds since 1970 on the clock of the instance that asked the engine.
        at: u64,
    },
    /// Crashes of upstreams that an instance has observed while requests ran.
    Crashes {
        /// The instance.
        from: Name,
        /// Milliseconds since 1970 on the clock of that instance.
        at: u64,
        /// What it has observed.
        report: Observations,
    },
    /// Demand of the customers at one instance, by which their limits are split.
    Demand {
        /// The instance.
        from: Name,
        /// Rises with each report of that instance.
        #[serde(rename = "turn")]
        sequence: u64,
        /// The customers and their demand.
        rates: Vec<Demand>,
    },
}

/// The subject of a rumour; a newer rumour replaces an older one with the same subject.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Subject {
    /// An instance.
    Member(Name),
    /// An upstream.
    Upstream(Name),
    /// The demand at an instance.
    Demand(Name),
    /// The state of an engine.
    Engine(Name),
    /// The crashes that an instance has observed.
    Crashes(Name),
}

impl Rumour {
    /// The subject of the rumour.
    pub fn subject(&self) -> Subject {
        match self {
            Self::Member(member) => Subject::Member(member.name.clone()),
            Self::Upstream { name, .. } => Subject::Upstream(name.clone()),
            Self::Engine { name, .. } => Subject::Engine(name.clone()),
            Self::Crashes { from, .. } => Subject::Crashes(from.clone()),
            Self::Demand { from, .. } => Subject::Demand(from.clone()),
        }
    }
}

/// Maximum number of rumours per message, which bounds its size.
const MAX_RUMOURS_PER_MESSAGE: usize = 4;

/// Recipients of a message. Messages to other failure domains are few, so messages within the own domain must not
/// count as sent to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// An instance of the same failure domain.
    Local,
    /// An instance of another failure domain.
    Remote,
}

/// Recipients that a rumour must be sent to before it is dropped.
#[derive(Clone, Copy, Debug)]
pub struct Audience {
    /// Number of known instances. Each rumour is sent a number of times that grows with its logarithm.
    pub instances: usize,
    /// Whether this instance has peers in its failure domain.
    pub local: bool,
    /// Whether this instance sends to other failure domains.
    pub remote: bool,
}

#[derive(Debug)]
struct Pending {
    rumour: Rumour,
    local: u32,
    remote: u32,
    /// Position in the order in which rumours were added.
    sequence: u64,
}

impl Pending {
    fn sends(&self, scope: Scope) -> u32 {
        match scope {
            Scope::Local => self.local,
            Scope::Remote => self.remote,
        }
    }

    fn record_send(&mut self, scope: Scope) {
        match scope {
            Scope::Local => self.local += 1,
            Scope::Remote => self.remote += 1,
        }
    }
}

/// Rumours that still have to be sent. Each is sent a number of times that grows with the logarithm of the number of
/// instances, which suffices for all of them to receive it; then its traffic ends.
#[derive(Debug, Default)]
pub struct Broadcast {
    rumours: Map<Subject, Pending>,
    sequence: u64,
}

impl Broadcast {
    /// Adds a rumour, replacing an older one with the same subject.
    pub fn add(&mut self, rumour: Rumour) {
        self.sequence += 1;
        let pending = Pending {
            local: 0,
            remote: 0,
            sequence: self.sequence,
            rumour,
        };
        self.rumours.insert(pending.rumour.subject(), pending);
    }

    /// Takes the rumours for one message. The rumours least often sent within this scope go first. Messages to another
    /// failure domain are seconds apart, so among equals the newest rumours go first there.
    pub fn batch(&mut self, scope: Scope, to: Audience) -> Vec<Rumour> {
        let quota = 3 * (to.instances + 1).ilog2().max(1);
        let priority = |pending: &Pending| match scope {
            Scope::Local => 0,
            Scope::Remote => u64::MAX - pending.sequence,
        };
        let unsent = self
            .rumours
            .iter()
            .filter(|(_, pending)| pending.sends(scope) < quota);
        let mut order: Vec<_> = unsent
            .map(|(subject, pending)| (pending.sends(scope), priority(pending), subject.clone()))
            .collect();
        order.sort();
        let mut batch = Vec::new();
        for (.., subject) in order.into_iter().take(MAX_RUMOURS_PER_MESSAGE) {
            if let Some(pending) = self.rumours.get_mut(&subject) {
                pending.record_send(scope);
                batch.push(pending.rumour.clone());
            }
        }
        self.rumours
            .retain(|_, p| (to.local && p.local < quota) || (to.remote && p.remote < quota));
        batch
    }

    /// Number of rumours that still have to be sent.
    pub fn len(&self) -> usize {
        self.rumours.len()
    }

    /// Returns whether there are no rumours to send.
    pub fn is_empty(&self) -> bool {
        self.rumours.is_empty()
    }
}
