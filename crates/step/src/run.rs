//! The state of a step on the instance that works on it.

use std::sync::Arc;

use kernel::Millis;
use serde::Deserialize;
use serde::Serialize;

use crate::Cursor;
use crate::Policy;
use crate::Sample;
use crate::Spec;
use crate::Version;
use crate::assembly::Partial;
use crate::length::LengthPredictor;
use crate::policy::Running;
use crate::policy::Scheduler;
use crate::policy::Waiting;

/// Divisor of the token limit that gives the initially predicted length of a sample.
const INITIAL_LENGTH_DIVISOR: u32 = 8;

/// Assumed tokens per second of an engine before any rate was observed.
const INITIAL_TOKEN_RATE: f64 = 50.0;

/// Weight of the newest observation in exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.2;

/// Maximum priority of a sample at an engine, which the last samples of a step approach.
pub const MAX_PRIORITY: u8 = 9;

/// The state of one sample.
#[derive(Clone, Debug)]
enum Slot {
    /// Waits to be started, or resumed from the output of an earlier attempt.
    Waiting(Partial),
    /// An attempt is running.
    Running(Attempt),
    /// Complete, but not known to be received by the trainer.
    Finished(Arc<Sample>),
    /// Received by the trainer.
    Delivered,
}

/// A running attempt.
#[derive(Clone, Debug)]
struct Attempt {
    ordinal: u32,
    /// When it was sent to an engine; [`None`] while it waits for one.
    sent_at: Option<Millis>,
    /// Number of tokens that this attempt generated.
    new_tokens: u32,
    /// Number of tokens of the earlier attempts that it resumes.
    resumed_tokens: u32,
}

/// The next attempt at a sample.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Index of the sample in the step.
    pub index: u32,
    /// Index of its group.
    pub group: u32,
    /// The ordinal of the attempt, unique in the step on this instance.
    pub ordinal: u32,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The output of earlier attempts, to resume from.
    pub partial: Partial,
    /// Maximum number of tokens over all attempts.
    pub max_tokens: u32,
    /// The lowest weight version that may produce the sample, so that it is still within the
    /// staleness bound when it ends.
    pub min_version: Version,
    /// Priority at the engine, 0 to [`MAX_PRIORITY`].
    pub priority: u8,
}

/// What a worker has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Start this attempt.
    Start(Assignment),
    /// No sample waits now; ask again when something changes.
    Wait,
    /// The trainer holds every sample.
    Done,
}

/// Result of a finished attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishResult {
    /// It was accepted as the result of the sample.
    Accepted,
    /// The attempt was no longer the running one of its sample; its output was dropped.
    Superseded,
    /// It already exceeds the staleness bound and will be generated again.
    Stale,
}

/// A batch of samples for the trainer.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The samples.
    pub samples: Vec<Arc<Sample>>,
    /// The samples that the trainer holds once it has received the batch.
    pub cursor: Cursor,
    /// Whether the trainer then holds every sample.
    pub done: bool,
}

/// Counters of a step, for `explain` and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Attempts started.
    pub begun: u64,
    /// Attempts that resumed an earlier one.
    pub resumed: u64,
    /// Attempts moved off a slow engine.
    pub moved: u64,
    /// Samples generated again because they exceeded the staleness bound.
    pub stale: u64,
    /// Results, complete or partial, of attempts that were no longer the running one of their
    /// sample.
    pub lost: u64,
    /// Tokens that were generated and discarded.
    pub wasted: u64,
}

/// The state of a step on the instance that works on it.
pub struct Run {
    spec: Spec,
    scheduler: Box<dyn Scheduler>,
    slots: Vec<Slot>,
    /// How often each sample was moved, over all its attempts.
    move_counts: Vec<u32>,
    lengths: LengthPredictor,
    trainer_version: Version,
    /// When the trainer last reported a new version.
    version_changed: Option<Millis>,
    /// Average time between two versions of the trainer, in milliseconds.
    version_interval: Option<f64>,
    /// Average tokens per second of an attempt.
    token_rate: f64,
    next_ordinal: u32,
    counts: Counts,
}

impl Run {
    /// Creates the state of a step for a trainer that holds the samples in `cursor` and is at
    /// weight version `trainer_version`.
    pub fn new(spec: Spec, policy: &Policy, cursor: &Cursor, trainer_version: Version) -> Self {
        let slot = |index| match cursor.contains(index) {
            true => Slot::Delivered,
            false => Slot::Waiting(Partial::default()),
        };
        Self {
            slots: (0..spec.total()).map(slot).collect(),
            move_counts: vec![0; spec.total() as usize],
            lengths: LengthPredictor::new(
                spec.prompts.len(),
                spec.max_tokens.div_ceil(INITIAL_LENGTH_DIVISOR),
            ),
            scheduler: (policy.make)(),
            trainer_version,
            version_changed: None,
            version_interval: None,
            token_rate: INITIAL_TOKEN_RATE,
            next_ordinal: 0,
            counts: Counts::default(),
            spec,
        }
    }

    /// The specification of the step.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// The counters so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The weight version that the trainer last reported.
    pub fn trainer_version(&self) -> Version {
        self.trainer_version
    }

    /// Records that the trainer is at a weight version now.
    ///
    /// The time between versions predicts how many more will follow while a sample runs.
    pub fn set_trainer_version(&mut self, version: Version, now: Millis) {
        if version <= self.trainer_version {
            return;
        }
        if let Some(before) = self.version_changed {
            let elapsed = now.saturating_sub(before) as f64;
            let interval = elapsed / (version - self.trainer_version) as f64;
            let average = self.version_interval.get_or_insert(interval);
            *average += SMOOTHING_FACTOR * (interval - *average);
        }
        self.trainer_version = version;
        self.version_changed = Some(now);
    }

    /// The lowest weight version that may start a sample with `remaining` tokens to generate.
    ///
    /// The staleness bound is checked again at delivery. This check leaves room for the versions
    /// expected while the sample runs, so that few samples are generated in vain.
    fn min_version(&self, remaining: f64) -> Version {
        let ahead = match self.version_interval {
            Some(interval) if interval > 0.0 => remaining / self.token_rate * 1_000.0 / interval,
            _ => 0.0,
        };
        // With a bound of 0, the trainer's own version is the newest there is, so there is no room
        // to leave.
        let ahead = (ahead.floor() as u64).min(self.spec.max_staleness);
        (self.trainer_version + ahead)
            .saturating_sub(self.spec.max_staleness)
            .min(self.trainer_version)
    }

    /// Returns the next task for a worker.
    pub fn next_task(&mut self) -> Task {
        let waiting = self.waiting();
        if waiting.is_empty() {
            let done = self
                .slots
                .iter()
                .all(|slot| matches!(slot, Slot::Delivered));
            return if done { Task::Done } else { Task::Wait };
        }
        let at = self.scheduler.pick_next(&waiting).min(waiting.len() - 1);
        Task::Start(self.start_attempt(waiting[at]))
    }

    fn waiting(&self) -> Vec<Waiting> {
        let mut group_running = vec![false; self.spec.prompts.len()];
        for (index, slot) in self.slots.iter().enumerate() {
            if matches!(slot, Slot::Running(_)) {
                group_running[self.spec.group(index as u32) as usize] = true;
            }
        }
        let waits = |(index, slot): (usize, &Slot)| {
            let Slot::Waiting(partial) = slot else {
                return None;
            };
            let group = self.spec.group(index as u32);
            Some(Waiting {
                index: index as u32,
                group,
                generated: partial.tokens,
                predicted: self.lengths.expect(group, partial.tokens),
                measured: self.lengths.has_observed(group),
                group_running: group_running[group as usize],
            })
        };
        self.slots.iter().enumerate().filter_map(waits).collect()
    }

    fn start_attempt(&mut self, sample: Waiting) -> Assignment {
        let ordinal = self.next_ordinal;
        self.next_ordinal += 1;
        let slot = &mut self.slots[sample.index as usize];
        let attempt = Attempt {
            ordinal,
            sent_at: None,
            new_tokens: 0,
            resumed_tokens: sample.generated,
        };
        let partial = match std::mem::replace(slot, Slot::Running(attempt)) {
            Slot::Waiting(partial) => partial,
            _ => Partial::default(),
        };
        self.counts.begun += 1;
        self.counts.resumed += u64::from(partial.tokens > 0);
        Assignment {
            index: sample.index,
            group: sample.group,
            ordinal,
            prompt: self.spec.prompt(sample.index),
            max_tokens: self.spec.max_tokens,
            min_version: self.min_version(sample.predicted - f64::from(sample.generated)),
            priority: self.priority(),
            partial,
        }
    }

    /// The priority of a new attempt. It rises as the step nears its end, when each remaining
    /// sample delays the whole step.
    fn priority(&self) -> u8 {
        let total = self.slots.len().max(1);
        let unfinished = |slot: &&Slot| matches!(slot, Slot::Waiting(_) | Slot::Running(_));
        let remaining = self.slots.iter().filter(unfinished).count();
        let priority = (total - remaining) * usize::from(MAX_PRIORITY) / total;
        priority as u8
    }

    fn running_attempt(&mut self, index: u32, ordinal: u32) -> Option<&mut Attempt> {
        match self.slots.get_mut(index as usize) {
            Some(Slot::Running(attempt)) if attempt.ordinal == ordinal => Some(attempt),
            _ => None,
        }
    }

    /// Records that an attempt was sent to an engine. Its token rate is measured from this time,
    /// which excludes the wait for an engine.
    pub fn mark_sent(&mut self, index: u32, ordinal: u32, now: Millis) {
        if let Some(attempt) = self.running_attempt(index, ordinal) {
            attempt.sent_at = Some(now);
        }
    }

    /// Records that an attempt has reached `tokens` tokens; returns whether it is
    /// still running. If not, its output will be discarded.
    pub fn record_progress(&mut self, index: u32, ordinal: u32, tokens: u32) -> bool {
        let Some(attempt) = self.running_attempt(index, ordinal) else {
            return false;
        };
        attempt.new_tokens = tokens.saturating_sub(attempt.resumed_tokens);
        true
    }

    /// Adds the complete sample of an attempt.
    pub fn finish(&mut self, ordinal: u32, sample: Sample, now: Millis) -> FinishResult {
        let index = sample.index;
        let Some(attempt) = self.running_attempt(index, ordinal) else {
            self.counts.lost += 1;
            self.counts.wasted += u64::from(sample.tokens);
            return FinishResult::Superseded;
        };
        let sent_at = attempt.sent_at.unwrap_or(now);
        let seconds = now.saturating_sub(sent_at) as f64 / 1_000.0;
        let new_tokens = sample.tokens.saturating_sub(attempt.resumed_tokens);
        if seconds > 0.0 && new_tokens > 0 {
            self.token_rate +=
                SMOOTHING_FACTOR * (f64::from(new_tokens) / seconds - self.token_rate);
        }
        self.lengths.observe(sample.group, sample.tokens);
        if sample.staleness(self.trainer_version) > self.spec.max_staleness {
            self.discard_stale(index, sample.tokens);
            return FinishResult::Stale;
        }
        self.slots[index as usize] = Slot::Finished(Arc::new(sample));
        FinishResult::Accepted
    }

    /// Discards a stale sample, which is then generated again.
    fn discard_stale(&mut self, index: u32, tokens: u32) {
        self.counts.stale += 1;
        self.counts.wasted += u64::from(tokens);
        self.slots[index as usize] = Slot::Waiting(Partial::default());
    }

    /// Takes back an attempt that ended early. A later attempt resumes from its output unless that
    /// exceeds the staleness bound.
    pub fn fail(&mut self, index: u32, ordinal: u32, partial: Partial) {
        if self.running_attempt(index, ordinal).is_none() {
            self.counts.lost += 1;
            self.counts.wasted += u64::from(partial.tokens);
            return;
        }
        let oldest = partial.spans.iter().map(|span| span.version).min();
        let stale = oldest
            .is_some_and(|v| self.trainer_version.saturating_sub(v) > self.spec.max_staleness);
        if stale {
            self.discard_stale(index, partial.tokens);
            return;
        }
        self.slots[index as usize] = Slot::Waiting(partial);
    }

    /// Returns the index and the ordinal of the attempts to stop and resume at another engine.
    pub fn pick_moves(&mut self, now: Millis) -> Vec<(u32, u32)> {
        let runs = |(index, slot): (usize, &Slot)| {
            let Slot::Running(attempt) = slot else {
                return None;
            };
            let age_ms = now.saturating_sub(attempt.sent_at?);
            Some(Running {
                index: index as u32,
                rate: f64::from(attempt.new_tokens) * 1_000.0 / age_ms.max(1) as f64,
                moves: self.move_counts[index],
                age_ms,
            })
        };
        let running: Vec<_> = self.slots.iter().enumerate().filter_map(runs).collect();
        let chosen = self.scheduler.pick_moves(&running);
        let mut moves = Vec::new();
        for index in chosen {
            if let Some(Slot::Running(attempt)) = self.slots.get(index as usize) {
                self.move_counts[index as usize] += 1;
                self.counts.moved += 1;
                moves.push((index, attempt.ordinal));
            }
        }
        moves
    }

    /// Answers a pull: records which samples the trainer holds, and returns at most `limit`
    /// finished samples that it does not hold and that are within the staleness bound now.
    pub fn pull(
        &mut self,
        cursor: &Cursor,
        trainer_version: Version,
        limit: usize,
        now: Millis,
    ) -> Batch {
        self.set_trainer_version(trainer_version, now);
        self.apply_cursor(cursor);
        let mut next = cursor.clone();
        let mut samples = Vec::new();
        for index in 0..self.slots.len() {
            if samples.len() == limit {
                break;
            }
            let Slot::Finished(sample) = &self.slots[index] else {
                continue;
            };
            if sample.staleness(trainer_version) > self.spec.max_staleness {
                let tokens = sample.tokens;
                self.discard_stale(index as u32, tokens);
                continue;
            }
            next.insert(index as u32);
            samples.push(sample.clone());
        }
        let done = next.is_full();
        Batch {
            samples,
            cursor: next,
            done,
        }
    }

    /// Updates the slots to match the samples that the trainer holds.
    fn apply_cursor(&mut self, cursor: &Cursor) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            let held = cursor.contains(index as u32);
            match slot {
                Slot::Delivered if !held => *slot = Slot::Waiting(Partial::default()),
                Slot::Delivered => (),
                _ if held => *slot = Slot::Delivered,
                _ => (),
            }
        }
    }

    /// Number of samples that are finished but not known to be received by the trainer.
    pub fn finished_count(&self) -> usize {
        let finished = |slot: &&Slot| matches!(slot, Slot::Finished(_));
        self.slots.iter().filter(finished).count()
    }

    /// Number of samples that are running.
    pub fn running_count(&self) -> usize {
        let running = |slot: &&Slot| matches!(slot, Slot::Running(_));
        self.slots.iter().filter(running).count()
    }

    /// Number of samples that the trainer holds.
    pub fn held_count(&self) -> usize {
        let held = |slot: &&Slot| matches!(slot, Slot::Delivered);
        self.slots.iter().filter(held).count()
    }
}
