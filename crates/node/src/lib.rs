//! An instance of the service. Its durable state is in the platform's store.
//!
//! The instance forwards calls to the upstreams that the platform lists, accepts steps (batches of samples) of
//! trainers, runs their samples on engines and serves the results. A [`Dialect`] translates the messages on the
//! wire; this crate makes all decisions, stores all state and does all retries.
//!
//! - [`frontend`] handles callers' requests: [`forward`] forwards calls, [`steps`] handles operations on steps.
//! - `overload` sheds calls while the instance lacks processor time.
//! - `answer` sends requests to upstreams, and attributes what comes back before anything in it counts.
//! - `event_run` checks that the events of a run continue those received before, for streams and samples.
//! - [`owner`] runs the samples of the steps that this instance owns, each in [`mod@run`].
//! - [`step_head`] decides by a step's head at the platform whether the step may start or continue.
//! - [`replication`] keeps the configuration and the list of upstreams current.
//! - [`leave`] stops the instance within the time that a stop may take.
//! - [`control`] is the leader, which orders loads and takes over steps whose owner is gone.

mod access;
mod answer;
pub mod app;
mod call_queue;
pub mod control;
mod dependency;
pub mod dialect;
mod engine_loads;
mod engine_slot;
mod event_run;
pub mod events;
mod fingerprint;
pub mod forward;
mod forwarded_request;
pub mod frontend;
pub mod handover;
pub mod hint;
pub mod leave;
pub mod member;
mod message;
mod overload;
pub mod owner;
mod payload_bytes;
pub mod peer;
mod peer_relay;
mod peer_server;
pub mod refusal;
pub mod replication;
mod reports;
mod request_counts;
mod resources;
pub mod result_cache;
pub mod run;
mod score;
mod service_attempts;
pub mod settings;
pub mod slot_reports;
pub mod start;
mod step_copies;
pub mod step_head;
pub mod steps;
pub mod stream;
mod sync_status;
pub mod telemetry;

pub use app::App;
pub use dialect::Dialect;
pub use settings::Settings;
pub use start::Running;
pub use start::run;
