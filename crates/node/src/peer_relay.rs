//! Relays platform calls through other instances when the platform does not serve this one.

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

/// Time limit of a relayed call beyond its own wait, in milliseconds: the platform's time limit plus that of
/// requests between instances.
const RELAY_TIMEOUT: Millis = 1_300;

/// Number of instances through which a call is tried: the platform may not serve a third of all instances at the same
/// time.
const MAX_RELAYS: usize = 3;

/// Relays platform calls through another instance.
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

/// Makes a call through the instance that relayed last, or through others in turn. If the platform does not serve a
/// third of all instances, an instance that relayed through a single random instance could write nothing for a second
/// whenever that one was not served either.
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
            // It is unknown whether the other instance has sent the call.
            None => {
                app.set_relay_peer(None);
                return Err(PlatError::NoAnswer);
            }
        }
    }
    app.set_relay_peer(None);
    Err(failed)
}

/// The outcome of a read relayed through other instances.
pub(crate) enum RelayedRead {
    /// The platform's answer.
    Answer(Answer),
    /// The platform does not serve those that replied, or there are no other instances.
    Unavailable,
    /// No other instance replied: this one may be disconnected from the network.
    NoReply,
}

/// Makes a read through several other instances concurrently, for an answer that is needed within `limit`: an instance
/// that is not served itself or does not reply costs no time then. Each of them calls the platform even if its own
/// last calls were refused.
pub(crate) async fn relay_read(app: &Arc<App>, call: &Call, limit: Duration) -> RelayedRead {
    let end = Instant::now() + limit;
    let relays = relay_candidates(app);
    let mut outcome = match relays.is_empty() {
        true => RelayedRead::Unavailable,
        false => RelayedRead::NoReply,
    };
    let mut calls = JoinSet::new();
    for addr in relays {
        let (app, call) = (app.clone(), call.clone());
        calls.spawn(async move { peer::relay_direct(&app, addr, call).await });
    }
    while let Ok(Some(result)) = timeout_at(end, calls.join_next()).await {
        match result {
            Ok(Some(Ok(answer))) => return RelayedRead::Answer(answer),
            Ok(Some(Err(error))) if error.is_unavailable() => outcome = RelayedRead::Unavailable,
            // The instance did not reply, or its call has failed in another way.
            Ok(_) | Err(_) => (),
        }
    }
    outcome
}

/// Returns the instances through which a call is tried, the one that relayed last first.
fn relay_candidates(app: &App) -> Vec<SocketAddr> {
    let mut candidates = other_addresses(app);
    candidates.shuffle(&mut rand::rng());
    let last = app.relay_peer();
    candidates.sort_by_key(|addr| Some(*addr) != last);
    candidates.truncate(MAX_RELAYS);
    candidates
}

/// Returns the addresses of all other instances.
fn other_addresses(app: &App) -> Vec<SocketAddr> {
    let members = app.members.lock();
    let others = members
        .iter()
        .filter(|member| member.owner.instance != app.me.instance);
    others.map(|member| member.addr).collect()
}
