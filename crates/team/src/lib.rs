//! Teams, their keys, and on whose behalf a request runs.
//!
//! A caller names its team by a key. The key is turned into a [`Key`] where the request is read and goes
//! no further; everything behind that place knows the [`Principal`] alone. Nothing here reads a socket or
//! a clock.

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
pub use teams::Team;
pub use teams::Teams;
pub use teams::TeamsError;
