//! Simplified implementations of the systems that snipeway communicates with: the platform's key-value service, model
//! engines, plain services and weight stores. Each speaks the published protocol of its system and can have faults
//! injected.
//!
//! They are used by the tests, the demo and the benchmarks; none is part of a deployment.

pub mod cli;
pub mod engine;
pub mod fault;
pub mod host;
pub mod platform;
pub mod run;
pub mod service;
pub mod settings;
pub mod store;
pub mod text;

pub use engine::Engine;
pub use fault::Fault;
pub use fault::Faults;
pub use host::Server;
pub use platform::Platform;
pub use service::Service;
pub use store::WeightStore;
