//! HTTP plumbing: a client with deadlines, an accept loop that drains, and the bridge between
//! plain async functions and gotham's router.

pub mod body;
pub mod client;
mod connect;
pub mod events;
pub mod glue;
pub mod server;

pub use body::Reply;
pub use client::Client;
pub use client::SendError;
pub use glue::Call;
pub use glue::Glue;
pub use server::Drain;
pub use server::Limits;
