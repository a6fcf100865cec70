//! Crash tracking of requests that are sent to upstreams.

use std::sync::Arc;

use crash::CrashTracker;
use crash::Subject;
use crash::SuspectGuard;
use http::StatusCode;
use kernel::Millis;
use kernel::Name;
use plat::PlatError;
use plat::keys;
use route::Ran;
use route::UpstreamSpec;
use wire::Problem;
use wire::problem::Type;

use crate::App;

/// Time within which crashes of an upstream count as one crash, whichever instances observe them, in
/// milliseconds. An upstream keeps its name when it restarts, and a restart takes some seconds.
const CRASH_WINDOW_MS: Millis = 5_000;

/// A request that is sent to upstreams.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    /// What crashes of upstreams mean for it, equal for all attempts.
    pub(crate) subject: Subject,
    /// The request identifier, for log lines.
    pub(crate) id: String,
}

impl OutgoingRequest {
    /// Rejects the request if it is quarantined, and waits until `deadline` at most for a pending decision.
    /// `ran` is whether an earlier attempt may have run.
    pub(crate) async fn check_quarantine(
        &self,
        app: &App,
        deadline: Millis,
        ran: Ran,
    ) -> Result<(), Problem> {
        let timeout = deadline.saturating_sub(app.clock.now());
        let Some(remaining) = app.crashes.admit(self.subject, timeout).await else {
            return Ok(());
        };
        let problem = Problem::new(Type::Quarantined, ran);
        match ran {
            Ran::No => Err(problem.retry_after(remaining)),
            Ran::Unknown => Err(problem),
        }
    }

    /// Returns the upstreams that run other suspects if this request is a suspect.
    pub(crate) fn upstreams_to_avoid(&self, app: &App) -> Vec<Name> {
        let runs = app.crashes.upstreams_to_avoid(|| self.subject);
        let names = runs.iter().filter_map(|run| run.split_once('@'));
        names.filter_map(|(name, _)| name.parse().ok()).collect()
    }

    /// Records that the request runs on an upstream if the request is a suspect, until the guard is dropped.
    pub(crate) fn track_suspect(&self, app: &App, spec: &UpstreamSpec) -> Option<SuspectGuard> {
        app.crashes
            .track_suspect(|| self.subject, &upstream_run(app, spec))
    }

    /// Checks whether an upstream has crashed after its connection broke, and records the crash if so.
    pub(crate) async fn check_crash(&self, app: &App, spec: &UpstreamSpec) {
        let leaving = app.view.lock().is_leaving(&spec.name).unwrap_or(false);
        let has_left = move || leaving;
        let run = upstream_run(app, spec);
        let check = app
            .crashes
            .check_upstream(&self.id, self.subject, &run, spec.addr, has_left);
        check.await;
    }

    /// Records that an upstream has answered a call completely. A server error does not count as a success,
    /// since it does not show that the call ran.
    pub(crate) fn record_answer(&self, app: &App, status: StatusCode) {
        if !status.is_server_error() {
            self.record_success(app);
        }
    }

    /// Records that an upstream has answered the request completely.
    pub(crate) fn record_success(&self, app: &App) {
        app.crashes.record_success(|| self.subject);
    }
}

/// Returns the name of an upstream's current run: the upstream and the crash window, as `NAME@NUMBER`.
fn upstream_run(app: &App, spec: &UpstreamSpec) -> Arc<str> {
    format!("{}@{}", spec.name, app.clock.wall() / CRASH_WINDOW_MS).into()
}

/// Reads the crash records of all instances from the platform, deletes expired ones, and publishes this
/// instance's record whenever it changes.
pub(crate) async fn run(app: Arc<App>) {
    let tracker: &CrashTracker = &app.crashes;
    match app.plat.list(keys::CRASHES).await {
        Ok(range) => {
            let items = &range.items;
            items
                .iter()
                .for_each(|item| crash::report::merge_record(tracker, item));
            crash::report::delete_expired(&app.plat, items, app.clock.wall()).await;
        }
        Err(error) => log_failure(Err(&error)),
    }
    let me = app.view.lock().me().clone();
    let key = keys::crashes(&me.name, me.incarnation);
    crash::report::publish(tracker, &app.plat, &key, log_failure).await;
}

fn log_failure(result: Result<(), &PlatError>) {
    if let Err(error) = result {
        let error = error.to_string();
        log::warn!(target: "crash", error = error.as_str(); "could not read or write crash records");
    }
}
