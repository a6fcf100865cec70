//! The expected end of an owned step, from the progress of its samples.

use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use place::StepEnd;
use place::UnfinishedSample;

use super::OwnedStep;
use crate::App;

/// Time for which an estimate is used, in milliseconds: about the time of one event. An estimate visits all samples of
/// the step, so its runs share the result.
const MAX_ESTIMATE_AGE: Millis = 50;

/// The engines of running samples, and the last estimate of the step's end.
#[derive(Default)]
pub(super) struct StepProgress {
    /// The engine of each running sample, by the sample's index in the step.
    engines: Map<u32, Arc<str>>,
    /// The last estimate, with the time at which it was made.
    estimate: Option<(Millis, StepEnd)>,
}

impl OwnedStep {
    /// Records that a run of a sample has started.
    pub(crate) fn run_started(&self, index: u32, engine: &Arc<str>) {
        self.progress.lock().engines.insert(index, engine.clone());
    }

    /// Records that the run of a sample has ended.
    pub(crate) fn run_ended(&self, index: u32) {
        self.progress.lock().engines.remove(&index);
    }

    /// Returns the engine at which a sample runs.
    pub(super) fn engine_of(&self, index: u32) -> Option<Arc<str>> {
        self.progress.lock().engines.get(&index).cloned()
    }

    /// Returns whether a sample with this expected remaining time, in milliseconds, decides when the step ends. The
    /// caller must hold no lock on the engine tracker or on a draft.
    pub(crate) fn is_end_decided_by(&self, app: &App, index: u32, remaining: f64) -> bool {
        let Some(group) = self.ledger.lock().groups().group_of(index) else {
            return false;
        };
        let now = app.clock.now();
        let mut progress = self.progress.lock();
        let cached = progress.estimate.as_ref();
        if let Some((_, end)) = cached.filter(|(at, _)| now < at + MAX_ESTIMATE_AGE) {
            return end.is_decided_by(group, remaining);
        }
        let end = self.estimate_end(app, &progress.engines, now);
        let decided = end.is_decided_by(group, remaining);
        progress.estimate = Some((now, end));
        decided
    }

    fn estimate_end(&self, app: &App, engines: &Map<u32, Arc<str>>, now: Millis) -> StepEnd {
        let (unfinished, missing) = {
            let ledger = self.ledger.lock();
            let groups = ledger.groups();
            let indices = (0..self.drafts.len() as u32).filter(|index| !ledger.has_ended(*index));
            let unfinished = indices.filter_map(|index| Some((index, groups.group_of(index)?)));
            (unfinished.collect::<Vec<_>>(), groups.missing_groups())
        };
        // The drafts are read before the tracker is locked: others lock the tracker while they hold a draft.
        let unfinished = unfinished.into_iter().map(|(index, group)| {
            let draft = self.drafts[index as usize].lock();
            (index, group, draft.last_event, draft.complete)
        });
        let unfinished: Vec<_> = unfinished.collect();
        let tracker = app.engine_tracker.lock();
        let samples = unfinished
            .into_iter()
            .map(|(index, group, done, complete)| {
                let engine = engines.get(&index).map(|engine| &**engine);
                let expected = self.spec.samples[index as usize].expected;
                UnfinishedSample {
                    group,
                    carried_over: self.carried_over.contains(&index),
                    // A sample whose text is complete waits for its score at most.
                    waiting: engine.is_none() && !complete,
                    remaining: match complete {
                        true => 0.0,
                        false => tracker.remaining_time(engine, expected, done, now),
                    },
                }
            });
        StepEnd::estimate(samples, missing)
    }
}
