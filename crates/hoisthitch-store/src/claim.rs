//! Claims of idempotency keys: a request with a key is sent only by the entry that
//! created the claim of the key.
//!
//! Each key has one small record, which is created by compare-and-swap and expires
//! with a lease. [`ClaimClient`] sends claims and their results to [`ClaimWriter`],
//! which writes many of them in one call, so that the number of calls to the store
//! grows with time and not with the number of requests. See
//! `docs/design/claims.md`.

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

/// Largest number of claims in one call; etcd allows 128 operations in a
/// transaction.
const BATCH_LIMIT: usize = 64;

/// Least time between the starts of two calls of one process.
const CALL_INTERVAL: Duration = Duration::from_millis(30);

/// Largest number of queued jobs.
const QUEUE_LIMIT: usize = 10_000;

/// Time after a failed call during which new claims are refused at once.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// A lease is replaced by a new one after the retention divided by this.
const LEASE_RENEWAL_DIVISOR: u32 = 4;

/// Time after which attempts to write the resolution of a claim end.
const RESOLUTION_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Record of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// Entry that created the claim.
    pub entry: String,
    /// Random identifier of the request.
    pub operation: u64,
    /// Hash of the request; distinguishes another request with the same key.
    pub fingerprint: u64,
    /// Response to the request, once there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<ClaimAnswer>,
}

/// Stored response, which is returned to retries of the request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    #[serde(default)]
    pub content_type: String,
    /// Body; `None` if it was too long to store.
    #[serde(default)]
    pub body: Option<ClaimBody>,
}

/// Body of a stored response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimBody {
    /// The bytes.
    #[serde(with = "base64_bytes")]
    pub bytes: Vec<u8>,
}

/// Result of claiming a key for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The request may be sent.
    Granted(ClaimTicket),
    /// Another attempt of the request holds the key, or held it and was lost.
    InProgress,
    /// Another attempt of the request ran; this is its response.
    Answered(ClaimAnswer),
    /// The key was used for a different request.
    Mismatch,
    /// The claim could not be created by the deadline.
    Unavailable,
}

/// A claim that was granted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimTicket {
    key: String,
    revision: StoreRevision,
    record: ClaimRecord,
}

/// Result of the request of a granted claim.
#[derive(Clone, Debug)]
pub enum ClaimResolution {
    /// The request ran.
    Ran(ClaimAnswer),
    /// The request did not run; the key is released.
    NotRun,
}

/// Handle for claiming keys, from any thread.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    jobs: mpsc::Sender<ClaimJob>,
}

/// Write that a [`ClaimWriter`] has to carry out.
#[derive(Debug)]
enum ClaimJob {
    Create(CreateJob),
    Resolve(ResolveJob),
}

/// Creation of a claim.
#[derive(Debug)]
struct CreateJob {
    key: String,
    record: ClaimRecord,
    deadline: Instant,
    reply: oneshot::Sender<ClaimOutcome>,
}

/// Resolution of a granted claim, or of one that may have been written.
#[derive(Debug)]
struct ResolveJob {
    ticket: ClaimTicket,
    resolution: ClaimResolution,
    deadline: Instant,
}

impl ClaimClient {
    /// Claims a key for a request; returns at `deadline` at the latest.
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

    /// Queues the resolution of a granted claim.
    ///
    /// If the queue is full, the resolution is dropped. The key then stays claimed
    /// until its lease expires, which is safe.
    pub fn end(&self, ticket: ClaimTicket, resolution: ClaimResolution) {
        let job = ClaimJob::Resolve(ResolveJob {
            ticket,
            resolution,
            deadline: Instant::now() + RESOLUTION_TIMEOUT,
        });
        let _ = self.jobs.try_send(job);
    }
}

/// Writes claims in batches.
pub struct ClaimWriter<S> {
    store: S,
    retention: Duration,
    jobs: mpsc::Receiver<ClaimJob>,
    /// Jobs for the next calls.
    pending: Vec<ClaimJob>,
    lease: Option<ClaimLease>,
    /// Time of the last call if it failed; `None` otherwise.
    failed_at: Option<Instant>,
}

/// Lease with which new claims expire.
#[derive(Clone, Copy)]
struct ClaimLease {
    id: LeaseId,
    /// Time after which new claims get another lease.
    replace_at: Instant,
}

impl<S: StoreClient> ClaimWriter<S> {
    /// Creates a writer and its client. Claims are kept for at least `retention`
    /// after their creation.
    pub fn new(store: S, retention: Duration) -> (ClaimClient, Self) {
        let (sender, jobs) = mpsc::channel(QUEUE_LIMIT);
        let writer = Self {
            store,
            retention,
            jobs,
            pending: Vec::new(),
            lease: None,
            failed_at: None,
        };
        (ClaimClient { jobs: sender }, writer)
    }

    /// Writes claims until all clients are dropped.
    pub async fn run(mut self) {
        while self.receive_jobs().await {
            let started_at = Instant::now();
            self.write_batch().await;
            match self.failed_at {
                Some(failed_at) => self.refuse_until(failed_at + FAILURE_BACKOFF).await,
                None => tokio::time::sleep_until(started_at + CALL_INTERVAL).await,
            }
        }
    }

    /// Receives jobs without calling the store; new claims are refused at once.
    async fn refuse_until(&mut self, end: Instant) {
        while let Ok(Some(job)) = tokio::time::timeout_at(end, self.jobs.recv()).await {
            self.accept(job);
        }
        tokio::time::sleep_until(end).await;
    }

    /// Waits for at least one pending job; returns false once all clients are
    /// dropped and no job is pending.
    async fn receive_jobs(&mut self) -> bool {
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

    /// Adds a job to the pending ones. New claims are refused instead shortly after
    /// a failed call.
    fn accept(&mut self, job: ClaimJob) {
        let backing_off = self
            .failed_at
            .is_some_and(|failed_at| failed_at.elapsed() < FAILURE_BACKOFF);
        match job {
            ClaimJob::Create(create) if backing_off => reply(create, ClaimOutcome::Unavailable),
            job => self.pending.push(job),
        }
    }

    /// Writes the next batch and handles its result.
    async fn write_batch(&mut self) {
        self.drop_expired();
        let batch = self.take_batch();
        if batch.is_empty() {
            return;
        }
        match self.swap(&batch).await {
            Ok(BatchOutcome::Written(revision)) => {
                self.failed_at = None;
                let follow_ups = batch.into_iter().filter_map(|job| complete(job, revision));
                self.pending.extend(follow_ups);
            }
            Ok(BatchOutcome::Conflict(found)) => {
                self.failed_at = None;
                for (job, found) in batch.into_iter().zip(found) {
                    self.pending.extend(resolve_conflict(job, found));
                }
            }
            Err(_) => {
                self.failed_at = Some(Instant::now());
                self.pending.extend(batch);
                self.refuse_creates();
            }
        }
    }

    /// Removes the jobs of the next call from the pending ones, at most one for
    /// each key: two creations of a key in one transaction would both find that
    /// the key does not exist.
    fn take_batch(&mut self) -> Vec<ClaimJob> {
        let mut keys = HashSet::new();
        let (batch, rest) = mem::take(&mut self.pending)
            .into_iter()
            .partition(|job| keys.len() < BATCH_LIMIT && keys.insert(job.key().to_owned()));
        self.pending = rest;
        batch
    }

    async fn swap(&mut self, batch: &[ClaimJob]) -> Result<BatchOutcome, StoreError> {
        let lease = self.lease().await?;
        let items: Vec<SwapItem> = batch.iter().map(|job| job.item(lease)).collect();
        self.store.swap_all(items).await
    }

    /// Returns the lease for new claims, and grants another one after a part of the
    /// retention.
    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        if let Some(lease) = self.lease
            && Instant::now() < lease.replace_at
        {
            return Ok(lease.id);
        }
        let use_time = self.retention / LEASE_RENEWAL_DIVISOR;
        let id = self.store.grant_lease(self.retention + use_time).await?;
        let replace_at = Instant::now() + use_time;
        self.lease = Some(ClaimLease { id, replace_at });
        Ok(id)
    }

    /// Abandons the pending jobs whose deadline has passed.
    fn drop_expired(&mut self) {
        let now = Instant::now();
        let is_expired = |job: &ClaimJob| job.deadline() <= now;
        let (expired, rest) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition::<Vec<_>, _>(is_expired);
        self.pending = rest;
        for job in expired {
            self.pending.extend(abandon(job));
        }
    }

    /// Refuses the pending creations after a failed call. Their claims may have
    /// been written nevertheless, so they are released later.
    fn refuse_creates(&mut self) {
        let jobs = std::mem::take(&mut self.pending);
        for job in jobs {
            match job {
                ClaimJob::Create(_) => self.pending.extend(abandon(job)),
                ClaimJob::Resolve(_) => self.pending.push(job),
            }
        }
    }
}

impl ClaimJob {
    fn deadline(&self) -> Instant {
        match self {
            Self::Create(create) => create.deadline,
            Self::Resolve(resolve) => resolve.deadline,
        }
    }

    /// Key that the job writes.
    fn key(&self) -> &str {
        match self {
            Self::Create(create) => &create.key,
            Self::Resolve(resolve) => &resolve.ticket.key,
        }
    }

    /// The compare-and-swap that carries out the job.
    fn item(&self, lease: LeaseId) -> SwapItem {
        match self {
            Self::Create(create) => SwapItem {
                key: create.key.clone(),
                expected: StoreRevision::default(),
                value: Some(encode(&create.record)),
                lease: Some(lease),
            },
            Self::Resolve(resolve) => {
                let record = resolve.resolution.record(&resolve.ticket.record);
                SwapItem {
                    key: resolve.ticket.key.clone(),
                    expected: resolve.ticket.revision,
                    value: record.as_ref().map(encode),
                    lease: Some(lease),
                }
            }
        }
    }
}

impl ClaimResolution {
    /// Final record of the claim; `None` if the key is released.
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

/// Completes a job whose write took effect; returns a follow-up job.
fn complete(job: ClaimJob, revision: StoreRevision) -> Option<ClaimJob> {
    match job {
        ClaimJob::Create(create) => grant(create, revision),
        ClaimJob::Resolve(_) => None,
    }
}

/// Grants a claim. If the request no longer waits, returns a job that releases the
/// key.
fn grant(create: CreateJob, revision: StoreRevision) -> Option<ClaimJob> {
    let ticket = ClaimTicket {
        key: create.key,
        revision,
        record: create.record,
    };
    let granted = ClaimOutcome::Granted(ticket.clone());
    create.reply.send(granted).err()?;
    Some(release_job(ticket))
}

/// A job that releases a key.
fn release_job(ticket: ClaimTicket) -> ClaimJob {
    ClaimJob::Resolve(ResolveJob {
        ticket,
        resolution: ClaimResolution::NotRun,
        deadline: Instant::now() + RESOLUTION_TIMEOUT,
    })
}

fn reply(create: CreateJob, outcome: ClaimOutcome) {
    // If the receiver was dropped, the request no longer waits for the outcome.
    let _ = create.reply.send(outcome);
}

/// Handles one job of a batch that was not written because of a conflict; returns
/// the job to carry out next.
fn resolve_conflict(job: ClaimJob, found: Option<StoredValue>) -> Option<ClaimJob> {
    match job {
        ClaimJob::Create(create) => resolve_create_conflict(create, found),
        ClaimJob::Resolve(resolve) => resolve_resolution_conflict(resolve, found),
    }
}

fn resolve_create_conflict(create: CreateJob, found: Option<StoredValue>) -> Option<ClaimJob> {
    // The key is free, so another job of the batch caused the conflict.
    let Some(stored) = found else {
        return Some(ClaimJob::Create(create));
    };
    let Ok(record) = serde_json::from_slice::<ClaimRecord>(&stored.value) else {
        reply(create, ClaimOutcome::InProgress);
        return None;
    };
    // The stored claim is this request's own: it was written earlier.
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

fn resolve_resolution_conflict(
    mut resolve: ResolveJob,
    found: Option<StoredValue>,
) -> Option<ClaimJob> {
    let stored = found?;
    let record: ClaimRecord = serde_json::from_slice(&stored.value).ok()?;
    let is_own = record.operation == resolve.ticket.record.operation;
    if !is_own || record.answer.is_some() {
        return None;
    }
    // The claim still exists. Its revision may not have been known, since the
    // response to the write that created it was lost.
    resolve.ticket.revision = stored.revision;
    Some(ClaimJob::Resolve(resolve))
}

/// Drops a job. A creation may have taken effect, so its key is released.
fn abandon(job: ClaimJob) -> Option<ClaimJob> {
    let ClaimJob::Create(create) = job else {
        return None;
    };
    let ticket = ClaimTicket {
        key: create.key.clone(),
        // The swap conflicts, and the value that it finds shows whether the key was claimed.
        revision: StoreRevision::UNKNOWN,
        record: create.record.clone(),
    };
    reply(create, ClaimOutcome::Unavailable);
    Some(release_job(ticket))
}

fn encode(record: &ClaimRecord) -> Vec<u8> {
    serde_json::to_vec(record).unwrap_or_default()
}
