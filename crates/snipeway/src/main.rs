//! `snipeway`: the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    args::program::main(&snipeway::cli::SPEC, snipeway::run)
}
