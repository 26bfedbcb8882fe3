//! Messages of etcd v3 in their JSON mapping.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::{Deserializer, Error, Visitor};
use serde::{Deserialize, Serialize, Serializer};

/// Bytes, encoded in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Base64(pub(super) Bytes);

/// A 64-bit integer, written as a string and read from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Int64(pub(super) u64);

#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct RangeRequest {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<Int64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<Int64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    pub revision: Int64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Kv {
    pub key: Base64,
    pub value: Base64,
    pub mod_revision: Int64,
    pub create_revision: Int64,
    pub version: Int64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub header: Header,
    pub kvs: Vec<Kv>,
    pub more: bool,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct Compare {
    pub key: Base64,
    pub target: &'static str,
    pub result: &'static str,
    pub mod_revision: Int64,
}

#[derive(Clone, Debug, Serialize)]
pub(super) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct PutRequest {
    pub key: Base64,
    pub value: Base64,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct DeleteRequest {
    pub key: Base64,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub header: Header,
    pub succeeded: bool,
    pub responses: Vec<ResponseOp>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ResponseOp {
    pub response_range: Option<RangeResponse>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct WatchRequest {
    pub create_request: WatchCreate,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct WatchCreate {
    pub key: Base64,
    pub range_end: Base64,
    pub start_revision: Int64,
    pub progress_notify: bool,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct WatchMessage {
    pub result: WatchResponse,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub header: Header,
    pub created: bool,
    pub canceled: bool,
    pub cancel_reason: String,
    pub compact_revision: Int64,
    pub events: Vec<Event>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Event {
    #[serde(rename = "type")]
    pub kind: EventKind,
    pub kv: Kv,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub(super) enum EventKind {
    #[default]
    #[serde(rename = "PUT")]
    Put,
    #[serde(rename = "DELETE")]
    Delete,
}

/// Returns the exclusive end of the range of all keys that start with `prefix`.
pub(super) fn prefix_end(prefix: &str) -> Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end.into();
        }
    }
    // etcd reads a zero byte as "no upper limit".
    Bytes::from_static(&[0])
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Int64Visitor)
    }
}

struct Int64Visitor;

impl Visitor<'_> for Int64Visitor {
    type Value = Int64;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a 64-bit integer, as a string or a number")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Int64, E> {
        text.parse().map(Int64).map_err(E::custom)
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Int64, E> {
        Ok(Int64(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Int64, E> {
        u64::try_from(number).map(Int64).map_err(E::custom)
    }
}
