//! The modeled fleet: its size, the latencies and rates of its links, and the platform's list of upstreams.

use std::sync::Arc;

use batch::Owner;
use plat::Item;
use plat::Listing;
use spread::Member;

/// Microseconds in a millisecond.
pub const MICROS_PER_MS: u64 = 1_000;

/// Size of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Instances in all failure domains together.
    pub instances: usize,
    /// Failure domains.
    pub domains: usize,
    /// Upstreams.
    pub upstreams: usize,
}

/// Number of large instances, with more CPU and a faster link, per failure domain.
const LARGE_PER_DOMAIN: usize = 10;

/// Size of an upstream's value in the platform's list, in bytes.
const UPSTREAM_VALUE_BYTES: usize = 220;

/// Latencies, link rates and processing costs of the model.
#[derive(Clone, Copy, Debug)]
pub struct ModelParams {
    /// One-way latency of every link, in microseconds.
    pub hop: u64,
    /// Time in which the platform serves one call, in microseconds.
    pub platform_latency: u64,
    /// Rate of the platform's link, in bytes per millisecond.
    pub platform_rate: u64,
    /// Rate of a large instance's link, in bytes per millisecond.
    pub large_rate: u64,
    /// Rate of any other instance's link, in bytes per millisecond.
    pub small_rate: u64,
    /// Time in which a small instance applies one entry, in microseconds.
    pub entry_cost: u64,
    /// Entries of a page.
    pub page_size: usize,
}

impl Default for ModelParams {
    fn default() -> Self {
        Self {
            hop: 500,
            platform_latency: 4 * MICROS_PER_MS,
            platform_rate: 125_000,
            large_rate: 25_000,
            small_rate: 7_500,
            entry_cost: 100,
            page_size: 200,
        }
    }
}

/// Step between the names of consecutive instances of a failure domain.
///
/// It has no factor in common with their count, so that every name is unique, and the order of names says nothing
/// about the size of an instance.
const NAME_STRIDE: usize = 7_919;

/// Returns all instances, the large ones of each failure domain first.
pub fn members(size: FleetSize) -> Arc<[Member]> {
    let per_domain = size.instances.div_ceil(size.domains);
    let member = |index: usize| {
        let (domain, rank) = (index % size.domains, index / size.domains);
        let name = rank * NAME_STRIDE % per_domain;
        Member {
            owner: Owner {
                instance: format!("d{domain}-n{name:04}").into(),
                start: 1,
            },
            domain: format!("d{domain}").into(),
            // The address encodes the index and identifies the instance; nothing listens on it.
            addr: ([10, 0, (index >> 8) as u8, index as u8], 1).into(),
            is_reader: true,
            centicores: if rank < LARGE_PER_DOMAIN { 50 } else { 12 },
        }
    };
    (0..size.instances).map(member).collect()
}

/// The platform's list of upstreams.
#[derive(Debug)]
pub struct UpstreamList {
    items: Vec<Item>,
    rev: i64,
}

impl UpstreamList {
    /// Creates a list of `count` upstreams, one revision for each.
    pub fn new(count: usize) -> Self {
        let item = |at: usize| Item {
            key: format!("servers/i-{at:012x}"),
            value: vec![0; UPSTREAM_VALUE_BYTES],
            rev: at as i64 + 1,
        };
        Self {
            items: (0..count).map(item).collect(),
            rev: count as i64,
        }
    }

    /// Changes the entry of the upstream at `index`, modulo the length of the list, and returns the new revision.
    pub fn change(&mut self, index: usize) -> i64 {
        self.rev += 1;
        let count = self.items.len().max(1);
        if let Some(item) = self.items.get_mut(index % count) {
            item.rev = self.rev;
        }
        self.rev
    }

    /// Returns the whole list.
    pub fn read(&self) -> Listing {
        Listing {
            items: self.items.clone(),
            since: self.rev,
        }
    }
}
