//! Typestate of an attempt at a request: whether an upstream may have executed it.
//!
//! An error that reports a request as not executed must be correct, because the caller may then
//! repeat it. Only an [`Attempt`] in the state [`Unsent`] can end in such an error. Sending consumes
//! it, and the sent attempt becomes unsent again only when the transport wrote nothing.
//!
//! ```compile_fail
//! use route::Attempt;
//!
//! let sent = Attempt::new().send();
//! // A sent request may have been executed, so this state has no `refuse`.
//! let ran = sent.refuse();
//! ```
//!
//! ```
//! use route::Attempt;
//! use route::Ran;
//!
//! assert_eq!(Attempt::new().refuse(), Ran::No);
//! assert_eq!(Attempt::new().send().fail(), Ran::Unknown);
//! ```

use std::marker::PhantomData;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request was executed, as stated in an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It was not executed.
    No,
    /// It may have been executed.
    Unknown,
}

impl Ran {
    /// Combines two attempts at one request: `No` only when neither may have been executed.
    ///
    /// # Examples
    ///
    /// ```
    /// use route::Ran;
    ///
    /// assert_eq!(Ran::No.combine(Ran::No), Ran::No);
    /// assert_eq!(Ran::Unknown.combine(Ran::No), Ran::Unknown);
    /// ```
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::No, Self::No) => Self::No,
            _ => Self::Unknown,
        }
    }
}

/// State of an attempt of which no byte has been sent.
#[derive(Debug)]
pub enum Unsent {}

/// State of an attempt that may have reached an upstream, wholly or in part.
#[derive(Debug)]
pub enum Sent {}

/// One attempt at a request, in the state `S`.
#[derive(Debug)]
#[must_use = "an attempt must end in a refusal, a failure or a response"]
pub struct Attempt<S> {
    state: PhantomData<S>,
}

impl<S> Attempt<S> {
    fn make() -> Self {
        Self { state: PhantomData }
    }
}

impl Attempt<Unsent> {
    /// Starts an attempt.
    pub fn new() -> Self {
        Self::make()
    }

    /// Ends the attempt without sending it, so it was not executed.
    pub fn refuse(self) -> Ran {
        Ran::No
    }

    /// Marks the attempt as handed to a connection; from here on it may be executed.
    pub fn send(self) -> Attempt<Sent> {
        Attempt::make()
    }
}

impl Default for Attempt<Unsent> {
    fn default() -> Self {
        Self::new()
    }
}

impl Attempt<Sent> {
    /// Ends the attempt without a response, so whether it was executed is unknown.
    pub fn fail(self) -> Ran {
        Ran::Unknown
    }

    /// Returns to the unsent state, since no byte was sent.
    pub fn unsent(self, _: NothingSent) -> Attempt<Unsent> {
        Attempt::make()
    }

    /// Ends the attempt with a complete response.
    pub fn answer(self) {}
}

/// Evidence that no byte of an attempt was sent.
///
/// Only the transport creates one.
#[derive(Debug)]
pub struct NothingSent(());

impl NothingSent {
    /// Creates the evidence; call it only where the connect itself failed.
    pub fn connect_failed() -> Self {
        Self(())
    }

    /// Creates the evidence; call it only where the transport kept the request back.
    pub fn kept_back() -> Self {
        Self(())
    }
}
