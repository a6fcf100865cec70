//! `snipeway-bench`: the measurements, a command each.

use std::process::ExitCode;

fn main() -> ExitCode {
    args::program::main(&bench::cli::SPEC, bench::run)
}
