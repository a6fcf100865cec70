//! Requests from outside.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::request::Parts;
use net::Call;
use net::Reply;
use table::Kind;

use crate::App;
use crate::dialect::Asked;
use crate::dialect::Caller;
use crate::forward;
use crate::meter;
use crate::refuse;
use crate::refuse::Refusal;
use crate::steps;
use crate::stream;

/// Answers a request.
pub async fn answer(app: Arc<App>, call: Call) -> Reply {
    let from = app.clock.now();
    let (head, body) = split(call);
    let caller = app.dialect.caller(&head);
    // Reads of steps have no name of their own; their lines are found by the step's.
    let id = match &caller.asked {
        Asked::Read { step, .. } | Asked::Body { step, .. } | Asked::End { step } => step.clone(),
        Asked::Wrong(_) | Asked::Route => caller.id.clone(),
    };
    let (route, mut reply) = dispatch(&app, head, caller, body).await;
    if app.is_leaving() {
        refuse::close(&mut reply);
    }
    let took = app.clock.now() - from;
    let status = reply.status().as_u16();
    metrics::counter!(meter::REQUESTS, "route" => route, "status" => status.to_string())
        .increment(1);
    metrics::histogram!(meter::SECONDS, "route" => route).record(took as f64 / 1_000.0);
    log::info!(target: "front", id = &*id, route, status, took_ms = took; "answered");
    reply
}

fn split(call: Call) -> (Parts, Body) {
    let mut request = http::Request::new(call.body);
    *request.method_mut() = call.method;
    *request.uri_mut() = call.uri;
    *request.headers_mut() = call.headers;
    request.into_parts()
}

async fn dispatch(
    app: &Arc<App>,
    head: Parts,
    caller: Caller,
    body: Body,
) -> (&'static str, Reply) {
    match &caller.asked {
        Asked::Read { step, from, wait } => ("read", steps::read(app, step, *from, *wait).await),
        Asked::Body { step, sample } => ("body", steps::body(app, step, sample).await),
        Asked::End { step } => ("end", steps::end(app, step).await),
        Asked::Wrong(why) => {
            log::info!(target: "front", id = &*caller.id, why; "improper request");
            ("wrong", Refusal::Wrong.reply())
        }
        Asked::Route => routed(app, head, caller, body).await,
    }
}

async fn routed(app: &Arc<App>, head: Parts, caller: Caller, body: Body) -> (&'static str, Reply) {
    let Some(plan) = app.plan.load_full() else {
        // A restarted instance knows no route yet; a 404 now would be an older state.
        log::info!(target: "front", id = &*caller.id; "no configuration yet");
        return ("none", Refusal::Unrun.reply());
    };
    let Some(route) = plan.find(&caller.host, head.uri.path()).cloned() else {
        log::info!(target: "front", id = &*caller.id, version = plan.version; "no such route");
        return ("none", Refusal::Missing.reply());
    };
    let body = match net::body::read(body, plan.body).await {
        Ok(body) => body,
        Err(net::body::ReadError::Long(_)) => return ("long", Refusal::Long.reply()),
        Err(_) => return ("cut", Refusal::Wrong.reply()),
    };
    match route.kind {
        Kind::Rollout => (
            "submit",
            steps::accept::submit(app, &head, &caller, &body).await,
        ),
        Kind::Idempotent => (
            "call",
            forward::call(app, &route, &head, &caller, body).await,
        ),
        Kind::Once => (
            "once",
            forward::call(app, &route, &head, &caller, body).await,
        ),
        Kind::Stream => (
            "stream",
            stream::pass(app, &route, &head, &caller, body).await,
        ),
    }
}
