//! Calls of the platform that other instances make for one that it turns away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use kernel::Millis;
use plat::Answer;
use plat::Call;
use plat::PlatError;
use plat::Relay;
use plat::relay::RelayFuture;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::App;
use crate::peer;

/// Time that a relayed call may take beyond its own wait: the platform's time limit and ours.
const RELAY_TIMEOUT: Millis = 1_300;

/// Others through which a call is tried: a third of all instances may be turned away at the same time.
const MAX_RELAYS: usize = 3;

/// Makes calls of the platform through another instance.
pub(crate) struct PeerRelay(pub(crate) Weak<App>);

impl Relay for PeerRelay {
    fn relay(&self, call: Call) -> RelayFuture {
        let app = self.0.clone();
        Box::pin(async move {
            let app = app.upgrade().ok_or(PlatError::Unreachable)?;
            relay_call(&app, call).await
        })
    }
}

/// Makes a call through the instance that helped last, or through others in turn. With a third of all
/// instances turned away, one that asked a single other at random could write nothing for a second
/// whenever it met one of them.
async fn relay_call(app: &App, call: Call) -> Result<Answer, PlatError> {
    let wait = match &call {
        Call::Poll { wait, .. } => *wait,
        _ => 0,
    };
    let mut failed = PlatError::Unreachable;
    for addr in relay_candidates(app) {
        match peer::relay(app, addr, call.clone(), wait + RELAY_TIMEOUT).await {
            Some(Err(error)) if error.is_unavailable() && !error.is_indeterminate() => {
                failed = error
            }
            Some(answer) => {
                app.set_relay_peer(Some(addr));
                return answer;
            }
            // Nobody knows whether the other one has sent it.
            None => {
                app.set_relay_peer(None);
                return Err(PlatError::NoAnswer);
            }
        }
    }
    app.set_relay_peer(None);
    Err(failed)
}

/// What others say of the platform.
pub(crate) enum RelayedRead {
    /// Its answer.
    Answer(Answer),
    /// It does not serve those that answered, or there are no others.
    Unavailable,
    /// No other one answered: this instance may be cut off.
    NoReply,
}

/// Makes a read through several others at once, for an answer that is needed within `limit`: one that is not served
/// itself, or is silent, costs no time then. Each of them asks the platform, whatever it knows of it.
pub(crate) async fn relay_read(app: &Arc<App>, call: &Call, limit: Duration) -> RelayedRead {
    let end = Instant::now() + limit;
    let helpers = relay_candidates(app);
    let mut said = match helpers.is_empty() {
        true => RelayedRead::Unavailable,
        false => RelayedRead::NoReply,
    };
    let mut asks = JoinSet::new();
    for addr in helpers {
        let (app, call) = (app.clone(), call.clone());
        asks.spawn(async move { peer::relay_direct(&app, addr, call).await });
    }
    while let Ok(Some(asked)) = timeout_at(end, asks.join_next()).await {
        match asked {
            Ok(Some(Ok(answer))) => return RelayedRead::Answer(answer),
            Ok(Some(Err(error))) if error.is_unavailable() => said = RelayedRead::Unavailable,
            // It did not answer, or could not ask.
            Ok(_) | Err(_) => (),
        }
    }
    said
}

/// The instances through which a call is tried, the one that helped last first.
fn relay_candidates(app: &App) -> Vec<SocketAddr> {
    let mut others = other_addresses(app);
    others.shuffle(&mut rand::rng());
    let last = app.relay_peer();
    others.sort_by_key(|addr| Some(*addr) != last);
    others.truncate(MAX_RELAYS);
    others
}

/// The addresses of all other instances.
fn other_addresses(app: &App) -> Vec<SocketAddr> {
    let members = app.members.lock();
    let others = members
        .iter()
        .filter(|one| one.owner.instance != app.me.instance);
    others.map(|one| one.addr).collect()
}
