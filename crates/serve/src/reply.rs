//! Conversion of results into replies to callers.

use http::HeaderValue;
use http::StatusCode;
use http::header::ALLOW;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::header::WWW_AUTHENTICATE;
use net::Reply;
use net::body;
use wire::Problem;
use wire::caller::REQUEST_ID;
use wire::problem;
use wire::problem::Type;

use crate::App;
use crate::history::SubjectHistory;
use crate::meter;
use crate::trace::Trace;

/// Converts a problem into a reply.
pub fn from_problem(problem: &Problem) -> Reply {
    let status = StatusCode::from_u16(problem.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = body::json(status, problem);
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(problem::MEDIA_TYPE));
    if let Some(after) = problem.retry_after_ms {
        // Seconds, rounded up: a retry that comes too early would be rejected again.
        headers.insert(RETRY_AFTER, HeaderValue::from(after.div_ceil(1_000)));
    }
    if problem.kind == Type::Unauthorized {
        headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if problem.kind == Type::Method {
        headers.insert(ALLOW, HeaderValue::from_static("POST"));
    }
    reply
}

/// Finishes a call: counts and logs it, records its trace in the history, and adds its identifier to the reply.
pub fn finish(app: &App, mut trace: Trace, result: Result<Reply, Problem>) -> Reply {
    let outcome = match &result {
        Ok(reply) => reply.status().as_u16().to_string(),
        Err(problem) => type_name(problem.kind),
    };
    if let Err(problem) = &result {
        let ran = serde_json::to_value(problem.ran).unwrap_or_default();
        let ran = ran.as_str().unwrap_or_default().to_owned();
        let detail = problem.detail.as_deref().unwrap_or("");
        trace.note(format!("refused: {outcome}, ran: {ran}; {detail}"));
    }
    record(app, &trace, &outcome);
    let mut reply = result.unwrap_or_else(|problem| self::from_problem(&problem));
    let id = trace.id.to_string();
    if let Ok(value) = HeaderValue::from_str(&id) {
        reply.headers_mut().insert(REQUEST_ID, value);
    }
    app.history.record(SubjectHistory {
        about: id,
        instance: app.settings.me.name.clone(),
        customer: trace.customer,
        notes: trace.notes,
    });
    reply
}

/// Returns the name of a problem type as it is written in JSON.
pub fn type_name(kind: Type) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

/// Writes the log line and the metrics of a call.
fn record(app: &App, trace: &Trace, outcome: &str) {
    let instance = app.settings.me.name.to_string();
    let customer = trace.customer.as_deref().unwrap_or("-").to_owned();
    let upstream = trace.upstream.as_deref().unwrap_or("-");
    let seconds = trace.age() as f64 / 1_000.0;
    metrics::histogram!(meter::REQUEST_SECONDS, "instance" => instance.clone(), "kind" => trace.kind)
        .record(seconds);
    log::info!(
        target: "entry",
        instance = instance.as_str(),
        request:% = trace.id,
        kind = trace.kind,
        contract = customer.as_str(),
        upstream = upstream,
        attempts = trace.attempts,
        outcome = outcome,
        ms = trace.age();
        "call"
    );
    metrics::counter!(
        meter::REQUESTS,
        "instance" => instance,
        "kind" => trace.kind,
        "customer" => customer,
        "outcome" => outcome.to_owned(),
    )
    .increment(1);
}
