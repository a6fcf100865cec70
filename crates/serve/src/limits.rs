//! The limits of contracts on this instance.

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

/// Weight of the newest second in the mean demand.
const SMOOTH: f64 = 0.3;

/// Demand a second below which a customer is not reported to peers.
const QUIET: f64 = 0.05;

/// A contract's gate with its demand.
#[derive(Debug)]
struct Limiter {
    rev: i64,
    gate: ContractLimiter,
    split: ShareTracker,
    arrived: u32,
    demand: f64,
}

/// The limits of contracts on this instance.
#[derive(Debug, Default)]
pub struct Limits {
    limiters: ShardedMap<Name, Limiter>,
}

/// A request that passed its contract's limits; dropping it frees its place.
pub struct LimitPermit {
    app: Arc<App>,
    customer: Name,
}

impl LimitPermit {
    /// Charges tokens that the request generated.
    pub fn charge(&self, tokens: u32) {
        let now = self.app.clock.now();
        self.app
            .limits
            .limiters
            .with_shard(&self.customer, |limiters| {
                if let Some(limiter) = limiters.get_mut(&self.customer) {
                    limiter.gate.charge(now, f64::from(tokens));
                }
            });
    }
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        self.app
            .limits
            .limiters
            .with_shard(&self.customer, |limiters| {
                if let Some(limiter) = limiters.get_mut(&self.customer) {
                    limiter.gate.release();
                }
            });
    }
}

fn share(app: &App, customer: &str, mine: f64) -> LimitShare {
    let view = app.view.lock();
    let others = view.peer_demands(customer, app.clock.now());
    LimitShare::split(view.limit_shares(), &others, mine)
}

/// Runs `f` on the gate of a contract, made or brought up to its revision first.
fn with_gate<R>(app: &App, held: &ActiveContract, f: impl FnOnce(&mut Limiter, Millis) -> R) -> R {
    let contract = &held.stored.contract;
    let customer = &contract.customer;
    let now = app.clock.now();
    // The share is read before the shard is locked, so that no two locks are held at once.
    let share = share(app, customer, 0.0);
    app.limits.limiters.with_shard(customer, |limiters| {
        let limiter = limiters.entry(customer.clone()).or_insert_with(|| Limiter {
            rev: held.rev,
            gate: ContractLimiter::new(contract, share, now),
            split: ShareTracker::new(share),
            arrived: 0,
            demand: 0.0,
        });
        if limiter.rev < held.rev {
            limiter.rev = held.rev;
            limiter.gate.resize(contract, limiter.split.share(), now);
        }
        f(limiter, now)
    })
}

/// Lets a request pass its contract's limits.
///
/// # Errors
///
/// Returns a refusal that names the contract's line.
pub fn admit(
    app: &Arc<App>,
    held: &ActiveContract,
    tokens: u32,
    trace: &mut Trace,
) -> Result<LimitPermit, Problem> {
    let passed = with_gate(app, held, |limiter, now| {
        limiter.arrived += 1;
        limiter.gate.admit(now, f64::from(tokens))
    });
    match passed {
        LimitDecision::Admitted => Ok(LimitPermit {
            app: app.clone(),
            customer: held.stored.contract.customer.clone(),
        }),
        LimitDecision::Rejected { limit, retry_after } => {
            let detail = format!("the contract's line {:?} decides", limit.key());
            trace.note(detail.as_str());
            let problem = Problem::new(Type::OverLimit, Attempt::new().refuse());
            Err(problem.with_detail(detail).retry_after(retry_after))
        }
    }
}

/// Lets a sample of a step pass its contract's limits.
///
/// # Errors
///
/// Returns the milliseconds after which to ask again.
pub fn admit_sample(
    app: &Arc<App>,
    held: &ActiveContract,
    tokens: f64,
) -> Result<LimitPermit, Millis> {
    let passed = with_gate(app, held, |limiter, now| {
        limiter.gate.admit_sample(now, tokens)
    });
    match passed {
        LimitDecision::Admitted => Ok(LimitPermit {
            app: app.clone(),
            customer: held.stored.contract.customer.clone(),
        }),
        LimitDecision::Rejected { retry_after, .. } => Err(retry_after),
    }
}

/// Measures the demand of the last second, adapts the shares, and returns what peers should know.
pub fn second(app: &App) -> Vec<Demand> {
    let contracts: Vec<Arc<_>> = {
        let registry = app.contracts.read();
        registry.all().map(|held| held.stored.clone()).collect()
    };
    let mut demands = Vec::new();
    for stored in contracts {
        let rate = adapt(app, &stored.contract);
        if rate > QUIET {
            demands.push(Demand {
                customer: stored.contract.customer.clone(),
                rate,
            });
        }
    }
    demands
}

fn adapt(app: &App, contract: &Contract) -> f64 {
    let customer = &contract.customer;
    let demand = app.limits.limiters.with_shard(customer, |limiters| {
        let limiter = limiters.get_mut(customer)?;
        let arrived = f64::from(std::mem::take(&mut limiter.arrived));
        limiter.demand += SMOOTH * (arrived - limiter.demand);
        Some(limiter.demand)
    });
    let Some(demand) = demand else {
        return 0.0;
    };
    let share = share(app, customer, demand);
    let now: Millis = app.clock.now();
    app.limits.limiters.with_shard(customer, |limiters| {
        if let Some(limiter) = limiters.get_mut(customer) {
            limiter.split.update(share, now);
            limiter.gate.resize(contract, limiter.split.share(), now);
        }
    });
    demand
}
