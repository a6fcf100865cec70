//! Puts the configuration of the replica in force.

use std::sync::Arc;

use plat::Item;
use table::Config;

use crate::App;

/// Puts the configuration of the replica in force if it is newer than the one that is.
pub(super) fn apply(app: &App) {
    // Held until the configuration is in force: it is applied by several tasks.
    let mut applied = app.applied_config.lock();
    let item = app.replica.lock().configuration().cloned();
    let Some(item) = item.filter(|item| item.rev > *applied) else {
        return;
    };
    *applied = item.rev;
    activate(app, &item);
}

/// Puts a configuration in force unless that one or a newer one already is.
fn activate(app: &App, item: &Item) {
    let config = match app.dialect.decode_config(&item.value) {
        Ok(config) => config,
        Err(error) => {
            let error = error.to_string();
            log::error!(target: "news", revision = item.rev, error = error.as_str();
                "configuration is invalid");
            return;
        }
    };
    let version = config.version;
    if !replace(app, config) {
        return;
    }
    metrics::gauge!(crate::telemetry::CONFIG_VERSION).set(version as f64);
    log::info!(target: "news", version, revision = item.rev; "configuration in force");
    app.capacity_changed.notify_waiters();
}

/// Replaces the configuration by a newer one; an older one that arrives late is ignored.
fn replace(app: &App, config: Config) -> bool {
    let current = app.config.load();
    if current
        .as_ref()
        .is_some_and(|current| current.version >= config.version)
    {
        return false;
    }
    app.config.store(Some(Arc::new(config)));
    true
}
