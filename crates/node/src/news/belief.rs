//! What is believed of listed upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Millis;
use table::Upstream;
use table::UpstreamChange;

use crate::App;

/// Takes in the list of upstreams as it was read at `at`, here or by whoever told it.
pub(super) fn apply_upstreams(
    app: &App,
    list: &BTreeMap<String, Arc<Upstream>>,
    rev: i64,
    at: Millis,
) {
    let beliefs = {
        let mut roster = app.upstreams.lock();
        let beliefs = roster.update_shared(list.values().cloned(), at);
        // Nothing is to be forgotten of upstreams while none comes or goes.
        if !beliefs.is_empty() {
            app.service_tracker.lock().prune(&roster);
            app.engine_tracker.lock().prune(&roster);
        }
        beliefs
    };
    for belief in &beliefs {
        log_change(belief, rev);
    }
    metrics::gauge!(crate::meter::UPSTREAMS_AGE).set(0.0);
    app.capacity_changed.notify_waiters();
}

fn log_change(belief: &UpstreamChange, rev: i64) {
    let (one, what) = match belief {
        UpstreamChange::Added(one) => (one, "upstream in"),
        UpstreamChange::Leaving(one) => (one, "upstream leaving"),
        UpstreamChange::Removed(one) => (one, "upstream out"),
    };
    let addr = one.addr.to_string();
    log::info!(target: "news", upstream = &*one.id, service = &*one.service,
        address = addr.as_str(), revision = rev; "{what}");
}
