//! What is played: how many, on which links.

use std::sync::Arc;

use batch::Owner;
use plat::Item;
use plat::Listing;
use spread::Member;

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;

/// How many there are.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Instances of all failure domains.
    pub instances: usize,
    /// Failure domains.
    pub domains: usize,
    /// Upstreams.
    pub upstreams: usize,
}

/// Instances of each failure domain with much processor and a wide link.
const STRONG: usize = 10;

/// Bytes of an upstream's entry.
const VALUE: usize = 220;

/// Links, the platform and processors.
#[derive(Clone, Copy, Debug)]
pub struct World {
    /// One way between two instances, in microseconds.
    pub hop: u64,
    /// Time in which the platform answers, in microseconds.
    pub call: u64,
    /// Bytes that the platform's link carries in a millisecond.
    pub store: u64,
    /// The same of an instance with a wide link.
    pub wide: u64,
    /// The same of any other instance.
    pub narrow: u64,
    /// Time that an instance with little processor takes to take in one entry, in microseconds.
    pub entry: u64,
    /// Entries of a page.
    pub page: usize,
}

impl Default for World {
    fn default() -> Self {
        Self {
            hop: 500,
            call: 4 * MS,
            store: 125_000,
            wide: 25_000,
            narrow: 7_500,
            entry: 100,
            page: 200,
        }
    }
}

/// A number without a factor in common with the instances of a failure domain: names tell nothing of strength.
const SCATTER: usize = 7_919;

/// All instances, the strongest of each failure domain first.
pub fn members(size: Size) -> Arc<[Member]> {
    let each = size.instances.div_ceil(size.domains);
    let member = |at: usize| {
        let (domain, place) = (at % size.domains, at / size.domains);
        let name = place * SCATTER % each;
        Member {
            owner: Owner {
                instance: format!("d{domain}-n{name:04}").into(),
                start: 1,
            },
            domain: format!("d{domain}").into(),
            // Ports are the names of instances here.
            addr: ([10, 0, (at >> 8) as u8, at as u8], 1).into(),
            is_reader: true,
            centicores: if place < STRONG { 50 } else { 12 },
        }
    };
    (0..size.instances).map(member).collect()
}

/// The platform's list of upstreams.
#[derive(Debug)]
pub struct Store {
    items: Vec<Item>,
    rev: i64,
}

impl Store {
    /// A store that lists `count` upstreams.
    pub fn new(count: usize) -> Self {
        let item = |at: usize| Item {
            key: format!("servers/i-{at:012x}"),
            value: vec![0; VALUE],
            rev: at as i64 + 1,
        };
        Self {
            items: (0..count).map(item).collect(),
            rev: count as i64,
        }
    }

    /// Changes the entry of the upstream at `at`; gives the revision.
    pub fn change(&mut self, at: usize) -> i64 {
        self.rev += 1;
        let count = self.items.len().max(1);
        if let Some(item) = self.items.get_mut(at % count) {
            item.rev = self.rev;
        }
        self.rev
    }

    /// Reads the list.
    pub fn read(&self) -> Listing {
        Listing {
            items: self.items.clone(),
            since: self.rev,
        }
    }
}
