//! On whose behalf a request runs.

use std::sync::Arc;

use kernel::digest;

/// On whose behalf a request runs, as upstreams are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// There are no teams: whatever the caller says of itself is passed on.
    Any,
    /// Nobody in particular: the route needs no key. Whatever the caller says of itself is left out.
    Anonymous,
    /// A team.
    Team(Arc<str>),
}

impl Principal {
    /// Who a record belongs to that was kept with the name of a team, or without one.
    ///
    /// # Examples
    ///
    /// ```
    /// use team::Principal;
    ///
    /// assert_eq!(Principal::kept(Some(&"a".into()), false), Principal::Team("a".into()));
    /// assert_eq!(Principal::kept(None, true), Principal::Anonymous);
    /// ```
    pub fn kept(team: Option<&Arc<str>>, configured: bool) -> Self {
        match team {
            Some(team) => Self::Team(team.clone()),
            None if configured => Self::Anonymous,
            None => Self::Any,
        }
    }

    /// The team, if there is one.
    pub fn team(&self) -> Option<&Arc<str>> {
        match self {
            Self::Team(team) => Some(team),
            Self::Any | Self::Anonymous => None,
        }
    }

    /// The name under which a record of this principal is kept. Two teams never share one, so that whoever
    /// asks for another team's record finds nothing, as if it did not exist.
    ///
    /// # Examples
    ///
    /// ```
    /// use team::Principal;
    ///
    /// let one = Principal::Team("a".into()).scope("job");
    /// assert_ne!(one, Principal::Team("b".into()).scope("job"));
    /// assert!(one.ends_with("-job"));
    /// assert_eq!(&*Principal::Any.scope("job"), "job");
    /// ```
    pub fn scope(&self, name: &str) -> Arc<str> {
        let Some(team) = self.team() else {
            return name.into();
        };
        let of = u64::from_be_bytes(digest(&[team.as_bytes()]));
        format!("{of:016x}-{name}").into()
    }
}
