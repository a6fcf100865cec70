//! What runs take of an engine's memory.
//!
//! Load pattern: a step begins with its longest samples, and all of them are on the fastest engines.
//! They begin small and grow by tens of tokens with each event; after some seconds the memory of an
//! engine holds two or three of them. One that runs out of memory stops its newest run in the midst of
//! its text and reads it in again when there is room. Moving a run costs a few milliseconds.

/// Events for which there has to be room for a run to begin at an engine, and for each of those that
/// are there: about a second and a half of an ordinary engine.
const ENTER: u64 = 30;

/// Events for which there has to be room for a run to stay: a run asks every few events whether it
/// had better move.
const STAY: u64 = 8;

/// What an engine's memory holds.
///
/// # Examples
///
/// ```
/// use place::EngineMemory;
///
/// let memory = EngineMemory { capacity_tokens: 30_000, event_tokens: 100 };
/// assert_eq!(memory.run_tokens(300, 20), 2_300);
/// // Seven runs that have just begun leave room for an eighth one.
/// assert!(memory.admits(7 * 300, 7, 300));
/// // Three that are a hundred events on leave none for another one, and soon none for themselves.
/// assert!(!memory.admits(3 * 10_300, 3, 300));
/// assert!(memory.is_nearly_full(3 * 9_900, 3));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineMemory {
    /// Tokens that it holds; 0 when it is not known.
    pub capacity_tokens: u32,
    /// Tokens in one event; 0 when it is not known.
    pub event_tokens: u32,
}

impl EngineMemory {
    fn is_known(&self) -> bool {
        self.capacity_tokens > 0 && self.event_tokens > 0
    }

    fn need(&self, tokens: u64, runs: u32, events: u64) -> u64 {
        tokens + u64::from(runs) * events * u64::from(self.event_tokens)
    }

    /// Tokens that a run takes with its prompt and so many events.
    pub fn run_tokens(&self, prompt: u32, events: u64) -> u64 {
        u64::from(prompt) + events * u64::from(self.event_tokens)
    }

    /// Tells whether a run that takes `more` tokens may begin beside others that take `tokens`.
    pub fn admits(&self, tokens: u64, runs: u32, more: u64) -> bool {
        if !self.is_known() || runs == 0 {
            return true;
        }
        self.need(tokens + more, runs + 1, ENTER) <= u64::from(self.capacity_tokens)
    }

    /// Tells whether runs that take `tokens` are about to run out of memory.
    pub fn is_nearly_full(&self, tokens: u64, runs: u32) -> bool {
        self.is_known()
            && runs > 1
            && self.need(tokens, runs, STAY) > u64::from(self.capacity_tokens)
    }

    /// The part of the memory that is taken.
    pub fn used_fraction(&self, tokens: u64) -> f64 {
        match self.is_known() {
            true => tokens as f64 / f64::from(self.capacity_tokens),
            false => 0.0,
        }
    }
}
