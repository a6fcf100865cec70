//! Operations of the operators' command line: contracts and their audit trail, queries to the instances, and
//! timelines from log files.

pub mod ask;
pub mod contracts;
pub mod settings;
pub mod story;

pub use ask::Fleet;
pub use contracts::ApplyOutcome;
pub use contracts::Contracts;
pub use settings::Settings;
