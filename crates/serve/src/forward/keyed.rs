//! Non-idempotent calls with an idempotency key.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use contract::Contract;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use kernel::Millis;
use net::Call;
use net::Reply;
use net::body;
use once::Decision;
use once::Fingerprint;
use once::Key;
use once::Outcome;
use once::record::MAX_BODY_BYTES;
use route::Ran;
use wire::Problem;
use wire::caller::IDEMPOTENCY_KEY;
use wire::caller::REPLAYED;
use wire::problem::Type;

use super::Job;
use super::deny;
use super::reply;
use super::run_attempts;
use crate::App;
use crate::trace::Trace;

/// Time beyond the caller's deadline for which the response to a non-idempotent call is awaited, so
/// that the journal can record its outcome.
const OUTCOME_GRACE: Millis = 30_000;

/// Retry delay for callers after a failure of the journal, in milliseconds.
const RETRY_AFTER: Millis = 1_000;

/// Returns the idempotency key of a call, if it is non-idempotent and has one.
pub(super) fn key(
    call: &Call,
    contract: &Contract,
    service: &str,
    non_idempotent: bool,
) -> Result<Option<Key>, Problem> {
    let Some(text) = call.header(IDEMPOTENCY_KEY).filter(|_| non_idempotent) else {
        return Ok(None);
    };
    let key = Key::new(&contract.customer, service, text);
    let key =
        key.map_err(|e| deny(Type::BadRequest).with_detail(format!("{IDEMPOTENCY_KEY}: {e}")))?;
    Ok(Some(key))
}

/// Refuses a key that is so old that the journal may have deleted it.
fn check_age(app: &App, headers: &HeaderMap) -> Result<(), Problem> {
    let text = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok());
    let Some(created) = text.and_then(once::key::creation_time) else {
        return Ok(());
    };
    // A key may be at most half as old as its retention time, because clocks may differ by the
    // other half.
    if created + app.settings.journal.retention / 2 < app.clock.wall() {
        return Err(Problem::new(Type::KeyExpired, Ran::Unknown));
    }
    Ok(())
}

/// Runs a non-idempotent call that has a key. The key is claimed first, and the call continues even
/// if the caller disconnects, so that the journal can record its outcome.
pub(super) async fn run(
    app: &Arc<App>,
    mut job: Job,
    key: Key,
    trace: &mut Trace,
) -> Result<Reply, Problem> {
    let outbound = &mut job.outbound;
    check_age(app, &outbound.headers)?;
    outbound.grace = OUTCOME_GRACE;
    let fingerprint = Fingerprint::new(outbound.method.as_str(), &outbound.path, &outbound.body);
    let attempt = trace.id.attempt(0);
    let decision = app
        .journal
        .claim(app, key, fingerprint, attempt, outbound.deadline)
        .await;
    trace.note(format!("journal: {}", describe(&decision)));
    match decision {
        Decision::Run => (),
        Decision::Ran(outcome) => return Ok(replay(outcome)),
        Decision::Unknown => return Err(Problem::new(Type::KeyInDoubt, Ran::Unknown)),
        Decision::Mismatch => return Err(deny(Type::KeyMismatch)),
        Decision::Refused => return Err(deny(Type::Journal).retry_after(RETRY_AFTER)),
    }
    let left = outbound.deadline.saturating_sub(app.clock.now());
    let app = app.clone();
    let mut inner_trace = Trace::begin(trace.kind, app.clock);
    inner_trace.id = trace.id;
    let task = tokio::spawn(async move {
        let result = run_attempts(&app, &job, &mut inner_trace).await;
        match &result {
            Ok(response) => app.journal.record_outcome(&app, key, outcome(response)),
            Err(problem) if problem.ran == Ran::No => app.journal.release(&app, key, attempt).await,
            Err(_) => (),
        }
        (result, inner_trace)
    });
    match tokio::time::timeout(Duration::from_millis(left), task).await {
        Ok(Ok((result, inner_trace))) => {
            trace.upstream = inner_trace.upstream;
            trace.attempts = inner_trace.attempts;
            trace.notes.extend(inner_trace.notes);
            result.map(reply)
        }
        Ok(Err(_)) => Err(Problem::new(Type::Internal, Ran::Unknown)),
        Err(_) => Err(Problem::new(Type::Late, Ran::Unknown)),
    }
}

fn describe(decision: &Decision) -> &'static str {
    match decision {
        Decision::Run => "may run",
        Decision::Ran(_) => "already ran; the recorded response is replayed",
        Decision::Unknown => "may have run before",
        Decision::Mismatch => "the key was used for another request",
        Decision::Refused => "the claim was refused",
    }
}

fn outcome(response: &Response<Bytes>) -> Outcome {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type
        .and_then(|value| value.to_str().ok())
        .unwrap_or("");
    let bytes = response.body();
    Outcome {
        status: response.status().as_u16(),
        content_type: content_type.into(),
        body: (bytes.len() <= MAX_BODY_BYTES).then(|| bytes.to_vec().into()),
    }
}

/// Builds the reply from a recorded outcome.
fn replay(outcome: Outcome) -> Reply {
    let has_body = outcome.body.is_some();
    let bytes = outcome.body.unwrap_or_default().into_vec();
    let mut reply = Response::new(body::full(bytes));
    *reply.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let headers = reply.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&outcome.content_type) {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    let replayed = if has_body { "whole" } else { "status-only" };
    headers.insert(REPLAYED, HeaderValue::from_static(replayed));
    reply
}
