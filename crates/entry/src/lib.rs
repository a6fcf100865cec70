//! `snipeway-entry`: runs on every entry instance and serves callers, peers and operators.

pub mod cli;
mod run;

pub use run::run;
