//! The weights of an engine, and orders to change them.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use weight::WeightState;
use wire::engine::LoadOrder;

use crate::Faults;

/// Time that a download may take.
const DOWNLOAD: Duration = Duration::from_secs(60);

/// Bytes of weights that are read at most.
const MOST: usize = 1 << 30;

#[derive(Debug)]
struct State {
    stated: WeightState,
    fence: i64,
    epoch: u64,
    orders: Vec<(i64, u64)>,
}

/// The weights of an engine.
#[derive(Debug)]
pub(crate) struct Weights {
    fencing: bool,
    time: Duration,
    state: Mutex<State>,
    http: net::Client,
}

impl Weights {
    pub(crate) fn new(version: u64, fencing: bool, time: Duration) -> Self {
        let stated = WeightState {
            versions: vec![version],
            loading: None,
        };
        let state = State {
            stated,
            fence: 0,
            epoch: 0,
            orders: Vec::new(),
        };
        Self {
            fencing,
            time,
            state: Mutex::new(state),
            http: net::Client::new(),
        }
    }

    pub(crate) fn stated(&self) -> WeightState {
        self.state.lock().stated.clone()
    }

    /// The version of the next token.
    pub(crate) fn version(&self) -> u64 {
        let state = self.state.lock();
        state.stated.versions.last().copied().unwrap_or(0)
    }

    /// Rises with each swap that ends the running streams.
    pub(crate) fn epoch(&self) -> u64 {
        self.state.lock().epoch
    }

    pub(crate) fn orders(&self) -> Vec<(i64, u64)> {
        self.state.lock().orders.clone()
    }

    /// Tells whether an order is taken.
    pub(crate) fn accept(&self, order: &LoadOrder) -> bool {
        let mut state = self.state.lock();
        if self.fencing && order.fence < state.fence {
            return false;
        }
        state.fence = state.fence.max(order.fence);
        state.orders.push((order.fence, order.version));
        state.stated.loading = Some(order.version);
        true
    }

    pub(crate) async fn swap(&self, order: LoadOrder, faults: &Faults) {
        let fetched = self.fetch(&order.source).await;
        tokio::time::sleep(self.time.mul_f64(faults.get().factor())).await;
        let mut state = self.state.lock();
        // A later order has taken over.
        if state.stated.loading != Some(order.version) {
            return;
        }
        state.stated.loading = None;
        if !fetched {
            return;
        }
        if faults.get().mixed {
            faults.change(|fault| fault.mixed = false);
            state.stated.versions.push(order.version);
            return;
        }
        state.stated.versions = vec![order.version];
        if !order.keep {
            state.epoch += 1;
        }
    }

    /// Downloads the weights; tells whether they came whole.
    async fn fetch(&self, source: &str) -> bool {
        if source.is_empty() {
            return true;
        }
        let Ok(request) = Request::get(source).body(Full::new(Bytes::new())) else {
            return false;
        };
        let answer = self.http.fetch(request, DOWNLOAD, MOST).await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}
