//! What operators do: contracts, the audit trail, status and explanations.

pub mod ask;
pub mod contracts;
pub mod settings;
pub mod story;

pub use ask::Fleet;
pub use contracts::Applied;
pub use contracts::Contracts;
pub use settings::Settings;
