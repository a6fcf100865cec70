//! Scoring a sample before it is delivered, when the contract asks for it.

use std::time::Duration;

use contract::Contract;
use contract::UnscoredPolicy;
use http::Method;
use kernel::Millis;
use limit::order::QueueEntry;
use net::SendError;
use net::client::JsonError;
use net::client::uri;
use poison::Fingerprint;
use route::UpstreamKind;
use route::pool::Requirements;
use step::Sample;
use wire::scorer::SCORE;
use wire::scorer::ScoreRequest;
use wire::scorer::ScoreResponse;

use super::work::Work;
use crate::App;
use crate::crashes::OutgoingRequest;

/// Time that a scorer has for one sample.
const LIMIT: Millis = 5_000;

/// Pause after a scorer that gave none.
const PAUSE: Duration = Duration::from_millis(200);

/// Tries before a sample passes without a score, where the contract lets it.
const TRIES: u32 = 3;

/// Why there is no score.
#[derive(Debug)]
#[derive(thiserror::Error)]
enum ScoreError {
    /// The settings know no such service.
    #[error("the settings have no service {0}")]
    Unknown(String),
    /// Scorers crash under it.
    #[error("scorers crash under it")]
    Quarantined,
    /// No scorer can take it now.
    #[error("no scorer can take it now")]
    Busy,
    /// The scorer gave none.
    #[error(transparent)]
    Scorer(#[from] JsonError),
}

/// Asks for the score of a sample until there is one, or the contract lets it pass without.
///
/// The sample stays with the step meanwhile, so a scorer that is dead delays it and never loses
/// it; the contract is read anew each time, so an amendment ends the wait.
pub(super) async fn score(app: &App, work: &Work, prompt: &str, sample: &mut Sample) {
    let mut tries = 0;
    loop {
        let held = app.contracts.read().by_name(work.customer()).cloned();
        let Some(held) = held else {
            return;
        };
        let contract = &held.stored.contract;
        let Some(scorer) = &contract.scorer else {
            return;
        };
        match ask(app, work, contract, scorer, prompt, &sample.text).await {
            Ok(score) => {
                sample.score = Some(score);
                return;
            }
            Err(error) => {
                tries += 1;
                if tries == 1 {
                    work.note(format!(
                        "sample {} is not scored yet: {error}",
                        sample.index
                    ));
                }
            }
        }
        if contract.unscored == UnscoredPolicy::Pass && tries >= TRIES {
            work.note(format!("sample {} passes without a score", sample.index));
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn ask(
    app: &App,
    work: &Work,
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
    let customer = contract.customer.as_bytes();
    let how = format!("{prompt} {text}");
    let sent = OutgoingRequest {
        fingerprint: Fingerprint::new("POST", scorer, SCORE, customer, how.as_bytes()),
        id: work.request.to_string(),
    };
    if app.crashes.is_blocked(|| sent.fingerprint.into()) {
        return Err(ScoreError::Quarantined);
    }
    let deadline = app.clock.now() + LIMIT;
    let apart = Requirements {
        avoid: sent.upstreams_to_avoid(app),
        ..Requirements::default()
    };
    let permit = dispatcher.acquire(&entry, apart, deadline).await;
    let permit = permit.map_err(|_| ScoreError::Busy)?;
    work.sure().await;
    let asked = ScoreRequest {
        prompt: prompt.into(),
        text: text.to_owned(),
    };
    let uri = uri(permit.spec.addr, SCORE);
    let limit = Duration::from_millis(LIMIT);
    let spec = permit.spec.clone();
    let stay = sent.track_suspect(app, &spec);
    let scored: Result<ScoreResponse, _> = app.http.json(Method::POST, &uri, &asked, limit).await;
    permit.end(scored.is_ok());
    match &scored {
        Ok(_) => sent.record_success(app),
        Err(JsonError::Send(SendError::Broken)) => sent.check_crash(app, &spec).await,
        Err(_) => (),
    }
    drop(stay);
    Ok(scored?.score)
}
