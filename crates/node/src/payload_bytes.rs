//! Encoding of a [`Payload`] as bytes in messages between instances.

use net::Payload;
use serde::Deserializer;
use serde::Serializer;
use serde_bytes::ByteBuf;

pub(crate) fn serialize<S: Serializer>(
    payload: &Payload,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    match payload.as_contiguous() {
        Some(bytes) => serializer.serialize_bytes(bytes),
        None => serializer.serialize_bytes(&payload.clone().into_bytes()),
    }
}

pub(crate) fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Payload, D::Error> {
    let bytes: ByteBuf = serde_bytes::deserialize(deserializer)?;
    Ok(bytes.into_vec().into())
}
