//! The loop that runs the samples of a step.

mod placement;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use batch::Draft;
use batch::Outcome;
use batch::ledger::Action;
use batch::waits::WaitReason;
use kernel::Map;
use kernel::Millis;
use place::PendingSample;
use table::Upstream;
use tokio::task::JoinError;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::task::JoinMap;

use self::placement::PendingRun;
use self::placement::PlaceOutcome;
use super::OwnedStep;
use super::RETRY_PAUSE;
use super::checks::Checks;
use super::load_probes::LoadProbes;
use super::version_probes::VersionProbes;
use super::wait_log::WaitLog;
use super::write::WriteOutcome;
use super::write::write_segment;
use crate::App;
use crate::access;
use crate::run::RunOutcome;
use crate::score;
use crate::telemetry;

/// Maximum interval between two passes of the loop.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the start of a step for which scores are requested if its route was removed, in milliseconds: no trainer
/// waits longer for a step.
const DEFAULT_TTL: Millis = 15_000;

/// A run that ended.
struct FinishedRun {
    outcome: RunOutcome,
    engine: Arc<Upstream>,
}

/// Runs a step until it has ended or was lost.
pub(super) struct StepRunner<'a> {
    app: &'a Arc<App>,
    owned: &'a Arc<OwnedStep>,
    pending: VecDeque<PendingRun>,
    /// The running samples, by index.
    runs: JoinMap<u32, FinishedRun>,
    /// The samples whose scores are requested, by index. A sample that cannot be scored gets none.
    scores: JoinMap<u32, Option<Arc<str>>>,
    writes: JoinSet<WriteOutcome>,
    checks: Checks,
    probes: VersionProbes,
    load_probes: LoadProbes,
    /// When no engine had a free slot, at the last attempt.
    engines_full_at: Millis,
    /// Why the last attempt to place the pending samples ended.
    blocked_by: WaitReason,
    wait_log: WaitLog,
    /// Failed runs of each sample.
    failures: Map<u32, u32>,
    /// The engine at which a sample of each group was last started.
    group_engines: Map<Arc<str>, Arc<str>>,
}

impl<'a> StepRunner<'a> {
    pub(super) fn new(app: &'a Arc<App>, owned: &'a Arc<OwnedStep>) -> Self {
        let ledger = owned.ledger.lock();
        let samples = owned.spec.samples.iter().enumerate();
        let pending = samples
            .map(|(index, sample)| {
                let started = owned.drafts[index].lock().last_event > 0;
                let index = index as u32;
                PendingSample {
                    index,
                    group: sample.group.clone(),
                    expected_tokens: sample.expected,
                    carried_over: started || owned.carried_over.contains(&index),
                }
            })
            .filter(|sample| !ledger.has_ended(sample.index));
        // Texts that were adopted from an earlier step may already be complete.
        let (complete, pending): (Vec<_>, _) =
            pending.partition(|sample| owned.drafts[sample.index as usize].lock().complete);
        drop(ledger);
        let pending = place::order_samples(pending, owned.head.required_groups);
        let pending = pending.into_iter().map(|sample| PendingRun {
            sample,
            avoid: Vec::new(),
        });
        let mut runner = Self {
            app,
            owned,
            pending: pending.collect(),
            runs: JoinMap::new(),
            scores: JoinMap::new(),
            writes: JoinSet::new(),
            checks: Checks::default(),
            probes: VersionProbes::default(),
            load_probes: LoadProbes::default(),
            engines_full_at: 0,
            blocked_by: WaitReason::Slot,
            wait_log: WaitLog::default(),
            failures: Map::default(),
            group_engines: Map::default(),
        };
        for sample in complete {
            runner.score(sample.index);
        }
        runner.record_counts();
        runner
    }

    /// Runs the step until all results are written, it has ended, or another instance has taken it over. Dropping
    /// the runs closes their connections, at which the engines stop generating.
    pub(super) async fn run(&mut self) {
        loop {
            if self.owned.is_lost() || self.owned.has_ended() {
                return;
            }
            if !self.pending.is_empty() {
                access::confirm_config(self.app).await;
            }
            let pause = match self.place() {
                PlaceOutcome::Done => MAX_PASS_INTERVAL,
                PlaceOutcome::Deferred(pause) => pause,
            };
            self.record_counts();
            self.log_waits();
            if self.write() {
                return;
            }
            self.checks.begin(self.app, self.owned);
            tokio::select! {
                Some((index, run)) = self.runs.join_next() => self.handle_run(index, run),
                Some((index, score)) = self.scores.join_next() => self.handle_score(index, score),
                Some(outcome) = self.writes.join_next() => {
                    // The segment of a write without a result may have been written.
                    let outcome = outcome.unwrap_or(WriteOutcome::Indeterminate);
                    self.handle_write(outcome).await;
                }
                Some(()) = self.checks.finished() => (),
                Some(()) = self.probes.finished() => (),
                Some(()) = self.load_probes.finished() => (),
                () = self.owned.changed.notified() => (),
                () = self.app.capacity_changed.notified() => (),
                () = sleep(pause) => ()
            }
        }
    }

    /// Records how many samples wait and run, for other owners of steps.
    fn record_counts(&self) {
        let (waiting, running) = (self.pending.len() as u32, self.runs.len() as u32);
        self.owned.waiting.store(waiting, Ordering::Relaxed);
        self.owned.running.store(running, Ordering::Relaxed);
    }

    /// Reports why samples make no progress, when such a report is due.
    fn log_waits(&mut self) {
        let now = self.app.clock.now();
        if !self.wait_log.is_due(now) {
            return;
        }
        let mut reasons = Map::default();
        let index = |pending: &PendingRun| pending.sample.index;
        reasons.extend(self.scores.keys().map(|index| (*index, WaitReason::Score)));
        reasons.extend(self.runs.keys().map(|index| (*index, WaitReason::Run)));
        let pending = self.pending.iter().map(index);
        reasons.extend(pending.map(|index| (index, self.blocked_by)));
        self.wait_log.update(self.owned, &reasons, now);
    }

    /// Lets running samples continue after the end of their step, until a later step has adopted drafts of this one
    /// or all runs have ended. Unfinished groups are usually requested again within a second or two, and events that
    /// are generated meanwhile need not be generated again.
    pub(super) async fn finish_runs(&mut self) {
        // An ended step needs no scores, and none of its requests for scores may run after its end.
        self.scores.abort_all();
        while !self.owned.handed_over.load(Ordering::Relaxed) {
            tokio::select! {
                run = self.runs.join_next() => if run.is_none() { return },
                () = self.owned.changed.notified() => ()
            }
        }
    }

    fn handle_run(&mut self, index: u32, run: Result<FinishedRun, JoinError>) {
        let FinishedRun { outcome, engine } = match run {
            Ok(run) => run,
            Err(error) => {
                self.log_lost_task(index, &error);
                return self.enqueue(index, Vec::new());
            }
        };
        let draft = &self.owned.drafts[index as usize];
        match outcome {
            RunOutcome::Completed => return self.score(index),
            RunOutcome::Rejected => return self.fail(index),
            RunOutcome::Failed => {
                let failures = self.failures.entry(index).or_default();
                *failures += 1;
                let route = self.owned.route(self.app);
                let max_failures = route.map_or(1, |route| route.max_attempts.max(1));
                if *failures >= max_failures {
                    return self.fail(index);
                }
            }
            RunOutcome::Broken(why) if why.starts_with("version") => {
                let single_version = self
                    .owned
                    .route(self.app)
                    .is_some_and(|route| route.single_version);
                if single_version {
                    *draft.lock() = Draft::default();
                    self.owned.checkpoints.lock().reset(index);
                }
            }
            RunOutcome::NotExecuted
            | RunOutcome::Moved
            | RunOutcome::PermitExpired
            | RunOutcome::Broken(_) => (),
        }
        let avoid = match outcome {
            RunOutcome::NotExecuted | RunOutcome::PermitExpired => Vec::new(),
            _ => vec![engine.id.clone()],
        };
        self.enqueue(index, avoid);
    }

    /// Has a sample run next, at another engine than these if one has a free slot.
    fn enqueue(&mut self, index: u32, avoid: Vec<Arc<str>>) {
        let sample = &self.owned.spec.samples[index as usize];
        let sample = PendingSample {
            index,
            group: sample.group.clone(),
            expected_tokens: sample.expected,
            carried_over: false,
        };
        self.pending.push_front(PendingRun { sample, avoid });
    }

    /// Logs that the task of a sample ended without a result.
    fn log_lost_task(&self, index: u32, error: &JoinError) {
        let error = error.to_string();
        log::error!(target: "owner", id = &*self.owned.spec.samples[index as usize].id,
            step = &*self.owned.step, error = error.as_str(); "task of a sample ended without a result");
    }

    /// Requests the score of a sample whose text is complete, or finishes the sample if it needs no score.
    fn score(&mut self, index: u32) {
        if self.owned.spec.samples[index as usize].scoring.is_none() {
            return self.finish(index, None);
        }
        let route = self.owned.route(self.app);
        let max_failures = route.as_ref().map_or(1, |route| route.max_attempts);
        let ttl = route.map_or(DEFAULT_TTL, |route| route.ttl);
        let (app, owned) = (self.app.clone(), self.owned.clone());
        let deadline = owned.opened_at + ttl;
        self.scores.spawn(index, async move {
            match &owned.spec.samples[index as usize].scoring {
                Some(scoring) => {
                    let principal = owned.principal(&app);
                    score::score(&app, &owned, scoring, &principal, max_failures, deadline).await
                }
                None => None,
            }
        });
    }

    fn handle_score(&mut self, index: u32, score: Result<Option<Arc<str>>, JoinError>) {
        match score {
            Ok(Some(score)) => self.finish(index, Some(score)),
            Ok(None) => self.fail(index),
            Err(error) => {
                self.log_lost_task(index, &error);
                self.score(index);
            }
        }
    }

    fn finish(&mut self, index: u32, score: Option<Arc<str>>) {
        let draft = self.owned.drafts[index as usize].lock().clone();
        self.record(index, Outcome::Completed, draft, score);
    }

    fn fail(&mut self, index: u32) {
        self.record(index, Outcome::Failed, Draft::default(), None);
    }

    /// Records the result of a sample for the next write.
    fn record(&mut self, index: u32, outcome: Outcome, draft: Draft, score: Option<Arc<str>>) {
        let label = match outcome {
            Outcome::Completed => "whole",
            Outcome::Failed => "failed",
        };
        metrics::counter!(telemetry::SAMPLES, "outcome" => label).increment(1);
        let entry = self.owned.entry(index, outcome, draft, score);
        self.owned.ledger.lock().finish(entry, self.app.clock.now());
    }

    /// Records all samples that are not running as failed.
    fn fail_pending(&mut self, why: &str) {
        log::warn!(target: "owner", id = &*self.owned.step, why, samples = self.pending.len();
            "pending samples failed");
        for pending in std::mem::take(&mut self.pending) {
            self.fail(pending.sample.index);
        }
    }

    /// Writes the next segment when it is due; returns whether all results are written.
    fn write(&mut self) -> bool {
        let mut ledger = self.owned.ledger.lock();
        if ledger.is_done() {
            return true;
        }
        if !self.writes.is_empty() {
            return false;
        }
        let take_deltas = |ended: &[bool]| self.owned.take_deltas(ended);
        if let Action::Write(segment) = ledger.next_action(self.app.clock.now(), take_deltas) {
            let (app, owned) = (self.app.clone(), self.owned.clone());
            self.writes
                .spawn(async move { write_segment(&app, &owned, &segment).await });
        }
        false
    }

    async fn handle_write(&mut self, outcome: WriteOutcome) {
        match outcome {
            WriteOutcome::Applied => {
                let mut ledger = self.owned.ledger.lock();
                ledger.mark_written();
                let count = ledger.listed().len();
                self.owned.listed.send_replace(count);
                log::info!(target: "owner", id = &*self.owned.step, listed = count,
                    total = self.owned.head.total; "results written");
            }
            WriteOutcome::Indeterminate => sleep(RETRY_PAUSE).await,
            // The step is marked as ended or lost, which ends the loop.
            WriteOutcome::Ended | WriteOutcome::Lost => (),
        }
    }
}
