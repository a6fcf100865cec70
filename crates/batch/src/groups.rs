//! The groups of a step, and whether its trainer can go on.
//!
//! Load pattern: the results of a step come one by one for seconds, and its trainer reads twice a second
//! and goes on once so many groups are whole. A result that does not let it go on is worth no write of
//! its own: it goes out with others.

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
/// assert!(!groups.end(0) && !groups.end(2));
/// // The second whole group: the trainer goes on.
/// assert!(groups.end(1));
/// assert!(groups.end(3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Groups {
    /// The group of each sample.
    of: Vec<usize>,
    /// Samples of each group that have not ended.
    left: Vec<u32>,
    whole: u32,
    wanted: u32,
}

impl Groups {
    /// Takes the name of each sample's group, in the order of the samples; `wanted` groups have to be
    /// whole.
    pub fn new<'a>(names: impl Iterator<Item = &'a Arc<str>>, wanted: u32) -> Self {
        let mut groups = Self {
            wanted,
            ..Self::default()
        };
        let mut known: Map<Arc<str>, usize> = Map::default();
        for name in names {
            let next = groups.left.len();
            let group = *known.entry(name.clone()).or_insert(next);
            if group == next {
                groups.left.push(0);
            }
            groups.left[group] += 1;
            groups.of.push(group);
        }
        groups
    }

    /// Samples of the step.
    pub fn samples(&self) -> usize {
        self.of.len()
    }

    /// Notes that a sample has ended, once for each; tells whether the trainer may go on with it: its
    /// group is whole, and so are as many as the trainer waits for.
    pub fn end(&mut self, index: u32) -> bool {
        let Some(group) = self.of.get(index as usize) else {
            return false;
        };
        let left = &mut self.left[*group];
        *left = left.saturating_sub(1);
        let whole = *left == 0;
        self.whole += u32::from(whole);
        whole && self.whole >= self.wanted
    }

    /// The samples of groups of which one is not among `ended`.
    pub fn left_over(&self, ended: impl Iterator<Item = u32>) -> Vec<u32> {
        let mut missing: Vec<u32> = vec![0; self.left.len()];
        for group in &self.of {
            missing[*group] += 1;
        }
        for group in ended.filter_map(|index| self.of.get(index as usize)) {
            missing[*group] = missing[*group].saturating_sub(1);
        }
        let of = self.of.iter().enumerate();
        let left = of.filter(|(_, group)| missing[**group] > 0);
        left.map(|(index, _)| index as u32).collect()
    }
}
