//! The queue and the upstreams of one model or service, as callers meet them.

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

/// When to come back when no upstream can take a request, in milliseconds.
const OUT: Millis = 1_000;

/// Times of an upstream's usual latency after which its silence counts as a failure.
const SILENT: f64 = 4.0;

/// Why a request is not sent anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of refusal.
    pub kind: Type,
    /// When to come back, in milliseconds.
    pub after: Millis,
}

/// What waits in a queue.
struct Waiter {
    ask: Requirements,
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
    /// What serves it.
    pub kind: UpstreamKind,
    instance: Name,
    clock: Clock,
    state: Mutex<State>,
}

/// The right to send one request to an upstream.
pub struct Permit {
    /// The upstream.
    pub spec: UpstreamSpec,
    dispatcher: Arc<Dispatcher>,
    began: Millis,
    ended: bool,
}

impl Permit {
    /// Ends with what came of it.
    pub fn end(mut self, well: bool) {
        let latency = (self.dispatcher.clock.now() - self.began) as f64;
        let outcome = match well {
            true => Outcome::Answered(latency),
            false => Outcome::Failed,
        };
        self.close(outcome);
    }

    /// Ends with a caller's deadline, `limit` milliseconds after it was sent.
    ///
    /// A deadline that is near the upstream's usual latency says nothing about the upstream; one
    /// that is far beyond it does.
    pub fn timed_out(mut self, limit: Millis) {
        let mut usual = 0.0;
        self.dispatcher
            .update(&self.spec.name, |u| usual = u.latency);
        let outcome = match limit as f64 >= SILENT * usual {
            true => Outcome::Failed,
            false => Outcome::Neutral,
        };
        self.close(outcome);
    }

    fn close(&mut self, outcome: Outcome) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.dispatcher.done(&self.spec.name, outcome);
    }
}

impl Drop for Permit {
    // A caller that goes away in the middle leaves no word about the upstream.
    fn drop(&mut self) {
        self.close(Outcome::Neutral);
    }
}

/// Removes a request from the queue when its caller goes away while it waits.
struct Cancel<'a> {
    dispatcher: &'a Dispatcher,
    ticket: limit::Ticket,
}

impl Drop for Cancel<'_> {
    fn drop(&mut self) {
        self.dispatcher.state.lock().queue.cancel(self.ticket);
    }
}

impl Dispatcher {
    /// Makes the dispatcher of a pool.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownPlugin`] when the settings name a policy that is not there.
    pub fn new(
        pool: &settings::Pool,
        me: &settings::Instance,
        upstreams: &[UpstreamSpec],
        clock: Clock,
    ) -> Result<Self, UnknownPlugin> {
        let order = plugin::find::<QueueOrder>(pool.order)?;
        let chooser = plugin::find::<Chooser>(pool.chooser)?;
        let mut known = Pool::new(chooser, me.domain.clone());
        let of_pool = upstreams.iter().filter(|spec| spec.pool == pool.name);
        of_pool.cloned().for_each(|spec| known.add(spec));
        let state = State {
            queue: Queue::new((order.make)(), pool.queue),
            pool: known,
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

    /// Waits for the right to send a request to an upstream.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`], with nothing sent, when it cannot be done by the deadline, the queue
    /// is full, or no upstream can take it.
    pub async fn acquire(
        self: &Arc<Self>,
        entry: &QueueEntry,
        ask: Requirements,
        deadline: Millis,
    ) -> Result<Permit, Refusal> {
        let (ticket, receiver) = match self.enter(entry, ask, deadline)? {
            Entered::Now(permit) => return Ok(permit),
            Entered::Later(ticket, receiver) => (ticket, receiver),
        };
        let cancel = Cancel {
            dispatcher: self,
            ticket,
        };
        let left = deadline.saturating_sub(self.clock.now());
        let waited = tokio::time::timeout(Duration::from_millis(left), receiver).await;
        drop(cancel);
        match waited {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(Refusal {
                kind: Type::Late,
                after: OUT,
            }),
        }
    }

    fn enter(
        self: &Arc<Self>,
        entry: &QueueEntry,
        ask: Requirements,
        deadline: Millis,
    ) -> Result<Entered, Refusal> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        if state.queue.is_empty() {
            match state.pool.pick(&ask, now) {
                Pick::Upstream(spec) => return Ok(Entered::Now(self.permit(spec, now))),
                Pick::Unavailable => return Err(refusal(Type::NoUpstream, OUT)),
                Pick::Busy => (),
            }
        }
        let work = typical(&state.pool);
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter { ask, sender };
        match state.queue.push(now, entry, deadline, work, waiter) {
            QueueDecision::Queued(ticket) => {
                self.measure(&state);
                Ok(Entered::Later(ticket, receiver))
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
            began: now,
            ended: false,
        }
    }

    fn measure(&self, state: &State) {
        let (instance, pool) = (self.instance.to_string(), self.name.to_string());
        metrics::gauge!(meter::QUEUED_REQUESTS, "instance" => instance, "pool" => pool)
            .set(state.queue.len() as f64);
    }

    /// Lets waiting requests go while there is room.
    pub fn pump(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut granted = Vec::new();
        let mut state = self.state.lock();
        let work = typical(&state.pool);
        while let Some((waiter, late)) = state.queue.peek(now, work) {
            let ask = waiter.ask.clone();
            let result = match late {
                true => Err(refusal(Type::Late, OUT)),
                false => match state.pool.pick(&ask, now) {
                    Pick::Busy => break,
                    Pick::Unavailable => Err(refusal(Type::NoUpstream, OUT)),
                    Pick::Upstream(spec) => Ok(self.permit(spec, now)),
                },
            };
            let popped = state.queue.pop(now, work).map(Dequeued::into_inner);
            granted.extend(popped.map(|waiter| (waiter, result)));
        }
        self.measure(&state);
        drop(state);
        // Sent outside the lock: a permit that finds no receiver is dropped, which takes the lock.
        for (waiter, result) in granted {
            let _ = waiter.sender.send(result);
        }
    }

    fn done(self: &Arc<Self>, name: &str, outcome: Outcome) {
        let word = match outcome {
            Outcome::Answered(_) => "answered",
            Outcome::Failed => "failed",
            Outcome::Neutral => "left",
        };
        let (instance, pool) = (self.instance.to_string(), self.name.to_string());
        metrics::counter!(
            meter::UPSTREAM_ATTEMPTS, "instance" => instance, "pool" => pool, "outcome" => word
        )
        .increment(1);
        let now = self.clock.now();
        self.state.lock().pool.finish(name, outcome, now);
        self.pump();
    }

    /// Counts a first attempt towards the budget for retries.
    pub fn earn(&self) {
        self.state.lock().budget.earn();
    }

    /// Decides what follows a failed attempt.
    pub fn retry(&self, failure: Failure) -> Decision {
        let now = self.clock.now();
        let jitter = rand::random();
        decide(failure, &mut self.state.lock().budget, now, jitter)
    }

    /// Changes the health of an upstream, if this dispatcher has it.
    pub fn judge(self: &Arc<Self>, name: &str, f: impl FnOnce(&mut Health)) {
        self.state.lock().pool.update_health(name, f);
        self.pump();
    }

    /// Changes what is known of an upstream, if this dispatcher has it.
    pub fn update(self: &Arc<Self>, name: &str, f: impl FnOnce(&mut Upstream)) {
        if let Some(upstream) = self.state.lock().pool.find_mut(name) {
            f(upstream);
        }
        self.pump();
    }

    /// Notes what an upstream says it is working on.
    pub fn heard(self: &Arc<Self>, name: &str, running: u32) {
        let now = self.clock.now();
        self.update(name, |upstream| upstream.record_report(running, now));
    }

    /// Notes how many instances share the upstreams.
    pub fn share(&self, live: u32) {
        self.state.lock().pool.set_instances(live);
    }

    /// Runs `f` on all upstreams.
    pub fn all<R>(&self, f: impl FnOnce(&[Upstream]) -> R) -> R {
        f(self.state.lock().pool.upstreams())
    }
}

enum Entered {
    Now(Permit),
    Later(limit::Ticket, oneshot::Receiver<Result<Permit, Refusal>>),
}

fn refusal(kind: Type, after: Millis) -> Refusal {
    Refusal { kind, after }
}

/// The latency that a request is to reckon with: the mean over the upstreams that may get work,
/// weighted by what runs there, since that is where the next one goes.
fn typical(pool: &Pool) -> Millis {
    let known = pool.upstreams().iter().filter(|u| u.latency > 0.0);
    let (mut sum, mut count) = (0.0, 0.0);
    for upstream in known {
        let weight = f64::from(upstream.outstanding + 1);
        sum += upstream.latency * weight;
        count += weight;
    }
    if count > 0.0 {
        (sum / count) as Millis
    } else {
        0
    }
}
