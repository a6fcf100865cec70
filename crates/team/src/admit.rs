//! Whether a request may run, and on whose behalf.
//!
//! Load pattern: keys come and go with each version of the configuration, and an instance may be cut off from
//! whoever knows the newest. Turning away a caller whose key was added a moment ago is as wrong as serving
//! one whose key was taken away, so a key is called unknown only on fresh news.

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

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It brings no key.
    Missing,
    /// What it brings is no key.
    Malformed,
    /// Nobody holds its key.
    Unknown,
    /// The configuration may be too old to tell.
    StaleConfig,
}

/// Decides whether a request may run and on whose behalf. `open` tells whether its route needs no key, `age` how
/// long ago the configuration was known to be the newest.
///
/// # Errors
///
/// Returns the [`Denial`].
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
/// let ask = |credential, age| admit(Some(&teams), false, credential, Some(age), limits);
/// assert_eq!(ask(key("k-1"), 200), Ok(Principal::Team("a".into())));
/// assert_eq!(ask(key("k-2"), 200), Err(Denial::Unknown));
/// assert_eq!(ask(key("k-2"), 9_000), Err(Denial::StaleConfig));
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
    let older = |bound| age.is_none_or(|age| age > bound);
    if limits.fail_closed.is_some_and(older) {
        return Err(Denial::StaleConfig);
    }
    if let Some(principal) = principal {
        return Ok(principal);
    }
    if older(limits.reject_unknown) {
        return Err(Denial::StaleConfig);
    }
    Err(match credential {
        Credential::None => Denial::Missing,
        Credential::Malformed => Denial::Malformed,
        Credential::Key(_) => Denial::Unknown,
    })
}
