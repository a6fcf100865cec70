//! The calls of teams, and how an accepted rate is divided among them.
//!
//! More urgent calls come first; each less urgent class keeps a small share. Within a class the division is max-min
//! fair: each team gets the smaller of its demand and a common level, so teams below the level lose nothing.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use kernel::Priority;

/// Interval at which the demand is updated, in milliseconds.
const ROLL_INTERVAL: Millis = 100;

/// Time in which the weight of past calls falls to 1/e, in milliseconds. A team with a few calls a second is measured
/// over several of them, and a flood is recognized within a fraction of a second.
const MEMORY: f64 = 1_000.0;

/// Weight below which a team without new calls is forgotten.
const MIN_WEIGHT: f64 = 0.02;

/// Share of the accepted rate that each class of priorities is granted up to its demand.
const CLASS_SHARE: f64 = 0.2;

/// Share of the accepted rate that all classes but one are granted together, however many there are.
const MAX_CLASS_SHARES: f64 = 0.5;

/// Step between the initial credits of new teams: the golden ratio spreads them evenly, so a fraction of many teams
/// with one call each is accepted.
const CREDIT_STEP: f64 = 0.618_033_988_749_895;

/// The calls of one team with one priority.
#[derive(Debug)]
struct TeamDemand {
    /// Weighted calls up to the last update.
    weight: f64,
    /// Calls since the last update.
    arrivals: u32,
    /// Sum of the fractions by which calls were accepted, less the accepted calls.
    credit: f64,
}

/// The demand of all teams, in calls weighted by age.
#[derive(Debug, Default)]
pub struct Demand {
    classes: BTreeMap<Priority, Map<Option<Arc<str>>, TeamDemand>>,
    /// The calls that each team of a class is granted at most; only for the classes in which calls are shed.
    levels: BTreeMap<Priority, f64>,
    rolled_at: Millis,
    total: f64,
    next_credit: f64,
}

impl Demand {
    /// Updates the weights if the interval has passed, and returns whether it did.
    pub fn roll(&mut self, now: Millis) -> bool {
        let elapsed = now.saturating_sub(self.rolled_at);
        if elapsed < ROLL_INTERVAL {
            return false;
        }
        self.rolled_at = now;
        let decay = (-(elapsed as f64) / MEMORY).exp();
        self.total = 0.0;
        for teams in self.classes.values_mut() {
            teams.retain(|_, team| {
                team.weight = team.weight * decay + f64::from(team.arrivals);
                team.arrivals = 0;
                self.total += team.weight;
                team.weight >= MIN_WEIGHT
            });
        }
        self.classes.retain(|_, teams| !teams.is_empty());
        true
    }

    /// Returns the demand of all teams: calls a second, if the demand is constant.
    pub fn total(&self) -> f64 {
        self.total
    }

    /// Counts a call and returns whether it is accepted.
    pub fn accepts(&mut self, team: Option<&Arc<str>>, priority: Priority) -> bool {
        let teams = self.classes.entry(priority).or_default();
        let team = teams.entry(team.cloned()).or_insert_with(|| {
            self.next_credit = (self.next_credit + CREDIT_STEP).fract();
            TeamDemand {
                weight: 0.0,
                arrivals: 0,
                credit: self.next_credit,
            }
        });
        team.arrivals += 1;
        let Some(level) = self.levels.get(&priority) else {
            return true;
        };
        // The calls since the last update show a flood that has just begun, before the weight does. One call of a known
        // team is left out, because the weight stands for it already.
        let known = u32::from(team.weight > 0.0);
        let demand = team.weight.max(f64::from(team.arrivals - known));
        team.credit += (level / demand).min(1.0);
        if team.credit < 1.0 {
            return false;
        }
        team.credit -= 1.0;
        true
    }

    /// Divides a rate among classes and teams; [`None`] if everything is accepted.
    pub fn divide(&mut self, rate: Option<f64>) {
        self.levels.clear();
        let Some(rate) = rate.filter(|rate| *rate < self.total) else {
            return;
        };
        let others = self.classes.len().saturating_sub(1).max(1) as f64;
        let granted = rate * CLASS_SHARE.min(MAX_CLASS_SHARES / others);
        let classes = self.classes.iter().map(|(priority, teams)| {
            let weights: Vec<_> = teams.values().map(|team| team.weight).collect();
            (*priority, weights.iter().sum::<f64>(), weights)
        });
        let classes: Vec<_> = classes.collect();
        let grants = classes.iter().map(|(_, demand, _)| demand.min(granted));
        let mut rest = (rate - grants.sum::<f64>()).max(0.0);
        for (priority, demand, weights) in classes {
            let grant = demand.min(granted);
            let extra = (demand - grant).min(rest);
            rest -= extra;
            if let Some(level) = common_level(weights, grant + extra) {
                self.levels.insert(priority, level);
            }
        }
    }
}

/// Returns the level such that the smaller of each demand and the level add up to `rate`; [`None`] if the rate
/// covers all demands.
///
/// # Examples
///
/// ```
/// use limit::overload::demand::common_level;
///
/// assert_eq!(common_level(vec![1.0, 10.0, 2.0], 7.0), Some(4.0));
/// assert_eq!(common_level(vec![1.0, 2.0], 3.0), None);
/// ```
pub fn common_level(mut demands: Vec<f64>, rate: f64) -> Option<f64> {
    demands.sort_unstable_by(f64::total_cmp);
    let mut rest = rate;
    for (index, demand) in demands.iter().enumerate() {
        let level = rest / (demands.len() - index) as f64;
        if *demand > level {
            return Some(level);
        }
        rest -= demand;
    }
    None
}
