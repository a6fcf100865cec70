//! HTTP client with timeouts, HTTP server with graceful shutdown, and an adapter that makes async functions
//! handlers of gotham's router.

mod arrival;
pub mod body;
mod budget;
pub mod client;
mod condition;
mod connect;
pub mod events;
pub mod handler;
pub mod identity;
mod ids;
mod json;
pub mod server;

pub use arrival::Arrival;
pub use body::Reply;
pub use budget::BodyBudget;
pub use client::Client;
pub use client::SendError;
pub use condition::SendCondition;
pub use handler::Call;
pub use handler::HandlerFn;
pub use json::JsonError;
pub use server::Drain;
pub use server::Limits;
