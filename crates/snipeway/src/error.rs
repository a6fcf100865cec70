//! Why a command that was understood did not do what it was asked.

/// Why a command that was understood did not do what it was asked.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum CommandError {
    /// Another operator was faster.
    #[error("not applied: the contract is at revision {0} now; look, then amend that")]
    Conflict(i64),
    /// The platform did not answer.
    #[error("not known yet whether it took effect; ask again: snipeway contract settle {0} {1}")]
    NotKnown(String, Box<str>),
    /// Some instances do not have the revision.
    #[error("not in force everywhere; behind: {behind}; silent: {silent}")]
    Behind {
        /// Those that answered without it.
        behind: String,
        /// Those that did not answer.
        silent: String,
    },
    /// Nobody knows what was asked about.
    #[error("no instance knows of {0}")]
    Unknown(String),
    /// The settings do not name the instance.
    #[error("the settings name no instance {0}")]
    Instance(String),
    /// An instance did not do it.
    #[error("{0}: {1}")]
    Asked(String, operate::ask::QueryError),
    /// Instances did not answer.
    #[error("{0} instances did not answer")]
    Silent(usize),
}
