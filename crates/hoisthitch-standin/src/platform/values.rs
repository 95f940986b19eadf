//! The store's values in memory, with the revisions, leases, transactions and
//! watches of etcd.
//!
//! Every write and every deletion gets a revision of its own, unlike in etcd also
//! within a transaction. An expired lease is removed at the next read, write,
//! renewal or check of a watch.

use std::{
    collections::{
        BTreeMap,
        HashSet, //
    },
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use hoisthitch_store::message::{
    Compare,
    Event,
    KeyValue,
    LeaseResponse,
    PutRequest,
    RangeRequest,
    RangeResponse,
    RequestOp,
    ResponseHeader,
    ResponseOp,
    TxnRequest,
    TxnResponse, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Largest value, in bytes, as the platform documents it.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Changes that are kept for watches that resume; beyond it, the older half is
/// dropped.
const MAX_HISTORY_EVENTS: usize = 100_000;

/// The store's values, shared by the handlers.
pub struct ValueStore {
    inner: Mutex<StoreValues>,
    changed: watch::Sender<i64>,
}

/// Copy of the store's values at one revision.
#[derive(Clone, Default)]
pub struct StoreValues {
    revision: i64,
    values: BTreeMap<Vec<u8>, KeyValue>,
    history: Vec<Event>,
    leases: BTreeMap<i64, StoreLease>,
    next_lease: i64,
}

#[derive(Clone)]
struct StoreLease {
    ttl: Duration,
    expires: Instant,
}

/// A value is larger than the store accepts.
#[derive(Debug)]
pub struct ValueTooLarge;

/// Reason for which a transaction is refused.
#[derive(Debug)]
pub enum TxnError {
    /// A value is larger than the store accepts.
    ValueTooLarge,
    /// A key is written more than once.
    DuplicateKey,
}

impl From<ValueTooLarge> for TxnError {
    fn from(_: ValueTooLarge) -> Self {
        Self::ValueTooLarge
    }
}

impl Default for ValueStore {
    fn default() -> Self {
        let (changed, _) = watch::channel(0);
        Self {
            inner: Mutex::default(),
            changed,
        }
    }
}

impl ValueStore {
    /// Reads a range of keys.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let mut values = self.lock();
        values.expire();
        values.range(request)
    }

    /// Writes a value unconditionally.
    pub fn put(&self, request: PutRequest) -> Result<ResponseHeader, ValueTooLarge> {
        check_size(&request)?;
        let mut values = self.lock();
        values.expire();
        values.put(request);
        Ok(self.notify(&values))
    }

    /// Runs a transaction.
    ///
    /// Like etcd, refuses a transaction that writes a key more than once.
    pub fn txn(&self, request: TxnRequest) -> Result<TxnResponse, TxnError> {
        if writes_key_twice(&request.success) || writes_key_twice(&request.failure) {
            return Err(TxnError::DuplicateKey);
        }
        for operation in &request.success {
            if let Some(put) = &operation.request_put {
                check_size(put)?;
            }
        }
        let mut values = self.lock();
        values.expire();
        let succeeded = request.compare.iter().all(|compare| values.is_met(compare));
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        let responses = operations
            .into_iter()
            .map(|operation| values.apply(operation))
            .collect();
        Ok(TxnResponse {
            header: self.notify(&values),
            succeeded,
            responses,
        })
    }

    /// Grants a lease.
    pub fn grant(&self, ttl_seconds: i64) -> LeaseResponse {
        let mut values = self.lock();
        values.next_lease += 1;
        let id = values.next_lease;
        let ttl = Duration::from_secs(ttl_seconds.max(1).unsigned_abs());
        let lease = StoreLease {
            ttl,
            expires: Instant::now() + ttl,
        };
        values.leases.insert(id, lease);
        LeaseResponse {
            id,
            ttl: ttl_seconds.max(1),
        }
    }

    /// Renews a lease; the response has a TTL of zero if there is none.
    pub fn keep_alive(&self, id: i64) -> LeaseResponse {
        let mut values = self.lock();
        values.expire();
        let Some(lease) = values.leases.get_mut(&id) else {
            return LeaseResponse { id, ttl: 0 };
        };
        lease.expires = Instant::now() + lease.ttl;
        LeaseResponse {
            id,
            ttl: i64::try_from(lease.ttl.as_secs()).unwrap_or(i64::MAX),
        }
    }

    /// Revokes a lease and deletes its values.
    pub fn revoke(&self, id: i64) {
        let mut values = self.lock();
        values.drop_lease(id);
        self.notify(&values);
    }

    /// Returns the changes of a range from a revision on, and the current revision.
    pub fn changes(&self, range: &RangeRequest, from: i64) -> (Vec<Event>, i64) {
        let mut values = self.lock();
        values.expire();
        let events = values
            .history
            .iter()
            .filter(|event| event.kv.mod_revision >= from && in_range(range, &event.kv.key))
            .cloned()
            .collect();
        (events, values.revision)
    }

    /// Returns a receiver of the revision, which is notified of writes.
    pub fn subscribe(&self) -> watch::Receiver<i64> {
        self.changed.subscribe()
    }

    /// Returns the current revision.
    pub fn revision(&self) -> i64 {
        self.lock().revision
    }

    /// Returns a copy of the values, revision, history and leases.
    pub fn snapshot(&self) -> StoreValues {
        self.lock().clone()
    }

    /// Replaces the state with a copy, which returns the store to an earlier state.
    pub fn restore(&self, snapshot: StoreValues) {
        let mut values = self.lock();
        *values = snapshot;
        self.notify(&values);
    }

    fn lock(&self) -> MutexGuard<'_, StoreValues> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self, values: &StoreValues) -> ResponseHeader {
        self.changed.send_replace(values.revision);
        ResponseHeader {
            revision: values.revision,
        }
    }
}

impl StoreValues {
    fn range(&self, request: &RangeRequest) -> RangeResponse {
        let kvs = self
            .values
            .range(request.key.clone()..)
            .take_while(|(key, _)| in_range(request, key))
            .map(|(_, kv)| {
                if request.keys_only {
                    without_value(kv)
                } else {
                    kv.clone()
                }
            })
            .collect();
        RangeResponse {
            header: ResponseHeader {
                revision: self.revision,
            },
            kvs,
        }
    }

    fn is_met(&self, compare: &Compare) -> bool {
        let revision = self
            .values
            .get(&compare.key)
            .map_or(0, |kv| kv.mod_revision);
        compare.result == "EQUAL" && compare.target == "MOD" && revision == compare.mod_revision
    }

    fn apply(&mut self, operation: RequestOp) -> ResponseOp {
        if let Some(put) = operation.request_put {
            self.put(put);
        }
        if let Some(delete) = operation.request_delete_range {
            self.delete(&delete.key);
        }
        ResponseOp {
            response_range: operation.request_range.map(|range| self.range(&range)),
        }
    }

    fn put(&mut self, request: PutRequest) {
        self.revision += 1;
        let kv = KeyValue {
            key: request.key.clone(),
            value: request.value,
            mod_revision: self.revision,
            lease: request.lease,
        };
        self.values.insert(request.key, kv.clone());
        self.record(String::new(), kv);
    }

    fn delete(&mut self, key: &[u8]) {
        let Some(kv) = self.values.remove(key) else {
            return;
        };
        self.revision += 1;
        let removed = KeyValue {
            key: kv.key,
            mod_revision: self.revision,
            ..KeyValue::default()
        };
        self.record("DELETE".to_owned(), removed);
    }

    fn record(&mut self, kind: String, kv: KeyValue) {
        self.history.push(Event { kind, kv });
        if self.history.len() > MAX_HISTORY_EVENTS {
            self.history.drain(..MAX_HISTORY_EVENTS / 2);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.drop_lease(id);
        }
    }

    fn drop_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<Vec<u8>> = self
            .values
            .values()
            .filter(|kv| kv.lease == id)
            .map(|kv| kv.key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

fn without_value(kv: &KeyValue) -> KeyValue {
    KeyValue {
        key: kv.key.clone(),
        value: Vec::new(),
        ..*kv
    }
}

fn in_range(range: &RangeRequest, key: &[u8]) -> bool {
    if range.range_end.is_empty() {
        return key == range.key;
    }
    key >= range.key.as_slice() && key < range.range_end.as_slice()
}

/// Whether any key is written or deleted more than once.
fn writes_key_twice(operations: &[RequestOp]) -> bool {
    let mut keys = HashSet::new();
    operations.iter().any(|operation| {
        let put = operation.request_put.as_ref().map(|put| &put.key);
        let delete = operation.request_delete_range.as_ref();
        let written = put.or(delete.map(|delete| &delete.key));
        written.is_some_and(|key| !keys.insert(key))
    })
}

fn check_size(request: &PutRequest) -> Result<(), ValueTooLarge> {
    if request.value.len() > MAX_VALUE_BYTES {
        return Err(ValueTooLarge);
    }
    Ok(())
}
