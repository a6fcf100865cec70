//! Serves every part of the settings until told to stop.

use std::sync::Arc;

use crate::Engine;
use crate::Platform;
use crate::Server;
use crate::Service;
use crate::WeightStore;
use crate::settings::Part;
use crate::settings::Role;
use args::ParsedArgs;
use eyre::WrapErr;
use std::time::Duration;

/// Runs the program.
///
/// # Errors
///
/// Returns an error when the settings are wrong or an address is taken.
pub fn run(parsed: ParsedArgs) -> eyre::Result<()> {
    let file: String = parsed.require("config", "a file")?;
    let parts = crate::settings::read(&file, &conf::load(&file)?)?;
    logs::init(&logs::Settings::default())?;
    args::program::block_on(serve(parts))
}

async fn serve(parts: Vec<Part>) -> eyre::Result<()> {
    for part in parts {
        let host = host(&part).await;
        let host = host.wrap_err_with(|| format!("could not serve {}", part.name))?;
        log::info!(name = part.name.as_str(), addr:% = host.addr; "serving");
    }
    tokio::signal::ctrl_c().await?;
    Ok(())
}

async fn host(part: &Part) -> std::io::Result<Server> {
    let at = part.listen;
    match part.role {
        Role::Platform => Arc::new(Platform::default()).serve(at).await,
        Role::Engine(make) => Arc::new(Engine::new(make)).serve(at).await,
        Role::Service(work, slots) => {
            let work = Duration::from_millis(work);
            Arc::new(Service::new(work, slots)).serve(at).await
        }
        Role::Store(size, rate) => Arc::new(WeightStore::new(size, rate)).serve(at).await,
    }
}
