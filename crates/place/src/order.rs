//! The order in which the samples of a step start.
//!
//! A group is usable only once all its samples have finished, and the trainer continues once enough
//! groups have. So the samples with the greatest expected length start first, except those of surplus
//! groups: as many of the longest groups as the trainer doesn't wait for start last. Groups carried over
//! from an earlier step are always waited for.
//!
//! Starting samples group by group was worse: while few engines had weights that a step accepts, the
//! first slots went to short samples of long groups, and a sample of seven seconds started three
//! seconds late.

use std::cmp::Reverse;
use std::sync::Arc;

use kernel::Map;
use kernel::Set;

/// A sample that has not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingSample {
    /// Position in the step.
    pub index: u32,
    /// Group that it belongs to.
    pub group: Arc<str>,
    /// Expected length in tokens.
    pub expected_tokens: u32,
    /// Whether it was carried over from an earlier step.
    pub carried_over: bool,
}

/// Sorts the samples of a step by start order; the trainer waits for `wanted` groups.
///
/// # Examples
///
/// ```
/// use place::{PendingSample, order_samples};
///
/// let sample = |index, group: &str, expected| PendingSample {
///     index, group: group.into(), expected_tokens: expected, carried_over: false,
/// };
/// let samples = vec![
///     sample(0, "a", 5), sample(1, "b", 90), sample(2, "c", 20), sample(3, "c", 1),
/// ];
/// let order: Vec<_> = order_samples(samples, 2).iter().map(|sample| sample.index).collect();
/// assert_eq!(order, [2, 0, 3, 1]);
/// ```
pub fn order_samples(mut samples: Vec<PendingSample>, wanted: u32) -> Vec<PendingSample> {
    let mut groups: Map<Arc<str>, (bool, u32)> = Map::default();
    for sample in &samples {
        let (carried, longest) = groups.entry(sample.group.clone()).or_default();
        *carried |= sample.carried_over;
        *longest = sample.expected_tokens.max(*longest);
    }
    let mut groups: Vec<_> = groups.into_iter().collect();
    groups.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    let carried = groups.iter().filter(|(_, (carried, _))| *carried).count();
    let surplus = groups.len().saturating_sub(carried.max(wanted as usize));
    let postponed: Set<Arc<str>> = groups
        .into_iter()
        .skip(carried)
        .take(surplus)
        .map(|(group, _)| group)
        .collect();
    samples.sort_by_key(|sample| {
        let last = postponed.contains(&sample.group);
        (last, Reverse(sample.expected_tokens), sample.index)
    });
    samples
}
