//! Simulates, in simulated time, how configuration spreads among hundreds of instances.
//!
//! The decisions are made by the product's code: which instance another one follows and polls, what a reply holds,
//! and when an instance reads the platform. Links, the platform and the CPUs of the instances are a [`world`] of a
//! few parameters.

mod act;
pub mod event;
pub mod node;
pub mod play;
pub mod world;

pub use play::Simulation;
pub use world::FleetSize;
pub use world::ModelParams;
