//! Messages of the etcd protocol, written from its specification and independently of the client, so that an error in
//! the client's messages does not go unnoticed.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// Bytes, serialized as a Base64 string.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Blob(pub(crate) Vec<u8>);

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

/// A 64-bit integer, serialized as a decimal string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Long(pub(crate) i64);

impl<'de> Deserialize<'de> for Long {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(Self).map_err(D::Error::custom)
    }
}

impl Serialize for Long {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(crate) struct KeyValue {
    pub(crate) key: Blob,
    pub(crate) value: Blob,
    pub(crate) create_revision: Long,
    pub(crate) mod_revision: Long,
    pub(crate) version: Long,
    pub(crate) lease: Long,
}

#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(crate) struct Event {
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub(crate) kind: Option<&'static str>,
    pub(crate) kv: KeyValue,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: Blob,
    #[serde(default)]
    pub(crate) range_end: Option<Blob>,
    #[serde(default)]
    pub(crate) limit: Long,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct PutRequest {
    pub(crate) key: Blob,
    #[serde(default)]
    pub(crate) value: Blob,
    #[serde(default)]
    pub(crate) lease: Long,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub(crate) struct Op {
    #[serde(default)]
    pub(crate) request_put: Option<PutRequest>,
    #[serde(default)]
    pub(crate) request_delete_range: Option<RangeRequest>,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct Compare {
    pub(crate) key: Blob,
    pub(crate) result: String,
    pub(crate) target: String,
    #[serde(default)]
    pub(crate) mod_revision: Long,
    #[serde(default)]
    pub(crate) create_revision: Long,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct TxnRequest {
    #[serde(default)]
    pub(crate) compare: Vec<Compare>,
    #[serde(default)]
    pub(crate) success: Vec<Op>,
    #[serde(default)]
    pub(crate) failure: Vec<Op>,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: Long,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Long,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct WatchCreateRequest {
    pub(crate) key: Blob,
    #[serde(default)]
    pub(crate) range_end: Blob,
    #[serde(default)]
    pub(crate) start_revision: Long,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreateRequest,
}

/// Returns the end of the range of keys with a prefix, exclusive.
pub(crate) fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}
