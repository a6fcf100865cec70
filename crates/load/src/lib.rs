//! Load generator: callers and trainers that check the guarantees on their responses, and reports of the results.

pub mod callers;
pub mod cli;
pub mod report;
pub mod settings;
pub mod trainer;

pub mod run;

pub use callers::Callers;
pub use report::Table;
pub use trainer::Trainer;
