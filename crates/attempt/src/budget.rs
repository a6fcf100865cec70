//! Budgets of attempts, as a share of the calls.

/// Amount by which a sum of shares may fall short of a whole attempt because of rounding.
const ROUNDING: f64 = 1e-9;

/// A budget of attempts to which each call adds a share.
///
/// # Examples
///
/// ```
/// use attempt::Budget;
///
/// let mut budget = Budget::new(0.5, 1.0);
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// budget.earn();
/// budget.earn();
/// assert!(budget.spend());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    burst: f64,
    saved: f64,
}

impl Budget {
    /// Creates a full budget: attempts per call, and the maximum number of attempts that it holds.
    pub fn new(share: f64, burst: f64) -> Self {
        Self {
            share,
            burst,
            saved: burst,
        }
    }

    /// Adds the share of a call.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(self.burst);
    }

    /// Takes an attempt. Returns false if the budget holds none.
    pub fn spend(&mut self) -> bool {
        let is_allowed = self.saved + ROUNDING >= 1.0;
        if is_allowed {
            self.saved -= 1.0;
        }
        is_allowed
    }
}
