//! Load: callers and trainers that check what they are promised, and reports of what they saw.

pub mod callers;
pub mod cli;
pub mod report;
pub mod settings;
pub mod trainer;

pub mod run;

pub use callers::Callers;
pub use report::Table;
pub use trainer::Trainer;
