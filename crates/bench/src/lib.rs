//! `snipeway-bench`: benchmarks against stand-ins in the same process, one per command.
//!
//! A command that compares with a baseline measures both in the same run, since absolute figures differ between
//! machines and runs. The figures in docs/MEASUREMENTS.md come from here.

mod attempts;
pub mod cli;
mod connections;
mod cpu;
mod fleet;
mod goodput;
mod journal;
mod limits;
mod overhead;
mod place;
mod replica;
mod scheduler;
mod slow;
mod spread;
mod surge;
mod trainer;
mod weights;

use args::ParsedArgs;

/// Runs the benchmark of the given command.
///
/// # Errors
///
/// Returns an error if the stand-ins or entries cannot be started or a benchmark fails.
pub fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    args::program::block_on(async move {
        match parsed.cmd {
            "surge" => surge::run().await,
            "goodput" => goodput::run().await,
            "slow" => slow::run().await,
            "overhead" => overhead::run().await,
            "attempts" => {
                attempts::run();
                Ok(())
            }
            "connections" => connections::run().await,
            "journal" => journal::run().await,
            "limits" => limits::run().await,
            "trainer" => trainer::run(&parsed).await,
            "place" => {
                place::run();
                Ok(())
            }
            "board" => {
                replica::run();
                Ok(())
            }
            "fleet" => {
                fleet::run();
                Ok(())
            }
            "swap" => {
                scheduler::run();
                Ok(())
            }
            "weights" => weights::run().await,
            _ => spread::run().await,
        }
    })
}
