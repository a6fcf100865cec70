//! Prediction of sample lengths.

/// Sum and count of the observed lengths.
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

/// Weight of the mean over all groups in the prediction for one group, in samples of that group.
const PRIOR_SAMPLES: f64 = 0.5;

/// Lower bound of the predicted length relative to the tokens generated so far: with heavy-tailed
/// lengths, the longer a sample has become, the longer it is expected to get.
const OVERRUN_FACTOR: f64 = 1.5;

/// Predicts the length of samples in tokens from finished samples of the same group and of all
/// groups.
///
/// # Examples
///
/// ```
/// use step::length::LengthPredictor;
///
/// let mut lengths = LengthPredictor::new(2, 100);
/// lengths.observe(0, 900);
/// lengths.observe(1, 10);
/// assert!(lengths.expect(0, 0) > lengths.expect(1, 0));
/// assert_eq!(lengths.expect(1, 4_000), 6_000.0);
/// ```
#[derive(Clone, Debug)]
pub struct LengthPredictor {
    all: Mean,
    groups: Vec<Mean>,
    initial: f64,
}

impl LengthPredictor {
    /// Creates a predictor without observations, which predicts `initial` tokens for every sample.
    pub fn new(groups: usize, initial: u32) -> Self {
        Self {
            all: Mean::default(),
            groups: vec![Mean::default(); groups],
            initial: f64::from(initial),
        }
    }

    /// Records the length of a finished sample.
    pub fn observe(&mut self, group: u32, tokens: u32) {
        self.all.add(f64::from(tokens));
        if let Some(mean) = self.groups.get_mut(group as usize) {
            mean.add(f64::from(tokens));
        }
    }

    /// Returns whether a sample of the group has finished.
    pub fn has_observed(&self, group: u32) -> bool {
        self.groups
            .get(group as usize)
            .is_some_and(|mean| mean.count > 0.0)
    }

    /// Predicts the total tokens of a sample that has `generated` tokens so far.
    pub fn expect(&self, group: u32, generated: u32) -> f64 {
        let all = self.all.value(self.initial, PRIOR_SAMPLES);
        let mean = self.groups.get(group as usize).copied();
        let own = mean.unwrap_or_default().value(all, PRIOR_SAMPLES);
        own.max(f64::from(generated) * OVERRUN_FACTOR)
    }
}
