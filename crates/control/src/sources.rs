//! Where engines are told to fetch weights.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Map;
use kernel::Name;
use kernel::rendezvous_rank;
use net::client::uri;
use parking_lot::Mutex;
use serve::settings::Weights;

/// Where engines are told to fetch weights: from a cache of their failure domain, another one when
/// that did not do, and from the store when none did.
#[derive(Clone, Debug)]
pub(crate) struct Sources {
    store: String,
    caches: Vec<SocketAddr>,
    /// The version that each engine was ordered last, and how often.
    tries: Arc<Mutex<Map<Name, (u64, usize)>>>,
}

impl Sources {
    pub(crate) fn new(weights: &Weights) -> Self {
        Self {
            store: weights.store.clone(),
            caches: weights.caches.clone(),
            tries: Arc::default(),
        }
    }

    /// The URL for the next order of a version; empty when engines know the store themselves.
    pub(crate) fn next(&self, engine: &Name, model: &Name, version: u64) -> String {
        if self.store.is_empty() {
            return String::new();
        }
        let turn = self.turn(engine, version);
        let mut caches = self.caches.clone();
        // By rank, so that the engines spread over the caches.
        caches.sort_by_key(|addr| std::cmp::Reverse(rendezvous_rank(engine, addr)));
        match caches.get(turn % (caches.len() + 1)) {
            Some(addr) => uri(*addr, &format!("/weights/{model}/{version}")),
            None => format!("{}/{model}/{version}", self.store),
        }
    }

    fn turn(&self, engine: &Name, version: u64) -> usize {
        let mut tries = self.tries.lock();
        let last = tries.entry(engine.clone()).or_insert((version, 0));
        if last.0 != version {
            *last = (version, 0);
        }
        last.1 += 1;
        last.1 - 1
    }
}
