//! Requests that crash upstreams, as this instance's parts meet them.

use std::sync::Arc;

use crash::CrashTracker;
use crash::SuspectGuard;
use http::StatusCode;
use kernel::Millis;
use kernel::Name;
use plat::PlatError;
use plat::keys;
use poison::Fingerprint;
use route::Ran;
use route::UpstreamSpec;
use wire::Problem;
use wire::problem::Type;

use crate::App;

/// Time within which the crash of an upstream is one and the same, whoever notices it, in milliseconds:
/// upstreams keep their name, and take some seconds to start again.
const START: Millis = 5_000;

/// A request on its way to upstreams.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    /// What it asks for.
    pub(crate) fingerprint: Fingerprint,
    /// Its id, for lines.
    pub(crate) id: String,
}

impl OutgoingRequest {
    /// Refuses the request if it may not run; `ran` tells whether it may have before.
    pub(crate) async fn check_quarantine(
        &self,
        app: &App,
        deadline: Millis,
        ran: Ran,
    ) -> Result<(), Problem> {
        let time = deadline.saturating_sub(app.clock.now());
        let Some(left) = app.crashes.admit(self.fingerprint.into(), time).await else {
            return Ok(());
        };
        let problem = Problem::new(Type::Quarantined, ran);
        match ran {
            Ran::No => Err(problem.retry_after(left)),
            Ran::Unknown => Err(problem),
        }
    }

    /// The upstreams at which other suspects are.
    pub(crate) fn upstreams_to_avoid(&self, app: &App) -> Vec<Name> {
        let starts = app.crashes.upstreams_to_avoid(|| self.fingerprint.into());
        let names = starts.iter().filter_map(|start| start.split_once('@'));
        names.filter_map(|(name, _)| name.parse().ok()).collect()
    }

    /// Notes that the request goes to an upstream, if it is a suspect.
    pub(crate) fn track_suspect(&self, app: &App, spec: &UpstreamSpec) -> Option<SuspectGuard> {
        app.crashes
            .track_suspect(|| self.fingerprint.into(), &start(app, spec))
    }

    /// Looks whether an upstream has crashed after the connection broke there.
    pub(crate) async fn check_crash(&self, app: &App, spec: &UpstreamSpec) {
        let leaving = app.view.lock().is_leaving(&spec.name).unwrap_or(false);
        let left = move || leaving;
        let start = start(app, spec);
        let looking =
            app.crashes
                .check_upstream(&self.id, self.fingerprint.into(), &start, spec.addr, left);
        looking.await;
    }

    /// Notes that an upstream has answered a call whole. A failure of the upstream does not tell that the call
    /// ran.
    pub(crate) fn record_answer(&self, app: &App, status: StatusCode) {
        if !status.is_server_error() {
            self.record_success(app);
        }
    }

    /// Notes that an upstream has answered it whole.
    pub(crate) fn record_success(&self, app: &App) {
        app.crashes.record_success(|| self.fingerprint.into());
    }
}

fn start(app: &App, spec: &UpstreamSpec) -> Arc<str> {
    format!("{}@{}", spec.name, app.clock.wall() / START).into()
}

/// Learns what others have seen before, and keeps what this instance sees at the platform.
pub(crate) async fn run(app: Arc<App>) {
    let watch: &CrashTracker = &app.crashes;
    match app.plat.list(keys::CRASHES).await {
        Ok(range) => {
            let items = &range.items;
            items
                .iter()
                .for_each(|item| crash::report::merge_record(watch, item));
            crash::report::delete_expired(&app.plat, items, app.clock.wall()).await;
        }
        Err(error) => failed(Err(&error)),
    }
    let me = app.view.lock().me().clone();
    let key = keys::crashes(&me.name, me.incarnation);
    crash::report::publish(watch, &app.plat, &key, failed).await;
}

fn failed(done: Result<(), &PlatError>) {
    if let Err(error) = done {
        let error = error.to_string();
        log::warn!(target: "crash", error = error.as_str(); "record of crashes not reached");
    }
}
