//! Sheds new calls and streams while this instance lacks processor time.
//!
//! [`limit::overload`] decides; this module measures the delay of the run queue. A measurement begins when a request
//! arrives and none is pending, so an idle instance measures nothing.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use kernel::Millis;
use limit::Shedder;
use limit::overload::Arrival;
use limit::overload::Change;
use limit::overload::readiness::Readiness;
use limit::overload::readiness::may_be_unready;
use parking_lot::Mutex;
use table::Config;
use table::Route;
use table::RouteKind;
use team::Principal;
use tokio::task::yield_now;

use crate::App;
use crate::refusal::Refusal;
use crate::telemetry;

/// State of the shedding of calls at this instance.
pub(crate) struct Overload {
    /// [`None`] if nothing is shed.
    state: Option<Mutex<State>>,
    is_measuring: AtomicBool,
}

struct State {
    shedder: Shedder,
    readiness: Readiness,
    /// Since when calls may be shed.
    started: Millis,
    /// Calls shed since then.
    shed: u64,
    is_unready: bool,
}

impl Overload {
    /// Creates the state of an instance that keeps its delay near `limit`; it sheds nothing if that is [`None`].
    pub(crate) fn new(limit: Option<Millis>) -> Self {
        let state = limit.map(|limit| {
            Mutex::new(State {
                shedder: Shedder::new(limit),
                readiness: Readiness::new(limit),
                started: 0,
                shed: 0,
                is_unready: false,
            })
        });
        Self {
            state,
            is_measuring: AtomicBool::new(false),
        }
    }
}

impl State {
    fn report(&mut self, change: Option<Change>, now: Millis) {
        match change {
            Some(Change::Started) => {
                (self.started, self.shed) = (now, 0);
                log::warn!(target: "overload", delay_ms = self.shedder.delay(); "shedding started");
            }
            Some(Change::Ended) => {
                let took = now.saturating_sub(self.started);
                log::info!(target: "overload", took_ms = took, shed = self.shed; "shedding ended");
            }
            None => (),
        }
    }
}

/// Measures the delay of the run queue unless a measurement is pending.
pub(crate) fn measure(app: &Arc<App>) {
    let overload = &app.overload;
    if overload.state.is_none() || overload.is_measuring.swap(true, Ordering::Relaxed) {
        return;
    }
    let app = app.clone();
    start_measurement(&app);
    tokio::spawn(async move {
        // Begins anew, because a complete measurement covers only the yield below. The first start makes the wait for
        // this task count as the age of a pending measurement.
        start_measurement(&app);
        if let Some(state) = &app.overload.state {
            // The scheduler resumes a task that yields after it has polled for I/O and run what was ready before, as
            // it would handle a request that arrives now.
            yield_now().await;
            end_measurement(&app, &mut state.lock());
        }
        app.overload.is_measuring.store(false, Ordering::Relaxed);
    });
}

fn start_measurement(app: &App) {
    if let Some(state) = &app.overload.state {
        let (now, cpu) = (app.clock.now(), app.clock.thread_cpu());
        state.lock().shedder.measurement_started(now, cpu);
    }
}

fn end_measurement(app: &App, state: &mut State) {
    let now = app.clock.now();
    let (delay, change) = state.shedder.measurement_ended(now, app.clock.thread_cpu());
    state.report(change, now);
    let sheds_nearly_all = state.shedder.sheds_nearly_all();
    state.readiness.measured(delay, sheds_nearly_all, now);
    metrics::gauge!(telemetry::RUN_QUEUE_DELAY).set(delay as f64);
    metrics::gauge!(telemetry::SHED_FRACTION).set(state.shedder.shed_fraction());
}

/// Returns the refusal if a call or stream is shed. Steps are never shed.
pub(crate) fn shed(
    app: &App,
    config: &Config,
    route: &Route,
    principal: &Principal,
) -> Option<Refusal> {
    let state = app.overload.state.as_ref()?;
    if route.kind == RouteKind::Rollout {
        return None;
    }
    let priority = config.priority(route, principal);
    let now = app.clock.now();
    let mut state = state.lock();
    let change = state.shedder.check_pending(now, app.clock.thread_cpu());
    state.report(change, now);
    match state.shedder.arrived(principal.team(), priority, now) {
        Arrival::Accepted => None,
        Arrival::Shed => {
            state.shed += 1;
            metrics::counter!(telemetry::SHED_REQUESTS, "priority" => priority.level().to_string())
                .increment(1);
            let retry_after = state.shedder.retry_after(rand::random());
            Some(Refusal::Overloaded(retry_after))
        }
    }
}

/// Returns whether this instance reports that it is not ready because it is overloaded.
pub(crate) fn is_unready(app: &App) -> bool {
    let Some(state) = &app.overload.state else {
        return false;
    };
    let mut state = state.lock();
    let is_unready = state.readiness.is_overloaded() && may_leave_domain(app);
    if is_unready != state.is_unready {
        state.is_unready = is_unready;
        log::warn!(target: "overload", unready = is_unready; "readiness changed by overload");
    }
    is_unready
}

/// Returns whether this instance is one of those in its failure domain that may be not ready now. An incomplete list of
/// members is not used: instances with different parts of the list could together exceed the permitted number.
fn may_leave_domain(app: &App) -> bool {
    if !app.has_full_membership() {
        return false;
    }
    let members = app.members.lock().clone();
    let entries = members
        .iter()
        .filter(|member| member.is_reader && member.domain == app.settings.domain);
    let names: Vec<_> = entries.map(|member| &*member.owner.instance).collect();
    may_be_unready(&app.me.instance, &names, app.clock.steady())
}
