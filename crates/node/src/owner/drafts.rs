//! The drafts of a step: what earlier steps leave to it, what it leaves to later ones, and what is saved of them.

use std::sync::atomic::Ordering;

use batch::Draft;
use batch::DraftDelta;
use batch::Sample;
use kernel::Map;

use super::OwnedStep;
use crate::fingerprint;

impl OwnedStep {
    /// The fingerprint of a sample's request and its team, so that a draft is never given to another team.
    pub(super) fn fingerprint(&self, sample: &Sample) -> u64 {
        fingerprint::leftover(self.head.team.as_deref(), sample)
    }

    /// Hands over the drafts of the samples with these fingerprints, once the step has ended. Returns none if the
    /// step used another model.
    pub fn hand_over_drafts(&self, model: &str, fingerprints: &[u64]) -> Vec<(u64, Draft)> {
        if !self.has_ended() || *self.head.model != *model {
            return Vec::new();
        }
        let all = self.spec.samples.iter().zip(&self.drafts);
        let all = all.map(|(sample, draft)| (self.fingerprint(sample), draft));
        let matching = all.filter(|(fingerprint, _)| fingerprints.contains(fingerprint));
        let matching = matching.map(|(fingerprint, draft)| (fingerprint, draft.lock().clone()));
        let started: Vec<_> = matching.filter(|(_, draft)| draft.last_event > 0).collect();
        if !started.is_empty() {
            self.handed_over.store(true, Ordering::Relaxed);
            self.changed.notify_one();
        }
        started
    }

    /// Adopts the drafts of an earlier step whose versions are recent enough for this one; returns the number of
    /// samples that adopted one.
    pub(super) fn adopt_drafts(&self, drafts: Vec<(u64, Draft)>) -> usize {
        let mut longest: Map<u64, Draft> = Map::default();
        for (fingerprint, draft) in drafts {
            let recent = draft
                .versions
                .iter()
                .all(|version| *version >= self.head.min_version);
            let longer = longest
                .get(&fingerprint)
                .is_none_or(|known| known.last_event < draft.last_event);
            if recent && longer {
                longest.insert(fingerprint, draft);
            }
        }
        let ledger = self.ledger.lock();
        let mut adopted = 0;
        for (index, sample) in self.spec.samples.iter().enumerate() {
            let Some(draft) = longest.remove(&self.fingerprint(sample)) else {
                continue;
            };
            let mut own = self.drafts[index].lock();
            if !ledger.has_ended(index as u32) && draft.last_event > own.last_event {
                *own = draft;
                self.checkpoints.lock().reset(index as u32);
                adopted += 1;
            }
        }
        adopted
    }

    /// The changes to the drafts of samples that have not ended since they were last saved at the platform.
    pub(super) fn take_deltas(&self, ended: &[bool]) -> Vec<DraftDelta> {
        let drafts = self.drafts.iter().zip(ended).enumerate();
        let unfinished = drafts.filter(|(_, (_, ended))| !**ended);
        let drafts: Vec<_> = unfinished
            .map(|(index, (draft, _))| (index as u32, draft.lock()))
            .collect();
        let drafts = drafts.iter().map(|(index, draft)| (*index, &**draft));
        self.checkpoints.lock().take_deltas(drafts)
    }
}
