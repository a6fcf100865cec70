//! Distribution of weight versions: load orders in waves, verification and quarantine of engines.
//!
//! A [`Plan`] is the state of one model in one failure domain on the instance that holds the
//! lease for it. It is rebuilt from what the engines report, so a new lease holder needs nothing from
//! the previous one.

pub mod demand;
pub mod plan;
pub mod scheduler;

pub use demand::Demand;
pub use demand::Target;
pub use plan::Action;
pub use plan::Plan;
pub use plan::WeightState;

/// Version of a model's weights; a higher one is newer.
pub type Version = u64;
