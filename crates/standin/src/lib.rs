//! Simplified implementations of the systems that snipeway communicates with: the platform's key-value service, model
//! engines, plain services and weight stores. Each speaks the published protocol of its system and can have faults
//! injected.
//!
//! They are used by the tests, the demo and the benchmarks; none is part of a deployment.

pub mod cli;
pub mod engine;
pub mod fault;
pub mod platform;
pub mod run;
pub mod server;
pub mod service;
pub mod settings;
pub mod text;
pub mod weight_store;

pub use engine::Engine;
pub use fault::Fault;
pub use fault::Faults;
pub use platform::Platform;
pub use server::Server;
pub use service::Service;
pub use weight_store::WeightStore;
