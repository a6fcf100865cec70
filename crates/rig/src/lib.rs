//! Fleets for the demo, the benchmarks and tests: stand-ins for the platform, engines, services and the weight store
//! run in this process; entries and their control run in this process too, or as separate processes.

pub mod call;
pub mod contracts;
pub mod make;
pub mod parts;
mod start;

pub use call::Call;
pub use make::RigConfig;
pub use parts::Standins;
pub use start::Rig;
