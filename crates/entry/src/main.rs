//! `snipeway-entry`: serves callers, peers and operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    args::program::main(&entry::cli::SPEC, entry::run)
}
