//! What samples have so far, and what of it the platform keeps.
//!
//! Load pattern: all processes are killed, or a failure domain is cut off, while the longest samples of
//! every open step are seconds into their text; a trainer cannot go on without them. The owner writes
//! what long samples have gained together with results, so that whoever goes on with the step takes
//! them up where they were. Each event is written once.

use kernel::Map;
use serde::Deserialize;
use serde::Serialize;

/// Events from which on a sample is worth keeping: about a second of an ordinary engine. Most samples
/// are shorter, and are made again sooner than they would have been read.
const LONG: u64 = 24;

/// Events that a sample has to have gained to be written again: a fifth of a second, which is what its
/// loss costs.
const GAIN: u64 = 6;

/// Most bytes of text that are written at the same time: platforms take values of up to a megabyte,
/// which base64 makes a third longer.
const MOST: usize = 512 << 10;

/// What a sample has so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Draft {
    /// The last event; 0 for none.
    pub last: u64,
    /// The data of the events, separated by line feeds.
    pub text: String,
    /// The versions of the weights that made them, in their order.
    pub versions: Vec<u64>,
    /// Whether the text is whole.
    pub complete: bool,
}

impl Draft {
    /// Adds an event that came under a version; tells whether it is the next one.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut draft = batch::Draft::default();
    /// assert!(draft.add(1, "a", 7) && draft.add(2, "b", 7));
    /// assert!(!draft.add(4, "d", 7));
    /// assert_eq!((&*draft.text, &*draft.versions), ("a\nb", &[7][..]));
    /// ```
    pub fn add(&mut self, number: u64, data: &str, version: u64) -> bool {
        if number != self.last + 1 {
            return false;
        }
        if self.last > 0 {
            self.text.push('\n');
        }
        self.text.push_str(data);
        if !self.versions.contains(&version) {
            self.versions.push(version);
        }
        self.last = number;
        true
    }

    /// Adds what was kept of the same sample, if it goes on where this ends or begins anew.
    pub fn apply(&mut self, piece: DraftDelta) {
        if piece.from == 0 {
            *self = Self::default();
        }
        if piece.from == self.last {
            self.text.push_str(&piece.text);
            self.last = piece.last;
            self.versions = piece.versions;
        }
    }
}

/// What a sample has gained between two writes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DraftDelta {
    /// The sample's place in the step.
    pub index: u32,
    /// The event behind which it goes on; 0 when it begins with the first.
    pub from: u64,
    /// Its last event.
    pub last: u64,
    /// What it adds to the text, with the line feed before it if there is one.
    pub text: String,
    /// The versions of the weights that made all events up to its last.
    pub versions: Vec<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mark {
    last: u64,
    bytes: usize,
}

/// How far the platform has the samples of a step.
///
/// # Examples
///
/// ```
/// use batch::{Draft, draft::Checkpoints};
///
/// let mut draft = Draft::default();
/// (1..=30).for_each(|number| assert!(draft.add(number, "x", 1)));
/// let mut kept = Checkpoints::default();
/// let first = kept.take_deltas([(0, &draft)].into_iter());
/// assert_eq!((first[0].from, first[0].last), (0, 30));
/// // It has gained nothing since.
/// assert!(kept.take_deltas([(0, &draft)].into_iter()).is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Checkpoints {
    marks: Map<u32, Mark>,
}

impl Checkpoints {
    /// Notes that the platform has all of a sample's text.
    pub fn mark_saved(&mut self, index: u32, draft: &Draft) {
        let mark = Mark {
            last: draft.last,
            bytes: draft.text.len(),
        };
        self.marks.insert(index, mark);
    }

    /// Notes that a sample begins anew.
    pub fn reset(&mut self, index: u32) {
        self.marks.remove(&index);
    }

    /// What long samples have gained since; it counts as kept from here on.
    pub fn take_deltas<'a>(
        &mut self,
        drafts: impl Iterator<Item = (u32, &'a Draft)>,
    ) -> Vec<DraftDelta> {
        let mut bytes = 0;
        let mut pieces = Vec::new();
        for (index, draft) in drafts {
            let mark = self.marks.get(&index).copied().unwrap_or_default();
            if draft.last < LONG || draft.last < mark.last + GAIN || bytes > MOST {
                continue;
            }
            let text = draft.text[mark.bytes..].to_owned();
            bytes += text.len();
            pieces.push(DraftDelta {
                index,
                from: mark.last,
                last: draft.last,
                text,
                versions: draft.versions.clone(),
            });
            self.mark_saved(index, draft);
        }
        pieces
    }
}
