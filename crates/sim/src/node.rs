//! A simulated instance.

use std::sync::Arc;

use kernel::Millis;
use spread::Follower;
use spread::Member;
use spread::Removed;
use spread::Replica;
use spread::TreePosition;
use spread::Update;
use spread::View;
use spread::tree;

use crate::event::Poll;
use crate::model::ModelParams;

/// Time within which a change has to take effect, in milliseconds.
const APPLY_LIMIT: Millis = 5_000;

/// Size of a message without its payload, in bytes.
const MESSAGE_OVERHEAD_BYTES: u64 = 300;

/// Size of a member in a message, in bytes.
const MEMBER_BYTES: u64 = 60;

/// A simulated instance: the product's replica and follower, with a modeled link and CPU.
#[derive(Debug)]
pub struct Node {
    /// Entry of this instance in the membership.
    pub member: Member,
    /// Whether the instance runs.
    pub alive: bool,
    /// Whether the platform answers its reads.
    pub served: bool,
    /// Replica of the platform's list.
    pub replica: Replica,
    /// Chooses which instance to poll, and when to read the platform.
    pub follower: Follower,
    /// The members known to this instance.
    pub members: Arc<[Member]>,
    /// Position of this instance in the tree of those members.
    pub position: TreePosition,
    /// Polls from other instances, held until there is an update to answer them with.
    pub pending: Vec<Poll>,
    /// Number of the latest poll; a higher number makes a late reply to an earlier poll invalid.
    pub last_poll: u64,
    /// When the latest poll was sent, in milliseconds.
    pub poll_sent: Millis,
    /// Start of the current round, in microseconds.
    pub round_start: u64,
    /// Time at which the link has sent everything queued, in microseconds.
    pub link_free: u64,
    /// Time at which the CPU has processed everything queued, in microseconds.
    pub cpu_free: u64,
    /// Number of bytes sent.
    pub sent: u64,
    /// Number of messages sent.
    pub messages: u64,
}

impl Node {
    /// Creates an instance that has not started yet.
    pub fn new(member: Member) -> Self {
        Self {
            member,
            alive: false,
            served: true,
            replica: Replica::default(),
            follower: Follower::default(),
            members: Arc::new([]),
            position: TreePosition::default(),
            pending: Vec::new(),
            last_poll: 0,
            poll_sent: 0,
            round_start: 0,
            link_free: 0,
            cpu_free: 0,
            sent: 0,
            messages: 0,
        }
    }

    /// Sets the full list of members and computes the position of this instance in their tree.
    pub fn set_members(&mut self, members: Arc<[Member]>) {
        self.position = tree::position(&members, &self.member.owner.instance, &self.member.domain);
        self.members = members;
    }

    /// Sets the members of a partial read and computes a provisional position of this instance in their tree.
    pub fn set_partial_members(&mut self, members: Arc<[Member]>) {
        self.position = tree::partial_position(&members, &self.member);
        self.members = members;
    }

    /// Returns the state from which the follower decides which instance to poll and when to read the platform.
    pub fn view(&self, random_value: u64, now: Millis) -> View {
        View {
            me: self.member.owner.instance.clone(),
            domain: self.member.domain.clone(),
            position: self.position.clone(),
            members: self.members.clone(),
            entries: self.replica.len(),
            age: self.replica.age(now),
            limit: APPLY_LIMIT,
            random: random_value,
        }
    }

    /// Returns whether this is a large instance: one with at least half a CPU core, and a faster link.
    fn is_large(&self) -> bool {
        self.member.centicores >= 50
    }

    /// Sends a message with `bytes` of payload and returns the time at which its last byte is sent, in
    /// microseconds.
    pub fn send(&mut self, params: &ModelParams, now: u64, bytes: u64) -> u64 {
        let rate = if self.is_large() {
            params.large_rate
        } else {
            params.small_rate
        };
        let bytes = bytes + MESSAGE_OVERHEAD_BYTES;
        self.link_free = self.link_free.max(now) + bytes * 1_000 / rate;
        self.sent += bytes;
        self.messages += 1;
        self.link_free
    }

    /// Applies a number of entries that arrive at `now` and returns the time at which that is done, both in microseconds.
    pub fn process(&mut self, params: &ModelParams, now: u64, entries: usize) -> u64 {
        let entry_cost = match self.is_large() {
            true => params.entry_cost / 4,
            false => params.entry_cost,
        };
        self.cpu_free = self.cpu_free.max(now) + entry_cost * entries as u64;
        self.cpu_free
    }
}

/// Returns the size of an update in a message, in bytes.
pub fn update_bytes(update: &Update) -> u64 {
    let items = update.items.iter();
    let items: usize = items
        .map(|item| item.key.len() + item.value.len() + 12)
        .sum();
    let removed = match &update.removed {
        Some(Removed::Keys(keys)) => keys.iter().map(String::len).sum(),
        Some(Removed::AllExcept(digests)) => digests.len() * 9,
        None => 0,
    };
    let members = update.members.as_ref().map_or(0, Vec::len) as u64;
    (items + removed) as u64 + members * MEMBER_BYTES
}
