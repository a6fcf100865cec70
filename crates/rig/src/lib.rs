//! Fleets for the demo, the bench and tests: stand-ins in this process, with entries and their
//! control in this process too, or as processes of their own.

pub mod call;
pub mod contracts;
pub mod make;
pub mod parts;
mod start;

pub use call::Asked;
pub use make::Make;
pub use parts::Parts;
pub use start::Rig;
