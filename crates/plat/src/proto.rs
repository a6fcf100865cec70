//! The messages of the etcd v3 JSON mapping, as far as they are used.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// Bytes as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bytes(pub Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text.as_bytes());
        bytes.map(Self).map_err(D::Error::custom)
    }
}

impl From<&str> for Bytes {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

/// A 64-bit integer as a string; numbers are read as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int(pub i64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Loose<'a> {
    Number(i64),
    Text(std::borrow::Cow<'a, str>),
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match Loose::deserialize(deserializer)? {
            Loose::Number(number) => Ok(Self(number)),
            Loose::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

/// What every answer begins with.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Header {
    /// The revision of the store.
    #[serde(default)]
    pub revision: Int,
}

/// A key with its value.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Bytes,
    /// The value.
    #[serde(default)]
    pub value: Bytes,
    /// The revision that created it.
    #[serde(default)]
    pub create_revision: Int,
    /// The revision that changed it last.
    #[serde(default)]
    pub mod_revision: Int,
    /// The lease that it goes with.
    #[serde(default)]
    pub lease: Int,
}

/// `/v3/kv/range`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The key after the last; absent for a single key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Bytes>,
    /// Most keys to return; 0 for all.
    #[serde(default)]
    pub limit: Int,
}

/// Answer of `/v3/kv/range`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct RangeResponse {
    /// The header.
    #[serde(default)]
    pub header: Header,
    /// The keys.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
    /// Whether there are more.
    #[serde(default)]
    pub more: bool,
}

/// A put within a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct PutRequest {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The lease that it goes with; 0 for none.
    #[serde(default)]
    pub lease: Int,
}

/// A deletion within a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct DeleteRequest {
    /// The first key.
    pub key: Bytes,
    /// The key after the last; absent for a single key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Bytes>,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Op {
    /// A read.
    #[serde(default, rename = "requestRange", alias = "request_range")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range: Option<RangeRequest>,
    /// A write.
    #[serde(default, rename = "requestPut", alias = "request_put")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub put: Option<PutRequest>,
    /// A deletion.
    #[serde(default, rename = "requestDeleteRange", alias = "request_delete_range")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delete: Option<DeleteRequest>,
}

/// One condition of a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Compare {
    /// The key.
    pub key: Bytes,
    /// `EQUAL`.
    pub result: String,
    /// `MOD` or `CREATE`.
    pub target: String,
    /// The revision for `MOD`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int>,
    /// The revision for `CREATE`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int>,
}

/// `/v3/kv/txn`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct TxnRequest {
    /// The conditions.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// What to do when all hold.
    #[serde(default)]
    pub success: Vec<Op>,
    /// What to do otherwise.
    #[serde(default)]
    pub failure: Vec<Op>,
}

/// The result of one operation.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct OpResponse {
    /// The result of a read.
    #[serde(
        default,
        alias = "responseRange",
        skip_serializing_if = "Option::is_none"
    )]
    pub response_range: Option<RangeResponse>,
}

/// Answer of `/v3/kv/txn`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct TxnResponse {
    /// The header.
    #[serde(default)]
    pub header: Header,
    /// Whether all conditions held.
    #[serde(default)]
    pub succeeded: bool,
    /// The results.
    #[serde(default)]
    pub responses: Vec<OpResponse>,
}

/// `/v3/lease/grant`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct GrantRequest {
    /// Seconds to live.
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// Answer of `/v3/lease/grant`, and the inner part of that of `/v3/lease/keepalive`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct GrantResponse {
    /// The lease.
    #[serde(rename = "ID", default)]
    pub id: Int,
    /// Seconds to live; absent or 0 when there is no such lease.
    #[serde(rename = "TTL", default)]
    pub ttl: Int,
}

/// `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int,
}

/// A message of a stream.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// `/v3/watch`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreate,
}

/// What to watch.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct WatchCreate {
    /// The first key.
    pub key: Bytes,
    /// The key after the last.
    pub range_end: Bytes,
    /// The first revision.
    pub start_revision: Int,
    /// Whether to send an empty message now and then when nothing changes.
    #[serde(default)]
    pub progress_notify: bool,
}

/// One message of a watch.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct WatchResponse {
    /// The header.
    #[serde(default)]
    pub header: Header,
    /// Whether the watch has begun with this message.
    #[serde(default)]
    pub created: bool,
    /// Whether the watch is over.
    #[serde(default)]
    pub canceled: bool,
    /// The lowest revision that is left, when the asked one is compacted.
    #[serde(default)]
    pub compact_revision: Int,
    /// What changed.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A change of one key.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// `DELETE`; absent or `PUT` for a write.
    #[serde(rename = "type", default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// The key after the change.
    pub kv: KeyValue,
}

/// A refusal.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Refusal {
    /// In words.
    #[serde(default, alias = "error")]
    pub message: String,
    /// The gRPC code.
    #[serde(default)]
    pub code: i32,
}

/// The key after the last one with a prefix.
///
/// # Examples
///
/// ```
/// use plat::proto::prefix_end;
///
/// assert_eq!(prefix_end(b"/a/"), b"/a0");
/// assert_eq!(prefix_end(b"\xff"), b"\0");
/// ```
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // All keys from the first on.
    vec![0]
}
