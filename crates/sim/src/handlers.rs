//! Handlers of the events of an instance.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Millis;
use plat::paged_list;
use rand::Rng;
use spread::Action;
use spread::Member;
use spread::PollFailure;
use spread::Update;
use spread::read_budget;
use spread::timing;

use crate::Simulation;
use crate::event::EventKind;
use crate::event::Poll;
use crate::model::MICROS_PER_MS;
use crate::node;

/// Time that an instance takes to join after its start, in milliseconds; its first read of the members follows.
const JOIN_DELAY_MS: u64 = 30;

/// Maximum number of reads of the members after a start. Reading stops once an update has delivered the members.
const MAX_STARTUP_READS: u32 = 5;

/// Size of a member's entry on the platform's link, in bytes.
const MEMBER_BYTES: u64 = 200;

/// Returns the delay from a start until the read of the members with this number, in milliseconds. The pause between
/// reads doubles with each read.
fn member_read_delay(number: u32) -> u64 {
    JOIN_DELAY_MS + timing::FIRST_MEMBER_POLL * ((1 << number) - 1)
}

impl Simulation {
    /// Handles an event of the instance at `index`; an instance that does not run ignores all but its start.
    pub(crate) fn handle(&mut self, index: usize, kind: EventKind) {
        if matches!(kind, EventKind::Start) {
            self.start_node(index);
        }
        if !self.nodes[index].alive {
            return;
        }
        match kind {
            EventKind::Start => (),
            EventKind::ReadMembers => self.read_members(index),
            EventKind::BeginRound => self.begin_round(index),
            EventKind::Poll(poll) => self.on_poll(index, poll),
            EventKind::WaitExpired(number) => self.on_wait_expired(index, number),
            EventKind::Reply(number, reply) => self.on_reply(index, number, *reply),
            EventKind::Timeout(number) => self.on_reply(index, number, Err(PollFailure::NoReply)),
            EventKind::ReadDone => self.on_read_done(index),
        }
    }

    fn start_node(&mut self, index: usize) {
        self.nodes[index].alive = true;
        for number in 0..MAX_STARTUP_READS {
            self.queue.add(
                self.now + member_read_delay(number) * MICROS_PER_MS,
                index,
                EventKind::ReadMembers,
            );
        }
        let first = self.now + (JOIN_DELAY_MS + timing::STARTUP_SETTLE) * MICROS_PER_MS;
        self.queue.add(first, index, EventKind::BeginRound);
    }

    /// Reads the members from the platform: all of them if they fit on one page, else the first page by name and
    /// the page that follows the instance's own name.
    fn read_members(&mut self, index: usize) {
        if self.nodes[index].replica.membership().is_some() {
            return;
        }
        let is_alive = |member: &&Member| {
            let node = self
                .indexes
                .get(&member.addr)
                .and_then(|index| self.nodes.get(*index));
            node.is_none_or(|node| node.alive)
        };
        let me = &self.nodes[index].member.owner.instance;
        let alive = self.by_name.iter().filter(is_alive);
        let count = alive.clone().count();
        let after_me = alive.clone().filter(|member| member.owner.instance > *me);
        let page_size = self.params.page_size;
        let listed = match count > page_size {
            true => alive
                .take(page_size)
                .chain(after_me.take(page_size))
                .cloned()
                .collect(),
            false => alive.cloned().collect::<Arc<[Member]>>(),
        };
        self.transfer(listed.len() as u64 * MEMBER_BYTES);
        match count > page_size {
            true => self.nodes[index].set_partial_members(listed),
            false => self.nodes[index].set_members(listed),
        }
    }

    /// Sends `bytes` over the platform's link and returns the time at which the last of them is sent, in microseconds.
    fn transfer(&mut self, bytes: u64) -> u64 {
        self.counts.link_bytes += bytes;
        self.link_free = self.link_free.max(self.now) + bytes * 1_000 / self.params.platform_rate;
        self.link_free
    }

    fn begin_round(&mut self, index: usize) {
        let now = self.now();
        let random_value = self.rng.random();
        let node = &mut self.nodes[index];
        node.round_start = self.now;
        let view = node.view(random_value, now);
        let action = node.follower.begin_round(&view, now);
        self.perform(index, action);
    }

    fn perform(&mut self, index: usize, action: Action) {
        match action {
            Action::Poll(addr, wait) => self.send_poll(index, addr, wait),
            Action::Read => self.start_read(index),
            Action::Pause => {
                let round_start = self.nodes[index].round_start;
                let next = (round_start + timing::READ_INTERVAL * MICROS_PER_MS).max(self.now);
                self.queue.add(next, index, EventKind::BeginRound);
            }
        }
    }

    fn send_poll(&mut self, index: usize, addr: SocketAddr, wait: Millis) {
        let (now, params) = (self.now(), self.params);
        let node = &mut self.nodes[index];
        node.last_poll += 1;
        node.poll_sent = now;
        let number = node.last_poll;
        let slack = timing::reply_slack(&node.replica);
        let poll = Poll {
            from: index,
            number,
            state: node.replica.sync_state(now),
            sent_at: now,
            wait,
        };
        let sent = node.send(&params, self.now, 0);
        let deadline = self.now + (wait + slack) * MICROS_PER_MS;
        self.queue.add(deadline, index, EventKind::Timeout(number));
        if let Some(to) = self.indexes.get(&addr) {
            self.queue
                .add(sent + params.hop, *to, EventKind::Poll(poll));
        }
    }

    /// Replies to a poll at once if there is an update for it, else holds it until there is one or its wait is over.
    fn on_poll(&mut self, index: usize, poll: Poll) {
        if self.try_reply(index, poll) {
            return;
        }
        self.nodes[index].pending.push(poll);
        let expiry = self.now + poll.wait * MICROS_PER_MS;
        self.queue
            .add(expiry, index, EventKind::WaitExpired(poll.number));
    }

    /// Replies to a poll if there is an update for it, and returns whether there was one.
    fn try_reply(&mut self, index: usize, poll: Poll) -> bool {
        let now = self.now();
        let mut state = poll.state;
        let held = now - poll.sent_at;
        state.age = state.age.map(|age| age + held);
        state.config_age = state.config_age.map(|age| age + held);
        let node = &self.nodes[index];
        if !node.replica.has_more(state, now) {
            return false;
        }
        let update = node.replica.update_since(state, now);
        self.send_reply(index, poll, Ok(Update { held, ..update }));
        true
    }

    fn send_reply(&mut self, index: usize, poll: Poll, reply: Result<Update, PollFailure>) {
        let bytes = reply.as_ref().map_or(0, node::update_bytes);
        let (params, now) = (self.params, self.now);
        let arrival = self.nodes[index].send(&params, now, bytes) + params.hop;
        let entries = reply.as_ref().map_or(0, |update| update.items.len());
        let done = self.nodes[poll.from].process(&params, arrival, entries);
        let kind = EventKind::Reply(poll.number, Box::new(reply));
        self.queue.add(done, poll.from, kind);
    }

    /// Replies with a failure to a poll that is still held when its wait is over.
    fn on_wait_expired(&mut self, index: usize, number: u64) {
        let pending = &mut self.nodes[index].pending;
        let Some(found) = pending.iter().position(|poll| poll.number == number) else {
            return;
        };
        let poll = pending.swap_remove(found);
        let failure = match self.nodes[index].served {
            true => PollFailure::NoUpdate,
            false => PollFailure::PlatformUnreachable,
        };
        self.send_reply(index, poll, Err(failure));
    }

    /// Handles the reply to the latest poll, or its timeout; a reply to an earlier poll is ignored.
    fn on_reply(&mut self, index: usize, number: u64, reply: Result<Update, PollFailure>) {
        if self.nodes[index].last_poll != number {
            return;
        }
        let now = self.now();
        let random_value = self.rng.random();
        let node = &mut self.nodes[index];
        node.last_poll += 1;
        match reply {
            Ok(update) => {
                node.replica.merge(&update, node.poll_sent + update.held);
                node.follower.update_received();
                self.replica_changed(index);
                self.begin_round(index);
            }
            Err(failure) => {
                let view = node.view(random_value, now);
                let action = node.follower.poll_failed(&view, failure, now);
                self.perform(index, action);
            }
        }
    }

    /// Takes over the members if they changed, and replies to the held polls that now have an update.
    fn replica_changed(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let members = node
            .replica
            .membership()
            .map(|membership| membership.members.clone());
        if let Some(members) = members.filter(|members| !Arc::ptr_eq(members, &node.members)) {
            node.set_members(members);
        }
        for poll in std::mem::take(&mut self.nodes[index].pending) {
            if !self.try_reply(index, poll) {
                self.nodes[index].pending.push(poll);
            }
        }
    }

    /// Starts a read of the platform's list. The time that it takes is the longer of the waits for its pages and
    /// the transfer over the platform's link.
    fn start_read(&mut self, index: usize) {
        if !self.nodes[index].served {
            let next = (self.nodes[index].round_start + timing::READ_INTERVAL * MICROS_PER_MS)
                .max(self.now + timing::MIN_READ_PAUSE * MICROS_PER_MS);
            self.queue.add(next, index, EventKind::BeginRound);
            return;
        }
        let replica_entries = self.nodes[index].replica.len();
        let pages = self
            .upstreams
            .read()
            .items
            .len()
            .div_ceil(self.params.page_size);
        // Without any entries the key ranges are unknown, so the pages are read one after the other.
        let rounds = if replica_entries == 0 {
            pages
        } else {
            pages.div_ceil(paged_list::MAX_CONCURRENT_READS)
        };
        let waits = rounds as u64 * (self.params.platform_latency + 2 * self.params.hop);
        let entries = pages * self.params.page_size;
        let transferred = self.transfer((entries * read_budget::ENTRY_BYTES) as u64);
        self.counts.reads += 1;
        self.queue.add(
            transferred.max(self.now + waits),
            index,
            EventKind::ReadDone,
        );
    }

    fn on_read_done(&mut self, index: usize) {
        let now = self.now();
        self.reads[index] += 1;
        let is_alive = |member: &&Member| {
            let node = self
                .indexes
                .get(&member.addr)
                .and_then(|index| self.nodes.get(*index));
            node.is_none_or(|node| node.alive)
        };
        if self.reads[index] % timing::READS_PER_MEMBER_READ == 1 {
            let members: Vec<_> = self.members.iter().filter(is_alive).cloned().collect();
            self.transfer(members.len() as u64 * MEMBER_BYTES);
            self.nodes[index].replica.set_members(members, now);
        }
        let round_start = self.nodes[index].round_start / MICROS_PER_MS;
        let node = &mut self.nodes[index];
        node.replica
            .apply_read(self.upstreams.read(), self.rng.random(), now);
        node.follower.read_ended(now - round_start, true, now);
        self.replica_changed(index);
        let next = (round_start + timing::READ_INTERVAL).max(now + timing::MIN_READ_PAUSE);
        self.queue
            .add(next * MICROS_PER_MS, index, EventKind::BeginRound);
    }
}
