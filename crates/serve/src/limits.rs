//! Enforcement of contract limits on this instance.

use std::sync::Arc;

use contract::Contract;
use contract::registry::ActiveContract;
use fleet::rumour::Demand;
use kernel::Millis;
use kernel::Name;
use kernel::ShardedMap;
use limit::ContractLimiter;
use limit::LimitDecision;
use limit::LimitShare;
use limit::share::ShareTracker;
use route::Attempt;
use wire::Problem;
use wire::problem::Type;

use crate::App;
use crate::trace::Trace;

/// Weight of the newest second in the exponential moving average of demand.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Demand, in requests per second, up to which a customer is not reported to peers.
const MIN_REPORTED_DEMAND: f64 = 0.05;

/// A contract's limiter, with this instance's share of the limits and the demand it has measured.
#[derive(Debug)]
struct CustomerLimiter {
    rev: i64,
    limiter: ContractLimiter,
    share: ShareTracker,
    /// Requests that arrived since the last measurement.
    arrived: u32,
    /// Moving average of the requests per second.
    demand: f64,
}

/// The limiters of all customers on this instance.
#[derive(Debug, Default)]
pub struct Limits {
    customers: ShardedMap<Name, CustomerLimiter>,
}

/// The permit of a request that its contract's limits admitted. Dropping it releases its slot under the
/// concurrency limit.
pub struct LimitPermit {
    app: Arc<App>,
    customer: Name,
}

impl LimitPermit {
    /// Charges the contract for tokens that the request generated.
    pub fn charge(&self, tokens: u32) {
        let now = self.app.clock.now();
        self.app
            .limits
            .customers
            .with_shard(&self.customer, |customers| {
                if let Some(entry) = customers.get_mut(&self.customer) {
                    entry.limiter.charge(now, f64::from(tokens));
                }
            });
    }
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        self.app
            .limits
            .customers
            .with_shard(&self.customer, |customers| {
                if let Some(entry) = customers.get_mut(&self.customer) {
                    entry.limiter.release();
                }
            });
    }
}

/// Returns this instance's share of a customer's limits, where `demand` is its own demand in requests per
/// second.
fn limit_share(app: &App, customer: &str, demand: f64) -> LimitShare {
    let view = app.view.lock();
    let others = view.peer_demands(customer, app.clock.now());
    LimitShare::split(view.limit_shares(), &others, demand)
}

/// Runs `f` on the limiter of a contract, which is first created or updated to the contract's revision.
fn with_limiter<R>(
    app: &App,
    active_contract: &ActiveContract,
    f: impl FnOnce(&mut CustomerLimiter, Millis) -> R,
) -> R {
    let contract = &active_contract.stored.contract;
    let customer = &contract.customer;
    let now = app.clock.now();
    // Computed before the shard is locked, so that two locks are never held at the same time.
    let share = limit_share(app, customer, 0.0);
    app.limits.customers.with_shard(customer, |customers| {
        let entry = customers
            .entry(customer.clone())
            .or_insert_with(|| CustomerLimiter {
                rev: active_contract.rev,
                limiter: ContractLimiter::new(contract, share, now),
                share: ShareTracker::new(share),
                arrived: 0,
                demand: 0.0,
            });
        if entry.rev < active_contract.rev {
            entry.rev = active_contract.rev;
            entry.limiter.resize(contract, entry.share.share(), now);
        }
        f(entry, now)
    })
}

/// Admits a request that may generate `tokens` tokens under its contract's limits.
///
/// # Errors
///
/// Returns a [`Problem`] of type [`Type::OverLimit`] that names the contract setting and the time to retry
/// after.
pub fn admit(
    app: &Arc<App>,
    active_contract: &ActiveContract,
    tokens: u32,
    trace: &mut Trace,
) -> Result<LimitPermit, Problem> {
    let decision = with_limiter(app, active_contract, |entry, now| {
        entry.arrived += 1;
        entry.limiter.admit(now, f64::from(tokens))
    });
    match decision {
        LimitDecision::Admitted => Ok(LimitPermit {
            app: app.clone(),
            customer: active_contract.stored.contract.customer.clone(),
        }),
        LimitDecision::Rejected { limit, retry_after } => {
            let detail = format!("the contract's line {:?} decides", limit.key());
            trace.note(detail.as_str());
            let problem = Problem::new(Type::OverLimit, Attempt::new().refuse());
            Err(problem.with_detail(detail).retry_after(retry_after))
        }
    }
}

/// Admits a sample of a step under its contract's limits. A sample does not count as demand.
///
/// # Errors
///
/// Returns the time to retry after, in milliseconds.
pub fn admit_sample(
    app: &Arc<App>,
    active_contract: &ActiveContract,
    tokens: f64,
) -> Result<LimitPermit, Millis> {
    let decision = with_limiter(app, active_contract, |entry, now| {
        entry.limiter.admit_sample(now, tokens)
    });
    match decision {
        LimitDecision::Admitted => Ok(LimitPermit {
            app: app.clone(),
            customer: active_contract.stored.contract.customer.clone(),
        }),
        LimitDecision::Rejected { retry_after, .. } => Err(retry_after),
    }
}

/// Measures the demand of the last second, updates this instance's shares, and returns the demands to report
/// to peers. Called about once per second.
pub fn update_demand(app: &App) -> Vec<Demand> {
    let contracts: Vec<Arc<_>> = {
        let registry = app.contracts.read();
        registry.all().map(|active| active.stored.clone()).collect()
    };
    let mut demands = Vec::new();
    for stored in contracts {
        let rate = update_share(app, &stored.contract);
        if rate > MIN_REPORTED_DEMAND {
            demands.push(Demand {
                customer: stored.contract.customer.clone(),
                rate,
            });
        }
    }
    demands
}

/// Updates the demand and share of one customer; returns its demand in requests per second.
fn update_share(app: &App, contract: &Contract) -> f64 {
    let customer = &contract.customer;
    let demand = app.limits.customers.with_shard(customer, |customers| {
        let entry = customers.get_mut(customer)?;
        let arrived = f64::from(std::mem::take(&mut entry.arrived));
        entry.demand += SMOOTHING_FACTOR * (arrived - entry.demand);
        Some(entry.demand)
    });
    let Some(demand) = demand else {
        return 0.0;
    };
    let share = limit_share(app, customer, demand);
    let now: Millis = app.clock.now();
    app.limits.customers.with_shard(customer, |customers| {
        if let Some(entry) = customers.get_mut(customer) {
            entry.share.update(share, now);
            entry.limiter.resize(contract, entry.share.share(), now);
        }
    });
    demand
}
