//! Cache of a step's results on an instance that does not own the step.
//!
//! Load pattern: a step of thousands of results is some ten megabytes of text, and its trainer
//! reads it page by page, each page from a different instance with a tenth of a core. An instance
//! that read all results before it answered took longer than any reader waits, and started over
//! for the next one.

use crate::Entry;

/// Bytes of text above which results before the requested position are dropped: two responses.
const MAX_TEXT_BYTES: usize = 2 << 20;

/// A contiguous range of results as stored at the platform.
///
/// # Examples
///
/// ```
/// use batch::{Entry, Outcome, Window};
///
/// let entry = |index| Entry {
///     index, id: "a".into(), outcome: Outcome::Completed, text: "x".into(), versions: vec![1],
///     score: None,
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
    /// Position of the first result of the newest segment.
    newest_segment: Option<usize>,
    entries: Vec<Entry>,
    text_bytes: usize,
}

impl Window {
    /// Creates an empty window that starts at a position.
    pub fn starting_at(first: usize) -> Self {
        Self {
            first,
            ..Self::default()
        }
    }

    /// The position after the last result.
    pub fn end(&self) -> usize {
        self.first + self.entries.len()
    }

    /// Position of the first result of the newest segment, if there is one.
    pub fn newest_segment(&self) -> Option<usize> {
        self.newest_segment
    }

    /// Returns whether a position is inside the window or at its end.
    pub fn covers(&self, position: usize) -> bool {
        (self.first..=self.end()).contains(&position)
    }

    /// The results from a position on, or [`None`] when the window does not cover it.
    pub fn entries_from(&self, position: usize) -> Option<&[Entry]> {
        self.entries.get(position.checked_sub(self.first)?..)
    }

    /// Appends a segment if it starts at the end of the window; returns whether it did.
    pub fn add(&mut self, first: usize, entries: Vec<Entry>) -> bool {
        if first != self.end() {
            return false;
        }
        self.newest_segment = Some(first);
        self.text_bytes += entries.iter().map(|entry| entry.text.len()).sum::<usize>();
        self.entries.extend(entries);
        true
    }

    /// Drops results before a position if the window holds too much text.
    pub fn trim(&mut self, position: usize) {
        if self.text_bytes <= MAX_TEXT_BYTES {
            return;
        }
        let count = position.saturating_sub(self.first).min(self.entries.len());
        let dropped = self.entries.drain(..count);
        self.text_bytes -= dropped.map(|entry| entry.text.len()).sum::<usize>();
        self.first += count;
    }
}
