//! `snipeway-bench`: the measurements, a command each, against stand-ins in the same process.
//!
//! Each command measures a baseline beside what it is about, in one run, since machines are
//! noisy. The figures in docs/MEASUREMENTS.md come from here.

mod board;
pub mod cli;
mod cpu;
mod fleet;
mod goodput;
mod journal;
mod limits;
mod overhead;
mod place;
mod slow;
mod spread;
mod surge;
mod swap;
mod trainer;
mod weights;

use args::ParsedArgs;

/// Runs one measurement.
///
/// # Errors
///
/// Returns an error when a fleet cannot start.
pub fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    args::program::block_on(async move {
        match parsed.cmd {
            "surge" => surge::run().await,
            "goodput" => goodput::run().await,
            "slow" => slow::run().await,
            "overhead" => overhead::run().await,
            "journal" => journal::run().await,
            "limits" => limits::run().await,
            "trainer" => trainer::run(&parsed).await,
            "place" => {
                place::run();
                Ok(())
            }
            "board" => {
                board::run();
                Ok(())
            }
            "fleet" => {
                fleet::run();
                Ok(())
            }
            "swap" => {
                swap::run();
                Ok(())
            }
            "weights" => weights::run().await,
            _ => spread::run().await,
        }
    })
}
