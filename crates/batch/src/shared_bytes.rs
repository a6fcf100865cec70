//! Encoding of bodies in records, as a byte string, and decoding without a copy.

use bytes::Bytes;
use serde::Deserializer;
use serde::Serializer;
use serde_bytes::ByteBuf;

pub(crate) fn serialize<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(body)
}

pub(crate) fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Bytes, D::Error> {
    let bytes: ByteBuf = serde_bytes::deserialize(deserializer)?;
    Ok(bytes.into_vec().into())
}
