//! `snipeway`: the operators' command line.

pub mod cli;
mod cmd;
mod error;

use args::ParsedArgs;

pub use cmd::SPECS;

/// Runs one command.
///
/// # Errors
///
/// Returns the error of the command.
pub fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    args::program::block_on(cmd::run(parsed))
}
