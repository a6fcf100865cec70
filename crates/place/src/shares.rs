//! Shares of teams in the requests that an instance sends to the upstreams of a service.
//!
//! Load pattern: one team makes as many calls as dozens of others together, at one instance, and the upstreams can run
//! a third of them. An instance places a call or rejects it, so without shares each call has the same chance, and a
//! small team at that instance is served as rarely as the large one, though it asks for a hundredth.
//!
//! While a team within its share has been rejected lately, the teams beyond theirs leave the last places in the
//! upstreams' queues to the others. A team that is alone, or whose calls all find a place, is not restricted.

use std::sync::Arc;

use kernel::Map;
use kernel::Millis;

/// Time in which the weight of a sent request halves, in milliseconds: several times the duration of a call.
const HALF_LIFE: f64 = 1_000.0;

/// Weight of a new request, relative to the epoch's, above which the weights are scaled down: twenty half-lives.
const MAX_WEIGHT: f64 = (1 << 20) as f64;

/// Usage in requests below which a team is forgotten.
const MIN_USAGE: f64 = 0.01;

/// Time after a rejection of a team within its share for which the others are restricted, in milliseconds: until its
/// caller can have tried again.
const CONTENTION_TIME: Millis = 1_000;

/// A rejection of a team that was within its share.
#[derive(Clone, Debug)]
struct Rejection {
    team: Arc<str>,
    at: Millis,
}

/// The shares of teams in the requests to one service.
///
/// # Examples
///
/// ```
/// use place::TeamShares;
///
/// let mut shares = TeamShares::default();
/// for _ in 0..9 {
///     shares.record_sent(&"large".into(), 100);
/// }
/// shares.record_sent(&"small".into(), 100);
/// assert!(!shares.is_restricted("large", 200));
///
/// shares.record_rejected(&"small".into(), 200);
/// assert!(shares.is_restricted("large", 200));
/// assert!(!shares.is_restricted("small", 200));
/// assert!(!shares.is_restricted("large", 1_200));
/// ```
#[derive(Debug, Default)]
pub struct TeamShares {
    /// The time at which a request weighs 1.
    epoch: Millis,
    /// Weight of the requests of each team.
    usage: Map<Arc<str>, f64>,
    /// Weight of the requests of all teams.
    total: f64,
    /// The last rejection.
    latest: Option<Rejection>,
    /// The last rejection of another team than the latest.
    other: Option<Rejection>,
}

impl TeamShares {
    /// Records that a request of a team was sent.
    pub fn record_sent(&mut self, team: &Arc<str>, now: Millis) {
        let weight = self.weight(now);
        if weight > MAX_WEIGHT {
            self.rescale(weight, now);
            return self.record_sent(team, now);
        }
        *self.usage.entry(team.clone()).or_insert(0.0) += weight;
        self.total += weight;
    }

    /// Records that a request of a team found no place.
    pub fn record_rejected(&mut self, team: &Arc<str>, now: Millis) {
        // A team that gets nothing counts for the average as well.
        self.usage.entry(team.clone()).or_insert(0.0);
        if self.is_over_share(team) {
            return;
        }
        let rejection = Rejection {
            team: team.clone(),
            at: now,
        };
        let previous = self.latest.replace(rejection);
        if let Some(previous) = previous.filter(|previous| previous.team != *team) {
            self.other = Some(previous);
        }
    }

    /// Returns whether a team has to leave the last places in queues to other teams.
    pub fn is_restricted(&self, team: &str, now: Millis) -> bool {
        self.is_contended(team, now) && self.is_over_share(team)
    }

    /// Returns whether another team was rejected lately.
    fn is_contended(&self, team: &str, now: Millis) -> bool {
        let rejections = [&self.latest, &self.other];
        rejections
            .into_iter()
            .flatten()
            .any(|rejection| *rejection.team != *team && now < rejection.at + CONTENTION_TIME)
    }

    /// Returns whether a team has sent more requests lately than teams have on average.
    fn is_over_share(&self, team: &str) -> bool {
        let usage = self.usage.get(team).copied().unwrap_or(0.0);
        usage * self.usage.len() as f64 > self.total
    }

    /// The weight of a request that is sent now.
    fn weight(&self, now: Millis) -> f64 {
        (now.saturating_sub(self.epoch) as f64 / HALF_LIFE).exp2()
    }

    /// Makes requests that are sent now weigh 1, and forgets the teams without usage.
    fn rescale(&mut self, weight: f64, now: Millis) {
        self.epoch = now;
        self.total /= weight;
        self.usage.retain(|_, usage| {
            *usage /= weight;
            *usage >= MIN_USAGE
        });
    }
}
