//! One attempt at one sample.

use std::sync::Arc;
use std::time::Duration;

use contract::registry::ActiveContract;
use kernel::Millis;
use limit::order::QueueEntry;
use poison::Fingerprint;
use route::pool::Requirements;
use route::prefix::blocks;
use step::Assembly;
use step::assembly::Partial;
use step::run::Assignment;
use step::run::FinishResult;
use wire::engine::GENERATE;
use wire::engine::GenerateRequest;

use super::score;
use super::work::Work;
use crate::App;
use crate::crashes::OutgoingRequest;
use crate::dispatcher::Permit;
use crate::generate;
use crate::generate::End;
use crate::generate::Sink;
use crate::generate::Why;
use crate::limits;
use crate::limits::LimitPermit;
use crate::meter;

/// Time that a sample may take at one engine.
const LIMIT: Millis = 10 * 60_000;

/// Pause after an attempt that could not be begun, in milliseconds.
const PAUSE: Millis = 50;

/// Longest wait for a place within the contract's limits before the sample is given back, so that
/// the choice of which to begin is made anew.
const PLACE: Millis = 500;

/// Passes on how far the sample is, and whether it is still wanted.
struct Progress<'a> {
    work: &'a Work,
    index: u32,
    ordinal: u32,
}

impl Sink for Progress<'_> {
    async fn take(&mut self, _: String, assembly: &Assembly) -> bool {
        let tokens = assembly.partial().tokens;
        let wanted = self
            .work
            .run
            .lock()
            .record_progress(self.index, self.ordinal, tokens);
        let moved = self.work.moves.lock().remove(&(self.index, self.ordinal));
        wanted && !moved
    }
}

/// Makes one attempt at a sample, and hands what came of it to the step.
pub(super) async fn make(app: &Arc<App>, work: &Work, begin: Assignment) {
    let (index, ordinal) = (begin.index, begin.ordinal);
    let held = app.contracts.read().by_name(work.customer()).cloned();
    let Some(held) = held else {
        give_back(work, index, ordinal, begin.partial, PAUSE).await;
        return;
    };
    let sent = sent(work, &begin);
    if app.crashes.is_blocked(|| sent.fingerprint.into()) {
        // The step keeps it until its trainer ends the step.
        give_back(work, index, ordinal, begin.partial, PLACE).await;
        return;
    }
    let passage = match limits::admit_sample(app, &held, f64::from(begin.max_tokens)) {
        Ok(passage) => passage,
        Err(after) => {
            give_back(work, index, ordinal, begin.partial, after.min(PLACE)).await;
            return;
        }
    };
    let permit = match acquire(app, work, &held, &begin).await {
        Ok(permit) => permit,
        Err(after) => {
            drop(passage);
            give_back(work, index, ordinal, begin.partial, after.min(PLACE)).await;
            return;
        }
    };
    work.sure().await;
    run(app, work, begin, sent, permit, &passage).await;
}

/// What a sample asks for: the same for each attempt of its step.
fn sent(work: &Work, begin: &Assignment) -> OutgoingRequest {
    let (customer, model) = (work.customer().as_bytes(), &work.dispatcher.name);
    let how = format!("{} {} {}", begin.index, begin.max_tokens, begin.prompt);
    OutgoingRequest {
        fingerprint: Fingerprint::new("POST", model, GENERATE, customer, how.as_bytes()),
        id: work.request.to_string(),
    }
}

async fn give_back(work: &Work, index: u32, ordinal: u32, partial: Partial, pause: Millis) {
    tokio::time::sleep(Duration::from_millis(pause.max(PAUSE))).await;
    work.run.lock().fail(index, ordinal, partial);
}

async fn acquire(
    app: &App,
    work: &Work,
    held: &ActiveContract,
    begin: &Assignment,
) -> Result<Permit, Millis> {
    let contract = &held.stored.contract;
    let left = begin.max_tokens.saturating_sub(begin.partial.tokens);
    let entry = QueueEntry {
        customer: contract.customer.clone(),
        weight: contract.weight,
        class: contract.class,
        cost: f64::from(left.max(1)),
    };
    let avoid = work.avoid.lock().get(&begin.index).cloned();
    let mut avoid: Vec<_> = avoid.into_iter().collect();
    avoid.extend(sent(work, begin).upstreams_to_avoid(app));
    let ask = Requirements {
        blocks: blocks(&begin.prompt),
        min_version: begin.min_version,
        avoid,
    };
    let deadline = app.clock.now() + LIMIT;
    let permit = work.dispatcher.acquire(&entry, ask, deadline).await;
    permit.map_err(|refusal| refusal.after)
}

async fn run(
    app: &Arc<App>,
    work: &Work,
    begin: Assignment,
    sent: OutgoingRequest,
    permit: Permit,
    passage: &LimitPermit,
) {
    let (index, ordinal) = (begin.index, begin.ordinal);
    let engine = permit.spec.name.clone();
    let attempt = work.request.attempt(ordinal);
    let order = generate::Order {
        attempt,
        sent,
        generate: GenerateRequest {
            attempt,
            prompt: begin.prompt.clone(),
            resume: String::new(),
            offset: 0,
            max_tokens: begin.max_tokens,
            priority: begin.priority,
            seed: Some(u64::from(index)),
            temperature: None,
            top_p: None,
            stop: Vec::new(),
        },
        floor: begin.min_version,
        deadline: app.clock.now() + LIMIT,
    };
    work.run.lock().mark_sent(index, ordinal, work.clock.now());
    let before = begin.partial.tokens;
    let mut assembly = Assembly::resume(attempt, begin.partial);
    let mut progress = Progress {
        work,
        index,
        ordinal,
    };
    let end = generate::run(app, permit, &order, &mut assembly, &mut progress).await;
    passage.charge(assembly.partial().tokens - before);
    if let End::Early(_, why) = &end {
        work.note(format!("sample {index} at {engine}: {why}"));
    }
    match (end, assembly.close()) {
        (End::Whole, Ok(whole)) => {
            let mut sample = whole.sample(index, begin.group);
            score::score(app, work, &begin.prompt, &mut sample).await;
            let kept = work.run.lock().finish(ordinal, sample, work.clock.now());
            settle(app, work, kept);
        }
        (_, Ok(_)) => work.run.lock().fail(index, ordinal, Partial::default()),
        (End::Early(_, Why::Old), Err(_)) => {
            work.run.lock().fail(index, ordinal, Partial::default());
        }
        (_, Err(open)) => {
            work.avoid.lock().insert(index, engine);
            work.run.lock().fail(index, ordinal, open.partial().clone());
        }
    }
    work.todo.notify_one();
}

fn settle(app: &App, work: &Work, kept: FinishResult) {
    match kept {
        FinishResult::Accepted => work.ready.notify_waiters(),
        FinishResult::Superseded => (),
        FinishResult::Stale => {
            let instance = app.settings.me.name.to_string();
            let customer = work.customer().to_string();
            metrics::counter!(meter::STALE_SAMPLES, "instance" => instance, "customer" => customer)
                .increment(1);
        }
    }
}
