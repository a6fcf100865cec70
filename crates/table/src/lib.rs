//! The operator's configuration of routes and services, and the upstreams listed by the platform.
//!
//! Nothing here reads a socket or a clock; callers pass in each change.

pub mod config;
pub mod incarnation;
pub mod upstreams;

pub use config::Config;
pub use config::EngineSpec;
pub use config::Route;
pub use config::RouteKind;
pub use config::Service;
pub use config::WeightedService;
pub use incarnation::Incarnation;
pub use incarnation::Incarnations;
pub use upstreams::Upstream;
pub use upstreams::UpstreamChange;
pub use upstreams::UpstreamList;
