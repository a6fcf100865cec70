//! Whom an instance asks next for news, and when it reads the platform for itself.
//!
//! Load pattern: the source of hundreds of instances is slow, gone or turned away by the platform. Each of them asks
//! the next one beside it, then any other, and only the first ones of each failure domain read at once; the rest
//! have their turns, so that the platform's link is left to those whose reads are passed on.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;

use crate::Member;
use crate::TreePosition;
use crate::read_budget;

/// Time within which the reader that an instance follows has to have newer news, in milliseconds:
/// somewhat more than the time between two reads.
const WAIT: Millis = 1_050;

/// Time that an instance waits longer than whom it follows, in milliseconds: so that one that is gone is
/// noticed first by those who follow it, and the others hear of it from them.
const STEP: Millis = 250;

/// Rounds of which one is used for a read while the sources of a follower say that the platform does
/// not answer; it may be those alone that are turned away.
const BLIND: u32 = 3;

/// Time that a read of its own takes from which a follower does not read at once when its source is late, in
/// milliseconds. So slow a read means a long list or a busy platform, and then the source is late for the
/// same reason.
const SLOW: Millis = 500;

/// Rounds for which such a follower goes on asking before it reads.
const ROUNDS: u32 = 3;

/// Time for which a source that had nothing in time is not asked again, in milliseconds.
const SHUN: Millis = 3_000;

/// Others that are asked in one round: when half of all instances are lost at once, most of those that are left
/// find one that lives.
const OTHERS: u32 = 4;

/// What an instance knows that decides whom it asks.
#[derive(Clone, Debug)]
pub struct View {
    /// Its name.
    pub me: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where it stands.
    pub position: TreePosition,
    /// The instances that have entered.
    pub members: Arc<[Member]>,
    /// Entries of its list.
    pub entries: usize,
    /// A random number, for a choice among equals.
    pub random: u64,
}

impl View {
    /// Rounds of which this instance may use one for a read of its own.
    fn every(&self) -> u32 {
        let members = match self.position.is_partial {
            true => self.members.len().max(read_budget::MANY),
            false => self.members.len(),
        };
        read_budget::rounds_per_read(members, self.entries)
    }
}

/// What came of a question that brought no news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// The platform does not answer whoever was asked.
    PlatformUnreachable,
    /// It answers, and had none in time.
    NoUpdate,
    /// It did not answer.
    NoReply,
}

/// What an instance does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It asks another one that may wait so long for news, in milliseconds.
    Poll(SocketAddr, Millis),
    /// It reads the platform itself.
    Read,
    /// It begins anew after the time between two reads.
    Pause,
}

/// Who was asked last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    /// The source at a position.
    Source(usize),
    /// Any other instance.
    Other,
}

/// An instance that follows others.
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
///     me: "s3".into(), domain: "syd".into(), position, members: Arc::new([]), entries: 50, random: 0,
/// };
/// let mut follower = Follower::default();
/// assert_eq!(follower.begin_round(&view, 0), Action::Poll(addr(1), 1_050));
/// assert_eq!(follower.poll_failed(&view, PollFailure::NoReply, 100), Action::Poll(addr(2), 250));
/// // A few instances may all read.
/// assert_eq!(follower.poll_failed(&view, PollFailure::NoReply, 200), Action::Read);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Follower {
    /// Who was asked last, and where.
    last: Option<(Asked, SocketAddr)>,
    /// Others that were asked in this round.
    others: u32,
    /// Until when sources are not asked.
    shunned: Map<SocketAddr, Millis>,
    /// Rounds in a row in which the platform answered nobody.
    blind: u32,
    /// Time that its last read of its own took, in milliseconds.
    took: Millis,
    /// Rounds in a row in which its source was late.
    late: u32,
    /// Rounds in a row in which nobody told it anything.
    lacked: u32,
}

impl Follower {
    /// Begins a round.
    pub fn begin_round(&mut self, view: &View, now: Millis) -> Action {
        if view.position.sources.is_empty() {
            return Action::Read;
        }
        self.shunned.retain(|_, until| now < *until);
        self.others = 0;
        self.last = None;
        self.ask_next(view, 0, PollFailure::NoReply, now)
    }

    /// Notes that news came.
    pub fn update_received(&mut self) {
        (self.late, self.lacked, self.blind) = (0, 0, 0);
    }

    /// Notes a read of its own and the time that it took, in milliseconds.
    pub fn read_took(&mut self, took: Millis) {
        self.took = took;
    }

    /// Notes that the last question brought no news.
    pub fn poll_failed(&mut self, view: &View, lack: PollFailure, now: Millis) -> Action {
        let Some((asked, addr)) = self.last else {
            return self.decide(view, lack, now);
        };
        let is_main = asked == Asked::Source(0);
        let patient = lack == PollFailure::NoUpdate && self.is_patient();
        // Whoever may not read waits where it is: its source hears sooner or later.
        let is_late = lack == PollFailure::NoUpdate && is_main && !patient && may_read(view);
        if is_late || lack == PollFailure::NoReply {
            self.avoid(addr, now);
        }
        match asked {
            Asked::Source(_) if patient && is_main => self.decide(view, lack, now),
            Asked::Source(at) => self.ask_next(view, at + 1, lack, now),
            Asked::Other if lack == PollFailure::NoReply => self.ask_other(view, lack, now),
            Asked::Other => self.decide(view, lack, now),
        }
    }

    /// Asks the next source from a position on that has not been silent lately.
    fn ask_next(&mut self, view: &View, from: usize, lack: PollFailure, now: Millis) -> Action {
        let mut sources = view.position.sources.iter().enumerate().skip(from);
        let next = sources.find(|(_, addr)| !self.is_shunned(**addr));
        let Some((at, addr)) = next.filter(|(at, _)| *at < 2 || !may_read(view)) else {
            return self.ask_other(view, lack, now);
        };
        // Whoever is asked after another one has heard of it as well by now, and asks others or reads.
        let wait = match self.last {
            None => wait(&view.position),
            Some(_) => STEP,
        };
        self.last = Some((Asked::Source(at), *addr));
        Action::Poll(*addr, wait)
    }

    /// Asks any other instance where this one may not read at once.
    fn ask_other(&mut self, view: &View, lack: PollFailure, now: Millis) -> Action {
        let may_ask = lack == PollFailure::NoReply && !may_read(view) && self.others < OTHERS;
        match self.pick_other(view).filter(|_| may_ask) {
            Some(other) => {
                self.others += 1;
                self.last = Some((Asked::Other, other));
                Action::Poll(other, STEP)
            }
            None => self.decide(view, lack, now),
        }
    }

    fn decide(&mut self, view: &View, lack: PollFailure, now: Millis) -> Action {
        self.lacked += 1;
        if lack != PollFailure::PlatformUnreachable {
            self.blind = 0;
        }
        let is_turn = read_budget::is_turn(&view.me, self.lacked, view.every());
        match (lack, view.position.sources.first()) {
            // With nobody else to follow it is the first ones that have to find out, at full pace.
            (PollFailure::PlatformUnreachable, Some(main)) if view.position.is_head => {
                self.avoid(*main, now);
                Action::Read
            }
            (PollFailure::PlatformUnreachable, _) => match self.waits() && is_turn {
                true => Action::Read,
                false => Action::Pause,
            },
            (PollFailure::NoUpdate, _) if self.trusts() => Action::Pause,
            _ if view.position.is_head || is_turn => Action::Read,
            _ => Action::Pause,
        }
    }

    /// Any other instance that has not been silent lately, of the same failure domain if there is one.
    pub fn pick_other(&self, view: &View) -> Option<SocketAddr> {
        let is_other = |one: &&Member| {
            one.reads && one.owner.instance != view.me && !self.is_shunned(one.addr)
        };
        let others: Vec<_> = view.members.iter().filter(is_other).collect();
        let near = others.iter().filter(|one| one.domain == view.domain);
        let near: Vec<_> = near.copied().collect();
        let among = if near.is_empty() { others } else { near };
        let at = view.random as usize % among.len().max(1);
        among.get(at).map(|one| one.addr)
    }

    fn is_shunned(&self, addr: SocketAddr) -> bool {
        self.shunned.contains_key(&addr)
    }

    /// Asks an instance no more for a while.
    pub fn avoid(&mut self, addr: SocketAddr, now: Millis) {
        self.shunned.insert(addr, now + SHUN);
    }

    /// Tells whether a source that is late had better be asked again than the platform.
    fn is_patient(&self) -> bool {
        self.took >= SLOW && self.late < ROUNDS
    }

    /// Tells whether to go on asking a source that was late, and counts the round.
    fn trusts(&mut self) -> bool {
        let patient = self.is_patient();
        self.late = if patient { self.late + 1 } else { 0 };
        patient
    }

    /// Counts a round in which the platform answered nobody; tells whether enough have passed to look for itself.
    fn waits(&mut self) -> bool {
        self.blind = (self.blind + 1) % BLIND;
        self.blind == 0
    }
}

/// Tells whether an instance may read in any round, or as soon as its sources are silent.
fn may_read(view: &View) -> bool {
    view.position.is_head || view.every() == 1
}

/// Time that the first source of an instance may wait for news.
fn wait(place: &TreePosition) -> Millis {
    WAIT + STEP * Millis::from(place.depth)
}
