//! How long entries live, and how often they are renewed.

use spread::lease::ACTIVE_TTL;
use spread::lease::IDLE_TTL;
use spread::lease::LeaseAction;
use spread::lease::leaf_ttl;
use spread::lease::next_action;
use spread::lease::renew_interval;
use yare::parameterized;

/// Time between two looks at an entry, in milliseconds.
const LOOK: u64 = 300;

/// Calls that one instance makes for its entry in so many milliseconds, from its start on.
fn calls(members: usize, time: u64) -> u64 {
    let (mut ttl, mut renewed, mut calls) = (IDLE_TTL, 0, 0);
    for now in (0..time).step_by(LOOK as usize) {
        match next_action(ttl, leaf_ttl(members), now - renewed) {
            LeaseAction::Keep => continue,
            LeaseAction::Renew => calls += 1,
            LeaseAction::Rewrite => {
                // A lease, and the entry.
                calls += 2;
                ttl = leaf_ttl(members);
            }
        }
        renewed = now;
    }
    calls
}

/// Guards against calls of the platform that grow with the number of instances.
#[parameterized(
    a_hundred = { 100 },
    three_hundred = { 300 },
    a_thousand = { 1_000 },
    two_thousand = { 2_000 },
    five_thousand = { 5_000 },
)]
fn all_that_nobody_follows_renew_a_bounded_number_of_times_together(members: usize) {
    let hour = 3_600_000;

    let all = calls(members, hour) * members as u64;

    assert!(all <= 64 * hour / 1_000 + 2 * members as u64, "{all}");
}

/// Guards against a dead owner whose steps nobody takes up.
#[test]
fn an_instance_on_which_others_depend_lives_short_however_many_there_are() {
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

/// Guards against entries that lapse while their instance lives: two renewals in a row may be lost.
#[parameterized(short = { ACTIVE_TTL }, few = { leaf_ttl(10) }, many = { leaf_ttl(1_000) })]
fn two_renewals_fit_into_the_time_to_live(ttl: u64) {
    let pause = renew_interval(ttl).div_ceil(LOOK) * LOOK;

    assert!(2 * pause < ttl);
}

/// Guards against an entry that is written anew each time an instance comes or goes.
#[test]
fn a_small_change_of_how_many_there_are_costs_no_call() {
    let ttl = leaf_ttl(1_000);

    for members in [600, 900, 1_100, 1_900] {
        assert_eq!(next_action(ttl, leaf_ttl(members), 0), LeaseAction::Keep);
        assert_eq!(
            next_action(ttl, leaf_ttl(members), renew_interval(ttl)),
            LeaseAction::Renew
        );
    }
}
