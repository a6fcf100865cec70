//! In which order the samples of a step begin.
//!
//! A group counts only whole, and the trainer goes on once enough groups are. So the samples that
//! are expected to be longest begin first, except for those of as many of the very longest groups
//! as the trainer does not wait for: they begin last. A group that was left over from an earlier
//! step is waited for in any case.
//!
//! Beginning group by group was worse: while few engines had the weights that a step accepts, the
//! first places went to the short samples of long groups, and a sample of seven seconds began three
//! seconds late.

use std::cmp::Reverse;
use std::sync::Arc;

use kernel::Map;
use kernel::Set;

/// A sample that has to be run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingSample {
    /// Its place in the step.
    pub index: u32,
    /// Its group.
    pub group: Arc<str>,
    /// Events that it is expected to have.
    pub expected_tokens: u32,
    /// Whether it was left over from an earlier step.
    pub carried_over: bool,
}

/// Orders the samples of a step, of whose groups `wanted` are waited for.
///
/// # Examples
///
/// ```
/// use place::{PendingSample, order_samples};
///
/// let job = |index, group: &str, expected| PendingSample {
///     index, group: group.into(), expected_tokens: expected, carried_over: false,
/// };
/// let jobs = vec![job(0, "a", 5), job(1, "b", 90), job(2, "c", 20), job(3, "c", 1)];
/// let order: Vec<_> = order_samples(jobs, 2).iter().map(|job| job.index).collect();
/// assert_eq!(order, [2, 0, 3, 1]);
/// ```
pub fn order_samples(mut jobs: Vec<PendingSample>, wanted: u32) -> Vec<PendingSample> {
    let mut groups: Map<Arc<str>, (bool, u32)> = Map::default();
    for job in &jobs {
        let (carried, longest) = groups.entry(job.group.clone()).or_default();
        *carried |= job.carried_over;
        *longest = job.expected_tokens.max(*longest);
    }
    let mut groups: Vec<_> = groups.into_iter().collect();
    groups.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    let carried = groups.iter().filter(|(_, (carried, _))| *carried).count();
    let spare = groups.len().saturating_sub(carried.max(wanted as usize));
    let spared: Set<Arc<str>> = groups
        .into_iter()
        .skip(carried)
        .take(spare)
        .map(|(group, _)| group)
        .collect();
    jobs.sort_by_key(|job| {
        let last = spared.contains(&job.group);
        (last, Reverse(job.expected_tokens), job.index)
    });
    jobs
}
