//! Gossip: probes of peers, and the rumours and contracts that probes carry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fleet::Member;
use fleet::Probe;
use fleet::Rumour;
use fleet::view::PROBE_INTERVAL;
use fleet::view::ProbeFailure;
use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use kernel::Name;
use net::SendError;
use poison::Observations;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::peer;
use wire::peer::PeerError;
use wire::peer::Ping;
use wire::peer::Pong;

use crate::App;
use crate::limits;
use crate::load_reports;
use crate::meter;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a probe that another instance sends on this instance's behalf.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum size of a peer's response in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Relative change of a customer's demand from which on it is reported to peers at once.
const MIN_DEMAND_CHANGE: f64 = 0.2;

/// Number of probe intervals after which unchanged demands are reported again.
const REPORT_INTERVALS: u64 = 10;

/// An exchange of messages with a peer failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ExchangeError {
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// No response arrived.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The peer answered with a status other than 200.
    #[error("the peer answered with status {0}")]
    Status(StatusCode),
    /// The request could not be built.
    #[error("the request could not be made")]
    Request,
}

/// Sends a signed message to a peer and returns its response.
///
/// # Errors
///
/// Returns [`ExchangeError`] if the message cannot be sent, the response does not arrive within `timeout`, or
/// the peer rejects the message.
pub async fn exchange<T: Serialize, R: DeserializeOwned>(
    app: &App,
    addr: SocketAddr,
    path: &str,
    message: &T,
    timeout: Duration,
) -> Result<R, ExchangeError> {
    let bytes = peer::encode(message)?;
    let signature = app.settings.secret.sign(path, &bytes);
    count_bytes(app, "out", bytes.len());
    let request = Request::post(net::client::uri(addr, path))
        .header(CONTENT_TYPE, peer::MEDIA_TYPE)
        .header(peer::VERSION_HEADER, peer::VERSION)
        .header(peer::MAC_HEADER, signature)
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|_| ExchangeError::Request)?;
    let response = app.http.fetch(request, timeout, MAX_RESPONSE_BYTES).await?;
    count_bytes(app, "in", response.body().len());
    if response.status() != StatusCode::OK {
        return Err(ExchangeError::Status(response.status()));
    }
    Ok(peer::decode(response.body())?)
}

/// Counts the bytes of a message from a peer (`direction` is `in`) or to a peer (`out`).
pub fn count_bytes(app: &App, direction: &'static str, bytes: usize) {
    let instance = app.settings.me.name.to_string();
    metrics::counter!(meter::PEER_BYTES, "instance" => instance, "way" => direction)
        .increment(bytes as u64);
}

/// Probes peers and reports this instance's demand and crashes to them, until the task is aborted.
pub async fn run(app: Arc<App>) {
    let mut reported_demands = Vec::new();
    let mut reported_crashes = Observations::default();
    let mut round = 0;
    loop {
        round += 1;
        update_shares(&app, round, &mut reported_demands);
        report_crashes(&app, &mut reported_crashes);
        let probes = app.view.lock().tick(app.clock.now());
        for probe in probes {
            let app = app.clone();
            tokio::spawn(async move { probe_peer(&app, probe).await });
        }
        // Jitter prevents instances that started together from probing in step.
        let pause = PROBE_INTERVAL as f64 * (0.9 + 0.2 * rand::random::<f64>());
        tokio::time::sleep(Duration::from_millis(pause as u64)).await;
    }
}

/// Reports the crashes that this instance observed if they changed since the last report.
fn report_crashes(app: &App, reported: &mut Observations) {
    app.crashes.prune();
    let observations = app.crashes.local_observations();
    if observations != *reported {
        *reported = observations.clone();
        app.view
            .lock()
            .report_crashes(app.clock.wall(), observations);
    }
}

/// Updates the shares of limits and queues, and reports changed demands to peers. Called once per probe
/// interval.
fn update_shares(app: &App, round: u64, reported: &mut Vec<fleet::rumour::Demand>) {
    let demands = limits::update_demand(app);
    let changed = |d: &fleet::rumour::Demand| {
        let before = reported.iter().find(|r| r.customer == d.customer);
        let before = before.map_or(0.0, |r| r.rate);
        (d.rate - before).abs() > MIN_DEMAND_CHANGE * before.max(d.rate)
    };
    let due = round.is_multiple_of(REPORT_INTERVALS) || demands.iter().any(changed);
    let mut view = app.view.lock();
    if due && !(demands.is_empty() && reported.is_empty()) {
        view.report_demand(app.clock.wall(), demands.clone());
        *reported = demands;
    }
    let live = view.live().count();
    drop(view);
    let instance = app.settings.me.name.to_string();
    metrics::gauge!(meter::MEMBERS, "instance" => instance).set(live as f64);
    app.dispatchers
        .values()
        .for_each(|dispatcher| dispatcher.set_instances(live as u32));
}

/// Probes a peer. If it does not answer, asks other instances to probe it.
async fn probe_peer(app: &Arc<App>, probe: Probe) {
    if send_ping(app, &probe, None, PROBE_TIMEOUT).await.is_ok() {
        return;
    }
    let now = app.clock.now();
    let failure = app.view.lock().probe_failed(&probe.name, false, now);
    let ProbeFailure::AskHelpers(helpers) = failure else {
        return;
    };
    let member = {
        let view = app.view.lock();
        view.all().find(|member| member.name == probe.name).cloned()
    };
    for helper in helpers {
        let response = send_ping(app, &helper, member.clone(), INDIRECT_PROBE_TIMEOUT).await;
        if response.is_ok_and(|pong| pong.reached.is_some()) {
            return;
        }
    }
    app.view
        .lock()
        .probe_failed(&probe.name, true, app.clock.now());
}

/// Sends a probe to an instance and applies its response.
async fn send_ping(
    app: &Arc<App>,
    to: &Probe,
    probe: Option<Member>,
    timeout: Duration,
) -> Result<Pong, ExchangeError> {
    let message = build_ping(app, &to.domain, probe);
    let pong: Pong = exchange(app, to.addr, peer::PING, &message, timeout).await?;
    let is_behind = pong.newest < app.newest_revision();
    apply_message(app, &pong.from, pong.newest, pong.known, &pong.rumours);
    app.apply_contracts(pong.contracts.clone(), "a peer");
    if is_behind {
        // The peer lacks contracts according to its response; a second message sends them.
        let mut message = self::build_ping(app, &to.domain, None);
        message.contracts = app.contracts.read().newer_than(pong.newest);
        let _: Pong = exchange(app, to.addr, peer::PING, &message, timeout).await?;
    }
    Ok(pong)
}

/// Builds a probe for an instance of `domain`.
fn build_ping(app: &App, domain: &Name, probe: Option<Member>) -> Ping {
    let mut view = app.view.lock();
    Ping {
        from: view.me().clone(),
        rumours: view.outgoing(domain),
        newest: app.newest_revision(),
        known: app.contracts_age(),
        contracts: Vec::new(),
        probe,
    }
}

/// Applies a message from a peer: that the peer is alive, its rumours, and the age of its contracts.
fn apply_message(
    app: &Arc<App>,
    from: &Member,
    newest: contract::Revision,
    known: Option<u64>,
    rumours: &[Rumour],
) {
    let now = app.clock.now();
    let mut new_rumours = Vec::new();
    let mut view = app.view.lock();
    view.probe_answered(from, now);
    for rumour in rumours {
        if view.receive(rumour.clone(), now) {
            new_rumours.push(rumour);
        }
    }
    drop(view);
    new_rumours
        .into_iter()
        .for_each(|rumour| apply_rumour(app, rumour));
    // A peer at the same revision whose confirmation is more recent confirms this instance's contracts too.
    if let Some(age) = known
        && newest == app.newest_revision()
    {
        app.confirm_contracts(age);
    }
}

/// Applies a rumour to the upstreams or crash reports that it is about.
fn apply_rumour(app: &Arc<App>, rumour: &Rumour) {
    match rumour {
        Rumour::Upstream { name, leaving, .. } => crate::sync::set_leaving(app, name, *leaving),
        Rumour::Engine {
            name,
            version,
            leaving,
            ..
        } => {
            for dispatcher in app.dispatchers.values() {
                load_reports::apply_state(dispatcher, name, *version, *leaving);
            }
        }
        Rumour::Crashes { report, .. } => app.crashes.merge(report),
        Rumour::Member(_) | Rumour::Demand { .. } => (),
    }
}

/// Handles a probe from a peer and returns the response to it.
pub async fn handle_ping(app: &Arc<App>, ping: Ping) -> Pong {
    apply_message(app, &ping.from, ping.newest, ping.known, &ping.rumours);
    app.apply_contracts(ping.contracts, "a peer");
    let reached = match ping.probe {
        Some(member) => match self::is_reachable(app, &member).await {
            true => Some(member),
            false => None,
        },
        None => None,
    };
    let contracts = app.contracts.read().newer_than(ping.newest);
    let mut view = app.view.lock();
    Pong {
        from: view.me().clone(),
        rumours: view.outgoing(&ping.from.domain),
        newest: app.newest_revision(),
        known: app.contracts_age(),
        contracts,
        reached,
    }
}

/// Returns whether a member answers a probe.
async fn is_reachable(app: &Arc<App>, member: &Member) -> bool {
    send_ping(app, &Probe::of(member), None, PROBE_TIMEOUT)
        .await
        .is_ok()
}

/// Announces to a few peers that this instance leaves, so that they stop sending it requests at once.
pub async fn announce_leaving(app: &Arc<App>) {
    let probes = {
        let mut view = app.view.lock();
        view.leave();
        view.tick(app.clock.now())
    };
    for probe in probes {
        // If the announcement is lost, peers suspect this instance once it stops answering probes.
        let _ = send_ping(app, &probe, None, PROBE_TIMEOUT).await;
    }
}
