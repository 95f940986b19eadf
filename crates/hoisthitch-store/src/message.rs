//! Messages of the etcd v3 JSON gateway that hoisthitch uses.
//!
//! Source: the etcd v3 API's `rpc.proto` in its JSON mapping, where 64-bit
//! numbers are strings and bytes are base64.

use serde::{
    Deserialize,
    Serialize, //
};

/// Base64 mapping of bytes.
pub mod base64_bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    /// Writes bytes as base64.
    ///
    /// # Errors
    ///
    /// Fails as the serializer does.
    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    /// Reads bytes from base64.
    ///
    /// # Errors
    ///
    /// Fails when the text is not base64.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}

/// String mapping of 64-bit numbers.
pub mod text_number {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum TextNumber {
        Text(String),
        Number(i64),
    }

    /// Writes a number as a string.
    ///
    /// # Errors
    ///
    /// Fails as the serializer does.
    pub fn serialize<S: Serializer>(number: &i64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&number.to_string())
    }

    /// Reads a number from a string or a number.
    ///
    /// # Errors
    ///
    /// Fails when it is neither.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        match TextNumber::deserialize(deserializer)? {
            TextNumber::Number(number) => Ok(number),
            TextNumber::Text(text) => text.parse().map_err(D::Error::custom),
        }
    }
}

/// Header of each answer.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// Revision of the store.
    #[serde(with = "text_number")]
    pub revision: i64,
}

/// A key with its value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Revision that last wrote the value.
    #[serde(with = "text_number")]
    pub mod_revision: i64,
    /// Lease that the value goes with; zero for none.
    #[serde(with = "text_number")]
    pub lease: i64,
}

/// Reads a key or a range of keys.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// End of the range; empty for one key.
    #[serde(with = "base64_bytes")]
    pub range_end: Vec<u8>,
    /// Whether values are left out of the answer.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub keys_only: bool,
}

/// Answer to a [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Values found, ordered by key.
    pub kvs: Vec<KeyValue>,
}

/// Writes a value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Lease that the value goes with; zero for none.
    #[serde(with = "text_number")]
    pub lease: i64,
}

/// Removes a value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
}

/// Condition of a [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Compare {
    /// Comparison; hoisthitch uses `EQUAL`.
    pub result: String,
    /// What is compared; hoisthitch uses `MOD`.
    pub target: String,
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Revision compared with; zero where the key must not exist.
    #[serde(with = "text_number")]
    pub mod_revision: i64,
}

/// One operation of a [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RequestOp {
    /// A read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A removal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// Compares, then does one of two lists of operations.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations if they hold.
    pub success: Vec<RequestOp>,
    /// Operations if they don't.
    pub failure: Vec<RequestOp>,
}

/// Result of one operation of a [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ResponseOp {
    /// Result of a read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Answer to a [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Results of the operations that were done.
    pub responses: Vec<ResponseOp>,
}

/// Asks for a lease.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL", with = "text_number")]
    pub ttl: i64,
}

/// Answer to lease calls.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "ID", with = "text_number")]
    pub id: i64,
    /// Time to live, in seconds; zero when the lease has lapsed.
    #[serde(rename = "TTL", with = "text_number")]
    pub ttl: i64,
}

/// Names a lease.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID", with = "text_number")]
    pub id: i64,
}

/// Wrapper of [`LeaseResponse`] in the answer to a keep-alive.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// The answer.
    pub result: LeaseResponse,
}

/// Opens a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreateRequest,
}

/// What to watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// End of the range; empty for one key.
    #[serde(with = "base64_bytes")]
    pub range_end: Vec<u8>,
    /// First revision of interest; zero for new changes only.
    #[serde(with = "text_number")]
    pub start_revision: i64,
}

/// One line of a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchLine {
    /// The line's content.
    pub result: WatchResponse,
}

/// Content of a line of a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Whether the line says that the watch is in place.
    pub created: bool,
    /// Changes.
    pub events: Vec<Event>,
}

/// Change of one value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Event {
    /// `PUT`, which is the default, or `DELETE`.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// The value; without content where it was removed.
    pub kv: KeyValue,
}

/// End of the range of keys that start with `prefix`.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
