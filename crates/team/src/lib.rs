//! Teams, their API keys, and authentication of requests.
//!
//! A caller identifies its team by a key. The key is replaced by its digest, a [`Key`], where the request is
//! read; later stages see only the [`Principal`]. Nothing in this crate reads a socket or a clock.

pub mod admit;
pub mod key;
pub mod principal;
pub mod teams;

pub use admit::Denial;
pub use admit::StalenessLimits;
pub use admit::admit;
pub use key::Credential;
pub use key::Key;
pub use principal::Principal;
pub use principal::has_scope;
pub use teams::Team;
pub use teams::Teams;
pub use teams::TeamsError;
