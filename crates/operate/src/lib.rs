//! Operations of the operators' command line: contracts and their audit trail, queries to the instances, and
//! timelines from log files.

pub mod contracts;
pub mod instances;
pub mod settings;
pub mod timeline;

pub use contracts::ApplyOutcome;
pub use contracts::Contracts;
pub use instances::Fleet;
pub use settings::Settings;
