//! Scores samples before delivery, if the contract names a scorer.

use std::time::Duration;

use contract::Contract;
use contract::UnscoredPolicy;
use crash::Subject;
use http::Method;
use kernel::Millis;
use limit::order::QueueEntry;
use net::JsonError;
use net::SendError;
use route::UpstreamKind;
use route::pool::Requirements;
use step::Sample;
use wire::scorer::SCORE;
use wire::scorer::ScoreRequest;
use wire::scorer::ScoreResponse;

use super::active::ActiveStep;
use crate::App;
use crate::crashes::OutgoingRequest;

/// Timeout of a scoring request.
const SCORE_TIMEOUT: Millis = 5_000;

/// Delay after a failed attempt to score a sample.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Number of failed attempts after which a sample is delivered without a score, if the contract
/// allows it.
const MAX_ATTEMPTS: u32 = 3;

/// The reason why a sample could not be scored.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum ScoreError {
    /// The settings define no such service.
    #[error("the settings have no service {0}")]
    Unknown(String),
    /// No scorer has capacity now.
    #[error("no scorer can take it now")]
    Busy,
    /// The request to the scorer failed.
    #[error(transparent)]
    Scorer(#[from] JsonError),
}

/// Scores a sample. Retries until it succeeds or the contract allows delivery without a score.
///
/// The step holds the sample meanwhile, so an unavailable scorer delays it but does not lose it.
/// The contract is read again before each attempt, so that an amendment takes effect at once.
pub(super) async fn score(app: &App, step: &ActiveStep, prompt: &str, sample: &mut Sample) {
    let mut attempts = 0;
    loop {
        let active_contract = app.contracts.read().by_name(step.customer()).cloned();
        let Some(active_contract) = active_contract else {
            return;
        };
        let contract = &active_contract.stored.contract;
        let Some(scorer) = &contract.scorer else {
            return;
        };
        match request_score(app, step, contract, scorer, prompt, &sample.text).await {
            Ok(score) => {
                sample.score = Some(score);
                return;
            }
            // The scorer did not fail; the next attempt waits until it may start.
            Err(ScoreError::Scorer(JsonError::Send(SendError::Forbidden))) => continue,
            Err(error) => {
                attempts += 1;
                if attempts == 1 {
                    step.note(format!(
                        "sample {} is not scored yet: {error}",
                        sample.index
                    ));
                }
            }
        }
        if contract.unscored == UnscoredPolicy::Pass && attempts >= MAX_ATTEMPTS {
            step.note(format!(
                "sample {} is delivered without a score",
                sample.index
            ));
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn request_score(
    app: &App,
    step: &ActiveStep,
    contract: &Contract,
    scorer: &str,
    prompt: &str,
    text: &str,
) -> Result<f64, ScoreError> {
    let dispatcher = app.dispatchers.get(scorer);
    let dispatcher = dispatcher.filter(|dispatcher| dispatcher.kind == UpstreamKind::Service);
    let dispatcher = dispatcher.ok_or_else(|| ScoreError::Unknown(scorer.into()))?;
    let entry = QueueEntry {
        customer: contract.customer.clone(),
        weight: contract.weight,
        class: contract.class,
        cost: 1.0,
    };
    let deadline = app.clock.now() + SCORE_TIMEOUT;
    let requirements = Requirements::default();
    let permit = dispatcher.acquire(&entry, requirements, deadline).await;
    let permit = permit.map_err(|_| ScoreError::Busy)?;
    step.wait_to_start().await;
    let request = ScoreRequest {
        prompt: prompt.into(),
        text: text.to_owned(),
    };
    let uri = permit.spec.uri(SCORE);
    let timeout = Duration::from_millis(SCORE_TIMEOUT);
    let spec = permit.spec.clone();
    let condition = step.send_condition();
    let scored = app
        .http
        .json_if(Method::POST, &uri, &request, timeout, condition);
    let result: Result<ScoreResponse, _> = scored.await;
    match &result {
        Err(JsonError::Send(SendError::Forbidden)) => drop(permit),
        result => permit.finish(result.is_ok()),
    }
    if matches!(&result, Err(JsonError::Send(SendError::Broken))) {
        let outgoing = OutgoingRequest {
            subject: Subject::Item,
            id: step.request.to_string(),
        };
        outgoing.check_crash(app, &spec).await;
    }
    Ok(result?.score)
}
