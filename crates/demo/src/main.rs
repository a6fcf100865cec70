//! `snipeway-demo`: a whole fleet with its load in one process.

use std::process::ExitCode;

fn main() -> ExitCode {
    args::program::main(&demo::cli::SPEC, demo::run)
}
