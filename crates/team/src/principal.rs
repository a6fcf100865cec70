//! Principals: on whose behalf a request runs.

use std::sync::Arc;

use kernel::digest;

/// On whose behalf a request runs, as stated to upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// No teams are configured: the caller's own statement of who it is is passed on.
    NoTeams,
    /// No team, on a route that needs no key: the caller's own statement of who it is is dropped.
    Anonymous,
    /// The team with this name.
    Team(Arc<str>),
}

impl Principal {
    /// Returns the principal that owns a stored record with this team. `configured` is whether teams are
    /// configured.
    ///
    /// # Examples
    ///
    /// ```
    /// use team::Principal;
    ///
    /// assert_eq!(Principal::from_record(Some(&"a".into()), false), Principal::Team("a".into()));
    /// assert_eq!(Principal::from_record(None, true), Principal::Anonymous);
    /// ```
    pub fn from_record(team: Option<&Arc<str>>, configured: bool) -> Self {
        match team {
            Some(team) => Self::Team(team.clone()),
            None if configured => Self::Anonymous,
            None => Self::NoTeams,
        }
    }

    /// Returns the team, if there is one.
    pub fn team(&self) -> Option<&Arc<str>> {
        match self {
            Self::Team(team) => Some(team),
            Self::NoTeams | Self::Anonymous => None,
        }
    }

    /// Returns the name under which a record of this principal is stored. Names of different teams differ,
    /// so another team's record is not found, as if it did not exist.
    ///
    /// # Examples
    ///
    /// ```
    /// use team::Principal;
    ///
    /// let one = Principal::Team("a".into()).scoped_name("job");
    /// assert_ne!(one, Principal::Team("b".into()).scoped_name("job"));
    /// assert!(one.ends_with("-job"));
    /// assert_eq!(&*Principal::NoTeams.scoped_name("job"), "job");
    /// ```
    pub fn scoped_name(&self, name: &str) -> Arc<str> {
        let Some(team) = self.team() else {
            return name.into();
        };
        let of = u64::from_be_bytes(digest(&[team.as_bytes()]));
        format!("{of:016x}-{name}").into()
    }
}
