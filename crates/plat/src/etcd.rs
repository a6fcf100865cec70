//! The [`Protocol`] of the etcd v3 JSON mapping.

use http::Method;
use http::StatusCode;

use crate::Answer;
use crate::Call;
use crate::Delete;
use crate::Guard;
use crate::HttpRequest;
use crate::Item;
use crate::Lease;
use crate::PlatError;
use crate::Protocol;
use crate::Range;
use crate::Txn;
use crate::TxnOutcome;
use crate::proto;
use crate::protocol::decode_json;
use crate::protocol::encode_json;

/// Milliseconds in a second, the unit of the time to live of etcd leases.
const SECOND_MS: u64 = 1_000;

/// The etcd v3 JSON mapping over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct Etcd;

impl Protocol for Etcd {
    fn encode(&self, call: &Call) -> Result<HttpRequest, PlatError> {
        let (path, body) = match call {
            Call::Get(key) => ("/v3/kv/range", encode_json(&key_request(key))?),
            Call::List { prefix, after, .. } => (
                "/v3/kv/range",
                encode_json(&prefix_request(prefix, after.as_deref()))?,
            ),
            Call::Txn(txn) => ("/v3/kv/txn", encode_json(&txn_request(txn))?),
            Call::Grant(ttl) => {
                let ttl = proto::Int(ttl.div_ceil(SECOND_MS) as i64);
                (
                    "/v3/lease/grant",
                    encode_json(&proto::GrantRequest { ttl })?,
                )
            }
            Call::Renew(id) => ("/v3/lease/keepalive", encode_json(&lease_request(*id))?),
            Call::Revoke(id) => ("/v3/lease/revoke", encode_json(&lease_request(*id))?),
            // This protocol streams watches instead; see `Client::watch`.
            Call::Poll { .. } => return Err(PlatError::Unsupported),
        };
        Ok(HttpRequest {
            method: Method::POST,
            path: path.into(),
            body,
        })
    }

    fn decode(&self, call: &Call, status: StatusCode, body: &[u8]) -> Result<Answer, PlatError> {
        if !status.is_success() {
            return Err(decode_error(status, body));
        }
        match call {
            Call::Get(_) | Call::List { .. } => range_answer(decode_json(body)?),
            Call::Txn(_) => {
                let answer: proto::TxnResponse = decode_json(body)?;
                Ok(Answer::Done(match answer.succeeded {
                    true => TxnOutcome::At(answer.header.revision.0),
                    false => TxnOutcome::Conflict,
                }))
            }
            Call::Grant(_) => {
                let answer: proto::GrantResponse = decode_json(body)?;
                Ok(Answer::Lease(Lease {
                    id: answer.id.0,
                    ttl: answer.ttl.0.max(0) as u64 * SECOND_MS,
                }))
            }
            Call::Renew(_) => {
                let answer: proto::StreamMessage<proto::GrantResponse> = decode_json(body)?;
                Ok(Answer::Alive(answer.result.ttl.0 > 0))
            }
            Call::Revoke(_) => Ok(Answer::Alive(false)),
            Call::Poll { .. } => Err(PlatError::Unsupported),
        }
    }
}

fn key_request(key: &str) -> proto::RangeRequest {
    proto::RangeRequest {
        key: key.into(),
        ..Default::default()
    }
}

fn prefix_request(prefix: &str, after: Option<&str>) -> proto::RangeRequest {
    // The smallest key greater than `after` is `after` with a zero byte appended.
    let from = after.map_or_else(|| prefix.to_owned(), |after| format!("{after}\0"));
    proto::RangeRequest {
        key: from.as_str().into(),
        range_end: Some(proto::Bytes(proto::prefix_end(prefix.as_bytes()))),
        ..Default::default()
    }
}

fn lease_request(id: i64) -> proto::LeaseRequest {
    let id = proto::Int(id);
    proto::LeaseRequest { id }
}

fn range_answer(answer: proto::RangeResponse) -> Result<Answer, PlatError> {
    let items: Result<_, _> = answer.kvs.into_iter().map(decode_item).collect();
    Ok(Answer::Range(Range {
        items: items?,
        rev: answer.header.revision.0,
        more: answer.more,
    }))
}

pub(crate) fn decode_item(kv: proto::KeyValue) -> Result<Item, PlatError> {
    Ok(Item {
        key: String::from_utf8(kv.key.0).map_err(|_| PlatError::Garbled)?,
        value: kv.value.0,
        rev: kv.mod_revision.0,
    })
}

fn txn_request(txn: &Txn) -> proto::TxnRequest {
    let puts = txn.puts.iter().map(|put| proto::Op {
        put: Some(proto::PutRequest {
            key: put.key.as_str().into(),
            value: proto::Bytes(put.value.clone()),
            lease: proto::Int(put.lease),
        }),
        ..Default::default()
    });
    let deletes = txn.deletes.iter().map(|delete| proto::Op {
        delete: Some(delete_request(delete)),
        ..Default::default()
    });
    proto::TxnRequest {
        compare: txn.guards.iter().map(compare).collect(),
        success: puts.chain(deletes).collect(),
        failure: Vec::new(),
    }
}

fn delete_request(delete: &Delete) -> proto::DeleteRequest {
    match delete {
        Delete::Key(key) => proto::DeleteRequest {
            key: key.as_str().into(),
            range_end: None,
        },
        Delete::Span(first, end) => proto::DeleteRequest {
            key: first.as_str().into(),
            range_end: Some(end.as_str().into()),
        },
    }
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

fn decode_error(status: StatusCode, body: &[u8]) -> PlatError {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            PlatError::Unavailable(status.as_u16())
        }
        // A gateway that times out does not tell whether the write was applied.
        StatusCode::GATEWAY_TIMEOUT | StatusCode::INTERNAL_SERVER_ERROR => PlatError::NoAnswer,
        _ => {
            let error: proto::ErrorBody = serde_json::from_slice(body).unwrap_or_default();
            PlatError::Refused(error.message.into())
        }
    }
}
