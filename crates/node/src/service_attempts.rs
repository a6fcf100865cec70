//! The state of the attempts at each service, and what is counted of them.

use std::sync::Arc;

use attempt::Denial;
use attempt::Failure;
use attempt::Objective;
use attempt::Permission;
use attempt::Policy;
use attempt::Room;
use attempt::ServiceAttempts;
use kernel::Millis;
use kernel::ShardedMap;

use crate::App;
use crate::telemetry;

/// The attempts at all services.
pub(crate) struct AttemptTable {
    policy: Policy,
    services: ShardedMap<Arc<str>, Entry>,
}

struct Entry {
    attempts: ServiceAttempts,
    /// The time to a hedge that the metric shows.
    shown_delay: Millis,
}

/// What became of a hedge, as it is counted.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HedgeOutcome {
    /// It was sent.
    Begun,
    /// It brought the answer.
    Won,
    /// The call ended otherwise.
    Lost,
    /// It was not sent.
    Denied(Denial),
    /// No upstream had a free slot.
    NoSlot,
}

impl HedgeOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Denied(Denial::Late) => "denied_late",
            Self::Denied(Denial::Room) => "denied_room",
            Self::Denied(Denial::Budget) => "denied_budget",
            Self::NoSlot => "denied_slot",
        }
    }
}

impl AttemptTable {
    pub(crate) fn new(policy: Policy) -> Self {
        Self {
            policy,
            services: ShardedMap::new(),
        }
    }

    fn with<R>(&self, service: &Arc<str>, f: impl FnOnce(&mut Entry) -> R) -> R {
        self.services.with_shard(service, |services| {
            let entry = services.entry(service.clone());
            f(entry.or_insert_with(|| Entry {
                attempts: ServiceAttempts::new(self.policy),
                shown_delay: 0,
            }))
        })
    }

    /// Records a call that is sent for the first time.
    pub(crate) fn began(&self, service: &Arc<str>) {
        self.with(service, |entry| entry.attempts.began());
    }

    /// Records an attempt that was answered after so many milliseconds.
    pub(crate) fn answered(&self, service: &Arc<str>, took: Millis, now: Millis) {
        self.with(service, |entry| entry.attempts.answered(took, now));
    }

    /// Returns the time after which another attempt may begin beside one, in milliseconds.
    pub(crate) fn hedge_delay(
        &self,
        service: &Arc<str>,
        objective: Objective,
        now: Millis,
    ) -> Millis {
        self.with(service, |entry| {
            let delay = entry.attempts.hedge_delay(objective, now);
            if entry.shown_delay != delay {
                entry.shown_delay = delay;
                metrics::gauge!(telemetry::HEDGE_DELAY, "service" => service.to_string())
                    .set(delay as f64);
            }
            delay
        })
    }

    /// Returns the time limit of an attempt after which another one may follow.
    pub(crate) fn time_limit(&self, service: &Arc<str>, left: Millis, now: Millis) -> Millis {
        self.with(service, |entry| entry.attempts.time_limit(left, now))
    }

    /// Decides whether another attempt begins beside one that runs.
    pub(crate) fn hedge(&self, app: &App, service: &Arc<str>, left: Millis) -> Permission {
        let now = app.clock.now();
        let room = room(app, service, now);
        self.with(service, |entry| entry.attempts.hedge(left, room, now))
    }

    /// Decides whether another attempt follows one that has failed, and counts a denial.
    pub(crate) fn retry(
        &self,
        service: &Arc<str>,
        failure: Failure,
        left: Millis,
        now: Millis,
    ) -> Permission {
        let permission = self.with(service, |entry| entry.attempts.retry(failure, left, now));
        if let Permission::Denied(denial) = permission {
            metrics::counter!(telemetry::DENIED_RETRIES, "service" => service.to_string(),
                "reason" => denial.reason())
            .increment(1);
        }
        permission
    }

    /// Forgets services that are not configured any more.
    pub(crate) fn prune(&self, is_configured: impl Fn(&str) -> bool) {
        self.services
            .for_each_shard(|services| services.retain(|service, _| is_configured(service)));
    }
}

/// Counts what became of hedges.
pub(crate) fn count_hedges(service: &str, outcome: HedgeOutcome, count: usize) {
    if count > 0 {
        metrics::counter!(telemetry::HEDGES, "service" => service.to_owned(),
            "outcome" => outcome.label())
        .increment(count as u64);
    }
}

/// Returns the slots of a service's upstreams, as far as this instance knows.
fn room(app: &App, service: &str, now: Millis) -> Room {
    let upstreams = app.upstreams.lock();
    let tracker = app.service_tracker.lock();
    let (free, slots) = tracker.slots(&upstreams, service, now);
    Room { free, slots }
}
