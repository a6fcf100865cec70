//! `snipeway-load`: sends the load of callers and trainers and reports the results.

use std::process::ExitCode;

fn main() -> ExitCode {
    args::program::main(&load::cli::SPEC, load::run::run)
}
