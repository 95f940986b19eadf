//! Job calls that every node serves: submission, status, cancel, and the counts that operators
//! read.
//!
//! A job is accepted only once its submission is in the store. All that is returned on a job is
//! read from the store, so that every node gives the same answer.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        HashMap, //
    },
    rc::Rc,
    sync::Arc, //
};

use hoisthitch_jobs::{
    CordonedLoad,
    IntakeDecision,
    IntakeRefusal,
    IntakeRequest,
    JobPhase,
    JobProgress,
    JobSpec,
    JobSubmission,
    Millis,
    QuotaAllocations,
    RefusalReason, //
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
    metrics::seconds,
    platform::QueueRoute,
    shared::NodeShared, //
};

/// Number of jobs whose location and final phase are cached.
const MAX_CACHED_JOBS: usize = 20_000;

/// Age up to which cached counts are returned, in milliseconds.
const MAX_COUNT_AGE_MS: Millis = 300;

/// Answer to a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitAnswer {
    /// The job is stored.
    Accepted,
    /// The job was not stored and never runs.
    Refused,
    /// Whether the job is stored is not known.
    Unknown,
    /// The identifier belongs to another team's job; nothing was stored.
    Foreign,
    /// All data halls are cordoned, so that nothing can run; the job was not stored and never
    /// runs.
    Cordoned,
    /// The job can't end while that is of use to its caller; it was not stored and never runs.
    Overloaded(IntakeRefusal),
}

/// Answer to a query for a job's state.
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
    /// The cancel is stored.
    Accepted,
    /// There is no such job.
    Absent,
    /// Whether the cancel is stored is not known.
    Unknown,
}

/// Facts of a job that don't change once they are known.
#[derive(Clone, Debug)]
struct CachedJob {
    location: JobLocation,
    /// Final phase; none if the job was not known to have ended.
    end: Option<JobPhase>,
}

/// Number of waiting jobs of a pool by queue, and when it was read.
#[derive(Clone, Debug)]
struct CachedCounts {
    read_at: Millis,
    counts: HashMap<String, u32>,
}

/// A refusal for want of room, with the report that it is based on.
#[derive(Clone, Copy, Debug)]
struct GroundedRefusal {
    refusal: IntakeRefusal,
    /// Age of the report, in milliseconds.
    age: Millis,
    /// Epoch of the owner that made it.
    epoch: u64,
}

/// Serves job calls on one thread.
#[derive(Clone)]
pub struct JobService<S> {
    store: S,
    shared: Arc<NodeShared>,
    keys: JobKeys,
    creates: CreateBatcher,
    cache: Rc<RefCell<HashMap<String, CachedJob>>>,
    counts: Rc<RefCell<HashMap<String, CachedCounts>>>,
}

impl<S: StoreClient> JobService<S> {
    /// Starts the service on this thread.
    pub fn open(store: S, shared: Arc<NodeShared>, keys: JobKeys) -> Self {
        let creates = CreateBatcher::start(store.clone(), shared.clone());
        Self {
            store,
            shared,
            keys,
            creates,
            cache: Rc::default(),
            counts: Rc::default(),
        }
    }

    /// Submits a job. Returns by about the caller's deadline.
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
            self.record_call("submit", id, &queue.name, "store_lost", started);
            return SubmitAnswer::Refused;
        }
        if self.shared.are_all_halls_cordoned() {
            return self.refuse_cordoned(id, scope, queue, started).await;
        }
        let location = JobLocation {
            pool: queue.pool.clone(),
            queue: queue.name.clone(),
            team: scope.team_name(),
        };
        let request = IntakeRequest {
            id,
            queue: &queue.name,
            policy: &queue.policy,
            team: &location.team,
            spec: &spec,
            remaining_ms: deadline.saturating_sub(started),
        };
        let expected_wait_ms = match self.admit(&queue.pool, &request, started) {
            Ok(wait) => wait,
            Err(refused) => {
                let answer = self.refuse_overloaded(id, scope, queue, refused, started);
                if let Some(answer) = answer.await {
                    return answer;
                }
                None
            }
        };
        let submission = JobSubmission {
            queue: queue.name.clone(),
            policy: queue.policy,
            team: location.team.clone(),
            version: self.shared.policy_version(),
            accepted_ms: self.shared.clock.unix_ms(),
            expected_wait_ms,
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
        let (answer, outcome) = match outcome {
            CreateOutcome::Created => {
                self.cache_job(id, location, None);
                (SubmitAnswer::Accepted, "accepted")
            }
            CreateOutcome::Present => self.answer_present(id, scope).await,
            CreateOutcome::Refused => (SubmitAnswer::Refused, "refused"),
            CreateOutcome::Unknown => (SubmitAnswer::Unknown, "unknown"),
        };
        self.record_call("submit", id, &queue.name, outcome, started);
        answer
    }

    /// Answers a submission while all data halls are cordoned: a new job is refused, since nothing
    /// can run, and one that was accepted before stays accepted.
    async fn refuse_cordoned(
        &self,
        id: &str,
        scope: CallScope<'_>,
        queue: &QueueRoute,
        started: Millis,
    ) -> SubmitAnswer {
        let (answer, outcome) = match self.locate(id, CallScope::All).await {
            Ok(None) => (SubmitAnswer::Cordoned, "halls_cordoned"),
            Ok(Some(_)) => self.answer_present(id, scope).await,
            Err(err) => {
                event!(Warn, "submission_unknown", job = id, error = err);
                (SubmitAnswer::Unknown, "unknown")
            }
        };
        self.record_call("submit", id, &queue.name, outcome, started);
        answer
    }

    /// Decides by the pool's report whether a job may be stored. Returns the estimated time until
    /// it starts, if there is an estimate, or the refusal.
    fn admit(
        &self,
        pool: &str,
        request: &IntakeRequest<'_>,
        now: Millis,
    ) -> Result<Option<Millis>, GroundedRefusal> {
        if !self.shared.terms.admission_control {
            return Ok(None);
        }
        let view = self.shared.intake.load();
        let unix_ms = self.shared.clock.unix_ms();
        let Some(current) = view.current(pool, now, unix_ms) else {
            return Ok(None);
        };
        match (self.shared.intake_rules.decide)(current.report, request, current.age) {
            IntakeDecision::Admit { wait_ms } => {
                if let Some(wait) = wait_ms {
                    self.shared.metrics.expected_wait.observe(seconds(wait));
                }
                Ok(wait_ms)
            }
            IntakeDecision::Refuse(refusal) => Err(GroundedRefusal {
                refusal,
                age: current.age,
                epoch: current.epoch,
            }),
        }
    }

    /// Answers a submission that is to be refused for want of room. A job that was accepted before
    /// stays accepted. None if this node may store the job for an earlier attempt: the job is then
    /// admitted, since it may run.
    async fn refuse_overloaded(
        &self,
        id: &str,
        scope: CallScope<'_>,
        queue: &QueueRoute,
        refused: GroundedRefusal,
        started: Millis,
    ) -> Option<SubmitAnswer> {
        let key = self.keys.location(id);
        let may_exist = || {
            let now = self.shared.clock.now();
            self.shared.creates.may_exist(&key, now)
        };
        if may_exist() {
            return None;
        }
        let (answer, outcome) = match self.locate(id, CallScope::All).await {
            // An attempt that began after the read was sent.
            Ok(None) if may_exist() => return None,
            Ok(None) => {
                self.record_refusal(id, queue, &scope.team_name(), refused);
                (SubmitAnswer::Overloaded(refused.refusal), "overloaded")
            }
            Ok(Some(_)) => self.answer_present(id, scope).await,
            Err(err) => {
                event!(Warn, "submission_unknown", job = id, error = err);
                (SubmitAnswer::Unknown, "unknown")
            }
        };
        self.record_call("submit", id, &queue.name, outcome, started);
        Some(answer)
    }

    /// Counts and logs a refusal for want of room.
    fn record_refusal(&self, id: &str, queue: &QueueRoute, team: &str, refused: GroundedRefusal) {
        let refusal = refused.refusal;
        let reason = match refusal.reason {
            RefusalReason::TeamExcess => "team_excess",
            RefusalReason::PoolFull => "pool_full",
        };
        let counter = &self.shared.metrics.refusals;
        counter.with_label_values(&[reason]).inc();
        event!(
            Info,
            "job_refused",
            job = id,
            queue = queue.name,
            pool = queue.pool,
            team = team,
            reason = reason,
            wait_ms = refusal.wait_ms,
            limit_ms = refusal.limit_ms,
            retry_after_ms = refusal.retry_after_ms,
            report_age_ms = refused.age,
            epoch = refused.epoch
        );
    }

    /// Answers a submission whose identifier exists already: the answer to an earlier attempt was
    /// lost, or the job is another team's.
    async fn answer_present(&self, id: &str, scope: CallScope<'_>) -> (SubmitAnswer, &'static str) {
        match self.locate(id, scope).await {
            Ok(Some(_)) => (SubmitAnswer::Accepted, "present"),
            Ok(None) => (SubmitAnswer::Foreign, "foreign"),
            Err(err) => {
                event!(Warn, "submission_unknown", job = id, error = err);
                (SubmitAnswer::Unknown, "unknown")
            }
        }
    }

    /// The state that the node's threads share.
    pub fn shared(&self) -> &NodeShared {
        &self.shared
    }

    /// Returns the pool that runs a job and the job's progress; none if there is no such job.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read.
    pub async fn describe(&self, id: &str) -> Result<Option<(String, JobProgress)>, StoreError> {
        let Some(job) = self.locate(id, CallScope::All).await? else {
            return Ok(None);
        };
        let pool = job.location.pool;
        let progress = self.read_progress(&pool, id).await?;
        Ok(Some((pool, progress.unwrap_or_default())))
    }

    /// Returns a job's state.
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
        let Some(job) = self.locate(id, scope).await? else {
            return Ok(None);
        };
        if let Some(end) = job.end {
            return Ok(Some(end));
        }
        let progress = self.read_progress(&job.location.pool, id).await?;
        let Some(progress) = progress else {
            return Ok(Some(JobPhase::Queued));
        };
        if progress.phase.is_final() {
            self.cache_job(id, job.location, Some(progress.phase));
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

    /// Cancels a job. Returns by about the caller's deadline.
    pub async fn cancel(&self, scope: CallScope<'_>, id: &str, deadline: Millis) -> CancelAnswer {
        let started = self.shared.clock.now();
        let pool = match self.locate(id, scope).await {
            Ok(Some(job)) => job.location.pool,
            Ok(None) => {
                self.record_call("cancel", id, "", "absent", started);
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
        let (answer, outcome) = match self.creates.create(request).await {
            CreateOutcome::Created | CreateOutcome::Present => (CancelAnswer::Accepted, "accepted"),
            CreateOutcome::Refused | CreateOutcome::Unknown => (CancelAnswer::Unknown, "unknown"),
        };
        self.record_call("cancel", id, &pool, outcome, started);
        answer
    }

    /// Number of jobs of a queue of which no task has started.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read.
    pub async fn waiting(&self, queue: &QueueRoute) -> Result<u32, StoreError> {
        let now = self.shared.clock.now();
        if let Some(cached) = self.counts.borrow().get(&queue.pool)
            && cached.read_at + MAX_COUNT_AGE_MS > now
        {
            return Ok(cached.counts.get(&queue.name).copied().unwrap_or(0));
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
        let cached = CachedCounts {
            read_at: now,
            counts,
        };
        self.counts.borrow_mut().insert(queue.pool.clone(), cached);
        Ok(count)
    }

    /// Allocations of the teams' limits to pools, by name of the team.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or a record is malformed.
    pub async fn quota_allocations(&self) -> Result<HashMap<String, QuotaAllocations>, StoreError> {
        let prefix = self.keys.quotas_prefix();
        let values = self.store.read_prefix(&prefix).await?;
        let allocations = values.iter().filter_map(|value| {
            let team = self.keys.quota_of(&value.key)?.to_owned();
            let read = serde_json::from_slice(&value.value);
            Some(read.map(|allocations| (team, allocations)))
        });
        allocations
            .collect::<Result<_, _>>()
            .map_err(|err| StoreError::Malformed {
                call: "quota parts",
                fault: err.to_string(),
            })
    }

    /// What each pool still runs in cordoned halls, by hall, added up.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read or a record is malformed.
    pub async fn cordoned_loads(&self) -> Result<BTreeMap<String, CordonedLoad>, StoreError> {
        let prefix = self.keys.cordon_reports_prefix();
        let mut loads: BTreeMap<String, CordonedLoad> = BTreeMap::new();
        for value in self.store.read_prefix(&prefix).await? {
            let report: BTreeMap<String, CordonedLoad> = serde_json::from_slice(&value.value)
                .map_err(|err| StoreError::Malformed {
                    call: "cordon report",
                    fault: err.to_string(),
                })?;
            for (hall, load) in report {
                loads.entry(hall).or_default().add(load);
            }
        }
        Ok(loads)
    }

    /// Finds a job if the caller may know of it.
    async fn locate(
        &self,
        id: &str,
        scope: CallScope<'_>,
    ) -> Result<Option<CachedJob>, StoreError> {
        let cached = self.cache.borrow().get(id).cloned();
        let job = match cached {
            Some(job) => job,
            None => {
                let sent = self.shared.clock.now();
                let found = self.store.read(&self.keys.location(id)).await?;
                self.shared.store.record_success(sent);
                let Some(stored) = found else {
                    return Ok(None);
                };
                let location = JobLocation::read(&stored.value);
                self.cache_job(id, location.clone(), None);
                CachedJob {
                    location,
                    end: None,
                }
            }
        };
        Ok(Some(job).filter(|job| scope.covers(&job.location)))
    }

    fn cache_job(&self, id: &str, location: JobLocation, end: Option<JobPhase>) {
        let mut cache = self.cache.borrow_mut();
        if cache.len() >= MAX_CACHED_JOBS {
            cache.clear();
        }
        cache.insert(id.to_owned(), CachedJob { location, end });
    }

    /// Counts and logs a call.
    fn record_call(
        &self,
        call: &'static str,
        id: &str,
        queue: &str,
        outcome: &str,
        started: Millis,
    ) {
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
