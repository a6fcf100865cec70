//! An attempt to generate one sample.

use std::sync::Arc;
use std::time::Duration;

use contract::registry::ActiveContract;
use crash::Subject;
use kernel::Millis;
use limit::order::QueueEntry;
use route::pool::Requirements;
use route::prefix::blocks;
use step::Assembly;
use step::assembly::Partial;
use step::run::Assignment;
use step::run::FinishResult;
use wire::engine::GenerateRequest;

use super::active::ActiveStep;
use super::score;
use crate::App;
use crate::crashes::OutgoingRequest;
use crate::dispatcher::Permit;
use crate::generate;
use crate::generate::AttemptError;
use crate::generate::AttemptResult;
use crate::generate::Sink;
use crate::limits;
use crate::limits::LimitPermit;
use crate::meter;

/// Maximum time that an attempt waits for an engine, and separately that it runs there.
const ATTEMPT_TIMEOUT: Millis = 10 * 60_000;

/// Minimum delay after an attempt that could not be started, in milliseconds.
const MIN_RETRY_DELAY: Millis = 50;

/// Maximum delay before a sample that could not be started is returned to the step, so that the
/// scheduler can choose again which sample to start.
const MAX_RETRY_DELAY: Millis = 500;

/// Records the progress of an attempt in its step, and stops the attempt if the step no longer
/// needs it here.
struct ProgressSink<'a> {
    step: &'a ActiveStep,
    index: u32,
    ordinal: u32,
}

impl Sink for ProgressSink<'_> {
    async fn write(&mut self, _: String, assembly: &Assembly) -> bool {
        let tokens = assembly.partial().tokens;
        let is_needed = self
            .step
            .run
            .lock()
            .record_progress(self.index, self.ordinal, tokens);
        let is_moved = self.step.moves.lock().remove(&(self.index, self.ordinal));
        is_needed && !is_moved
    }
}

/// Makes one attempt at a sample and records its result in the step.
pub(super) async fn attempt(app: &Arc<App>, step: &ActiveStep, assignment: Assignment) {
    let (index, ordinal) = (assignment.index, assignment.ordinal);
    let active_contract = app.contracts.read().by_name(step.customer()).cloned();
    let Some(active_contract) = active_contract else {
        give_back(step, index, ordinal, assignment.partial, MIN_RETRY_DELAY).await;
        return;
    };
    let limit_permit =
        match limits::admit_sample(app, &active_contract, f64::from(assignment.max_tokens)) {
            Ok(limit_permit) => limit_permit,
            Err(delay) => {
                give_back(
                    step,
                    index,
                    ordinal,
                    assignment.partial,
                    delay.min(MAX_RETRY_DELAY),
                )
                .await;
                return;
            }
        };
    let permit = match acquire(app, step, &active_contract, &assignment).await {
        Ok(permit) => permit,
        Err(delay) => {
            drop(limit_permit);
            give_back(
                step,
                index,
                ordinal,
                assignment.partial,
                delay.min(MAX_RETRY_DELAY),
            )
            .await;
            return;
        }
    };
    step.wait_to_start().await;
    run(app, step, assignment, permit, &limit_permit).await;
}

/// Returns a sample to the step after a delay, with its partial output.
async fn give_back(step: &ActiveStep, index: u32, ordinal: u32, partial: Partial, delay: Millis) {
    tokio::time::sleep(Duration::from_millis(delay.max(MIN_RETRY_DELAY))).await;
    step.run.lock().fail(index, ordinal, partial);
}

async fn acquire(
    app: &App,
    step: &ActiveStep,
    active_contract: &ActiveContract,
    assignment: &Assignment,
) -> Result<Permit, Millis> {
    let contract = &active_contract.stored.contract;
    let remaining = assignment
        .max_tokens
        .saturating_sub(assignment.partial.tokens);
    let entry = QueueEntry {
        customer: contract.customer.clone(),
        weight: contract.weight,
        class: contract.class,
        cost: f64::from(remaining.max(1)),
    };
    let avoid = step.avoid.lock().get(&assignment.index).cloned();
    let requirements = Requirements {
        blocks: blocks(&assignment.prompt),
        min_version: assignment.min_version,
        avoid: avoid.into_iter().collect(),
    };
    let deadline = app.clock.now() + ATTEMPT_TIMEOUT;
    let permit = step
        .dispatcher
        .acquire(&entry, requirements, deadline)
        .await;
    permit.map_err(|refusal| refusal.retry_after)
}

async fn run(
    app: &Arc<App>,
    step: &ActiveStep,
    assignment: Assignment,
    permit: Permit,
    limit_permit: &LimitPermit,
) {
    let (index, ordinal) = (assignment.index, assignment.ordinal);
    let engine = permit.spec.name.clone();
    let attempt = step.request.attempt(ordinal);
    let spec = generate::AttemptSpec {
        attempt,
        outgoing: OutgoingRequest {
            subject: Subject::Item,
            id: step.request.to_string(),
        },
        request: GenerateRequest {
            attempt,
            prompt: assignment.prompt.clone(),
            resume: String::new(),
            offset: 0,
            max_tokens: assignment.max_tokens,
            priority: assignment.priority,
            seed: Some(u64::from(index)),
            temperature: None,
            top_p: None,
            stop: Vec::new(),
        },
        min_version: assignment.min_version,
        deadline: app.clock.now() + ATTEMPT_TIMEOUT,
        condition: step.send_condition(),
    };
    step.run.lock().mark_sent(index, ordinal, step.clock.now());
    let resumed_tokens = assignment.partial.tokens;
    let mut assembly = Assembly::resume(attempt, assignment.partial);
    let mut progress = ProgressSink {
        step,
        index,
        ordinal,
    };
    let result = generate::run(app, permit, &spec, &mut assembly, &mut progress).await;
    limit_permit.charge(assembly.partial().tokens - resumed_tokens);
    if let AttemptResult::Failed(_, error) = &result {
        step.note(format!("sample {index} at {engine}: {error}"));
    }
    match (result, assembly.close()) {
        (AttemptResult::Complete, Ok(complete)) => {
            let mut sample = complete.sample(index, assignment.group);
            score::score(app, step, &assignment.prompt, &mut sample).await;
            let result = step.run.lock().finish(ordinal, sample, step.clock.now());
            handle_finish(app, step, result);
        }
        (_, Ok(_)) => step.run.lock().fail(index, ordinal, Partial::default()),
        (AttemptResult::Failed(_, AttemptError::Stale), Err(_)) => {
            step.run.lock().fail(index, ordinal, Partial::default());
        }
        (AttemptResult::Failed(_, AttemptError::Forbidden), Err(incomplete)) => {
            step.run
                .lock()
                .fail(index, ordinal, incomplete.partial().clone());
        }
        (_, Err(incomplete)) => {
            step.avoid.lock().insert(index, engine);
            step.run
                .lock()
                .fail(index, ordinal, incomplete.partial().clone());
        }
    }
    step.task_ready.notify_one();
}

fn handle_finish(app: &App, step: &ActiveStep, result: FinishResult) {
    match result {
        FinishResult::Accepted => step.sample_ready.notify_waiters(),
        FinishResult::Superseded => (),
        FinishResult::Stale => {
            let instance = app.settings.me.name.to_string();
            let customer = step.customer().to_string();
            metrics::counter!(meter::STALE_SAMPLES, "instance" => instance, "customer" => customer)
                .increment(1);
        }
    }
}
