//! Replays of arrivals at an instance that has less processor time than they need.

use std::collections::VecDeque;
use std::sync::Arc;

use kernel::Millis;
use kernel::Priority;
use limit::Shedder;
use limit::overload::Arrival;
use limit::overload::readiness::Readiness;
use limit::overload::readiness::may_be_unready;

/// Limit of the delay, in milliseconds.
const LIMIT: Millis = 40;

/// Processor time of a call, in milliseconds: 250 calls a second can be handled.
const CALL_COST: f64 = 4.0;

/// Processor time of shedding a call, in milliseconds.
const SHED_COST: f64 = 0.3;

/// The calls of one team.
struct Team {
    name: Arc<str>,
    priority: Priority,
    rate: f64,
    /// Part of the next call.
    due: f64,
    handled: u32,
    accepted: u32,
}

fn team(name: &str, level: u64, rate: f64) -> Team {
    Team {
        name: name.into(),
        priority: Priority::new(level).unwrap(),
        rate,
        // Teams do not call in the same millisecond.
        due: name.bytes().map(|byte| f64::from(byte) * 0.37).sum::<f64>() % 1.0,
        handled: 0,
        accepted: 0,
    }
}

fn many_teams(count: usize, level: u64, rate: f64) -> Vec<Team> {
    let names = (0..count).map(|index| format!("s{level}-{index}"));
    names.map(|name| team(&name, level, rate)).collect()
}

fn accepted_share(teams: &[Team]) -> f64 {
    let sum = |count: fn(&Team) -> u32| teams.iter().map(count).sum::<u32>();
    f64::from(sum(|team| team.accepted)) / f64::from(sum(|team| team.handled).max(1))
}

fn lowest_share(teams: &[Team]) -> f64 {
    let shares = teams
        .iter()
        .map(|team| accepted_share(std::slice::from_ref(team)));
    shares.fold(1.0, f64::min)
}

/// What waits for the processor.
enum Waiting {
    Call(usize),
    Measurement,
}

/// An instance that handles one request at a time, in the order of their arrival.
struct Instance {
    shedder: Shedder,
    queue: VecDeque<Waiting>,
    now: Millis,
    busy_until: f64,
    /// Processor time used so far.
    used: f64,
    is_measuring: bool,
    /// Measurements so far, each with its end.
    delays: Vec<(Millis, Millis)>,
}

impl Instance {
    fn new() -> Self {
        Self {
            shedder: Shedder::new(LIMIT),
            queue: VecDeque::new(),
            now: 0,
            busy_until: 0.0,
            used: 0.0,
            is_measuring: false,
            delays: Vec::new(),
        }
    }

    /// Replays the calls of teams for a time, and counts them from zero.
    fn replay(&mut self, teams: &mut [Team], duration: Millis) {
        for team in &mut *teams {
            (team.handled, team.accepted) = (0, 0);
        }
        for _ in 0..duration {
            for (index, team) in teams.iter_mut().enumerate() {
                team.due += team.rate / 1_000.0;
                while team.due >= 1.0 {
                    team.due -= 1.0;
                    self.queue.push_back(Waiting::Call(index));
                }
            }
            self.busy_until = self.busy_until.max(self.now as f64);
            while self.busy_until < (self.now + 1) as f64
                && let Some(next) = self.queue.pop_front()
            {
                self.handle(next, teams);
            }
            self.now += 1;
        }
    }

    fn handle(&mut self, next: Waiting, teams: &mut [Team]) {
        let now = self.busy_until as Millis;
        let index = match next {
            Waiting::Call(index) => index,
            Waiting::Measurement => {
                self.is_measuring = false;
                let (delay, _) = self.shedder.measurement_ended(now, self.used as Millis);
                self.delays.push((now, delay));
                return;
            }
        };
        if !self.is_measuring {
            self.is_measuring = true;
            self.shedder.measurement_started(now, self.used as Millis);
            self.queue.push_back(Waiting::Measurement);
        }
        self.shedder.check_pending(now, self.used as Millis);
        let team = &mut teams[index];
        team.handled += 1;
        let cost = match self.shedder.arrived(Some(&team.name), team.priority, now) {
            Arrival::Accepted => {
                team.accepted += 1;
                CALL_COST
            }
            Arrival::Shed => SHED_COST,
        };
        self.busy_until += cost;
        self.used += cost;
    }

    /// Returns the mean delay that was measured since a time.
    fn mean_delay(&self, since: Millis) -> f64 {
        let delays: Vec<_> = self.delays.iter().filter(|(at, _)| *at >= since).collect();
        delays.iter().map(|(_, delay)| *delay).sum::<Millis>() as f64 / delays.len() as f64
    }
}

// Guards against starvation: at an instance that one team flooded, nobody was served.
#[test]
fn a_flood_of_one_team_costs_small_teams_nothing() {
    let mut teams = many_teams(25, 5, 4.8);
    teams.push(team("large", 5, 360.0));
    let mut instance = Instance::new();

    instance.replay(&mut teams, 5_000);
    instance.replay(&mut teams, 20_000);

    let (small, large) = teams.split_at(25);
    assert!(lowest_share(small) > 0.9, "{:.3}", lowest_share(small));
    assert!(accepted_share(large) < 0.4, "{:.3}", accepted_share(large));
    assert!(
        accepted_share(&teams) > 0.35,
        "{:.3}",
        accepted_share(&teams)
    );
    assert!(instance.mean_delay(5_000) < 3.0 * LIMIT as f64);
}

// Guards against callers that wait until they leave: the delay grew with every second of a flood.
#[test]
fn many_equal_teams_are_served_alike_within_moments() {
    let mut teams = many_teams(100, 5, 8.0);
    let mut instance = Instance::new();

    instance.replay(&mut teams, 5_000);
    instance.replay(&mut teams, 20_000);

    let (all, worst) = (accepted_share(&teams), lowest_share(&teams));
    assert!(all > 0.2, "{all:.3}");
    assert!(worst > 0.6 * all, "{worst:.3} of {all:.3}");
    assert!(instance.mean_delay(5_000) < 3.0 * LIMIT as f64);
}

// Guards against shedding that ignores priorities, and against a less urgent class that is served nothing.
#[test]
fn less_urgent_calls_are_shed_first_and_never_all() {
    let mut teams = many_teams(20, 0, 10.0);
    teams.extend(many_teams(20, 9, 20.0));
    let mut instance = Instance::new();

    instance.replay(&mut teams, 5_000);
    instance.replay(&mut teams, 20_000);

    let (urgent, other) = (accepted_share(&teams[..20]), accepted_share(&teams[20..]));
    assert!(urgent > 0.7, "{urgent:.3}");
    assert!((0.02..0.3).contains(&other), "{other:.3}");
}

// Guards against shedding for seconds because the process was paused once.
#[test]
fn one_long_pause_sheds_nothing_for_long() {
    let mut teams = many_teams(20, 5, 5.0);
    let mut instance = Instance::new();
    instance.replay(&mut teams, 2_000);

    instance.busy_until += 1_500.0;
    instance.replay(&mut teams, 3_000);
    let shed = 1.0 - accepted_share(&teams);
    instance.replay(&mut teams, 1_000);

    assert!(shed < 0.1, "{shed:.3}");
    assert_eq!(accepted_share(&teams), 1.0);
}

// Guards against shedding calls that come together while the instance is idle most of the time.
#[test]
fn bursts_of_calls_are_not_shed() {
    let mut teams = many_teams(60, 5, 1.0);
    for team in &mut teams {
        team.due = 0.0;
    }
    let mut instance = Instance::new();

    instance.replay(&mut teams, 20_000);

    assert_eq!(accepted_share(&teams), 1.0);
}

// Guards against shedding at an instance that can handle all calls.
#[test]
fn an_instance_with_enough_time_sheds_nothing() {
    let mut teams = many_teams(20, 5, 10.0);
    let mut instance = Instance::new();

    instance.replay(&mut teams, 10_000);

    assert_eq!(accepted_share(&teams), 1.0);
}

// Guards against shedding that outlives its cause.
#[test]
fn nothing_is_shed_soon_after_a_flood() {
    let mut teams = many_teams(20, 5, 5.0);
    teams.push(team("large", 5, 800.0));
    let mut instance = Instance::new();
    instance.replay(&mut teams, 10_000);
    assert!(instance.shedder.shed_fraction() > 0.5);

    teams[20].rate = 0.0;
    instance.replay(&mut teams, 2_000);
    instance.replay(&mut teams, 5_000);

    assert_eq!(accepted_share(&teams), 1.0);
    assert_eq!(instance.shedder.shed_fraction(), 0.0);
}

// Guards against shed callers that return too soon, or all at the same moment.
#[test]
fn callers_return_later_and_apart_the_more_is_shed() {
    let mut teams = vec![team("large", 5, 900.0)];
    let mut instance = Instance::new();
    let before = instance.shedder.retry_after(0.5);

    instance.replay(&mut teams, 10_000);

    let during = [0.0, 0.5, 1.0].map(|draw| instance.shedder.retry_after(draw));
    assert!(during[1] > 4 * before, "{during:?} after {before}");
    assert!(during[2] > 2 * during[0], "{during:?}");
}

/// Records measurements each 100 ms over a time, and returns whether the instance counts as overloaded afterwards.
fn measure(readiness: &mut Readiness, delay: Millis, times: std::ops::Range<Millis>) -> bool {
    for now in times.step_by(100) {
        readiness.measured(delay, true, now);
    }
    readiness.is_overloaded()
}

// Guards against an instance that alternates between ready and not ready with each change of the delay.
#[test]
fn readiness_falls_and_returns_late() {
    let mut readiness = Readiness::new(LIMIT);

    let states = [
        measure(&mut readiness, 100, 0..2_000),
        measure(&mut readiness, 100, 2_000..2_200),
        measure(&mut readiness, 30, 2_200..6_000),
        measure(&mut readiness, 10, 6_000..9_000),
        measure(&mut readiness, 10, 9_000..9_200),
    ];

    assert_eq!(states, [false, true, true, true, false]);
}

// Guards against an instance that leaves because it was paused twice, or because nothing was measured for long.
#[test]
fn pauses_do_not_end_readiness() {
    let mut readiness = Readiness::new(LIMIT);

    readiness.measured(3_000, true, 3_000);
    readiness.measured(3_000, true, 8_000);
    readiness.measured(1, true, 8_001);

    assert!(!readiness.is_overloaded());
}

// Guards against a failure domain that goes out as a whole, also while its clocks differ.
#[yare::parameterized(
    one = { 1, 0 }, two = { 2, 1 }, three = { 3, 1 }, seven = { 7, 1 }, eight = { 8, 2 }, ninety = { 90, 22 },
)]
fn few_instances_of_a_domain_are_unready_at_once(count: usize, most: usize) {
    let names: Vec<_> = (0..count).map(|index| format!("e{index}")).collect();
    let names: Vec<_> = names.iter().map(|name| &**name).collect();
    let unready_at = |time: Millis| {
        // Every other clock is 3 s behind.
        let clock = |index: usize| time - 3_000 * (index as Millis % 2);
        let all = names.iter().enumerate();
        all.filter(|(index, name)| may_be_unready(name, &names, clock(*index)))
            .count()
    };

    let counts: Vec<_> = (30_000..150_000).step_by(1_000).map(unready_at).collect();

    assert_eq!(counts.iter().max(), Some(&most));
}
