//! Whether a control instance needs the configuration and the list of upstreams.
//!
//! Entry instances always do. A control instance needs them while it leads, and while it runs steps, which may outlast
//! its leadership: other instances leave these steps to it for as long as it is live.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

use super::follow;
use crate::App;
use crate::settings::Role;

/// Interval between checks whether the state is still needed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The reasons for which a control instance needs the state.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    is_leading: AtomicBool,
    /// Notified when a reason has appeared.
    appeared: Notify,
}

impl Demand {
    /// Records that the instance has begun to run a step.
    pub(crate) fn step_started(&self) {
        self.appeared.notify_one();
    }
}

/// Marks the instance as leading until it is dropped.
pub(crate) struct LeadershipGuard(Arc<App>);

impl LeadershipGuard {
    pub(crate) fn new(app: &Arc<App>) -> Self {
        app.demand.is_leading.store(true, Ordering::Release);
        app.demand.appeared.notify_one();
        Self(app.clone())
    }
}

impl Drop for LeadershipGuard {
    fn drop(&mut self) {
        self.0.demand.is_leading.store(false, Ordering::Release);
    }
}

/// Returns whether an instance keeps the configuration and the list of upstreams current.
pub(crate) fn needs_state(app: &App) -> bool {
    app.settings.role == Role::Entry
        || app.demand.is_leading.load(Ordering::Acquire)
        || !app.running_steps.is_empty()
}

/// Keeps the configuration and the list of upstreams current for as long as a control instance needs them.
pub(crate) async fn follow_on_demand(app: Arc<App>) {
    loop {
        while !needs_state(&app) {
            app.demand.appeared.notified().await;
        }
        tokio::select! {
            () = follow(app.clone()) => (),
            () = end_of_need(&app) => (),
        }
    }
}

async fn end_of_need(app: &App) {
    while needs_state(app) {
        sleep(CHECK_INTERVAL).await;
    }
}
