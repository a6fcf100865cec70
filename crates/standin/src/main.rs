//! `snipeway-standin`: serves stand-ins for the systems around snipeway in one process.

use std::process::ExitCode;

fn main() -> ExitCode {
    args::program::main(&standin::cli::SPEC, standin::run::run)
}
