//! Grouped creation of records, shared by the calls that wait for them.

use std::{
    collections::HashSet,
    mem,
    sync::Arc,
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

/// Values in one write; the platform takes 32 entries.
const BATCH_VALUES: usize = 30;

/// Creations that may wait.
const QUEUE_LIMIT: usize = 1_024;

/// Wait before a write that failed is tried again.
const RETRY_WAIT: Duration = Duration::from_millis(60);

/// What became of a creation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CreateOutcome {
    /// The values are there, by this creation.
    Created,
    /// The key was there before.
    Present,
    /// Nothing was written, and nothing will be.
    Refused,
    /// Whether the values are there is not known.
    Unknown,
}

/// A record to create if its key is absent, with others that go along.
#[derive(Debug)]
pub(crate) struct CreateRequest {
    /// Key that must be absent.
    pub(crate) key: String,
    /// Its value.
    pub(crate) value: Vec<u8>,
    /// Further values.
    pub(crate) others: Vec<(String, Vec<u8>)>,
    /// When the caller has to have an answer.
    pub(crate) deadline: Millis,
}

struct PendingCreate {
    request: CreateRequest,
    reply: oneshot::Sender<CreateOutcome>,
    /// Whether a write that carried it had no answer.
    unclear: bool,
}

/// Asks for creations.
#[derive(Clone, Debug)]
pub(crate) struct CreateBatcher {
    queue: mpsc::Sender<(CreateRequest, oneshot::Sender<CreateOutcome>)>,
}

impl CreateBatcher {
    /// Starts the writer on this thread.
    pub(crate) fn start<S: StoreClient>(store: S, shared: Arc<NodeShared>) -> Self {
        let (queue, asked) = mpsc::channel(QUEUE_LIMIT);
        actix_rt::spawn(write_all(store, shared, asked));
        Self { queue }
    }

    /// Creates a record; the answer comes about when the request gives up.
    pub(crate) async fn create(&self, request: CreateRequest) -> CreateOutcome {
        let (reply, outcome) = oneshot::channel();
        if self.queue.try_send((request, reply)).is_err() {
            return CreateOutcome::Refused;
        }
        outcome.await.unwrap_or(CreateOutcome::Unknown)
    }
}

async fn write_all<S: StoreClient>(
    store: S,
    shared: Arc<NodeShared>,
    mut asked: mpsc::Receiver<(CreateRequest, oneshot::Sender<CreateOutcome>)>,
) {
    let mut waiting: Vec<PendingCreate> = Vec::new();
    loop {
        if waiting.is_empty() {
            let Some((request, reply)) = asked.recv().await else {
                return;
            };
            waiting.push(PendingCreate::new(request, reply));
        }
        while let Ok((request, reply)) = asked.try_recv() {
            waiting.push(PendingCreate::new(request, reply));
        }
        give_up(&mut waiting, &shared);
        let batch = take_batch(&mut waiting);
        if batch.is_empty() {
            continue;
        }
        let sent = shared.clock.now();
        match store.swap_all(items(&batch)).await {
            Ok(BatchOutcome::Written(_)) => {
                shared.store.record_success(sent);
                for create in batch {
                    create.answer(CreateOutcome::Created);
                }
            }
            Ok(BatchOutcome::Conflict(found)) => {
                shared.store.record_success(sent);
                let mut found = found.into_iter();
                for create in batch {
                    let present = found.next().flatten().is_some();
                    // The other values of the creation come after its key.
                    for _ in &create.request.others {
                        found.next();
                    }
                    if present {
                        create.answer(CreateOutcome::Present);
                    } else {
                        waiting.push(create);
                    }
                }
            }
            Err(err) => {
                let clear = matches!(err, StoreError::Status { .. });
                shared.store.record_failure(shared.clock.now());
                event!(Warn, "create_failed", records = batch.len(), error = err);
                waiting.extend(batch.into_iter().map(|create| PendingCreate {
                    unclear: create.unclear || !clear,
                    ..create
                }));
                tokio::time::sleep(RETRY_WAIT).await;
            }
        }
    }
}

/// Answers those whose time is over, and all once this node has lost the store:
/// their callers can try another node while they have time.
fn give_up(waiting: &mut Vec<PendingCreate>, shared: &NodeShared) {
    let now = shared.clock.now();
    let lost = !shared.store.is_usable(now);
    let (over, left): (Vec<_>, Vec<_>) = mem::take(waiting)
        .into_iter()
        .partition(|create| lost || create.request.deadline <= now);
    *waiting = left;
    for create in over {
        let outcome = if create.unclear {
            CreateOutcome::Unknown
        } else {
            CreateOutcome::Refused
        };
        create.answer(outcome);
    }
}

/// Takes what goes into the next write; a key at most once, since two creations
/// of it in one write would both find it absent.
fn take_batch(waiting: &mut Vec<PendingCreate>) -> Vec<PendingCreate> {
    let mut keys = HashSet::new();
    let mut values = 0;
    let (batch, later) = mem::take(waiting).into_iter().partition(|create| {
        let size = 1 + create.request.others.len();
        let fits = values + size <= BATCH_VALUES && keys.insert(create.request.key.clone());
        values += if fits { size } else { 0 };
        fits
    });
    *waiting = later;
    batch
}

fn items(batch: &[PendingCreate]) -> Vec<SwapItem> {
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
            unclear: false,
        }
    }

    fn answer(self, outcome: CreateOutcome) {
        // A caller that is gone needs no answer.
        let _ = self.reply.send(outcome);
    }
}
