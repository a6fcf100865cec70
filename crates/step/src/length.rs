//! Predicted lengths of samples.

/// Mean and count of the lengths that were seen.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    count: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1.0;
    }

    fn value(self, prior: f64, weight: f64) -> f64 {
        (self.sum + prior * weight) / (self.count + weight)
    }
}

/// Samples of a group that the mean of all groups counts for, until the group has its own.
const PRIOR: f64 = 0.5;

/// Factor by which a sample that has passed its prediction is expected to go on beyond what it
/// has: with heavy-tailed lengths, the longer it has run the longer it will.
const OVERRUN: f64 = 1.5;

/// Predicts lengths in tokens from the samples of the same group and of all groups.
///
/// # Examples
///
/// ```
/// use step::length::Lengths;
///
/// let mut lengths = Lengths::new(2, 100);
/// lengths.saw(0, 900);
/// lengths.saw(1, 10);
/// assert!(lengths.expect(0, 0) > lengths.expect(1, 0));
/// assert_eq!(lengths.expect(1, 4_000), 6_000.0);
/// ```
#[derive(Clone, Debug)]
pub struct Lengths {
    all: Mean,
    groups: Vec<Mean>,
    first: f64,
}

impl Lengths {
    /// Begins without knowledge: every sample is expected to have `first` tokens.
    pub fn new(groups: usize, first: u32) -> Self {
        Self {
            all: Mean::default(),
            groups: vec![Mean::default(); groups],
            first: f64::from(first),
        }
    }

    /// Notes the length of a finished sample.
    pub fn saw(&mut self, group: u32, tokens: u32) {
        self.all.add(f64::from(tokens));
        if let Some(mean) = self.groups.get_mut(group as usize) {
            mean.add(f64::from(tokens));
        }
    }

    /// Tells whether a sample of the group has finished.
    pub fn knows(&self, group: u32) -> bool {
        self.groups
            .get(group as usize)
            .is_some_and(|mean| mean.count > 0.0)
    }

    /// Expected tokens of a sample that has `so_far` of them.
    pub fn expect(&self, group: u32, so_far: u32) -> f64 {
        let all = self.all.value(self.first, PRIOR);
        let mean = self.groups.get(group as usize).copied();
        let own = mean.unwrap_or_default().value(all, PRIOR);
        own.max(f64::from(so_far) * OVERRUN)
    }
}
