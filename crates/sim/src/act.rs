//! What happens to an instance, and what it does.

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

use crate::Play;
use crate::event::Question;
use crate::event::What;
use crate::node;
use crate::world::MS;

/// Time that entering takes after a start, in milliseconds.
const ENTER: u64 = 30;

/// Looks at who has entered after a start, as long as nobody tells it.
const LOOKS: u32 = 5;

/// Bytes of an instance's entry on the platform's link.
const MEMBER: u64 = 200;

/// Time after a start of a look at who has entered, in milliseconds: the pause doubles from look to look.
fn look(number: u32) -> u64 {
    ENTER + timing::FIRST_MEMBER_POLL * ((1 << number) - 1)
}

impl Play {
    pub(crate) fn happen(&mut self, at: usize, what: What) {
        if matches!(what, What::Start) {
            self.begin(at);
        }
        if !self.nodes[at].alive {
            return;
        }
        match what {
            What::Start => (),
            What::Meet => self.meet(at),
            What::Round => self.round(at),
            What::Question(question) => self.question(at, question),
            What::Over(number) => self.over(at, number),
            What::Answer(number, answer) => self.answer(at, number, *answer),
            What::Silence(number) => self.answer(at, number, Err(PollFailure::NoReply)),
            What::Read => self.read(at),
        }
    }

    fn begin(&mut self, at: usize) {
        self.nodes[at].alive = true;
        for number in 0..LOOKS {
            self.queue.add(self.now + look(number) * MS, at, What::Meet);
        }
        let first = self.now + (ENTER + timing::STARTUP_SETTLE) * MS;
        self.queue.add(first, at, What::Round);
    }

    /// Reads the entries of some instances.
    fn meet(&mut self, at: usize) {
        if self.nodes[at].board.membership().is_some() {
            return;
        }
        let entered = |one: &&Member| {
            let node = self.at.get(&one.addr).and_then(|at| self.nodes.get(*at));
            node.is_none_or(|node| node.alive)
        };
        let me = &self.nodes[at].member.owner.instance;
        let all = self.keys.iter().filter(entered);
        let count = all.clone().count();
        let behind = all.clone().filter(|one| one.owner.instance > *me);
        let page = self.world.page;
        let some = match count > page {
            true => all.take(page).chain(behind.take(page)).cloned().collect(),
            false => all.cloned().collect::<Arc<[Member]>>(),
        };
        self.carry(some.len() as u64 * MEMBER);
        match count > page {
            true => self.nodes[at].met_some(some),
            false => self.nodes[at].met(some),
        }
    }

    /// Has the platform's link carry something; gives when it has, in microseconds.
    fn carry(&mut self, bytes: u64) -> u64 {
        self.counts.carried += bytes;
        self.link = self.link.max(self.now) + bytes * 1_000 / self.world.store;
        self.link
    }

    fn round(&mut self, at: usize) {
        let now = self.now();
        let dice = self.rng.random();
        let node = &mut self.nodes[at];
        node.begun = self.now;
        let view = node.view(dice);
        let next = node.follower.begin_round(&view, now);
        self.act(at, next);
    }

    fn act(&mut self, at: usize, next: Action) {
        match next {
            Action::Poll(addr, wait) => self.ask(at, addr, wait),
            Action::Read => self.begin_read(at),
            Action::Pause => {
                let begun = self.nodes[at].begun;
                let next = (begun + timing::READ_INTERVAL * MS).max(self.now);
                self.queue.add(next, at, What::Round);
            }
        }
    }

    fn ask(&mut self, at: usize, addr: SocketAddr, wait: Millis) {
        let (now, world) = (self.now(), self.world);
        let node = &mut self.nodes[at];
        node.asked += 1;
        let number = node.asked;
        let slack = timing::reply_slack(&node.board);
        let question = Question {
            from: at,
            number,
            have: node.board.sync_state(now),
            asked: now,
            wait,
        };
        let sent = node.send(&world, self.now, 0);
        let silence = self.now + (wait + slack) * MS;
        self.queue.add(silence, at, What::Silence(number));
        if let Some(to) = self.at.get(&addr) {
            self.queue
                .add(sent + world.hop, *to, What::Question(question));
        }
    }

    fn question(&mut self, at: usize, question: Question) {
        if self.tell(at, question) {
            return;
        }
        self.nodes[at].waiting.push(question);
        let over = self.now + question.wait * MS;
        self.queue.add(over, at, What::Over(question.number));
    }

    /// Answers a question if there is something to tell.
    fn tell(&mut self, at: usize, question: Question) -> bool {
        let now = self.now();
        let mut have = question.have;
        have.age = have.age.map(|age| age + (now - question.asked));
        let node = &self.nodes[at];
        if !node.board.has_more(have, now) {
            return false;
        }
        let news = node.board.update_since(have, now);
        self.reply(at, question, Ok(news));
        true
    }

    fn reply(&mut self, at: usize, question: Question, answer: Result<Update, PollFailure>) {
        let bytes = answer.as_ref().map_or(0, node::bytes);
        let (world, now) = (self.world, self.now);
        let left = self.nodes[at].send(&world, now, bytes) + world.hop;
        let entries = answer.as_ref().map_or(0, |news| news.items.len());
        let done = self.nodes[question.from].work(&world, left, entries);
        let what = What::Answer(question.number, Box::new(answer));
        self.queue.add(done, question.from, what);
    }

    fn over(&mut self, at: usize, number: u64) {
        let waiting = &mut self.nodes[at].waiting;
        let Some(found) = waiting.iter().position(|one| one.number == number) else {
            return;
        };
        let question = waiting.swap_remove(found);
        let lack = match self.nodes[at].served {
            true => PollFailure::NoUpdate,
            false => PollFailure::PlatformUnreachable,
        };
        self.reply(at, question, Err(lack));
    }

    fn answer(&mut self, at: usize, number: u64, answer: Result<Update, PollFailure>) {
        if self.nodes[at].asked != number {
            return;
        }
        let now = self.now();
        let dice = self.rng.random();
        let node = &mut self.nodes[at];
        node.asked += 1;
        match answer {
            Ok(news) => {
                node.board.merge(&news, now);
                node.follower.update_received();
                self.changed(at);
                self.round(at);
            }
            Err(lack) => {
                let view = node.view(dice);
                let next = node.follower.poll_failed(&view, lack, now);
                self.act(at, next);
            }
        }
    }

    /// Tells whoever waits, and takes in who has entered.
    fn changed(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let roll = node.board.membership().map(|roll| roll.members.clone());
        if let Some(members) = roll.filter(|members| !Arc::ptr_eq(members, &node.members)) {
            node.met(members);
        }
        for question in std::mem::take(&mut self.nodes[at].waiting) {
            if !self.tell(at, question) {
                self.nodes[at].waiting.push(question);
            }
        }
    }

    fn begin_read(&mut self, at: usize) {
        if !self.nodes[at].served {
            let next = (self.nodes[at].begun + timing::READ_INTERVAL * MS)
                .max(self.now + timing::MIN_READ_PAUSE * MS);
            self.queue.add(next, at, What::Round);
            return;
        }
        let known = self.nodes[at].board.len();
        let pages = self.store.read().items.len().div_ceil(self.world.page);
        let turns = if known == 0 {
            pages
        } else {
            pages.div_ceil(paged_list::MAX_CONCURRENT_READS)
        };
        let waits = turns as u64 * (self.world.call + 2 * self.world.hop);
        let entries = pages * self.world.page;
        let carried = self.carry((entries * read_budget::ENTRY_BYTES) as u64);
        self.counts.reads += 1;
        self.queue
            .add(carried.max(self.now + waits), at, What::Read);
    }

    fn read(&mut self, at: usize) {
        let now = self.now();
        self.reads[at] += 1;
        let alive = |one: &&Member| {
            let node = self.at.get(&one.addr).and_then(|at| self.nodes.get(*at));
            node.is_none_or(|node| node.alive)
        };
        if self.reads[at] % timing::READS_PER_MEMBER_READ == 1 {
            let members: Vec<_> = self.all.iter().filter(alive).cloned().collect();
            self.carry(members.len() as u64 * MEMBER);
            self.nodes[at].board.set_members(members, now);
        }
        let begun = self.nodes[at].begun / MS;
        let node = &mut self.nodes[at];
        node.board
            .apply_read(self.store.read(), self.rng.random(), now);
        node.follower.read_took(now - begun);
        self.changed(at);
        let next = (begun + timing::READ_INTERVAL).max(now + timing::MIN_READ_PAUSE);
        self.queue.add(next * MS, at, What::Round);
    }
}
