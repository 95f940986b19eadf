//! The scheduler of one pool in one entry: limits, queue and slots together.

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

/// Weight of the newest sample in the mean service time.
const SERVICE_GAIN: f64 = 0.05;

/// Service time that a new pool is assumed to have, in seconds.
const SERVICE_GUESS: f64 = 0.02;

/// Shortest time that a refused caller is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Longest time that a refused caller is told to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(60);

/// Mean service times that must be left before a request's deadline for it to be
/// sent.
const LEAST_SERVICES: f64 = 1.1;

/// Background work is promoted this many service times before its deadline.
const PROMOTE_SERVICES: f64 = 4.0;

/// What became of a request at the scheduler.
#[derive(Debug)]
pub enum WorkAdmission<T> {
    /// The request has a slot.
    Granted(RunnerKey),
    /// The request waits; another request may have had to give way to it.
    Queued {
        /// Names the request in the queue.
        ticket: WorkTicket,
        /// What gave way and must be refused.
        evicted: Option<T>,
    },
}

/// What became of the unit that goes next.
#[derive(Debug)]
pub enum WorkGrant<T> {
    /// It has a slot.
    Granted(WorkUnit<T>, RunnerKey),
    /// It is refused.
    Refused(WorkUnit<T>, WorkRefusal),
}

/// Why a request was refused at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkRefusal {
    /// Which rule refused it.
    pub reason: RefusalReason,
    /// When the caller may come back.
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
    /// The team's limit of requests held.
    #[error("team-in-flight")]
    TeamInFlight,
    /// The queue is full.
    #[error("queue-full")]
    QueueFull,
    /// The deadline can't be met.
    #[error("deadline")]
    Deadline,
    /// No runner of the pool takes work.
    #[error("no-runner")]
    NoRunner,
    /// The entry is stopping.
    #[error("stopping")]
    Stopping,
}

/// How a request at a runner ended.
#[derive(Clone, Copy, Debug)]
pub struct WorkResult {
    /// Runner that held the request.
    pub runner: RunnerKey,
    /// Priority that the request was served at.
    pub priority: PaidPriority,
    /// Whether the runner did well; `None` when the request doesn't tell.
    pub healthy: Option<bool>,
    /// How long the runner held it.
    pub service: Duration,
}

/// Scheduler of one pool.
#[derive(Debug)]
pub struct PoolScheduler<T> {
    row: PoolRow,
    queue: WorkQueue<T>,
    ledger: SlotLedger,
    limiter: RateLimiter,
    retries: RetryBudget,
    quotas: SecondaryMap<TeamKey, TeamQuota>,
    service_seconds: f64,
    pace: BackgroundPace,
}

/// How fast queued background work has been granted lately.
///
/// Its share of the slots depends on the urgent work beside it, so the pace is
/// measured, not worked out.
#[derive(Debug, Default)]
struct BackgroundPace {
    /// Last grant; none where the queue was empty since.
    last: Option<Instant>,
    /// Mean time between two grants, in seconds.
    interval: f64,
}

impl BackgroundPace {
    fn note_grant(&mut self, now: Instant, more_waits: bool) {
        if let Some(last) = self.last {
            let sample = now.saturating_duration_since(last).as_secs_f64();
            self.interval += SERVICE_GAIN * (sample - self.interval);
        }
        self.last = more_waits.then_some(now);
    }
}

#[derive(Debug)]
struct TeamQuota {
    limiter: RateLimiter,
    held: u32,
    limit: u32,
}

impl<T> PoolScheduler<T> {
    /// Starts without runners.
    pub fn new(row: PoolRow, now: Instant) -> Self {
        Self {
            queue: WorkQueue::new(QueueLimits {
                capacity: row.queue_limit as usize,
                promote_within: promote_within(SERVICE_GUESS),
            }),
            ledger: SlotLedger::default(),
            limiter: RateLimiter::new(row.rate_limit, now),
            retries: RetryBudget::new(row.retry_percent),
            quotas: SecondaryMap::new(),
            service_seconds: SERVICE_GUESS,
            pace: BackgroundPace::default(),
            row,
        }
    }

    /// Puts a changed row in force.
    pub fn set_row(&mut self, row: PoolRow, now: Instant) {
        self.limiter.set_rate(row.rate_limit, now);
        self.retries.set_percent(row.retry_percent);
        self.ledger.set_eject_cap(row.max_absent as usize);
        self.row = row;
        self.refresh_limits();
    }

    /// Puts a team's quota in force for this pool.
    pub fn set_team(&mut self, key: TeamKey, row: &TeamRow, now: Instant) {
        if let Some(quota) = self.quotas.get_mut(key) {
            quota.limiter.set_rate(row.rate_limit, now);
            quota.limit = row.in_flight_limit;
            return;
        }
        let quota = TeamQuota {
            limiter: RateLimiter::new(row.rate_limit, now),
            held: 0,
            limit: row.in_flight_limit,
        };
        self.quotas.insert(key, quota);
    }

    /// The row in force.
    pub fn row(&self) -> &PoolRow {
        &self.row
    }

    /// The pool's slots.
    pub fn ledger(&self) -> &SlotLedger {
        &self.ledger
    }

    /// The pool's slots, to change runners.
    pub fn ledger_mut(&mut self) -> &mut SlotLedger {
        &mut self.ledger
    }

    /// The pool's queue.
    pub fn queue(&self) -> &WorkQueue<T> {
        &self.queue
    }

    /// Admits a request: grants a slot, queues it, or refuses it at once.
    ///
    /// # Errors
    ///
    /// A refused request held nothing and can be answered at once.
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
            Ok(_) => self.retries.deposit(),
            Err(_) => self.put_back_quota(team),
        }
        admission
    }

    /// Forgets a request that was admitted, once it has its answer.
    pub fn finish_admitted(&mut self, team: TeamKey) {
        if let Some(quota) = self.quotas.get_mut(team) {
            quota.held = quota.held.saturating_sub(1);
        }
    }

    /// Takes a slot for a retry, if the retry budget allows one.
    pub fn retry(
        &mut self,
        priority: PaidPriority,
        failed: RunnerKey,
        now: Instant,
    ) -> Option<RunnerKey> {
        if !self.has_room(priority) || !self.retries.withdraw() {
            return None;
        }
        let runner = self.ledger.take(now, Some(failed))?;
        Some(runner)
    }

    /// Takes another slot for a request that never left this process; it costs
    /// no retry budget.
    pub fn reassign(
        &mut self,
        priority: PaidPriority,
        failed: RunnerKey,
        now: Instant,
    ) -> Option<RunnerKey> {
        if !self.has_room(priority) {
            return None;
        }
        let runner = self.ledger.take(now, Some(failed))?;
        Some(runner)
    }

    /// Gives a slot back.
    pub fn finish(&mut self, result: WorkResult, now: Instant) {
        self.ledger.release(result.runner, result.healthy, now);
        if result.healthy == Some(true) {
            let sample = result.service.as_secs_f64();
            self.service_seconds += SERVICE_GAIN * (sample - self.service_seconds);
            self.refresh_limits();
        }
    }

    /// Grants a free slot to the unit that goes next, or refuses that unit since
    /// it could not be done by its deadline any more.
    pub fn grant_next(&mut self, now: Instant) -> Option<WorkGrant<T>> {
        if !self.has_room(PaidPriority::Urgent) {
            return None;
        }
        let background_allowed = self.has_room(PaidPriority::Background);
        if !self.queue.has_next(background_allowed) {
            return None;
        }
        let runner = self.ledger.take(now, None)?;
        let Some(unit) = self.queue.pop(now, background_allowed) else {
            self.ledger.release(runner, None, now);
            return None;
        };
        if unit.deadline < now + self.least_service() {
            self.ledger.release(runner, None, now);
            let refusal = self.refusal(RefusalReason::Deadline, unit.priority);
            return Some(WorkGrant::Refused(unit, refusal));
        }
        if unit.priority == PaidPriority::Background {
            let more_waits = self.queue.len_of(PaidPriority::Background) > 0;
            self.pace.note_grant(now, more_waits);
        }
        Some(WorkGrant::Granted(unit, runner))
    }

    /// Removes a unit that gave up waiting.
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

    /// Empties the queue, for a stop.
    pub fn drain_queue(&mut self) -> Vec<WorkUnit<T>> {
        self.queue.take_all()
    }

    /// Time that a new request of the priority would wait for a slot.
    pub fn expected_wait(&self, priority: PaidPriority) -> Duration {
        let urgent = self.queue.len_of(PaidPriority::Urgent);
        let background = self.queue.len_of(PaidPriority::Background);
        let slots = f64::from(self.slots().max(1));
        let by_slots = |ahead: usize| ahead as f64 * self.service_seconds / slots;
        let seconds = match priority {
            PaidPriority::Urgent => by_slots(urgent),
            PaidPriority::Background => {
                let by_pace = background as f64 * self.pace.interval;
                by_slots(urgent + background).max(by_pace)
            }
        };
        Duration::from_secs_f64(seconds)
    }

    /// Time that must be left for a request to be sent: one that is sent later
    /// would most likely end as unknown.
    fn least_service(&self) -> Duration {
        Duration::from_secs_f64(self.service_seconds * LEAST_SERVICES)
    }

    fn grant_or_queue(
        &mut self,
        unit: WorkUnit<T>,
        now: Instant,
    ) -> Result<WorkAdmission<T>, WorkRefusal> {
        if self.queue.len_of(unit.priority) == 0
            && self.has_room(unit.priority)
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
        if left > wait + self.least_service() {
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
        if quota.held >= quota.limit {
            self.limiter.refund();
            return Err(refusal(RefusalReason::TeamInFlight, RETRY_AFTER_MIN));
        }
        if let Err(wait) = quota.limiter.take(now) {
            self.limiter.refund();
            return Err(refusal(RefusalReason::TeamRate, wait));
        }
        quota.held += 1;
        Ok(())
    }

    fn put_back_quota(&mut self, team: TeamKey) {
        self.limiter.refund();
        if let Some(quota) = self.quotas.get_mut(team) {
            quota.limiter.refund();
            quota.held = quota.held.saturating_sub(1);
        }
    }

    /// Whether another request of the priority may go to a runner.
    ///
    /// Background work pauses while its share of the slots is in use by anyone,
    /// so that urgent requests find the rest free. (An upper limit on
    /// utilisation, from "Approaches for maximizing PTU utilization"; see
    /// `docs/design/queue.md`.)
    fn has_room(&self, priority: PaidPriority) -> bool {
        let limit = match priority {
            PaidPriority::Urgent => self.row.in_flight_limit,
            PaidPriority::Background => self.slots() * self.row.background_percent / 100,
        };
        self.ledger.in_flight() < limit.max(1)
    }

    /// Slots that the pool's requests may fill.
    fn slots(&self) -> u32 {
        self.ledger.usable().min(self.row.in_flight_limit)
    }

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
    Duration::from_secs_f64(service_seconds * PROMOTE_SERVICES)
}
