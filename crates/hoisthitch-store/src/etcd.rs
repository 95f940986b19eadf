//! [`StoreClient`] for the JSON gateway of etcd v3, using `awc`.
//!
//! `awc` reports a truncated body as complete (see
//! `docs/design/upstream-hop.md`). That is detected here, since each response is
//! JSON and a truncated one does not parse.

use std::time::Duration;

use awc::{
    Client,
    error::SendRequestError, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::{
    Stream,
    StreamExt, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::{
    calls::CallCounter,
    client::{
        BatchOutcome,
        KeyRevision,
        LeaseId,
        StoreClient,
        StoreRevision,
        StoredValue,
        SwapItem,
        SwapOutcome,
        WatchEvent,
        WatchStream, //
    },
    error::StoreError,
    message::{
        self,
        KeyValue, //
    }, //
};

/// Longest response: sixteen values of a prefix, each of 1 MB in base64 with its
/// JSON envelope.
const RESPONSE_LIMIT_BYTES: usize = 32 << 20;

/// Longest line of a watch.
const LINE_LIMIT_BYTES: usize = 4 << 20;

/// Client of an etcd v3 JSON gateway.
#[derive(Clone)]
pub struct EtcdClient {
    http: Client,
    endpoint: String,
    timeout: Duration,
    calls: CallCounter,
}

impl EtcdClient {
    /// Creates a client of the gateway at `endpoint`, such as
    /// `http://127.0.0.1:2379`. Each call is limited to `timeout`, a watch only until
    /// its response begins.
    pub fn new(endpoint: &str, timeout: Duration) -> Self {
        let http = Client::builder().timeout(timeout).finish();
        Self {
            http,
            endpoint: endpoint.trim_end_matches('/').to_owned(),
            timeout,
            calls: CallCounter::default(),
        }
    }

    /// Counts of the calls to the store.
    pub fn calls(&self) -> &CallCounter {
        &self.calls
    }

    async fn call<Q, A>(&self, path: &'static str, request: &Q) -> Result<A, StoreError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let response = async {
            let url = format!("{}{path}", self.endpoint);
            let mut response = self
                .http
                .post(url)
                .send_json(request)
                .await
                .map_err(|err| self.send_error(path, &err))?;
            check_status(path, response.status().as_u16())?;
            let body = response
                .body()
                .limit(RESPONSE_LIMIT_BYTES)
                .await
                .map_err(|err| transport(path, &err.to_string()))?;
            decode(path, &body)
        };
        let limit = self.timeout;
        tokio::time::timeout(limit, response)
            .await
            .unwrap_or(Err(StoreError::Timeout { call: path, limit }))
    }

    /// Runs a transaction on a single key.
    async fn txn(&self, request: &message::TxnRequest) -> Result<SwapOutcome, StoreError> {
        self.calls.count_write();
        let response: message::TxnResponse = self.call("/v3/kv/txn", request).await?;
        if response.succeeded {
            let revision = StoreRevision(response.header.revision);
            return Ok(SwapOutcome::Written(revision));
        }
        let found = response
            .responses
            .into_iter()
            .filter_map(|op| op.response_range)
            .flat_map(|range| range.kvs)
            .next();
        let found = found.map(|kv| to_stored("/v3/kv/txn", kv)).transpose()?;
        Ok(SwapOutcome::Conflict(found))
    }

    fn send_error(&self, call: &'static str, err: &SendRequestError) -> StoreError {
        match err {
            SendRequestError::Timeout => StoreError::Timeout {
                call,
                limit: self.timeout,
            },
            other => transport(call, &other.to_string()),
        }
    }
}

impl StoreClient for EtcdClient {
    type Watch = EtcdWatch;

    async fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        const CALL: &str = "/v3/kv/range";
        self.calls.count_read();
        let request = message::RangeRequest {
            key: key.as_bytes().to_vec(),
            range_end: Vec::new(),
            keys_only: false,
        };
        let response: message::RangeResponse = self.call(CALL, &request).await?;
        response
            .kvs
            .into_iter()
            .next()
            .map(|kv| to_stored(CALL, kv))
            .transpose()
    }

    async fn read_prefix(&self, prefix: &str) -> Result<Vec<StoredValue>, StoreError> {
        const CALL: &str = "/v3/kv/range";
        self.calls.count_read();
        let request = message::RangeRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: message::prefix_end(prefix.as_bytes()),
            keys_only: false,
        };
        let response: message::RangeResponse = self.call(CALL, &request).await?;
        response
            .kvs
            .into_iter()
            .map(|kv| to_stored(CALL, kv))
            .collect()
    }

    async fn read_revisions(&self, prefix: &str) -> Result<Vec<KeyRevision>, StoreError> {
        const CALL: &str = "/v3/kv/range";
        self.calls.count_read();
        let request = message::RangeRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: message::prefix_end(prefix.as_bytes()),
            keys_only: true,
        };
        let response: message::RangeResponse = self.call(CALL, &request).await?;
        let revision = |kv| {
            let stored = to_stored(CALL, kv)?;
            Ok(KeyRevision {
                key: stored.key,
                revision: stored.revision,
            })
        };
        response.kvs.into_iter().map(revision).collect()
    }

    async fn swap(
        &self,
        key: &str,
        expected: StoreRevision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        let put = message::PutRequest {
            key: key.as_bytes().to_vec(),
            value: value.to_vec(),
            lease: lease.map_or(0, |lease| lease.0),
        };
        let operation = message::RequestOp {
            request_put: Some(put),
            ..message::RequestOp::default()
        };
        self.txn(&guarded(key, expected, operation)).await
    }

    async fn remove(&self, key: &str, expected: StoreRevision) -> Result<SwapOutcome, StoreError> {
        let delete = message::DeleteRequest {
            key: key.as_bytes().to_vec(),
        };
        let operation = message::RequestOp {
            request_delete_range: Some(delete),
            ..message::RequestOp::default()
        };
        self.txn(&guarded(key, expected, operation)).await
    }

    async fn swap_all(&self, items: Vec<SwapItem>) -> Result<BatchOutcome, StoreError> {
        const CALL: &str = "/v3/kv/txn";
        self.calls.count_write();
        let count = items.len();
        let request = batch_request(items);
        let response: message::TxnResponse = self.call(CALL, &request).await?;
        if response.succeeded {
            let revision = StoreRevision(response.header.revision);
            return Ok(BatchOutcome::Written(revision));
        }
        let found: Vec<Option<StoredValue>> = response
            .responses
            .into_iter()
            .filter_map(|op| op.response_range)
            .map(|range| range.kvs.into_iter().next())
            .map(|kv| kv.map(|kv| to_stored(CALL, kv)).transpose())
            .collect::<Result<_, _>>()?;
        if found.len() != count {
            return Err(malformed(CALL, "values are missing"));
        }
        Ok(BatchOutcome::Conflict(found))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.calls.count_write();
        let request = message::LeaseGrantRequest {
            ttl: i64::try_from(ttl.as_secs().max(1)).unwrap_or(i64::MAX),
        };
        let response: message::LeaseResponse = self.call("/v3/lease/grant", &request).await?;
        Ok(LeaseId(response.id))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.calls.count_write();
        let request = message::LeaseRequest { id: lease.0 };
        let response: message::KeepAliveResponse =
            self.call("/v3/lease/keepalive", &request).await?;
        Ok(response.result.ttl > 0)
    }

    async fn watch(&self, prefix: &str, from: StoreRevision) -> Result<EtcdWatch, StoreError> {
        const CALL: &str = "/v3/watch";
        self.calls.count_watch();
        let request = message::WatchRequest {
            create_request: message::WatchCreateRequest {
                key: prefix.as_bytes().to_vec(),
                range_end: message::prefix_end(prefix.as_bytes()),
                start_revision: from.0,
            },
        };
        let response = self
            .http
            .post(format!("{}{CALL}", self.endpoint))
            .send_json(&request)
            .await
            .map_err(|err| self.send_error(CALL, &err))?;
        check_status(CALL, response.status().as_u16())?;
        let body = response.map(|chunk| chunk.map_err(|err| transport(CALL, &err.to_string())));
        Ok(EtcdWatch {
            body: Box::pin(body),
            buffer: BytesMut::new(),
            ready: Vec::new(),
        })
    }
}

type WatchBody = std::pin::Pin<Box<dyn Stream<Item = Result<Bytes, StoreError>>>>;

/// Watch that is received as a stream of JSON lines.
pub struct EtcdWatch {
    body: WatchBody,
    buffer: BytesMut,
    /// Decoded events that were not returned yet, last first.
    ready: Vec<WatchEvent>,
}

impl WatchStream for EtcdWatch {
    async fn next(&mut self) -> Option<Result<WatchEvent, StoreError>> {
        loop {
            if let Some(event) = self.ready.pop() {
                return Some(Ok(event));
            }
            match self.decode_line() {
                Ok(true) => continue,
                Ok(false) => {}
                Err(err) => return Some(Err(err)),
            }
            match self.body.next().await? {
                Ok(chunk) => self.buffer.extend_from_slice(&chunk),
                Err(err) => return Some(Err(err)),
            }
        }
    }

    fn is_buffer_empty(&self) -> bool {
        self.ready.is_empty() && self.buffer.is_empty()
    }
}

impl EtcdWatch {
    /// Decodes one line if the buffer holds a whole one; returns whether it did.
    fn decode_line(&mut self) -> Result<bool, StoreError> {
        const CALL: &str = "/v3/watch";
        let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
            if self.buffer.len() > LINE_LIMIT_BYTES {
                return Err(malformed(CALL, "a line is too long"));
            }
            return Ok(false);
        };
        let line = self.buffer.split_to(end + 1);
        let line: message::WatchLine = decode(CALL, &line)?;
        if line.result.created {
            self.ready.push(WatchEvent::Created);
        }
        for event in line.result.events.into_iter().rev() {
            self.ready.push(to_event(CALL, event)?);
        }
        Ok(true)
    }
}

/// A transaction that writes all items, or reads all of them if one has another
/// revision than expected.
fn batch_request(items: Vec<SwapItem>) -> message::TxnRequest {
    let mut request = message::TxnRequest::default();
    for item in items {
        let operation = item_operation(&item);
        let single = guarded(&item.key, item.expected, operation);
        if item.expected != StoreRevision::ANY {
            request.compare.extend(single.compare);
        }
        request.success.extend(single.success);
        request.failure.extend(single.failure);
    }
    request
}

fn item_operation(item: &SwapItem) -> message::RequestOp {
    let key = item.key.as_bytes().to_vec();
    match &item.value {
        Some(value) => message::RequestOp {
            request_put: Some(message::PutRequest {
                key,
                value: value.clone(),
                lease: item.lease.map_or(0, |lease| lease.0),
            }),
            ..message::RequestOp::default()
        },
        None => message::RequestOp {
            request_delete_range: Some(message::DeleteRequest { key }),
            ..message::RequestOp::default()
        },
    }
}

/// A transaction that does `operation` if the key's revision is `expected`, and
/// reads the key otherwise.
fn guarded(
    key: &str,
    expected: StoreRevision,
    operation: message::RequestOp,
) -> message::TxnRequest {
    let key = key.as_bytes().to_vec();
    let read = message::RangeRequest {
        key: key.clone(),
        range_end: Vec::new(),
        keys_only: false,
    };
    message::TxnRequest {
        compare: vec![message::Compare {
            result: "EQUAL".to_owned(),
            target: "MOD".to_owned(),
            key,
            mod_revision: expected.0,
        }],
        success: vec![operation],
        failure: vec![message::RequestOp {
            request_range: Some(read),
            ..message::RequestOp::default()
        }],
    }
}

fn to_event(call: &'static str, event: message::Event) -> Result<WatchEvent, StoreError> {
    let deleted = event.kind == "DELETE";
    let stored = to_stored(call, event.kv)?;
    if deleted {
        return Ok(WatchEvent::Delete {
            key: stored.key,
            revision: stored.revision,
        });
    }
    Ok(WatchEvent::Put(stored))
}

fn to_stored(call: &'static str, kv: KeyValue) -> Result<StoredValue, StoreError> {
    let key = String::from_utf8(kv.key).map_err(|err| malformed(call, &err.to_string()))?;
    Ok(StoredValue {
        key,
        value: kv.value,
        revision: StoreRevision(kv.mod_revision),
    })
}

fn decode<A: DeserializeOwned>(call: &'static str, body: &[u8]) -> Result<A, StoreError> {
    serde_json::from_slice(body).map_err(|err| malformed(call, &err.to_string()))
}

fn check_status(call: &'static str, status: u16) -> Result<(), StoreError> {
    if status == 200 {
        return Ok(());
    }
    Err(StoreError::Status { call, status })
}

fn transport(call: &'static str, fault: &str) -> StoreError {
    StoreError::Transport {
        call,
        fault: fault.to_owned(),
    }
}

fn malformed(call: &'static str, fault: &str) -> StoreError {
    StoreError::Malformed {
        call,
        fault: fault.to_owned(),
    }
}
