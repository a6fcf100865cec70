//! Tests of upstream picking, ejection and retries.

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
        identity: None,
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

fn pick(pool: &mut Pool, requirements: &Requirements, now: u64) -> Option<Name> {
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

// Guards against executing an order twice: the connection breaks after the request was sent, and the
// request is retried at another upstream because of the kind of error alone, although it is not
// idempotent.
#[parameterized(
    sent_order = { failure(Ran::Unknown, false, 1, 9_000), Decision::Stop(StopReason::MayHaveRun) },
    unsent_order = { failure(Ran::No, false, 1, 9_000), Decision::Retry(10) },
    sent_lookup = { failure(Ran::Unknown, true, 1, 9_000), Decision::Retry(10) },
    third_attempt = { failure(Ran::No, true, 3, 9_000), Decision::Retry(40) },
    too_many_attempts = { failure(Ran::No, true, 4, 9_000), Decision::Stop(StopReason::Attempts) },
    deadline_too_near = { failure(Ran::No, true, 1, 1_005), Decision::Stop(StopReason::Deadline) },
)]
fn retry_depends_on_execution_idempotence_attempts_and_deadline(
    failure: Failure,
    expected: Decision,
) {
    let mut budget = RetryBudget::default();

    assert_eq!(decide(failure, &mut budget, 1_000, 1.0), expected);
}

// Guards against retries that keep an outage going: every attempt fails and every request is retried,
// so upstreams get four times the traffic. This happens when retries are limited per request only and
// not as a share of the traffic.
#[test]
fn retries_are_limited_to_a_share_of_the_traffic() {
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

// Guards against requests that keep failing although other upstreams are healthy. An upstream that
// refuses connections fails at once, so it has the fewest outstanding requests and is picked again
// and again unless its failures count.
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
        let picked = pick(&mut pool, &requirements, 0).unwrap();
        let failed = &*picked == "a";
        failures += u32::from(failed);
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Answered(1.0)
        };
        pool.finish(&picked, outcome, 0);
    }

    assert_eq!(failures, 3);
}

// Guards against a total outage caused by a second of overload: time-outs eject one upstream after
// the other, and the last ones get all the load. This happens when the number of ejected upstreams
// has no effect.
#[test]
fn ejected_upstreams_get_some_requests_when_most_are_ejected() {
    let mut pool = pool("scored", &["a", "b"], UpstreamKind::Service);
    for name in ["a", "b"] {
        for _ in 0..3 {
            pool.update_health(name, |health| health.record_failure(0));
        }
    }

    let picked = pick(&mut pool, &Requirements::default(), 1);

    assert!(picked.is_some());
}

#[test]
fn a_leaving_upstream_gets_no_new_requests() {
    let mut pool = pool("scored", &["a", "b"], UpstreamKind::Service);

    pool.update_health("a", |health| {
        health.set_leaving(LeavingSource::Upstream, true)
    });

    for _ in 0..2 {
        assert_eq!(
            pick(&mut pool, &Requirements::default(), 0),
            Some(name("b"))
        );
    }
    assert_eq!(pool.pick(&Requirements::default(), 0), Pick::Busy);
}

// Guards against new requests for an upstream that is leaving: the platform lists it as leaving, but
// its own load report does not say so yet. With one flag for both sources the later one would win.
#[test]
fn a_source_cannot_clear_the_leaving_state_set_by_another() {
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
fn an_engine_with_too_old_weights_is_not_picked() {
    let mut pool = pool("scored", &["a", "b"], UpstreamKind::Engine);
    pool.find_mut("a").unwrap().version = Some(4);
    pool.find_mut("b").unwrap().version = Some(5);
    let requirements = Requirements {
        min_version: 5,
        ..Requirements::default()
    };

    assert_eq!(pick(&mut pool, &requirements, 0), Some(name("b")));
    assert_eq!(pick(&mut pool, &requirements, 0), Some(name("b")));
    assert_eq!(pool.pick(&requirements, 0), Pick::Busy);
}

// Guards against engines that stay idle until the next change of weights: a restarted instance has not
// received their versions yet, and a sample requires a minimum version. An unknown version must not be
// treated as an old one.
#[test]
fn an_engine_of_unknown_version_is_eligible() {
    let mut pool = pool("scored", &["a"], UpstreamKind::Engine);
    let requirements = Requirements {
        min_version: 5,
        ..Requirements::default()
    };

    assert_eq!(pick(&mut pool, &requirements, 0), Some(name("a")));
}

// Guards against overloading an upstream because of a late report: the report says that it is idle,
// but is two seconds old, and this instance has filled the window since.
#[test]
fn own_outstanding_requests_count_despite_a_late_report() {
    let mut pool = pool("scored", &["a"], UpstreamKind::Service);
    pool.find_mut("a").unwrap().record_report(0, 0);

    pick(&mut pool, &Requirements::default(), 1);
    pick(&mut pool, &Requirements::default(), 1);

    assert_eq!(pool.pick(&Requirements::default(), 2), Pick::Busy);
}

#[test]
fn a_cached_prefix_attracts_requests_until_the_cache_is_lost() {
    let mut pool = pool("scored", &["a", "b"], UpstreamKind::Service);
    let requirements = Requirements {
        blocks: blocks(&"p".repeat(2_000)),
        ..Requirements::default()
    };
    let first = pick(&mut pool, &requirements, 0).unwrap();
    pool.finish(&first, Outcome::Answered(1.0), 0);

    let again = pick(&mut pool, &requirements, 0).unwrap();
    pool.finish(&again, Outcome::Answered(1.0), 0);
    pool.forget_cache(&first);

    assert_eq!(first, again);
    assert!(pick(&mut pool, &requirements, 0).is_some());
}

// Guards against slow lookups although three of four upstreams are fast: one upstream responds 20 times
// slower than the others, and the choice ignores latency.
#[test]
fn a_slow_upstream_gets_few_requests() {
    let mut pool = pool("scored", &["a", "b", "c", "d"], UpstreamKind::Service);
    let mut slow = 0;
    for _ in 0..1_000 {
        let picked = pick(&mut pool, &Requirements::default(), 0).unwrap();
        let is_slow = &*picked == "a";
        slow += u32::from(is_slow);
        let latency = if is_slow { 40.0 } else { 2.0 };
        pool.finish(&picked, Outcome::Answered(latency), 0);
    }

    assert!(slow <= 20, "{slow}");
}

proptest! {
    // For any sequence of operations, no upstream exceeds its window, no unavailable one is picked, and
    // the outstanding count matches the requests that were picked and not finished.
    #[test]
    fn no_upstream_exceeds_its_window(steps in prop::collection::vec((0u8..4, 0usize..3, 0u64..2_000), 1..200)) {
        let names = ["a", "b", "c"];
        let mut pool = pool("scored", &names, UpstreamKind::Service);
        let mut outstanding_names: Vec<Name> = Vec::new();
        let mut now = 0;
        for (operation, index, span) in steps {
            now += span;
            match operation {
                0 | 1 => outstanding_names.extend(pick(&mut pool, &Requirements::default(), now)),
                2 if !outstanding_names.is_empty() => {
                    let picked = outstanding_names.swap_remove(index % outstanding_names.len());
                    pool.finish(&picked, Outcome::Failed, now);
                }
                _ => pool.update_health(names[index], |health| health.set_leaving(LeavingSource::Platform, span % 2 == 0)),
            }
            for upstream in pool.upstreams() {
                let mine = outstanding_names.iter().filter(|n| **n == upstream.spec.name).count();
                prop_assert_eq!(upstream.outstanding as usize, mine);
                prop_assert!(upstream.outstanding <= upstream.spec.slots);
            }
        }
    }
}
