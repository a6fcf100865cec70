//! Requests the score of a sample whose text is complete.
//!
//! [`batch::score`] decides what follows from an answer. The sample occupies no engine while its score is requested.

use std::sync::Arc;
use std::time::Duration;

use batch::Scoring;
use batch::score::AttemptResult;
use batch::score::Decision;
use batch::score::Retries;
use http::StatusCode;
use kernel::Millis;
use net::Payload;
use table::Route;
use team::Principal;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::App;
use crate::access;
use crate::forward;
use crate::forward::ForwardOutcome;
use crate::forwarded_request::ForwardedRequest;
use crate::owner::OwnedStep;
use crate::telemetry;

/// Time limit of the first attempt, including its second upstream. Without one, unresponsive upstreams would delay a
/// sample for as long as its step lasts. It doubles with each attempt that it ends, up to the time that the route gives a
/// request, since scorers may take seconds.
const FIRST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between two checks whether the step is known to be open.
const PERMIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Requests a score until there is one, the scorer has failed too often, or the deadline has passed. Returns [`None`]
/// when the sample cannot be scored. At least `max_failures` failed attempts are allowed; the route of the request may
/// allow more.
pub(crate) async fn score(
    app: &Arc<App>,
    owned: &Arc<OwnedStep>,
    scoring: &Scoring,
    principal: &Principal,
    max_failures: u32,
    deadline: Millis,
) -> Option<Arc<str>> {
    let started_at = app.clock.now();
    let head = match app.dialect.scoring_request_head(scoring) {
        Ok(head) => head,
        Err(error) => {
            let why = error.to_string();
            log::warn!(target: "score", id = &*scoring.id, why = why.as_str(); "could not build the scoring request");
            return None;
        }
    };
    let body = Payload::from(scoring.body.clone());
    let mut retries = Retries::new(max_failures);
    let mut attempts = 0;
    let mut limit = FIRST_TIMEOUT;
    let score = loop {
        if app.clock.now() >= deadline {
            break None;
        }
        let Some(permit) = owned.permit(app) else {
            sleep(PERMIT_POLL_INTERVAL).await;
            continue;
        };
        let mut result = AttemptResult::Inconclusive;
        if let Some(route) = find_route(app, scoring).await {
            retries.raise_limit(route.max_attempts);
            let request = ForwardedRequest::for_score(
                app,
                head.clone(),
                scoring.id.clone(),
                body.clone(),
                deadline,
                principal.clone(),
            );
            // The second upstream is tried only while the step is known to be open, too.
            let request = request.with_condition(owned.send_condition(app, permit));
            let sent_at = Instant::now();
            result = attempt(request, &route, limit).await;
            if result == AttemptResult::Inconclusive && sent_at.elapsed() >= limit {
                limit = next_timeout(limit, &route);
            }
        }
        attempts += 1;
        match retries.decide(result) {
            Decision::Score(score) => break Some(score),
            Decision::Fail => break None,
            Decision::Retry(pause) => sleep(Duration::from_millis(pause)).await,
        }
    };
    let outcome = if score.is_some() { "scored" } else { "failed" };
    metrics::counter!(telemetry::SCORES, "outcome" => outcome).increment(1);
    log::info!(target: "score", id = &*scoring.id, tries = attempts, outcome,
        took_ms = app.clock.now() - started_at; "scoring ended");
    score
}

async fn find_route(app: &App, scoring: &Scoring) -> Option<Arc<Route>> {
    access::confirm_config(app).await;
    let config = app.config.load();
    config
        .as_ref()?
        .find_route(&scoring.host, &scoring.path)
        .cloned()
}

/// Returns the time limit after an attempt that this one has ended.
fn next_timeout(limit: Duration, route: &Route) -> Duration {
    let longest = Duration::from_millis(route.timeout).max(FIRST_TIMEOUT);
    (limit * 2).min(longest)
}

async fn attempt(request: ForwardedRequest, route: &Route, limit: Duration) -> AttemptResult {
    match forward::forward_score(Arc::new(request), route, limit).await {
        ForwardOutcome::Answer { answer, signature } if answer.status().is_success() => {
            AttemptResult::Scored(signature)
        }
        ForwardOutcome::Answer { answer, .. }
            if answer.status() == StatusCode::INTERNAL_SERVER_ERROR =>
        {
            AttemptResult::Failed
        }
        ForwardOutcome::Answer { .. } | ForwardOutcome::Refused(_) => AttemptResult::Inconclusive,
    }
}
