//! The part of a step's results that an instance has read for its readers.
//!
//! Load pattern: a step of thousands of results is some ten megabytes of text, and its trainer reads it
//! page by page, each page at another instance with a tenth of a core. An instance that read all results
//! before it answered needed longer than any reader waits, and began anew for the next one.

use crate::Entry;

/// Bytes of text beyond which results before those that are asked for are dropped: two answers.
const MOST: usize = 2 << 20;

/// Results without gaps, as they stand at the platform.
///
/// # Examples
///
/// ```
/// use batch::{Entry, Outcome, Window};
///
/// let entry = |index| Entry {
///     index, id: "a".into(), outcome: Outcome::Completed, text: "x".into(), versions: vec![1], score: None,
/// };
/// let mut window = Window::starting_at(40);
/// assert!(window.add(40, vec![entry(7), entry(3)]));
/// assert!(!window.add(50, vec![entry(9)]));
/// assert_eq!(window.end(), 42);
/// assert_eq!(window.entries_from(41).unwrap().len(), 1);
/// assert!(window.entries_from(39).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Window {
    first: usize,
    /// The position at which the newest segment begins.
    newest: Option<usize>,
    entries: Vec<Entry>,
    bytes: usize,
}

impl Window {
    /// Makes an empty window at a position.
    pub fn starting_at(first: usize) -> Self {
        Self {
            first,
            ..Self::default()
        }
    }

    /// The position behind the last result.
    pub fn end(&self) -> usize {
        self.first + self.entries.len()
    }

    /// The position at which the newest segment begins, if there is one.
    pub fn newest_segment(&self) -> Option<usize> {
        self.newest
    }

    /// Tells whether it has the results from a position on, or ends there.
    pub fn covers(&self, from: usize) -> bool {
        (self.first..=self.end()).contains(&from)
    }

    /// The results from a position on; [`None`] when it does not reach there.
    pub fn entries_from(&self, from: usize) -> Option<&[Entry]> {
        self.entries.get(from.checked_sub(self.first)?..)
    }

    /// Takes in a segment that begins at a position, if it goes on there.
    pub fn add(&mut self, first: usize, entries: Vec<Entry>) -> bool {
        if first != self.end() {
            return false;
        }
        self.newest = Some(first);
        self.bytes += entries.iter().map(|entry| entry.text.len()).sum::<usize>();
        self.entries.extend(entries);
        true
    }

    /// Drops results before a position once there is much text.
    pub fn trim(&mut self, from: usize) {
        if self.bytes <= MOST {
            return;
        }
        let count = from.saturating_sub(self.first).min(self.entries.len());
        let gone = self.entries.drain(..count);
        self.bytes -= gone.map(|entry| entry.text.len()).sum::<usize>();
        self.first += count;
    }
}
