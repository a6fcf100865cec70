//! What is known of whether a request ran, carried in the type.
//!
//! A refusal that says "not run" must be true. Only an [`Attempt`] in the state [`Unsent`] can be
//! turned into such a refusal; sending consumes it, and what comes back states "not run" again
//! only when the connection was never made.
//!
//! ```compile_fail
//! use route::Attempt;
//!
//! let sent = Attempt::new().send();
//! // A request that was sent may have run: there is no `refuse` in this state.
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

/// Whether a request ran, as a refusal states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run.
    No,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Combines two attempts at one request: it is known not to have run only when neither may have run.
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

/// Nothing of the request has left this instance.
#[derive(Debug)]
pub enum Unsent {}

/// Some of the request may have reached an upstream.
#[derive(Debug)]
pub enum Sent {}

/// One attempt at a request.
#[derive(Debug)]
#[must_use = "an attempt ends in a refusal, a failure or an answer"]
pub struct Attempt<S> {
    state: PhantomData<S>,
}

impl<S> Attempt<S> {
    fn make() -> Self {
        Self { state: PhantomData }
    }
}

impl Attempt<Unsent> {
    /// Begins an attempt.
    pub fn new() -> Self {
        Self::make()
    }

    /// Ends it without sending; the refusal may say "not run".
    pub fn refuse(self) -> Ran {
        Ran::No
    }

    /// Hands it to a connection; from here on it may run.
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
    /// Ends it without an answer: nobody knows whether it ran.
    pub fn fail(self) -> Ran {
        Ran::Unknown
    }

    /// Takes it back when no connection was made, so that no byte of it was sent.
    pub fn unconnected(self, _: NoConnection) -> Attempt<Unsent> {
        Attempt::make()
    }

    /// Ends it with a whole answer.
    pub fn answer(self) {}
}

/// Evidence that no connection was made for an attempt.
///
/// Only the transport creates one, where the HTTP library reports that the connect failed.
#[derive(Debug)]
pub struct NoConnection(());

impl NoConnection {
    /// Creates the evidence; call it only where the connect itself failed.
    pub fn connect_failed() -> Self {
        Self(())
    }
}
