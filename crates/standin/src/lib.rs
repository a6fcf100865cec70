//! Small fakes of the systems that snipeway meets, each over its published protocol, with faults
//! to switch on: the platform's key-value service, model engines, plain services, weight stores.
//!
//! They serve the tests, the demo and the measurements; none is part of a deployment.

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
