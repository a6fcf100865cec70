//! What operators read: status and explanations. Signed like the messages of peers.

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

/// Serves `/operator/status`.
pub async fn status(app: Arc<App>, call: Call) -> Reply {
    match peer::check(&app, call).await {
        Ok(_) => body::json(StatusCode::OK, &state(&app)),
        Err(reply) => *reply,
    }
}

fn state(app: &App) -> Status {
    let now = app.clock.now();
    let mut upstreams = Vec::new();
    for dispatcher in app.dispatchers.values() {
        dispatcher.all(|all| upstreams.extend(all.iter().map(|u| upstream(u, now))));
    }
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    let view = app.view.lock();
    Status {
        me: view.me().clone(),
        ready: app.is_ready(),
        newest: app.newest_revision(),
        known: app.known(),
        reader: view.is_reader(),
        members: view.all().cloned().collect(),
        upstreams,
    }
}

fn upstream(u: &Upstream, now: u64) -> UpstreamState {
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

/// Serves `/operator/explain/{request or upstream}`.
pub async fn explain(app: Arc<App>, call: Call) -> Reply {
    let about = call.segment(2).to_owned();
    match peer::check(&app, call).await {
        Ok(_) => match app.history.find(&about) {
            Some(story) => body::json(StatusCode::OK, &story),
            None => missing(),
        },
        Err(reply) => *reply,
    }
}

/// Serves `/operator/steps/{step}`.
pub async fn step(app: Arc<App>, call: Call) -> Reply {
    let step = call.segment(2).to_owned();
    match peer::check(&app, call).await {
        Ok(_) => match app.steps.state(&step, &app.settings.me.name) {
            Some(state) => body::json(StatusCode::OK, &state),
            None => missing(),
        },
        Err(reply) => *reply,
    }
}

fn missing() -> Reply {
    body::reply(
        StatusCode::NOT_FOUND,
        "text/plain",
        "nothing is known of it here",
    )
}

/// Serves `/operator/drain`: the instance begins to leave.
pub async fn drain(app: Arc<App>, call: Call) -> Reply {
    match peer::check(&app, call).await {
        Ok(_) => {
            app.leave.notify_one();
            body::reply(StatusCode::ACCEPTED, "text/plain", "leaving\n")
        }
        Err(reply) => *reply,
    }
}

/// Serves `/healthz`: the process answers.
pub async fn health(_: Arc<App>, _: Call) -> Reply {
    body::reply(StatusCode::OK, "text/plain", "ok\n")
}

/// Serves `/readyz`: the balancer may send callers here.
pub async fn ready(app: Arc<App>, _: Call) -> Reply {
    match app.is_ready() && !app.leaving.load(std::sync::atomic::Ordering::Relaxed) {
        true => body::reply(StatusCode::OK, "text/plain", "ready\n"),
        false => body::reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n"),
    }
}

/// Serves `/metrics`.
pub async fn metrics(app: Arc<App>, _: Call) -> Reply {
    let instance = app.settings.me.name.to_string();
    for kind in [
        plat::budget::CallKind::Read,
        plat::budget::CallKind::Write,
        plat::budget::CallKind::Lease,
        plat::budget::CallKind::Watch,
    ] {
        let used = app.plat.budget().used(kind) as f64;
        metrics::gauge!(meter::PLATFORM, "instance" => instance.clone(), "kind" => kind.name())
            .set(used);
    }
    body::reply(StatusCode::OK, "text/plain; version=0.0.4", meter::render())
}
