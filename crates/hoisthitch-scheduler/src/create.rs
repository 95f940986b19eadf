//! Creation of records in batches.
//!
//! [`CreateBatcher`] is given records that must not exist yet, writes many of them in one swap, and
//! returns the outcome of each. A key is never created twice, and the outcome says whether a record
//! may exist.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    mem,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration, //
};

use hoisthitch_jobs::Millis;
use hoisthitch_store::{
    BatchOutcome,
    StoreClient,
    StoreError,
    StoreRevision,
    SwapItem, //
};
use hoisthitch_telemetry::event;
use tokio::sync::{
    mpsc,
    oneshot, //
};

use crate::shared::NodeShared;

/// Largest number of values in one write; the platform takes 32 entries.
const MAX_BATCH_VALUES: usize = 30;

/// Largest number of creations in the queue of the writer.
const QUEUE_CAPACITY: usize = 1_024;

/// Wait before a failed write is retried.
const RETRY_WAIT: Duration = Duration::from_millis(60);

/// Time for which a creation that has ended is remembered, in milliseconds: longer than a read of
/// its key that began before.
const CREATE_KEPT_MS: Millis = 5_000;

/// Number of remembered creations from which on old ones are dropped at each new one.
const KEPT_CREATES: usize = 4_096;

/// Outcome of a creation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CreateOutcome {
    /// This creation wrote the values.
    Created,
    /// The key existed already.
    Present,
    /// Nothing was written, and nothing will be.
    Refused,
    /// Whether the values were written is not known.
    Unknown,
}

/// A record to create if its key is absent, with other values that are written in the same swap.
#[derive(Debug)]
pub(crate) struct CreateRequest {
    /// Key that must be absent.
    pub(crate) key: String,
    /// Its value.
    pub(crate) value: Vec<u8>,
    /// Further keys and their values.
    pub(crate) others: Vec<(String, Vec<u8>)>,
    /// Time by which the caller needs an answer.
    pub(crate) deadline: Millis,
}

/// The creations of this node that wait or are being written, and those that have taken effect
/// lately, or may have, by key. All threads of the node share it.
#[derive(Debug, Default)]
pub(crate) struct CreateLog {
    creates: Mutex<HashMap<String, LoggedCreates>>,
}

/// Creations of one key.
#[derive(Clone, Copy, Debug, Default)]
struct LoggedCreates {
    /// Number of those that have no outcome yet.
    pending: u32,
    /// Time until which the key is remembered beyond them.
    kept_until: Millis,
}

impl CreateLog {
    /// Whether a creation of this key may take effect, or may have done so lately.
    pub(crate) fn may_exist(&self, key: &str, now: Millis) -> bool {
        let creates = self.creates.lock().unwrap_or_else(PoisonError::into_inner);
        creates.get(key).is_some_and(|create| create.is_kept(now))
    }

    fn begin(&self, key: &str, now: Millis) {
        let mut creates = self.creates.lock().unwrap_or_else(PoisonError::into_inner);
        if creates.len() >= KEPT_CREATES {
            creates.retain(|_, create| create.is_kept(now));
        }
        creates.entry(key.to_owned()).or_default().pending += 1;
    }

    /// Records the outcome of a creation, and returns what its caller may be told: while another
    /// creation of the key may take effect, it is not known that there is none.
    fn finish(&self, key: &str, outcome: CreateOutcome, now: Millis) -> CreateOutcome {
        let mut creates = self.creates.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(create) = creates.get_mut(key) else {
            return outcome;
        };
        create.pending = create.pending.saturating_sub(1);
        if outcome != CreateOutcome::Refused {
            create.kept_until = now + CREATE_KEPT_MS;
        }
        if !create.is_kept(now) {
            creates.remove(key);
            return outcome;
        }
        match outcome {
            CreateOutcome::Refused => CreateOutcome::Unknown,
            outcome => outcome,
        }
    }
}

impl LoggedCreates {
    fn is_kept(&self, now: Millis) -> bool {
        self.pending > 0 || self.kept_until > now
    }
}

struct PendingCreate {
    request: CreateRequest,
    reply: oneshot::Sender<CreateOutcome>,
    /// Whether a write that contained it may have taken effect.
    outcome_unknown: bool,
}

/// Hands creations to the writer.
#[derive(Clone, Debug)]
pub(crate) struct CreateBatcher {
    queue: mpsc::Sender<(CreateRequest, oneshot::Sender<CreateOutcome>)>,
    shared: Arc<NodeShared>,
}

impl CreateBatcher {
    /// Starts the writer on this thread.
    pub(crate) fn start<S: StoreClient>(store: S, shared: Arc<NodeShared>) -> Self {
        let (queue, requests) = mpsc::channel(QUEUE_CAPACITY);
        actix_rt::spawn(run_writer(store, shared.clone(), requests));
        Self { queue, shared }
    }

    /// Creates a record. Returns by about the request's deadline.
    pub(crate) async fn create(&self, request: CreateRequest) -> CreateOutcome {
        let (reply, outcome) = oneshot::channel();
        let log = &self.shared.creates;
        let now = self.shared.clock.now();
        // Only refusals ask for it.
        if self.shared.terms.admission_control {
            log.begin(&request.key, now);
        }
        if let Err(unsent) = self.queue.try_send((request, reply)) {
            let (request, _) = unsent.into_inner();
            return log.finish(&request.key, CreateOutcome::Refused, now);
        }
        outcome.await.unwrap_or(CreateOutcome::Unknown)
    }
}

/// Writes the requested creations in batches until all [`CreateBatcher`]s are dropped.
async fn run_writer<S: StoreClient>(
    store: S,
    shared: Arc<NodeShared>,
    mut requests: mpsc::Receiver<(CreateRequest, oneshot::Sender<CreateOutcome>)>,
) {
    let mut waiting: Vec<PendingCreate> = Vec::new();
    loop {
        if waiting.is_empty() {
            let Some((request, reply)) = requests.recv().await else {
                return;
            };
            waiting.push(PendingCreate::new(request, reply));
        }
        while let Ok((request, reply)) = requests.try_recv() {
            waiting.push(PendingCreate::new(request, reply));
        }
        answer_expired(&mut waiting, &shared);
        let batch = take_batch(&mut waiting);
        if batch.is_empty() {
            continue;
        }
        let sent = shared.clock.now();
        match store.swap_all(swap_items(&batch)).await {
            Ok(BatchOutcome::Written(_)) => {
                shared.store.record_success(sent);
                for create in batch {
                    create.answer(CreateOutcome::Created, &shared);
                }
            }
            Ok(BatchOutcome::Conflict(found)) => {
                shared.store.record_success(sent);
                let mut found = found.into_iter();
                for create in batch {
                    let present = found.next().flatten().is_some();
                    // The values found for the creation's other keys follow that of its key.
                    for _ in &create.request.others {
                        found.next();
                    }
                    if present {
                        create.answer(CreateOutcome::Present, &shared);
                    } else {
                        waiting.push(create);
                    }
                }
            }
            Err(err) => {
                let is_rejected = matches!(err, StoreError::Status { .. });
                shared.store.record_failure(shared.clock.now());
                event!(Warn, "create_failed", records = batch.len(), error = err);
                waiting.extend(batch.into_iter().map(|create| PendingCreate {
                    outcome_unknown: create.outcome_unknown || !is_rejected,
                    ..create
                }));
                tokio::time::sleep(RETRY_WAIT).await;
            }
        }
    }
}

/// Answers the creations whose deadline has passed, and all of them once this node has lost the
/// store: their callers then have time to try another node.
fn answer_expired(waiting: &mut Vec<PendingCreate>, shared: &NodeShared) {
    let now = shared.clock.now();
    let lost = !shared.store.is_usable(now);
    let (expired, remaining): (Vec<_>, Vec<_>) = mem::take(waiting)
        .into_iter()
        .partition(|create| lost || create.request.deadline <= now);
    *waiting = remaining;
    for create in expired {
        let outcome = if create.outcome_unknown {
            CreateOutcome::Unknown
        } else {
            CreateOutcome::Refused
        };
        create.answer(outcome, shared);
    }
}

/// Removes and returns the creations for the next write. It contains each key at most once, since
/// two creations of a key in one write would both find it absent.
fn take_batch(waiting: &mut Vec<PendingCreate>) -> Vec<PendingCreate> {
    let mut keys = HashSet::new();
    let mut values = 0;
    let (batch, later) = mem::take(waiting).into_iter().partition(|create| {
        let size = 1 + create.request.others.len();
        let fits = values + size <= MAX_BATCH_VALUES && keys.insert(create.request.key.clone());
        values += if fits { size } else { 0 };
        fits
    });
    *waiting = later;
    batch
}

fn swap_items(batch: &[PendingCreate]) -> Vec<SwapItem> {
    let item = |key: &String, expected: StoreRevision, value: &Vec<u8>| SwapItem {
        key: key.clone(),
        expected,
        value: Some(value.clone()),
        lease: None,
    };
    batch
        .iter()
        .flat_map(|create| {
            let request = &create.request;
            let first = item(&request.key, StoreRevision::default(), &request.value);
            let others = request
                .others
                .iter()
                .map(move |(key, value)| item(key, StoreRevision::ANY, value));
            std::iter::once(first).chain(others)
        })
        .collect()
}

impl PendingCreate {
    fn new(request: CreateRequest, reply: oneshot::Sender<CreateOutcome>) -> Self {
        Self {
            request,
            reply,
            outcome_unknown: false,
        }
    }

    fn answer(self, outcome: CreateOutcome, shared: &NodeShared) {
        let now = shared.clock.now();
        let outcome = shared.creates.finish(&self.request.key, outcome, now);
        // Fails only if the caller no longer waits.
        let _ = self.reply.send(outcome);
    }
}
