//! One piece of control work: the weights of one model in one failure domain.

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
use serve::weights::Version;
use tokio::task::JoinSet;
use weight::Action;
use weight::Plan;
use wire::engine::Order;

use crate::orders;
use crate::orders::Given;
use crate::sources::Sources;

/// Time between two looks at the engines while a swap is under way.
const BUSY: Duration = Duration::from_millis(100);

/// Time between two looks at the engines while nothing is to do.
const CALM: Duration = Duration::from_millis(500);

/// Time between two reads of the announced version while nothing is to do, in milliseconds.
const READ: Millis = 500;

/// Time that a lease lives unless renewed: long enough for an outage of a few seconds to cost
/// nothing, short enough for another instance to take over soon.
const TTL: Millis = 10 * kernel::time::SECOND;

/// Pause before trying again for a lease that somebody else has.
const OTHERS: Duration = Duration::from_secs(3);

/// Pause after a failed call of the platform.
const AWAY: Duration = Duration::from_secs(1);

/// One model in one failure domain.
#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) model: Name,
    pub(crate) domain: Name,
    pub(crate) instance: Name,
    pub(crate) engines: Vec<UpstreamSpec>,
    pub(crate) sources: Sources,
    pub(crate) plat: Client,
    pub(crate) http: net::Client,
    pub(crate) clock: Clock,
}

/// What the holder does after a look at the engines.
enum Turn {
    /// Look again after a pause.
    Again(Duration),
    /// Stop: the lease is not ours any more.
    Lost,
}

impl Work {
    fn name(&self) -> String {
        format!("weights.{}.{}", self.model, self.domain)
    }

    /// Tries for the lease and holds it for as long as it can.
    pub(crate) async fn turn(&self) {
        let name = self.name();
        let taken = holder::acquire(
            &self.plat,
            &keys::lease(&name),
            self.instance.as_bytes(),
            TTL,
            self.clock,
        )
        .await;
        match taken {
            Ok(Acquisition::Acquired(lease)) => self.hold(lease).await,
            Ok(Acquisition::HeldElsewhere) => tokio::time::sleep(OTHERS).await,
            Err(error) => {
                let error = error.to_string();
                log::warn!(target: "control", work = name.as_str(), error = error.as_str();
                    "could not try for a lease");
                tokio::time::sleep(AWAY.mul_f64(0.5 + rand::random::<f64>())).await;
            }
        }
    }

    async fn hold(&self, mut lease: Lease<Held>) {
        let name = self.name();
        let fence = lease.fencing_token().0;
        audit::line(
            &self.instance,
            "lease taken",
            &name,
            "",
            &fence.to_string(),
            fence,
        );
        // All at once: the samplers are to have new weights within seconds, and a swap in place
        // keeps the running streams.
        let mut plan = Plan::new(self.engines.len());
        let guard = Release {
            plat: self.plat.clone(),
            lease: lease.id(),
        };
        let mut read = None;
        loop {
            if !holder::renew_if_due(&self.plat, &mut lease, self.clock).await {
                break;
            }
            let due = read.is_none_or(|at| self.clock.now() >= at + READ);
            if due {
                self.announced(&mut plan).await;
                read = Some(self.clock.now());
            }
            match self.look(&mut plan, &lease).await {
                Turn::Again(pause) => tokio::time::sleep(pause).await,
                Turn::Lost => break,
            }
        }
        drop(guard);
        audit::line(
            &self.instance,
            "lease lost",
            &name,
            &fence.to_string(),
            "",
            fence,
        );
    }

    async fn announced(&self, plan: &mut Plan) {
        // A failed read leaves the version that is known; it can only rise.
        let Ok(Some(item)) = self.plat.get(&keys::weight(&self.model)).await else {
            return;
        };
        if let Ok(version) = serde_json::from_slice::<Version>(&item.value) {
            plan.announce(version.version);
        }
    }

    /// Asks every engine what it states, and does what follows from it.
    async fn look(&self, plan: &mut Plan, lease: &Lease<Held>) -> Turn {
        let mut asked = JoinSet::new();
        for engine in &self.engines {
            let (http, engine) = (self.http.clone(), engine.clone());
            asked.spawn(async move { (orders::stated(&http, &engine).await, engine) });
        }
        while let Some(answer) = asked.join_next().await {
            let now = self.clock.now();
            match answer {
                Ok((Some(stated), engine)) => {
                    // Nothing was announced yet: what the engines came with is the version.
                    if plan.target() == 0 {
                        plan.announce(stated.single_version().unwrap_or(0));
                    }
                    plan.record_state(&engine.name, &stated, now);
                }
                Ok((None, engine)) => plan.remove_engine(&engine.name),
                Err(_) => (),
            }
        }
        let acts = plan.next_actions(self.clock.now());
        for act in acts {
            if !self.act(act, lease).await {
                return Turn::Lost;
            }
        }
        Turn::Again(if plan.is_settled() { CALM } else { BUSY })
    }

    /// Does one thing; tells whether the lease is still ours.
    async fn act(&self, act: Action, lease: &Lease<Held>) -> bool {
        let fence = lease.fencing_token().0;
        match act {
            Action::Order { engine, version } => self.order(&engine, version, lease).await,
            Action::Quarantine { engine, reason } => {
                let reason = format!("{reason:?}");
                audit::line(&self.instance, "quarantined", &engine, "", &reason, fence);
                true
            }
            Action::Release { engine } => {
                audit::line(&self.instance, "out of quarantine", &engine, "", "", fence);
                true
            }
        }
    }

    async fn order(&self, name: &Name, version: u64, lease: &Lease<Held>) -> bool {
        let Some(engine) = self.engines.iter().find(|engine| engine.name == *name) else {
            return true;
        };
        let source = self.sources.next(name, &self.model, version);
        let order = |fence: fleet::FencingToken| Order {
            version,
            source,
            fence: fence.0,
            keep: true,
        };
        let given = orders::give(&self.http, engine, lease, self.clock, order).await;
        let fence = lease.fencing_token().0;
        let after = format!("load version {version}: {given:?}");
        audit::line(&self.instance, "order", name, "", &after, fence);
        !matches!(given, Given::Lapsed | Given::Fenced)
    }
}

/// Gives the lease back when the work ends, so that another instance need not wait for it to
/// lapse. A lease that has lapsed already is not harmed by it.
struct Release {
    plat: Client,
    lease: i64,
}

impl Drop for Release {
    fn drop(&mut self) {
        let (plat, lease) = (self.plat.clone(), self.lease);
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { plat.revoke(lease).await });
        }
    }
}
