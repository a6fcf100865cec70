//! What the operator has configured: routes and services, and the upstreams that are listed.
//!
//! Nothing here reads a socket or a clock; whoever learns of a change hands it in.

pub mod plan;
pub mod roster;
pub mod starts;

pub use plan::Config;
pub use plan::EngineSpec;
pub use plan::Route;
pub use plan::RouteKind;
pub use plan::Service;
pub use plan::WeightedService;
pub use roster::Upstream;
pub use roster::UpstreamChange;
pub use roster::UpstreamList;
pub use starts::Incarnation;
pub use starts::Incarnations;
