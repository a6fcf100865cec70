//! Calls of peers: signed MessagePack.

use std::sync::Arc;

use bytes::Bytes;
use http::StatusCode;
use net::Call;
use net::Reply;
use net::body;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::peer;
use wire::peer::JournalReply;
use wire::peer::JournalRequest;
use wire::peer::PeerError;

use crate::App;
use crate::gossip;
use crate::journal::ClaimOrigin;
use crate::steps;

/// Bytes of a peer's message.
const MOST: usize = 4 << 20;

/// Reads a call of a peer and checks its signature.
///
/// # Errors
///
/// Returns the refusal to send.
pub async fn check(app: &App, call: Call) -> Result<Bytes, Box<Reply>> {
    let path = call.uri.path().to_owned();
    let sign = call.header(peer::MAC_HEADER).map(str::to_owned);
    let version = call.header(peer::VERSION_HEADER).unwrap_or("").to_owned();
    let bytes = match body::read(call.body, MOST).await {
        Ok(bytes) => bytes,
        Err(error) => return Err(refuse(StatusCode::BAD_REQUEST, &error)),
    };
    if let Err(error) = app.settings.secret.check(&path, &bytes, sign.as_deref()) {
        return Err(refuse(StatusCode::FORBIDDEN, &error));
    }
    if version != peer::VERSION.to_string() {
        let error = PeerError::Version(version);
        return Err(refuse(StatusCode::BAD_REQUEST, &error));
    }
    gossip::count(app, "in", bytes.len());
    Ok(bytes)
}

fn refuse(status: StatusCode, error: &dyn std::error::Error) -> Box<Reply> {
    let text = error.to_string();
    log::warn!(target: "peer", error = text.as_str(); "refused a peer's call");
    Box::new(body::reply(status, "text/plain", text))
}

async fn message<T: DeserializeOwned>(app: &App, call: Call) -> Result<T, Box<Reply>> {
    let bytes = check(app, call).await?;
    peer::decode(&bytes).map_err(|error| refuse(StatusCode::BAD_REQUEST, &error))
}

fn answer<T: Serialize>(app: &App, value: &T) -> Reply {
    match peer::encode(value) {
        Ok(bytes) => {
            gossip::count(app, "out", bytes.len());
            body::reply(StatusCode::OK, peer::MEDIA_TYPE, bytes)
        }
        Err(error) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            body::reply(status, "text/plain", error.to_string())
        }
    }
}

/// Serves probes.
pub async fn ping(app: Arc<App>, call: Call) -> Reply {
    match message(&app, call).await {
        Ok(ping) => {
            let pong = gossip::pong(&app, ping).await;
            answer(&app, &pong)
        }
        Err(reply) => *reply,
    }
}

/// Serves questions to the journal.
pub async fn journal(app: Arc<App>, call: Call) -> Reply {
    let journaled = match message(&app, call).await {
        Ok(JournalRequest::Ask {
            key,
            print,
            attempt,
            left,
        }) => {
            let deadline = app.clock.now() + left;
            let origin = ClaimOrigin::Peer;
            let answer = app
                .journal
                .claim_local(key, print, attempt, deadline, origin)
                .await;
            JournalReply::Answer(answer.into())
        }
        Ok(JournalRequest::Note(record)) => {
            app.journal.append_local(record);
            JournalReply::Noted
        }
        Err(reply) => return *reply,
    };
    answer(&app, &journaled)
}

/// Serves pulls of a step that this instance works on, or takes over.
pub async fn pull(app: Arc<App>, call: Call) -> Reply {
    match message(&app, call).await {
        Ok(pull) => {
            let pulled = steps::serve_forwarded_pull(&app, pull).await;
            answer(&app, &pulled)
        }
        Err(reply) => *reply,
    }
}

/// Serves the news that a step is over.
pub async fn end(app: Arc<App>, call: Call) -> Reply {
    match message(&app, call).await {
        Ok(end) => {
            let known = steps::end_local(&app, &end);
            answer(&app, &known)
        }
        Err(reply) => *reply,
    }
}

/// Serves the question whether a step has ended.
pub async fn ended(app: Arc<App>, call: Call) -> Reply {
    match message(&app, call).await {
        Ok(step) => {
            let heard = steps::query_ended(&app, step).await;
            answer(&app, &heard)
        }
        Err(reply) => *reply,
    }
}
