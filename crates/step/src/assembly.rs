//! Putting the chunks of a completion together.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use kernel::AttemptId;

use crate::Chunk;
use crate::Sample;
use crate::Span;
use crate::Version;
use crate::sample::extend;

/// Most chunks that are held back because one before them is missing.
const HELD: usize = 256;

/// Chunks are still missing.
#[derive(Clone, Copy, Debug)]
pub enum Open {}

/// Every token up to the last is there.
#[derive(Clone, Copy, Debug)]
pub enum Whole {}

/// What became of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// This text follows what was there before; pass it on.
    Appended(String),
    /// It is held until the chunks before it come.
    Buffered,
    /// It was there already, or belongs to an attempt that was given up.
    Dropped,
    /// The engine contradicts itself: its stream cannot be trusted.
    Contradiction(Contradiction),
}

/// How an engine contradicted itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Contradiction {
    /// A version below the one it stated for earlier tokens of the same attempt.
    #[error("the engine went back to an older weight version within a stream")]
    Version,
    /// A chunk that overlaps what is there without repeating it.
    #[error("the engine sent a chunk that overlaps another")]
    Overlap,
    /// Tokens after its last chunk.
    #[error("the engine went on after its last chunk")]
    AfterEnd,
    /// Too many chunks without the one that comes next.
    #[error("the engine left out a chunk")]
    Gap,
}

/// What is there of a completion when an attempt ends early: enough to go on elsewhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partial {
    /// The text so far.
    pub text: String,
    /// Tokens in it.
    pub tokens: u32,
    /// The versions that produced it.
    pub spans: Vec<Span>,
}

/// The chunks of one completion.
///
/// Only a whole assembly becomes a [`Sample`]; a stream that was cut stays [`Open`].
///
/// # Examples
///
/// ```
/// use kernel::RequestId;
/// use step::Assembly;
/// use step::Chunk;
///
/// let attempt = RequestId::from_bits(1).attempt(0);
/// let mut open = Assembly::new(attempt);
/// let chunk = |offset, text: &str, finish: Option<&str>| Chunk {
///     offset,
///     tokens: 1,
///     text: text.into(),
///     version: 3,
///     finish: finish.map(Into::into),
/// };
/// open.place(attempt, chunk(1, "b", Some("stop")));
/// open.place(attempt, chunk(0, "a", None));
/// let Ok(whole) = open.close() else { panic!("a chunk is missing") };
/// assert_eq!(whole.sample(0, 0).text, "ab");
/// ```
#[derive(Clone, Debug)]
pub struct Assembly<S = Open> {
    attempt: AttemptId,
    done: Partial,
    version: Version,
    held: BTreeMap<u32, Chunk>,
    end: Option<End>,
    state: PhantomData<S>,
}

#[derive(Clone, Debug)]
struct End {
    tokens: u32,
    finish: String,
}

impl Assembly<Open> {
    /// Begins a completion.
    pub fn new(attempt: AttemptId) -> Self {
        Self::resume(attempt, Partial::default())
    }

    /// Begins with what an earlier attempt left.
    pub fn resume(attempt: AttemptId, partial: Partial) -> Self {
        Self {
            attempt,
            done: partial,
            version: 0,
            held: BTreeMap::new(),
            end: None,
            state: PhantomData,
        }
    }

    /// Goes on with another attempt; chunks of the former are dropped from now on.
    pub fn restart(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        self.version = 0;
        self.held.clear();
        self.end = None;
    }

    /// What is there without gaps.
    pub fn partial(&self) -> &Partial {
        &self.done
    }

    /// The version of the newest chunk of this attempt; 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Places a chunk that came in the stream of `attempt`.
    pub fn place(&mut self, attempt: AttemptId, chunk: Chunk) -> Placement {
        if attempt != self.attempt {
            return Placement::Dropped;
        }
        if let Err(fault) = self.check(&chunk) {
            return Placement::Contradiction(fault);
        }
        if chunk.offset > self.done.tokens {
            return self.hold(chunk);
        }
        if chunk.offset < self.done.tokens {
            return Placement::Dropped;
        }
        let mut text = String::new();
        if let Err(fault) = self.append(chunk, &mut text) {
            return Placement::Contradiction(fault);
        }
        while let Some(chunk) = self.held.remove(&self.done.tokens) {
            if let Err(fault) = self.append(chunk, &mut text) {
                return Placement::Contradiction(fault);
            }
        }
        Placement::Appended(text)
    }

    fn check(&self, chunk: &Chunk) -> Result<(), Contradiction> {
        let Some(to) = chunk.offset.checked_add(chunk.tokens) else {
            return Err(Contradiction::Overlap);
        };
        if self.end.as_ref().is_some_and(|end| to > end.tokens) {
            return Err(Contradiction::AfterEnd);
        }
        // A chunk that begins before the end of what is there repeats old tokens, or overlaps.
        if chunk.offset < self.done.tokens && to > self.done.tokens {
            return Err(Contradiction::Overlap);
        }
        Ok(())
    }

    fn hold(&mut self, chunk: Chunk) -> Placement {
        if self.held.len() >= HELD {
            return Placement::Contradiction(Contradiction::Gap);
        }
        self.held.entry(chunk.offset).or_insert(chunk);
        Placement::Buffered
    }

    fn append(&mut self, chunk: Chunk, text: &mut String) -> Result<(), Contradiction> {
        // Versions are compared in the order of the tokens, not of arrival: a chunk that was
        // overtaken names an older version rightly.
        if chunk.version < self.version {
            return Err(Contradiction::Version);
        }
        let from = self.done.tokens;
        self.version = chunk.version;
        self.done.tokens += chunk.tokens;
        self.done.text.push_str(&chunk.text);
        text.push_str(&chunk.text);
        extend(&mut self.done.spans, from, chunk.tokens, chunk.version);
        if let Some(finish) = chunk.finish {
            if !self.held.is_empty() {
                return Err(Contradiction::AfterEnd);
            }
            let tokens = self.done.tokens;
            self.end = Some(End { tokens, finish });
        }
        Ok(())
    }

    /// Tells whether every token up to the last is there.
    pub fn is_complete(&self) -> bool {
        self.end.is_some()
    }

    /// Closes the assembly.
    ///
    /// # Errors
    ///
    /// Returns the open assembly when a chunk is missing.
    pub fn close(self) -> Result<Assembly<Whole>, Box<Self>> {
        if !self.is_complete() {
            return Err(Box::new(self));
        }
        Ok(Assembly {
            attempt: self.attempt,
            done: self.done,
            version: self.version,
            held: self.held,
            end: self.end,
            state: PhantomData,
        })
    }
}

impl Assembly<Whole> {
    /// Makes the sample at `index` of a step out of the completion.
    pub fn sample(self, index: u32, group: u32) -> Sample {
        Sample {
            index,
            group,
            text: self.done.text,
            tokens: self.done.tokens,
            spans: self.done.spans,
            finish: self.end.map(|end| end.finish).unwrap_or_default(),
            score: None,
        }
    }
}
