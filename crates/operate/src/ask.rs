//! Questions to the instances.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use contract::Revision;
use http::Request;
use http::StatusCode;
use kernel::Name;
use net::SendError;
use serde::de::DeserializeOwned;
use serve::history::SubjectHistory;
use serve::settings::Peer;
use wire::caller::StepState;
use wire::peer;
use wire::peer::Secret;
use wire::peer::Status;

/// Time that an instance has to answer.
const LIMIT: Duration = Duration::from_secs(2);

/// Bytes of an answer.
const MOST: usize = 4 << 20;

/// Pause between two questions while waiting.
const PAUSE: Duration = Duration::from_millis(100);

/// Why an instance gave no answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum AskError {
    /// It cannot be reached.
    #[error(transparent)]
    Send(#[from] SendError),
    /// It refuses.
    #[error("it answered with status {0}")]
    Status(StatusCode),
    /// It knows nothing of what was asked about.
    #[error("it knows nothing of it")]
    Unknown,
    /// Its answer is not what it should be.
    #[error("its answer could not be understood")]
    Garbled,
}

/// An instance with what it answered.
pub type Answered<T> = (Name, Result<T, AskError>);

/// The instances, as far as the settings name them.
#[derive(Clone, Debug)]
pub struct Fleet {
    peers: Vec<Peer>,
    secret: Secret,
    http: net::Client,
}

/// Which instances have a revision in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// Those that have it.
    pub there: Vec<Name>,
    /// Those that answered and do not have it.
    pub behind: Vec<Name>,
    /// Those that did not answer.
    pub silent: Vec<Name>,
}

impl Fleet {
    /// Asks these instances, with their shared key.
    pub fn new(peers: Vec<Peer>, secret: Secret) -> Self {
        Self {
            peers,
            secret,
            http: net::Client::new(),
        }
    }

    async fn ask<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T, AskError> {
        let bytes = self.send(addr, path).await?;
        serde_json::from_slice(&bytes).map_err(|_| AskError::Garbled)
    }

    async fn send(&self, addr: SocketAddr, path: &str) -> Result<bytes::Bytes, AskError> {
        let request = Request::post(net::client::uri(addr, path))
            .header(peer::VERSION_HEADER, peer::VERSION)
            .header(peer::MAC_HEADER, self.secret.sign(path, b""))
            .body(bytes::Bytes::new().into())
            .map_err(|_| AskError::Garbled)?;
        let answer = self.http.fetch(request, LIMIT, MOST).await?;
        match answer.status() {
            status if status.is_success() => Ok(answer.into_body()),
            StatusCode::NOT_FOUND => Err(AskError::Unknown),
            status => Err(AskError::Status(status)),
        }
    }

    async fn ask_all<T: DeserializeOwned>(&self, path: &str) -> Vec<Answered<T>> {
        let mut all = Vec::new();
        for peer in &self.peers {
            all.push((peer.name.clone(), self.ask(peer.address, path).await));
        }
        all
    }

    /// Asks every instance how it stands.
    pub async fn status(&self) -> Vec<Answered<Status>> {
        self.ask_all("/operator/status").await
    }

    /// Asks every instance what it knows of a request or an upstream.
    pub async fn explain(&self, about: &str) -> Vec<Answered<SubjectHistory>> {
        self.ask_all(&format!("/operator/explain/{about}")).await
    }

    /// Asks every instance how a step stands.
    pub async fn step(&self, step: &str) -> Vec<Answered<StepState>> {
        self.ask_all(&format!("/operator/steps/{step}")).await
    }

    /// Tells an instance to leave; [`None`] when the settings do not name it.
    pub async fn drain(&self, name: &str) -> Option<Result<(), AskError>> {
        let peer = self.peers.iter().find(|peer| *peer.name == *name)?;
        Some(self.send(peer.address, "/operator/drain").await.map(drop))
    }

    /// Waits until a revision is in force on every instance that can be reached.
    pub async fn wait(&self, rev: Revision, limit: Duration) -> Spread {
        let end = Instant::now() + limit;
        loop {
            let spread = self.spread(rev).await;
            let over = spread.behind.is_empty() && spread.silent.is_empty();
            if over || Instant::now() >= end {
                return spread;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn spread(&self, rev: Revision) -> Spread {
        let mut spread = Spread::default();
        for (name, answer) in self.status().await {
            match answer {
                Ok(status) if status.newest >= rev => spread.there.push(name),
                Ok(_) => spread.behind.push(name),
                Err(_) => spread.silent.push(name),
            }
        }
        spread
    }
}
