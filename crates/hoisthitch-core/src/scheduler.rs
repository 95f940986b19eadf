//! Request scheduler of one pool in one entry: admission limits, queue and runner
//! slots.
//!
//! [`PoolScheduler`] is given requests, runners, the pool's row of the operators'
//! table and the current time. For each request it decides whether the request
//! gets a runner slot, waits in the queue or is refused. A refused request holds
//! no quota, queue place or slot.

use std::time::{
    Duration,
    Instant, //
};

use slotmap::SecondaryMap;
use thiserror::Error;

use crate::{
    budget::RetryBudget,
    keys::{
        RunnerKey,
        TeamKey, //
    },
    ledger::SlotLedger,
    limit::RateLimiter,
    queue::{
        QueueLimits,
        WorkQueue,
        WorkTicket,
        WorkUnit, //
    },
    table::{
        PaidPriority,
        PoolRow,
        TeamRow, //
    }, //
};

/// Weight of the newest sample in the exponential moving averages of the service
/// time and of the interval between background grants.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Mean service time that is assumed for a new pool, in seconds.
const INITIAL_SERVICE_SECONDS: f64 = 0.02;

/// Shortest retry delay given to a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Longest retry delay given to a refused caller.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// A request is sent only if at least this many mean service times are left until
/// its deadline.
const MIN_SERVICE_TIMES_LEFT: f64 = 1.1;

/// Background requests are promoted this many mean service times before their
/// deadline.
const PROMOTE_SERVICE_TIMES: f64 = 4.0;

/// Result of admitting a request.
#[derive(Debug)]
pub enum WorkAdmission<T> {
    /// The request holds a slot of the runner.
    Granted(RunnerKey),
    /// The request waits in the queue.
    Queued {
        /// Identifies the request in the queue.
        ticket: WorkTicket,
        /// Background request that was evicted from the full queue; the caller of
        /// [`PoolScheduler::admit`] must refuse it.
        evicted: Option<T>,
    },
}

/// Result of taking the next request from the queue.
#[derive(Debug)]
pub enum WorkGrant<T> {
    /// The request holds a slot of the runner.
    Granted(WorkUnit<T>, RunnerKey),
    /// The request is refused, since it can't end by its deadline.
    Refused(WorkUnit<T>, WorkRefusal),
}

/// Why a request was refused, and when to retry it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkRefusal {
    /// Rule that refused the request.
    pub reason: RefusalReason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Rule that refused a request.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum RefusalReason {
    /// The pool's rate limit.
    #[error("pool-rate")]
    PoolRate,
    /// The team's rate limit.
    #[error("team-rate")]
    TeamRate,
    /// The team's limit of requests that one entry holds at a time.
    #[error("team-in-flight")]
    TeamInFlight,
    /// The queue is full.
    #[error("queue-full")]
    QueueFull,
    /// The deadline can't be met.
    #[error("deadline")]
    Deadline,
    /// No runner of the pool accepts requests.
    #[error("no-runner")]
    NoRunner,
    /// The entry is stopping.
    #[error("stopping")]
    Stopping,
}

/// How a request at a runner ended.
#[derive(Clone, Copy, Debug)]
pub struct WorkResult {
    /// Runner that the request was sent to.
    pub runner: RunnerKey,
    /// Priority at which the request was served.
    pub priority: PaidPriority,
    /// Whether the result shows a healthy runner; `None` when it says nothing
    /// about the runner.
    pub healthy: Option<bool>,
    /// How long the request was at the runner.
    pub service: Duration,
}

/// Scheduler of one pool.
#[derive(Debug)]
pub struct PoolScheduler<T> {
    row: PoolRow,
    queue: WorkQueue<T>,
    ledger: SlotLedger,
    limiter: RateLimiter,
    retry_budget: RetryBudget,
    quotas: SecondaryMap<TeamKey, TeamQuota>,
    service_seconds: f64,
    background_rate: BackgroundRate,
}

/// Recent rate at which queued background requests were granted slots.
///
/// The share of slots that background requests get depends on the concurrent
/// urgent requests, so the rate is measured and not computed.
#[derive(Debug, Default)]
struct BackgroundRate {
    /// Time of the last grant; `None` if no background request was left waiting.
    last_grant: Option<Instant>,
    /// Mean time between two grants, in seconds.
    interval_seconds: f64,
}

impl BackgroundRate {
    fn record_grant(&mut self, now: Instant, more_queued: bool) {
        if let Some(last_grant) = self.last_grant {
            let sample = now.saturating_duration_since(last_grant).as_secs_f64();
            self.interval_seconds += SAMPLE_WEIGHT * (sample - self.interval_seconds);
        }
        self.last_grant = more_queued.then_some(now);
    }
}

/// Quota of one team in the pool.
#[derive(Debug)]
struct TeamQuota {
    limiter: RateLimiter,
    /// Requests of the team that were admitted and have no answer yet.
    in_flight: u32,
    in_flight_limit: u32,
}

impl<T> PoolScheduler<T> {
    /// Creates a scheduler without runners.
    pub fn new(row: PoolRow, now: Instant) -> Self {
        Self {
            queue: WorkQueue::new(QueueLimits {
                capacity: row.queue_limit as usize,
                promote_within: promote_within(INITIAL_SERVICE_SECONDS),
            }),
            ledger: SlotLedger::default(),
            limiter: RateLimiter::new(row.rate_limit, now),
            retry_budget: RetryBudget::new(row.retry_percent),
            quotas: SecondaryMap::new(),
            service_seconds: INITIAL_SERVICE_SECONDS,
            background_rate: BackgroundRate::default(),
            row,
        }
    }

    /// Applies a changed row.
    pub fn set_row(&mut self, row: PoolRow, now: Instant) {
        self.limiter.set_rate(row.rate_limit, now);
        self.retry_budget.set_percent(row.retry_percent);
        self.ledger.set_eject_cap(row.max_absent as usize);
        self.row = row;
        self.refresh_limits();
    }

    /// Applies a team's quota to this pool.
    pub fn set_team(&mut self, key: TeamKey, row: &TeamRow, now: Instant) {
        if let Some(quota) = self.quotas.get_mut(key) {
            quota.limiter.set_rate(row.rate_limit, now);
            quota.in_flight_limit = row.in_flight_limit;
            return;
        }
        let quota = TeamQuota {
            limiter: RateLimiter::new(row.rate_limit, now),
            in_flight: 0,
            in_flight_limit: row.in_flight_limit,
        };
        self.quotas.insert(key, quota);
    }

    /// The current row.
    pub fn row(&self) -> &PoolRow {
        &self.row
    }

    /// The pool's slots.
    pub fn ledger(&self) -> &SlotLedger {
        &self.ledger
    }

    /// The pool's slots, to update runners.
    pub fn ledger_mut(&mut self) -> &mut SlotLedger {
        &mut self.ledger
    }

    /// The pool's queue.
    pub fn queue(&self) -> &WorkQueue<T> {
        &self.queue
    }

    /// Admits a request: grants a slot, queues it, or refuses it.
    ///
    /// # Errors
    ///
    /// A refused request holds no quota, queue place or slot, so it can be answered
    /// at once.
    pub fn admit(
        &mut self,
        unit: WorkUnit<T>,
        now: Instant,
    ) -> Result<WorkAdmission<T>, WorkRefusal> {
        let team = unit.team;
        self.check_deadline(&unit, now)?;
        self.take_quota(team, now)?;
        let admission = self.grant_or_queue(unit, now);
        match admission {
            Ok(_) => self.retry_budget.deposit(),
            Err(_) => self.refund_quota(team),
        }
        admission
    }

    /// Releases the in-flight quota of an admitted request that was answered.
    pub fn finish_admitted(&mut self, team: TeamKey) {
        if let Some(quota) = self.quotas.get_mut(team) {
            quota.in_flight = quota.in_flight.saturating_sub(1);
        }
    }

    /// Takes a slot for a retry, if the retry budget allows one.
    pub fn retry(
        &mut self,
        priority: PaidPriority,
        failed: RunnerKey,
        now: Instant,
    ) -> Option<RunnerKey> {
        if !self.has_capacity(priority) || !self.retry_budget.withdraw() {
            return None;
        }
        let runner = self.ledger.take(now, Some(failed))?;
        Some(runner)
    }

    /// Takes another slot for a request that never left this process. This does
    /// not use the retry budget.
    pub fn reassign(
        &mut self,
        priority: PaidPriority,
        failed: RunnerKey,
        now: Instant,
    ) -> Option<RunnerKey> {
        if !self.has_capacity(priority) {
            return None;
        }
        let runner = self.ledger.take(now, Some(failed))?;
        Some(runner)
    }

    /// Releases the slot of a finished request.
    pub fn finish(&mut self, result: WorkResult, now: Instant) {
        self.ledger.release(result.runner, result.healthy, now);
        if result.healthy == Some(true) {
            let sample = result.service.as_secs_f64();
            self.service_seconds += SAMPLE_WEIGHT * (sample - self.service_seconds);
            self.refresh_limits();
        }
    }

    /// Takes the next request from the queue and grants it a free slot, or refuses
    /// it if it can no longer end by its deadline.
    pub fn grant_next(&mut self, now: Instant) -> Option<WorkGrant<T>> {
        if !self.has_capacity(PaidPriority::Urgent) {
            return None;
        }
        let background_allowed = self.has_capacity(PaidPriority::Background);
        if !self.queue.has_next(background_allowed) {
            return None;
        }
        let runner = self.ledger.take(now, None)?;
        let Some(unit) = self.queue.pop(now, background_allowed) else {
            self.ledger.release(runner, None, now);
            return None;
        };
        if unit.deadline < now + self.min_time_left() {
            self.ledger.release(runner, None, now);
            let refusal = self.refusal(RefusalReason::Deadline, unit.priority);
            return Some(WorkGrant::Refused(unit, refusal));
        }
        if unit.priority == PaidPriority::Background {
            let more_queued = self.queue.len_of(PaidPriority::Background) > 0;
            self.background_rate.record_grant(now, more_queued);
        }
        Some(WorkGrant::Granted(unit, runner))
    }

    /// Removes a request that stopped waiting from the queue.
    pub fn cancel(
        &mut self,
        ticket: WorkTicket,
        priority: PaidPriority,
        team: TeamKey,
        deadline: Instant,
    ) -> bool {
        self.queue
            .remove(ticket, priority, team, deadline)
            .is_some()
    }

    /// Removes and returns all queued requests, when the entry stops.
    pub fn drain_queue(&mut self) -> Vec<WorkUnit<T>> {
        self.queue.take_all()
    }

    /// Expected wait of a new request of the priority for a slot.
    pub fn expected_wait(&self, priority: PaidPriority) -> Duration {
        let urgent = self.queue.len_of(PaidPriority::Urgent);
        let background = self.queue.len_of(PaidPriority::Background);
        let slots = f64::from(self.slots().max(1));
        let wait_by_slots = |ahead: usize| ahead as f64 * self.service_seconds / slots;
        let seconds = match priority {
            PaidPriority::Urgent => wait_by_slots(urgent),
            PaidPriority::Background => {
                let wait_by_rate = background as f64 * self.background_rate.interval_seconds;
                wait_by_slots(urgent + background).max(wait_by_rate)
            }
        };
        Duration::from_secs_f64(seconds)
    }

    /// Time until the deadline that a request needs to be sent. The outcome of a
    /// request that is sent later would most likely be unknown.
    fn min_time_left(&self) -> Duration {
        Duration::from_secs_f64(self.service_seconds * MIN_SERVICE_TIMES_LEFT)
    }

    fn grant_or_queue(
        &mut self,
        unit: WorkUnit<T>,
        now: Instant,
    ) -> Result<WorkAdmission<T>, WorkRefusal> {
        if self.queue.len_of(unit.priority) == 0
            && self.has_capacity(unit.priority)
            && let Some(runner) = self.ledger.take(now, None)
        {
            return Ok(WorkAdmission::Granted(runner));
        }
        if !self.ledger.has_runner() {
            return Err(self.refusal(RefusalReason::NoRunner, unit.priority));
        }
        let priority = unit.priority;
        match self.queue.push(unit) {
            Ok((ticket, evicted)) => Ok(WorkAdmission::Queued { ticket, evicted }),
            Err(_) => Err(self.refusal(RefusalReason::QueueFull, priority)),
        }
    }

    fn check_deadline(&self, unit: &WorkUnit<T>, now: Instant) -> Result<(), WorkRefusal> {
        let left = unit.deadline.saturating_duration_since(now);
        let wait = self.expected_wait(unit.priority);
        if left > wait + self.min_time_left() {
            return Ok(());
        }
        Err(self.refusal(RefusalReason::Deadline, unit.priority))
    }

    fn take_quota(&mut self, team: TeamKey, now: Instant) -> Result<(), WorkRefusal> {
        if let Err(wait) = self.limiter.take(now) {
            return Err(refusal(RefusalReason::PoolRate, wait));
        }
        let Some(quota) = self.quotas.get_mut(team) else {
            return Ok(());
        };
        if quota.in_flight >= quota.in_flight_limit {
            self.limiter.refund();
            return Err(refusal(RefusalReason::TeamInFlight, RETRY_AFTER_MIN));
        }
        if let Err(wait) = quota.limiter.take(now) {
            self.limiter.refund();
            return Err(refusal(RefusalReason::TeamRate, wait));
        }
        quota.in_flight += 1;
        Ok(())
    }

    fn refund_quota(&mut self, team: TeamKey) {
        self.limiter.refund();
        if let Some(quota) = self.quotas.get_mut(team) {
            quota.limiter.refund();
            quota.in_flight = quota.in_flight.saturating_sub(1);
        }
    }

    /// Whether the in-flight limits allow another request of the priority to go to
    /// a runner.
    ///
    /// No background request is sent while the background share of the slots is in
    /// use, by requests of any priority. The other slots stay free for urgent
    /// requests. (An upper limit on utilisation, from "Approaches for maximizing
    /// PTU utilization"; see `docs/design/queue.md`.)
    fn has_capacity(&self, priority: PaidPriority) -> bool {
        let limit = match priority {
            PaidPriority::Urgent => self.row.in_flight_limit,
            PaidPriority::Background => self.slots() * self.row.background_percent / 100,
        };
        self.ledger.in_flight() < limit.max(1)
    }

    /// Slots that the pool's requests may use.
    fn slots(&self) -> u32 {
        self.ledger.usable().min(self.row.in_flight_limit)
    }

    /// Updates the bounds of the queue from the row and the mean service time.
    fn refresh_limits(&mut self) {
        self.queue.set_limits(QueueLimits {
            capacity: self.row.queue_limit as usize,
            promote_within: promote_within(self.service_seconds),
        });
    }

    fn refusal(&self, reason: RefusalReason, priority: PaidPriority) -> WorkRefusal {
        refusal(reason, self.expected_wait(priority))
    }
}

fn refusal(reason: RefusalReason, wait: Duration) -> WorkRefusal {
    WorkRefusal {
        reason,
        retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
    }
}

fn promote_within(service_seconds: f64) -> Duration {
    Duration::from_secs_f64(service_seconds * PROMOTE_SERVICE_TIMES)
}
