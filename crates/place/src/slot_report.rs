//! What an owner of steps reports to others: the samples that wait, and its runs on engines.

use std::sync::Arc;

use kernel::rendezvous_rank;
use serde::Deserialize;
use serde::Serialize;

/// Largest valid number of samples or runs in one entry of a report, and of entries: far more than one instance runs.
const MAX_COUNT: u32 = 1 << 16;

/// The samples of one model that an owner has for the engines of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ModelDemand {
    /// The service.
    pub service: Arc<str>,
    /// The model.
    pub model: Arc<str>,
    /// The oldest weight version that is accepted.
    pub min_version: u64,
    /// Number of samples that wait for an engine.
    pub waiting: u32,
    /// Number of samples that run.
    pub running: u32,
}

/// What an owner has to run, and what it runs on which engines.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotReport {
    /// The instance.
    pub owner: Arc<str>,
    /// Identifies the start among those of the instance; later starts have higher values.
    pub start: u64,
    /// Sequence number of the report since the start.
    pub seq: u64,
    /// Demand for each service and model.
    pub demands: Vec<ModelDemand>,
    /// Number of runs on each engine, by the hash of the engine's identifier, in the order of these.
    pub runs: Vec<(u32, u32)>,
}

impl SlotReport {
    /// Returns whether the owner has neither runs nor waiting samples.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty() && !self.has_waiting()
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.demands.iter().any(|demand| demand.waiting > 0)
    }

    pub(crate) fn is_valid(&self) -> bool {
        let counts = self.demands.iter();
        let counts = counts.flat_map(|demand| [demand.waiting, demand.running]);
        let mut counts = counts.chain(self.runs.iter().map(|(_, count)| *count));
        self.demands.len().max(self.runs.len()) <= MAX_COUNT as usize
            && counts.all(|count| count <= MAX_COUNT)
    }

    /// Number of waiting and running samples that an engine can serve.
    pub(crate) fn weight(&self, service: &str, version: impl Fn(&str) -> Option<u64>) -> u32 {
        let demands = self.demands.iter();
        let servable = demands.filter(|demand| {
            *demand.service == *service && version(&demand.model) >= Some(demand.min_version)
        });
        let (waiting, running) = servable.fold((0_u32, 0_u32), |(waiting, running), demand| {
            (
                waiting.saturating_add(demand.waiting),
                running.saturating_add(demand.running),
            )
        });
        match waiting {
            0 => 0,
            _ => waiting.saturating_add(running),
        }
    }

    /// Returns the report without its runs.
    pub(crate) fn without_runs(&self) -> Self {
        Self {
            owner: self.owner.clone(),
            demands: self.demands.clone(),
            runs: Vec::new(),
            ..*self
        }
    }

    /// Returns the number of runs on the engine with this [`engine_key`].
    pub(crate) fn runs_on(&self, key: u32) -> u32 {
        let found = self.runs.binary_search_by_key(&key, |(engine, _)| *engine);
        found.map_or(0, |index| self.runs[index].1)
    }
}

/// Result of [`crate::SlotShares::record`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report is the first one of its owner in a while.
    AppliedFirst,
    /// The report replaces the previous one of its owner.
    Applied,
    /// A newer report of the owner is known.
    Outdated,
    /// The report has values out of range, or claims to be this instance's.
    Invalid,
}

/// A report that is due, and whether its receivers have to reply with theirs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueReport {
    /// The report.
    pub report: SlotReport,
    /// Whether this instance may lack reports of others, since it was paused.
    pub wants_replies: bool,
}

/// Returns the hash by which reports name an engine. Of 10,000 engines two have the same with a probability of 1%;
/// the runs on either then count for both, and their slots are used less.
pub(crate) fn engine_key(id: &str) -> u32 {
    (rendezvous_rank("engine", id) >> 32) as u32
}
