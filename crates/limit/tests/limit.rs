//! Tests of admission.

use contract::form;
use kernel::Name;
use kernel::plugin;
use limit::ContractLimiter;
use limit::Limit;
use limit::LimitDecision;
use limit::LimitShare;
use limit::Queue;
use limit::QueueDecision;
use limit::QueueOrder;
use limit::order::QueueEntry;
use limit::queue::Dequeued;
use limit::share::ShareTracker;
use proptest::prelude::*;
use yare::parameterized;

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn queue(order: &str) -> Queue<&'static str> {
    let order = plugin::find::<QueueOrder>(order).unwrap();
    Queue::new((order.make)(), 1_000)
}

fn entry(customer: &str, weight: u32) -> QueueEntry {
    QueueEntry {
        customer: name(customer),
        weight,
        class: 3,
        cost: 1.0,
    }
}

fn gate(rate: u32, concurrency: u32, share: LimitShare) -> ContractLimiter {
    let text = format!(
        "[contract]\ncustomer = a\ntoken-sha256 = {}\nservices = s\nrate = {rate}\n\
         burst = 1\nconcurrency = {concurrency}\n",
        "00".repeat(32)
    );
    let contract = form::read("a", &text).unwrap();
    ContractLimiter::new(&contract, share, 0)
}

fn over(limit: Limit, retry_after: u64) -> LimitDecision {
    LimitDecision::Rejected { limit, retry_after }
}

#[parameterized(
    rate = { 10, 5, over(Limit::Rate, 100) },
    concurrency = { 10, 1, over(Limit::Concurrency, 200) },
)]
fn a_second_request_at_once_is_over(rate: u32, concurrency: u32, expected: LimitDecision) {
    let mut gate = gate(rate, concurrency, LimitShare::WHOLE);

    let first = gate.admit(0, 0.0);
    let second = gate.admit(0, 0.0);

    assert_eq!((first, second), (LimitDecision::Admitted, expected));
}

#[test]
fn leaving_frees_a_slot() {
    let mut gate = gate(1_000, 1, LimitShare::WHOLE);
    gate.admit(0, 0.0);

    gate.release();

    assert_eq!(gate.admit(100, 0.0), LimitDecision::Admitted);
}

// Symptom: a customer within its share waits behind another's backlog.
// Sequence: `surge` queues 50 requests, then `calm` sends one.
// Cause: one line for all; first come, first served shows it.
#[parameterized(
    fair = { "fair", 2 },
    fifo = { "fifo", 51 },
)]
fn a_calm_customer_after_a_surge(order: &str, expected: usize) {
    let mut queue = queue(order);
    for _ in 0..50 {
        queue.push(0, &entry("surge", 1), 10_000, 1, "surge");
    }
    queue.push(0, &entry("calm", 1), 10_000, 1, "calm");

    let place = 1 + std::iter::from_fn(|| queue.pop(0, 0))
        .take_while(|got| *got != Dequeued::Ready("calm"))
        .count();

    assert_eq!(place, expected);
}

// Symptom: callers wait until their deadline and then get nothing, while upstreams work for
// callers who have left.
// Sequence: departures come 100 ms apart, ten requests wait, one more has 500 ms left.
// Cause: admission that does not look at the deadline.
#[test]
fn what_cannot_be_done_in_time_is_refused_at_once() {
    let mut queue = queue("fair");
    for _ in 0..300 {
        queue.push(0, &entry("a", 1), 1_000_000, 1, "old");
    }
    for turn in 0..250 {
        queue.pop(turn * 100, 0);
    }
    let now = 25_000;

    let tight = queue.push(now, &entry("a", 1), now + 500, 1, "tight");
    let loose = queue.push(now, &entry("a", 1), now + 60_000, 1, "loose");

    assert!(
        matches!(tight, QueueDecision::DeadlineTooClose { retry_after } if retry_after > 500),
        "{tight:?}"
    );
    assert!(matches!(loose, QueueDecision::Queued(_)));
}

// Symptom: at twice its capacity a service answers almost nobody.
// Sequence: requests leave the queue with a few milliseconds left; the service works on them, and
// each is given up before its answer comes.
// Cause: letting go what cannot be done in the time that is left.
#[test]
fn a_request_without_time_for_its_work_does_not_run() {
    let mut queue = queue("fair");
    queue.push(0, &entry("a", 1), 100, 1, "tight");

    assert_eq!(queue.peek(81, 20), Some((&"tight", true)));
    assert_eq!(queue.pop(81, 20), Some(Dequeued::Expired("tight")));
}

#[test]
fn a_request_past_its_deadline_does_not_run() {
    let mut queue = queue("fair");
    queue.push(0, &entry("a", 1), 10, 1, "late");

    assert_eq!(queue.pop(11, 0), Some(Dequeued::Expired("late")));
}

#[test]
fn a_cancelled_request_does_not_run() {
    let mut queue = queue("fair");
    let QueueDecision::Queued(ticket) = queue.push(0, &entry("a", 1), 10, 1, "gone") else {
        panic!("not admitted");
    };

    queue.cancel(ticket);

    assert_eq!(queue.pop(1, 0), None);
}

// Symptom: a customer gets 1.6 times its contract for the first seconds of a rush.
// Sequence: the demand begins at 8 instances at once; none has heard of the others' yet.
// Cause: a share that follows the reports upwards at once.
#[test]
fn a_share_waits_for_news_before_it_goes_up() {
    let even = LimitShare::split(8, &[], 0.0);
    let alone = LimitShare::split(8, &[], 75.0);
    let mut split = ShareTracker::new(even);

    for second in 0..6 {
        split.update(alone, second * 1_000);
    }
    let before = split.share();
    split.update(alone, 6_000);
    let after = split.share();
    split.update(even, 7_000);

    assert_eq!(before, even);
    assert!(after > even);
    assert_eq!(split.share(), even);
}

proptest! {
    // Over any demands, the shares of instances that hold the same reports add up to the limit.
    #[test]
    fn shares_add_up(demands in prop::collection::vec(0.0f64..1e4, 1..12)) {
        let total: f64 = demands
            .iter()
            .enumerate()
            .map(|(at, mine)| {
                let mut others = demands.clone();
                others.remove(at);
                LimitShare::split(demands.len(), &others, *mine).fraction()
            })
            .sum();
        prop_assert!((total - 1.0).abs() < 1e-6, "{total}");
    }

    // Two customers that always have work are served in the ratio of their weights.
    #[test]
    fn fair_follows_weights(a in 1u32..8, b in 1u32..8) {
        let mut queue = queue("fair");
        for _ in 0..400 {
            queue.push(0, &entry("a", a), 1_000, 0, "a");
            queue.push(0, &entry("b", b), 1_000, 0, "b");
        }
        let turns = 100 * (a + b) / a.max(b);
        let mut got = 0;
        for _ in 0..turns {
            if queue.pop(0, 0) == Some(Dequeued::Ready("a")) {
                got += 1;
            }
        }
        let want = f64::from(turns) * f64::from(a) / f64::from(a + b);
        prop_assert!((f64::from(got) - want).abs() <= 2.0, "{got} of {turns}, want {want}");
    }
}
