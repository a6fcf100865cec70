//! Duties of the leader, one instance at a time: loading weights at engines, ordering upstreams, reporting the requests
//! of teams, taking over steps whose owner is gone, and removing records that are no longer needed.

pub mod leadership;
mod load_notices;
pub mod load_orders;
pub mod orphans;
pub mod targets;
mod upstream_orders;
mod usage_reports;
mod versioned;

use std::sync::Arc;
use std::time::Duration;

use net::Payload;
use net::SendCondition;
use table::Upstream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::App;
use crate::answer;
use crate::answer::Attribution;
use crate::answer::Outbound;
use crate::dialect::DialectError;
use crate::dialect::ReportedState;
use crate::replication::LeadershipGuard;
use leadership::Leadership;

/// Interval between two passes of the leader over the engines.
const ORDER_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for an engine's answer about its versions and load.
const STATE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of that answer.
const MAX_STATE_BYTES: usize = 1 << 20;

/// Time for which an instance that resigned in favor of another one is no candidate: longer than the other instances
/// take to notice and to wait until its last order can no longer arrive.
const CANDIDACY_PAUSE: Duration = Duration::from_secs(8);

/// Reason for the end of a leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    /// Another instance has replaced the leader's record.
    Lost,
    /// The instance is leaving.
    Leaving,
    /// The instance cannot reach an address that another instance reaches.
    Unable,
}

impl EndReason {
    fn name(self) -> &'static str {
        match self {
            Self::Lost => "replaced",
            Self::Leaving => "leaving",
            Self::Unable => "cannot reach what others reach",
        }
    }
}

/// Runs for leader, and performs the leader's duties when elected, until the instance is leaving.
pub async fn run(app: Arc<App>) {
    while !app.is_leaving() {
        let leadership = leadership::win_election(&app).await;
        lead(&app, leadership).await;
    }
}

async fn lead(app: &Arc<App>, leadership: Leadership) {
    let fence = leadership.fencing_token();
    log::info!(target: "control", fence; "became leader");
    let _leading = LeadershipGuard::new(app);
    let mut tasks = JoinSet::new();
    let targets = targets::Targets::default();
    tasks.spawn(targets::follow(app.clone(), targets.clone()));
    tasks.spawn(orphans::run(app.clone(), targets.clone()));
    let notices = app.settings.placement.load_notices.then(|| {
        let (notices, accepted) = load_notices::channel();
        tasks.spawn(load_notices::run(app.clone(), targets.clone(), accepted));
        notices
    });
    let load_orders = async {
        let mut orders = load_orders::LoadOrders::new(app, &leadership, notices);
        while !app.is_leaving() {
            orders.issue_due(&targets).await;
            sleep(ORDER_INTERVAL).await;
        }
    };
    let reports = async {
        match usage_reports::UsageReporter::new(app, &leadership) {
            Some(reporter) => reporter.run().await,
            None => std::future::pending().await,
        }
    };
    let capacity_orders = async {
        match upstream_orders::CapacityOrders::new(app, &leadership) {
            Some(orders) => orders.run(&targets).await,
            None => std::future::pending().await,
        }
    };
    let reason = tokio::select! {
        () = leadership.renew(app) => EndReason::Lost,
        () = load_orders => EndReason::Leaving,
        // Never completes before the leadership ends.
        () = capacity_orders => EndReason::Lost,
        usage_reports::Unable::Unreached = reports => EndReason::Unable
    };
    if reason != EndReason::Lost {
        leadership.resign(app).await;
    }
    log::warn!(target: "control", fence, why = reason.name(); "leadership ended");
    if reason == EndReason::Unable {
        // Meanwhile another instance, which reaches that address, can become the leader.
        sleep(CANDIDACY_PAUSE).await;
    }
}

/// The error of a query of an engine's state.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum StateError {
    /// The engine did not answer.
    #[error(transparent)]
    Send(#[from] net::SendError),
    /// The answer does not follow the protocol.
    #[error(transparent)]
    Dialect(#[from] DialectError),
    /// The answer belongs to another request.
    #[error("the answer belongs to another request")]
    Foreign,
    /// The engine was restarted, and the list still names its previous start.
    #[error("another start answers")]
    Start,
    /// The request could not be built.
    #[error("could not make the request")]
    Request(#[from] http::Error),
}

/// Queries an engine's versions and load, and records its versions.
///
/// # Errors
///
/// Returns [`StateError`].
pub async fn query_state(app: &App, engine: &Arc<Upstream>) -> Result<ReportedState, StateError> {
    let (method, path) = app.dialect.state_request();
    let request = http::Request::builder()
        .method(method)
        .uri(net::client::uri(engine.addr, path))
        .body(http_body_util::Full::default())?;
    let sent_at = app.clock.now();
    let outbound = Outbound {
        request: request.map(Payload::from),
        upstream: engine.id.clone(),
        id: None,
        condition: SendCondition::always(),
    };
    let answer = match answer::fetch(app, outbound, STATE_TIMEOUT, MAX_STATE_BYTES).await? {
        Attribution::Own(answer) => answer,
        Attribution::Foreign => return Err(StateError::Foreign),
    };
    let state = app.dialect.decode_state(&answer.body)?;
    // The answer is valid for the new start only, which the list will name within a second or two.
    if let (Some(started_at), Some(listed)) = (state.started_at, engine.incarnation.started_at)
        && started_at != listed
    {
        return Err(StateError::Start);
    }
    let mut tracker = app.engine_tracker.lock();
    for (model, version) in &state.models {
        tracker.version_seen(&engine.id, model, *version);
    }
    tracker.order_state_reported(&engine.id, state.busy, sent_at);
    Ok(state)
}
