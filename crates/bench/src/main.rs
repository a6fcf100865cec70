//! Entry point of `snipeway-bench`.

use std::process::ExitCode;

fn main() -> ExitCode {
    args::program::main(&bench::cli::SPEC, bench::run)
}
