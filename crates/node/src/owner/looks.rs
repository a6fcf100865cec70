//! Looking after engines whose weights are too old for a step.

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

/// Time between two looks at engines whose version is too old.
const LOOK: Millis = 250;

/// Engines that are asked in one such look: enough for the first samples that wait, and few probes.
const LOOKED: usize = 12;

/// Time between two lines that say for what samples wait.
const TELL: Millis = 1_000;

/// Questions to engines, and when they were asked.
#[derive(Debug, Default)]
pub(super) struct Looks {
    asks: JoinSet<()>,
    looked: Millis,
    told: Millis,
}

impl Looks {
    /// Waits until a question has been answered; [`None`] when there is none.
    pub(super) async fn ended(&mut self) -> Option<()> {
        self.asks.join_next().await.map(|_| ())
    }

    /// Asks engines whose version is too old whether they have a newer one by now; `waiting` samples
    /// wait for them.
    pub(super) fn begin(
        &mut self,
        app: &Arc<App>,
        work: &OwnedStep,
        route: &Route,
        waiting: usize,
    ) {
        let now = app.clock.now();
        if now < self.looked + LOOK || !self.asks.is_empty() {
            return;
        }
        self.looked = now;
        let (model, least) = (&work.head.model, work.head.min_version);
        let roster = app.roster.lock();
        let fleet = app.fleet.lock();
        let mine = |one: &&Arc<Upstream>| {
            let mut shares = route.services.iter();
            shares.any(|share| share.service == one.service)
        };
        let mut old: Vec<_> = roster
            .all()
            .filter(mine)
            .filter_map(|one| Some((fleet.version(one, model)?, one)))
            .filter(|(version, _)| *version < least)
            .collect();
        if now >= self.told + TELL {
            self.told = now;
            let engines = roster.all().filter(mine).count();
            log::info!(target: "owner", id = &*work.step, samples = waiting, engines,
                old = old.len(), least; "samples wait for engines");
        }
        // Those that are least behind belong to the model and are about to have the version.
        old.shuffle(&mut rand::rng());
        old.sort_by_key(|(version, _)| Reverse(*version));
        for (_, one) in old.into_iter().take(LOOKED) {
            let (app, one) = (app.clone(), one.clone());
            self.asks.spawn(async move {
                // An engine that does not tell is asked again with a later look.
                let _ = control::state(&app, &one).await;
            });
        }
    }
}
