//! Work that one instance at a time does for all: orders to engines, steps whose owner is gone,
//! and records that are not needed any more.

mod accounts;
mod kept;
pub mod office;
pub mod orders;
pub mod orphans;
mod supply;
pub mod targets;

use std::sync::Arc;
use std::time::Duration;

use table::Upstream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::App;
use crate::dialect::DialectError;
use crate::dialect::Stated;
use crate::news;
use office::Office;

/// Time between two looks of the leader at what is due.
const TICK: Duration = Duration::from_millis(100);

/// Time that an engine has to state its versions and load.
const STATE: Duration = Duration::from_millis(400);

/// Most bytes of such an answer.
const MOST: usize = 1 << 20;

/// Time for which an instance does not stand again that has given the office up for another one: longer than
/// the others need to notice and to wait for its last order.
const REST: Duration = Duration::from_secs(8);

/// Why an instance leads no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Over {
    /// Its record belongs to somebody else.
    Lost,
    /// It is leaving.
    Leaving,
    /// It does not reach what another instance reaches.
    Unable,
}

impl Over {
    fn name(self) -> &'static str {
        match self {
            Self::Lost => "replaced",
            Self::Leaving => "leaving",
            Self::Unable => "cannot reach what others reach",
        }
    }
}

/// Takes part in control until the instance has left.
pub async fn run(app: Arc<App>) {
    while !app.is_leaving() {
        let office = office::stand(&app).await;
        lead(&app, office).await;
    }
}

async fn lead(app: &Arc<App>, office: Office) {
    let fence = office.fence();
    log::info!(target: "control", fence; "became leader");
    let mut tasks = JoinSet::new();
    tasks.spawn(news::follow(app.clone()));
    let targets = targets::Targets::default();
    tasks.spawn(targets::follow(app.clone(), targets.clone()));
    tasks.spawn(orphans::run(app.clone(), targets.clone()));
    let orders = async {
        let mut orders = orders::Orders::new(app, &office);
        while !app.is_leaving() {
            orders.turn(&targets).await;
            sleep(TICK).await;
        }
    };
    let reports = async {
        match accounts::Reports::new(app, &office) {
            Some(reports) => reports.run().await,
            None => std::future::pending().await,
        }
    };
    let supplies = async {
        match supply::Supplies::new(app, &office) {
            Some(supplies) => supplies.run(&targets).await,
            None => std::future::pending().await,
        }
    };
    let over = tokio::select! {
        () = office.keep(app) => Over::Lost,
        () = orders => Over::Leaving,
        // They end with the office alone.
        () = supplies => Over::Lost,
        accounts::Unable::Unreached = reports => Over::Unable,
    };
    if over != Over::Lost {
        office.resign(app).await;
    }
    log::warn!(target: "control", fence, why = over.name(); "leader no more");
    if over == Over::Unable {
        // The others stand meanwhile; one that reaches what this one does not is among them.
        sleep(REST).await;
    }
}

/// Why an engine's state is not known.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum StateError {
    /// There is no answer.
    #[error(transparent)]
    Send(#[from] net::SendError),
    /// The answer makes no sense.
    #[error(transparent)]
    Dialect(#[from] DialectError),
    /// Another start of the engine answers than the list names.
    #[error("another start answers")]
    Start,
    /// The request cannot be made.
    #[error("could not make the request")]
    Request(#[from] http::Error),
}

/// Asks an engine for its versions and load.
///
/// # Errors
///
/// Returns [`StateError`].
pub async fn query_state(app: &App, engine: &Arc<Upstream>) -> Result<Stated, StateError> {
    let (method, path) = app.dialect.ask_state();
    let request = http::Request::builder()
        .method(method)
        .uri(net::client::uri(engine.addr, path))
        .body(http_body_util::Full::default())?;
    let answer = app.http.fetch(request, STATE, MOST).await?;
    let stated = app.dialect.stated(answer.body())?;
    // What it has counts for that start, which the list will name within a second or two.
    if let (Some(born), Some(listed)) = (stated.born, engine.incarnation.started_at)
        && born != listed
    {
        return Err(StateError::Start);
    }
    let mut fleet = app.fleet.lock();
    for (model, version) in &stated.models {
        fleet.version_seen(&engine.id, model, *version);
    }
    Ok(stated)
}
