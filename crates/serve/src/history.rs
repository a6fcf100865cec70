//! What happened to the last requests and steps, for `explain`.

use std::collections::VecDeque;

use kernel::Map;
use kernel::Name;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use wire::caller::HistoryEntry;

/// Entries that are kept.
const ROOM: usize = 4_096;

/// What happened to one request or upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SubjectHistory {
    /// What it is about: a request's identifier, or a name.
    pub about: String,
    /// The instance that tells it.
    pub instance: Name,
    /// The customer, when there is one.
    pub customer: Option<Name>,
    /// What happened, in order.
    pub notes: Vec<HistoryEntry>,
}

#[derive(Debug, Default)]
struct Kept {
    stories: Map<String, SubjectHistory>,
    order: VecDeque<String>,
}

/// A bounded memory of stories.
#[derive(Debug, Default)]
pub struct History {
    kept: Mutex<Kept>,
}

/// Notes that are kept of one story.
const NOTES: usize = 64;

impl History {
    /// Keeps a story; the oldest one goes when there is no room.
    pub fn keep(&self, story: SubjectHistory) {
        let mut kept = self.kept.lock();
        let about = story.about.clone();
        if let Some(known) = kept.stories.get_mut(&about) {
            known.notes.extend(story.notes);
            let extra = known.notes.len().saturating_sub(NOTES);
            known.notes.drain(..extra);
            return;
        }
        kept.stories.insert(about.clone(), story);
        kept.order.push_back(about);
        if kept.order.len() > ROOM
            && let Some(old) = kept.order.pop_front()
        {
            kept.stories.remove(&old);
        }
    }

    /// Finds the story of a request or name.
    pub fn find(&self, about: &str) -> Option<SubjectHistory> {
        self.kept.lock().stories.get(about).cloned()
    }
}
