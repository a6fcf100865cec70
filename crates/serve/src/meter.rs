//! Metrics: their names and descriptions, and the text that Prometheus scrapes.
//!
//! Labels have a bounded number of values: instances, customers, pools, upstreams and kinds of outcome,
//! but never requests, keys or paths.

use std::sync::OnceLock;

use metrics::Unit;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Calls, by kind, customer and outcome.
pub const REQUESTS: &str = "snipeway_requests_total";

/// Duration of calls in seconds, by kind.
pub const REQUEST_SECONDS: &str = "snipeway_request_seconds";

/// Requests waiting in the queue of a pool.
pub const QUEUED_REQUESTS: &str = "snipeway_queue_requests";

/// Attempts at upstreams, by pool and outcome.
pub const UPSTREAM_ATTEMPTS: &str = "snipeway_upstream_attempts_total";

/// Calls to the platform, by kind.
pub const PLATFORM_CALLS: &str = "snipeway_platform_calls_total";

/// The newest contract revision in force.
pub const CONTRACT_REVISION: &str = "snipeway_contract_revision";

/// Live instances in this instance's view.
pub const MEMBERS: &str = "snipeway_members";

/// Samples delivered to trainers, by customer.
pub const DELIVERED_SAMPLES: &str = "snipeway_samples_total";

/// Samples generated again because they exceeded the staleness bound, by customer.
pub const STALE_SAMPLES: &str = "snipeway_samples_stale_total";

/// Bytes of messages exchanged with peers, by direction.
pub const PEER_BYTES: &str = "snipeway_peer_bytes_total";

/// Upper bounds of the buckets of [`REQUEST_SECONDS`], in seconds.
const REQUEST_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder and describes the metrics; [`None`] if the process already has another recorder.
fn install_recorder() -> Option<PrometheusHandle> {
    let matcher = Matcher::Full(REQUEST_SECONDS.to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(matcher, &REQUEST_BUCKETS);
    let handle = builder.ok()?.install_recorder().ok()?;
    metrics::describe_counter!(REQUESTS, "calls by kind, customer and outcome");
    metrics::describe_histogram!(REQUEST_SECONDS, Unit::Seconds, "time that calls took");
    metrics::describe_gauge!(QUEUED_REQUESTS, "requests that wait in a pool's queue");
    metrics::describe_counter!(
        UPSTREAM_ATTEMPTS,
        "attempts at upstreams by pool and outcome"
    );
    metrics::describe_gauge!(PLATFORM_CALLS, "calls of the platform by kind");
    metrics::describe_gauge!(CONTRACT_REVISION, "the newest contract revision in force");
    metrics::describe_gauge!(MEMBERS, "live instances in this one's eyes");
    metrics::describe_counter!(DELIVERED_SAMPLES, "samples delivered to trainers");
    metrics::describe_counter!(
        crash::CRASHES_METRIC,
        "requests at an upstream when that crashed"
    );
    metrics::describe_gauge!(crash::QUARANTINED_METRIC, "requests that crash upstreams");
    metrics::describe_counter!(
        STALE_SAMPLES,
        "samples made again because they were too old"
    );
    metrics::describe_counter!(PEER_BYTES, Unit::Bytes, "bytes of messages with peers");
    Some(handle)
}

/// Installs the metrics recorder of the process. Several instances in one process share it.
pub fn install() {
    HANDLE.get_or_init(install_recorder);
}

/// Returns all metrics in the text format of Prometheus; empty if no recorder could be installed.
pub fn render() -> String {
    let handle = HANDLE.get_or_init(install_recorder);
    handle
        .as_ref()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}
