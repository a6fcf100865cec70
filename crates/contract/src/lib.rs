//! Contracts, which define what a customer may use and how much of it.
//!
//! Every limit, priority and share of a customer follows from its [`Contract`] alone. Operators
//! write contracts as INI files ([`ini`]), the platform stores them as [`StoredContract`] records,
//! and each instance keeps those in force in a [`Registry`], which accepts only higher revisions.

pub mod amend;
pub mod audit;
pub mod ini;
pub mod model;
pub mod registry;

pub use amend::Change;
pub use amend::ChangeStatus;
pub use audit::Audit;
pub use kernel::TokenDigest;
pub use model::Contract;
pub use model::CostPreference;
pub use model::NonIdempotentRule;
pub use model::UnscoredPolicy;
pub use registry::Registry;
pub use registry::StoredContract;

/// A revision of the platform's key-value service; higher is newer.
pub type Revision = i64;
