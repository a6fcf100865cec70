//! Queues of the calls and streams that wait for a place at a service.
//!
//! Load pattern: callers ask for up to several times what a service runs, at dozens of instances with a few calls each.
//! Which call is sent, waits or is refused is decided by [`limit::CallGate`]; this module wakes those that wait.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use kernel::Map;
use kernel::Millis;
use kernel::Name;
use limit::CallGate;
use limit::Signal;
use limit::Ticket;
use limit::gate::Arrival;
use limit::gate::GateCall;
use limit::order::QueueEntry;
use parking_lot::Mutex;
use parking_lot::MutexGuard;
use table::Route;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::App;
use crate::forwarded_request::ForwardedRequest;
use crate::forwarded_request::RESPONSE_ALLOWANCE;
use crate::forwarded_request::UpstreamSlot;
use crate::telemetry;

/// Maximum window relative to the slots of the service's upstreams: one call that runs and one that waits there for
/// each slot.
const MAX_WINDOW_FACTOR: u32 = 2;

/// Classes per priority level: that of teams within their share, and after it that of teams beyond theirs.
const CLASSES_PER_LEVEL: u8 = 2;

/// Name for all requests without a team. Names of teams are digests, which are longer.
const NO_TEAM: &str = "none";

/// Interval at which a call that has a place checks for an upstream with room: a quarter of the time for which an
/// upstream that rejected a call gets no other.
const UPSTREAM_POLL: Duration = Duration::from_millis(25);

/// The queues of all services.
#[derive(Default)]
pub(crate) struct CallQueues(Mutex<Map<Arc<str>, Arc<CallQueue>>>);

/// The calls that wait for one service.
struct CallQueue {
    service: Arc<str>,
    clock: Clock,
    gate: Mutex<CallGate<oneshot::Sender<Place>>>,
}

/// Why a call was refused before it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueRefusal {
    /// It would wait for too long.
    TooLong,
    /// The queue is full.
    Full,
    /// A more urgent call took its place in the full queue.
    Displaced,
    /// It has waited for as long as it may.
    Waited,
    /// No upstream of the service is listed, or none takes the call.
    NoUpstream,
}

impl QueueRefusal {
    /// Returns the reason as it is logged.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Self::TooLong => "the wait would be too long",
            Self::Full => "the queue is full",
            Self::Displaced => "displaced by a more urgent call",
            Self::Waited => "waited too long",
            Self::NoUpstream => "no upstream has a free slot",
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::Full => "full",
            Self::Displaced => "displaced",
            Self::Waited => "waited",
            Self::NoUpstream => "no_upstream",
        }
    }
}

/// What became of a request that had a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlaceResult {
    /// It was answered by an upstream that does not report its load.
    Answered,
    /// It was answered by an upstream in which requests wait.
    AnsweredWaiting,
    /// It was answered by an upstream in which no request waits.
    AnsweredIdle,
    /// It was answered by an upstream in which as many requests wait as run.
    AnsweredCrowded,
    /// The upstream rejected it.
    Rejected,
    /// It got no answer in time.
    Unanswered,
}

/// A place in the window of a service, released when it is dropped.
pub(crate) struct Place {
    queue: Arc<CallQueue>,
    /// When the request was sent, or, before that, when it got the place.
    sent_at: Millis,
    /// Target latency of the route, in milliseconds.
    target: Option<Millis>,
    /// Time after which the request must not be sent any more.
    latest: Millis,
    /// The result and whether it came within the target, once it is known.
    result: Option<(PlaceResult, bool)>,
}

impl Place {
    fn new(queue: &Arc<CallQueue>, now: Millis) -> Self {
        Self {
            queue: queue.clone(),
            sent_at: now,
            target: None,
            latest: now,
            result: None,
        }
    }

    /// Records the result after `took` milliseconds. The first answer of a stream decides for all of it.
    pub(crate) fn record(&mut self, result: PlaceResult, took: Millis) {
        let is_on_time = self.target.is_none_or(|target| took <= target);
        self.result = Some((result, is_on_time));
    }

    /// Returns the signal by which the window adapts to the result of a request that held the place for `took`
    /// milliseconds; [`None`] if the result says nothing about the load.
    fn signal(&self, took: Millis) -> Option<Signal> {
        Some(match self.result? {
            (PlaceResult::Rejected, _) => Signal::Rejected,
            // An attempt that failed early, for example because the upstream crashed, says nothing about its load.
            (PlaceResult::Unanswered, true) => return None,
            (PlaceResult::AnsweredIdle, false) => Signal::Slow(took),
            (PlaceResult::Answered | PlaceResult::Unanswered, false) => {
                Signal::LateUnexplained(took)
            }
            (PlaceResult::AnsweredWaiting | PlaceResult::AnsweredCrowded, false) => {
                Signal::Late(took)
            }
            (PlaceResult::AnsweredCrowded, true) => Signal::Crowded(took),
            (_, true) => Signal::OnTime(took),
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.queue.clock.now();
        let signal = self.signal(now.saturating_sub(self.sent_at));
        self.queue.gate.lock().finish(now, self.sent_at, signal);
        self.queue.grant();
    }
}

/// Removes a waiting call from its queue when it is dropped, for example because its caller disconnected.
struct CancelGuard<'a> {
    queue: &'a Arc<CallQueue>,
    ticket: Ticket,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        self.queue.gate.lock().cancel(self.ticket);
    }
}

impl CallQueue {
    /// Sends places to the calls that may be sent now.
    fn grant(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut gate = self.gate.lock();
        let granted: Vec<_> = std::iter::from_fn(|| gate.next(now)).collect();
        self.record_gauges(&gate);
        drop(gate);
        // Sent without the lock, because a place whose receiver is gone is dropped, and dropping it acquires the lock.
        for sender in granted {
            let _ = sender.send(Place::new(self, now));
        }
    }

    fn record_gauges(&self, gate: &MutexGuard<'_, CallGate<oneshot::Sender<Place>>>) {
        let service = self.service.to_string();
        metrics::gauge!(telemetry::WAITING_CALLS, "service" => service.clone())
            .set(gate.waiting() as f64);
        metrics::gauge!(telemetry::CALL_WINDOW, "service" => service).set(gate.window().size());
    }

    /// Waits for a place.
    async fn acquire(self: &Arc<Self>, call: &GateCall, max: u32) -> Result<Place, QueueRefusal> {
        let (sender, mut receiver) = oneshot::channel();
        let now = self.clock.now();
        let arrival = {
            let mut gate = self.gate.lock();
            gate.window_mut().set_max(max);
            gate.arrive(now, call, sender)
        };
        let (ticket, latest) = match arrival {
            Arrival::Queued {
                ticket,
                latest,
                displaced,
            } => {
                // Dropping the sender wakes the displaced call, which is then refused.
                drop(displaced);
                (ticket, latest)
            }
            Arrival::TooLong => return Err(QueueRefusal::TooLong),
            Arrival::Full => return Err(QueueRefusal::Full),
        };
        let _guard = CancelGuard {
            queue: self,
            ticket,
        };
        loop {
            self.grant();
            let now = self.clock.now();
            let pause = self.gate.lock().window().pause(now);
            let wake_at = match pause {
                0 => latest,
                pause => latest.min(now + pause),
            };
            let left = Duration::from_millis(wake_at.saturating_sub(now));
            let received = timeout(left, &mut receiver).await;
            match received {
                Ok(Ok(mut place)) => {
                    (place.target, place.latest) = (call.target, latest);
                    return Ok(place);
                }
                Ok(Err(_)) => return Err(QueueRefusal::Displaced),
                Err(_) if self.clock.now() >= latest => return Err(QueueRefusal::Waited),
                Err(_) => (),
            }
        }
    }

    /// Takes a place for another attempt at a call that is at an upstream, if nothing waits for one.
    fn hedge(self: &Arc<Self>, target: Option<Millis>) -> Option<Place> {
        let now = self.clock.now();
        if !self.gate.lock().hedge(now) {
            return None;
        }
        let mut place = Place::new(self, now);
        place.target = target;
        Some(place)
    }
}

/// Returns the name under which the calls of a request's team are counted.
fn customer(request: &ForwardedRequest) -> Option<Name> {
    let Some(team) = request.principal.team() else {
        return NO_TEAM.parse().ok();
    };
    // The name of a team may have characters that a `Name` may not have.
    let digest = u64::from_be_bytes(kernel::digest(&[team.as_bytes()]));
    format!("{digest:016x}").parse().ok()
}

/// A call or stream whose attempts need places.
pub(crate) struct QueuedCall {
    queue: Arc<CallQueue>,
    call: GateCall,
    level: u8,
}

impl QueuedCall {
    /// Creates the queued call of a request that has just arrived; [`None`] if calls do not wait at this instance.
    pub(crate) fn new(
        request: &ForwardedRequest,
        route: &Route,
        service: Option<&Arc<str>>,
    ) -> Option<Self> {
        let app = &request.app;
        let (service, customer) = (service?, customer(request)?);
        let queue = app.call_queues.get(app, service)?;
        let config = app.config.load();
        let priority = config
            .as_ref()
            .map(|config| config.priority(route, &request.principal));
        let entry = QueueEntry {
            customer,
            weight: 1,
            class: 0,
            cost: 1.0,
        };
        let call = GateCall {
            entry,
            arrived: app.clock.now(),
            deadline: request.deadline.saturating_sub(RESPONSE_ALLOWANCE),
            target: route.target_latency,
        };
        Some(Self {
            queue,
            call,
            level: priority.unwrap_or_default().level(),
        })
    }

    /// Waits for a place and then for an upstream outside `used` with room for it.
    pub(crate) async fn acquire(
        &self,
        request: &ForwardedRequest,
        used: &[Arc<str>],
    ) -> Result<UpstreamSlot, QueueRefusal> {
        let (app, service) = (&request.app, &*self.queue.service);
        let slots = slot_count(app, service);
        if slots == 0 {
            return Err(self.count(QueueRefusal::NoUpstream));
        }
        let now = app.clock.now();
        let mut call = self.call.clone();
        call.entry.class =
            self.level * CLASSES_PER_LEVEL + u8::from(request.is_restricted(service, now));
        let acquired = self.queue.acquire(&call, slots * MAX_WINDOW_FACTOR).await;
        let now = app.clock.now();
        request.record_share(service, acquired.is_ok(), now);
        let mut place = acquired.map_err(|refusal| self.count(refusal))?;
        let mut slot = request.reserve_slot(service, used, true);
        // An upstream that has just rejected a call gets no other for a moment, so a first attempt waits for one. A
        // further attempt does not: there may be no upstream outside `used`.
        while slot.is_none() && used.is_empty() && app.clock.now() < place.latest {
            tokio::time::sleep(UPSTREAM_POLL).await;
            slot = request.reserve_slot(service, used, true);
        }
        let mut slot = slot.ok_or_else(|| self.count(QueueRefusal::NoUpstream))?;
        place.sent_at = app.clock.now();
        let waited = place.sent_at - self.call.arrived;
        metrics::histogram!(telemetry::CALL_WAIT_SECONDS, "service" => service.to_owned())
            .record(waited as f64 / kernel::time::SECOND as f64);
        slot.place = Some(place);
        Ok(slot)
    }

    /// Takes a place for another attempt beside one that has not been answered, and a free slot of an upstream.
    pub(crate) fn hedge(
        &self,
        request: &ForwardedRequest,
        used: &[Arc<str>],
    ) -> Option<UpstreamSlot> {
        let place = self.queue.hedge(self.call.target)?;
        let mut slot = request.reserve_slot(&self.queue.service, used, false)?;
        slot.place = Some(place);
        Some(slot)
    }

    /// Returns the delay after which a refused caller should retry, in milliseconds.
    pub(crate) fn retry_after(&self) -> Millis {
        self.queue.gate.lock().retry_after(rand::random())
    }

    fn count(&self, refusal: QueueRefusal) -> QueueRefusal {
        let service = self.queue.service.to_string();
        metrics::counter!(telemetry::REFUSED_CALLS, "service" => service, "reason" => refusal.label())
            .increment(1);
        refusal
    }
}

/// Returns the number of slots of a service's listed upstreams.
fn slot_count(app: &App, service: &str) -> u32 {
    let upstreams = app.upstreams.lock();
    let present = upstreams
        .of_service(service)
        .filter(|upstream| !upstream.leaving);
    present.map(|upstream| upstream.slots).sum()
}

impl CallQueues {
    /// Returns the queue of a service; [`None`] if calls do not wait at this instance.
    fn get(&self, app: &App, service: &Arc<str>) -> Option<Arc<CallQueue>> {
        let capacity = app.settings.call_queue;
        if capacity == 0 {
            return None;
        }
        let mut queues = self.0.lock();
        let queue = queues.entry(service.clone()).or_insert_with(|| {
            Arc::new(CallQueue {
                service: service.clone(),
                clock: app.clock,
                gate: Mutex::new(CallGate::new(capacity)),
            })
        });
        Some(queue.clone())
    }
}
