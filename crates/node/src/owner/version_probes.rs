//! Probes engines whose weights are too old for a step, to notice newer ones before the upstream list names them.

use std::cmp::Reverse;
use std::sync::Arc;

use kernel::Millis;
use rand::seq::SliceRandom;
use table::Route;
use table::Upstream;
use tokio::task::JoinSet;

use super::OwnedStep;
use crate::App;
use crate::control;

/// Minimum interval between two rounds of probes.
const PROBE_INTERVAL: Millis = 250;

/// Maximum number of engines in one round: enough for the first waiting samples, at the cost of few requests.
const MAX_PROBES: usize = 12;

/// Minimum interval between two log lines about waiting samples.
const LOG_INTERVAL: Millis = 1_000;

/// The running probes, and when probes and log lines were last issued.
#[derive(Debug, Default)]
pub(super) struct VersionProbes {
    running: JoinSet<()>,
    probed_at: Millis,
    logged_at: Millis,
}

impl VersionProbes {
    /// Waits until a probe has finished; [`None`] when none is running.
    pub(super) async fn finished(&mut self) -> Option<()> {
        self.running.join_next().await.map(|_| ())
    }

    /// Starts a round of probes if one is due. `waiting` is the number of samples without an engine, for the log.
    pub(super) fn begin(
        &mut self,
        app: &Arc<App>,
        owned: &OwnedStep,
        route: &Route,
        waiting: usize,
    ) {
        let now = app.clock.now();
        if now < self.probed_at + PROBE_INTERVAL || !self.running.is_empty() {
            return;
        }
        self.probed_at = now;
        let (model, least) = (&owned.head.model, owned.head.min_version);
        let upstreams = app.upstreams.lock();
        let tracker = app.engine_tracker.lock();
        let serves_route = |engine: &&Arc<Upstream>| {
            let mut shares = route.services.iter();
            shares.any(|share| share.service == engine.service)
        };
        let mut old: Vec<_> = upstreams
            .all()
            .filter(serves_route)
            .filter_map(|engine| Some((tracker.version(engine, model)?, engine)))
            .filter(|(version, _)| *version < least)
            .collect();
        if now >= self.logged_at + LOG_INTERVAL {
            self.logged_at = now;
            let engines = upstreams.all().filter(serves_route).count();
            log::info!(target: "owner", id = &*owned.step, samples = waiting, engines,
                old = old.len(), least; "samples wait for engines");
        }
        // Engines with the newest versions come first: they serve the model and are about to load the required version.
        old.shuffle(&mut rand::rng());
        old.sort_by_key(|(version, _)| Reverse(*version));
        for (_, engine) in old.into_iter().take(MAX_PROBES) {
            let (app, engine) = (app.clone(), engine.clone());
            self.running.spawn(async move {
                // An engine that does not answer is probed again in a later round.
                let _ = control::query_state(&app, &engine).await;
            });
        }
    }
}
