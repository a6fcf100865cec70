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
/// Returns the command's error.
pub fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    args::program::block_on(cmd::run(parsed))
}
