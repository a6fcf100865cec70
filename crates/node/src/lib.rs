//! An instance on a platform whose store keeps all that lasts.
//!
//! The instance passes calls on to the upstreams that the platform lists, accepts the steps of
//! trainers, runs their samples and lists the results. What a protocol looks like on the wire is a
//! [`Dialect`]'s matter; what is decided, kept and repeated is decided here.
//!
//! - [`front`] takes requests in: [`forward`] passes calls on, [`steps`] answers for steps.
//! - [`owner`] runs the samples of a step that this instance owns, one by one in [`mod@run`].
//! - [`step_head`] decides whether a step may begin or go on, by its head at the platform.
//! - [`news`] follows the configuration and the list of upstreams.
//! - [`control`] is the leader that orders loads and takes up steps whose owner is gone.

mod access;
mod answer;
pub mod app;
pub mod control;
pub mod dialect;
pub mod events;
mod fingerprint;
pub mod forward;
mod forwarded_request;
pub mod front;
pub mod hand;
pub mod hint;
pub mod member;
mod message;
pub mod meter;
pub mod news;
pub mod owner;
pub mod peer;
mod reach;
pub mod refuse;
mod request_counts;
pub mod run;
mod score;
pub mod settings;
pub mod shelf;
pub mod start;
pub mod step_head;
pub mod steps;
pub mod stream;
mod through;

pub use app::App;
pub use dialect::Dialect;
pub use settings::Settings;
pub use start::Running;
pub use start::run;
