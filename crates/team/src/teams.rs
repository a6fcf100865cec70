//! Teams and the keys that they hold.

use std::sync::Arc;

use kernel::Map;
use kernel::Priority;

use crate::Key;

/// A team, as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Unique name.
    pub name: Arc<str>,
    /// Priority of its requests; it takes precedence over the priority of the route.
    pub priority: Option<Priority>,
}

/// Error for teams that cannot be told apart.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TeamsError {
    /// Two teams have the same name.
    #[error("two teams are called {0}")]
    Name(Arc<str>),
    /// Two teams hold the same key.
    #[error("{0} and {1} hold the same key")]
    Key(Arc<str>, Arc<str>),
}

/// The teams of a configuration, indexed by key and by name.
///
/// # Examples
///
/// ```
/// use team::{Key, Team, Teams};
///
/// let team = |name: &str| Team { name: name.into(), priority: None };
/// let teams = Teams::new([(team("a"), vec![Key::of("k-1")]), (team("b"), Vec::new())])?;
/// assert_eq!(teams.find(&Key::of("k-1")).map(|team| &*team.name), Some("a"));
/// assert!(teams.find(&Key::of("k-2")).is_none());
/// # Ok::<(), team::TeamsError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Teams {
    keys: Map<Key, Arc<Team>>,
    names: Map<Arc<str>, Arc<Team>>,
}

impl Teams {
    /// Creates the teams of a configuration, each with its keys.
    ///
    /// # Errors
    ///
    /// Returns [`TeamsError`] when two teams share a name or a key.
    pub fn new(all: impl IntoIterator<Item = (Team, Vec<Key>)>) -> Result<Self, TeamsError> {
        let mut teams = Self::default();
        for (team, keys) in all {
            teams.add(Arc::new(team), keys)?;
        }
        Ok(teams)
    }

    fn add(&mut self, team: Arc<Team>, keys: Vec<Key>) -> Result<(), TeamsError> {
        for key in keys {
            match self.keys.insert(key, team.clone()) {
                Some(other) if other.name != team.name => {
                    return Err(TeamsError::Key(other.name.clone(), team.name.clone()));
                }
                Some(_) | None => (),
            }
        }
        match self.names.insert(team.name.clone(), team) {
            Some(other) => Err(TeamsError::Name(other.name.clone())),
            None => Ok(()),
        }
    }

    /// Returns the team that holds a key. The lookup compares digests, which a caller cannot choose, so its
    /// timing reveals nothing about other keys.
    pub fn find(&self, key: &Key) -> Option<&Arc<Team>> {
        self.keys.get(key)
    }

    /// Returns the team with a name.
    pub fn get(&self, name: &str) -> Option<&Arc<Team>> {
        self.names.get(name)
    }

    /// Returns the number of teams.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there are no teams.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
