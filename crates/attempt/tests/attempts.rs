//! Tests of the decisions on attempts, for any schedule of latencies.

use attempt::Denial;
use attempt::Failure;
use attempt::Objective;
use attempt::Permission;
use attempt::Policy;
use attempt::Room;
use attempt::ServiceAttempts;
use kernel::Millis;
use proptest::collection::vec;
use proptest::prelude::*;
use yare::parameterized;

const OBJECTIVE: Objective = Objective {
    target: Some(400),
    timeout: 10_000,
};

const AMPLE: Room = Room {
    free: 100,
    slots: 144,
};

/// A service whose attempts have all taken this time.
fn service_of(took: Millis) -> ServiceAttempts {
    let mut service = ServiceAttempts::new(Policy::default());
    (0..200).for_each(|_| service.answered(took, 0));
    service
}

/// Time of the first decision after that.
const NOW: Millis = 1_000;

// Guards against calls that run twice although nothing is wrong: a time to the second attempt that fits lookups alone.
#[parameterized(
    lookup = { 5, 100 },
    ranking = { 300, 375 },
    tool = { 4_400, 5_500 },
)]
fn a_second_attempt_begins_later_than_usual_answers(took: Millis, least: Millis) {
    let mut service = service_of(took);

    let delay = service.hedge_delay(OBJECTIVE, NOW);

    assert!(delay >= least, "{delay}");
    assert!(delay <= least + least / 50 + 1, "{delay}");
}

// Guards against attempts that add load to a service that has no room for them, or that nobody can wait for.
#[test]
fn hedges_are_denied_without_room_or_time() {
    let mut service = service_of(1_000);
    let crowded = Room {
        free: 14,
        slots: 144,
    };

    assert_eq!(
        service.hedge(5_000, crowded, NOW),
        Permission::Denied(Denial::Room)
    );
    assert_eq!(
        service.hedge(900, AMPLE, NOW),
        Permission::Denied(Denial::Late)
    );
    assert_eq!(service.hedge(5_000, AMPLE, NOW), Permission::Granted);
}

// Guards against retries that cannot be answered in time, and against a budget for those that add no work.
#[test]
fn retries_are_denied_without_time_and_free_after_a_rejection() {
    let mut service = service_of(1_000);

    assert_eq!(
        service.retry(Failure::NotExecuted, 900, NOW),
        Permission::Denied(Denial::Late)
    );
    for _ in 0..1_000 {
        let permission = service.retry(Failure::NotExecuted, 5_000, NOW);
        assert_eq!(permission, Permission::Granted);
    }
}

// Guards against an upstream that has gone silent and keeps a call until its deadline, where another attempt fits.
#[parameterized(
    lookup = { 5, 10_000, 5_000 },
    short_deadline = { 5, 400, 200 },
    call_of_a_second = { 1_100, 10_000, 5_000 },
)]
fn a_silent_upstream_is_left_in_time(took: Millis, left: Millis, limit: Millis) {
    let mut service = service_of(took);

    assert_eq!(service.time_limit(left, NOW), limit);
}

// Guards against a window that keeps what a service took long ago, or before all of it turned slow.
#[test]
fn the_delay_follows_a_service_that_turns_slow() {
    let mut service = service_of(100);
    for at in 0..4_000 {
        service.answered(400, NOW + at * 5);
    }

    assert!(service.hedge_delay(OBJECTIVE, 30_000) >= 400);
}

/// What happens to a service.
#[derive(Clone, Copy, Debug)]
enum Step {
    Call,
    Answer(Millis),
    Hedge,
    Retry,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Call),
        (1..20_000u64).prop_map(Step::Answer),
        Just(Step::Hedge),
        Just(Step::Retry),
    ]
}

proptest! {
    // Guards against hedges or retries beyond their share of the calls, whatever the service takes.
    #[test]
    fn attempts_keep_to_their_budgets(steps in vec(step(), 0..500)) {
        let policy = Policy::default();
        let mut service = ServiceAttempts::new(policy);
        let (mut calls, mut hedges, mut retries) = (0.0, 0.0, 0.0);
        for (now, step) in (0..).map(|at| at * 10).zip(steps) {
            match step {
                Step::Call => {
                    service.began();
                    calls += 1.0;
                }
                Step::Answer(took) => service.answered(took, now),
                Step::Hedge if service.hedge(30_000, AMPLE, now) == Permission::Granted => hedges += 1.0,
                Step::Retry if service.retry(Failure::Unknown, 30_000, now) == Permission::Granted => {
                    retries += 1.0;
                }
                Step::Hedge | Step::Retry => (),
            }
            prop_assert!(hedges <= calls * policy.hedge_share + 10.0 + 1e-6);
            prop_assert!(retries <= calls * policy.retry_share + 100.0 + 1e-6);
        }
    }

    // Guards against an attempt that is ended although it would have been the first to answer.
    #[test]
    fn no_attempt_ends_that_would_answer_first(took in 1..60_000u64, left in 1..120_000u64) {
        let mut service = service_of(took);

        let limit = service.time_limit(left, NOW);

        // Ended at `limit`, another one would answer at `limit + took` at the earliest.
        let answers_in_time = took <= left;
        prop_assert!(!answers_in_time || limit >= took, "{limit} of {left}");
    }

    // Guards against an attempt that is ended when no other one can be answered any more.
    #[test]
    fn an_attempt_ends_early_only_if_another_one_fits(took in 1..60_000u64, left in 1..120_000u64) {
        let mut service = service_of(took);

        let limit = service.time_limit(left, NOW);

        prop_assert!(limit == left || left - limit >= took, "{limit} of {left}");
    }
}
