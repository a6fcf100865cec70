//! A simulation of a fleet whose instances start, poll each other, read the platform and are killed.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use spread::Member;

use crate::event::EventKind;
use crate::event::Queue;
use crate::model;
use crate::model::FleetSize;
use crate::model::MICROS_PER_MS;
use crate::model::ModelParams;
use crate::model::UpstreamList;
use crate::node::Node;

/// Time within which all instances start, in milliseconds.
const START_WINDOW_MS: u64 = 300;

/// Load on the platform since the simulation began.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformCounts {
    /// Reads of the whole list of upstreams.
    pub reads: u64,
    /// Bytes that the platform's link carried.
    pub link_bytes: u64,
}

/// Times until instances know a revision, in milliseconds since the wait began.
#[derive(Clone, Copy, Debug)]
pub struct ConvergenceTimes {
    /// Time until the first instance knows it.
    pub first: u64,
    /// Median over the instances.
    pub median: u64,
    /// Time until the last instance knows it.
    pub last: u64,
}

/// A simulation of a fleet.
pub struct Simulation {
    /// The instances.
    pub nodes: Vec<Node>,
    /// Load on the platform so far.
    pub counts: PlatformCounts,
    pub(crate) params: ModelParams,
    pub(crate) upstreams: UpstreamList,
    /// The members in the order of `nodes`.
    pub(crate) members: Arc<[Member]>,
    /// The members sorted by name, which is the order of the platform's keys.
    pub(crate) by_name: Vec<Member>,
    /// Index of each instance by its address.
    pub(crate) indexes: Map<SocketAddr, usize>,
    pub(crate) queue: Queue,
    /// Simulated time, in microseconds.
    pub(crate) now: u64,
    /// Time at which the platform's link has carried everything queued, in microseconds.
    pub(crate) link_free: u64,
    /// Reads of the list that each instance has completed.
    pub(crate) reads: Vec<u64>,
    pub(crate) rng: StdRng,
}

impl Simulation {
    /// Creates a simulation whose instances all start within its first 300 ms.
    pub fn start(size: FleetSize, seed: u64) -> Self {
        let members = model::members(size);
        let nodes: Vec<_> = members.iter().cloned().map(Node::new).collect();
        let indexes = nodes.iter().enumerate();
        let indexes = indexes
            .map(|(index, node)| (node.member.addr, index))
            .collect();
        let mut by_name = members.to_vec();
        by_name.sort_by(|a, b| a.owner.instance.cmp(&b.owner.instance));
        let mut simulation = Self {
            reads: vec![0; nodes.len()],
            nodes,
            counts: PlatformCounts::default(),
            params: ModelParams::default(),
            upstreams: UpstreamList::new(size.upstreams),
            by_name,
            members,
            indexes,
            queue: Queue::default(),
            now: 0,
            link_free: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for node in 0..simulation.nodes.len() {
            let time = simulation
                .rng
                .random_range(0..START_WINDOW_MS * MICROS_PER_MS);
            simulation.queue.add(time, node, EventKind::Start);
        }
        simulation
    }

    /// Returns the simulated time, in milliseconds.
    pub fn now(&self) -> Millis {
        self.now / MICROS_PER_MS
    }

    /// Advances the simulated time by `time` milliseconds and handles all events until then.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time * MICROS_PER_MS;
        while let Some(event) = self.queue.next(end) {
            self.now = event.time;
            self.handle(event.node, event.kind);
        }
        self.now = end;
    }

    /// Changes `count` upstreams picked at random and returns the last revision.
    pub fn change_upstreams(&mut self, count: usize) -> i64 {
        let mut rev = 0;
        for _ in 0..count {
            rev = self.upstreams.change(self.rng.random_range(0..usize::MAX));
        }
        rev
    }

    /// Runs until every instance that is alive has a complete replica up to revision `rev`, and returns the times.
    /// Returns [`None`] when that takes longer than `limit` milliseconds.
    pub fn run_until(&mut self, rev: i64, limit: Millis) -> Option<ConvergenceTimes> {
        let start = self.now();
        let mut times = Vec::new();
        let mut reached = vec![false; self.nodes.len()];
        while self.now() < start + limit {
            self.run(1);
            let count = self.nodes.iter().filter(|node| node.alive).count();
            for (node, reached) in self.nodes.iter().zip(&mut reached) {
                let is_current =
                    node.alive && node.replica.is_complete() && node.replica.rev() >= rev;
                if is_current && !std::mem::replace(reached, true) {
                    times.push(self.now() - start);
                }
            }
            if times.len() >= count && count > 0 {
                return Some(ConvergenceTimes {
                    first: times.first().copied()?,
                    median: times.get(times.len() / 2).copied()?,
                    last: times.last().copied()?,
                });
            }
        }
        None
    }

    /// Kills the instance at index `node`: it drops the polls that it holds and handles no event any more.
    pub fn kill(&mut self, node: usize) {
        if let Some(node) = self.nodes.get_mut(node) {
            node.alive = false;
            node.pending.clear();
        }
    }

    /// Returns the index of the first live instance, which reads the platform for the others.
    pub fn reader(&self) -> usize {
        let alive = self.nodes.iter().position(|node| node.alive);
        alive.unwrap_or_default()
    }
}
