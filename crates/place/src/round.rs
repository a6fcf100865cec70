//! Chooses engines for many samples at the same time.
//!
//! Load pattern: a step has thousands of samples, and thousands of engines have free slots. Evaluating
//! all engines for each sample costs the product of both, too much for an instance that has a fraction of
//! one core. Here all engines are evaluated once, since placing a sample changes only one of them.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use kernel::Millis;
use table::Upstream;
use table::UpstreamList;

use crate::EngineTracker;
use crate::PlacementRequest;
use crate::tracker::Evaluation;

/// An engine with its most recent cost.
#[derive(Clone, Debug)]
struct Candidate {
    cost: f64,
    engine: Arc<Upstream>,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let cost = self.cost.total_cmp(&other.cost);
        cost.then_with(|| self.engine.id.cmp(&other.engine.id))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

/// The engines of a service, ordered by cost, for the samples of one step placed at the same time.
///
/// During a round engines only become fuller, so an earlier cost is never too high; the cheapest engine
/// is evaluated again before it is chosen.
///
/// # Examples
///
/// ```
/// use place::{EngineTracker, EngineMemory, PlacementRound, PlacementRequest};
/// use table::{Upstream, UpstreamList, Incarnation};
///
/// let engine = |name: &str| Upstream {
///     id: name.into(), incarnation: Incarnation { name: name.into(), started_at: None, heartbeats: 1 },
///     service: "fit".into(), addr: ([127, 0, 0, 1], 1).into(), domain: "nord".into(),
///     slots: 1, leaving: false, spot: false, weights: vec![("m".into(), 1)],
/// };
/// let request = PlacementRequest {
///     service: "fit", model: Some("m"), min_version: 1, queue_limit: 0, domain: "nord", cached_on: None,
///     avoid: &[], tokens: 0, memory: EngineMemory::default(),
/// };
/// let (mut list, mut tracker) = (UpstreamList::default(), EngineTracker::default());
/// list.update(vec![engine("a"), engine("b")], 0);
/// let mut round = PlacementRound::new(&tracker, &list, &request, 0);
/// let mut names = Vec::new();
/// while let Some(chosen) = round.choose(&tracker, &list, &request, 0) {
///     tracker.run_started(&chosen.id, 0);
///     names.push(chosen.id.clone());
/// }
/// assert_eq!(names, ["a".into(), "b".into()]);
/// ```
#[derive(Debug)]
pub struct PlacementRound {
    candidates: BinaryHeap<Reverse<Candidate>>,
}

impl PlacementRound {
    /// Evaluates all engines of a service for samples whose requests differ at most in `avoid`, `tokens` and
    /// `cached_on`.
    pub fn new(
        tracker: &EngineTracker,
        list: &UpstreamList,
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Self {
        let default_gap = tracker.median_gap(now);
        let common = PlacementRequest {
            avoid: &[],
            tokens: 0,
            ..*request
        };
        let evaluate =
            |engine: &Arc<Upstream>| match tracker.evaluate(engine, &common, default_gap, now) {
                Evaluation::Fits(cost) => Some(Reverse(Candidate {
                    cost,
                    engine: engine.clone(),
                })),
                Evaluation::Unavailable | Evaluation::Unsuitable => None,
            };
        let candidates = list.of_service(request.service).filter_map(evaluate);
        Self {
            candidates: candidates.collect(),
        }
    }

    /// Chooses the engine for a sample; [`None`] if no engine has room. The caller must call
    /// [`EngineTracker::run_started`] before the next choice.
    pub fn choose(
        &mut self,
        tracker: &EngineTracker,
        list: &UpstreamList,
        request: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<Arc<Upstream>> {
        let default_gap = tracker.median_gap(now);
        let mut retained = Vec::new();
        let mut best = None;
        while let Some(Reverse(top)) = self.candidates.pop() {
            match tracker.evaluate(&top.engine, request, default_gap, now) {
                Evaluation::Unavailable => (),
                Evaluation::Unsuitable => retained.push(Reverse(top)),
                Evaluation::Fits(cost) if cost > top.cost => {
                    self.candidates.push(Reverse(Candidate { cost, ..top }));
                }
                Evaluation::Fits(_) => {
                    best = Some(top.engine.clone());
                    retained.push(Reverse(top));
                    break;
                }
            }
        }
        self.candidates.extend(retained);
        Some(tracker.prefer_cached(&best?, list, request, now))
    }
}
