//! An instance of the service. Its durable state is in the platform's store.
//!
//! The instance forwards calls to the upstreams that the platform lists, accepts steps (batches of samples) of
//! trainers, runs their samples on engines and serves the results. A [`Dialect`] translates the messages on the
//! wire; this crate makes all decisions, stores all state and does all retries.
//!
//! - [`front`] handles callers' requests: [`forward`] forwards calls, [`steps`] handles operations on steps.
//! - [`owner`] runs the samples of the steps that this instance owns, each in [`mod@run`].
//! - [`claim`] decides by a step's head at the platform whether the step may start or continue.
//! - [`news`] keeps the configuration and the list of upstreams current.
//! - [`control`] is the leader, which orders loads and takes over steps whose owner is gone.

mod access;
mod answer;
pub mod app;
pub mod claim;
pub mod control;
pub mod dialect;
pub mod events;
pub mod forward;
pub mod front;
pub mod hand;
pub mod hint;
pub mod member;
mod message;
pub mod meter;
pub mod news;
pub mod owner;
pub mod peer;
mod print;
mod reach;
pub mod refuse;
pub mod run;
mod score;
mod sent;
pub mod settings;
pub mod shelf;
pub mod start;
pub mod steps;
pub mod stream;
mod tally;
mod through;

pub use app::App;
pub use dialect::Dialect;
pub use settings::Settings;
pub use start::Running;
pub use start::run;
