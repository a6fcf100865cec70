//! Orders to engines, and what engines state.

use std::time::Duration;

use clock::Clock;
use fleet::FencingToken;
use fleet::Lease;
use fleet::lease::Held;
use fleet::lease::HolderAction;
use http::Method;
use http::StatusCode;
use net::client::JsonError;
use route::Spec;
use weight::Stated;
use wire::engine::LOAD;
use wire::engine::Load;
use wire::engine::ORDER;
use wire::engine::Order;
use wire::engine::Ordered;

/// Time that an engine has to answer.
const LIMIT: Duration = Duration::from_millis(800);

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Given {
    /// The engine took it.
    Taken,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The lease may have lapsed; the order was not sent.
    Lapsed,
    /// The engine did not answer; what it states will show what it did.
    Unclear,
}

/// Asks an engine what it states.
pub(crate) async fn stated(http: &net::Client, engine: &Spec) -> Option<Stated> {
    let uri = net::client::uri(engine.addr, LOAD);
    let load: Result<Load, _> = http.json(Method::GET, &uri, &(), LIMIT).await;
    load.ok().map(|load| load.stated)
}

/// Gives an order, if the lease allows it at this moment.
pub(crate) async fn give(
    http: &net::Client,
    engine: &Spec,
    lease: &Lease<Held>,
    clock: Clock,
    order: impl FnOnce(FencingToken) -> Order,
) -> Given {
    // Asked for each order, right before it: the process may have been stopped since the last.
    let fence = match lease.check(clock.now()) {
        HolderAction::Work(fence) | HolderAction::Renew(fence) => fence,
        HolderAction::Lapsed => return Given::Lapsed,
    };
    let uri = net::client::uri(engine.addr, ORDER);
    match http.json(Method::POST, &uri, &order(fence), LIMIT).await {
        Ok(Ordered::Accepted) => Given::Taken,
        Ok(Ordered::Fenced) => Given::Fenced,
        Err(JsonError::Status { status, .. }) if status == StatusCode::CONFLICT => Given::Fenced,
        Err(_) => Given::Unclear,
    }
}
