//! The steps that `main` of every program shares.

use std::future::Future;
use std::process::ExitCode;

use conf::SettingsErrors;

use crate::CliSpec;
use crate::EXIT_FAILURE;
use crate::EXIT_SUCCESS;
use crate::EXIT_USAGE;
use crate::ParseOutcome;
use crate::ParsedArgs;
use crate::UsageError;
use crate::parse::parse;

/// Parses the command line, calls `run` and returns the exit code. Errors are printed to standard
/// error.
pub fn main(spec: &CliSpec, run: impl FnOnce(ParsedArgs) -> eyre::Result<()>) -> ExitCode {
    let parsed = match parse(spec, std::env::args_os().skip(1)) {
        Ok(ParseOutcome::Run(parsed)) => parsed,
        Ok(ParseOutcome::Print(text)) => {
            crate::output::write(format_args!("{text}"));
            return ExitCode::from(EXIT_SUCCESS);
        }
        Err(error) => {
            eprintln!("{}: {error}", spec.program);
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(parsed) {
        Ok(()) => ExitCode::from(EXIT_SUCCESS),
        Err(report) => {
            eprintln!("{}: {}", spec.program, format_chain(&report));
            ExitCode::from(exit_code(&report))
        }
    }
}

/// Runs a future to completion on a multi-threaded runtime.
///
/// # Errors
///
/// Returns the future's error, or the error of starting the runtime.
pub fn block_on<F: Future<Output = eyre::Result<()>>>(future: F) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}

/// Joins an error and its causes with `: `. A cause may itself have more than one line, such as
/// [`SettingsErrors`].
fn format_chain(report: &eyre::Report) -> String {
    let causes: Vec<_> = report.chain().map(ToString::to_string).collect();
    causes.join(": ")
}

fn exit_code(report: &eyre::Report) -> u8 {
    let usage = report.chain().any(|cause| {
        cause.is::<UsageError>() || cause.is::<SettingsErrors>() || cause.is::<conf::LoadError>()
    });
    if usage { EXIT_USAGE } else { EXIT_FAILURE }
}
