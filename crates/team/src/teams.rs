//! Teams and the keys that they hold.

use std::sync::Arc;

use kernel::Map;

use crate::Key;

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: Arc<str>,
    /// Its rank, 0 for the first, which goes before that of a route.
    pub priority: Option<u32>,
}

/// The teams cannot be told apart.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TeamsError {
    /// Two teams have one name.
    #[error("two teams are called {0}")]
    Name(Arc<str>),
    /// Two teams hold one key.
    #[error("{0} and {1} hold the same key")]
    Key(Arc<str>, Arc<str>),
}

/// The teams of a configuration.
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
    /// Makes the teams of a configuration, each with its keys.
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

    /// The team that holds a key. Digests are looked up, of which nobody can choose the text, so the time of an
    /// answer tells nothing of other keys.
    pub fn find(&self, key: &Key) -> Option<&Arc<Team>> {
        self.keys.get(key)
    }

    /// Teams.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Tells whether there is none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
