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
    Millis,
    QuotaAllocations, //
};
use hoisthitch_store::{
    StoreClient,
    StoreError, //
};
use hoisthitch_telemetry::event;

use crate::{
    create::{
        CreateBatcher,
        CreateOutcome,
        CreateRequest, //
    },
    journal::encode_record,
    keys::JobKeys,
    location::{
        CallScope,
        JobLocation, //
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
    /// The identifier is that of another team's job; nothing was taken.
    Foreign,
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
    location: JobLocation,
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
pub struct JobService<S> {
    store: S,
    shared: Arc<NodeShared>,
    keys: JobKeys,
    creates: CreateBatcher,
    memory: Rc<RefCell<HashMap<String, JobMemory>>>,
    counts: Rc<RefCell<HashMap<String, CountMemory>>>,
}

impl<S: StoreClient> JobService<S> {
    /// Opens the desk.
    pub fn open(store: S, shared: Arc<NodeShared>, keys: JobKeys) -> Self {
        let creates = CreateBatcher::start(store.clone(), shared.clone());
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
        scope: CallScope<'_>,
        id: &str,
        spec: JobSpec,
        deadline: Millis,
    ) -> SubmitAnswer {
        let started = self.shared.clock.now();
        if !self.shared.store.is_usable(started) {
            self.note("submit", id, &queue.name, "store_lost", started);
            return SubmitAnswer::Refused;
        }
        let location = JobLocation {
            pool: queue.pool.clone(),
            queue: queue.name.clone(),
            team: scope.team_name(),
        };
        let submission = JobSubmission {
            queue: queue.name.clone(),
            policy: queue.policy,
            team: location.team.clone(),
            version: self.shared.policy_version(),
            accepted_ms: self.shared.clock.unix_ms(),
            spec,
        };
        let request = CreateRequest {
            key: self.keys.location(id),
            value: encode_record(&location),
            others: vec![(
                self.keys.submission(&queue.pool, id),
                encode_record(&submission),
            )],
            deadline,
        };
        let outcome = self.creates.create(request).await;
        let (answer, word) = match outcome {
            CreateOutcome::Created => {
                self.remember(id, location, None);
                (SubmitAnswer::Accepted, "accepted")
            }
            CreateOutcome::Present => self.find_present(id, scope).await,
            CreateOutcome::Refused => (SubmitAnswer::Refused, "refused"),
            CreateOutcome::Unknown => (SubmitAnswer::Unknown, "unknown"),
        };
        self.note("submit", id, &queue.name, word, started);
        answer
    }

    /// Answers for an identifier that is taken already: a lost answer, or another's job.
    async fn find_present(&self, id: &str, scope: CallScope<'_>) -> (SubmitAnswer, &'static str) {
        match self.locate(id, scope).await {
            Ok(Some(_)) => (SubmitAnswer::Accepted, "present"),
            Ok(None) => (SubmitAnswer::Foreign, "foreign"),
            Err(err) => {
                event!(Warn, "submission_unknown", job = id, error = err);
                (SubmitAnswer::Unknown, "unknown")
            }
        }
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
        let Some(memory) = self.locate(id, CallScope::All).await? else {
            return Ok(None);
        };
        let pool = memory.location.pool;
        let progress = self.read_progress(&pool, id).await?;
        Ok(Some((pool, progress.unwrap_or_default())))
    }

    /// Tells a job's state.
    pub async fn status(&self, scope: CallScope<'_>, id: &str) -> StatusAnswer {
        match self.read_status(scope, id).await {
            Ok(Some(phase)) => StatusAnswer::Known(phase),
            Ok(None) => StatusAnswer::Absent,
            Err(err) => {
                self.shared.store.record_failure(self.shared.clock.now());
                event!(Warn, "status_unknown", job = id, error = err);
                StatusAnswer::Unknown
            }
        }
    }

    async fn read_status(
        &self,
        scope: CallScope<'_>,
        id: &str,
    ) -> Result<Option<JobPhase>, StoreError> {
        let Some(memory) = self.locate(id, scope).await? else {
            return Ok(None);
        };
        if let Some(end) = memory.end {
            return Ok(Some(end));
        }
        let progress = self.read_progress(&memory.location.pool, id).await?;
        let Some(progress) = progress else {
            return Ok(Some(JobPhase::Queued));
        };
        if progress.phase.is_final() {
            self.remember(id, memory.location, Some(progress.phase));
        }
        Ok(Some(progress.phase))
    }

    async fn read_progress(&self, pool: &str, id: &str) -> Result<Option<JobProgress>, StoreError> {
        let sent = self.shared.clock.now();
        let found = self.store.read(&self.keys.progress(pool, id)).await?;
        self.shared.store.record_success(sent);
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
    pub async fn cancel(&self, scope: CallScope<'_>, id: &str, deadline: Millis) -> CancelAnswer {
        let started = self.shared.clock.now();
        let pool = match self.locate(id, scope).await {
            Ok(Some(memory)) => memory.location.pool,
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
            key: self.keys.cancel(&pool, id),
            value: Vec::new(),
            others: Vec::new(),
            deadline,
        };
        let (answer, word) = match self.creates.create(request).await {
            CreateOutcome::Created | CreateOutcome::Present => (CancelAnswer::Accepted, "accepted"),
            CreateOutcome::Refused | CreateOutcome::Unknown => (CancelAnswer::Unknown, "unknown"),
        };
        self.note("cancel", id, &pool, word, started);
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
        self.shared.store.record_success(now);
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

    /// What pools hold of the limits of teams, by name.
    ///
    /// # Errors
    ///
    /// Fails as the store does, and where a record can't be read.
    pub async fn quota_allocations(&self) -> Result<HashMap<String, QuotaAllocations>, StoreError> {
        let prefix = self.keys.quotas_prefix();
        let values = self.store.read_prefix(&prefix).await?;
        let parts = values.iter().filter_map(|value| {
            let team = self.keys.quota_of(&value.key)?.to_owned();
            let read = serde_json::from_slice(&value.value);
            Some(read.map(|parts| (team, parts)))
        });
        parts
            .collect::<Result<_, _>>()
            .map_err(|err| StoreError::Malformed {
                call: "quota parts",
                fault: err.to_string(),
            })
    }

    /// Finds a job that a call may be about.
    async fn locate(
        &self,
        id: &str,
        scope: CallScope<'_>,
    ) -> Result<Option<JobMemory>, StoreError> {
        let known = self.memory.borrow().get(id).cloned();
        let memory = match known {
            Some(memory) => memory,
            None => {
                let sent = self.shared.clock.now();
                let found = self.store.read(&self.keys.location(id)).await?;
                self.shared.store.record_success(sent);
                let Some(stored) = found else {
                    return Ok(None);
                };
                let location = JobLocation::read(&stored.value);
                self.remember(id, location.clone(), None);
                JobMemory {
                    location,
                    end: None,
                }
            }
        };
        Ok(Some(memory).filter(|memory| scope.covers(&memory.location)))
    }

    fn remember(&self, id: &str, location: JobLocation, end: Option<JobPhase>) {
        let mut memory = self.memory.borrow_mut();
        if memory.len() >= MEMORY_LIMIT {
            memory.clear();
        }
        memory.insert(id.to_owned(), JobMemory { location, end });
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
