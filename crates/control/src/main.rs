//! `snipeway-control`: leases and orders.

use std::process::ExitCode;

fn main() -> ExitCode {
    args::program::main(&control::cli::SPEC, control::run)
}
