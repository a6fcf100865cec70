//! Tests of contract limits, queues and shares.

use contract::ini;
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

fn limiter(rate: u32, concurrency: u32, share: LimitShare) -> ContractLimiter {
    let text = format!(
        "[contract]\ncustomer = a\ntoken-sha256 = {}\nservices = s\nrate = {rate}\n\
         burst = 1\nconcurrency = {concurrency}\n",
        "00".repeat(32)
    );
    let contract = ini::parse("a", &text).unwrap();
    ContractLimiter::new(&contract, share, 0)
}

fn rejected(limit: Limit, retry_after: u64) -> LimitDecision {
    LimitDecision::Rejected { limit, retry_after }
}

#[parameterized(
    rate = { 10, 5, rejected(Limit::Rate, 100) },
    concurrency = { 10, 1, rejected(Limit::Concurrency, 200) },
)]
fn second_simultaneous_request_is_rejected(rate: u32, concurrency: u32, expected: LimitDecision) {
    let mut limiter = limiter(rate, concurrency, LimitShare::WHOLE);

    let first = limiter.admit(0, 0.0);
    let second = limiter.admit(0, 0.0);

    assert_eq!((first, second), (LimitDecision::Admitted, expected));
}

#[test]
fn release_frees_a_slot() {
    let mut limiter = limiter(1_000, 1, LimitShare::WHOLE);
    limiter.admit(0, 0.0);

    limiter.release();

    assert_eq!(limiter.admit(100, 0.0), LimitDecision::Admitted);
}

// Guards against a customer within its share waiting behind another's backlog: `surge` queues 50 requests, then
// `calm` sends one. The `fifo` case shows the failure.
#[parameterized(
    fair = { "fair", 2 },
    fifo = { "fifo", 51 },
)]
fn position_of_a_calm_customer_after_a_surge(order: &str, expected: usize) {
    let mut queue = queue(order);
    for _ in 0..50 {
        queue.push(0, &entry("surge", 1), 10_000, 1, "surge");
    }
    queue.push(0, &entry("calm", 1), 10_000, 1, "calm");

    let position = 1 + std::iter::from_fn(|| queue.pop(0, 0))
        .take_while(|got| *got != Dequeued::Ready("calm"))
        .count();

    assert_eq!(position, expected);
}

// Guards against admission that ignores deadlines: clients would wait until their deadline for nothing, and
// upstreams would work for clients that have disconnected. Departures are 100 ms apart, 50 requests
// wait, and one more has 500 ms left.
#[test]
fn request_that_cannot_meet_its_deadline_is_rejected() {
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

// Guards against a service at twice its capacity that completes almost no request: requests left the queue with
// a few milliseconds to their deadline, the service worked on them, and each was cancelled before its
// response.
#[test]
fn request_without_time_for_its_work_expires() {
    let mut queue = queue("fair");
    queue.push(0, &entry("a", 1), 100, 1, "tight");

    assert_eq!(queue.peek(81, 20), Some((&"tight", true)));
    assert_eq!(queue.pop(81, 20), Some(Dequeued::Expired("tight")));
}

#[test]
fn request_past_its_deadline_expires() {
    let mut queue = queue("fair");
    queue.push(0, &entry("a", 1), 10, 1, "late");

    assert_eq!(queue.pop(11, 0), Some(Dequeued::Expired("late")));
}

#[test]
fn cancelled_request_does_not_run() {
    let mut queue = queue("fair");
    let QueueDecision::Queued(ticket) = queue.push(0, &entry("a", 1), 10, 1, "gone") else {
        panic!("not admitted");
    };

    queue.cancel(ticket);

    assert_eq!(queue.pop(1, 0), None);
}

// Guards against a customer getting 1.6 times its contract in the first seconds of a load peak: demand begins on
// 8 instances at once, and none has received the others' reports, so a share must not grow immediately.
#[test]
fn share_grows_only_after_a_delay() {
    let even = LimitShare::split(8, &[], 0.0);
    let alone = LimitShare::split(8, &[], 75.0);
    let mut tracker = ShareTracker::new(even);

    for second in 0..6 {
        tracker.update(alone, second * 1_000);
    }
    let before = tracker.share();
    tracker.update(alone, 6_000);
    let after = tracker.share();
    tracker.update(even, 7_000);

    assert_eq!(before, even);
    assert!(after > even);
    assert_eq!(tracker.share(), even);
}

proptest! {
    // For any demands, the shares of instances with the same reports add up to the limit.
    #[test]
    fn shares_add_up(demands in prop::collection::vec(0.0f64..1e4, 1..12)) {
        let total: f64 = demands
            .iter()
            .enumerate()
            .map(|(index, demand)| {
                let mut others = demands.clone();
                others.remove(index);
                LimitShare::split(demands.len(), &others, *demand).fraction()
            })
            .sum();
        prop_assert!((total - 1.0).abs() < 1e-6, "{total}");
    }

    // Two customers with a constant backlog are served in proportion to their weights.
    #[test]
    fn fair_order_follows_weights(a in 1u32..8, b in 1u32..8) {
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
