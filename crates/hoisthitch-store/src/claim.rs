//! Claims of idempotency keys: a keyed request is sent only by the entry that
//! created the key's claim.
//!
//! Each key has one small record, created by compare-and-swap and removed by a
//! lease. Many claims travel in one call, so that the store's calls grow with
//! time and not with requests. See `docs/design/claims.md`.

use std::{
    collections::HashSet,
    mem,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::Instant, //
};

use crate::{
    client::{
        BatchOutcome,
        LeaseId,
        StoreClient,
        StoreRevision,
        StoredValue,
        SwapItem, //
    },
    error::StoreError,
    message::base64_bytes, //
};

/// Most claims in one call; etcd takes 128 operations in a transaction.
const BATCH_LIMIT: usize = 64;

/// Least time between two calls of one process.
const CALL_INTERVAL: Duration = Duration::from_millis(30);

/// Jobs that may wait for the store.
const QUEUE_LIMIT: usize = 10_000;

/// Time after a failed call in which new claims are refused at once.
const BREAK_TIME: Duration = Duration::from_secs(1);

/// Part of the retention after which new claims get a new lease.
const LEASE_PARTS: u32 = 4;

/// Longest time that the end of a claim is tried to be written.
const SETTLE_PATIENCE: Duration = Duration::from_secs(3_600);

/// Record of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Entry that created the claim.
    pub entry: String,
    /// Random number of the request.
    pub operation: u64,
    /// Hash of the request, to tell another request under the same key.
    pub fingerprint: u64,
    /// Answer, once there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<ClaimAnswer>,
}

/// Answer that a second try is given.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimAnswer {
    /// Status.
    pub status: u16,
    /// Media type.
    #[serde(default)]
    pub content_type: String,
    /// Body; none where it was too long to keep.
    #[serde(default)]
    pub body: Option<ClaimBody>,
}

/// Body of a kept answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimBody {
    /// The bytes.
    #[serde(with = "base64_bytes")]
    pub bytes: Vec<u8>,
}

/// What a request is told that asked for a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The request may be sent.
    Granted(ClaimTicket),
    /// Another try holds the key, or held it and was lost.
    InProgress,
    /// Another try ran.
    Answered(ClaimAnswer),
    /// The key was used for another request.
    Mismatch,
    /// The claim could not be made in time.
    Unavailable,
}

/// A claim that was granted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimTicket {
    key: String,
    revision: StoreRevision,
    record: ClaimRecord,
}

/// How a granted claim ended.
#[derive(Clone, Debug)]
pub enum ClaimResolution {
    /// The request ran.
    Ran(ClaimAnswer),
    /// The request did not run; the key is free again.
    NotRun,
}

/// Asks for claims, from any thread.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    jobs: mpsc::Sender<ClaimJob>,
}

#[derive(Debug)]
enum ClaimJob {
    Create(CreateJob),
    End(EndJob),
}

#[derive(Debug)]
struct CreateJob {
    key: String,
    record: ClaimRecord,
    deadline: Instant,
    reply: oneshot::Sender<ClaimOutcome>,
}

#[derive(Debug)]
struct EndJob {
    ticket: ClaimTicket,
    end: ClaimResolution,
    deadline: Instant,
}

impl ClaimClient {
    /// Claims a key for a request; the answer comes by `deadline`.
    pub async fn claim(&self, key: String, record: ClaimRecord, deadline: Instant) -> ClaimOutcome {
        let (reply, outcome) = oneshot::channel();
        let job = ClaimJob::Create(CreateJob {
            key,
            record,
            deadline,
            reply,
        });
        if self.jobs.try_send(job).is_err() {
            return ClaimOutcome::Unavailable;
        }
        match tokio::time::timeout_at(deadline, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => ClaimOutcome::Unavailable,
        }
    }

    /// Notes how a granted claim ended.
    ///
    /// When the note can't be taken, the key stays claimed until its lease
    /// lapses, which is safe.
    pub fn end(&self, ticket: ClaimTicket, end: ClaimResolution) {
        let job = ClaimJob::End(EndJob {
            ticket,
            end,
            deadline: Instant::now() + SETTLE_PATIENCE,
        });
        let _ = self.jobs.try_send(job);
    }
}

/// Writes claims in batches.
pub struct ClaimWriter<S> {
    store: S,
    retention: Duration,
    jobs: mpsc::Receiver<ClaimJob>,
    /// Jobs that go into the next call.
    pending: Vec<ClaimJob>,
    lease: Option<ClaimLease>,
    /// When the last call failed.
    failed: Option<Instant>,
}

#[derive(Clone, Copy)]
struct ClaimLease {
    id: LeaseId,
    renew: Instant,
}

impl<S: StoreClient> ClaimWriter<S> {
    /// Keeps claims for `retention` after their creation.
    pub fn new(store: S, retention: Duration) -> (ClaimClient, Self) {
        let (sender, jobs) = mpsc::channel(QUEUE_LIMIT);
        let writer = Self {
            store,
            retention,
            jobs,
            pending: Vec::new(),
            lease: None,
            failed: None,
        };
        (ClaimClient { jobs: sender }, writer)
    }

    /// Runs until all clients are gone.
    pub async fn run(mut self) {
        while self.gather().await {
            let started = Instant::now();
            self.commit().await;
            match self.failed {
                Some(failed) => self.refuse_until(failed + BREAK_TIME).await,
                None => tokio::time::sleep_until(started + CALL_INTERVAL).await,
            }
        }
    }

    /// Takes jobs in without a call; new claims are refused at once.
    async fn refuse_until(&mut self, end: Instant) {
        while let Ok(Some(job)) = tokio::time::timeout_at(end, self.jobs.recv()).await {
            self.accept(job);
        }
        tokio::time::sleep_until(end).await;
    }

    /// Waits for jobs; answers whether there may be more.
    async fn gather(&mut self) -> bool {
        if self.pending.is_empty() {
            let Some(job) = self.jobs.recv().await else {
                return false;
            };
            self.accept(job);
        }
        while self.pending.len() < BATCH_LIMIT {
            let Ok(job) = self.jobs.try_recv() else {
                break;
            };
            self.accept(job);
        }
        true
    }

    /// Takes a job in, or refuses it at once while the store fails.
    fn accept(&mut self, job: ClaimJob) {
        let broken = self
            .failed
            .is_some_and(|failed| failed.elapsed() < BREAK_TIME);
        match job {
            ClaimJob::Create(create) if broken => reply(create, ClaimOutcome::Unavailable),
            job => self.pending.push(job),
        }
    }

    async fn commit(&mut self) {
        self.drop_late();
        let batch = self.take_batch();
        if batch.is_empty() {
            return;
        }
        match self.swap(&batch).await {
            Ok(BatchOutcome::Written(revision)) => {
                self.failed = None;
                let freed = batch.into_iter().filter_map(|job| written(job, revision));
                self.pending.extend(freed);
            }
            Ok(BatchOutcome::Conflict(found)) => {
                self.failed = None;
                for (job, found) in batch.into_iter().zip(found) {
                    self.pending.extend(conflict(job, found));
                }
            }
            Err(_) => {
                self.failed = Some(Instant::now());
                self.pending.extend(batch);
                self.refuse_creates();
            }
        }
    }

    /// Takes the jobs of the next call, at most one for each key: two
    /// creations of a key in one transaction would both find it absent.
    fn take_batch(&mut self) -> Vec<ClaimJob> {
        let mut keys = HashSet::new();
        let (batch, later) = mem::take(&mut self.pending)
            .into_iter()
            .partition(|job| keys.len() < BATCH_LIMIT && keys.insert(job.key().to_owned()));
        self.pending = later;
        batch
    }

    async fn swap(&mut self, batch: &[ClaimJob]) -> Result<BatchOutcome, StoreError> {
        let lease = self.lease().await?;
        let items: Vec<SwapItem> = batch.iter().map(|job| job.item(lease)).collect();
        self.store.swap_all(items).await
    }

    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        if let Some(lease) = self.lease
            && Instant::now() < lease.renew
        {
            return Ok(lease.id);
        }
        let part = self.retention / LEASE_PARTS;
        let id = self.store.grant_lease(self.retention + part).await?;
        let renew = Instant::now() + part;
        self.lease = Some(ClaimLease { id, renew });
        Ok(id)
    }

    /// Gives up on jobs whose time is over.
    fn drop_late(&mut self) {
        let now = Instant::now();
        let late = |job: &ClaimJob| job.deadline() <= now;
        let (late, rest) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition::<Vec<_>, _>(late);
        self.pending = rest;
        for job in late {
            self.pending.extend(abandon(job));
        }
    }

    /// Tells waiting requests that the store fails; their claims may have been
    /// written all the same, and are freed later.
    fn refuse_creates(&mut self) {
        let jobs = std::mem::take(&mut self.pending);
        for job in jobs {
            match job {
                ClaimJob::Create(_) => self.pending.extend(abandon(job)),
                ClaimJob::End(_) => self.pending.push(job),
            }
        }
    }
}

impl ClaimJob {
    fn deadline(&self) -> Instant {
        match self {
            Self::Create(create) => create.deadline,
            Self::End(end) => end.deadline,
        }
    }

    /// Key that the job writes.
    fn key(&self) -> &str {
        match self {
            Self::Create(create) => &create.key,
            Self::End(end) => &end.ticket.key,
        }
    }

    fn item(&self, lease: LeaseId) -> SwapItem {
        match self {
            Self::Create(create) => SwapItem {
                key: create.key.clone(),
                expected: StoreRevision::default(),
                value: Some(encode(&create.record)),
                lease: Some(lease),
            },
            Self::End(end) => SwapItem {
                key: end.ticket.key.clone(),
                expected: end.ticket.revision,
                value: end.end.record(&end.ticket.record).as_ref().map(encode),
                lease: Some(lease),
            },
        }
    }
}

impl ClaimResolution {
    /// Record that the claim ends with; none where the key is freed.
    fn record(&self, claimed: &ClaimRecord) -> Option<ClaimRecord> {
        match self {
            Self::NotRun => None,
            Self::Ran(answer) => Some(ClaimRecord {
                answer: Some(answer.clone()),
                ..claimed.clone()
            }),
        }
    }
}

/// Notes that a job's write took effect; a job to go on with is returned.
fn written(job: ClaimJob, revision: StoreRevision) -> Option<ClaimJob> {
    match job {
        ClaimJob::Create(create) => grant(create, revision),
        ClaimJob::End(_) => None,
    }
}

/// Grants a claim; when the request has given up by now, its key is freed.
fn grant(create: CreateJob, revision: StoreRevision) -> Option<ClaimJob> {
    let ticket = ClaimTicket {
        key: create.key,
        revision,
        record: create.record,
    };
    let granted = ClaimOutcome::Granted(ticket.clone());
    create.reply.send(granted).err()?;
    Some(free(ticket))
}

/// A job that frees a key.
fn free(ticket: ClaimTicket) -> ClaimJob {
    ClaimJob::End(EndJob {
        ticket,
        end: ClaimResolution::NotRun,
        deadline: Instant::now() + SETTLE_PATIENCE,
    })
}

fn reply(create: CreateJob, outcome: ClaimOutcome) {
    // A request whose caller is gone needs no verdict.
    let _ = create.reply.send(outcome);
}

/// Judges one job of a batch that met a conflict; a job to go on with is
/// returned.
fn conflict(job: ClaimJob, found: Option<StoredValue>) -> Option<ClaimJob> {
    match job {
        ClaimJob::Create(create) => conflict_of_create(create, found),
        ClaimJob::End(end) => conflict_of_end(end, found),
    }
}

fn conflict_of_create(create: CreateJob, found: Option<StoredValue>) -> Option<ClaimJob> {
    let Some(stored) = found else {
        return Some(ClaimJob::Create(create));
    };
    let Ok(record) = serde_json::from_slice::<ClaimRecord>(&stored.value) else {
        reply(create, ClaimOutcome::InProgress);
        return None;
    };
    if record.operation == create.record.operation && record.entry == create.record.entry {
        return grant(create, stored.revision);
    }
    let outcome = if record.fingerprint != create.record.fingerprint {
        ClaimOutcome::Mismatch
    } else if let Some(answer) = record.answer {
        ClaimOutcome::Answered(answer)
    } else {
        ClaimOutcome::InProgress
    };
    reply(create, outcome);
    None
}

fn conflict_of_end(mut end: EndJob, found: Option<StoredValue>) -> Option<ClaimJob> {
    let stored = found?;
    let record: ClaimRecord = serde_json::from_slice(&stored.value).ok()?;
    let own = record.operation == end.ticket.record.operation;
    if !own || record.answer.is_some() {
        return None;
    }
    // The claim is there under a revision that an unclear answer hid.
    end.ticket.revision = stored.revision;
    Some(ClaimJob::End(end))
}

/// Gives up on a job. A creation may have taken effect, so its key is freed.
fn abandon(job: ClaimJob) -> Option<ClaimJob> {
    let ClaimJob::Create(create) = job else {
        return None;
    };
    let ticket = ClaimTicket {
        key: create.key.clone(),
        revision: StoreRevision::UNKNOWN,
        record: create.record.clone(),
    };
    reply(create, ClaimOutcome::Unavailable);
    Some(free(ticket))
}

fn encode(record: &ClaimRecord) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}
