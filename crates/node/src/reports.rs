//! Reports, as log lines and metrics, of what the process holds and of what it has counted.

use std::sync::Arc;
use std::time::Duration;

use plat::budget::CallKind;
use tokio::time::sleep;

use crate::App;
use crate::telemetry;

/// Interval between log lines with counts.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Publishes what the process holds, and what it has given up for a lack of room.
pub(crate) fn publish_held(app: &App) {
    metrics::gauge!(telemetry::DROPPED_LOG_LINES).set(logs::dropped_lines() as f64);
    for (kind, uploads) in [("callers", &app.uploads), ("instances", &app.messages)] {
        metrics::gauge!(telemetry::BODY_BYTES, "from" => kind).set(uploads.held() as f64);
        metrics::gauge!(telemetry::BODY_BYTES_LIMIT, "from" => kind).set(uploads.limit() as f64);
    }
    let closed = net::closed_connections();
    for (reason, count) in [("displaced", closed.displaced), ("blocked", closed.blocked)] {
        metrics::counter!(telemetry::CLOSED_CONNECTIONS, "reason" => reason).absolute(count);
    }
}

/// Reports connections that were closed for a lack of progress.
pub(crate) async fn report_closed_connections() {
    let mut reported = net::closed_connections();
    loop {
        sleep(REPORT_INTERVAL).await;
        let closed = net::closed_connections();
        if closed != reported {
            log::info!(target: "front", displaced = closed.displaced - reported.displaced,
                blocked = closed.blocked - reported.blocked; "connections closed without progress");
        }
        reported = closed;
    }
}

/// Reports the number of platform calls, which the client counts and limits.
pub(crate) async fn report_calls(app: Arc<App>) {
    loop {
        sleep(REPORT_INTERVAL).await;
        let used = |kind| app.plat.budget().used(kind);
        for kind in CallKind::ALL {
            metrics::gauge!(telemetry::PLATFORM_CALLS, "kind" => kind.name())
                .set(used(kind) as f64);
        }
        log::info!(target: "platform", reads = used(CallKind::Read), stale = used(CallKind::Stale),
            writes = used(CallKind::Write), leases = used(CallKind::Lease),
            watches = used(CallKind::Watch); "platform calls so far");
    }
}
