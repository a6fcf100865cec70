//! Non-idempotent calls that have a key.

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
use super::attempts;
use super::no;
use super::pass_on;
use crate::App;
use crate::trace::Trace;

/// Time beyond the caller's deadline for which the answer of a non-idempotent call is awaited, so
/// that the journal can tell what came of it.
const AFTERMATH: Millis = 30_000;

/// When to come back after a failure of the journal, in milliseconds.
const JOURNAL: Millis = 1_000;

/// The key of a non-idempotent call that has one.
pub(super) fn key(
    call: &Call,
    contract: &Contract,
    service: &str,
    once: bool,
) -> Result<Option<Key>, Problem> {
    let Some(text) = call.header(IDEMPOTENCY_KEY).filter(|_| once) else {
        return Ok(None);
    };
    let key = Key::new(&contract.customer, service, text);
    let key = key
        .map_err(|error| no(Type::BadRequest).with_detail(format!("{IDEMPOTENCY_KEY}: {error}")))?;
    Ok(Some(key))
}

/// Refuses a key so old that the journal may have forgotten it.
fn horizon(app: &App, headers: &HeaderMap) -> Result<(), Problem> {
    let text = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok());
    let Some(created) = text.and_then(once::key::creation_time) else {
        return Ok(());
    };
    // Half of the time for which keys are kept: clocks may differ by the other half.
    if created + app.settings.journal.retention / 2 < app.clock.wall() {
        return Err(Problem::new(Type::KeyExpired, Ran::Unknown));
    }
    Ok(())
}

/// Runs a non-idempotent call that has a key: the intent is written first, and the call goes on
/// even when its caller goes away, so that the journal can tell what came of it.
pub(super) async fn run(
    app: &Arc<App>,
    mut job: Job,
    key: Key,
    trace: &mut Trace,
) -> Result<Reply, Problem> {
    let outbound = &mut job.outbound;
    horizon(app, &outbound.headers)?;
    outbound.patience = AFTERMATH;
    let print = Fingerprint::new(outbound.method.as_str(), &outbound.path, &outbound.body);
    let attempt = trace.id.attempt(0);
    let answer = app
        .journal
        .ask(app, key, print, attempt, outbound.deadline)
        .await;
    trace.note(format!("journal: {}", word(&answer)));
    match answer {
        Decision::Run => (),
        Decision::Ran(outcome) => return Ok(replay(outcome)),
        Decision::Unknown => return Err(Problem::new(Type::KeyInDoubt, Ran::Unknown)),
        Decision::Mismatch => return Err(no(Type::KeyMismatch)),
        Decision::Refused => return Err(no(Type::Journal).retry_after(JOURNAL)),
    }
    let left = outbound.deadline.saturating_sub(app.clock.now());
    let app = app.clone();
    let mut inner = Trace::begin(trace.kind, app.clock);
    inner.id = trace.id;
    let task = tokio::spawn(async move {
        let result = attempts(&app, &job, &mut inner).await;
        match &result {
            Ok(answer) => app.journal.done(&app, key, outcome(answer)),
            Err(problem) if problem.ran == Ran::No => app.journal.free(&app, key, attempt).await,
            Err(_) => (),
        }
        (result, inner)
    });
    match tokio::time::timeout(Duration::from_millis(left), task).await {
        Ok(Ok((result, inner))) => {
            trace.upstream = inner.upstream;
            trace.attempts = inner.attempts;
            trace.notes.extend(inner.notes);
            result.map(pass_on)
        }
        Ok(Err(_)) => Err(Problem::new(Type::Internal, Ran::Unknown)),
        Err(_) => Err(Problem::new(Type::Late, Ran::Unknown)),
    }
}

fn word(answer: &Decision) -> &'static str {
    match answer {
        Decision::Run => "may run",
        Decision::Ran(_) => "ran before; its answer is given again",
        Decision::Unknown => "may have run before",
        Decision::Mismatch => "the key names another request",
        Decision::Refused => "could not be written",
    }
}

fn outcome(answer: &Response<Bytes>) -> Outcome {
    let kind = answer.headers().get(header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or("");
    let bytes = answer.body();
    Outcome {
        status: answer.status().as_u16(),
        content_type: kind.into(),
        body: (bytes.len() <= MAX_BODY_BYTES).then(|| bytes.to_vec().into()),
    }
}

/// Gives a recorded answer again.
fn replay(outcome: Outcome) -> Reply {
    let whole = outcome.body.is_some();
    let bytes = outcome.body.unwrap_or_default().into_vec();
    let mut reply = Response::new(body::full(bytes));
    *reply.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let headers = reply.headers_mut();
    if let Ok(kind) = HeaderValue::from_str(&outcome.content_type) {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    let how = if whole { "whole" } else { "status-only" };
    headers.insert(REPLAYED, HeaderValue::from_static(how));
    reply
}
