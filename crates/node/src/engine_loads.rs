//! Records which engines load weights, from notices of the leader and from the engines' answers.

use std::sync::Arc;

use kernel::Millis;
use place::Load;
use place::LoadNotice;
use place::Rejection;

use crate::App;
use crate::run::BUSY_BACKOFF;
use crate::run::Run;
use crate::telemetry;

/// Records the leader's notice that engines load weights. Engines that are not listed here, because they are gone or
/// were restarted, are left out.
pub(crate) fn record_notice(app: &App, notice: &LoadNotice, engines: &[Arc<str>]) {
    if !app.settings.placement.load_notices {
        return;
    }
    if !notice.is_valid() {
        log::warn!(target: "owner", model = &*notice.model, version = notice.version, duration_ms = notice.duration;
            "load notice out of range ignored");
        count_notice("invalid");
        return;
    }
    let now = app.clock.now();
    let upstreams = app.upstreams.lock();
    let mut tracker = app.engine_tracker.lock();
    let listed = engines.iter().filter_map(|id| upstreams.get(id));
    let taken = listed
        .filter(|engine| tracker.load_notified(engine, notice, now))
        .count();
    drop(tracker);
    drop(upstreams);
    count_notice("taken");
    log::info!(target: "owner", model = &*notice.model, version = notice.version, engines = engines.len(), taken;
        "engines load");
}

/// Counts a notice.
pub(crate) fn count_notice(result: &'static str) {
    metrics::counter!(telemetry::LOAD_NOTICES, "result" => result).increment(1);
}

/// Records that an engine which reported `load` has rejected a run as not executed. An engine with free slots loads
/// the run's model and still runs others; any other engine gets no run for [`BUSY_BACKOFF`].
pub(crate) fn record_rejection(run: &Run, load: Option<Load>, started_at: Millis) {
    let Run {
        app, engine, model, ..
    } = run;
    let now = app.clock.now();
    let mut tracker = app.engine_tracker.lock();
    let rejection = match app.settings.placement.load_notices {
        true => tracker.run_rejected(engine, model, load, started_at, now),
        false => Rejection::Full,
    };
    if rejection == Rejection::Full {
        tracker.engine_busy(&engine.id, now + BUSY_BACKOFF);
    }
    drop(tracker);
    let cause = match rejection {
        Rejection::Full => "full",
        Rejection::Loading(_) | Rejection::KnownLoading => "loading",
    };
    metrics::counter!(telemetry::REJECTIONS, "cause" => cause).increment(1);
    if let Rejection::Loading(backoff) = rejection {
        log::info!(target: "run", upstream = &*engine.id, model = &**model, backoff_ms = backoff;
            "engine with free slots has rejected a run");
    }
}

/// Records that an engine executes a run. If that shows that a load has ended, waiting samples are placed at once.
pub(crate) fn record_accepted(run: &Run, started_at: Millis) {
    let mut tracker = run.app.engine_tracker.lock();
    let has_ended = tracker.model_run_accepted(&run.engine.id, &run.model, started_at);
    drop(tracker);
    if has_ended {
        run.app.capacity_changed.notify_waiters();
    }
}
