//! Names, descriptions and text output of the metrics.
//!
//! Labels have bounded values: routes, outcomes and kinds of calls, never requests, steps or paths.

use metrics::Unit;
use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Requests of callers, by route and outcome.
pub const REQUESTS: &str = "snipeway_requests_total";

/// Time until a caller had its answer, in seconds, by route.
pub const REQUEST_SECONDS: &str = "snipeway_request_seconds";

/// Attempts at upstreams, by outcome.
pub const ATTEMPTS: &str = "snipeway_upstream_attempts_total";

/// Answers of upstreams that belong to another request than the one that was sent.
pub const FOREIGN_ANSWERS: &str = "snipeway_foreign_answers_total";

/// Runs for which a better engine was found, by outcome.
pub const MOVES: &str = "snipeway_moves_total";

/// Attempts beside one that runs, by service and outcome.
pub const HEDGES: &str = "snipeway_hedges_total";

/// Attempts after a failed one that were denied, by service and reason.
pub const DENIED_RETRIES: &str = "snipeway_retries_denied_total";

/// Time after which an attempt may begin beside one that runs, in milliseconds, by service.
pub const HEDGE_DELAY: &str = "snipeway_hedge_delay_milliseconds";

/// Calls that wait here, by service.
pub const WAITING_CALLS: &str = "snipeway_calls_waiting";

/// Time for which sent calls have waited here, in seconds, by service.
pub const CALL_WAIT_SECONDS: &str = "snipeway_call_wait_seconds";

/// Calls that were refused instead of waiting or while they waited, by service and reason.
pub const REFUSED_CALLS: &str = "snipeway_calls_refused_total";

/// Calls that may be at a service at once, by service.
pub const CALL_WINDOW: &str = "snipeway_call_window";

/// Samples that ended, by outcome.
pub const SAMPLES: &str = "snipeway_samples_total";

/// Samples that make no progress, by reason.
pub const WAITING_SAMPLES: &str = "snipeway_samples_waiting";

/// Requests for the score of a sample, by outcome.
pub const SCORES: &str = "snipeway_scores_total";

/// Steps, by outcome at this instance.
pub const STEPS: &str = "snipeway_steps_total";

/// Orders to engines, by result.
pub const LOAD_ORDERS: &str = "snipeway_orders_total";

/// Notices of loads to owners of steps, by result at the leader or at the owner.
pub const LOAD_NOTICES: &str = "snipeway_load_notices_total";

/// Runs that engines rejected, by cause.
pub const REJECTIONS: &str = "snipeway_rejected_runs_total";

/// Reports of the requests of teams, by result.
pub const USAGE_REPORTS: &str = "snipeway_usage_reports_total";

/// Orders of upstreams, by result.
pub const CAPACITY_ORDERS: &str = "snipeway_upstream_orders_total";

/// Platform calls, by kind.
pub const PLATFORM_CALLS: &str = "snipeway_platform_calls_total";

/// Reports to and from other owners of steps, by result.
pub const SLOT_REPORTS: &str = "snipeway_slot_reports_total";

/// Other owners of steps that have runs or waiting samples.
pub const SLOT_OWNERS: &str = "snipeway_slot_owners";

/// Log lines that were dropped because the log reader was too slow.
pub const DROPPED_LOG_LINES: &str = "snipeway_log_lines_dropped_total";

/// Age of the list of upstreams in milliseconds.
pub const UPSTREAMS_AGE: &str = "snipeway_upstreams_age_milliseconds";

/// Time since the configuration in force was last known to be the newest, in milliseconds.
pub const CONFIG_AGE: &str = "snipeway_configuration_age_milliseconds";

/// Polls of other instances and reads of the platform for configuration and upstreams, by result.
pub const SYNC_STEPS: &str = "snipeway_synchronisation_steps_total";

/// Version of the configuration in force.
pub const CONFIG_VERSION: &str = "snipeway_configuration_version";

/// Calls and streams that were shed because the instance lacks processor time, by priority.
pub const SHED_REQUESTS: &str = "snipeway_shed_requests_total";

/// Fraction of the calls that are shed.
pub const SHED_FRACTION: &str = "snipeway_shed_fraction";

/// Delay of the run queue in milliseconds, as last measured.
pub const RUN_QUEUE_DELAY: &str = "snipeway_run_queue_delay_milliseconds";

/// Memory that bodies of requests take, in bytes, by who sends them.
pub const BODY_BYTES: &str = "snipeway_body_bytes";

/// Memory that bodies of requests may take, in bytes, by who sends them.
pub const BODY_BYTES_LIMIT: &str = "snipeway_body_bytes_limit";

/// Connections that were closed for a lack of progress, by reason.
pub const CLOSED_CONNECTIONS: &str = "snipeway_connections_closed_total";

/// Bodies of callers' requests that were not received, by reason.
pub const REFUSED_BODIES: &str = "snipeway_bodies_refused_total";

/// Buckets of [`REQUEST_SECONDS`].
const REQUEST_SECONDS_BUCKETS: [f64; 11] =
    [0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Buckets of [`CALL_WAIT_SECONDS`].
const CALL_WAIT_BUCKETS: [f64; 9] = [0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0];

/// Installs the recorder and registers descriptions; [`None`] when it cannot be installed.
pub fn install() -> Option<PrometheusHandle> {
    let matcher = Matcher::Full(REQUEST_SECONDS.to_owned());
    let builder =
        PrometheusBuilder::new().set_buckets_for_metric(matcher, &REQUEST_SECONDS_BUCKETS);
    let matcher = Matcher::Full(CALL_WAIT_SECONDS.to_owned());
    let builder = builder
        .ok()?
        .set_buckets_for_metric(matcher, &CALL_WAIT_BUCKETS);
    let handle = builder.ok()?.install_recorder().ok()?;
    metrics::describe_counter!(REQUESTS, "requests of callers by route and outcome");
    metrics::describe_histogram!(
        REQUEST_SECONDS,
        Unit::Seconds,
        "time until callers had their answer"
    );
    metrics::describe_counter!(ATTEMPTS, "attempts at upstreams by outcome");
    metrics::describe_counter!(
        FOREIGN_ANSWERS,
        "answers of upstreams that belong to another request"
    );
    metrics::describe_counter!(MOVES, "runs for which a better engine was found by outcome");
    metrics::describe_gauge!(WAITING_CALLS, "calls that wait here by service");
    metrics::describe_histogram!(
        CALL_WAIT_SECONDS,
        Unit::Seconds,
        "time for which sent calls have waited here by service"
    );
    metrics::describe_counter!(
        REFUSED_CALLS,
        "calls refused by the queue by service and reason"
    );
    metrics::describe_gauge!(
        CALL_WINDOW,
        "calls that may be at a service at once by service"
    );
    metrics::describe_counter!(SAMPLES, "samples that ended by outcome");
    metrics::describe_gauge!(WAITING_SAMPLES, "samples that make no progress by reason");
    metrics::describe_counter!(
        HEDGES,
        "attempts beside one that runs by service and outcome"
    );
    metrics::describe_counter!(
        DENIED_RETRIES,
        "attempts after a failed one that were denied by service and reason"
    );
    metrics::describe_gauge!(
        HEDGE_DELAY,
        Unit::Milliseconds,
        "time after which an attempt may begin beside one that runs by service"
    );
    metrics::describe_counter!(SCORES, "requests for the score of a sample by outcome");
    metrics::describe_counter!(
        crash::CRASHES_METRIC,
        "requests at an upstream when that crashed"
    );
    metrics::describe_gauge!(crash::QUARANTINED_METRIC, "requests that crash upstreams");
    metrics::describe_counter!(STEPS, "steps by what became of them here");
    metrics::describe_counter!(LOAD_ORDERS, "orders to engines by result");
    metrics::describe_counter!(
        LOAD_NOTICES,
        "notices of loads to owners of steps by result"
    );
    metrics::describe_counter!(REJECTIONS, "runs that engines rejected by cause");
    metrics::describe_counter!(USAGE_REPORTS, "reports of the requests of teams by result");
    metrics::describe_counter!(CAPACITY_ORDERS, "orders of upstreams by result");
    metrics::describe_counter!(
        SLOT_REPORTS,
        "reports to and from other owners of steps by result"
    );
    metrics::describe_gauge!(
        SLOT_OWNERS,
        "other owners of steps that have runs or waiting samples"
    );
    metrics::describe_gauge!(PLATFORM_CALLS, "calls of the platform by kind");
    metrics::describe_gauge!(
        DROPPED_LOG_LINES,
        "log lines dropped because their reader was too slow"
    );
    metrics::describe_gauge!(
        UPSTREAMS_AGE,
        Unit::Milliseconds,
        "age of the list of upstreams"
    );
    metrics::describe_gauge!(
        CONFIG_AGE,
        Unit::Milliseconds,
        "time since the configuration was last known to be the newest"
    );
    metrics::describe_counter!(
        SYNC_STEPS,
        "polls and reads for configuration and upstreams by result"
    );
    metrics::describe_gauge!(CONFIG_VERSION, "version of the configuration in force");
    metrics::describe_counter!(
        SHED_REQUESTS,
        "requests shed for lack of processor time by priority"
    );
    metrics::describe_gauge!(SHED_FRACTION, "fraction of the calls that are shed");
    metrics::describe_gauge!(
        RUN_QUEUE_DELAY,
        Unit::Milliseconds,
        "delay of the run queue as last measured"
    );
    metrics::describe_gauge!(
        BODY_BYTES,
        Unit::Bytes,
        "memory that bodies of requests take by who sends them"
    );
    metrics::describe_gauge!(
        BODY_BYTES_LIMIT,
        Unit::Bytes,
        "memory that bodies of requests may take by who sends them"
    );
    metrics::describe_counter!(
        CLOSED_CONNECTIONS,
        "connections that were closed for a lack of progress by reason"
    );
    metrics::describe_counter!(REFUSED_BODIES, "bodies that were not received by reason");
    Some(handle)
}
