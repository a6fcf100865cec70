//! Entry point of `snipeway-control`.

use std::process::ExitCode;

fn main() -> ExitCode {
    args::program::main(&control::cli::SPEC, control::run)
}
