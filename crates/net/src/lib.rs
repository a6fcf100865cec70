//! HTTP client with timeouts, HTTP server with graceful shutdown, and an adapter that makes async functions
//! handlers of gotham's router.

mod arrival;
pub mod body;
mod budget;
pub mod client;
mod condition;
mod connect;
pub mod events;
pub mod eviction;
mod exchange;
pub mod handler;
pub mod identity;
mod ids;
mod inbound;
mod inbound_stream;
mod json;
mod memory;
mod payload;
mod places;
pub mod server;
mod uploads;

pub use arrival::Arrival;
pub use body::Reply;
pub use budget::BodyBudget;
pub use budget::BufferShare;
pub use client::Client;
pub use client::SendError;
pub use condition::SendCondition;
pub use handler::Call;
pub use handler::HandlerFn;
pub use inbound::Inbound;
pub use json::JsonError;
pub use memory::Reservation;
pub use payload::Payload;
pub use places::ClosedConnections;
pub use places::closed_connections;
pub use server::Buffers;
pub use server::Drain;
pub use server::Limits;
pub use uploads::UploadLimits;
pub use uploads::Uploads;
