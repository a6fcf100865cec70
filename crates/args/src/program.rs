//! What every program's `main` does.

use std::future::Future;
use std::process::ExitCode;

use conf::SettingsErrors;

use crate::CliSpec;
use crate::DONE;
use crate::FAILED;
use crate::Parse;
use crate::ParsedArgs;
use crate::USAGE;
use crate::UsageError;
use crate::parse::parse;

/// Parses the command line, runs the program and turns its result into an exit code.
pub fn main(spec: &CliSpec, run: impl FnOnce(ParsedArgs) -> eyre::Result<()>) -> ExitCode {
    let parsed = match parse(spec, std::env::args_os().skip(1)) {
        Ok(Parse::Run(parsed)) => parsed,
        Ok(Parse::Show(text)) => {
            crate::output::write(format_args!("{text}"));
            return ExitCode::from(DONE);
        }
        Err(error) => {
            eprintln!("{}: {error}", spec.program);
            return ExitCode::from(USAGE);
        }
    };
    match run(parsed) {
        Ok(()) => ExitCode::from(DONE),
        Err(report) => {
            eprintln!("{}: {}", spec.program, chain(&report));
            ExitCode::from(code(&report))
        }
    }
}

/// Runs a future on a runtime with several threads.
///
/// # Errors
///
/// Returns the future's error, or that of the runtime's start.
pub fn block_on<F: Future<Output = eyre::Result<()>>>(future: F) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(future)
}

/// The error with its causes, in one line each where they have more.
fn chain(report: &eyre::Report) -> String {
    let causes: Vec<_> = report.chain().map(ToString::to_string).collect();
    causes.join(": ")
}

fn code(report: &eyre::Report) -> u8 {
    let usage = report.chain().any(|cause| {
        cause.is::<UsageError>() || cause.is::<SettingsErrors>() || cause.is::<conf::LoadError>()
    });
    if usage { USAGE } else { FAILED }
}
