//! Tests of routing.

use kernel::Name;
use kernel::plugin;
use proptest::prelude::*;
use route::Chooser;
use route::Decision;
use route::LeavingSource;
use route::Pool;
use route::Ran;
use route::RetryBudget;
use route::UpstreamKind;
use route::UpstreamSpec;
use route::pool::Outcome;
use route::pool::Pick;
use route::pool::Requirements;
use route::prefix::blocks;
use route::retry::Failure;
use route::retry::StopReason;
use route::retry::decide;
use yare::parameterized;

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn spec(text: &str, kind: UpstreamKind) -> UpstreamSpec {
    UpstreamSpec {
        name: name(text),
        addr: "127.0.0.1:1".parse().unwrap(),
        kind,
        pool: name("pool"),
        domain: name("nord"),
        slots: 2,
        fencing: true,
    }
}

fn pool(chooser: &str, upstreams: &[&str], kind: UpstreamKind) -> Pool {
    let chooser = plugin::find::<Chooser>(chooser).unwrap();
    let mut pool = Pool::new(chooser, name("nord"));
    for upstream in upstreams {
        pool.add(spec(upstream, kind));
    }
    pool
}

fn take(pool: &mut Pool, requirements: &Requirements, now: u64) -> Option<Name> {
    match pool.pick(requirements, now) {
        Pick::Upstream(spec) => Some(spec.name),
        Pick::Busy | Pick::Unavailable => None,
    }
}

fn failure(ran: Ran, idempotent: bool, attempts: u32, deadline: u64) -> Failure {
    Failure {
        ran,
        idempotent,
        attempts,
        deadline,
    }
}

// Symptom: an order runs twice.
// Sequence: the connection breaks after the request was sent, and it is sent again elsewhere.
// Cause: a retry decided by the error's kind without asking whether the call may be repeated.
#[parameterized(
    sent_order = { failure(Ran::Unknown, false, 1, 9_000), Decision::Stop(StopReason::MayHaveRun) },
    unsent_order = { failure(Ran::No, false, 1, 9_000), Decision::Retry(10) },
    sent_lookup = { failure(Ran::Unknown, true, 1, 9_000), Decision::Retry(10) },
    third = { failure(Ran::No, true, 3, 9_000), Decision::Retry(40) },
    too_often = { failure(Ran::No, true, 4, 9_000), Decision::Stop(StopReason::Attempts) },
    too_late = { failure(Ran::No, true, 1, 1_005), Decision::Stop(StopReason::Deadline) },
)]
fn retries_are_decided(failure: Failure, expected: Decision) {
    let mut budget = RetryBudget::default();

    assert_eq!(decide(failure, &mut budget, 1_000, 1.0), expected);
}

// Symptom: during an outage the upstreams see four times the traffic and do not come back.
// Sequence: every attempt fails, every request is tried again.
// Cause: retries bounded a request only, not over the traffic.
#[test]
fn retries_stay_a_share_of_the_traffic_when_all_fails() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;

    for _ in 0..1_000 {
        budget.earn();
        let failed = failure(Ran::No, true, 1, 9_000);
        if matches!(decide(failed, &mut budget, 0, 0.5), Decision::Retry(_)) {
            retries += 1;
        }
    }

    assert!((100..=115).contains(&retries), "{retries}");
}

// Symptom: requests go on failing though other upstreams are well.
// Sequence: one upstream refuses connections; it has the fewest outstanding requests because it
// fails at once, so it is chosen again and again.
// Cause: no memory of failures in the choice.
#[parameterized(
    round = { "round" },
    least = { "least" },
    scored = { "scored" },
)]
fn a_failing_upstream_is_ejected(chooser: &str) {
    let mut pool = pool(chooser, &["a", "b"], UpstreamKind::Service);
    let requirements = Requirements::default();

    let mut failures = 0;
    for _ in 0..100 {
        let got = take(&mut pool, &requirements, 0).unwrap();
        let bad = &*got == "a";
        failures += u32::from(bad);
        let outcome = if bad {
            Outcome::Failed
        } else {
            Outcome::Answered(1.0)
        };
        pool.finish(&got, outcome, 0);
    }

    assert_eq!(failures, 3);
}

// Symptom: an overload that takes a second ends all service for many.
// Sequence: time-outs under load eject one upstream after the other; the last ones get all of it.
// Cause: ejection without a bound on how many are out.
#[test]
fn when_most_are_ejected_they_get_a_little_work() {
    let mut pool = pool("scored", &["a", "b"], UpstreamKind::Service);
    for name in ["a", "b"] {
        for _ in 0..3 {
            pool.update_health(name, |health| health.record_failure(0));
        }
    }

    let got = take(&mut pool, &Requirements::default(), 1);

    assert!(got.is_some());
}

#[test]
fn a_leaving_upstream_gets_nothing_new() {
    let mut pool = pool("scored", &["a", "b"], UpstreamKind::Service);

    pool.update_health("a", |health| {
        health.set_leaving(LeavingSource::Upstream, true)
    });

    for _ in 0..2 {
        assert_eq!(
            take(&mut pool, &Requirements::default(), 0),
            Some(name("b"))
        );
    }
    assert_eq!(pool.pick(&Requirements::default(), 0), Pick::Busy);
}

// Symptom: an upstream that is leaving gets new work again.
// Sequence: the platform lists it as leaving; its own load report does not say so yet.
// Cause: one flag for two sources, where the later word wins.
#[test]
fn one_source_does_not_take_back_anothers_word() {
    let mut pool = pool("scored", &["a"], UpstreamKind::Service);
    pool.update_health("a", |health| {
        health.set_leaving(LeavingSource::Platform, true)
    });

    pool.update_health("a", |health| {
        health.set_leaving(LeavingSource::Upstream, false)
    });

    assert_eq!(pool.pick(&Requirements::default(), 0), Pick::Unavailable);
}

#[test]
fn old_weights_are_passed_over() {
    let mut pool = pool("scored", &["a", "b"], UpstreamKind::Engine);
    pool.find_mut("a").unwrap().version = Some(4);
    pool.find_mut("b").unwrap().version = Some(5);
    let requirements = Requirements {
        min_version: 5,
        ..Requirements::default()
    };

    assert_eq!(take(&mut pool, &requirements, 0), Some(name("b")));
    assert_eq!(take(&mut pool, &requirements, 0), Some(name("b")));
    assert_eq!(pool.pick(&requirements, 0), Pick::Busy);
}

// Symptom: a restarted instance leaves most engines idle until weights change again.
// Sequence: it has heard no news of their versions; a sample asks for a version.
// Cause: taking an unknown version for an old one.
#[test]
fn an_engine_of_unknown_version_may_do() {
    let mut pool = pool("scored", &["a"], UpstreamKind::Engine);
    let requirements = Requirements {
        min_version: 5,
        ..Requirements::default()
    };

    assert_eq!(take(&mut pool, &requirements, 0), Some(name("a")));
}

// Symptom: one upstream is overrun although each instance keeps to the reported load.
// Sequence: the report says idle, is two seconds old, and the instance has filled the window.
// Cause: trusting the lagging report alone.
#[test]
fn a_late_report_does_not_hide_own_work() {
    let mut pool = pool("scored", &["a"], UpstreamKind::Service);
    pool.find_mut("a").unwrap().record_report(0, 0);

    take(&mut pool, &Requirements::default(), 1);
    take(&mut pool, &Requirements::default(), 1);

    assert_eq!(pool.pick(&Requirements::default(), 2), Pick::Busy);
}

#[test]
fn a_cached_prefix_draws_and_a_lost_one_costs_nothing() {
    let mut pool = pool("scored", &["a", "b"], UpstreamKind::Service);
    let requirements = Requirements {
        blocks: blocks(&"p".repeat(2_000)),
        ..Requirements::default()
    };
    let first = take(&mut pool, &requirements, 0).unwrap();
    pool.finish(&first, Outcome::Answered(1.0), 0);

    let again = take(&mut pool, &requirements, 0).unwrap();
    pool.finish(&again, Outcome::Answered(1.0), 0);
    pool.forget_cache(&first);

    assert_eq!(first, again);
    assert!(take(&mut pool, &requirements, 0).is_some());
}

// Symptom: lookups are slow though three of four upstreams are fast.
// Sequence: one upstream answers 20 times slower than the others.
// Cause: a choice that does not weigh latency.
#[test]
fn a_slow_upstream_gets_little_work() {
    let mut pool = pool("scored", &["a", "b", "c", "d"], UpstreamKind::Service);
    let mut slow = 0;
    for _ in 0..1_000 {
        let got = take(&mut pool, &Requirements::default(), 0).unwrap();
        let is_slow = &*got == "a";
        slow += u32::from(is_slow);
        let latency = if is_slow { 40.0 } else { 2.0 };
        pool.finish(&got, Outcome::Answered(latency), 0);
    }

    assert!(slow <= 20, "{slow}");
}

proptest! {
    // Whatever happens, no upstream holds more than its window, none that is out is chosen, and
    // what was taken is given back.
    #[test]
    fn windows_hold(steps in prop::collection::vec((0u8..4, 0usize..3, 0u64..2_000), 1..200)) {
        let names = ["a", "b", "c"];
        let mut pool = pool("scored", &names, UpstreamKind::Service);
        let mut held: Vec<Name> = Vec::new();
        let mut now = 0;
        for (what, which, span) in steps {
            now += span;
            match what {
                0 | 1 => held.extend(take(&mut pool, &Requirements::default(), now)),
                2 if !held.is_empty() => {
                    let got = held.swap_remove(which % held.len());
                    pool.finish(&got, Outcome::Failed, now);
                }
                _ => pool.update_health(names[which], |health| health.set_leaving(LeavingSource::Platform, span % 2 == 0)),
            }
            for upstream in pool.upstreams() {
                let mine = held.iter().filter(|n| **n == upstream.spec.name).count();
                prop_assert_eq!(upstream.outstanding as usize, mine);
                prop_assert!(upstream.outstanding <= upstream.spec.slots);
            }
        }
    }
}
