//! `snipeway-entry`: the process of an entry instance, which serves callers, peers and operators.

pub mod cli;
mod run;

pub use run::run;
