//! Weight versions: orders to engines in waves, fencing, verification, quarantine.
//!
//! A [`Plan`] is the state of one model in one failure domain on the instance that holds the
//! lease for it. It is rebuilt from what the engines state, so a new holder needs nothing from
//! the former one.

pub mod demand;
pub mod plan;
pub mod scheduler;

pub use demand::Demand;
pub use demand::Target;
pub use plan::Action;
pub use plan::Plan;
pub use plan::WeightState;

/// A weight version of a model; higher is newer.
pub type Version = u64;
