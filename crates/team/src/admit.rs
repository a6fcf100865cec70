//! Admission: whether a request may run, and on whose behalf.
//!
//! Each version of the configuration may add and remove keys, and an instance may be cut off from the newest
//! version. Rejecting a caller whose key has just been added is as wrong as serving one whose key has been
//! removed, so a key is rejected as unknown only while the configuration is fresh.

use kernel::Millis;

use crate::Credential;
use crate::Principal;
use crate::Teams;

/// Limits on the age of the configuration, in milliseconds since it was known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessLimits {
    /// Greatest age at which a key that it does not contain is rejected as unknown.
    pub reject_unknown: Millis,
    /// Greatest age at which requests that need a key are served, if operators want to fail closed.
    pub fail_closed: Option<Millis>,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It carries no key.
    Missing,
    /// Its credential is not a well-formed key.
    Malformed,
    /// No team holds its key.
    Unknown,
    /// The configuration may be too old to tell.
    StaleConfig,
}

/// Decides whether a request may run, and on whose behalf. `open` is true when its route needs no key. `age` is
/// the time since the configuration was known to be the newest, or [`None`] if it never was.
///
/// # Errors
///
/// Returns a [`Denial`] when the request may not run.
///
/// # Examples
///
/// ```
/// use team::{Credential, Denial, Key, Principal, StalenessLimits, Team, Teams, admit};
///
/// let limits = StalenessLimits { reject_unknown: 1_500, fail_closed: None };
/// let team = Team { name: "a".into(), priority: None };
/// let teams = Teams::new([(team, vec![Key::of("k-1")])])?;
/// let key = |text| Credential::Key(Key::of(text));
/// let try_admit = |credential, age| admit(Some(&teams), false, credential, Some(age), limits);
/// assert_eq!(try_admit(key("k-1"), 200), Ok(Principal::Team("a".into())));
/// assert_eq!(try_admit(key("k-2"), 200), Err(Denial::Unknown));
/// assert_eq!(try_admit(key("k-2"), 9_000), Err(Denial::StaleConfig));
/// # Ok::<(), team::TeamsError>(())
/// ```
pub fn admit(
    teams: Option<&Teams>,
    open: bool,
    credential: Credential,
    age: Option<Millis>,
    limits: StalenessLimits,
) -> Result<Principal, Denial> {
    let Some(teams) = teams else {
        return Ok(Principal::NoTeams);
    };
    let holder = match credential {
        Credential::Key(key) => teams.find(&key),
        Credential::None | Credential::Malformed => None,
    };
    let principal = holder.map(|team| Principal::Team(team.name.clone()));
    if open {
        return Ok(principal.unwrap_or(Principal::Anonymous));
    }
    let is_older = |limit| age.is_none_or(|age| age > limit);
    if limits.fail_closed.is_some_and(is_older) {
        return Err(Denial::StaleConfig);
    }
    if let Some(principal) = principal {
        return Ok(principal);
    }
    if is_older(limits.reject_unknown) {
        return Err(Denial::StaleConfig);
    }
    Err(match credential {
        Credential::None => Denial::Missing,
        Credential::Malformed => Denial::Malformed,
        Credential::Key(_) => Denial::Unknown,
    })
}
