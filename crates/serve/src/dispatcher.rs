//! The dispatcher of a model or service: its queue, and the choice of an upstream for each request.

use std::sync::Arc;
use std::time::Duration;

use kernel::Millis;
use kernel::Name;
use kernel::plugin;
use kernel::plugin::UnknownPlugin;
use limit::Queue;
use limit::QueueDecision;
use limit::QueueOrder;
use limit::order::QueueEntry;
use limit::queue::Dequeued;
use parking_lot::Mutex;
use route::Chooser;
use route::Decision;
use route::Health;
use route::Pool;
use route::RetryBudget;
use route::Upstream;
use route::UpstreamKind;
use route::UpstreamSpec;
use route::pool::Outcome;
use route::pool::Pick;
use route::pool::Requirements;
use route::retry::Failure;
use route::retry::decide;
use tokio::sync::oneshot;
use wire::problem::Type;

use crate::meter;
use crate::settings;
use clock::Clock;

/// Retry delay for callers when no upstream can serve a request, in milliseconds.
const RETRY_AFTER: Millis = 1_000;

/// Multiple of an upstream's average latency from which a timeout counts as a failure of it.
const TIMEOUT_LATENCY_FACTOR: f64 = 4.0;

/// The refusal of a request that was not sent to any upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of refusal.
    pub kind: Type,
    /// Delay before the caller should retry, in milliseconds.
    pub retry_after: Millis,
}

/// A request that waits in the queue.
struct Waiter {
    requirements: Requirements,
    sender: oneshot::Sender<Result<Permit, Refusal>>,
}

struct State {
    queue: Queue<Waiter>,
    pool: Pool,
    budget: RetryBudget,
}

/// The queue and the upstreams of one model or service.
pub struct Dispatcher {
    /// The model or service.
    pub name: Name,
    /// The kind of its upstreams.
    pub kind: UpstreamKind,
    instance: Name,
    clock: Clock,
    state: Mutex<State>,
}

/// Permission to send one request to an upstream.
///
/// A permit that is dropped without a result, for example because its caller disconnected, counts
/// neither for nor against the upstream.
pub struct Permit {
    /// The upstream.
    pub spec: UpstreamSpec,
    dispatcher: Arc<Dispatcher>,
    granted_at: Millis,
    finished: bool,
}

impl Permit {
    /// Finishes the request and records whether it succeeded.
    pub fn finish(mut self, succeeded: bool) {
        let latency = (self.dispatcher.clock.now() - self.granted_at) as f64;
        let outcome = match succeeded {
            true => Outcome::Answered(latency),
            false => Outcome::Failed,
        };
        self.close(outcome);
    }

    /// Finishes the request after a timeout of `timeout` milliseconds.
    ///
    /// A timeout close to the upstream's average latency says nothing about the upstream; one far
    /// beyond it counts as a failure.
    pub fn time_out(mut self, timeout: Millis) {
        let mut average = 0.0;
        self.dispatcher
            .update_upstream(&self.spec.name, |u| average = u.latency);
        let outcome = match timeout as f64 >= TIMEOUT_LATENCY_FACTOR * average {
            true => Outcome::Failed,
            false => Outcome::Neutral,
        };
        self.close(outcome);
    }

    fn close(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        self.dispatcher.record_outcome(&self.spec.name, outcome);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.close(Outcome::Neutral);
    }
}

/// Removes a waiting request from the queue when dropped, for example because its caller
/// disconnected.
struct CancelGuard<'a> {
    dispatcher: &'a Dispatcher,
    ticket: limit::Ticket,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.dispatcher.state.lock().queue.cancel(self.ticket);
    }
}

impl Dispatcher {
    /// Creates the dispatcher of a pool.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownPlugin`] if the settings name an unknown queue order or chooser.
    pub fn new(
        pool: &settings::Pool,
        me: &settings::Instance,
        upstreams: &[UpstreamSpec],
        clock: Clock,
    ) -> Result<Self, UnknownPlugin> {
        let order = plugin::find::<QueueOrder>(pool.order)?;
        let chooser = plugin::find::<Chooser>(pool.chooser)?;
        let mut members = Pool::new(chooser, me.domain.clone());
        let specs = upstreams.iter().filter(|spec| spec.pool == pool.name);
        specs.cloned().for_each(|spec| members.add(spec));
        let state = State {
            queue: Queue::new((order.make)(), pool.queue),
            pool: members,
            budget: RetryBudget::default(),
        };
        Ok(Self {
            name: pool.name.clone(),
            kind: pool.kind,
            instance: me.name.clone(),
            clock,
            state: Mutex::new(state),
        })
    }

    /// Waits for a permit to send a request to an upstream.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the request cannot be finished by the deadline, the queue is full,
    /// or no upstream can serve it. Nothing was sent then.
    pub async fn acquire(
        self: &Arc<Self>,
        entry: &QueueEntry,
        requirements: Requirements,
        deadline: Millis,
    ) -> Result<Permit, Refusal> {
        let (ticket, receiver) = match self.enqueue(entry, requirements, deadline)? {
            EnqueueResult::Granted(permit) => return Ok(permit),
            EnqueueResult::Queued(ticket, receiver) => (ticket, receiver),
        };
        let cancel_guard = CancelGuard {
            dispatcher: self,
            ticket,
        };
        let left = deadline.saturating_sub(self.clock.now());
        let response = tokio::time::timeout(Duration::from_millis(left), receiver).await;
        drop(cancel_guard);
        match response {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(Refusal {
                kind: Type::Late,
                retry_after: RETRY_AFTER,
            }),
        }
    }

    /// Grants a permit at once if the queue is empty and an upstream is free; otherwise adds the
    /// request to the queue.
    fn enqueue(
        self: &Arc<Self>,
        entry: &QueueEntry,
        requirements: Requirements,
        deadline: Millis,
    ) -> Result<EnqueueResult, Refusal> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if state.queue.is_empty() {
            match state.pool.pick(&requirements, now) {
                Pick::Upstream(spec) => return Ok(EnqueueResult::Granted(self.permit(spec, now))),
                Pick::Unavailable => return Err(refusal(Type::NoUpstream, RETRY_AFTER)),
                Pick::Busy => (),
            }
        }
        let latency = expected_latency(&state.pool);
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            requirements,
            sender,
        };
        match state.queue.push(now, entry, deadline, latency, waiter) {
            QueueDecision::Queued(ticket) => {
                self.record_queue_length(&state);
                Ok(EnqueueResult::Queued(ticket, receiver))
            }
            QueueDecision::DeadlineTooClose { retry_after } => {
                Err(refusal(Type::Late, retry_after))
            }
            QueueDecision::Full { retry_after } => Err(refusal(Type::Full, retry_after)),
        }
    }

    fn permit(self: &Arc<Self>, spec: UpstreamSpec, now: Millis) -> Permit {
        Permit {
            spec,
            dispatcher: self.clone(),
            granted_at: now,
            finished: false,
        }
    }

    fn record_queue_length(&self, state: &State) {
        let (instance, pool) = (self.instance.to_string(), self.name.to_string());
        metrics::gauge!(meter::QUEUED_REQUESTS, "instance" => instance, "pool" => pool)
            .set(state.queue.len() as f64);
    }

    /// Grants permits to waiting requests while upstreams have capacity.
    pub fn grant_waiting(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut granted = Vec::new();
        let mut state = self.state.lock();
        let latency = expected_latency(&state.pool);
        while let Some((waiter, is_late)) = state.queue.peek(now, latency) {
            let requirements = waiter.requirements.clone();
            let result = match is_late {
                true => Err(refusal(Type::Late, RETRY_AFTER)),
                false => match state.pool.pick(&requirements, now) {
                    Pick::Busy => break,
                    Pick::Unavailable => Err(refusal(Type::NoUpstream, RETRY_AFTER)),
                    Pick::Upstream(spec) => Ok(self.permit(spec, now)),
                },
            };
            let popped = state.queue.pop(now, latency).map(Dequeued::into_inner);
            granted.extend(popped.map(|waiter| (waiter, result)));
        }
        self.record_queue_length(&state);
        drop(state);
        // Sent without the lock, because a permit whose receiver is gone is dropped, and dropping it
        // acquires the lock.
        for (waiter, result) in granted {
            let _ = waiter.sender.send(result);
        }
    }

    fn record_outcome(self: &Arc<Self>, name: &str, outcome: Outcome) {
        let label = match outcome {
            Outcome::Answered(_) => "answered",
            Outcome::Failed => "failed",
            Outcome::Neutral => "left",
        };
        let (instance, pool) = (self.instance.to_string(), self.name.to_string());
        metrics::counter!(
            meter::UPSTREAM_ATTEMPTS, "instance" => instance, "pool" => pool, "outcome" => label
        )
        .increment(1);
        let now = self.clock.now();
        self.state.lock().pool.finish(name, outcome, now);
        self.grant_waiting();
    }

    /// Credits a first attempt to the retry budget.
    pub fn earn_retry(&self) {
        self.state.lock().budget.earn();
    }

    /// Decides whether a failed attempt is retried, and after which delay.
    pub fn decide_retry(&self, failure: Failure) -> Decision {
        let now = self.clock.now();
        let jitter = rand::random();
        decide(failure, &mut self.state.lock().budget, now, jitter)
    }

    /// Applies `f` to the health of an upstream, if this dispatcher has it.
    pub fn update_health(self: &Arc<Self>, name: &str, f: impl FnOnce(&mut Health)) {
        self.state.lock().pool.update_health(name, f);
        self.grant_waiting();
    }

    /// Applies `f` to an upstream, if this dispatcher has it.
    pub fn update_upstream(self: &Arc<Self>, name: &str, f: impl FnOnce(&mut Upstream)) {
        if let Some(upstream) = self.state.lock().pool.find_mut(name) {
            f(upstream);
        }
        self.grant_waiting();
    }

    /// Records the number of running requests that an upstream reports.
    pub fn record_report(self: &Arc<Self>, name: &str, running: u32) {
        let now = self.clock.now();
        self.update_upstream(name, |upstream| upstream.record_report(running, now));
    }

    /// Sets how many live instances share the upstreams.
    pub fn set_instances(&self, count: u32) {
        self.state.lock().pool.set_instances(count);
    }

    /// Applies `f` to all upstreams.
    pub fn with_upstreams<R>(&self, f: impl FnOnce(&[Upstream]) -> R) -> R {
        f(self.state.lock().pool.upstreams())
    }
}

enum EnqueueResult {
    Granted(Permit),
    Queued(limit::Ticket, oneshot::Receiver<Result<Permit, Refusal>>),
}

fn refusal(kind: Type, retry_after: Millis) -> Refusal {
    Refusal { kind, retry_after }
}

/// Returns the expected latency of a request in milliseconds: the average over the upstreams with a
/// known latency, weighted by their outstanding requests, since upstreams with more of them receive
/// more of the next ones. 0 if no latency is known.
fn expected_latency(pool: &Pool) -> Millis {
    let measured = pool.upstreams().iter().filter(|u| u.latency > 0.0);
    let (mut sum, mut total_weight) = (0.0, 0.0);
    for upstream in measured {
        let weight = f64::from(upstream.outstanding + 1);
        sum += upstream.latency * weight;
        total_weight += weight;
    }
    if total_weight > 0.0 {
        (sum / total_weight) as Millis
    } else {
        0
    }
}
