//! A play: instances start, hear, read and are lost.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use spread::Member;

use crate::event::Queue;
use crate::event::What;
use crate::node::Node;
use crate::world;
use crate::world::MS;
use crate::world::Size;
use crate::world::Store;
use crate::world::World;

/// Time within which all start, in milliseconds.
const STARTS: u64 = 300;

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Reads of the whole list.
    pub reads: u64,
    /// Bytes that the platform's link carried.
    pub carried: u64,
}

/// The time until others have what one has, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// The first one.
    pub first: u64,
    /// The one in the middle.
    pub middle: u64,
    /// The last one.
    pub last: u64,
}

/// A play.
pub struct Play {
    /// The instances that are played.
    pub nodes: Vec<Node>,
    /// What was counted.
    pub counts: Counts,
    pub(crate) world: World,
    pub(crate) store: Store,
    pub(crate) all: Arc<[Member]>,
    /// The same by name.
    pub(crate) keys: Vec<Member>,
    pub(crate) at: Map<SocketAddr, usize>,
    pub(crate) queue: Queue,
    pub(crate) now: u64,
    /// Until when the platform's link is taken, in microseconds.
    pub(crate) link: u64,
    pub(crate) reads: Vec<u64>,
    pub(crate) rng: StdRng,
}

impl Play {
    /// Begins a play in which all instances start together.
    pub fn start(size: Size, seed: u64) -> Self {
        let all = world::members(size);
        let nodes: Vec<_> = all.iter().cloned().map(Node::new).collect();
        let at = nodes.iter().enumerate();
        let at = at.map(|(at, node)| (node.member.addr, at)).collect();
        let mut keys = all.to_vec();
        keys.sort_by(|a, b| a.owner.instance.cmp(&b.owner.instance));
        let mut play = Self {
            reads: vec![0; nodes.len()],
            nodes,
            counts: Counts::default(),
            world: World::default(),
            store: Store::new(size.upstreams),
            keys,
            all,
            at,
            queue: Queue::default(),
            now: 0,
            link: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for node in 0..play.nodes.len() {
            let at = play.rng.random_range(0..STARTS * MS);
            play.queue.add(at, node, What::Start);
        }
        play
    }

    /// The time, in milliseconds.
    pub fn now(&self) -> Millis {
        self.now / MS
    }

    /// Plays on for a time, in milliseconds.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time * MS;
        while let Some(event) = self.queue.next(end) {
            self.now = event.at;
            self.happen(event.node, event.what);
        }
        self.now = end;
    }

    /// Changes some upstreams; gives the last revision.
    pub fn change(&mut self, count: usize) -> i64 {
        let mut rev = 0;
        for _ in 0..count {
            rev = self.store.change(self.rng.random_range(0..usize::MAX));
        }
        rev
    }

    /// Plays on until all that run have everything up to a revision; gives the times. [`None`] when they have not
    /// within `most` milliseconds.
    pub fn until(&mut self, rev: i64, most: Millis) -> Option<Times> {
        let begun = self.now();
        let mut known = Vec::new();
        let mut knows = vec![false; self.nodes.len()];
        while self.now() < begun + most {
            self.run(1);
            let count = self.nodes.iter().filter(|node| node.alive).count();
            for (node, knows) in self.nodes.iter().zip(&mut knows) {
                let has = node.alive && node.board.is_complete() && node.board.rev() >= rev;
                if has && !std::mem::replace(knows, true) {
                    known.push(self.now() - begun);
                }
            }
            if known.len() >= count && count > 0 {
                return Some(Times {
                    first: known.first().copied()?,
                    middle: known.get(known.len() / 2).copied()?,
                    last: known.last().copied()?,
                });
            }
        }
        None
    }

    /// Takes the power from an instance.
    pub fn kill(&mut self, node: usize) {
        if let Some(node) = self.nodes.get_mut(node) {
            node.alive = false;
            node.waiting.clear();
        }
    }

    /// The instance that reads for all.
    pub fn reader(&self) -> usize {
        let alive = self.nodes.iter().position(|node| node.alive);
        alive.unwrap_or_default()
    }
}
