//! `snipeway-control` runs beside every entry, acquires leases on control tasks and sends load
//! orders to engines. Any instance may hold any lease; no instance is dedicated to control.
//!
//! A control task rolls out the weights of one model in one failure domain. Only the instance that
//! reads the platform for its failure domain competes for the leases of that domain, so that the
//! number of platform calls does not grow with the number of instances. The controller asks the
//! entry beside it whether that entry is the reader.

pub mod cli;
mod orders;
mod rollout;
mod run;
mod sources;

pub use run::Controller;
pub use run::run;
