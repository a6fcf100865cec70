//! Serves all stand-ins of the settings until the process is interrupted.

use std::sync::Arc;

use crate::Engine;
use crate::Platform;
use crate::Server;
use crate::Service;
use crate::WeightStore;
use crate::settings::Role;
use crate::settings::StandIn;
use args::ParsedArgs;
use eyre::WrapErr;
use std::time::Duration;

/// Runs the program.
///
/// # Errors
///
/// Returns an error if the settings are invalid or an address cannot be bound.
pub fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    let file: String = parsed.require("config", "a file")?;
    let stand_ins = crate::settings::read(&file, &conf::load(&file)?)?;
    logs::init(&logs::Settings::default())?;
    args::program::block_on(serve(stand_ins))
}

async fn serve(stand_ins: Vec<StandIn>) -> eyre::Result<()> {
    for stand_in in stand_ins {
        let server = start(&stand_in).await;
        let server = server.wrap_err_with(|| format!("could not serve {}", stand_in.name))?;
        server.set_identity(&stand_in.name)?;
        log::info!(name = stand_in.name.as_str(), addr:% = server.addr; "serving");
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}

async fn start(stand_in: &StandIn) -> std::io::Result<Server> {
    let addr = stand_in.listen;
    match stand_in.role {
        Role::Platform => Arc::new(Platform::default()).serve(addr).await,
        Role::Engine(settings) => Arc::new(Engine::new(settings)).serve(addr).await,
        Role::Service(work, slots) => {
            let work = Duration::from_millis(work);
            Arc::new(Service::new(work, slots)).serve(addr).await
        }
        Role::Store(size, rate) => Arc::new(WeightStore::new(size, rate)).serve(addr).await,
    }
}
