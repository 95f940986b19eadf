//! The desk of a node: takes jobs in and answers for them.
//!
//! A job is accepted once its submission lies in the store. What is answered of
//! a job is read from there, so that every node answers alike.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    sync::Arc, //
};

use hoisthitch_jobs::{
    JobPhase,
    JobProgress,
    JobSpec,
    JobSubmission,
    Millis, //
};
use hoisthitch_store::{
    StoreClient,
    StoreError, //
};
use hoisthitch_telemetry::event;

use crate::{
    journal::encode,
    keys::JobKeys,
    pending::{
        CreateClient,
        CreateOutcome,
        CreateRequest, //
    },
    platform::QueueRoute,
    shared::NodeShared, //
};

/// Jobs whose pool and end are remembered.
const MEMORY_LIMIT: usize = 20_000;

/// Age up to which counts that were read are told again, in milliseconds.
const COUNT_AGE_MS: Millis = 300;

/// Answer to a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitAnswer {
    /// The job is kept.
    Accepted,
    /// The job was not taken and never runs.
    Refused,
    /// Whether the job is kept is not known.
    Unknown,
}

/// Answer to a question for a job's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusAnswer {
    /// The job's state.
    Known(JobPhase),
    /// There is no such job.
    Absent,
    /// The state can't be read now.
    Unknown,
}

/// Answer to a cancel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelAnswer {
    /// The cancel is kept.
    Accepted,
    /// There is no such job.
    Absent,
    /// Whether the cancel is kept is not known.
    Unknown,
}

#[derive(Clone, Debug)]
struct JobMemory {
    pool: String,
    end: Option<JobPhase>,
}

/// Waiting jobs of a pool by queue, and when they were read.
#[derive(Clone, Debug)]
struct CountMemory {
    read_at: Millis,
    counts: HashMap<String, u32>,
}

/// Takes jobs in, on one thread.
#[derive(Clone)]
pub struct JobDesk<S> {
    store: S,
    shared: Arc<NodeShared>,
    keys: JobKeys,
    creates: CreateClient,
    memory: Rc<RefCell<HashMap<String, JobMemory>>>,
    counts: Rc<RefCell<HashMap<String, CountMemory>>>,
}

impl<S: StoreClient> JobDesk<S> {
    /// Opens the desk.
    pub fn open(store: S, shared: Arc<NodeShared>, keys: JobKeys) -> Self {
        let creates = CreateClient::start(store.clone(), shared.clone());
        Self {
            store,
            shared,
            keys,
            creates,
            memory: Rc::default(),
            counts: Rc::default(),
        }
    }

    /// Takes a job in.
    pub async fn submit(
        &self,
        queue: &QueueRoute,
        id: &str,
        spec: JobSpec,
        give_up: Millis,
    ) -> SubmitAnswer {
        let started = self.shared.clock.now();
        if !self.shared.store.is_usable(started) {
            self.note("submit", id, &queue.name, "store_lost", started);
            return SubmitAnswer::Refused;
        }
        let submission = JobSubmission {
            queue: queue.name.clone(),
            policy: queue.policy,
            version: self.shared.policy_version(),
            accepted_ms: self.shared.clock.today_ms(),
            spec,
        };
        let request = CreateRequest {
            key: self.keys.location(id),
            value: queue.pool.clone().into_bytes(),
            others: vec![(self.keys.submission(&queue.pool, id), encode(&submission))],
            give_up,
        };
        let outcome = self.creates.create(request).await;
        let (answer, word) = match outcome {
            CreateOutcome::Created => {
                self.remember(id, &queue.pool, None);
                (SubmitAnswer::Accepted, "accepted")
            }
            CreateOutcome::Present => (SubmitAnswer::Accepted, "present"),
            CreateOutcome::Refused => (SubmitAnswer::Refused, "refused"),
            CreateOutcome::Unknown => (SubmitAnswer::Unknown, "unknown"),
        };
        self.note("submit", id, &queue.name, word, started);
        answer
    }

    /// What the node's threads share.
    pub fn shared(&self) -> &NodeShared {
        &self.shared
    }

    /// Tells how far a job is, and the pool that runs it; nothing when there is
    /// no such job.
    ///
    /// # Errors
    ///
    /// Fails as the store does.
    pub async fn describe(&self, id: &str) -> Result<Option<(String, JobProgress)>, StoreError> {
        let Some(memory) = self.locate(id).await? else {
            return Ok(None);
        };
        let progress = self.read_progress(&memory.pool, id).await?;
        Ok(Some((memory.pool, progress.unwrap_or_default())))
    }

    /// Tells a job's state.
    pub async fn status(&self, id: &str) -> StatusAnswer {
        match self.read_status(id).await {
            Ok(Some(phase)) => StatusAnswer::Known(phase),
            Ok(None) => StatusAnswer::Absent,
            Err(err) => {
                self.shared.store.note_failure(self.shared.clock.now());
                event!(Warn, "status_unknown", job = id, error = err);
                StatusAnswer::Unknown
            }
        }
    }

    async fn read_status(&self, id: &str) -> Result<Option<JobPhase>, StoreError> {
        let Some(memory) = self.locate(id).await? else {
            return Ok(None);
        };
        if let Some(end) = memory.end {
            return Ok(Some(end));
        }
        let Some(progress) = self.read_progress(&memory.pool, id).await? else {
            return Ok(Some(JobPhase::Queued));
        };
        if progress.phase.is_final() {
            self.remember(id, &memory.pool, Some(progress.phase));
        }
        Ok(Some(progress.phase))
    }

    async fn read_progress(&self, pool: &str, id: &str) -> Result<Option<JobProgress>, StoreError> {
        let sent = self.shared.clock.now();
        let found = self.store.read(&self.keys.progress(pool, id)).await?;
        self.shared.store.note_success(sent);
        let Some(stored) = found else {
            return Ok(None);
        };
        let progress =
            serde_json::from_slice(&stored.value).map_err(|err| StoreError::Malformed {
                call: "job progress",
                fault: err.to_string(),
            })?;
        Ok(Some(progress))
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: &str, give_up: Millis) -> CancelAnswer {
        let started = self.shared.clock.now();
        let memory = match self.locate(id).await {
            Ok(Some(memory)) => memory,
            Ok(None) => {
                self.note("cancel", id, "", "absent", started);
                return CancelAnswer::Absent;
            }
            Err(err) => {
                event!(Warn, "cancel_unknown", job = id, error = err);
                return CancelAnswer::Unknown;
            }
        };
        let request = CreateRequest {
            key: self.keys.cancel(&memory.pool, id),
            value: Vec::new(),
            others: Vec::new(),
            give_up,
        };
        let (answer, word) = match self.creates.create(request).await {
            CreateOutcome::Created | CreateOutcome::Present => (CancelAnswer::Accepted, "accepted"),
            CreateOutcome::Refused | CreateOutcome::Unknown => (CancelAnswer::Unknown, "unknown"),
        };
        self.note("cancel", id, &memory.pool, word, started);
        answer
    }

    /// Jobs of a queue of which nothing has begun.
    ///
    /// # Errors
    ///
    /// Fails as the store does.
    pub async fn waiting(&self, queue: &QueueRoute) -> Result<u32, StoreError> {
        let now = self.shared.clock.now();
        if let Some(memory) = self.counts.borrow().get(&queue.pool)
            && memory.read_at + COUNT_AGE_MS > now
        {
            return Ok(memory.counts.get(&queue.name).copied().unwrap_or(0));
        }
        let found = self.store.read(&self.keys.counts(&queue.pool)).await?;
        self.shared.store.note_success(now);
        let counts: HashMap<String, u32> = match found {
            Some(stored) => {
                serde_json::from_slice(&stored.value).map_err(|err| StoreError::Malformed {
                    call: "queue counts",
                    fault: err.to_string(),
                })?
            }
            None => HashMap::new(),
        };
        let count = counts.get(&queue.name).copied().unwrap_or(0);
        let memory = CountMemory {
            read_at: now,
            counts,
        };
        self.counts.borrow_mut().insert(queue.pool.clone(), memory);
        Ok(count)
    }

    async fn locate(&self, id: &str) -> Result<Option<JobMemory>, StoreError> {
        if let Some(memory) = self.memory.borrow().get(id) {
            return Ok(Some(memory.clone()));
        }
        let sent = self.shared.clock.now();
        let found = self.store.read(&self.keys.location(id)).await?;
        self.shared.store.note_success(sent);
        Ok(found.map(|stored| {
            let pool = String::from_utf8_lossy(&stored.value).into_owned();
            self.remember(id, &pool, None);
            JobMemory { pool, end: None }
        }))
    }

    fn remember(&self, id: &str, pool: &str, end: Option<JobPhase>) {
        let mut memory = self.memory.borrow_mut();
        if memory.len() >= MEMORY_LIMIT {
            memory.clear();
        }
        let pool = pool.to_owned();
        memory.insert(id.to_owned(), JobMemory { pool, end });
    }

    fn note(&self, call: &'static str, id: &str, queue: &str, outcome: &str, started: Millis) {
        let counter = &self.shared.metrics.calls;
        counter.with_label_values(&[call, outcome]).inc();
        event!(
            Info,
            "job_call",
            call = call,
            job = id,
            queue = queue,
            policy = self.shared.policy_version(),
            took_ms = self.shared.clock.now() - started,
            outcome = outcome
        );
    }
}
