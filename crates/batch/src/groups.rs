//! The groups of a step, and whether its trainer can continue.
//!
//! Load pattern: the results of a step arrive one by one for seconds, while its trainer polls twice
//! a second and continues once enough groups are complete. A result that does not let the trainer
//! continue is not worth a write of its own and is written together with others.

use std::sync::Arc;

use kernel::Map;

/// The groups of a step.
///
/// # Examples
///
/// ```
/// use batch::groups::Groups;
///
/// let names: Vec<_> = ["a", "a", "b", "c"].map(Into::into).into();
/// let mut groups = Groups::new(names.iter(), 2);
/// assert!(!groups.mark_ended(0) && !groups.mark_ended(2));
/// // The second complete group lets the trainer continue.
/// assert!(groups.mark_ended(1));
/// assert_eq!(groups.missing_groups(), 0);
/// assert!(groups.mark_ended(3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Groups {
    /// The group of each sample.
    group_of: Vec<usize>,
    /// Number of samples of each group that have not ended.
    remaining: Vec<u32>,
    complete: u32,
    required: u32,
}

impl Groups {
    /// Creates the groups of a step from the group name of each sample, in the order of the
    /// samples. The trainer needs `required` complete groups to continue.
    pub fn new<'a>(names: impl Iterator<Item = &'a Arc<str>>, required: u32) -> Self {
        let mut groups = Self {
            required,
            ..Self::default()
        };
        let mut known: Map<Arc<str>, usize> = Map::default();
        for name in names {
            let next = groups.remaining.len();
            let group = *known.entry(name.clone()).or_insert(next);
            if group == next {
                groups.remaining.push(0);
            }
            groups.remaining[group] += 1;
            groups.group_of.push(group);
        }
        groups
    }

    /// Number of samples in the step.
    pub fn sample_count(&self) -> usize {
        self.group_of.len()
    }

    /// The number of a sample's group; [`None`] if the step has no such sample.
    pub fn group_of(&self, index: u32) -> Option<usize> {
        self.group_of.get(index as usize).copied()
    }

    /// Number of groups that must still complete before the trainer can continue.
    pub fn missing_groups(&self) -> u32 {
        self.required.saturating_sub(self.complete)
    }

    /// Marks a sample as ended; must be called once per sample. Returns whether it lets the trainer
    /// continue: it completes its group, and at least the required number of groups are complete.
    pub fn mark_ended(&mut self, index: u32) -> bool {
        let Some(group) = self.group_of.get(index as usize) else {
            return false;
        };
        let remaining = &mut self.remaining[*group];
        *remaining = remaining.saturating_sub(1);
        let complete = *remaining == 0;
        self.complete += u32::from(complete);
        complete && self.complete >= self.required
    }

    /// All samples of the groups that have at least one sample not in `ended`.
    pub fn incomplete_samples(&self, ended: impl Iterator<Item = u32>) -> Vec<u32> {
        let mut missing: Vec<u32> = vec![0; self.remaining.len()];
        for group in &self.group_of {
            missing[*group] += 1;
        }
        for group in ended.filter_map(|index| self.group_of.get(index as usize)) {
            missing[*group] = missing[*group].saturating_sub(1);
        }
        let samples = self.group_of.iter().enumerate();
        let incomplete = samples.filter(|(_, group)| missing[**group] > 0);
        incomplete.map(|(index, _)| index as u32).collect()
    }
}
