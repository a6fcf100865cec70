//! Simulates, in simulated time, how configuration spreads among hundreds of instances.
//!
//! The decisions are made by the product's code: which instance another one follows and polls, what a reply holds,
//! and when an instance reads the platform. Links, the platform and the CPUs of the instances are a [`model`] of a
//! few parameters.

pub mod event;
mod handlers;
pub mod model;
pub mod node;
pub mod simulation;

pub use model::FleetSize;
pub use model::ModelParams;
pub use simulation::Simulation;
