//! Contracts: what a customer may use and how much of it.
//!
//! Every limit, priority and share that a customer receives follows from its [`Contract`] alone.
//! Operators write contracts as INI files ([`form`]), the platform keeps them as [`Stored`]
//! records, and each instance holds those in force in a [`Book`] which takes higher revisions only.

pub mod amend;
pub mod audit;
pub mod book;
pub mod form;
pub mod model;

pub use amend::Change;
pub use amend::Settle;
pub use audit::Audit;
pub use book::Book;
pub use book::Stored;
pub use kernel::TokenDigest;
pub use model::Contract;
pub use model::Rule;
pub use model::Unscored;
pub use model::Weighs;

/// A revision of the platform's key-value service; higher is newer.
pub type Revision = i64;
