//! Queries to the instances of a fleet.

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

/// Timeout of a query to one instance.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the size of an instance's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Delay between two status queries while waiting for a revision.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Error of a query to an instance.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum QueryError {
    /// The instance gave no usable response.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The instance responded with an error status.
    #[error("it answered with status {0}")]
    Status(StatusCode),
    /// The instance has no record of the request, step or upstream.
    #[error("it knows nothing of it")]
    Unknown,
    /// The response could not be decoded, or the request could not be encoded.
    #[error("its answer could not be understood")]
    Garbled,
}

/// The name of an instance and its response to a query.
pub type InstanceResult<T> = (Name, Result<T, QueryError>);

/// Client of the instances that the settings name.
#[derive(Clone, Debug)]
pub struct Fleet {
    peers: Vec<Peer>,
    secret: Secret,
    http: net::Client,
}

/// Instances by whether a revision is in force on them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RevisionStatus {
    /// Instances on which it is in force.
    pub in_force: Vec<Name>,
    /// Instances that have an older revision.
    pub behind: Vec<Name>,
    /// Instances whose status query failed.
    pub unanswered: Vec<Name>,
}

impl Fleet {
    /// Creates a client of these instances; `secret` authenticates the queries.
    pub fn new(peers: Vec<Peer>, secret: Secret) -> Self {
        Self {
            peers,
            secret,
            http: net::Client::new(),
        }
    }

    async fn query<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, QueryError> {
        let bytes = self.send(addr, path).await?;
        serde_json::from_slice(&bytes).map_err(|_| QueryError::Garbled)
    }

    async fn send(&self, addr: SocketAddr, path: &str) -> Result<bytes::Bytes, QueryError> {
        let request = Request::post(net::client::uri(addr, path))
            .header(peer::VERSION_HEADER, peer::VERSION)
            .header(peer::MAC_HEADER, self.secret.sign(path, b""))
            .body(bytes::Bytes::new().into())
            .map_err(|_| QueryError::Garbled)?;
        let response = self
            .http
            .fetch(request, QUERY_TIMEOUT, MAX_RESPONSE_BYTES)
            .await?;
        match response.status() {
            status if status.is_success() => Ok(response.into_body()),
            StatusCode::NOT_FOUND => Err(QueryError::Unknown),
            status => Err(QueryError::Status(status)),
        }
    }

    async fn query_all<T: DeserializeOwned>(&self, path: &str) -> Vec<InstanceResult<T>> {
        let mut results = Vec::new();
        for peer in &self.peers {
            results.push((peer.name.clone(), self.query(peer.address, path).await));
        }
        results
    }

    /// Queries the status of every instance.
    pub async fn status(&self) -> Vec<InstanceResult<Status>> {
        self.query_all("/operator/status").await
    }

    /// Queries every instance for its history of a request or an upstream.
    pub async fn explain(&self, about: &str) -> Vec<InstanceResult<SubjectHistory>> {
        self.query_all(&format!("/operator/explain/{about}")).await
    }

    /// Queries every instance for its state of a step.
    pub async fn step_state(&self, step: &str) -> Vec<InstanceResult<StepState>> {
        self.query_all(&format!("/operator/steps/{step}")).await
    }

    /// Orders an instance to drain; [`None`] when the settings do not name it.
    pub async fn drain(&self, name: &str) -> Option<Result<(), QueryError>> {
        let peer = self.peers.iter().find(|peer| *peer.name == *name)?;
        Some(self.send(peer.address, "/operator/drain").await.map(drop))
    }

    /// Waits until a revision is in force on every instance, or until `limit` has passed.
    pub async fn wait_in_force(&self, rev: Revision, limit: Duration) -> RevisionStatus {
        let deadline = Instant::now() + limit;
        loop {
            let status = self.revision_status(rev).await;
            let everywhere = status.behind.is_empty() && status.unanswered.is_empty();
            if everywhere || Instant::now() >= deadline {
                return status;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn revision_status(&self, rev: Revision) -> RevisionStatus {
        let mut instances = RevisionStatus::default();
        for (name, answer) in self.status().await {
            match answer {
                Ok(status) if status.newest >= rev => instances.in_force.push(name),
                Ok(_) => instances.behind.push(name),
                Err(_) => instances.unanswered.push(name),
            }
        }
        instances
    }
}
