//! `snipeway-load`: load and reports.

use std::process::ExitCode;

fn main() -> ExitCode {
    args::program::main(&load::cli::SPEC, load::run::run)
}
