//! `snipeway-demo`: a whole fleet with its load in one process, on free loopback ports.

pub mod cli;
mod run;

pub use run::run;
