//! Handlers for messages from peers, which are signed MessagePack.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use net::Call;
use net::Reply;
use net::UploadLimits;
use net::body;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use wire::peer;
use wire::peer::JournalReply;
use wire::peer::JournalRequest;
use wire::peer::PeerError;

use crate::App;
use crate::gossip;
use crate::journal::ClaimOrigin;
use crate::steps;

/// Maximum size of a message in bytes.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Time within which a message has to be complete.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the body of a call and verifies its signature and protocol version.
///
/// # Errors
///
/// Returns the error reply to send: 403 if the signature is wrong, 400 if the body cannot be read or the version
/// is unsupported.
pub async fn verify(app: &App, call: Call) -> Result<Bytes, Box<Reply>> {
    let path = call.uri.path().to_owned();
    let signature = call.header(peer::MAC_HEADER).map(str::to_owned);
    let version = call.header(peer::VERSION_HEADER).unwrap_or("").to_owned();
    let limits = UploadLimits {
        max_bytes: MAX_MESSAGE_BYTES,
        deadline: Instant::now() + MESSAGE_TIMEOUT,
    };
    let received = app.messages.receive_bytes(call.body, &call.inbound, limits);
    let bytes = match received.await {
        Ok(bytes) => bytes,
        Err(error) => return Err(reject(StatusCode::BAD_REQUEST, &error)),
    };
    if let Err(error) = app
        .settings
        .secret
        .check(&path, &bytes, signature.as_deref())
    {
        return Err(reject(StatusCode::FORBIDDEN, &error));
    }
    if version != peer::VERSION.to_string() {
        let error = PeerError::Version(version);
        return Err(reject(StatusCode::BAD_REQUEST, &error));
    }
    gossip::count_bytes(app, "in", bytes.len());
    Ok(bytes)
}

/// Logs a rejected call and returns the error reply.
fn reject(status: StatusCode, error: &dyn std::error::Error) -> Box<Reply> {
    let text = error.to_string();
    log::warn!(target: "peer", error = text.as_str(); "rejected a call from a peer");
    Box::new(body::reply(status, "text/plain", text))
}

/// Verifies a call and decodes its message.
async fn decode_message<T: DeserializeOwned>(app: &App, call: Call) -> Result<T, Box<Reply>> {
    let bytes = verify(app, call).await?;
    peer::decode(&bytes).map_err(|error| reject(StatusCode::BAD_REQUEST, &error))
}

/// Encodes a response to a peer.
fn reply<T: Serialize>(app: &App, value: &T) -> Reply {
    match peer::encode(value) {
        Ok(bytes) => {
            gossip::count_bytes(app, "out", bytes.len());
            body::reply(StatusCode::OK, peer::MEDIA_TYPE, bytes)
        }
        Err(error) => {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            body::reply(status, "text/plain", error.to_string())
        }
    }
}

/// Handles gossip probes.
pub async fn ping(app: Arc<App>, call: Call) -> Reply {
    match decode_message(&app, call).await {
        Ok(ping) => {
            let pong = gossip::handle_ping(&app, ping).await;
            reply(&app, &pong)
        }
        Err(error) => *error,
    }
}

/// Handles journal requests of peers on shards that this instance writes.
pub async fn journal(app: Arc<App>, call: Call) -> Reply {
    let response = match decode_message(&app, call).await {
        Ok(JournalRequest::Ask {
            key,
            print,
            attempt,
            left,
        }) => {
            let deadline = app.clock.now() + left;
            let origin = ClaimOrigin::Peer;
            let decision = app
                .journal
                .claim_local(key, print, attempt, deadline, origin)
                .await;
            JournalReply::Answer(decision.into())
        }
        Ok(JournalRequest::Note(record)) => {
            app.journal.append_local(record);
            JournalReply::Noted
        }
        Err(error) => return *error,
    };
    reply(&app, &response)
}

/// Handles forwarded pulls of a step that this instance runs or takes over.
pub async fn pull(app: Arc<App>, call: Call) -> Reply {
    match decode_message(&app, call).await {
        Ok(pull) => {
            let pulled = steps::serve_forwarded_pull(&app, pull).await;
            reply(&app, &pulled)
        }
        Err(error) => *error,
    }
}

/// Handles the notification that a step has ended; replies whether this instance ran the step.
pub async fn end(app: Arc<App>, call: Call) -> Reply {
    match decode_message(&app, call).await {
        Ok(end) => {
            let is_known = steps::end_local(&app, &end);
            reply(&app, &is_known)
        }
        Err(error) => *error,
    }
}

/// Handles the query whether a step has ended.
pub async fn ended(app: Arc<App>, call: Call) -> Reply {
    match decode_message(&app, call).await {
        Ok(step) => {
            let has_ended = steps::query_ended(&app, step).await;
            reply(&app, &has_ended)
        }
        Err(error) => *error,
    }
}
