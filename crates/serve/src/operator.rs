//! Handlers for operators and monitoring. Calls under `/operator` are signed like messages between peers.

use std::sync::Arc;

use http::StatusCode;
use net::Call;
use net::Reply;
use net::body;
use route::Availability;
use route::Upstream;
use wire::peer::Status;
use wire::peer::UpstreamState;

use crate::App;
use crate::meter;
use crate::peer;

/// Handles `POST /operator/status`.
pub async fn status(app: Arc<App>, call: Call) -> Reply {
    match peer::verify(&app, call).await {
        Ok(_) => body::json(StatusCode::OK, &instance_status(&app)),
        Err(error) => *error,
    }
}

fn instance_status(app: &App) -> Status {
    let now = app.clock.now();
    let mut upstreams = Vec::new();
    for dispatcher in app.dispatchers.values() {
        dispatcher
            .with_upstreams(|all| upstreams.extend(all.iter().map(|u| upstream_state(u, now))));
    }
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    let view = app.view.lock();
    Status {
        me: view.me().clone(),
        ready: app.is_ready(),
        newest: app.newest_revision(),
        known: app.contracts_age(),
        reader: view.is_reader(),
        members: view.all().cloned().collect(),
        upstreams,
    }
}

fn upstream_state(u: &Upstream, now: u64) -> UpstreamState {
    let standing = match u.health.availability(now) {
        Availability::Open(1.0) => "open".into(),
        Availability::Open(part) => format!("returning at {:.0}%", part * 100.0),
        Availability::Ejected => "ejected".into(),
        Availability::Leaving => "leaving".into(),
        Availability::Quarantined => "quarantined".into(),
    };
    UpstreamState {
        name: u.spec.name.clone(),
        pool: u.spec.pool.clone(),
        standing: standing.into(),
        outstanding: u.outstanding,
        latency: u.latency,
        version: u.version,
    }
}

/// Handles `POST /operator/explain/{about}`, where `about` is a request identifier or an upstream.
pub async fn explain(app: Arc<App>, call: Call) -> Reply {
    let about = call.segment(2).to_owned();
    match peer::verify(&app, call).await {
        Ok(_) => match app.history.find(&about) {
            Some(history) => body::json(StatusCode::OK, &history),
            None => not_found(),
        },
        Err(error) => *error,
    }
}

/// Handles `POST /operator/steps/{step}`: the state of a step that this instance runs.
pub async fn step(app: Arc<App>, call: Call) -> Reply {
    let step = call.segment(2).to_owned();
    match peer::verify(&app, call).await {
        Ok(_) => match app.steps.state(&step, &app.settings.me.name) {
            Some(state) => body::json(StatusCode::OK, &state),
            None => not_found(),
        },
        Err(error) => *error,
    }
}

fn not_found() -> Reply {
    body::reply(
        StatusCode::NOT_FOUND,
        "text/plain",
        "nothing is known of it here",
    )
}

/// Handles `POST /operator/drain`: starts the graceful shutdown.
pub async fn drain(app: Arc<App>, call: Call) -> Reply {
    match peer::verify(&app, call).await {
        Ok(_) => {
            app.drain_requested.notify_one();
            body::reply(StatusCode::ACCEPTED, "text/plain", "leaving\n")
        }
        Err(error) => *error,
    }
}

/// Handles `GET /healthz`: always 200 while the process answers.
pub async fn health(_: Arc<App>, _: Call) -> Reply {
    body::reply(StatusCode::OK, "text/plain", "ok\n")
}

/// Handles `GET /readyz`: 200 if the balancer may send callers to this instance, otherwise 503.
pub async fn ready(app: Arc<App>, _: Call) -> Reply {
    match app.is_ready() && !app.leaving.load(std::sync::atomic::Ordering::Relaxed) {
        true => body::reply(StatusCode::OK, "text/plain", "ready\n"),
        false => body::reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n"),
    }
}

/// Handles `GET /metrics`.
pub async fn metrics(app: Arc<App>, _: Call) -> Reply {
    let instance = app.settings.me.name.to_string();
    for kind in [
        plat::budget::CallKind::Read,
        plat::budget::CallKind::Write,
        plat::budget::CallKind::Lease,
        plat::budget::CallKind::Watch,
    ] {
        let used = app.plat.budget().used(kind) as f64;
        metrics::gauge!(meter::PLATFORM_CALLS, "instance" => instance.clone(), "kind" => kind.name())
            .set(used);
    }
    body::reply(StatusCode::OK, "text/plain; version=0.0.4", meter::render())
}
