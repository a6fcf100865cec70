//! Applies changes of the list of upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Millis;
use table::Upstream;
use table::UpstreamChange;

use crate::App;

/// Applies the list of upstreams that was read at `read_at`, here or by the source of an update.
pub(super) fn apply_upstreams(
    app: &App,
    listed: &BTreeMap<String, Arc<Upstream>>,
    rev: i64,
    read_at: Millis,
) {
    let changes = {
        let mut upstreams = app.upstreams.lock();
        let changes = upstreams.update_shared(listed.values().cloned(), read_at);
        // Trackers need pruning only if upstreams were added or removed.
        if !changes.is_empty() {
            app.service_tracker.lock().prune(&upstreams);
            app.engine_tracker.lock().prune(&upstreams);
        }
        changes
    };
    for change in &changes {
        log_change(change, rev);
    }
    metrics::gauge!(crate::telemetry::UPSTREAMS_AGE).set(0.0);
    app.capacity_changed.notify_waiters();
}

fn log_change(change: &UpstreamChange, rev: i64) {
    let (upstream, message) = match change {
        UpstreamChange::Added(upstream) => (upstream, "upstream added"),
        UpstreamChange::Leaving(upstream) => (upstream, "upstream leaving"),
        UpstreamChange::Removed(upstream) => (upstream, "upstream removed"),
    };
    let addr = upstream.addr.to_string();
    log::info!(target: "news", upstream = &*upstream.id, service = &*upstream.service,
        address = addr.as_str(), revision = rev; "{message}");
}
