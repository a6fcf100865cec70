//! The history of recent requests and upstreams, shown by the `explain` command.

use std::collections::VecDeque;

use kernel::Map;
use kernel::Name;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use wire::caller::HistoryEntry;

/// Maximum number of subjects in the history.
const MAX_SUBJECTS: usize = 4_096;

/// The history of one request or upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SubjectHistory {
    /// The subject: the identifier of a request, or the name of an upstream.
    pub about: String,
    /// The instance that recorded the history.
    pub instance: Name,
    /// The customer of a request, if known.
    pub customer: Option<Name>,
    /// The events, oldest first.
    pub notes: Vec<HistoryEntry>,
}

#[derive(Debug, Default)]
struct Entries {
    subjects: Map<String, SubjectHistory>,
    /// The keys of `subjects`, oldest first.
    order: VecDeque<String>,
}

/// The histories of the most recent subjects, in a bounded amount of memory.
#[derive(Debug, Default)]
pub struct History {
    entries: Mutex<Entries>,
}

/// Maximum number of events per subject.
const MAX_NOTES: usize = 64;

impl History {
    /// Adds the events of a subject. Removes its oldest events, or the oldest subject, when a maximum is
    /// exceeded.
    pub fn record(&self, history: SubjectHistory) {
        let mut entries = self.entries.lock();
        let about = history.about.clone();
        if let Some(known) = entries.subjects.get_mut(&about) {
            known.notes.extend(history.notes);
            let excess = known.notes.len().saturating_sub(MAX_NOTES);
            known.notes.drain(..excess);
            return;
        }
        entries.subjects.insert(about.clone(), history);
        entries.order.push_back(about);
        if entries.order.len() > MAX_SUBJECTS
            && let Some(oldest) = entries.order.pop_front()
        {
            entries.subjects.remove(&oldest);
        }
    }

    /// Returns the history of a subject, or [`None`] if it is unknown or already removed.
    pub fn find(&self, about: &str) -> Option<SubjectHistory> {
        self.entries.lock().subjects.get(about).cloned()
    }
}
