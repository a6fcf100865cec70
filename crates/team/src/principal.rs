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

/// Number of characters of the digest of a team in the name of a record.
const SCOPE_CHARS: usize = 16;

/// Returns whether a name has the form of the names of teams' records.
///
/// # Examples
///
/// ```
/// assert!(team::has_scope("0123456789abcdef-job"));
/// assert!(!team::has_scope("0123456789abcdef"));
/// ```
pub fn has_scope(name: &str) -> bool {
    let is_digit = |byte: &u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    let (scope, rest) = name.as_bytes().split_at(name.len().min(SCOPE_CHARS));
    scope.len() == SCOPE_CHARS && scope.iter().all(is_digit) && rest.starts_with(b"-")
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
        format!("{of:0SCOPE_CHARS$x}-{name}").into()
    }

    /// Returns the name under which a record without a team is stored; [`None`] if that is the form of names of teams'
    /// records: a caller that knows such a name must not reach the record by it.
    ///
    /// # Examples
    ///
    /// ```
    /// use team::Principal;
    ///
    /// let (one, other) = (Principal::Team("a".into()), Principal::Team("b".into()));
    /// assert_eq!(other.unscoped_name("job").as_deref(), Some("job"));
    /// assert_eq!(other.unscoped_name(&one.scoped_name("job")), None);
    /// ```
    pub fn unscoped_name(&self, name: &str) -> Option<Arc<str>> {
        // Without teams there are no such records, and a name of any form may be a caller's own.
        let is_free = *self == Self::NoTeams || !has_scope(name);
        is_free.then(|| name.into())
    }
}
