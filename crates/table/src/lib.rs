//! The operator's configuration of routes and services, and the upstreams listed by the platform.
//!
//! Nothing here reads a socket or a clock; callers pass in each change.

pub mod config;
pub mod roster;
pub mod starts;

pub use config::Config;
pub use config::EngineSpec;
pub use config::Route;
pub use config::RouteKind;
pub use config::Service;
pub use config::WeightedService;
pub use roster::Upstream;
pub use roster::UpstreamChange;
pub use roster::UpstreamList;
pub use starts::Incarnation;
pub use starts::Incarnations;
