//! Log lines and metrics about the samples of a step that make no progress.

use batch::waits::Observation;
use batch::waits::WaitReason;
use batch::waits::Waits;
use kernel::Map;
use kernel::Millis;

use super::OwnedStep;
use crate::telemetry;

/// Reports why the samples of one step make no progress. Dropping it takes them off the metrics.
#[derive(Debug, Default)]
pub(super) struct WaitLog {
    waits: Waits,
    /// Number of samples that the metrics count for each reason.
    counted: Map<WaitReason, usize>,
}

impl WaitLog {
    /// Returns whether the next update is due.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        self.waits.is_due(now)
    }

    /// Logs the samples that have waited longest, and counts those that wait by reason. `reasons` holds why each sample
    /// that the step's owner knows of has not ended.
    pub(super) fn update(
        &mut self,
        owned: &OwnedStep,
        reasons: &Map<u32, WaitReason>,
        now: Millis,
    ) {
        let unfinished: Vec<_> = {
            let ledger = owned.ledger.lock();
            let indices = 0..owned.drafts.len() as u32;
            indices.filter(|index| !ledger.has_ended(*index)).collect()
        };
        let observations = unfinished.into_iter().map(|index| Observation {
            index,
            reason: reasons
                .get(&index)
                .copied()
                .unwrap_or(WaitReason::Unaccounted),
            events: owned.drafts[index as usize].lock().last_event,
        });
        for wait in self.waits.update(observations, now) {
            let upstream = owned.engine_of(wait.index);
            log::info!(target: "owner", id = &*owned.spec.samples[wait.index as usize].id,
                step = &*owned.step, why = wait.reason.name(),
                upstream = upstream.as_deref().unwrap_or_default(), waited_ms = wait.waited,
                samples = self.waits.count(wait.reason), heard_ms = now.saturating_sub(owned.confirmed_at());
                "sample waits");
        }
        for reason in WaitReason::ALL {
            self.set_gauge(reason, self.waits.count(reason));
        }
    }

    /// Sets this step's part of a gauge that all steps of the instance share.
    fn set_gauge(&mut self, reason: WaitReason, count: usize) {
        let counted = self.counted.entry(reason).or_default();
        let gauge = metrics::gauge!(telemetry::WAITING_SAMPLES, "reason" => reason.name());
        gauge.increment(count as f64 - *counted as f64);
        *counted = count;
    }
}

impl Drop for WaitLog {
    fn drop(&mut self) {
        for reason in WaitReason::ALL {
            self.set_gauge(reason, 0);
        }
    }
}
