//! Accounting of the engine memory that runs occupy.
//!
//! Load pattern: a step begins with its longest samples, all of them on the fastest engines. They start
//! small and grow by tens of tokens with each event; after some seconds an engine's memory holds only two
//! or three of them. An engine that runs out of memory suspends its newest run and processes that run's
//! text again once there is room. Moving a run to another engine costs a few milliseconds.

/// Events per run for which an engine must have memory when a run starts, counting the runs that are there
/// already: about a second and a half of an ordinary engine.
const START_EVENTS: u64 = 30;

/// Events per run for which an engine must have memory for its runs to stay. A run checks every few events
/// whether it should move.
const STAY_EVENTS: u64 = 8;

/// Memory of an engine.
///
/// # Examples
///
/// ```
/// use place::EngineMemory;
///
/// let memory = EngineMemory { capacity_tokens: 30_000, event_tokens: 100 };
/// assert_eq!(memory.run_tokens(300, 20), 2_300);
/// // Seven runs that have just started leave room for an eighth.
/// assert!(memory.admits(7 * 300, 7, 300));
/// // Three runs of a hundred events each leave no room for another, and soon none for themselves.
/// assert!(!memory.admits(3 * 10_300, 3, 300));
/// assert!(memory.is_nearly_full(3 * 9_900, 3));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineMemory {
    /// Capacity in tokens; 0 if unknown.
    pub capacity_tokens: u32,
    /// Tokens per event; 0 if unknown.
    pub event_tokens: u32,
}

impl EngineMemory {
    fn is_known(&self) -> bool {
        self.capacity_tokens > 0 && self.event_tokens > 0
    }

    /// Returns the tokens occupied once each of `runs` has grown by `events`.
    fn projected_tokens(&self, tokens: u64, runs: u32, events: u64) -> u64 {
        tokens + u64::from(runs) * events * u64::from(self.event_tokens)
    }

    /// Returns the tokens that a run occupies after `events`, including its prompt.
    pub fn run_tokens(&self, prompt: u32, events: u64) -> u64 {
        u64::from(prompt) + events * u64::from(self.event_tokens)
    }

    /// Returns whether a run of `more` tokens may start beside `runs` that occupy `tokens`.
    pub fn admits(&self, tokens: u64, runs: u32, more: u64) -> bool {
        if !self.is_known() || runs == 0 {
            return true;
        }
        self.projected_tokens(tokens + more, runs + 1, START_EVENTS)
            <= u64::from(self.capacity_tokens)
    }

    /// Returns whether `runs` that occupy `tokens` are about to run out of memory.
    pub fn is_nearly_full(&self, tokens: u64, runs: u32) -> bool {
        self.is_known()
            && runs > 1
            && self.projected_tokens(tokens, runs, STAY_EVENTS) > u64::from(self.capacity_tokens)
    }

    /// Returns the fraction of the memory that `tokens` occupy; 0 if the capacity is unknown.
    pub fn used_fraction(&self, tokens: u64) -> f64 {
        match self.is_known() {
            true => tokens as f64 / f64::from(self.capacity_tokens),
            false => 0.0,
        }
    }
}
