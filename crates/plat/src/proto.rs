//! The messages of the etcd v3 JSON mapping that this client uses.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// Bytes, encoded as base64.
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

/// A 64-bit integer, encoded as a string; JSON numbers are accepted as well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int(pub i64);

impl Serialize for Int {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum NumberOrText<'a> {
    Number(i64),
    Text(std::borrow::Cow<'a, str>),
}

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match NumberOrText::deserialize(deserializer)? {
            NumberOrText::Number(number) => Ok(Self(number)),
            NumberOrText::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

/// The header of every answer.
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
    /// The revision that created the key.
    #[serde(default)]
    pub create_revision: Int,
    /// The revision of the last change to the key.
    #[serde(default)]
    pub mod_revision: Int,
    /// The lease that the key is attached to.
    #[serde(default)]
    pub lease: Int,
}

/// The request of `/v3/kv/range`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Bytes,
    /// The exclusive end of the range; absent for a single key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Bytes>,
    /// Maximum number of keys to return; 0 for no limit.
    #[serde(default)]
    pub limit: Int,
}

/// The answer of `/v3/kv/range`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct RangeResponse {
    /// The header.
    #[serde(default)]
    pub header: Header,
    /// The keys.
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
    /// Whether there are more keys in the range.
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
    /// The lease that the key is attached to; 0 for none.
    #[serde(default)]
    pub lease: Int,
}

/// A deletion within a transaction.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct DeleteRequest {
    /// The first key.
    pub key: Bytes,
    /// The exclusive end of the range; absent for a single key.
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
    /// The comparison; always `EQUAL`.
    pub result: String,
    /// The revision to compare: `MOD` or `CREATE`.
    pub target: String,
    /// The expected revision of the last change, for `MOD`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<Int>,
    /// The expected revision of the creation, for `CREATE`; 0 if the key must not exist.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<Int>,
}

/// The request of `/v3/kv/txn`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct TxnRequest {
    /// The conditions.
    #[serde(default)]
    pub compare: Vec<Compare>,
    /// The operations to run if all conditions hold.
    #[serde(default)]
    pub success: Vec<Op>,
    /// The operations to run otherwise.
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

/// The answer of `/v3/kv/txn`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct TxnResponse {
    /// The header.
    #[serde(default)]
    pub header: Header,
    /// Whether all conditions held.
    #[serde(default)]
    pub succeeded: bool,
    /// The results of the operations.
    #[serde(default)]
    pub responses: Vec<OpResponse>,
}

/// The request of `/v3/lease/grant`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct GrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// The answer of `/v3/lease/grant`, and the result in the answer of `/v3/lease/keepalive`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct GrantResponse {
    /// The lease.
    #[serde(rename = "ID", default)]
    pub id: Int,
    /// Time to live, in seconds; absent or 0 if the lease does not exist.
    #[serde(rename = "TTL", default)]
    pub ttl: Int,
}

/// The request of `/v3/lease/keepalive` and of `/v3/lease/revoke`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int,
}

/// One message of a streamed answer.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct StreamMessage<T> {
    /// The message.
    pub result: T,
}

/// The request of `/v3/watch`.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct WatchRequest {
    /// The watch to create.
    pub create_request: WatchCreate,
}

/// The range of keys to watch, and from which revision.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct WatchCreate {
    /// The first key.
    pub key: Bytes,
    /// The exclusive end of the range.
    pub range_end: Bytes,
    /// The first revision whose changes are reported.
    pub start_revision: Int,
    /// Whether to send an empty message periodically while nothing changes.
    #[serde(default)]
    pub progress_notify: bool,
}

/// The result in one message of a watch.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct WatchResponse {
    /// The header.
    #[serde(default)]
    pub header: Header,
    /// Whether this message confirms the creation of the watch.
    #[serde(default)]
    pub created: bool,
    /// Whether the watch has ended.
    #[serde(default)]
    pub canceled: bool,
    /// The lowest available revision, if the requested one was compacted; otherwise 0.
    #[serde(default)]
    pub compact_revision: Int,
    /// The changes.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A change of one key.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// `DELETE` for a deletion; absent or `PUT` for a write.
    #[serde(rename = "type", default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// The key after the change.
    pub kv: KeyValue,
}

/// The body of an error answer.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error text.
    #[serde(default, alias = "error")]
    pub message: String,
    /// The gRPC status code.
    #[serde(default)]
    pub code: i32,
}

/// The exclusive end of the range of keys that have a prefix.
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
    // No byte can be incremented; in etcd, this value means that the range has no end.
    vec![0]
}
