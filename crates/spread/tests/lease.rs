//! Time to live and renewals of member entries.

use spread::lease::ACTIVE_TTL;
use spread::lease::IDLE_TTL;
use spread::lease::LeaseAction;
use spread::lease::leaf_ttl;
use spread::lease::next_action;
use spread::lease::renew_interval;
use yare::parameterized;

/// Interval between checks of an entry, in milliseconds.
const CHECK_INTERVAL: u64 = 300;

/// Number of calls that one instance makes for its entry within `time` milliseconds of its start.
fn calls(members: usize, time: u64) -> u64 {
    let (mut ttl, mut renewed, mut calls) = (IDLE_TTL, 0, 0);
    for now in (0..time).step_by(CHECK_INTERVAL as usize) {
        match next_action(ttl, leaf_ttl(members), now - renewed) {
            LeaseAction::Keep => continue,
            LeaseAction::Renew => calls += 1,
            LeaseAction::Rewrite => {
                // One call for the lease, one for the entry.
                calls += 2;
                ttl = leaf_ttl(members);
            }
        }
        renewed = now;
    }
    calls
}

/// Guards against a number of calls that grows with the number of instances.
#[parameterized(
    a_hundred = { 100 },
    three_hundred = { 300 },
    a_thousand = { 1_000 },
    two_thousand = { 2_000 },
    five_thousand = { 5_000 },
)]
fn renewals_of_all_leaves_are_bounded(members: usize) {
    let hour = 3_600_000;

    let all = calls(members, hour) * members as u64;

    assert!(all <= 64 * hour / 1_000 + 2 * members as u64, "{all}");
}

/// Guards against a dead owner whose steps no instance takes over.
#[test]
fn an_instance_that_others_depend_on_gets_the_short_ttl() {
    for members in [10, 1_000, 5_000] {
        assert_eq!(
            next_action(leaf_ttl(members), ACTIVE_TTL, 0),
            LeaseAction::Rewrite
        );
    }
    assert_eq!(
        next_action(ACTIVE_TTL, leaf_ttl(1_000), renew_interval(ACTIVE_TTL)),
        LeaseAction::Renew
    );
}

/// Guards against the expiry of a live instance's entry: two renewals in a row may be lost.
#[parameterized(short = { ACTIVE_TTL }, few = { leaf_ttl(10) }, many = { leaf_ttl(1_000) })]
fn two_renewals_fit_into_the_time_to_live(ttl: u64) {
    let interval = renew_interval(ttl).div_ceil(CHECK_INTERVAL) * CHECK_INTERVAL;

    assert!(2 * interval < ttl);
}

/// Guards against an entry that is written again whenever an instance comes or goes.
#[test]
fn small_membership_changes_cost_no_call() {
    let ttl = leaf_ttl(1_000);

    for members in [600, 900, 1_100, 1_900] {
        assert_eq!(next_action(ttl, leaf_ttl(members), 0), LeaseAction::Keep);
        assert_eq!(
            next_action(ttl, leaf_ttl(members), renew_interval(ttl)),
            LeaseAction::Renew
        );
    }
}
