//! Reading the platform for the failure domain.
//!
//! One instance reads for all of its failure domain, and its peers hear of it with the probes.
//! Any other instance reads as well once it has not heard for some seconds that its contracts are
//! the newest.

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

/// Time without news after which an instance reads though it is not the reader.
const PATIENCE: Millis = 8_000;

/// Time between two looks at whether to read.
const LOOK: Duration = Duration::from_millis(500);

/// Time between two small reads while a watch is silent.
const CHECK: Duration = Duration::from_secs(3);

/// Time after which everything is read anew: a connection that was cut without a word would leave
/// a watch silent for good.
const AGAIN: Duration = Duration::from_secs(60);

/// First pause after a failure; it doubles with each.
const PAUSE: Millis = 200;

/// Longest pause after a failure.
const LONGEST: Millis = 5_000;

/// Reads the platform whenever it is this instance's turn.
pub async fn run(app: Arc<App>) {
    let mut failures = 0_u32;
    loop {
        if !is_due(&app) {
            tokio::time::sleep(LOOK).await;
            continue;
        }
        let before = app.clock.now();
        let error = read(&app).await;
        let lasted = app.clock.now() - before;
        if let Err(error) = &error {
            let text = error.to_string();
            log::warn!(target: "sync", error = text.as_str(); "could not follow the platform");
        }
        failures = match lasted > LONGEST || error.is_ok() {
            true => 0,
            false => failures + 1,
        };
        // Half of the pause is random, so that instances that lost the platform together do not
        // return to it together.
        let span = (PAUSE << failures.min(10)).min(LONGEST) as f64;
        let pause = span * (0.5 + 0.5 * rand::random::<f64>());
        tokio::time::sleep(Duration::from_millis(pause as u64)).await;
    }
}

fn is_due(app: &App) -> bool {
    let reader = app.view.lock().is_reader();
    reader || app.known().is_none_or(|age| age > PATIENCE)
}

/// Reads everything, then follows the changes for as long as it is this instance's turn.
async fn read(app: &Arc<App>) -> Result<(), PlatError> {
    let range = app.plat.list(keys::CONTRACTS).await?;
    let contracts = range.items.iter().filter_map(contract).collect();
    app.offer(contracts, "the platform");
    app.confirm(0);
    let listed = app.plat.list(keys::LEAVING).await?;
    for item in &listed.items {
        news(app, &item.key, true);
    }
    let mut contracts = app.plat.watch(keys::CONTRACTS, range.rev + 1).await?;
    let mut upstreams = app.plat.watch(keys::LEAVING, listed.rev + 1).await?;
    let end = Instant::now() + AGAIN;
    let mut check = tokio::time::interval(CHECK);
    while app.view.lock().is_reader() && Instant::now() < end {
        tokio::select! {
            changes = contracts.next() => follow(app, changes?),
            changes = upstreams.next() => follow(app, changes?),
            _ = check.tick() => {
                // A watch is silent while nothing changes, for minutes on some platforms. A small
                // read shows that the platform is there, or peers would all begin to read.
                app.plat.get(keys::CONTRACTS).await?;
                app.confirm(0);
            }
        }
    }
    Ok(())
}

fn follow(app: &Arc<App>, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Put(item) if item.key.starts_with(keys::LEAVING) => {
                news(app, &item.key, true);
            }
            Change::Delete(key, _) if key.starts_with(keys::LEAVING) => news(app, &key, false),
            Change::Put(item) => {
                app.offer(contract(&item).into_iter().collect(), "the platform");
            }
            // A contract is never deleted: a customer that leaves gets one that covers nothing.
            Change::Delete(..) | Change::Progress(_) => (),
        }
    }
    app.confirm(0);
}

fn contract(item: &Item) -> Option<ActiveContract> {
    let stored: Result<StoredContract, _> = serde_json::from_slice(&item.value);
    match stored {
        Ok(stored) => Some(ActiveContract {
            rev: item.rev,
            stored: Arc::new(stored),
        }),
        Err(error) => {
            // The old contract stays in force; the operator's tool writes none like this.
            let error = error.to_string();
            log::error!(target: "sync", key = item.key.as_str(), error = error.as_str();
                "a contract at the platform could not be read");
            None
        }
    }
}

/// Passes on what the platform's list says of an upstream.
fn news(app: &Arc<App>, key: &str, is_leaving: bool) {
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
        leaving(app, &name, is_leaving);
    }
}

/// Takes an upstream out of, or back into, the choice.
pub fn leaving(app: &Arc<App>, name: &Name, is_leaving: bool) {
    for dispatcher in app.dispatchers.values() {
        dispatcher.update_health(name, |health| {
            health.set_leaving(LeavingSource::Platform, is_leaving)
        });
    }
}
