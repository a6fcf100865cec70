//! Calls of the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use net::client::JsonError;
use net::client::uri;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Budget;
use crate::PlatError;
use crate::Watch;
use crate::budget::Kind;
use crate::proto;

/// Time that a call may take.
const LIMIT: Duration = Duration::from_millis(2_000);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision that changed it last.
    pub rev: i64,
}

/// What a read gave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Range {
    /// The items in the order of their keys.
    pub items: Vec<Item>,
    /// The revision of the store at the time of the read.
    pub rev: i64,
}

/// A condition on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Guard {
    /// It does not exist.
    Absent(String),
    /// It was changed last at this revision.
    At(String, i64),
}

impl Guard {
    /// The condition that a key is at a revision, which is 0 when the key must not exist.
    pub fn on(key: impl Into<String>, rev: i64) -> Self {
        match rev {
            0 => Self::Absent(key.into()),
            rev => Self::At(key.into(), rev),
        }
    }
}

/// A write of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that it goes with; 0 for none.
    pub lease: i64,
}

impl Put {
    /// A write without a lease.
    pub fn new(key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        Self {
            key: key.into(),
            value: value.into(),
            lease: 0,
        }
    }
}

/// A transaction: if every guard holds, all is written and deleted, else nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub guards: Vec<Guard>,
    /// The writes.
    pub puts: Vec<Put>,
    /// Ranges to delete: the first key and the key after the last.
    pub deletes: Vec<(String, String)>,
}

/// What came of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
    /// It took effect at this revision.
    At(i64),
    /// A guard did not hold; nothing was written.
    Conflict,
}

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its identifier.
    pub id: i64,
    /// Seconds to live.
    pub ttl: i64,
}

/// A client of the platform's key-value service.
#[derive(Clone, Debug)]
pub struct Client {
    addrs: Arc<[SocketAddr]>,
    http: net::Client,
    budget: Arc<Budget>,
}

impl Client {
    /// Makes a client that tries the addresses in turn when one cannot be connected to.
    pub fn new(addrs: impl Into<Arc<[SocketAddr]>>) -> Self {
        Self {
            addrs: addrs.into(),
            http: net::Client::new(),
            budget: Arc::new(Budget::default()),
        }
    }

    /// The calls that were made.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Waits for the turn of a call.
    async fn turn(&self, kind: Kind) -> Result<(), PlatError> {
        let wait = self.budget.reserve(kind).ok_or(PlatError::Budget)?;
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        Ok(())
    }

    async fn call<T: Serialize, R: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        request: &T,
    ) -> Result<R, PlatError> {
        self.turn(kind).await?;
        for addr in &*self.addrs {
            let uri = uri(*addr, path);
            match self.http.json(Method::POST, &uri, request, LIMIT).await {
                Ok(answer) => return Ok(answer),
                Err(error) if error.is_unsent() => (),
                Err(error) => return Err(fault(error)),
            }
        }
        Err(PlatError::Unreachable)
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn get(&self, key: &str) -> Result<Option<Item>, PlatError> {
        let request = proto::RangeRequest {
            key: key.into(),
            ..Default::default()
        };
        let range = self.read(&request).await?;
        Ok(range.items.into_iter().next())
    }

    /// Reads every key with a prefix.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn list(&self, prefix: &str) -> Result<Range, PlatError> {
        self.between(prefix, prefix).await
    }

    /// Reads the keys from `first` on that have a prefix.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn between(&self, first: &str, prefix: &str) -> Result<Range, PlatError> {
        let end = proto::end(prefix.as_bytes());
        let request = proto::RangeRequest {
            key: first.into(),
            range_end: Some(proto::Bytes(end)),
            ..Default::default()
        };
        self.read(&request).await
    }

    async fn read(&self, request: &proto::RangeRequest) -> Result<Range, PlatError> {
        let answer: proto::RangeResponse = self.call(Kind::Read, "/v3/kv/range", request).await?;
        let items: Result<_, _> = answer.kvs.into_iter().map(item).collect();
        Ok(Range {
            items: items?,
            rev: answer.header.revision.0,
        })
    }

    /// Carries out a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`]; [`PlatError::is_unclear`] tells whether it may have taken effect.
    pub async fn txn(&self, txn: &Txn) -> Result<Done, PlatError> {
        let deletes = txn.deletes.iter().map(|(first, end)| proto::Op {
            delete: Some(proto::DeleteRequest {
                key: first.as_str().into(),
                range_end: Some(end.as_str().into()),
            }),
            ..Default::default()
        });
        let puts = txn.puts.iter().map(|put| proto::Op {
            put: Some(proto::PutRequest {
                key: put.key.as_str().into(),
                value: proto::Bytes(put.value.clone()),
                lease: proto::Int(put.lease),
            }),
            ..Default::default()
        });
        let request = proto::TxnRequest {
            compare: txn.guards.iter().map(compare).collect(),
            success: puts.chain(deletes).collect(),
            failure: Vec::new(),
        };
        let answer: proto::TxnResponse = self.call(Kind::Write, "/v3/kv/txn", &request).await?;
        match answer.succeeded {
            true => Ok(Done::At(answer.header.revision.0)),
            false => Ok(Done::Conflict),
        }
    }

    /// Asks for a lease that lives `ttl` seconds unless renewed.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn grant(&self, ttl: i64) -> Result<Lease, PlatError> {
        let ttl = proto::Int(ttl);
        let request = proto::GrantRequest { ttl };
        let answer: proto::GrantResponse =
            self.call(Kind::Lease, "/v3/lease/grant", &request).await?;
        Ok(Lease {
            id: answer.id.0,
            ttl: answer.ttl.0,
        })
    }

    /// Renews a lease; tells whether the platform still had it.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn renew(&self, lease: i64) -> Result<bool, PlatError> {
        let id = proto::Int(lease);
        let request = proto::LeaseRequest { id };
        let answer: proto::Streamed<proto::GrantResponse> = self
            .call(Kind::Lease, "/v3/lease/keepalive", &request)
            .await?;
        Ok(answer.result.ttl.0 > 0)
    }

    /// Ends a lease; its keys go with it.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn revoke(&self, lease: i64) -> Result<(), PlatError> {
        let id = proto::Int(lease);
        let request = proto::LeaseRequest { id };
        let _: serde_json::Value = self.call(Kind::Lease, "/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Watches every key with a prefix from a revision on.
    ///
    /// # Errors
    ///
    /// Returns [`PlatError`].
    pub async fn watch(&self, prefix: &str, from: i64) -> Result<Watch, PlatError> {
        self.turn(Kind::Watch).await?;
        let request = proto::WatchRequest {
            create_request: proto::WatchCreate {
                key: prefix.into(),
                range_end: proto::Bytes(proto::end(prefix.as_bytes())),
                start_revision: proto::Int(from),
                progress_notify: true,
            },
        };
        let bytes = serde_json::to_vec(&request).map_err(|_| PlatError::Garbled)?;
        for addr in &*self.addrs {
            let request = Request::post(uri(*addr, "/v3/watch"))
                .header(http::header::CONTENT_TYPE, "application/json")
                .body(Full::new(Bytes::from(bytes.clone())))
                .map_err(|_| PlatError::Garbled)?;
            match self.http.send(request, LIMIT).await {
                Ok(answer) if answer.status() == StatusCode::OK => {
                    return Ok(Watch::new(answer.into_body()));
                }
                Ok(answer) => return Err(PlatError::TurnedAway(answer.status().as_u16())),
                Err(error) if error.is_unsent() => (),
                Err(_) => return Err(PlatError::Silent),
            }
        }
        Err(PlatError::Unreachable)
    }
}

fn fault(error: JsonError) -> PlatError {
    match error {
        JsonError::Encode | JsonError::Send(net::SendError::Garbled) => PlatError::Garbled,
        JsonError::Send(_) => PlatError::Silent,
        JsonError::Status { status, body } => refusal(status, &body),
    }
}

fn refusal(status: StatusCode, body: &str) -> PlatError {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            PlatError::TurnedAway(status.as_u16())
        }
        // A gateway's own time limit says nothing about the write behind it.
        StatusCode::GATEWAY_TIMEOUT | StatusCode::INTERNAL_SERVER_ERROR => PlatError::Silent,
        _ => {
            let refusal: proto::Refusal = serde_json::from_str(body).unwrap_or_default();
            PlatError::Refused(refusal.message.into())
        }
    }
}

pub(crate) fn item(kv: proto::KeyValue) -> Result<Item, PlatError> {
    Ok(Item {
        key: String::from_utf8(kv.key.0).map_err(|_| PlatError::Garbled)?,
        value: kv.value.0,
        rev: kv.mod_revision.0,
    })
}

fn compare(guard: &Guard) -> proto::Compare {
    match guard {
        Guard::Absent(key) => proto::Compare {
            key: key.as_str().into(),
            result: "EQUAL".into(),
            target: "CREATE".into(),
            create_revision: Some(proto::Int(0)),
            mod_revision: None,
        },
        Guard::At(key, rev) => proto::Compare {
            key: key.as_str().into(),
            result: "EQUAL".into(),
            target: "MOD".into(),
            create_revision: None,
            mod_revision: Some(proto::Int(*rev)),
        },
    }
}
