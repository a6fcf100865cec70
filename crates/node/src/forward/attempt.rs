//! One attempt of a call at one upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use kernel::Millis;
use net::SendError;

use crate::answer;
use crate::answer::Attribution;
use crate::answer::Outbound;
use crate::answer::Statement;
use crate::call_queue::PlaceResult;
use crate::forwarded_request::ForwardedRequest;
use crate::forwarded_request::UpstreamSlot;
use crate::telemetry;

/// Time for which an upstream that refused a call gets none, in milliseconds.
const BUSY_BACKOFF: Millis = 100;

/// Largest answer in bytes; answers are buffered completely.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// The outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// A complete answer of the upstream's application.
    Answer(Response<Bytes>, Arc<str>),
    /// The upstream has not executed the call and never will.
    NotExecuted,
    /// Whether the call was executed is unknown.
    Unknown,
}

/// Sends a request to an upstream once, within a time limit in milliseconds.
pub(super) async fn attempt(
    request: &ForwardedRequest,
    mut slot: UpstreamSlot,
    limit_ms: Millis,
) -> AttemptOutcome {
    let upstream = slot.upstream.clone();
    let Some(http_request) = request.build_request(&upstream, None) else {
        return AttemptOutcome::NotExecuted;
    };
    let started = request.app.clock.now();
    let number = request.record_send();
    let limit = Duration::from_millis(limit_ms);
    let outbound = Outbound {
        request: http_request,
        upstream: upstream.id.clone(),
        id: Some(request.id.clone()),
        condition: request.send_condition(),
    };
    let answer = answer::fetch(&request.app, outbound, limit, MAX_ANSWER_BYTES).await;
    let took = request.app.clock.now() - started;
    let is_broken = matches!(answer, Err(SendError::Broken));
    let result = classify(request, &mut slot, answer, took);
    if is_broken {
        request.check_crash(&upstream).await;
    }
    if matches!(result, AttemptOutcome::NotExecuted) {
        request.mark_unexecuted(number);
    }
    let outcome = match &result {
        AttemptOutcome::Answer(..) => "answered",
        AttemptOutcome::NotExecuted => "unrun",
        AttemptOutcome::Unknown => "unknown",
    };
    metrics::counter!(telemetry::ATTEMPTS, "outcome" => outcome).increment(1);
    result
}

fn classify(
    request: &ForwardedRequest,
    slot: &mut UpstreamSlot,
    answer: Result<Attribution<Bytes>, SendError>,
    took: Millis,
) -> AttemptOutcome {
    let upstream = slot.upstream.clone();
    let now = request.app.clock.now();
    let answer = match answer {
        Ok(Attribution::Own(answer)) => answer,
        Ok(Attribution::Foreign) => {
            slot.record(PlaceResult::Unanswered, took);
            let mut tracker = request.app.service_tracker.lock();
            tracker.engine_failed(&upstream.id, now);
            return AttemptOutcome::Unknown;
        }
        Err(error) => {
            slot.record(PlaceResult::Unanswered, took);
            if !matches!(error, SendError::Forbidden) {
                let mut tracker = request.app.service_tracker.lock();
                tracker.engine_failed(&upstream.id, now);
            }
            let why = error.to_string();
            log::info!(target: "forward", id = &*request.id, upstream = &*upstream.id,
                took_ms = took, why = why.as_str(); "attempt failed");
            return match error.is_unsent() {
                true => AttemptOutcome::NotExecuted,
                false => AttemptOutcome::Unknown,
            };
        }
    };
    let mut tracker = request.app.service_tracker.lock();
    if let Some(load) = answer.load {
        tracker.load_reported(&upstream.id, load, now);
    }
    match answer.statement.clone() {
        Statement::Rejected => {
            slot.record(PlaceResult::Rejected, took);
            tracker.engine_busy(&upstream.id, now + BUSY_BACKOFF);
            AttemptOutcome::NotExecuted
        }
        Statement::Misdirected => {
            tracker.engine_busy(&upstream.id, now + BUSY_BACKOFF);
            AttemptOutcome::NotExecuted
        }
        Statement::Executed(signature) => {
            tracker.event_received(&upstream.id, took as f64);
            drop(tracker);
            slot.record_answer(answer.load, took);
            request.record_answer(answer.status);
            if !answer.status.is_server_error() {
                request.app.attempts.answered(&upstream.service, took, now);
            }
            AttemptOutcome::Answer(answer.into_response(), signature)
        }
        Statement::Unsigned => {
            tracker.engine_failed(&upstream.id, now);
            drop(tracker);
            answer.log_unsigned(&request.id, &upstream.id);
            AttemptOutcome::Unknown
        }
    }
}
