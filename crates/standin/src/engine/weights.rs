//! The weights of an engine and the load orders that change them.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use weight::WeightState;
use wire::engine::LoadOrder;

use crate::Faults;

/// Timeout of a download.
const DOWNLOAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum size of the weights of one version.
const MAX_WEIGHT_BYTES: usize = 1 << 30;

#[derive(Debug)]
struct State {
    reported: WeightState,
    /// The highest fencing token of the accepted orders.
    fence: i64,
    epoch: u64,
    /// Fencing token and version of each accepted order.
    orders: Vec<(i64, u64)>,
}

/// The weights of an engine.
#[derive(Debug)]
pub(crate) struct Weights {
    fencing: bool,
    swap_time: Duration,
    state: Mutex<State>,
    client: net::Client,
}

impl Weights {
    pub(crate) fn new(version: u64, fencing: bool, swap_time: Duration) -> Self {
        let reported = WeightState {
            versions: vec![version],
            loading: None,
        };
        let state = State {
            reported,
            fence: 0,
            epoch: 0,
            orders: Vec::new(),
        };
        Self {
            fencing,
            swap_time,
            state: Mutex::new(state),
            client: net::Client::new(),
        }
    }

    /// The state that the engine reports.
    pub(crate) fn state(&self) -> WeightState {
        self.state.lock().reported.clone()
    }

    /// The version that generates the next token.
    pub(crate) fn version(&self) -> u64 {
        let state = self.state.lock();
        state.reported.versions.last().copied().unwrap_or(0)
    }

    /// Number of swaps that ended the running streams.
    pub(crate) fn epoch(&self) -> u64 {
        self.state.lock().epoch
    }

    /// The accepted orders, as pairs of fencing token and version.
    pub(crate) fn orders(&self) -> Vec<(i64, u64)> {
        self.state.lock().orders.clone()
    }

    /// Records an order and returns true, or returns false if its fencing token is outdated.
    pub(crate) fn accept(&self, order: &LoadOrder) -> bool {
        let mut state = self.state.lock();
        if self.fencing && order.fence < state.fence {
            return false;
        }
        state.fence = state.fence.max(order.fence);
        state.orders.push((order.fence, order.version));
        state.reported.loading = Some(order.version);
        true
    }

    /// Downloads the weights of an accepted order and swaps to them. The version stays if the download fails.
    pub(crate) async fn swap(&self, order: LoadOrder, faults: &Faults) {
        let downloaded = self.download(&order.source).await;
        tokio::time::sleep(self.swap_time.mul_f64(faults.get().slowdown())).await;
        let mut state = self.state.lock();
        // A later order for another version has superseded this one.
        if state.reported.loading != Some(order.version) {
            return;
        }
        state.reported.loading = None;
        if !downloaded {
            return;
        }
        if faults.get().mixed {
            faults.change(|fault| fault.mixed = false);
            state.reported.versions.push(order.version);
            return;
        }
        state.reported.versions = vec![order.version];
        if !order.keep {
            state.epoch += 1;
        }
    }

    /// Downloads the weights and returns whether that succeeded.
    async fn download(&self, source: &str) -> bool {
        if source.is_empty() {
            return true;
        }
        let Ok(request) = Request::get(source).body(Full::new(Bytes::new())) else {
            return false;
        };
        let response = self
            .client
            .fetch(request, DOWNLOAD_TIMEOUT, MAX_WEIGHT_BYTES)
            .await;
        response.is_ok_and(|response| response.status().is_success())
    }
}
