//! Commands, one per module.

mod amend;
mod apply;
mod audit;
mod check;
mod drain;
mod explain;
mod generate;
mod history;
mod list;
mod settings;
mod settle;
mod show;
mod status;
mod token;

use args::ParsedArgs;
use operate::Contracts;
use operate::Fleet;
use operate::Settings;

pub use generate::SPECS;

/// Runs a parsed command.
pub(crate) async fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    match parsed.cmd {
        "contract check" => check::run(&parsed),
        "contract apply" => apply::run(&parsed).await,
        "contract amend" => amend::run(&parsed).await,
        "contract show" => show::run(&parsed).await,
        "contract list" => list::run(&parsed).await,
        "contract history" => history::run(&parsed).await,
        "contract settle" => settle::run(&parsed).await,
        "audit" => audit::run(&parsed).await,
        "status" => status::run(&parsed).await,
        "explain" => explain::run(&parsed).await,
        "drain" => drain::run(&parsed).await,
        "settings check" => settings::run(&parsed),
        "token" => token::run(),
        _ => generate::run(&parsed),
    }
}

/// Reads the settings file that `--config` names.
fn load_settings(parsed: &ParsedArgs) -> eyre::Result<Settings> {
    let file: String = parsed.require("config", "a file")?;
    Ok(operate::settings::read(&file, &conf::load(&file)?)?)
}

fn contracts(settings: &Settings) -> Contracts {
    Contracts::new(plat::Client::new(settings.platform.clone()))
}

fn fleet(settings: &Settings) -> Fleet {
    Fleet::new(settings.peers.clone(), settings.secret.clone())
}
