//! Tests of the adaptive window and of the calls that wait for it.

use std::collections::VecDeque;

use kernel::Map;
use kernel::Millis;
use kernel::plugin;
use kernel::rendezvous_rank;
use limit::CallGate;
use limit::Queue;
use limit::QueueOrder;
use limit::Signal;
use limit::Window;
use limit::gate::Arrival;
use limit::gate::GateCall;
use limit::order::QueueEntry;
use limit::queue::Admission;
use limit::queue::Dequeued;
use limit::queue::WaitBounds;
use yare::parameterized;

const TARGET: Millis = 150;
const UPSTREAMS: usize = 3;
const SLOTS: usize = 6;
const UPSTREAM_QUEUE: usize = 24;
const SERVICE_TIME: Millis = 40;
const DURATION: Millis = 20_000;

fn entry(team: &str, class: u8) -> QueueEntry {
    QueueEntry {
        customer: team.parse().unwrap(),
        weight: 1,
        class,
        cost: 1.0,
    }
}

fn call(now: Millis, team: &str, class: u8) -> GateCall {
    GateCall {
        entry: entry(team, class),
        arrived: now,
        deadline: now + 1_500,
        target: Some(TARGET),
    }
}

fn queue<T>(capacity: usize) -> Queue<T> {
    let order = plugin::find::<QueueOrder>("priority").unwrap();
    Queue::new((order.make)(), capacity)
}

fn gate<T>(max: u32) -> CallGate<T> {
    let mut gate = CallGate::new(64);
    gate.window_mut().set_max(max);
    gate
}

/// Returns a number from 0 to 1 that is the same in each run.
fn draw(name: &str, key: u64) -> f64 {
    rendezvous_rank(name, key) as f64 / u64::MAX as f64
}

#[derive(Clone, Debug)]
struct Call {
    index: u64,
    instance: usize,
    team: &'static str,
    arrived: Millis,
    sent_at: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: u32,
    served: u32,
    on_time: u32,
    sent: u32,
    rejected: u32,
}

/// What became of the calls of each team, and of all (`""`).
#[derive(Default)]
struct Outcome(Map<&'static str, Counts>);

impl Outcome {
    fn count(&mut self, team: &'static str, change: impl Fn(&mut Counts)) {
        change(self.0.entry(team).or_default());
        change(self.0.entry("").or_default());
    }

    fn share(&self, team: &str) -> f64 {
        f64::from(self.0[team].served) / f64::from(self.0[team].offered)
    }
}

#[derive(Default)]
struct Upstream {
    running: Vec<(Millis, Call)>,
    waiting: VecDeque<Call>,
}

/// Plays calls at `load` times the capacity of the upstreams through the gates of `count` instances, or through none.
/// A call's team and class follow from a number from 0 to 1.
fn replay(
    count: usize,
    load: f64,
    gated: bool,
    team: impl Fn(f64) -> (&'static str, u8),
) -> Outcome {
    let mut gates: Vec<_> = (0..count)
        .map(|_| gate::<Call>((2 * UPSTREAMS * SLOTS) as u32))
        .collect();
    let mut upstreams: Vec<_> = (0..UPSTREAMS).map(|_| Upstream::default()).collect();
    let mut outcome = Outcome::default();
    let rate = load * (UPSTREAMS * SLOTS) as f64 / SERVICE_TIME as f64;
    let (mut index, mut next_arrival) = (0, 0.0);
    for now in 0..DURATION {
        for upstream in &mut upstreams {
            let ended = upstream.running.extract_if(.., |(end, _)| *end <= now);
            let ended: Vec<_> = ended.map(|(_, call)| call).collect();
            for call in ended {
                let is_crowded = upstream.waiting.len() >= SLOTS;
                let took = now - call.sent_at;
                let signal = match took <= TARGET {
                    true if is_crowded => Signal::Crowded(took),
                    true => Signal::OnTime(took),
                    false if upstream.waiting.is_empty() => Signal::Slow(took),
                    false => Signal::Late(took),
                };
                gates[call.instance].finish(now, call.sent_at, Some(signal));
                let on_time = u32::from(now - call.arrived <= TARGET);
                outcome.count(call.team, |counts| {
                    counts.served += 1;
                    counts.on_time += on_time;
                });
            }
        }
        let mut sent = Vec::new();
        while next_arrival <= now as f64 {
            index += 1;
            next_arrival -= (1.0 - draw("gap", index)).ln() / rate;
            let (team, class) = team(draw("team", index));
            outcome.count(team, |counts| counts.offered += 1);
            let instance = (draw("instance", index) * count as f64) as usize;
            let new = Call {
                index,
                instance,
                team,
                arrived: now,
                sent_at: now,
            };
            match gated {
                true => {
                    gates[instance].arrive(now, &self::call(now, team, class), new);
                }
                false => sent.push(new),
            }
        }
        for gate in &mut gates {
            sent.extend(std::iter::from_fn(|| gate.next(now)));
        }
        for mut call in sent {
            call.sent_at = now;
            outcome.count(call.team, |counts| counts.sent += 1);
            // Its own calls at the upstreams tell an instance with few calls next to nothing about them.
            let upstream = (draw("upstream", call.index) * UPSTREAMS as f64) as usize;
            if upstreams[upstream].waiting.len() < UPSTREAM_QUEUE {
                upstreams[upstream].waiting.push_back(call);
            } else {
                outcome.count(call.team, |counts| counts.rejected += 1);
                gates[call.instance].finish(now, now, Some(Signal::Rejected));
            }
        }
        for upstream in &mut upstreams {
            while upstream.running.len() < SLOTS {
                let Some(call) = upstream.waiting.pop_front() else {
                    break;
                };
                let took = SERVICE_TIME as f64 * (0.5 + draw("took", call.index));
                upstream.running.push((now + took as Millis, call));
            }
        }
    }
    outcome
}

fn one_team(_: f64) -> (&'static str, u8) {
    ("a", 5)
}

// Guards against instances that overrun the upstreams together, each with few calls: calls waited in the upstreams until
// they were late, and services rejected a fifth of what was sent.
#[parameterized(
    below = { 75, 0.7, 0.98, 0.95 },
    at_capacity = { 75, 1.0, 0.8, 0.75 },
    twice = { 75, 2.0, 0.4, 0.75 },
    four_times = { 75, 4.0, 0.2, 0.75 },
    twice_at_few_instances = { 6, 2.0, 0.4, 0.75 },
    twice_at_one_instance = { 1, 2.0, 0.4, 0.75 },
)]
fn most_calls_that_are_served_are_on_time(count: usize, load: f64, served: f64, on_time: f64) {
    let without = replay(count, load, false, one_team).0[""];

    let outcome = replay(count, load, true, one_team);

    let all = outcome.0[""];
    println!("{count} instances at {load}: {all:?}, without a gate {without:?}");
    assert!(outcome.share("") >= served, "{all:?}");
    assert!(
        f64::from(all.on_time) >= on_time * f64::from(all.served),
        "{all:?}"
    );
    assert!(
        f64::from(all.rejected) <= 0.02 * f64::from(all.sent),
        "{all:?}"
    );
}

// Guards against a less urgent class that is served nothing: the urgent calls alone are more than the upstreams run.
#[parameterized(
    many_instances = { 75 },
    one_instance = { 1 },
)]
fn a_less_urgent_class_is_served_less_but_not_starved(count: usize) {
    let team = |draw| match draw < 0.6 {
        true => ("urgent", 0),
        false => ("other", 5),
    };

    let outcome = replay(count, 2.5, true, team);

    let (urgent, other) = (outcome.share("urgent"), outcome.share("other"));
    println!("{count} instances: urgent {urgent:.3}, other {other:.3}");
    assert!(
        other >= 0.04 && other < urgent,
        "urgent {urgent}, other {other}"
    );
}

// Guards against a team that gets nothing beside one that makes twenty times as many calls at the same instance.
#[test]
fn teams_get_fair_shares() {
    let team = |draw| match draw {
        _ if draw < 0.04 => ("small", 5),
        _ if draw < 0.2 => ("medium", 5),
        _ => ("large", 5),
    };

    let outcome = replay(1, 2.0, true, team);

    let shares = ["small", "medium", "large"].map(|team| outcome.share(team));
    println!("shares {shares:.3?}");
    assert!(shares[0] >= 0.85 && shares[1] >= 0.7, "{shares:?}");
    assert!(shares[2] < 0.5, "{shares:?}");
}

// Guards against a team that is refused for long after its own surge, because refused calls counted as served.
#[test]
fn refused_calls_do_not_count_for_the_share_of_a_team() {
    let mut queue = queue::<&str>(3);
    let bounds = WaitBounds {
        now: 0,
        latest: 100,
        first: 10.0,
        interval: 10.0,
        has_spare_room: false,
    };
    let too_late = WaitBounds {
        latest: 5,
        ..bounds
    };
    for _ in 0..50 {
        assert_eq!(
            queue.push_within(too_late, &entry("a", 5), "refused"),
            Admission::TooLong
        );
    }
    queue.push_within(bounds, &entry("b", 5), "b1");
    queue.push_within(bounds, &entry("b", 5), "b2");
    queue.push_within(bounds, &entry("a", 5), "a");

    queue.pop_in_turn(0);

    assert_eq!(queue.pop_in_turn(0), Some(Dequeued::Ready("a")));
}

// Guards against an urgent call that is refused because less urgent ones fill the queue.
#[test]
fn an_urgent_call_displaces_the_last_one_of_a_full_queue() {
    let mut small = CallGate::new(1);
    small.window_mut().start(0);

    let first = small.arrive(0, &call(0, "a", 5), "waiting");
    let urgent = small.arrive(0, &call(0, "b", 0), "urgent");
    let last = small.arrive(0, &call(0, "a", 5), "last");

    assert!(matches!(
        first,
        Arrival::Queued {
            displaced: None,
            ..
        }
    ));
    assert!(matches!(
        urgent,
        Arrival::Queued {
            displaced: Some("waiting"),
            ..
        }
    ));
    assert_eq!(last, Arrival::Full);
}

// Guards against calls that hold a place although their callers have left.
#[test]
fn a_caller_that_leaves_frees_its_place() {
    let mut gate = gate::<&str>(1);
    gate.arrive(0, &call(0, "a", 5), "sent");
    assert_eq!(gate.next(0), Some("sent"));
    let Arrival::Queued { ticket, .. } = gate.arrive(0, &call(0, "a", 5), "left") else {
        panic!("not queued");
    };
    gate.arrive(0, &call(0, "b", 5), "next");

    gate.cancel(ticket);
    gate.finish(10, 0, None);

    assert_eq!((gate.next(10), gate.waiting()), (Some("next"), 0));
}

// Guards against a crowd of refused callers that returns at the same moment, and finds the same full queue.
#[test]
fn refused_callers_do_not_return_at_the_same_time() {
    let mut gate = gate::<u64>(1);
    let mut returns = Vec::new();
    for index in 0..500 {
        let arrival = gate.arrive(0, &call(0, "a", 5), index);
        if !matches!(arrival, Arrival::Queued { .. }) {
            returns.push(gate.retry_after(draw("retry", index)));
        }
        gate.next(0);
    }
    let busiest = (0..50).map(|slice| returns.iter().filter(|at| **at / 100 == slice).count());

    assert!(returns.len() > 400);
    assert!(returns.iter().all(|at| (100..=5_000).contains(at)));
    assert!(busiest.max().unwrap() < returns.len() * 7 / 10);
    assert!(returns.iter().max().unwrap() > &(2 * returns.iter().min().unwrap()));
}

// Guards against hedges that double the load of a busy service.
#[test]
fn hedges_are_a_tenth_of_the_calls_and_never_precede_waiting_ones() {
    let mut gate = gate::<u64>(1_000);
    let mut hedges = 0;
    for index in 0..1_000 {
        gate.arrive(index, &call(index, "a", 5), index);
        gate.next(index);
        hedges += u32::from(gate.hedge(index));
        gate.finish(index, index, None);
    }
    assert!((100..=110).contains(&hedges), "{hedges}");

    let mut busy = self::gate::<u64>(1);
    busy.arrive(0, &call(0, "a", 5), 1);
    busy.next(0);
    busy.arrive(0, &call(0, "a", 5), 2);
    assert!(!busy.hedge(0));
}

// Guards against a window that stays closed: a service that rejected every call for long must get one after the longest
// pause, and all of its slots when it answers in time again.
#[test]
fn a_window_recovers_from_rejections() {
    let mut window = Window::default();
    window.set_max(12);
    let mut now = 0;
    for _ in 0..100 {
        now += window.pause(now);
        window.start(now);
        window.finish(now, now, Some(Signal::Rejected));
    }
    assert!(window.pause(now) <= 2_000);

    for _ in 0..200 {
        now += window.pause(now);
        let sent_at = now;
        while window.has_room(now) {
            window.start(now);
        }
        now += 20;
        while window.running() > 0 {
            window.finish(now, sent_at, Some(Signal::OnTime(20)));
        }
    }

    assert_eq!(window.size(), 12.0);
}

// Guards against a window that shrinks once for each of the calls that were sent before it shrank.
#[test]
fn answers_to_calls_of_the_same_window_shrink_it_once() {
    let mut window = Window::default();
    window.set_max(10);
    for _ in 0..10 {
        window.start(0);
    }
    for _ in 0..10 {
        window.finish(200, 0, Some(Signal::Late(200)));
    }

    assert_eq!(window.size(), 7.0);
}

// Guards against a window that closes before an idle service, because each call takes longer than the target by itself.
#[parameterized(
    nothing_waits_there = { Signal::Slow(400) },
    load_unknown = { Signal::LateUnexplained(400) },
)]
fn a_service_that_is_slower_than_its_target_keeps_its_window(signal: Signal) {
    let mut window = Window::default();
    window.set_max(8);

    for turn in 0..50 {
        window.start(turn * 400);
        window.finish((turn + 1) * 400, turn * 400, Some(signal));
    }

    assert_eq!(window.size(), 8.0);
}
