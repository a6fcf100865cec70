//! Selection of the URL from which an engine downloads weights.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Map;
use kernel::Name;
use kernel::rendezvous_rank;
use net::client::uri;
use parking_lot::Mutex;
use serve::settings::Weights;

/// Selects the download URL of each load order. Repeated orders of a version to an engine cycle
/// through the caches of its failure domain and then the store, in case a source does not work.
#[derive(Clone, Debug)]
pub(crate) struct WeightSources {
    store: String,
    caches: Vec<SocketAddr>,
    /// The version last ordered for each engine, and the number of orders for it.
    attempts: Arc<Mutex<Map<Name, (u64, usize)>>>,
}

impl WeightSources {
    pub(crate) fn new(weights: &Weights) -> Self {
        Self {
            store: weights.store.clone(),
            caches: weights.caches.clone(),
            attempts: Arc::default(),
        }
    }

    /// The URL for the next order of a version; empty if no store is configured and engines use
    /// their own.
    pub(crate) fn next_url(&self, engine: &Name, model: &Name, version: u64) -> String {
        if self.store.is_empty() {
            return String::new();
        }
        let attempt = self.next_attempt(engine, version);
        let mut caches = self.caches.clone();
        // The rank depends on the engine, which spreads the engines over the caches.
        caches.sort_by_key(|addr| std::cmp::Reverse(rendezvous_rank(engine, addr)));
        match caches.get(attempt % (caches.len() + 1)) {
            Some(addr) => uri(*addr, &format!("/weights/{model}/{version}")),
            None => format!("{}/{model}/{version}", self.store),
        }
    }

    /// The number of earlier orders of this version for the engine; counts the next one.
    fn next_attempt(&self, engine: &Name, version: u64) -> usize {
        let mut attempts = self.attempts.lock();
        let last = attempts.entry(engine.clone()).or_insert((version, 0));
        if last.0 != version {
            *last = (version, 0);
        }
        last.1 += 1;
        last.1 - 1
    }
}
