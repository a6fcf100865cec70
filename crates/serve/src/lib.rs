//! The I/O shell of an entry: HTTP servers, clients and tasks that carry out the decisions of the crates without
//! I/O.

pub mod app;
pub mod audit;
pub mod auth;
pub mod cache;
pub mod completions;
mod crashes;
pub mod dispatcher;
pub mod forward;
pub mod generate;
pub mod gossip;
pub mod history;
pub mod journal;
pub mod limits;
pub mod load_reports;
pub mod meter;
pub mod operator;
pub mod peer;
pub mod reply;
pub mod router;
pub mod server;
pub mod settings;
pub mod steps;
pub mod sync;
pub mod trace;
pub mod weights;

pub use app::App;
pub use server::RunningInstance;
pub use settings::Settings;
