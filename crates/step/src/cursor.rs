//! The samples of a step that its trainer holds, as stated by the trainer.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

/// The samples of a step that a trainer has received.
///
/// The service returns a cursor with each batch: the samples in the cursor of the pull, plus those
/// of the batch. The trainer stores it with the batch and sends it with the next pull. The cursor
/// of a pull therefore always describes what the trainer received, even if responses were lost,
/// duplicated or came from an instance that no longer owned the step. The trainer's state is
/// authoritative, so instances need no agreement to deliver each sample exactly once. A trainer
/// that restarts from a checkpoint sends the cursor of the checkpoint and receives the rest again.
///
/// The text form is unpadded URL-safe base64 with one bit per sample: 684 bytes for 4,096 samples.
///
/// # Examples
///
/// ```
/// use step::Cursor;
///
/// let mut cursor = Cursor::empty(10);
/// cursor.insert(3);
/// let text = cursor.to_string();
/// assert_eq!(Cursor::parse(&text, 10)?, cursor);
/// assert_eq!(Cursor::parse("", 10)?, Cursor::empty(10));
/// # Ok::<(), step::cursor::CursorError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cursor {
    bits: Vec<u8>,
    total: u32,
}

/// An error while parsing a cursor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CursorError {
    /// The text is not base64.
    #[error("the cursor is not base64")]
    InvalidBase64,
    /// The cursor belongs to a step with another number of samples.
    #[error("the cursor belongs to a step with another number of samples")]
    Length,
}

impl Cursor {
    /// Creates the cursor of a trainer that holds no samples of a step with `total` samples.
    pub fn empty(total: u32) -> Self {
        Self {
            bits: vec![0; total.div_ceil(8) as usize],
            total,
        }
    }

    /// Parses a cursor; an empty text is the empty cursor.
    ///
    /// # Errors
    ///
    /// Returns [`CursorError`] if the text is not a cursor of a step with `total` samples.
    pub fn parse(text: &str, total: u32) -> Result<Self, CursorError> {
        if text.is_empty() {
            return Ok(Self::empty(total));
        }
        let bits = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| CursorError::InvalidBase64)?;
        if bits.len() != total.div_ceil(8) as usize {
            return Err(CursorError::Length);
        }
        let cursor = Self { bits, total };
        let bits_beyond_total = (total..total.next_multiple_of(8)).any(|index| cursor.bit(index));
        if bits_beyond_total {
            return Err(CursorError::Length);
        }
        Ok(cursor)
    }

    fn bit(&self, index: u32) -> bool {
        let byte = self.bits.get((index / 8) as usize);
        byte.is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Returns whether the trainer holds the sample.
    pub fn contains(&self, index: u32) -> bool {
        index < self.total && self.bit(index)
    }

    /// Adds a sample.
    pub fn insert(&mut self, index: u32) {
        if index < self.total {
            self.bits[(index / 8) as usize] |= 1 << (index % 8);
        }
    }

    /// Number of samples that the trainer holds.
    pub fn count(&self) -> u32 {
        self.bits.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Returns whether the trainer holds every sample.
    pub fn is_full(&self) -> bool {
        self.count() == self.total
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&URL_SAFE_NO_PAD.encode(&self.bits))
    }
}
