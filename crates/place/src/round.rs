//! Choosing engines for many samples at the same moment.
//!
//! Load pattern: a step brings thousands of samples, and thousands of engines have places. Weighing all
//! engines anew for each sample grows with the product of the two, which an instance that has a part of one
//! core does not bear. Here all are weighed once; placing a sample changes one of them.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use kernel::Millis;
use table::Upstream;
use table::UpstreamList;

use crate::EngineTracker;
use crate::PlacementRequest;
use crate::fleet::Weighed;

/// An engine as it was weighed last.
#[derive(Clone, Debug)]
struct Candidate {
    cost: f64,
    one: Arc<Upstream>,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let cost = self.cost.total_cmp(&other.cost);
        cost.then_with(|| self.one.id.cmp(&other.one.id))
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

/// The engines of a service for the samples of one step, at one moment.
///
/// Within a moment an engine only becomes fuller, so what was weighed before is never too dear; the
/// cheapest is weighed anew before it is taken.
///
/// # Examples
///
/// ```
/// use place::{EngineTracker, EngineMemory, PlacementRound, PlacementRequest};
/// use table::{Upstream, UpstreamList, Incarnation};
///
/// let listed = |name: &str| Upstream {
///     id: name.into(), incarnation: Incarnation { name: name.into(), started_at: None, heartbeats: 1 },
///     service: "fit".into(), addr: ([127, 0, 0, 1], 1).into(), domain: "nord".into(),
///     slots: 1, leaving: false, spot: false, weights: vec![("m".into(), 1)],
/// };
/// let want = PlacementRequest {
///     service: "fit", model: Some("m"), min_version: 1, queue_limit: 0, domain: "nord", cached_on: None,
///     avoid: &[], tokens: 0, memory: EngineMemory::default(),
/// };
/// let (mut roster, mut fleet) = (UpstreamList::default(), EngineTracker::default());
/// roster.update(vec![listed("a"), listed("b")], 0);
/// let mut round = PlacementRound::new(&fleet, &roster, &want, 0);
/// let mut names = Vec::new();
/// while let Some(one) = round.choose(&fleet, &roster, &want, 0) {
///     fleet.run_started(&one.id, 0);
///     names.push(one.id.clone());
/// }
/// assert_eq!(names, ["a".into(), "b".into()]);
/// ```
#[derive(Debug)]
pub struct PlacementRound {
    heap: BinaryHeap<Reverse<Candidate>>,
}

impl PlacementRound {
    /// Weighs all engines of a service for samples that want the same but for what they avoid, take and are
    /// kin to.
    pub fn new(
        fleet: &EngineTracker,
        roster: &UpstreamList,
        want: &PlacementRequest<'_>,
        now: Millis,
    ) -> Self {
        let usual = fleet.usual(now);
        let least = PlacementRequest {
            avoid: &[],
            tokens: 0,
            ..*want
        };
        let weigh = |one: &Arc<Upstream>| match fleet.weigh(one, &least, usual, now) {
            Weighed::Fits(cost) => Some(Reverse(Candidate {
                cost,
                one: one.clone(),
            })),
            Weighed::Closed | Weighed::Unfit => None,
        };
        let heap = roster.of_service(want.service).filter_map(weigh);
        Self {
            heap: heap.collect(),
        }
    }

    /// Chooses the engine for a sample; [`None`] when none has room. Whoever takes it notes that in the fleet
    /// before the next choice.
    pub fn choose(
        &mut self,
        fleet: &EngineTracker,
        roster: &UpstreamList,
        want: &PlacementRequest<'_>,
        now: Millis,
    ) -> Option<Arc<Upstream>> {
        let usual = fleet.usual(now);
        let mut aside = Vec::new();
        let mut best = None;
        while let Some(Reverse(top)) = self.heap.pop() {
            match fleet.weigh(&top.one, want, usual, now) {
                Weighed::Closed => (),
                Weighed::Unfit => aside.push(Reverse(top)),
                Weighed::Fits(cost) if cost > top.cost => {
                    self.heap.push(Reverse(Candidate { cost, ..top }));
                }
                Weighed::Fits(_) => {
                    best = Some(top.one.clone());
                    aside.push(Reverse(top));
                    break;
                }
            }
        }
        self.heap.extend(aside);
        Some(fleet.or_kin(&best?, roster, want, now))
    }
}
