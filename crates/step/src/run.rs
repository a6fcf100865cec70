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
use crate::length::Lengths;
use crate::policy::Decide;
use crate::policy::Running;
use crate::policy::Waiting;

/// Part of the token limit that a sample of an unknown group is expected to have.
const FIRST_PART: u32 = 8;

/// Tokens a second that an engine is expected to make before one was seen.
const FIRST_SPEED: f64 = 50.0;

/// Weight of the newest observation in means.
const SMOOTH: f64 = 0.2;

/// Highest priority of a sample at an engine; a step's last samples have it.
pub const MAX_PRIORITY: u8 = 9;

/// Where one sample stands.
#[derive(Clone, Debug)]
enum Slot {
    /// To be begun, or resumed with what an earlier attempt left.
    Waiting(Partial),
    /// An attempt runs.
    Running(Live),
    /// Whole, and not yet known to be with the trainer.
    Finished(Arc<Sample>),
    /// With the trainer.
    Held,
}

/// A running attempt.
#[derive(Clone, Debug)]
struct Live {
    ordinal: u32,
    /// When an engine got it; [`None`] while it waits for one.
    sent: Option<Millis>,
    tokens: u32,
    so_far: u32,
}

/// What a sample's next attempt is to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The sample.
    pub index: u32,
    /// Its group.
    pub group: u32,
    /// The ordinal of the attempt, unique in the step on this instance.
    pub ordinal: u32,
    /// The prompt.
    pub prompt: Arc<str>,
    /// What earlier attempts left, to resume from.
    pub partial: Partial,
    /// Tokens at most, over all attempts.
    pub max_tokens: u32,
    /// Lowest weight version that may produce it, so that it is fresh when it ends.
    pub min_version: Version,
    /// Priority at the engine, 0 to [`MAX_PRIORITY`].
    pub priority: u8,
}

/// What a step says to a worker that asks for something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Task {
    /// Begin this attempt.
    Start(Assignment),
    /// Nothing waits now; ask again when something changes.
    Wait,
    /// The trainer holds every sample.
    Done,
}

/// What became of an attempt's sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishResult {
    /// It is the sample.
    Accepted,
    /// The attempt had been given up; its result is dropped.
    Superseded,
    /// It is older than the bound already and is made again.
    Stale,
}

/// A batch for the trainer.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The samples.
    pub samples: Vec<Arc<Sample>>,
    /// What the trainer holds when it has taken them.
    pub cursor: Cursor,
    /// Whether it then holds all.
    pub done: bool,
}

/// What happened in a step, for `explain` and the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Attempts begun.
    pub begun: u64,
    /// Attempts that resumed another.
    pub resumed: u64,
    /// Attempts moved off a slow engine.
    pub moved: u64,
    /// Samples made again because they were older than the bound.
    pub stale: u64,
    /// Results of attempts that had been given up.
    pub lost: u64,
    /// Tokens that were generated and thrown away.
    pub wasted: u64,
}

/// The state of a step on the instance that works on it.
pub struct Run {
    spec: Spec,
    decide: Box<dyn Decide>,
    slots: Vec<Slot>,
    /// How often each sample was moved, over all its attempts.
    moves: Vec<u32>,
    lengths: Lengths,
    trainer: Version,
    trained: Option<Millis>,
    pace: Option<f64>,
    speed: f64,
    next: u32,
    counts: Counts,
}

impl Run {
    /// Begins a step for a trainer that holds what `cursor` says and trains on `trainer`.
    pub fn new(spec: Spec, policy: &Policy, cursor: &Cursor, trainer: Version) -> Self {
        let slot = |index| match cursor.contains(index) {
            true => Slot::Held,
            false => Slot::Waiting(Partial::default()),
        };
        Self {
            slots: (0..spec.total()).map(slot).collect(),
            moves: vec![0; spec.total() as usize],
            lengths: Lengths::new(spec.prompts.len(), spec.max_tokens.div_ceil(FIRST_PART)),
            decide: (policy.make)(),
            trainer,
            trained: None,
            pace: None,
            speed: FIRST_SPEED,
            next: 0,
            counts: Counts::default(),
            spec,
        }
    }

    /// What the trainer asked for.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// What happened so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The trainer's weight version, as it said last.
    pub fn trainer_version(&self) -> Version {
        self.trainer
    }

    /// Notes that the trainer is at a weight version now.
    ///
    /// The time between versions tells how many more will come while a sample runs.
    pub fn set_trainer_version(&mut self, version: Version, now: Millis) {
        if version <= self.trainer {
            return;
        }
        if let Some(before) = self.trained {
            let span = now.saturating_sub(before) as f64;
            let each = span / (version - self.trainer) as f64;
            let pace = self.pace.get_or_insert(each);
            *pace += SMOOTH * (each - *pace);
        }
        self.trainer = version;
        self.trained = Some(now);
    }

    /// Lowest version that may begin a sample with so many tokens left.
    ///
    /// The bound is checked again at delivery; here it is checked with room for the versions that
    /// will come while the sample runs, so that few are made in vain.
    fn floor(&self, left: f64) -> Version {
        let ahead = match self.pace {
            Some(pace) if pace > 0.0 => left / self.speed * 1_000.0 / pace,
            _ => 0.0,
        };
        // With a bound of 0 the trainer's own version is the newest there is: no room to keep.
        let ahead = (ahead.floor() as u64).min(self.spec.max_staleness);
        (self.trainer + ahead)
            .saturating_sub(self.spec.max_staleness)
            .min(self.trainer)
    }

    /// Gives a worker something to do.
    pub fn next_task(&mut self) -> Task {
        let waiting = self.waiting();
        if waiting.is_empty() {
            let over = self.slots.iter().all(|slot| matches!(slot, Slot::Held));
            return if over { Task::Done } else { Task::Wait };
        }
        let at = self.decide.pick(&waiting).min(waiting.len() - 1);
        Task::Start(self.start(waiting[at]))
    }

    fn waiting(&self) -> Vec<Waiting> {
        let mut probed = vec![false; self.spec.prompts.len()];
        for (index, slot) in self.slots.iter().enumerate() {
            if matches!(slot, Slot::Running(_)) {
                probed[self.spec.group(index as u32) as usize] = true;
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
                so_far: partial.tokens,
                expect: self.lengths.expect(group, partial.tokens),
                known: self.lengths.knows(group),
                probed: probed[group as usize],
            })
        };
        self.slots.iter().enumerate().filter_map(waits).collect()
    }

    fn start(&mut self, sample: Waiting) -> Assignment {
        let ordinal = self.next;
        self.next += 1;
        let slot = &mut self.slots[sample.index as usize];
        let live = Live {
            ordinal,
            sent: None,
            tokens: 0,
            so_far: sample.so_far,
        };
        let partial = match std::mem::replace(slot, Slot::Running(live)) {
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
            min_version: self.floor(sample.expect - f64::from(sample.so_far)),
            priority: self.priority(),
            partial,
        }
    }

    /// The priority rises as the step nears its end, when each sample left holds up all.
    fn priority(&self) -> u8 {
        let total = self.slots.len().max(1);
        let open = |slot: &&Slot| matches!(slot, Slot::Waiting(_) | Slot::Running(_));
        let left = self.slots.iter().filter(open).count();
        let done = (total - left) * usize::from(MAX_PRIORITY) / total;
        done as u8
    }

    fn live(&mut self, index: u32, ordinal: u32) -> Option<&mut Live> {
        match self.slots.get_mut(index as usize) {
            Some(Slot::Running(live)) if live.ordinal == ordinal => Some(live),
            _ => None,
        }
    }

    /// Notes that an engine got an attempt; its speed counts from here, not from when it began to
    /// wait for an engine.
    pub fn mark_sent(&mut self, index: u32, ordinal: u32, now: Millis) {
        if let Some(live) = self.live(index, ordinal) {
            live.sent = Some(now);
        }
    }

    /// Notes how far an attempt is; tells whether it is still wanted.
    pub fn record_progress(&mut self, index: u32, ordinal: u32, tokens: u32) -> bool {
        let Some(live) = self.live(index, ordinal) else {
            return false;
        };
        live.tokens = tokens.saturating_sub(live.so_far);
        true
    }

    /// Takes a whole sample in.
    pub fn finish(&mut self, ordinal: u32, sample: Sample, now: Millis) -> FinishResult {
        let index = sample.index;
        let Some(live) = self.live(index, ordinal) else {
            self.counts.lost += 1;
            self.counts.wasted += u64::from(sample.tokens);
            return FinishResult::Superseded;
        };
        let sent = live.sent.unwrap_or(now);
        let span = now.saturating_sub(sent) as f64 / 1_000.0;
        let made = sample.tokens.saturating_sub(live.so_far);
        if span > 0.0 && made > 0 {
            self.speed += SMOOTH * (f64::from(made) / span - self.speed);
        }
        self.lengths.saw(sample.group, sample.tokens);
        if sample.staleness(self.trainer) > self.spec.max_staleness {
            self.remake(index, sample.tokens);
            return FinishResult::Stale;
        }
        self.slots[index as usize] = Slot::Finished(Arc::new(sample));
        FinishResult::Accepted
    }

    fn remake(&mut self, index: u32, tokens: u32) {
        self.counts.stale += 1;
        self.counts.wasted += u64::from(tokens);
        self.slots[index as usize] = Slot::Waiting(Partial::default());
    }

    /// Takes back an attempt that ended early; what it left is resumed unless it is too old.
    pub fn fail(&mut self, index: u32, ordinal: u32, partial: Partial) {
        if self.live(index, ordinal).is_none() {
            self.counts.lost += 1;
            self.counts.wasted += u64::from(partial.tokens);
            return;
        }
        let oldest = partial.spans.iter().map(|span| span.version).min();
        let old = oldest.is_some_and(|v| self.trainer.saturating_sub(v) > self.spec.max_staleness);
        if old {
            self.remake(index, partial.tokens);
            return;
        }
        self.slots[index as usize] = Slot::Waiting(partial);
    }

    /// Names the running samples to stop and resume elsewhere.
    pub fn pick_moves(&mut self, now: Millis) -> Vec<(u32, u32)> {
        let runs = |(index, slot): (usize, &Slot)| {
            let Slot::Running(live) = slot else {
                return None;
            };
            let age = now.saturating_sub(live.sent?);
            Some(Running {
                index: index as u32,
                speed: f64::from(live.tokens) * 1_000.0 / age.max(1) as f64,
                moves: self.moves[index],
                age,
            })
        };
        let running: Vec<_> = self.slots.iter().enumerate().filter_map(runs).collect();
        let chosen = self.decide.moves(&running);
        let mut moves = Vec::new();
        for index in chosen {
            if let Some(Slot::Running(live)) = self.slots.get(index as usize) {
                self.moves[index as usize] += 1;
                self.counts.moved += 1;
                moves.push((index, live.ordinal));
            }
        }
        moves
    }

    /// Answers a pull: takes the trainer's word of what it holds, and hands out at most `limit`
    /// finished samples that it does not hold and that are within the bound now.
    pub fn pull(&mut self, cursor: &Cursor, trainer: Version, limit: usize, now: Millis) -> Batch {
        self.set_trainer_version(trainer, now);
        self.sync(cursor);
        let mut next = cursor.clone();
        let mut samples = Vec::new();
        for index in 0..self.slots.len() {
            if samples.len() == limit {
                break;
            }
            let Slot::Finished(sample) = &self.slots[index] else {
                continue;
            };
            if sample.staleness(trainer) > self.spec.max_staleness {
                let tokens = sample.tokens;
                self.remake(index as u32, tokens);
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

    /// Brings the slots in line with what the trainer holds.
    fn sync(&mut self, cursor: &Cursor) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            let held = cursor.contains(index as u32);
            match slot {
                Slot::Held if !held => *slot = Slot::Waiting(Partial::default()),
                Slot::Held => (),
                _ if held => *slot = Slot::Held,
                _ => (),
            }
        }
    }

    /// Samples that are finished and not yet known to be with the trainer.
    pub fn finished_count(&self) -> usize {
        let finished = |slot: &&Slot| matches!(slot, Slot::Finished(_));
        self.slots.iter().filter(finished).count()
    }

    /// Samples that run.
    pub fn running_count(&self) -> usize {
        let running = |slot: &&Slot| matches!(slot, Slot::Running(_));
        self.slots.iter().filter(running).count()
    }

    /// Samples that the trainer holds.
    pub fn held_count(&self) -> usize {
        let held = |slot: &&Slot| matches!(slot, Slot::Held);
        self.slots.iter().filter(held).count()
    }
}
