//! Fleets for the demo, the benchmarks and tests: stand-ins for the platform, engines, services and the weight store
//! run in this process; entries and their control run in this process too, or as separate processes.

pub mod call;
pub mod config;
pub mod contracts;
mod fleet;
pub mod standins;

pub use call::Call;
pub use config::RigConfig;
pub use fleet::Rig;
pub use standins::Standins;
