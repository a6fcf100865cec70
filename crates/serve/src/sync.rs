//! Replication of contracts and leaving upstreams from the platform.
//!
//! One instance of each failure domain, the reader, reads the platform and gossips what it read. Any other
//! instance reads too once its contracts have not been confirmed as the newest for some seconds.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use contract::StoredContract;
use contract::registry::ActiveContract;
use fleet::Rumour;
use kernel::Millis;
use kernel::Name;
use plat::Change;
use plat::Item;
use plat::PlatError;
use plat::keys;
use route::LeavingSource;

use crate::App;

/// Age of the last confirmation, in milliseconds, from which on an instance reads without being the reader.
const MAX_UNCONFIRMED_MS: Millis = 8_000;

/// Interval between checks whether this instance has to read.
const DUE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between small reads that show whether the platform is reachable.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between full reads, which recover the changes that a watch misses when its connection is lost without
/// being closed.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(60);

/// Base of the pause before the platform is read again, in milliseconds. It doubles with each consecutive failure.
const MIN_BACKOFF_MS: Millis = 200;

/// Maximum pause before the platform is read again, in milliseconds. A read that lasted longer than this resets the
/// backoff.
const MAX_BACKOFF_MS: Millis = 5_000;

/// Reads the platform while this instance has to, until the task is aborted.
pub async fn run(app: Arc<App>) {
    let mut failures = 0_u32;
    loop {
        if !is_due(&app) {
            tokio::time::sleep(DUE_CHECK_INTERVAL).await;
            continue;
        }
        let started = app.clock.now();
        let result = follow_platform(&app).await;
        let duration = app.clock.now() - started;
        if let Err(error) = &result {
            let text = error.to_string();
            log::warn!(target: "sync", error = text.as_str(); "could not follow the platform");
        }
        failures = match duration > MAX_BACKOFF_MS || result.is_ok() {
            true => 0,
            false => failures + 1,
        };
        // Half of the pause is random, so that instances that lost the platform at the same time do not
        // reconnect at the same time.
        let backoff = (MIN_BACKOFF_MS << failures.min(10)).min(MAX_BACKOFF_MS) as f64;
        let pause = backoff * (0.5 + 0.5 * rand::random::<f64>());
        tokio::time::sleep(Duration::from_millis(pause as u64)).await;
    }
}

/// Returns whether this instance has to read the platform.
fn is_due(app: &App) -> bool {
    let is_reader = app.view.lock().is_reader();
    is_reader
        || app
            .contracts_age()
            .is_none_or(|age| age > MAX_UNCONFIRMED_MS)
}

/// Reads all contracts and leaving upstreams, then watches for changes while this instance is the reader, up to
/// [`FULL_READ_INTERVAL`].
async fn follow_platform(app: &Arc<App>) -> Result<(), PlatError> {
    let range = app.plat.list(keys::CONTRACTS).await?;
    let contracts = range.items.iter().filter_map(parse_contract).collect();
    app.apply_contracts(contracts, "the platform");
    app.confirm_contracts(0);
    let leaving = app.plat.list(keys::LEAVING).await?;
    for item in &leaving.items {
        apply_leaving(app, &item.key, true);
    }
    let mut contract_changes = app.plat.watch(keys::CONTRACTS, range.rev + 1).await?;
    let mut leaving_changes = app.plat.watch(keys::LEAVING, leaving.rev + 1).await?;
    let end = Instant::now() + FULL_READ_INTERVAL;
    let mut confirm = tokio::time::interval(CONFIRM_INTERVAL);
    while app.view.lock().is_reader() && Instant::now() < end {
        tokio::select! {
            changes = contract_changes.next() => apply_changes(app, changes?),
            changes = leaving_changes.next() => apply_changes(app, changes?),
            _ = confirm.tick() => {
                // A watch yields nothing while nothing changes, on some platforms for minutes. Without this read
                // the contracts would stay unconfirmed and every peer would begin to read.
                app.plat.get(keys::CONTRACTS).await?;
                app.confirm_contracts(0);
            }
        }
    }
    Ok(())
}

/// Applies changes from either watch.
fn apply_changes(app: &Arc<App>, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Put(item) if item.key.starts_with(keys::LEAVING) => {
                apply_leaving(app, &item.key, true);
            }
            Change::Delete(key, _) if key.starts_with(keys::LEAVING) => {
                apply_leaving(app, &key, false)
            }
            Change::Put(item) => {
                app.apply_contracts(parse_contract(&item).into_iter().collect(), "the platform");
            }
            // Contracts are never deleted: a customer that leaves gets a contract that covers nothing.
            Change::Delete(..) | Change::Progress(_) => (),
        }
    }
    app.confirm_contracts(0);
}

/// Parses a contract that the platform stores; logs an error and returns [`None`] if it is invalid.
fn parse_contract(item: &Item) -> Option<ActiveContract> {
    let stored: Result<StoredContract, _> = serde_json::from_slice(&item.value);
    match stored {
        Ok(stored) => Some(ActiveContract {
            rev: item.rev,
            stored: Arc::new(stored),
        }),
        Err(error) => {
            // The previous contract stays in force. The operator's tool never writes an invalid one.
            let error = error.to_string();
            log::error!(target: "sync", key = item.key.as_str(), error = error.as_str();
                "could not parse a contract from the platform");
            None
        }
    }
}

/// Applies and gossips whether the platform lists an upstream as leaving; `key` is its key on the platform.
fn apply_leaving(app: &Arc<App>, key: &str, is_leaving: bool) {
    let Some(name) = key.strip_prefix(keys::LEAVING) else {
        return;
    };
    let Ok(name) = name.parse::<Name>() else {
        return;
    };
    let rumour = Rumour::Upstream {
        name: name.clone(),
        leaving: is_leaving,
        at: app.clock.wall(),
    };
    let now = app.clock.now();
    if app.view.lock().receive(rumour, now) {
        set_leaving(app, &name, is_leaving);
    }
}

/// Excludes an upstream from the choice of upstreams, or includes it again.
pub fn set_leaving(app: &Arc<App>, name: &Name, is_leaving: bool) {
    for dispatcher in app.dispatchers.values() {
        dispatcher.update_health(name, |health| {
            health.set_leaving(LeavingSource::Platform, is_leaving)
        });
    }
}
