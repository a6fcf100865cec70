//! Errors of commands whose arguments are valid.

/// Error of a command whose arguments are valid.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum CommandError {
    /// Another operator changed the contract first; it is now at this revision.
    #[error("not applied: the contract is at revision {0} now; look, then amend that")]
    Conflict(i64),
    /// The platform didn't answer, so the outcome is unknown. Holds the customer and the ID of the change.
    #[error("not known yet whether it took effect; ask again: snipeway contract settle {0} {1}")]
    Indeterminate(String, Box<str>),
    /// The revision is not in force on all instances.
    #[error("not in force everywhere; behind: {behind}; silent: {unanswered}")]
    Behind {
        /// Names of the instances that have an older revision.
        behind: String,
        /// Names of the instances whose status query failed.
        unanswered: String,
    },
    /// No instance has a record of the request, step or upstream.
    #[error("no instance knows of {0}")]
    UnknownSubject(String),
    /// The settings do not name the instance.
    #[error("the settings name no instance {0}")]
    UnknownInstance(String),
    /// The query to an instance failed.
    #[error("{0}: {1}")]
    Query(String, operate::instances::QueryError),
    /// The queries to this many instances failed.
    #[error("{0} instances did not answer")]
    Unanswered(usize),
}
