//! Work that one instance at a time does for all: orders to engines, steps whose owner is gone,
//! and records that are not needed any more.

pub mod orders;
pub mod orphans;
pub mod targets;

use std::sync::Arc;
use std::time::Duration;

use fleet::Lease;
use fleet::lease::Held;
use kernel::Millis;
use plat::holder;
use plat::holder::Taken;
use table::Listed;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::App;
use crate::dialect::DialectError;
use crate::dialect::Stated;
use crate::news;

/// The key of the lease.
const KEY: &str = "snipeway/control";

/// Longest time that one watch of the lease waits, in milliseconds.
const WATCH: Millis = 10_000;

/// Time between two looks while holding the lease.
const TICK: Duration = Duration::from_millis(150);

/// Pause after a failed call.
const AGAIN: Duration = Duration::from_millis(400);

/// Time beyond the bound on two holders that a new holder waits before its first order: the store
/// may notice the end of a lease late, and an order takes time to arrive.
const MARGIN: Millis = 500;

/// Time that an engine has to state its versions and load.
const STATE: Duration = Duration::from_millis(400);

/// Most bytes of such an answer.
const MOST: usize = 1 << 20;

/// Takes part in control until the instance has left.
pub async fn run(app: Arc<App>) {
    loop {
        let ttl = app.settings.lease.max(app.settings.shortest);
        let name = app.me.instance.as_bytes();
        match holder::take(&app.plat, KEY, name, ttl, app.clock).await {
            Ok(Taken::Ours(lease)) => hold(&app, lease).await,
            Ok(Taken::Others) => wait(&app).await,
            Err(_) => sleep(AGAIN.mul_f64(0.5 + rand::random::<f64>())).await,
        }
    }
}

/// Waits until the lease changes hands.
async fn wait(app: &App) {
    let Ok(range) = app.plat.list(KEY).await else {
        return sleep(AGAIN).await;
    };
    if range.items.is_empty() {
        return;
    }
    if app.plat.poll(KEY, range.rev, WATCH).await.is_err() {
        sleep(AGAIN).await;
    }
}

async fn hold(app: &Arc<App>, mut lease: Lease<Held>) {
    let fence = lease.fence().0;
    log::info!(target: "control", fence; "lease taken");
    let mut tasks = JoinSet::new();
    tasks.spawn(news::follow(app.clone()));
    let targets = targets::Targets::default();
    tasks.spawn(targets::follow(app.clone(), targets.clone()));
    tasks.spawn(orphans::run(app.clone(), targets.clone()));
    let from = app.clock.now() + app.settings.lease + MARGIN;
    let mut orders = orders::Orders::new(app, fence, from);
    while holder::keep(&app.plat, &mut lease, app.clock).await {
        orders.turn(&targets, &lease).await;
        sleep(TICK).await;
        if app.is_leaving() {
            // Another instance takes over at once instead of after the lease's time.
            let _ = app.plat.revoke(lease.id()).await;
            break;
        }
    }
    log::warn!(target: "control", fence; "lease lost");
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
    /// The request cannot be made.
    #[error("could not make the request")]
    Request(#[from] http::Error),
}

/// Asks an engine for its versions and load.
///
/// # Errors
///
/// Returns [`StateError`].
pub async fn state(app: &App, one: &Arc<Listed>) -> Result<Stated, StateError> {
    let (method, path) = app.dialect.ask_state();
    let request = http::Request::builder()
        .method(method)
        .uri(net::client::uri(one.addr, path))
        .body(http_body_util::Full::default())?;
    let answer = app.http.fetch(request, STATE, MOST).await?;
    let stated = app.dialect.stated(answer.body())?;
    let mut fleet = app.fleet.lock();
    for (model, version) in &stated.models {
        fleet.saw(&one.id, model, *version);
    }
    Ok(stated)
}
