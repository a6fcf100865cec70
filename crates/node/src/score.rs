//! Asking for the score of a sample whose text is whole.
//!
//! What follows from an answer is decided by [`batch::score`]; nothing of an engine is held meanwhile.

use std::sync::Arc;
use std::time::Duration;

use batch::Scoring;
use batch::score::AttemptResult;
use batch::score::Decision;
use batch::score::Retries;
use bytes::Bytes;
use http::StatusCode;
use kernel::Millis;
use table::Route;
use team::Principal;
use tokio::time::sleep;

use crate::App;
use crate::forward;
use crate::forward::Passed;
use crate::meter;
use crate::owner::OwnedStep;
use crate::sent::ForwardedRequest;

/// Time after which one try, with its second upstream, is given up: ten times the latency that callers
/// of plain services aim at. Upstreams that have gone silent would else hold a sample for as long as
/// its step lasts.
const LIMIT: Duration = Duration::from_millis(1_500);

/// Pause before it is looked again whether the step is known to be open.
const HOLD: Duration = Duration::from_millis(50);

/// Asks until there is a score, the scorer has failed too often, or the time is over; [`None`] when
/// the sample cannot be scored. `most` failures are allowed where the route of the request allows no
/// more.
pub(crate) async fn score(
    app: &Arc<App>,
    work: &OwnedStep,
    scoring: &Scoring,
    principal: &Principal,
    most: u32,
    until: Millis,
) -> Option<Arc<str>> {
    let begun = app.clock.now();
    let head = match app.dialect.scoring(scoring) {
        Ok(head) => head,
        Err(error) => {
            let why = error.to_string();
            log::warn!(target: "score", id = &*scoring.id, why = why.as_str(); "no request");
            return None;
        }
    };
    let body = Bytes::from(scoring.body.clone());
    let mut tries = Retries::new(most);
    let mut asked = 0;
    let score = loop {
        if app.clock.now() >= until {
            break None;
        }
        let Some(permit) = work.permit(app) else {
            sleep(HOLD).await;
            continue;
        };
        let mut answer = AttemptResult::Inconclusive;
        if let Some(route) = route(app, scoring) {
            tries.raise_limit(route.max_attempts);
            let sent = ForwardedRequest::for_score(
                app,
                head.clone(),
                scoring.id.clone(),
                body.clone(),
                until,
                principal.clone(),
            );
            // A second upstream is tried while the step is known to be open.
            let sent = sent.with_permit(permit);
            answer = ask(sent, &route).await;
        }
        asked += 1;
        match tries.decide(answer) {
            Decision::Score(score) => break Some(score),
            Decision::Fail => break None,
            Decision::Retry(pause) => sleep(Duration::from_millis(pause)).await,
        }
    };
    let outcome = if score.is_some() { "scored" } else { "failed" };
    metrics::counter!(meter::SCORES, "outcome" => outcome).increment(1);
    log::info!(target: "score", id = &*scoring.id, tries = asked, outcome,
        took_ms = app.clock.now() - begun; "score ended");
    score
}

fn route(app: &App, scoring: &Scoring) -> Option<Arc<Route>> {
    let plan = app.plan.load();
    plan.as_ref()?
        .find_route(&scoring.host, &scoring.path)
        .cloned()
}

async fn ask(sent: ForwardedRequest, route: &Route) -> AttemptResult {
    match forward::score(Arc::new(sent), route, LIMIT).await {
        Passed::Answer { answer, signature } if answer.status().is_success() => {
            AttemptResult::Scored(signature)
        }
        Passed::Answer { answer, .. } if answer.status() == StatusCode::INTERNAL_SERVER_ERROR => {
            AttemptResult::Failed
        }
        Passed::Answer { .. } | Passed::Refused(_) => AttemptResult::Inconclusive,
    }
}
