//! Shares of teams in the places of a service at one instance.

use std::sync::Arc;

use kernel::Millis;
use place::TeamShares;

/// Requests that run at the upstreams at a time.
const SLOTS: usize = 12;

/// Requests that may run or wait at the upstreams.
const PLACES: usize = 2 * SLOTS;

/// Places that a restricted team leaves to others.
const RESERVED_PLACES: usize = 6;

/// Time for which a request runs, in milliseconds: the upstreams serve 80 requests a second.
const DURATION: Millis = 150;

/// Mean interval between the requests of a small team, in milliseconds.
const SMALL_INTERVAL_MS: f64 = 208.0;

/// Number of small teams.
const SMALL_TEAMS: usize = 25;

/// Requests of the large team for each one of a small team: as many as all small teams three times over.
const LARGE_FACTOR: f64 = 75.0;

/// Time that is simulated, in milliseconds.
const RUN_TIME: Millis = 60_000;

/// Sent and served requests of a team.
#[derive(Clone, Copy, Default)]
struct Count {
    sent: u32,
    served: u32,
}

impl Count {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

/// A linear congruential generator, so that each run plays the same requests.
struct Random(u64);

impl Random {
    /// Returns whether an event of this probability happens.
    fn happens(&mut self, probability: f64) -> bool {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 11) as f64) < probability * (1_u64 << 53) as f64
    }
}

/// Probability that a team sends a request in a millisecond; team 0 is the large one.
fn rate(team: usize) -> f64 {
    let small = 1.0 / SMALL_INTERVAL_MS;
    if team == 0 {
        small * LARGE_FACTOR
    } else {
        small
    }
}

/// Plays the load and counts by team; `with_shares` is whether teams beyond their share are restricted.
fn play(with_shares: bool) -> Vec<Count> {
    let teams: Vec<Arc<str>> = (0..=SMALL_TEAMS)
        .map(|team| format!("t{team}").into())
        .collect();
    let mut shares = TeamShares::default();
    let mut counts = vec![Count::default(); teams.len()];
    let mut ends: Vec<Millis> = Vec::new();
    let mut slots = [0; SLOTS];
    let mut random = Random(7);
    for now in 0..RUN_TIME {
        ends.retain(|end| *end > now);
        for (team, name) in teams.iter().enumerate() {
            if !random.happens(rate(team)) {
                continue;
            }
            let restricted = with_shares && shares.is_restricted(name, now);
            let limit = if restricted {
                PLACES - RESERVED_PLACES
            } else {
                PLACES
            };
            counts[team].sent += 1;
            if ends.len() >= limit {
                shares.record_rejected(name, now);
                continue;
            }
            counts[team].served += 1;
            slots.sort_unstable();
            slots[0] = slots[0].max(now) + DURATION;
            ends.push(slots[0]);
            shares.record_sent(name, now);
        }
    }
    counts
}

// Guards against small teams that are served as rarely as a large one, at an instance where the large team asks for
// several times what there is.
#[test]
fn small_teams_are_served_before_a_large_one_that_asks_for_too_much() {
    let without = play(false);
    let with = play(true);

    let worst = |counts: &[Count]| {
        counts[1..]
            .iter()
            .map(|count| count.share())
            .fold(1.0, f64::min)
    };
    let served = |counts: &[Count]| counts.iter().map(|count| count.served).sum::<u32>();
    let (worst_without, worst_with) = (worst(&without), worst(&with));
    assert!(
        worst_with >= 2.0 * worst_without,
        "{worst_without:.3} {worst_with:.3}"
    );
    assert!(
        with[0].share() < worst_with,
        "large {:.3}, worst {worst_with:.3}",
        with[0].share()
    );
    // The places are used as before.
    let (before, after) = (served(&without), served(&with));
    assert!(
        f64::from(after) >= 0.95 * f64::from(before),
        "{before} {after}"
    );
}

// Guards against places that stay empty because teams beyond their share are restricted while no other team wants them.
#[test]
fn a_team_is_not_restricted_while_no_other_one_is_rejected() {
    let (large, small): (Arc<str>, Arc<str>) = ("large".into(), "small".into());
    let mut shares = TeamShares::default();
    shares.record_sent(&small, 0);

    for now in 0..100_000 {
        shares.record_sent(&large, now);
        shares.record_rejected(&large, now);
        assert!(!shares.is_restricted(&large, now), "{now}");
    }

    shares.record_rejected(&small, 100_000);
    assert!(shares.is_restricted(&large, 100_000));
}
