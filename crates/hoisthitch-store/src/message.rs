//! Messages of the etcd v3 JSON gateway, as far as hoisthitch uses them.
//!
//! Source: `rpc.proto` of the etcd v3 API in its JSON mapping, where 64-bit
//! numbers are strings and bytes are base64.

use serde::{
    Deserialize,
    Serialize, //
};

/// Serde mapping of bytes to base64.
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

/// Serde mapping of 64-bit numbers to strings.
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

/// Header of each response.
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
    /// Revision of the last write of the value.
    #[serde(with = "text_number")]
    pub mod_revision: i64,
    /// Lease with which the value expires; zero for none.
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
    /// Whether values are omitted from the response.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub keys_only: bool,
}

/// Response to a [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Values in the range, ordered by key.
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
    /// Lease with which the value expires; zero for none.
    #[serde(with = "text_number")]
    pub lease: i64,
}

/// Deletes a value.
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
    /// Compared property; hoisthitch uses `MOD`, the revision of the last write.
    pub target: String,
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Expected revision; zero if the key must not exist.
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
    /// A deletion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// Transaction: checks conditions, then carries out one of two lists of operations.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Operations if all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations if a condition does not hold.
    pub failure: Vec<RequestOp>,
}

/// Result of one operation of a [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ResponseOp {
    /// Result of a read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Response to a [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Results of the operations that were carried out.
    pub responses: Vec<ResponseOp>,
}

/// Request to grant a lease.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL", with = "text_number")]
    pub ttl: i64,
}

/// Response to lease calls.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "ID", with = "text_number")]
    pub id: i64,
    /// Time to live, in seconds; zero if the lease has expired.
    #[serde(rename = "TTL", with = "text_number")]
    pub ttl: i64,
}

/// Request on an existing lease.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID", with = "text_number")]
    pub id: i64,
}

/// Wrapper of [`LeaseResponse`] in the response to a keep-alive.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KeepAliveResponse {
    /// The response.
    pub result: LeaseResponse,
}

/// Request to create a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Range to watch.
    pub create_request: WatchCreateRequest,
}

/// Range and start of a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// End of the range; empty for one key.
    #[serde(with = "base64_bytes")]
    pub range_end: Vec<u8>,
    /// First revision to report; zero for new changes only.
    #[serde(with = "text_number")]
    pub start_revision: i64,
}

/// One line of a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchLine {
    /// Content of the line.
    pub result: WatchResponse,
}

/// Content of a line of a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Whether the line confirms that the watch was created.
    pub created: bool,
    /// Changes in the range.
    pub events: Vec<Event>,
}

/// Change of one value.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Event {
    /// `PUT` (the default, omitted in JSON) or `DELETE`.
    #[serde(rename = "type", skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// The key and its value; the value is empty after a deletion.
    pub kv: KeyValue,
}

/// Exclusive end of the range of keys that start with `prefix`.
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
