//! Messages of etcd v3's JSON mapping: bytes in base64, 64-bit integers as strings.

use base64::{Engine, prelude::BASE64_STANDARD};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// A 64-bit integer, written as a string and read from a string or a number.
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
        enum Repr {
            Text(String),
            Number(i64),
        }
        match Repr::deserialize(deserializer)? {
            Repr::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
            Repr::Number(number) => Ok(Self(number)),
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

/// Header of every response.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Header {
    /// ID of the cluster.
    pub cluster_id: Int64,
    /// ID of the responding member.
    pub member_id: Int64,
    /// Revision of the store at the time of the response.
    pub revision: Int64,
}

/// One key as stored.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KeyValue {
    pub key: Blob,
    /// Revision of its creation.
    pub create_revision: Int64,
    /// Revision of its latest change.
    pub mod_revision: Int64,
    /// Number of changes since its creation, which counts as the first.
    pub version: Int64,
    pub value: Blob,
    /// ID of the attached lease; 0 for none.
    pub lease: Int64,
}

/// Reads one key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Blob,
    /// End of the range, exclusive; empty for a single key, one zero byte for no end.
    pub range_end: Blob,
    /// Maximum number of keys returned; 0 for no limit.
    pub limit: Int64,
    /// Returns keys without values.
    pub keys_only: bool,
    /// Returns the count only.
    pub count_only: bool,
}

/// Response to [`RangeRequest`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct RangeResponse {
    pub header: Header,
    pub kvs: Vec<KeyValue>,
    /// Whether `limit` left out keys.
    pub more: bool,
    /// Number of keys in the range, regardless of `limit`.
    pub count: Int64,
}

/// Writes one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    pub key: Blob,
    pub value: Blob,
    /// ID of the lease to attach; 0 for none.
    pub lease: Int64,
}

/// Response to [`PutRequest`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct PutResponse {
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

/// Response to [`DeleteRangeRequest`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct DeleteRangeResponse {
    pub header: Header,
    /// Number of keys deleted.
    pub deleted: Int64,
}

/// Relation between the stored and the given value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// The stored value is equal.
    #[default]
    Equal,
    /// The stored value is greater.
    Greater,
    /// The stored value is less.
    Less,
    /// The stored value is not equal.
    NotEqual,
}

/// Property of a key that is compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// [`KeyValue::version`]; 0 for a key that does not exist.
    #[default]
    Version,
    /// [`KeyValue::create_revision`]; 0 for a key that does not exist.
    Create,
    /// [`KeyValue::mod_revision`]; 0 for a key that does not exist.
    Mod,
    /// [`KeyValue::value`]; no comparison holds for a key that does not exist.
    Value,
    /// [`KeyValue::lease`]; 0 for a key that does not exist.
    Lease,
}

/// One condition of a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Relation that must hold.
    pub result: CompareResult,
    /// Property that is compared.
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
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRangeRequest),
}

/// A transaction, which executes one of two lists of operations.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Operations executed if all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations executed otherwise.
    pub failure: Vec<RequestOp>,
}

/// Response to one operation.
#[derive(Clone, Debug, Serialize)]
pub enum ResponseOp {
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// Response to [`TxnRequest`].
#[derive(Clone, Debug, Default, Serialize)]
pub struct TxnResponse {
    pub header: Header,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Responses to the executed operations, in order.
    pub responses: Vec<ResponseOp>,
}

/// Grants, renews or revokes a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// ID of the lease; 0 in a grant lets the service choose.
    #[serde(rename = "ID", alias = "id")]
    pub id: Int64,
    /// Time to live in seconds; used by a grant only.
    #[serde(rename = "TTL", alias = "ttl")]
    pub ttl: Int64,
}

/// Response to [`LeaseRequest`].
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LeaseResponse {
    pub header: Header,
    /// ID of the lease.
    #[serde(rename = "ID")]
    pub id: Int64,
    /// Time to live in seconds; 0 if the lease does not exist.
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

/// Starts a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Range and start of the watch.
    pub create_request: WatchCreate,
}

/// Range and start of a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Blob,
    /// As in [`RangeRequest`].
    pub range_end: Blob,
    /// First revision to report; 0 for changes from now on.
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
    /// The key after the change; for a deletion, only key and revision.
    pub kv: KeyValue,
}

/// A message of a watch.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WatchResponse {
    pub header: Header,
    /// ID of the watch.
    pub watch_id: Int64,
    /// Set in the first message only.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    /// Set if the watch ends with this message.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub canceled: bool,
    /// Oldest revision available, if the requested start has been compacted.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub compact_revision: Option<Int64>,
    /// Changes, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// Wrapper of each message of a stream.
#[derive(Clone, Debug, Serialize)]
pub struct StreamItem<T> {
    /// The message.
    pub result: T,
}
