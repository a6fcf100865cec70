//! A member as its peers see it.

use std::net::SocketAddr;

use kernel::Name;
use serde::Deserialize;
use serde::Serialize;

/// State of a member as its peers see it.
///
/// Of two states at the same incarnation the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer a probe and may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time: it is dead or cut off.
    #[serde(rename = "Gone")]
    Dead,
    /// It left gracefully.
    Left,
}

impl MemberState {
    /// Returns whether the instance is expected to answer.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// A member as its peers see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its address for peers.
    pub addr: SocketAddr,
    /// Rises with each start and each refuted suspicion, so that rumours about an earlier start, or about a refuted
    /// suspicion, are ignored.
    pub incarnation: u64,
    /// Its state.
    #[serde(rename = "life")]
    pub state: MemberState,
}

impl Member {
    /// Returns whether a rumour about the same instance replaces what is known.
    ///
    /// # Examples
    ///
    /// ```
    /// use fleet::{MemberState, Member};
    ///
    /// let old = Member {
    ///     name: "nord-1".parse()?,
    ///     domain: "nord".parse()?,
    ///     addr: "127.0.0.1:1".parse()?,
    ///     incarnation: 1,
    ///     state: MemberState::Suspect,
    /// };
    /// let back = Member { incarnation: 2, state: MemberState::Alive, ..old.clone() };
    /// assert!(old.is_superseded_by(&back));
    /// assert!(!back.is_superseded_by(&old));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn is_superseded_by(&self, newer: &Self) -> bool {
        (newer.incarnation, newer.state) > (self.incarnation, self.state)
    }
}
