//! One instance.

use std::sync::Arc;

use spread::Follower;
use spread::Member;
use spread::Removed;
use spread::Replica;
use spread::TreePosition;
use spread::Update;
use spread::View;
use spread::tree;

use crate::event::Question;
use crate::world::World;

/// Bytes of a message beside what it carries.
const HEAD: u64 = 300;

/// Bytes of an instance's entry in a message.
const MEMBER: u64 = 60;

/// An instance.
#[derive(Debug)]
pub struct Node {
    /// Its entry.
    pub member: Member,
    /// Whether it has entered and runs.
    pub alive: bool,
    /// Whether the platform serves it.
    pub served: bool,
    /// What it knows.
    pub board: Replica,
    /// Whom it asks.
    pub follower: Follower,
    /// The instances that it knows.
    pub members: Arc<[Member]>,
    /// Where it stands among them.
    pub place: TreePosition,
    /// Questions that wait here.
    pub waiting: Vec<Question>,
    /// The number of its last question.
    pub asked: u64,
    /// When its round began, in microseconds.
    pub begun: u64,
    /// Until when its link sends, in microseconds.
    pub sends: u64,
    /// Until when its processor is taken, in microseconds.
    pub works: u64,
    /// Bytes that it has sent.
    pub sent: u64,
    /// Messages that it has sent.
    pub messages: u64,
}

impl Node {
    /// An instance that has not started.
    pub fn new(member: Member) -> Self {
        Self {
            member,
            alive: false,
            served: true,
            board: Replica::default(),
            follower: Follower::default(),
            members: Arc::new([]),
            place: TreePosition::default(),
            waiting: Vec::new(),
            asked: 0,
            begun: 0,
            sends: 0,
            works: 0,
            sent: 0,
            messages: 0,
        }
    }

    /// Notes who has entered.
    pub fn met(&mut self, members: Arc<[Member]>) {
        self.place = tree::position(&members, &self.member.owner.instance, &self.member.domain);
        self.members = members;
    }

    /// Notes some of those that have entered.
    pub fn met_some(&mut self, some: Arc<[Member]>) {
        self.place = tree::partial_position(&some, &self.member);
        self.members = some;
    }

    /// What decides whom it asks.
    pub fn view(&self, dice: u64) -> View {
        View {
            me: self.member.owner.instance.clone(),
            domain: self.member.domain.clone(),
            position: self.place.clone(),
            members: self.members.clone(),
            entries: self.board.len(),
            random: dice,
        }
    }

    /// Whether it has much processor and a wide link.
    fn is_strong(&self) -> bool {
        self.member.centicores >= 50
    }

    /// Sends a message; gives when it has left, in microseconds.
    pub fn send(&mut self, world: &World, now: u64, bytes: u64) -> u64 {
        let rate = if self.is_strong() {
            world.wide
        } else {
            world.narrow
        };
        let bytes = bytes + HEAD;
        self.sends = self.sends.max(now) + bytes * 1_000 / rate;
        self.sent += bytes;
        self.messages += 1;
        self.sends
    }

    /// Takes in so many entries; gives when that is done, in microseconds.
    pub fn work(&mut self, world: &World, now: u64, entries: usize) -> u64 {
        let each = match self.is_strong() {
            true => world.entry / 4,
            false => world.entry,
        };
        self.works = self.works.max(now) + each * entries as u64;
        self.works
    }
}

/// Bytes of news in a message.
pub fn bytes(news: &Update) -> u64 {
    let items = news.items.iter();
    let items: usize = items
        .map(|item| item.key.len() + item.value.len() + 12)
        .sum();
    let gone = match &news.removed {
        Some(Removed::Keys(keys)) => keys.iter().map(String::len).sum(),
        Some(Removed::AllExcept(digests)) => digests.len() * 9,
        None => 0,
    };
    let members = news.members.as_ref().map_or(0, Vec::len) as u64;
    (items + gone) as u64 + members * MEMBER
}
