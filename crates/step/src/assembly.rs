//! Reassembly of the chunks of a completion.

use std::collections::BTreeMap;
use std::marker::PhantomData;

use kernel::AttemptId;

use crate::Chunk;
use crate::Sample;
use crate::Span;
use crate::Version;
use crate::sample::extend_spans;

/// Maximum number of chunks buffered while an earlier one is missing.
const MAX_BUFFERED_CHUNKS: usize = 256;

/// State of an [`Assembly`] that may still miss chunks.
#[derive(Clone, Copy, Debug)]
pub enum Incomplete {}

/// State of an [`Assembly`] that has every token up to the last.
#[derive(Clone, Copy, Debug)]
pub enum Complete {}

/// The result of adding a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The chunk, and any buffered chunks after it, extended the text by this; pass it on.
    Appended(String),
    /// The chunk is buffered until the chunks before it arrive.
    Buffered,
    /// The chunk is a duplicate, or belongs to an attempt other than the current one.
    Dropped,
    /// The engine contradicted itself, so its stream cannot be trusted.
    Contradiction(Contradiction),
}

/// An inconsistency in the stream of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Contradiction {
    /// A weight version older than the one of earlier tokens of the same attempt.
    #[error("the engine went back to an older weight version within a stream")]
    Version,
    /// A chunk that overlaps the received text without repeating it.
    #[error("the engine sent a chunk that overlaps another")]
    Overlap,
    /// Tokens after the last chunk.
    #[error("the engine went on after its last chunk")]
    AfterEnd,
    /// Too many chunks buffered without the next one.
    #[error("the engine left out a chunk")]
    Gap,
}

/// The output of an attempt that ended early, from which another engine can resume.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Partial {
    /// The text so far.
    pub text: String,
    /// Number of tokens in the text.
    pub tokens: u32,
    /// The weight versions that produced the text.
    pub spans: Vec<Span>,
}

/// The chunks of one completion.
///
/// Only a complete assembly becomes a [`Sample`]; one whose stream was truncated stays
/// [`Incomplete`].
///
/// # Examples
///
/// ```
/// use kernel::RequestId;
/// use step::Assembly;
/// use step::Chunk;
///
/// let attempt = RequestId::from_bits(1).attempt(0);
/// let mut assembly = Assembly::new(attempt);
/// let chunk = |offset, text: &str, finish: Option<&str>| Chunk {
///     offset,
///     tokens: 1,
///     text: text.into(),
///     version: 3,
///     finish: finish.map(Into::into),
/// };
/// assembly.place(attempt, chunk(1, "b", Some("stop")));
/// assembly.place(attempt, chunk(0, "a", None));
/// let Ok(complete) = assembly.close() else { panic!("a chunk is missing") };
/// assert_eq!(complete.sample(0, 0).text, "ab");
/// ```
#[derive(Clone, Debug)]
pub struct Assembly<S = Incomplete> {
    attempt: AttemptId,
    output: Partial,
    version: Version,
    buffered: BTreeMap<u32, Chunk>,
    end: Option<End>,
    state: PhantomData<S>,
}

#[derive(Clone, Debug)]
struct End {
    tokens: u32,
    finish: String,
}

impl Assembly<Incomplete> {
    /// Starts a completion.
    pub fn new(attempt: AttemptId) -> Self {
        Self::resume(attempt, Partial::default())
    }

    /// Starts from the partial output of an earlier attempt.
    pub fn resume(attempt: AttemptId, partial: Partial) -> Self {
        Self {
            attempt,
            output: partial,
            version: 0,
            buffered: BTreeMap::new(),
            end: None,
            state: PhantomData,
        }
    }

    /// Continues with another attempt; chunks of the previous one are dropped from now on.
    pub fn restart(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        self.version = 0;
        self.buffered.clear();
        self.end = None;
    }

    /// The text received without gaps so far.
    pub fn partial(&self) -> &Partial {
        &self.output
    }

    /// The weight version of the last appended chunk of this attempt; 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Adds a chunk that was received in the stream of `attempt`.
    pub fn place(&mut self, attempt: AttemptId, chunk: Chunk) -> Placement {
        if attempt != self.attempt {
            return Placement::Dropped;
        }
        if let Err(error) = self.check(&chunk) {
            return Placement::Contradiction(error);
        }
        if chunk.offset > self.output.tokens {
            return self.buffer(chunk);
        }
        if chunk.offset < self.output.tokens {
            return Placement::Dropped;
        }
        let mut text = String::new();
        if let Err(error) = self.append(chunk, &mut text) {
            return Placement::Contradiction(error);
        }
        while let Some(chunk) = self.buffered.remove(&self.output.tokens) {
            if let Err(error) = self.append(chunk, &mut text) {
                return Placement::Contradiction(error);
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
        // A chunk that starts before the end of the received text repeats old tokens, or overlaps.
        if chunk.offset < self.output.tokens && to > self.output.tokens {
            return Err(Contradiction::Overlap);
        }
        Ok(())
    }

    fn buffer(&mut self, chunk: Chunk) -> Placement {
        if self.buffered.len() >= MAX_BUFFERED_CHUNKS {
            return Placement::Contradiction(Contradiction::Gap);
        }
        self.buffered.entry(chunk.offset).or_insert(chunk);
        Placement::Buffered
    }

    fn append(&mut self, chunk: Chunk, text: &mut String) -> Result<(), Contradiction> {
        // Versions are compared in token order, not in order of arrival: a chunk that arrives late
        // may rightly have an older version.
        if chunk.version < self.version {
            return Err(Contradiction::Version);
        }
        let from = self.output.tokens;
        self.version = chunk.version;
        self.output.tokens += chunk.tokens;
        self.output.text.push_str(&chunk.text);
        text.push_str(&chunk.text);
        extend_spans(&mut self.output.spans, from, chunk.tokens, chunk.version);
        if let Some(finish) = chunk.finish {
            if !self.buffered.is_empty() {
                return Err(Contradiction::AfterEnd);
            }
            let tokens = self.output.tokens;
            self.end = Some(End { tokens, finish });
        }
        Ok(())
    }

    /// Returns whether every token up to the last was received.
    pub fn is_complete(&self) -> bool {
        self.end.is_some()
    }

    /// Marks the assembly as complete.
    ///
    /// # Errors
    ///
    /// Returns the assembly unchanged when a chunk is missing.
    pub fn close(self) -> Result<Assembly<Complete>, Box<Self>> {
        if !self.is_complete() {
            return Err(Box::new(self));
        }
        Ok(Assembly {
            attempt: self.attempt,
            output: self.output,
            version: self.version,
            buffered: self.buffered,
            end: self.end,
            state: PhantomData,
        })
    }
}

impl Assembly<Complete> {
    /// Converts the completion into the sample at `index` of a step.
    pub fn sample(self, index: u32, group: u32) -> Sample {
        Sample {
            index,
            group,
            text: self.output.text,
            tokens: self.output.tokens,
            spans: self.output.spans,
            finish: self.end.map(|end| end.finish).unwrap_or_default(),
            score: None,
        }
    }
}
