//! The ages of configuration and list at one instance stay below their limit, whatever its sources do, in simulated
//! time.

use std::net::SocketAddr;

use kernel::Millis;
use plat::Item;
use proptest::prelude::*;
use spread::Action;
use spread::ConfigUse;
use spread::ConfirmAction;
use spread::Confirmation;
use spread::Follower;
use spread::PollFailure;
use spread::TreePosition;
use spread::View;
use spread::confirmation::ATTEMPT_TIME;
use spread::timing::CHANGE_REPLY_SLACK;
use spread::timing::MIN_READ_PAUSE;
use spread::timing::READ_INTERVAL;

/// Longest time that an answer of the platform takes while it can be reached, in milliseconds.
const MAX_ANSWER_TIME: Millis = 400;

/// Duration of a simulation, in milliseconds.
const SIMULATED_TIME: Millis = 30_000;

/// What a polled source does.
#[derive(Clone, Copy, Debug)]
enum SourceBehavior {
    /// Replies after this time, at most the wait, with data of this age, in milliseconds.
    Update(Millis, Millis),
    /// Has no update.
    NoUpdate,
    /// Reports that the platform does not answer.
    Mistaken,
    /// Does not reply, and its connections stay open.
    Silent,
    /// Closes the connection at once.
    Dead,
}

/// What happens in a simulation. The elements of each list are used one after the other and then again.
#[derive(Clone, Debug)]
struct Schedule {
    /// Time within which a change has to take effect, in milliseconds.
    limit: Millis,
    sources: usize,
    depth: u32,
    replies: Vec<SourceBehavior>,
    /// Durations of answers of the platform, in milliseconds.
    answers: Vec<Millis>,
    /// When the platform can be reached by nobody, as times of begin and end in milliseconds.
    outages: Vec<(Millis, Millis)>,
}

impl Schedule {
    fn is_reachable(&self, now: Millis) -> bool {
        let is_out = |(begin, end): &(Millis, Millis)| (*begin..*end).contains(&now);
        !self.outages.iter().any(is_out)
    }

    /// Returns whether the platform could be reached for a time up to now.
    fn is_reachable_for(&self, time: Millis, now: Millis) -> bool {
        let overlaps = |(begin, end): &(Millis, Millis)| *begin <= now && *end + time > now;
        now >= time && !self.outages.iter().any(overlaps)
    }
}

/// What the loop that polls and reads waits for.
#[derive(Clone, Copy, Debug)]
enum Pending {
    Round,
    Reply(SourceBehavior),
    Read { began: Millis, is_answered: bool },
}

/// An instance whose sources and platform follow a schedule.
struct Instance {
    schedule: Schedule,
    now: Millis,
    follower: Follower,
    confirmation: Confirmation,
    replica: spread::Replica,
    /// When the list was last read, here or by a source.
    list_read: Millis,
    pending: (Millis, Pending),
    round_start: Millis,
    /// The end of the attempt to confirm that is under way, its begin and whether it succeeds.
    attempt: Option<(Millis, Millis, bool)>,
    drawn: usize,
}

impl Instance {
    fn new(schedule: Schedule) -> Self {
        let mut replica = spread::Replica::default();
        replica.set_configuration(Some(config(1)), 0);
        Self {
            confirmation: Confirmation::new("n1", schedule.limit),
            schedule,
            now: 0,
            follower: Follower::default(),
            replica,
            list_read: 0,
            pending: (0, Pending::Round),
            round_start: 0,
            attempt: None,
            drawn: 0,
        }
    }

    fn draw<T: Copy>(&mut self, list: impl Fn(&Schedule) -> &[T]) -> T {
        self.drawn += 1;
        let list = list(&self.schedule);
        list[self.drawn % list.len()]
    }

    fn view(&self) -> View {
        let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
        View {
            me: "n1".into(),
            domain: "d".into(),
            position: TreePosition {
                sources: (1..=self.schedule.sources as u16).map(addr).collect(),
                depth: self.schedule.depth,
                ..TreePosition::default()
            },
            members: [].into(),
            entries: 20,
            age: Some(self.now - self.list_read),
            limit: self.schedule.limit,
            random: 0,
        }
    }

    fn perform(&mut self, action: Action) {
        let now = self.now;
        self.pending = match action {
            Action::Poll(_, wait) => {
                let behavior = self.draw(|schedule| &schedule.replies);
                let duration = match behavior {
                    SourceBehavior::Update(delay, _) => delay.min(wait),
                    SourceBehavior::NoUpdate | SourceBehavior::Mistaken => wait,
                    SourceBehavior::Silent => wait + CHANGE_REPLY_SLACK,
                    SourceBehavior::Dead => 1,
                };
                (now + duration, Pending::Reply(behavior))
            }
            Action::Read => {
                let is_answered = self.schedule.is_reachable(now);
                let duration = match is_answered {
                    true => self.draw(|schedule| &schedule.answers),
                    false => ATTEMPT_TIME,
                };
                let began = now;
                (now + duration, Pending::Read { began, is_answered })
            }
            Action::Pause => (self.next_round(0), Pending::Round),
        };
    }

    fn next_round(&self, pause: Millis) -> Millis {
        (self.round_start + READ_INTERVAL).max(self.now + pause)
    }

    /// Handles what the loop has waited for.
    fn advance(&mut self) {
        let now = self.now;
        match self.pending.1 {
            Pending::Round => {
                self.round_start = now;
                let action = self.follower.begin_round(&self.view(), now);
                self.perform(action);
            }
            Pending::Reply(SourceBehavior::Update(_, age)) => {
                let at = now.saturating_sub(age);
                self.list_read = self.list_read.max(at);
                self.replica.set_configuration(Some(config(1)), at);
                self.follower.update_received();
                // The next round begins at once, with the source's next data a moment later.
                self.pending = (now + 1, Pending::Round);
            }
            Pending::Reply(behavior) => {
                let failure = match behavior {
                    SourceBehavior::Mistaken => PollFailure::PlatformUnreachable,
                    SourceBehavior::NoUpdate => PollFailure::NoUpdate,
                    _ => PollFailure::NoReply,
                };
                let action = self.follower.poll_failed(&self.view(), failure, now);
                self.perform(action);
            }
            Pending::Read { began, is_answered } => {
                self.follower.read_ended(now - began, is_answered, now);
                if is_answered {
                    self.list_read = now;
                }
                self.pending = (self.next_round(MIN_READ_PAUSE), Pending::Round);
            }
        }
    }

    /// Begins or ends an attempt to confirm the configuration.
    fn confirm(&mut self) {
        let now = self.now;
        if let Some((end, began, is_answered)) = self.attempt {
            if now < end {
                return;
            }
            self.attempt = None;
            if is_answered {
                self.replica.set_configuration(Some(config(1)), began);
                self.confirmation.succeeded();
            } else {
                self.confirmation.failed(began, now);
            }
        }
        if self.confirmation.next(self.replica.config_age(now), now) == ConfirmAction::Confirm {
            let is_answered = self.schedule.is_reachable(now);
            let duration = match is_answered {
                true => self.draw(|schedule| &schedule.answers),
                false => ATTEMPT_TIME,
            };
            self.attempt = Some((now + duration, now, is_answered));
        }
    }

    /// Handles all that is due, one millisecond after the other. `check` gets the instance after each.
    fn run(
        mut self,
        check: impl Fn(&Self) -> Result<(), TestCaseError>,
    ) -> Result<(), TestCaseError> {
        while self.now < SIMULATED_TIME {
            while self.pending.0 <= self.now {
                self.advance();
            }
            self.confirm();
            check(&self)?;
            self.now += 1;
        }
        Ok(())
    }
}

fn config(rev: i64) -> Item {
    Item {
        key: "plan".into(),
        value: Vec::new(),
        rev,
    }
}

fn behavior() -> impl Strategy<Value = SourceBehavior> {
    prop_oneof![
        (0..900_u64, 0..4_000_u64).prop_map(|(delay, age)| SourceBehavior::Update(delay, age)),
        Just(SourceBehavior::NoUpdate),
        Just(SourceBehavior::Mistaken),
        Just(SourceBehavior::Silent),
        Just(SourceBehavior::Dead),
    ]
}

prop_compose! {
    fn schedule(max_outages: usize)(
        limit in prop::sample::select(vec![2_000, 3_000, 4_000, 5_000]),
        sources in 1..4_usize,
        depth in 0..3_u32,
        replies in prop::collection::vec(behavior(), 1..12),
        answers in prop::collection::vec(1..=MAX_ANSWER_TIME, 1..5),
        outages in prop::collection::vec((0..25_000_u64, 50..4_000_u64), 0..=max_outages),
    ) -> Schedule {
        let outages = outages.into_iter().map(|(begin, time)| (begin, begin + time)).collect();
        Schedule { limit, sources, depth, replies, answers, outages }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    // Guards against a configuration that is out of force for longer than its limit at an instance that can reach the
    // platform: sources that are silent, dead, behind and mistaken, in any order, and outages of the platform.
    #[test]
    fn the_age_of_a_configuration_is_bounded_whatever_the_sources_do(schedule in schedule(4)) {
        let limit = schedule.limit;
        // An attempt that began before the platform could be reached, the pause after it, and an answer.
        let recovery = limit + 1_000;
        Instance::new(schedule).run(|instance| {
            let age = instance.replica.config_age(instance.now).unwrap_or(Millis::MAX);
            let must_hold = instance.schedule.is_reachable_for(recovery, instance.now);
            prop_assert!(!must_hold || age < limit, "{age} ms at {} ms", instance.now);
            Ok(())
        })?;
    }

    // The same for the list of upstreams, with a platform that can always be reached.
    #[test]
    fn the_age_of_a_list_is_bounded_whatever_the_sources_do(schedule in schedule(0)) {
        let limit = schedule.limit;
        Instance::new(schedule).run(|instance| {
            let age = instance.now - instance.list_read;
            prop_assert!(age < limit, "{age} ms at {} ms", instance.now);
            Ok(())
        })?;
    }
}

// Guards against requests that each wait for a confirmation at an instance without processor time: its attempts are all
// held up, and none of them counts as failed.
#[test]
fn requests_wait_for_two_attempts_at_most_that_are_held_up() {
    let mut confirmation = Confirmation::new("n1", 2_000);
    let held_up = 2 * ATTEMPT_TIME;

    confirmation.failed(10_000, 10_000 + held_up);
    let after_one = confirmation.config_use(Some(3_000), 10_000 + held_up);
    confirmation.failed(12_000, 12_000 + held_up);
    let after_two = confirmation.config_use(Some(5_000), 12_000 + held_up);

    assert_eq!(after_one, ConfigUse::Confirmed);
    assert_eq!(after_two, ConfigUse::Held);
}
