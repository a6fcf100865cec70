//! Handles callers' requests.

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use http::request::Parts;
use kernel::Millis;
use net::Call;
use net::Inbound;
use net::Payload;
use net::Reply;
use net::UploadLimits;
use net::body::ReadError;
use table::Route;
use table::RouteKind;
use tokio::time::Instant;

use crate::App;
use crate::access;
use crate::dialect::Caller;
use crate::dialect::Operation;
use crate::forward;
use crate::forwarded_request::ForwardedRequest;
use crate::overload;
use crate::refusal;
use crate::refusal::Refusal;
use crate::steps;
use crate::stream;
use crate::telemetry;

/// Handles a request and records its outcome.
pub async fn handle(app: Arc<App>, call: Call) -> Reply {
    let started = app.clock.now();
    overload::measure(&app);
    let (version, config_age) = access::check_config_age(&app);
    let (head, upload) = split(call);
    let caller = app.dialect.decode_caller(&head);
    // Requests about a step carry no identifier of their own and are logged under the step's.
    let id = caller.operation.step().unwrap_or(&caller.id).clone();
    let (route, mut reply) = dispatch(&app, head, caller, upload, started).await;
    if app.is_leaving() {
        refusal::close_connection(&mut reply);
    }
    let took = app.clock.now() - started;
    let status = reply.status().as_u16();
    metrics::counter!(telemetry::REQUESTS, "route" => route, "status" => status.to_string())
        .increment(1);
    metrics::histogram!(telemetry::REQUEST_SECONDS, "route" => route).record(took as f64 / 1_000.0);
    log::info!(target: "front", id = &*id, route, status, took_ms = took, version,
        config_age_ms = config_age; "answered");
    reply
}

/// The body of a request, not yet received, and the connection on which it comes.
struct Upload {
    body: Body,
    inbound: Arc<Inbound>,
}

fn split(call: Call) -> (Parts, Upload) {
    let upload = Upload {
        body: call.body,
        inbound: call.inbound,
    };
    let mut request = http::Request::new(upload);
    *request.method_mut() = call.method;
    *request.uri_mut() = call.uri;
    *request.headers_mut() = call.headers;
    request.into_parts()
}

async fn dispatch(
    app: &Arc<App>,
    head: Parts,
    caller: Caller,
    upload: Upload,
    started: Millis,
) -> (&'static str, Reply) {
    if caller.operation.step().is_some() {
        return dispatch_step(app, &caller).await;
    }
    match &caller.operation {
        Operation::Invalid(why) => {
            log::info!(target: "front", id = &*caller.id, why; "invalid request");
            ("wrong", Refusal::Invalid.reply())
        }
        _ => dispatch_route(app, head, caller, upload, started).await,
    }
}

/// Handles an operation on a step submitted before.
async fn dispatch_step(app: &Arc<App>, caller: &Caller) -> (&'static str, Reply) {
    access::confirm_config(app).await;
    let principal = match access::authorize_step(app, caller) {
        Ok(principal) => principal,
        Err(refusal) => return ("key", refusal.reply()),
    };
    match &caller.operation {
        Operation::ReadResults { step, from, wait } => {
            let reply = steps::read_results(app, step, *from, *wait, &principal).await;
            ("read", reply)
        }
        Operation::ReadBody { step, sample } => {
            let reply = steps::read_body(app, step, sample, &principal).await;
            ("body", reply)
        }
        Operation::EndStep { step } => ("end", steps::end_step(app, step, &principal).await),
        Operation::Invalid(_) | Operation::Route => ("wrong", Refusal::Invalid.reply()),
    }
}

/// Whether a request is shed before the configuration is confirmed.
enum EarlyShedding {
    /// It is shed.
    Shed(Refusal),
    /// It is accepted, and counted as that.
    Accepted,
    /// The held configuration does not say.
    Undecided,
}

/// Decides by the held configuration whether a request is shed: one that is must not wait for a confirmation.
fn shed_early(app: &App, head: &Parts, caller: &Caller) -> EarlyShedding {
    let Some(config) = app.config.load_full() else {
        return EarlyShedding::Undecided;
    };
    let Some(route) = config.find_route(&caller.host, head.uri.path()) else {
        return EarlyShedding::Undecided;
    };
    let Some(principal) = access::provisional_principal(app, &config, route, caller) else {
        return EarlyShedding::Undecided;
    };
    match overload::shed(app, &config, route, &principal) {
        Some(refusal) => EarlyShedding::Shed(refusal),
        None => EarlyShedding::Accepted,
    }
}

async fn dispatch_route(
    app: &Arc<App>,
    head: Parts,
    mut caller: Caller,
    upload: Upload,
    started: Millis,
) -> (&'static str, Reply) {
    let mut early = EarlyShedding::Undecided;
    if access::needs_confirmation(app) {
        early = shed_early(app, &head, &caller);
        if let EarlyShedding::Shed(refusal) = early {
            return ("shed", refusal.reply());
        }
        access::confirm_config(app).await;
    }
    let Some(config) = app.config.load_full() else {
        // Without a configuration a 404 could contradict an acknowledged route.
        log::info!(target: "front", id = &*caller.id; "no configuration yet");
        return ("none", Refusal::NotExecuted.reply());
    };
    let Some(route) = config.find_route(&caller.host, head.uri.path()).cloned() else {
        let age = access::config_age(app);
        let refusal = access::missing_route(app, age);
        log::info!(target: "front", id = &*caller.id, version = config.version, age_ms = age,
            outcome = refusal.name(); "no such route");
        return ("none", refusal.reply());
    };
    let principal = match access::authorize_route(app, &config, &route, &caller) {
        Ok(principal) => principal,
        Err(refusal) => return ("key", refusal.reply()),
    };
    if matches!(early, EarlyShedding::Undecided)
        && let Some(refusal) = overload::shed(app, &config, &route, &principal)
    {
        return ("shed", refusal.reply());
    }
    let wait = caller.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = started + wait;
    let payload = match receive(app, upload, config.max_body, deadline).await {
        Ok(payload) => payload,
        Err(refusal) => return (refusal.name(), refuse_body(&caller, refusal)),
    };
    if route.kind == RouteKind::Rollout {
        let took = app.clock.now() - started;
        caller.timeout = caller.timeout.map(|timeout| timeout.saturating_sub(took));
        let reply = steps::accept::submit(app, &head, &caller, payload, &principal).await;
        return ("submit", reply);
    }
    let request = ForwardedRequest::new(app, head, &caller, payload, deadline, principal);
    forward_request(app, &route, &caller, request).await
}

/// Forwards a request whose body was received.
async fn forward_request(
    app: &Arc<App>,
    route: &Arc<Route>,
    caller: &Caller,
    request: ForwardedRequest,
) -> (&'static str, Reply) {
    match route.kind {
        RouteKind::Stream => {
            let reply = stream::forward_stream(route, caller, request).await;
            ("stream", reply)
        }
        RouteKind::Once => ("once", forward::forward_call(app, route, request).await),
        _ => ("call", forward::forward_call(app, route, request).await),
    }
}

/// Receives the body of a request, within the time that the request has.
async fn receive(
    app: &App,
    upload: Upload,
    max_bytes: usize,
    deadline: Millis,
) -> Result<Payload, Refusal> {
    let left = deadline.saturating_sub(app.clock.now());
    let limits = UploadLimits {
        max_bytes,
        deadline: Instant::now() + Duration::from_millis(left),
    };
    let received = app.uploads.receive(upload.body, &upload.inbound, limits);
    received.await.map_err(|error| match error {
        ReadError::TooLong(_) => Refusal::BodyTooLarge,
        ReadError::OverBudget => Refusal::BodyRefused,
        ReadError::Truncated => Refusal::Invalid,
        ReadError::Timeout => Refusal::BodyLate,
    })
}

/// Refuses a request whose body was not received. The rest of the body may still come, so nothing else can on its connection.
fn refuse_body(caller: &Caller, refusal: Refusal) -> Reply {
    metrics::counter!(telemetry::REFUSED_BODIES, "reason" => refusal.name()).increment(1);
    log::info!(target: "front", id = &*caller.id, outcome = refusal.name(); "body not received");
    let mut reply = refusal.reply();
    refusal::close_connection(&mut reply);
    reply
}
