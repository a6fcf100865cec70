//! One instance as its peers see it.

use std::net::SocketAddr;

use kernel::Name;
use serde::Deserialize;
use serde::Serialize;

/// Whether an instance is thought to be there.
///
/// The order is that of precedence at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer; it has some time to contradict.
    Suspect,
    /// It did not contradict the suspicion: dead, or cut off.
    #[serde(rename = "Gone")]
    Dead,
    /// It said goodbye.
    Left,
}

impl MemberState {
    /// Tells whether the instance counts as one that can be asked.
    pub fn is_live(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}

/// One instance as its peers see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its address for peers.
    pub addr: SocketAddr,
    /// Rises with each start and each contradicted suspicion, so that news of a former life, or
    /// of a suspicion that was answered, do not count.
    pub incarnation: u64,
    /// Whether it is thought to be there.
    #[serde(rename = "life")]
    pub state: MemberState,
}

impl Member {
    /// Tells whether news about the same instance replace what is known.
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
    /// assert!(old.yields_to(&back));
    /// assert!(!back.yields_to(&old));
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn yields_to(&self, news: &Self) -> bool {
        (news.incarnation, news.state) > (self.incarnation, self.state)
    }
}
