//! Probes engines that load the model of a step while its samples wait, to notice loads that end early or fail.

use std::sync::Arc;

use kernel::Millis;
use rand::seq::SliceRandom;
use table::Route;
use table::Upstream;
use tokio::task::JoinSet;

use super::OwnedStep;
use crate::App;
use crate::control;

/// Minimum interval between two rounds of probes, in milliseconds. Together with the wait for the pass that begins a
/// round and for the answer, a slot stays unused for less than 300 ms after a load.
const PROBE_INTERVAL: Millis = 150;

/// Maximum number of probes of one step that run at the same time: enough to find engines for the first waiting
/// samples, with few requests.
const MAX_PROBES: usize = 12;

/// The running probes, and when the last round began.
#[derive(Debug, Default)]
pub(super) struct LoadProbes {
    running: JoinSet<()>,
    probed_at: Millis,
}

impl LoadProbes {
    /// Waits until a probe has finished; [`None`] when none is running.
    pub(super) async fn finished(&mut self) -> Option<()> {
        self.running.join_next().await.map(|_| ())
    }

    /// Starts a round of probes if one is due.
    pub(super) fn begin(&mut self, app: &Arc<App>, owned: &OwnedStep, route: &Route) {
        let now = app.clock.now();
        if !app.settings.placement.load_notices || now < self.probed_at + PROBE_INTERVAL {
            return;
        }
        self.probed_at = now;
        let mut loading = loading_engines(app, &owned.head.model, route, now);
        loading.shuffle(&mut rand::rng());
        let free = MAX_PROBES.saturating_sub(self.running.len());
        for engine in loading.into_iter().take(free) {
            let app = app.clone();
            self.running.spawn(async move {
                // The tracker has recorded the answer. An engine that does not answer is probed again.
                let _ = control::query_state(&app, &engine).await;
            });
        }
    }
}

/// Returns the engines of a route that get no run of a model because they load it.
fn loading_engines(app: &App, model: &str, route: &Route, now: Millis) -> Vec<Arc<Upstream>> {
    let upstreams = app.upstreams.lock();
    let tracker = app.engine_tracker.lock();
    let shares = route.services.iter();
    shares
        .flat_map(|share| upstreams.of_service(&share.service))
        .filter(|engine| !engine.leaving && tracker.is_loading(engine, model, now))
        .cloned()
        .collect()
}
