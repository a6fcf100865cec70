//! Decides which instance to poll next for updates, and when to read the platform instead.
//!
//! Load pattern: the source of hundreds of instances is slow, dead or refused by the platform. Each of them polls the
//! next source beside it and then any other instance. Only the heads of each failure domain read the platform at once.
//! The others take turns, so that the platform's link is free for those whose reads are passed on.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;

use crate::Member;
use crate::TreePosition;
use crate::read_budget;
use crate::timing::CHANGE_REPLY_SLACK;

/// Time within which the reader that an instance follows must have an update, in milliseconds: a little more than the
/// interval between reads.
const BASE_WAIT: Millis = 1_050;

/// Time that an instance waits longer than its source, in milliseconds, so that the direct followers of a dead
/// instance notice it first and poll others or read, and the instances below get the update from them.
const WAIT_PER_LEVEL: Millis = 250;

/// Eighths of the limit of the list's age at which an instance that may read does so, whatever it still could poll.
const READ_PARTS: Millis = 5;

/// Sixty-fourths of the limit by which each level reads later, so that the instances below get the update from those
/// above.
const LEVEL_PARTS: Millis = 5;

/// Shortest wait that is worth a poll, in milliseconds.
const MIN_WAIT: Millis = 50;

/// Rounds for each own read while the sources report that the platform is unreachable and an own read has failed, or
/// reads are rationed. Possibly the platform refuses only the sources.
const ROUNDS_PER_UNREACHABLE_READ: u32 = 3;

/// Duration of the last own read, in milliseconds, from which on a follower does not read at once when its source has
/// no update. Such a read means a long list or a busy platform, which delays the source as well.
const SLOW_READ: Millis = 500;

/// Rounds for which such a follower keeps polling before it reads.
const MAX_PATIENT_ROUNDS: u32 = 3;

/// Time for which a source that failed to deliver is not polled again, in milliseconds.
const AVOID_TIME: Millis = 3_000;

/// Other instances that are polled in one round. With four, most survivors of the loss of half of all instances find a
/// live one.
const MAX_OTHERS_PER_ROUND: u32 = 4;

/// State of an instance on which the choice of whom to poll depends.
#[derive(Clone, Debug)]
pub struct View {
    /// Name of the instance.
    pub me: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its position in the distribution tree.
    pub position: TreePosition,
    /// The known members.
    pub members: Arc<[Member]>,
    /// Number of entries in its list.
    pub entries: usize,
    /// Age of its list, in milliseconds; [`None`] without one.
    pub age: Option<Millis>,
    /// Time within which a change has to take effect, in milliseconds.
    pub limit: Millis,
    /// A random number that selects one of several equal candidates.
    pub random: u64,
}

impl View {
    /// Time until the instance has to read the platform, if it may, in milliseconds: the waits of polls and reads must
    /// not add up beyond the limit. [`None`] without a list.
    fn time_left(&self) -> Option<Millis> {
        let age = self.age?;
        let due = self.limit * READ_PARTS / 8;
        let levels = self.limit * LEVEL_PARTS / 64 * Millis::from(self.position.depth);
        Some((due + levels).saturating_sub(age))
    }

    /// Number of rounds in which this instance may read the platform once.
    fn rounds_per_read(&self) -> u32 {
        let members = match self.position.is_partial {
            true => self.members.len().max(read_budget::ASSUMED_MEMBERS),
            false => self.members.len(),
        };
        read_budget::rounds_per_read(members, self.entries)
    }
}

/// Why a poll brought no update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The polled instance gets no answer from the platform.
    PlatformUnreachable,
    /// The polled instance replied, and had no update within the wait.
    NoUpdate,
    /// The polled instance did not reply.
    NoReply,
}

impl PollFailure {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::PlatformUnreachable => "platform unreachable",
            Self::NoUpdate => "no update",
            Self::NoReply => "no reply",
        }
    }
}

/// What an instance does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Poll the instance at this address, which may wait this long for an update, in milliseconds.
    Poll(SocketAddr, Millis),
    /// Read the platform.
    Read,
    /// Begin a new round when the interval between reads has passed.
    Pause,
}

/// The kind of instance that was polled last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Polled {
    /// The source at this index.
    Source(usize),
    /// An instance that is not among the sources.
    Other,
}

/// An instance that receives its updates from others.
///
/// # Examples
///
/// ```
/// use spread::follower::{Follower, PollFailure, Action, View};
/// use spread::TreePosition;
/// use std::sync::Arc;
///
/// let addr = |port: u16| ([127, 0, 0, 1], port).into();
/// let position = TreePosition { sources: vec![addr(1), addr(2)], ..TreePosition::default() };
/// let view = View {
///     me: "s3".into(), domain: "syd".into(), position, members: Arc::new([]), entries: 50, age: Some(20),
///     limit: 2_000, random: 0,
/// };
/// let mut follower = Follower::default();
/// // A poll may take no longer than until the list has to be read.
/// assert_eq!(follower.begin_round(&view, 0), Action::Poll(addr(1), 1_030));
/// assert_eq!(follower.poll_failed(&view, PollFailure::NoReply, 100), Action::Poll(addr(2), 250));
/// // A few instances may all read at once.
/// assert_eq!(follower.poll_failed(&view, PollFailure::NoReply, 200), Action::Read);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Follower {
    /// The instance that was polled last, and its address.
    last: Option<(Polled, SocketAddr)>,
    /// Other instances that were polled in this round.
    others: u32,
    /// Addresses that are not polled, each until the given time.
    avoided: Map<SocketAddr, Millis>,
    /// Consecutive rounds in which the platform was reported unreachable.
    unreachable_rounds: u32,
    /// Duration of the last own read, in milliseconds.
    last_read: Millis,
    /// When the last own read failed, unless a later one has not.
    read_failed: Option<Millis>,
    /// Consecutive rounds in which the source had no update.
    stale_rounds: u32,
    /// Consecutive rounds without an update.
    failed_rounds: u32,
}

impl Follower {
    /// Begins a round.
    pub fn begin_round(&mut self, view: &View, now: Millis) -> Action {
        if view.position.sources.is_empty() {
            return Action::Read;
        }
        self.avoided.retain(|_, until| now < *until);
        self.others = 0;
        self.last = None;
        self.poll_next(view, 0, PollFailure::NoReply, now)
    }

    /// Records that an update arrived.
    pub fn update_received(&mut self) {
        (
            self.stale_rounds,
            self.failed_rounds,
            self.unreachable_rounds,
        ) = (0, 0, 0);
    }

    /// Records an own read that ended at `now`, its duration in milliseconds, and whether the platform answered.
    pub fn read_ended(&mut self, duration: Millis, is_answered: bool, now: Millis) {
        self.last_read = duration;
        self.read_failed = (!is_answered).then_some(now);
    }

    /// Returns whether a read by this instance would bring an update in time: it may read, the list is short, and its
    /// own last read has not failed within the limit. What its sources say of the platform is no reason not to read.
    fn reads_help(&self, view: &View, now: Millis) -> bool {
        let has_failed = self.read_failed.is_some_and(|at| now < at + view.limit);
        may_read(view) && !has_failed && self.last_read < SLOW_READ
    }

    /// Records that the last poll failed, and returns what to do next.
    pub fn poll_failed(&mut self, view: &View, failure: PollFailure, now: Millis) -> Action {
        let Some((polled, addr)) = self.last else {
            return self.read_or_pause(view, failure, now);
        };
        let is_parent = polled == Polled::Source(0);
        let patient = failure == PollFailure::NoUpdate && self.is_patient();
        // An instance that may not read keeps its source, which gets the update sooner or later.
        let is_stale = failure == PollFailure::NoUpdate && is_parent && !patient && may_read(view);
        if is_stale || failure == PollFailure::NoReply {
            self.avoid(addr, now);
        }
        match polled {
            Polled::Source(_) if patient && is_parent => self.read_or_pause(view, failure, now),
            Polled::Source(at) => self.poll_next(view, at + 1, failure, now),
            Polled::Other if failure == PollFailure::NoReply => self.poll_other(view, failure, now),
            Polled::Other => self.read_or_pause(view, failure, now),
        }
    }

    /// Polls the first source from an index on that is not avoided.
    fn poll_next(&mut self, view: &View, from: usize, failure: PollFailure, now: Millis) -> Action {
        let mut sources = view.position.sources.iter().enumerate().skip(from);
        let next = sources.find(|(_, addr)| !self.is_avoided(**addr));
        let Some((at, addr)) = next.filter(|(at, _)| *at < 2 || !may_read(view)) else {
            return self.poll_other(view, failure, now);
        };
        // By now the next source has noticed the failure too, and polls others or reads, so a short wait suffices.
        let wait = match self.last {
            None => wait(&view.position),
            Some(_) => WAIT_PER_LEVEL,
        };
        let left = view.time_left().filter(|_| self.reads_help(view, now));
        let wait =
            wait.min(left.map_or(Millis::MAX, |left| left.saturating_sub(CHANGE_REPLY_SLACK)));
        if wait < MIN_WAIT {
            return Action::Read;
        }
        self.last = Some((Polled::Source(at), *addr));
        Action::Poll(*addr, wait)
    }

    /// Polls any other instance if this one may not read at once.
    fn poll_other(&mut self, view: &View, failure: PollFailure, now: Millis) -> Action {
        let may_poll = failure == PollFailure::NoReply
            && !may_read(view)
            && self.others < MAX_OTHERS_PER_ROUND;
        match self.pick_other(view).filter(|_| may_poll) {
            Some(other) => {
                self.others += 1;
                self.last = Some((Polled::Other, other));
                Action::Poll(other, WAIT_PER_LEVEL)
            }
            None => self.read_or_pause(view, failure, now),
        }
    }

    fn read_or_pause(&mut self, view: &View, failure: PollFailure, now: Millis) -> Action {
        self.failed_rounds += 1;
        if failure != PollFailure::PlatformUnreachable {
            self.unreachable_rounds = 0;
        }
        let is_turn = read_budget::is_turn(&view.me, self.failed_rounds, view.rounds_per_read());
        match (failure, view.position.sources.first()) {
            // The heads have no one else to follow and have to find out whether the platform is back, so they read in
            // each round.
            (PollFailure::PlatformUnreachable, Some(parent)) if view.position.is_head => {
                self.avoid(*parent, now);
                Action::Read
            }
            (PollFailure::PlatformUnreachable, _) if self.reads_help(view, now) => Action::Read,
            (PollFailure::PlatformUnreachable, _) => match self.unreachable_read_due() && is_turn {
                true => Action::Read,
                false => Action::Pause,
            },
            (PollFailure::NoUpdate, _) if self.keep_polling() => Action::Pause,
            _ if view.position.is_head || is_turn => Action::Read,
            _ => Action::Pause,
        }
    }

    /// Picks another instance that is not avoided, of the same failure domain if there is one.
    pub fn pick_other(&self, view: &View) -> Option<SocketAddr> {
        let is_other = |member: &&Member| {
            member.is_reader && member.owner.instance != view.me && !self.is_avoided(member.addr)
        };
        let others: Vec<_> = view.members.iter().filter(is_other).collect();
        let near = others.iter().filter(|member| member.domain == view.domain);
        let near: Vec<_> = near.copied().collect();
        let candidates = if near.is_empty() { others } else { near };
        let at = view.random as usize % candidates.len().max(1);
        candidates.get(at).map(|member| member.addr)
    }

    fn is_avoided(&self, addr: SocketAddr) -> bool {
        self.avoided.contains_key(&addr)
    }

    /// Stops polling an instance for a while.
    pub fn avoid(&mut self, addr: SocketAddr, now: Millis) {
        self.avoided.insert(addr, now + AVOID_TIME);
    }

    /// Returns whether polling a source that had no update again is better than reading the platform.
    fn is_patient(&self) -> bool {
        self.last_read >= SLOW_READ && self.stale_rounds < MAX_PATIENT_ROUNDS
    }

    /// Returns whether to keep polling a source that had no update, and counts the round.
    fn keep_polling(&mut self) -> bool {
        let patient = self.is_patient();
        self.stale_rounds = if patient { self.stale_rounds + 1 } else { 0 };
        patient
    }

    /// Counts a round in which the platform was reported unreachable; returns whether an own read is due.
    fn unreachable_read_due(&mut self) -> bool {
        self.unreachable_rounds = (self.unreachable_rounds + 1) % ROUNDS_PER_UNREACHABLE_READ;
        self.unreachable_rounds == 0
    }
}

/// Returns whether an instance may read in any round, or as soon as its sources do not reply.
fn may_read(view: &View) -> bool {
    view.position.is_head || view.rounds_per_read() == 1
}

/// Time that the first source of an instance may wait for an update.
fn wait(position: &TreePosition) -> Millis {
    BASE_WAIT + WAIT_PER_LEVEL * Millis::from(position.depth)
}
