//! Rolls out the weights of one model in one failure domain.

use std::time::Duration;

use clock::Clock;
use fleet::Lease;
use fleet::lease::Held;
use kernel::Millis;
use kernel::Name;
use plat::Client;
use plat::holder;
use plat::holder::Acquisition;
use plat::keys;
use route::UpstreamSpec;
use serve::audit;
use serve::weights::StoredVersion;
use tokio::task::JoinSet;
use weight::Action;
use weight::Plan;
use wire::engine::LoadOrder;

use crate::orders;
use crate::orders::Outcome;
use crate::sources::WeightSources;

/// Time between two polls of the engines while any of them has yet to load the announced version.
const ACTIVE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two polls of the engines once all of them report the announced version.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum time between two reads of the announced version.
const TARGET_READ_INTERVAL_MS: Millis = 500;

/// Time to live of a lease unless it is renewed: long enough to survive a platform outage of a few
/// seconds, short enough for another instance to take over soon.
const LEASE_TTL_MS: Millis = 10 * kernel::time::SECOND;

/// Delay before retrying a lease that another instance holds.
const LEASE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Mean delay after a failed platform call.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The control task for the weights of one model in one failure domain.
#[derive(Clone, Debug)]
pub(crate) struct WeightRollout {
    pub(crate) model: Name,
    pub(crate) domain: Name,
    pub(crate) instance: Name,
    pub(crate) engines: Vec<UpstreamSpec>,
    pub(crate) sources: WeightSources,
    pub(crate) platform: Client,
    pub(crate) http: net::Client,
    pub(crate) clock: Clock,
}

/// What the lease holder does after polling the engines.
enum PollResult {
    /// Poll again after this delay.
    Continue(Duration),
    /// Stop, as the lease is no longer valid.
    LeaseLost,
}

impl WeightRollout {
    /// The name of the task, which is also the name of its lease.
    fn lease_name(&self) -> String {
        format!("weights.{}.{}", self.model, self.domain)
    }

    /// Tries to acquire the lease and, if successful, runs the rollout until the lease is lost;
    /// otherwise waits until a retry makes sense.
    pub(crate) async fn acquire_and_run(&self) {
        let name = self.lease_name();
        let acquisition = holder::acquire(
            &self.platform,
            &keys::lease(&name),
            self.instance.as_bytes(),
            LEASE_TTL_MS,
            self.clock,
        )
        .await;
        match acquisition {
            Ok(Acquisition::Acquired(lease)) => self.run_with_lease(lease).await,
            Ok(Acquisition::HeldElsewhere) => tokio::time::sleep(LEASE_RETRY_DELAY).await,
            Err(error) => {
                let error = error.to_string();
                log::warn!(target: "control", work = name.as_str(), error = error.as_str();
                    "could not acquire lease");
                tokio::time::sleep(PLATFORM_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }

    async fn run_with_lease(&self, mut lease: Lease<Held>) {
        let name = self.lease_name();
        let fence = lease.fencing_token().0;
        audit::log_change(
            &self.instance,
            "lease taken",
            &name,
            "",
            &fence.to_string(),
            fence,
        );
        // All engines load new weights at the same time: callers that sample need them within
        // seconds, and loading them in place does not interrupt running streams.
        let mut plan = Plan::new(self.engines.len());
        let guard = LeaseGuard {
            platform: self.platform.clone(),
            lease_id: lease.id(),
        };
        let mut last_target_read = None;
        loop {
            if !holder::renew_if_due(&self.platform, &mut lease, self.clock).await {
                break;
            }
            let due =
                last_target_read.is_none_or(|at| self.clock.now() >= at + TARGET_READ_INTERVAL_MS);
            if due {
                self.refresh_target(&mut plan).await;
                last_target_read = Some(self.clock.now());
            }
            match self.poll_engines(&mut plan, &lease).await {
                PollResult::Continue(delay) => tokio::time::sleep(delay).await,
                PollResult::LeaseLost => break,
            }
        }
        drop(guard);
        audit::log_change(
            &self.instance,
            "lease lost",
            &name,
            &fence.to_string(),
            "",
            fence,
        );
    }

    /// Reads the announced version into the plan.
    async fn refresh_target(&self, plan: &mut Plan) {
        // After a failed read the known version stays in use; versions never decrease.
        let Ok(Some(item)) = self.platform.get(&keys::weight(&self.model)).await else {
            return;
        };
        if let Ok(version) = serde_json::from_slice::<StoredVersion>(&item.value) {
            plan.announce(version.version);
        }
    }

    /// Queries every engine for its reported state and carries out what the plan derives from it.
    async fn poll_engines(&self, plan: &mut Plan, lease: &Lease<Held>) -> PollResult {
        let mut queries = JoinSet::new();
        for engine in &self.engines {
            let (http, engine) = (self.http.clone(), engine.clone());
            queries.spawn(async move { (orders::fetch_stated(&http, &engine).await, engine) });
        }
        while let Some(result) = queries.join_next().await {
            let now = self.clock.now();
            match result {
                Ok((Some(stated), engine)) => {
                    // Until a version is announced, the one that the engines started with is the
                    // target.
                    if plan.target() == 0 {
                        plan.announce(stated.single_version().unwrap_or(0));
                    }
                    plan.record_state(&engine.name, &stated, now);
                }
                Ok((None, engine)) => plan.remove_engine(&engine.name),
                Err(_) => (),
            }
        }
        let actions = plan.next_actions(self.clock.now());
        for action in actions {
            if !self.execute(action, lease).await {
                return PollResult::LeaseLost;
            }
        }
        PollResult::Continue(if plan.is_settled() {
            IDLE_POLL_INTERVAL
        } else {
            ACTIVE_POLL_INTERVAL
        })
    }

    /// Carries out one action; returns whether the lease is still valid.
    async fn execute(&self, action: Action, lease: &Lease<Held>) -> bool {
        let fence = lease.fencing_token().0;
        match action {
            Action::Order { engine, version } => self.send_order(&engine, version, lease).await,
            Action::Quarantine { engine, reason } => {
                let reason = format!("{reason:?}");
                audit::log_change(&self.instance, "quarantined", &engine, "", &reason, fence);
                true
            }
            Action::Release { engine } => {
                audit::log_change(&self.instance, "out of quarantine", &engine, "", "", fence);
                true
            }
        }
    }

    /// Orders an engine to load a version; returns whether the lease is still valid.
    async fn send_order(&self, name: &Name, version: u64, lease: &Lease<Held>) -> bool {
        let Some(engine) = self.engines.iter().find(|engine| engine.name == *name) else {
            return true;
        };
        let source = self.sources.next_url(name, &self.model, version);
        let order = |fence: fleet::FencingToken| LoadOrder {
            version,
            source,
            fence: fence.0,
            keep: true,
        };
        let outcome = orders::send(&self.http, engine, lease, self.clock, order).await;
        let fence = lease.fencing_token().0;
        let after = format!("load version {version}: {outcome:?}");
        audit::log_change(&self.instance, "order", name, "", &after, fence);
        !matches!(outcome, Outcome::Lapsed | Outcome::Fenced)
    }
}

/// Revokes the lease when dropped, so that another instance need not wait for it to expire.
/// Revoking an expired lease has no effect.
struct LeaseGuard {
    platform: Client,
    lease_id: i64,
}

impl Drop for LeaseGuard {
    fn drop(&mut self) {
        let (platform, lease_id) = (self.platform.clone(), self.lease_id);
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { platform.revoke(lease_id).await });
        }
    }
}
