//! A key-value store in memory: revisions, conditional writes, leases and watches, and the
//! faults that tests inject.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    rc::Rc,
    time::Duration, //
};

use hoisthitch_store::{
    BatchOutcome,
    KeyRevision,
    LeaseId,
    StoreClient,
    StoreError,
    StoreRevision,
    StoredValue,
    SwapItem,
    SwapOutcome,
    WatchEvent,
    WatchStream, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

/// Time of a call.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Time after which a caller's request times out.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for which a watch waits for changes.
const WATCH_TIME: Duration = Duration::from_millis(1_200);

/// The same after [`WatchStream::shorten_next_wait`].
const SHORT_WATCH_TIME: Duration = Duration::from_millis(300);

/// Period over which calls are counted.
const SECOND: Duration = Duration::from_secs(1);

/// Most entries in a write; a condition is an entry as well.
const ENTRY_LIMIT: usize = 32;

/// Faults of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// No call gets a response, and none is carried out.
    pub down: bool,
    /// Calls of these nodes are not carried out, and get no response.
    pub cut: BTreeSet<String>,
    /// Calls of these nodes are carried out, but get no response.
    pub unanswered: BTreeSet<String>,
    /// Watches of keys with this prefix get no response; empty for none.
    pub silent_watches: String,
    /// Each write of this many is carried out but gets no response; zero for none.
    pub lose_every: u64,
    /// Delay after which such writes are carried out.
    pub late: Duration,
    /// Delay added to each call.
    pub delay: Duration,
    /// Travel time of responses.
    pub response_delay: Duration,
    /// Most calls of all nodes together in a second, beyond which it refuses calls; zero for no
    /// limit.
    pub calls_per_s: u32,
}

/// Calls in the current second.
#[derive(Default)]
struct CallCount {
    since: Option<Instant>,
    calls: u32,
    /// Calls since the store was started.
    total: u64,
}

impl CallCount {
    /// Counts a call; returns the number of calls in the current second.
    fn add(&mut self, now: Instant) -> u32 {
        if self.since.is_none_or(|since| now >= since + SECOND) {
            (self.since, self.calls) = (Some(now), 0);
        }
        self.calls += 1;
        self.total += 1;
        self.calls
    }
}

#[derive(Default)]
struct StoreState {
    values: BTreeMap<String, (Vec<u8>, i64, i64)>,
    revision: i64,
    log: Vec<(i64, WatchEvent)>,
    leases: BTreeMap<i64, (Duration, Instant)>,
    next_lease: i64,
    writes: u64,
    faults: StoreFaults,
    count: CallCount,
}

/// The store, as a node calls it.
#[derive(Clone)]
pub struct MemoryStore {
    state: Rc<RefCell<StoreState>>,
    changed: Rc<watch::Sender<i64>>,
    /// Name of the calling node.
    node: String,
}

impl Default for MemoryStore {
    fn default() -> Self {
        let (changed, _) = watch::channel(0);
        Self {
            state: Rc::default(),
            changed: Rc::new(changed),
            node: "operator".to_owned(),
        }
    }
}

impl MemoryStore {
    /// The store as a node sees it.
    pub fn for_node(&self, node: &str) -> Self {
        Self {
            node: node.to_owned(),
            ..self.clone()
        }
    }

    /// Replaces the faults of the store.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.borrow_mut().faults = faults;
    }

    /// Deletes the leased values whose keys contain `part`, while their leases remain.
    pub fn revoke(&self, part: &str) {
        let keys: Vec<String> = {
            let state = self.state.borrow();
            let leased = state.values.iter().filter(|(_, value)| value.2 != 0);
            leased
                .filter(|(key, _)| key.contains(part))
                .map(|(key, _)| key.clone())
                .collect()
        };
        for key in keys {
            self.put(&key, None, 0);
        }
    }

    /// Writes or deletes a value without a condition, as operators and runners do.
    pub fn put(&self, key: &str, value: Option<&[u8]>, lease: i64) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        state.put(key, value, lease);
        self.changed.send_replace(state.revision);
    }

    /// The present value of a key, without faults.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.borrow();
        state.values.get(key).map(|value| value.0.clone())
    }

    /// Keys with a prefix, and their values, without faults.
    pub fn prefix(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.state.borrow();
        let values = state.values.iter();
        let values = values.filter(|(key, _)| key.starts_with(prefix));
        values
            .map(|(key, value)| (key.clone(), value.0.clone()))
            .collect()
    }

    /// Whether no call gets a response.
    pub fn is_down(&self) -> bool {
        self.state.borrow().faults.down
    }

    /// Revision that the store has reached.
    pub fn revision(&self) -> i64 {
        self.state.borrow().revision
    }

    /// Changes after a revision, as soon as there are some, and the revision up to which they
    /// are complete; none if there are no changes within `wait`.
    pub async fn changes(
        &self,
        prefix: &str,
        after: i64,
        wait: Duration,
    ) -> (Vec<WatchEvent>, i64) {
        let mut watch = MemoryWatch {
            store: self.clone(),
            prefix: prefix.to_owned(),
            after,
            ready: VecDeque::new(),
            complete_as_of: Instant::now(),
            next_wait_is_short: false,
        };
        let mut changed = self.changed.subscribe();
        let until = Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            self.expire();
            watch.collect_changes();
            let waited = tokio::time::timeout_at(until, changed.changed());
            if !watch.ready.is_empty() || waited.await.is_err() {
                return (watch.ready.into(), watch.after);
            }
        }
    }

    /// Number of calls of all nodes so far, with those that were refused.
    pub fn calls(&self) -> u64 {
        self.state.borrow().count.total
    }

    async fn begin_call(&self, call: &'static str) -> Result<(), StoreError> {
        let delay = self.state.borrow().faults.delay;
        if delay > CALL_TIMEOUT {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(timeout(call));
        }
        super::order::yield_in_order().await;
        tokio::time::sleep(CALL_TIME + delay).await;
        self.count_call(call)?;
        if self.is_cut() {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(timeout(call));
        }
        self.expire();
        Ok(())
    }

    /// Refuses a call beyond the store's limit for a second.
    fn count_call(&self, call: &'static str) -> Result<(), StoreError> {
        let mut state = self.state.borrow_mut();
        let calls = state.count.add(Instant::now());
        let most = state.faults.calls_per_s;
        if most > 0 && calls > most {
            return Err(StoreError::Status { call, status: 429 });
        }
        Ok(())
    }

    fn is_cut(&self) -> bool {
        let state = self.state.borrow();
        state.faults.down || state.faults.cut.contains(&self.node)
    }

    fn is_unanswered(&self) -> bool {
        self.state.borrow().faults.unanswered.contains(&self.node)
    }

    /// Waits for the travel time of the response; it times out for a node that gets no responses.
    async fn deliver_answer(&self, call: &'static str) -> Result<(), StoreError> {
        if self.is_unanswered() {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(timeout(call));
        }
        let back = self.state.borrow().faults.response_delay;
        if !back.is_zero() {
            tokio::time::sleep(back).await;
        }
        Ok(())
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        let over: Vec<i64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.1 <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            state.leases.remove(&id);
            let keys: Vec<String> = state
                .values
                .iter()
                .filter(|(_, value)| value.2 == id)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                state.revision += 1;
                state.put(&key, None, 0);
            }
        }
        self.changed.send_if_modified(|last| {
            let changed = *last != state.revision;
            *last = state.revision;
            changed
        });
    }

    fn apply(&self, items: &[SwapItem]) -> BatchOutcome {
        let mut state = self.state.borrow_mut();
        let holds = items.iter().all(|item| {
            let found = state.values.get(&item.key).map_or(0, |value| value.1);
            item.expected == StoreRevision::ANY || item.expected.0 == found
        });
        if !holds {
            let found = items.iter().map(|item| state.stored(&item.key));
            return BatchOutcome::Conflict(found.collect());
        }
        state.revision += 1;
        for item in items {
            let lease = item.lease.map_or(0, |lease| lease.0);
            state.put(&item.key, item.value.as_deref(), lease);
        }
        self.changed.send_replace(state.revision);
        BatchOutcome::Written(StoreRevision(state.revision))
    }
}

impl StoreState {
    fn put(&mut self, key: &str, value: Option<&[u8]>, lease: i64) {
        let revision = self.revision;
        let event = match value {
            Some(value) => {
                let entry = (value.to_vec(), revision, lease);
                self.values.insert(key.to_owned(), entry);
                WatchEvent::Put(StoredValue {
                    key: key.to_owned(),
                    value: value.to_vec(),
                    revision: StoreRevision(revision),
                })
            }
            None => {
                self.values.remove(key);
                WatchEvent::Delete {
                    key: key.to_owned(),
                    revision: StoreRevision(revision),
                }
            }
        };
        self.log.push((revision, event));
    }

    fn stored(&self, key: &str) -> Option<StoredValue> {
        let (value, revision, _) = self.values.get(key)?;
        Some(StoredValue {
            key: key.to_owned(),
            value: value.clone(),
            revision: StoreRevision(*revision),
        })
    }
}

/// The error for writes of more than 32 entries or with a key twice, and for single swaps, which
/// the job service doesn't use.
fn refused(call: &'static str) -> StoreError {
    StoreError::Status { call, status: 400 }
}

fn timeout(call: &'static str) -> StoreError {
    StoreError::Timeout {
        call,
        limit: CALL_TIMEOUT,
    }
}

impl StoreClient for MemoryStore {
    type Watch = MemoryWatch;

    async fn read(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        self.begin_call("read").await?;
        self.deliver_answer("read").await?;
        Ok(self.state.borrow().stored(key))
    }

    async fn read_prefix(&self, prefix: &str) -> Result<Vec<StoredValue>, StoreError> {
        self.begin_call("read_prefix").await?;
        self.deliver_answer("read_prefix").await?;
        let state = self.state.borrow();
        let keys = state.values.keys().filter(|key| key.starts_with(prefix));
        Ok(keys.filter_map(|key| state.stored(key)).collect())
    }

    async fn read_revisions(&self, prefix: &str) -> Result<Vec<KeyRevision>, StoreError> {
        let values = self.read_prefix(prefix).await?;
        let revisions = values.into_iter().map(|value| KeyRevision {
            key: value.key,
            revision: value.revision,
        });
        Ok(revisions.collect())
    }

    async fn swap(
        &self,
        _key: &str,
        _expected: StoreRevision,
        _value: &[u8],
        _lease: Option<LeaseId>,
    ) -> Result<SwapOutcome, StoreError> {
        Err(refused("single swap"))
    }

    async fn remove(
        &self,
        _key: &str,
        _expected: StoreRevision,
    ) -> Result<SwapOutcome, StoreError> {
        Err(refused("single swap"))
    }

    async fn swap_all(&self, items: Vec<SwapItem>) -> Result<BatchOutcome, StoreError> {
        // Each condition counts as a separate entry.
        let conditions = items
            .iter()
            .filter(|item| item.expected != StoreRevision::ANY);
        if items.len() + conditions.count() > ENTRY_LIMIT {
            return Err(refused("swap_all"));
        }
        let keys: BTreeSet<&String> = items.iter().map(|item| &item.key).collect();
        if keys.len() != items.len() {
            return Err(refused("swap_all"));
        }
        self.begin_call("swap_all").await?;
        let (lost, late) = {
            let mut state = self.state.borrow_mut();
            state.writes += 1;
            let every = state.faults.lose_every;
            (
                every > 0 && state.writes.is_multiple_of(every),
                state.faults.late,
            )
        };
        if !lost {
            let outcome = self.apply(&items);
            self.deliver_answer("swap_all").await?;
            return Ok(outcome);
        }
        if late.is_zero() {
            self.apply(&items);
        } else {
            let store = self.clone();
            // Not a task of the node: the write continues even if the node stops.
            super::spawn_detached(async move {
                tokio::time::sleep(late).await;
                store.apply(&items);
            });
        }
        tokio::time::sleep(CALL_TIMEOUT).await;
        Err(timeout("swap_all"))
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.begin_call("grant_lease").await?;
        let id = {
            let mut state = self.state.borrow_mut();
            state.next_lease += 1;
            let id = state.next_lease;
            state.leases.insert(id, (ttl, Instant::now() + ttl));
            id
        };
        self.deliver_answer("grant_lease").await?;
        Ok(LeaseId(id))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.begin_call("keep_alive").await?;
        let kept = {
            let mut state = self.state.borrow_mut();
            let lease = state.leases.get_mut(&lease.0);
            lease
                .map(|lease| lease.1 = Instant::now() + lease.0)
                .is_some()
        };
        self.deliver_answer("keep_alive").await?;
        Ok(kept)
    }

    async fn watch(&self, prefix: &str, _from: StoreRevision) -> Result<MemoryWatch, StoreError> {
        self.begin_call("watch").await?;
        self.deliver_answer("watch").await?;
        let watch = MemoryWatch {
            store: self.clone(),
            prefix: prefix.to_owned(),
            after: self.state.borrow().revision,
            ready: VecDeque::from([WatchEvent::Created]),
            complete_as_of: Instant::now(),
            next_wait_is_short: false,
        };
        if watch.is_silent() {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(timeout("watch"));
        }
        Ok(watch)
    }
}

/// A watch of the keys with a prefix.
pub struct MemoryWatch {
    store: MemoryStore,
    prefix: String,
    after: i64,
    ready: VecDeque<WatchEvent>,
    complete_as_of: Instant,
    /// Whether the next wait for changes is to be a short one.
    next_wait_is_short: bool,
}

impl MemoryWatch {
    /// Whether the faults suppress all events of this watch.
    fn is_silent(&self) -> bool {
        let silent = &self.store.state.borrow().faults.silent_watches;
        !silent.is_empty() && self.prefix.starts_with(silent.as_str())
    }

    fn collect_changes(&mut self) {
        let state = self.store.state.borrow();
        let news = state.log.iter().rev();
        let news = news.take_while(|(revision, _)| *revision > self.after);
        let mut news: Vec<_> = news
            .filter(|(_, event)| match event {
                WatchEvent::Put(value) => value.key.starts_with(&self.prefix),
                WatchEvent::Delete { key, .. } => key.starts_with(&self.prefix),
                WatchEvent::Created | WatchEvent::Snapshot(_) | WatchEvent::Unchanged => false,
            })
            .map(|(_, event)| event.clone())
            .collect();
        news.reverse();
        self.ready.extend(news);
        self.after = state.revision;
        self.complete_as_of = Instant::now();
    }
}

impl WatchStream for MemoryWatch {
    async fn next(&mut self) -> Option<Result<WatchEvent, StoreError>> {
        if let Some(event) = self.ready.pop_front() {
            return Some(Ok(event));
        }
        if let Err(err) = self.store.count_call("watch") {
            return Some(Err(err));
        }
        let mut changed = self.store.changed.subscribe();
        let next_wait_is_short = std::mem::take(&mut self.next_wait_is_short);
        let until = Instant::now()
            + if next_wait_is_short {
                SHORT_WATCH_TIME
            } else {
                WATCH_TIME
            };
        loop {
            changed.borrow_and_update();
            if self.store.is_cut() || self.store.is_unanswered() || self.is_silent() {
                tokio::time::sleep_until(until).await;
                return Some(Err(timeout("watch")));
            }
            self.collect_changes();
            if let Some(event) = self.ready.pop_front() {
                tokio::time::sleep(CALL_TIME).await;
                return Some(Ok(event));
            }
            if tokio::time::timeout_at(until, changed.changed())
                .await
                .is_err()
            {
                // The store may have become unreachable during the wait.
                if self.store.is_cut() || self.is_silent() {
                    return Some(Err(timeout("watch")));
                }
                self.store.expire();
                self.collect_changes();
                return Some(Ok(self.ready.pop_front().unwrap_or(WatchEvent::Unchanged)));
            }
        }
    }

    fn is_buffer_empty(&self) -> bool {
        self.ready.is_empty()
    }

    fn complete_as_of(&self) -> Option<Instant> {
        Some(self.complete_as_of)
    }

    fn shorten_next_wait(&mut self) {
        self.next_wait_is_short = true;
    }

    fn can_resume_after(&self, err: &StoreError) -> bool {
        err.is_rate_limited()
    }
}
