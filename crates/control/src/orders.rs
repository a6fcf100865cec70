//! Load orders and state queries sent to engines.

use std::time::Duration;

use clock::Clock;
use fleet::FencingToken;
use fleet::Lease;
use fleet::lease::Held;
use fleet::lease::HolderAction;
use http::Method;
use http::StatusCode;
use net::JsonError;
use net::SendCondition;
use net::SendError;
use route::UpstreamSpec;
use weight::WeightState;
use wire::engine::LOAD;
use wire::engine::LoadOrder;
use wire::engine::LoadReport;
use wire::engine::ORDER;
use wire::engine::OrderReply;

/// Timeout of a request to an engine.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// The result of sending an order. The audit log contains the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The engine accepted the order.
    Taken,
    /// The engine rejected the order because it has seen a higher fencing token.
    Fenced,
    /// The lease may have expired, so the order was not sent.
    Lapsed,
    /// The engine sent no usable response; its next reported state shows whether it acted.
    Unclear,
}

/// Fetches the weight versions that an engine reports.
pub(crate) async fn fetch_stated(http: &net::Client, engine: &UpstreamSpec) -> Option<WeightState> {
    let uri = engine.uri(LOAD);
    let load: Result<LoadReport, _> = http.json(Method::GET, &uri, &(), REQUEST_TIMEOUT).await;
    load.ok().map(|load| load.stated)
}

/// Sends an order if the lease is still valid.
pub(crate) async fn send(
    http: &net::Client,
    engine: &UpstreamSpec,
    lease: &Lease<Held>,
    clock: Clock,
    order: impl FnOnce(FencingToken) -> LoadOrder,
) -> Outcome {
    let fence = match lease.check(clock.now()) {
        HolderAction::Work(fence) | HolderAction::Renew(fence) => fence,
        HolderAction::Expired => return Outcome::Lapsed,
    };
    let deadline = lease.order_deadline();
    let condition = SendCondition::new(move || clock.now() < deadline);
    let uri = engine.uri(ORDER);
    let order = order(fence);
    let reply = http.json_if(Method::POST, &uri, &order, REQUEST_TIMEOUT, condition);
    match reply.await {
        Ok(OrderReply::Accepted) => Outcome::Taken,
        Ok(OrderReply::Fenced) => Outcome::Fenced,
        Err(JsonError::Status { status, .. }) if status == StatusCode::CONFLICT => Outcome::Fenced,
        Err(JsonError::Send(SendError::Forbidden)) => Outcome::Lapsed,
        Err(_) => Outcome::Unclear,
    }
}
