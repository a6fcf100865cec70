//! Probes of peers, and the news that go with them.

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
use crate::meter;
use crate::poll;

/// Time that a probe may take.
const PROBE: Duration = Duration::from_millis(400);

/// Time that a probe through helpers may take.
const HELP: Duration = Duration::from_millis(900);

/// Bytes of a peer's answer.
const MOST: usize = 4 << 20;

/// Change of a demand, as a part of it, that peers are told of.
const CHANGE: f64 = 0.2;

/// Seconds after which demands are told though they have not changed.
const REPEAT: u64 = 10;

/// Why a message with a peer failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ExchangeError {
    /// The message could not be written or read.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// There is no answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The peer refused it.
    #[error("the peer answered with status {0}")]
    Status(StatusCode),
    /// The address makes no URI.
    #[error("the request could not be made")]
    Request,
}

/// Sends a signed message to a peer and reads its answer.
///
/// # Errors
///
/// Returns [`ExchangeError`].
pub async fn exchange<T: Serialize, R: DeserializeOwned>(
    app: &App,
    addr: SocketAddr,
    path: &str,
    message: &T,
    limit: Duration,
) -> Result<R, ExchangeError> {
    let bytes = peer::encode(message)?;
    let sign = app.settings.secret.sign(path, &bytes);
    count(app, "out", bytes.len());
    let request = Request::post(net::client::uri(addr, path))
        .header(CONTENT_TYPE, peer::MEDIA_TYPE)
        .header(peer::VERSION_HEADER, peer::VERSION)
        .header(peer::MAC_HEADER, sign)
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|_| ExchangeError::Request)?;
    let answer = app.http.fetch(request, limit, MOST).await?;
    count(app, "in", answer.body().len());
    if answer.status() != StatusCode::OK {
        return Err(ExchangeError::Status(answer.status()));
    }
    Ok(peer::decode(answer.body())?)
}

/// Counts bytes of messages with peers.
pub fn count(app: &App, way: &'static str, bytes: usize) {
    let instance = app.settings.me.name.to_string();
    metrics::counter!(meter::PEER_BYTES, "instance" => instance, "way" => way)
        .increment(bytes as u64);
}

/// Probes peers until the instance leaves.
pub async fn run(app: Arc<App>) {
    let mut told = Vec::new();
    let mut crashes = Observations::default();
    let mut turn = 0;
    loop {
        turn += 1;
        second(&app, turn, &mut told);
        tell_crashes(&app, &mut crashes);
        let probes = app.view.lock().tick(app.clock.now());
        for probe in probes {
            let app = app.clone();
            tokio::spawn(async move { reach(&app, probe).await });
        }
        // Jitter keeps instances that started together from probing together.
        let pause = PROBE_INTERVAL as f64 * (0.9 + 0.2 * rand::random::<f64>());
        tokio::time::sleep(Duration::from_millis(pause as u64)).await;
    }
}

/// Tells peers of crashes if there is something new.
fn tell_crashes(app: &App, told: &mut Observations) {
    app.crashes.prune();
    let report = app.crashes.local_observations();
    if report != *told {
        *told = report.clone();
        app.view.lock().report_crashes(app.clock.wall(), report);
    }
}

/// What is done once a second: demands are measured, shares adapted.
fn second(app: &App, turn: u64, told: &mut Vec<fleet::rumour::Demand>) {
    let demands = limits::second(app);
    let changed = |d: &fleet::rumour::Demand| {
        let before = told.iter().find(|t| t.customer == d.customer);
        let before = before.map_or(0.0, |t| t.rate);
        (d.rate - before).abs() > CHANGE * before.max(d.rate)
    };
    let due = turn.is_multiple_of(REPEAT) || demands.iter().any(changed);
    let mut view = app.view.lock();
    if due && !(demands.is_empty() && told.is_empty()) {
        view.report_demand(app.clock.wall(), demands.clone());
        *told = demands;
    }
    let live = view.live().count();
    drop(view);
    let instance = app.settings.me.name.to_string();
    metrics::gauge!(meter::MEMBERS, "instance" => instance).set(live as f64);
    app.dispatchers
        .values()
        .for_each(|dispatcher| dispatcher.share(live as u32));
}

/// Probes a peer, then through helpers if it is silent.
async fn reach(app: &Arc<App>, probe: Probe) {
    if ping(app, &probe, None, PROBE).await.is_ok() {
        return;
    }
    let now = app.clock.now();
    let silence = app.view.lock().probe_failed(&probe.name, false, now);
    let ProbeFailure::AskHelpers(helpers) = silence else {
        return;
    };
    let member = {
        let view = app.view.lock();
        view.all().find(|member| member.name == probe.name).cloned()
    };
    for helper in helpers {
        let answer = ping(app, &helper, member.clone(), HELP).await;
        if answer.is_ok_and(|pong| pong.reached.is_some()) {
            return;
        }
    }
    app.view
        .lock()
        .probe_failed(&probe.name, true, app.clock.now());
}

/// Sends one probe and takes in what the answer says.
async fn ping(
    app: &Arc<App>,
    to: &Probe,
    probe: Option<Member>,
    limit: Duration,
) -> Result<Pong, ExchangeError> {
    let message = message(app, &to.domain, probe);
    let pong: Pong = exchange(app, to.addr, peer::PING, &message, limit).await?;
    let behind = pong.newest < app.newest_revision();
    take_in(app, &pong.from, pong.newest, pong.known, &pong.rumours);
    app.offer(pong.contracts.clone(), "a peer");
    if behind {
        // The peer's answer shows that it lacks something: the next message brings it.
        let mut message = self::message(app, &to.domain, None);
        message.contracts = app.contracts.read().newer_than(pong.newest);
        let _: Pong = exchange(app, to.addr, peer::PING, &message, limit).await?;
    }
    Ok(pong)
}

fn message(app: &App, domain: &Name, probe: Option<Member>) -> Ping {
    let mut view = app.view.lock();
    Ping {
        from: view.me().clone(),
        rumours: view.outgoing(domain),
        newest: app.newest_revision(),
        known: app.known(),
        contracts: Vec::new(),
        probe,
    }
}

/// Takes in what a message says of its sender.
fn take_in(
    app: &Arc<App>,
    from: &Member,
    newest: contract::Revision,
    known: Option<u64>,
    rumours: &[Rumour],
) {
    let now = app.clock.now();
    let mut news = Vec::new();
    let mut view = app.view.lock();
    view.probe_answered(from, now);
    for rumour in rumours {
        if view.receive(rumour.clone(), now) {
            news.push(rumour);
        }
    }
    drop(view);
    news.into_iter().for_each(|rumour| act(app, rumour));
    // A peer at the same revision that has heard from the platform later vouches for it.
    if let Some(age) = known
        && newest == app.newest_revision()
    {
        app.confirm(age);
    }
}

/// Does what follows from a piece of news.
fn act(app: &Arc<App>, rumour: &Rumour) {
    match rumour {
        Rumour::Upstream { name, leaving, .. } => crate::sync::leaving(app, name, *leaving),
        Rumour::Engine {
            name,
            version,
            leaving,
            ..
        } => {
            for dispatcher in app.dispatchers.values() {
                poll::believe(dispatcher, name, *version, *leaving);
            }
        }
        Rumour::Crashes { report, .. } => app.crashes.merge(report),
        Rumour::Member(_) | Rumour::Demand { .. } => (),
    }
}

/// Answers a probe.
pub async fn pong(app: &Arc<App>, ping: Ping) -> Pong {
    take_in(app, &ping.from, ping.newest, ping.known, &ping.rumours);
    app.offer(ping.contracts, "a peer");
    let reached = match ping.probe {
        Some(member) => match self::ping_boxed(app, &member).await {
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
        known: app.known(),
        contracts,
        reached,
    }
}

async fn ping_boxed(app: &Arc<App>, member: &Member) -> bool {
    ping(app, &Probe::of(member), None, PROBE).await.is_ok()
}

/// Tells a few peers goodbye, so that they stop counting on this instance at once.
pub async fn leave(app: &Arc<App>) {
    let probes = {
        let mut view = app.view.lock();
        view.leave();
        view.tick(app.clock.now())
    };
    for probe in probes {
        // A goodbye that is lost costs a suspicion.
        let _ = ping(app, &probe, None, PROBE).await;
    }
}
