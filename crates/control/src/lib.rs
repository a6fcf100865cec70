//! `snipeway-control`: runs beside every entry, takes leases on pieces of control work and gives
//! orders to upstreams. Any instance may hold any lease; none is set aside.
//!
//! A piece of work is one model in one failure domain. To keep the platform's calls from growing
//! with instances, only the instance that reads the platform for its failure domain tries for
//! the leases of that domain; it asks the entry beside it whether that is itself.

pub mod cli;
mod orders;
mod run;
mod sources;
mod work;

pub use run::Controller;
pub use run::run;
