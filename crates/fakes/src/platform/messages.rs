//! Messages of etcd v3's JSON mapping: bytes in base64, 64-bit integers as text.

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// A 64-bit integer, written as text and read from text or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Int64(pub i64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Number(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
            Form::Number(number) => Ok(Self(number)),
        }
    }
}

/// Bytes, written in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Blob(pub Vec<u8>);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        BASE64_STANDARD
            .decode(text)
            .map(Self)
            .map_err(D::Error::custom)
    }
}

/// Stands in every answer.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Header {
    /// Identity of the service.
    pub cluster_id: Int64,
    /// Identity of the answering member.
    pub member_id: Int64,
    /// Revision of the store when the answer was made.
    pub revision: Int64,
}

/// One key as stored.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// Revision of its creation.
    pub create_revision: Int64,
    /// Revision of its newest change.
    pub mod_revision: Int64,
    /// Changes since its creation, from 1.
    pub version: Int64,
    /// The value.
    pub value: Blob,
    /// Lease it is attached to; 0 for none.
    pub lease: Int64,
}

/// Reads one key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Blob,
    /// First key beyond the range; empty for one key, one zero byte for no end.
    pub range_end: Blob,
    /// Most keys answered; 0 for all.
    pub limit: Int64,
    /// Answer keys without values.
    pub keys_only: bool,
    /// Answer the count only.
    pub count_only: bool,
}

/// Answer to [`RangeRequest`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct RangeResponse {
    /// Stands in every answer.
    pub header: Header,
    /// The keys, in order.
    pub kvs: Vec<KeyValue>,
    /// Whether `limit` cut keys off.
    pub more: bool,
    /// Keys in the range.
    pub count: Int64,
}

/// Writes one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// Lease to attach it to; 0 for none.
    pub lease: Int64,
}

/// Answer to [`PutRequest`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct PutResponse {
    /// Stands in every answer.
    pub header: Header,
}

/// Deletes one key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// First key.
    pub key: Blob,
    /// As in [`RangeRequest`].
    pub range_end: Blob,
}

/// Answer to [`DeleteRangeRequest`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct DeleteRangeResponse {
    /// Stands in every answer.
    pub header: Header,
    /// Keys deleted.
    pub deleted: Int64,
}

/// How a comparison is made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// The stored value equals the given one.
    #[default]
    Equal,
    /// The stored value is greater.
    Greater,
    /// The stored value is less.
    Less,
    /// The stored value differs.
    NotEqual,
}

/// What is compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Changes since creation; 0 for a key that does not exist.
    #[default]
    Version,
    /// Revision of creation.
    Create,
    /// Revision of the newest change.
    Mod,
    /// The value.
    Value,
    /// The lease.
    Lease,
}

/// One condition of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// How.
    pub result: CompareResult,
    /// What.
    pub target: CompareTarget,
    /// The key compared.
    pub key: Blob,
    /// Operand of [`CompareTarget::Version`].
    pub version: Int64,
    /// Operand of [`CompareTarget::Create`].
    pub create_revision: Int64,
    /// Operand of [`CompareTarget::Mod`].
    pub mod_revision: Int64,
    /// Operand of [`CompareTarget::Value`].
    pub value: Blob,
    /// Operand of [`CompareTarget::Lease`].
    pub lease: Int64,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Deserialize)]
pub enum RequestOp {
    /// Reads.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    /// Writes.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    /// Deletes.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRangeRequest),
}

/// A transaction: compare, then one of two lists of operations.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Done when they hold.
    pub success: Vec<RequestOp>,
    /// Done when they do not.
    pub failure: Vec<RequestOp>,
}

/// Answer to one operation.
#[derive(Clone, Debug, Serialize)]
pub enum ResponseOp {
    /// Read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// Written.
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// Deleted.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// Answer to [`TxnRequest`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct TxnResponse {
    /// Stands in every answer.
    pub header: Header,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// One answer an operation, in order.
    pub responses: Vec<ResponseOp>,
}

/// Grants, renews or revokes a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease; 0 in a grant lets the service choose.
    #[serde(rename = "ID", alias = "id")]
    pub id: Int64,
    /// Time to live, in seconds; for a grant.
    #[serde(rename = "TTL", alias = "ttl")]
    pub ttl: Int64,
}

/// Answer to [`LeaseRequest`].
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LeaseResponse {
    /// Stands in every answer.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live, in seconds; 0 for a lease that has lapsed.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Starts a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The range and where to start.
    pub create_request: WatchCreate,
}

/// What a watch covers.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Blob,
    /// As in [`RangeRequest`].
    pub range_end: Blob,
    /// First revision of interest; 0 for changes from now on.
    pub start_revision: Int64,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventKind {
    /// A key was written.
    Put,
    /// A key was deleted.
    Delete,
}

/// One change.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Kind of the change.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The key afterwards; only key and revision for a deletion.
    pub kv: KeyValue,
}

/// One message of a watch.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WatchResponse {
    /// Stands in every answer.
    pub header: Header,
    /// Identity of the watch.
    pub watch_id: Int64,
    /// Set in the first message.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Set in the last message.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// Oldest revision kept, where the start lies before it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub compact_revision: Option<Int64>,
    /// Changes, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// Wraps the messages of a stream.
#[derive(Clone, Debug, Serialize)]
pub struct StreamItem<T> {
    /// The message.
    pub result: T,
}
