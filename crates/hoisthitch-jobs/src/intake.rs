//! Admission control for new jobs of a pool under pressure.
//!
//! A pool's owner knows what waits and what there is to run it on; every node accepts jobs. So
//! the owner publishes an [`IntakeReport`], and a node decides by the latest one before it stores
//! anything. A job is refused only if the work that is ahead of it, at the pool's capacity, would
//! take it past the time up to which its caller gains anything from its end. Work that can't meet
//! its objective any more is not ahead of a job that can.
//!
//! The decision errs on the side of admission: without a report, or with one that is too old,
//! every job is admitted.

use std::collections::BTreeMap;

use hoisthitch_core::hash_name;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Millis,
    demand::DEFAULT_TASK_MS,
    job::scale,
    rank::OVERHEAD_MS,
    record::QueuePolicy,
    spec::JobSpec, //
};

/// Factor of a job's objective after which its end is of no use to its caller.
pub const USELESS_AFTER_OBJECTIVES: u64 = 3;

/// Age from which a report says nothing any more, in milliseconds.
const REPORT_AGE_MAX_MS: Millis = 3_000;

/// Longest wait that is told apart from one without end, in milliseconds.
const WAIT_MAX_MS: Millis = 3_600_000;

/// Time in which a team could do all its waiting work if it had the capacity, in milliseconds.
/// It limits what a team takes of its share.
const SHARE_HORIZON_MS: Millis = 1_000;

/// Time for which callers wait for an answer, in milliseconds. A caller with less of it left
/// has been refused before.
const CALLER_WAIT_MS: Millis = 3_000;

/// Part of a job's limit by which it is spread in both directions, in percent.
const LIMIT_SPREAD_PERCENT: u64 = 10;

/// Part of the time until a return by which it is spread in both directions, in percent.
const RETRY_SPREAD_PERCENT: u64 = 25;

/// Number of values of a spread.
const SPREAD_STEPS: u64 = 1_024;

/// Least part of the capacity by which waiting work is expected to shrink: one in this many.
const DRAIN_DIVISOR: u64 = 4;

/// Least time after which a refused caller is asked to return, in milliseconds: reports are
/// about half a second apart.
const RETRY_MIN_MS: Millis = 300;

/// Most of it, in milliseconds: by then VMs may have moved.
const RETRY_MAX_MS: Millis = 10_000;

/// Work of one team in one priority class that can still be of use to its callers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TeamLoad {
    /// Accepted work that is not done, in thousandths of a core times milliseconds.
    pub work: u64,
    /// The part of it whose jobs can't meet their objective any more, and come after all that
    /// can.
    #[serde(default)]
    pub late: u64,
    /// Rate of arriving work, in thousandths of a core.
    pub arriving: u64,
    /// Weight of the team.
    pub weight: f64,
    /// What the team's limit lets it run in the pool, in thousandths of a core; none without a
    /// limit.
    pub allowed: Option<u64>,
}

/// What the owner of a pool publishes for the nodes that accept the pool's jobs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct IntakeReport {
    /// Capacity for work that ends by itself, of VMs that are in the pool or on their way, in
    /// thousandths of a core.
    pub capacity: u64,
    /// Mean time of a task, by queue, in milliseconds.
    pub task_times: BTreeMap<String, Millis>,
    /// Work by paid priority and team; empty while the pool is not under pressure.
    pub loads: BTreeMap<u32, BTreeMap<String, TeamLoad>>,
}

/// A job that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct IntakeRequest<'a> {
    /// Its identifier; equal ones get equal decisions from every node.
    pub id: &'a str,
    /// Its queue.
    pub queue: &'a str,
    /// Policy of the queue.
    pub policy: &'a QueuePolicy,
    /// Its team; empty for none.
    pub team: &'a str,
    /// Its specification.
    pub spec: &'a JobSpec,
    /// Time for which its caller goes on waiting for the answer, in milliseconds.
    pub remaining_ms: Millis,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The job's team has more waiting than its share of the pool, or its limit, serves in time.
    TeamExcess,
    /// The pool has more waiting than it serves in time.
    PoolFull,
}

/// Refusal of a job that can't end while that is of use to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Estimated time until the job's first task would start, in milliseconds.
    pub wait_ms: Millis,
    /// Longest wait at which the job would have been admitted, in milliseconds.
    pub limit_ms: Millis,
    /// Time until room is expected, spread over callers, in milliseconds.
    pub retry_after_ms: Millis,
}

/// Decision on a job that asks to be admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IntakeDecision {
    /// It may be stored. The wait until its first task starts is an estimate, in milliseconds;
    /// none if there is nothing to estimate it by.
    Admit {
        /// The estimate.
        wait_ms: Option<Millis>,
    },
    /// It must not be stored.
    Refuse(IntakeRefusal),
}

impl IntakeReport {
    /// Decides on a job by this report, which was made `age` milliseconds ago.
    pub fn decide(&self, request: &IntakeRequest<'_>, age: Millis) -> IntakeDecision {
        if self.loads.is_empty() || age > REPORT_AGE_MAX_MS || !is_payable(request.spec) {
            return IntakeDecision::Admit { wait_ms: None };
        }
        let limit = self.limit(request);
        let ahead = WorkAhead::new(self, request, age);
        let allowed = ahead.allowed_line();
        if !allowed.is_within(limit) {
            return Self::refuse(request, RefusalReason::TeamExcess, allowed, limit);
        }
        let pool = ahead.pool_line(self.capacity);
        if pool.is_within(limit) {
            let wait_ms = Some(pool.wait(limit).max(allowed.wait(limit)));
            return IntakeDecision::Admit { wait_ms };
        }
        let shares = ahead.shares(self.capacity);
        let own = shares.line(request.team);
        if own.is_within(limit) {
            let wait_ms = Some(own.wait(limit).max(allowed.wait(limit)));
            return IntakeDecision::Admit { wait_ms };
        }
        let reason = if shares.any_other_within(request.team, limit) {
            RefusalReason::TeamExcess
        } else {
            RefusalReason::PoolFull
        };
        let sooner = if own.time_until(limit) < pool.time_until(limit) {
            own
        } else {
            pool
        };
        Self::refuse(request, reason, sooner, limit)
    }

    fn refuse(
        request: &IntakeRequest<'_>,
        reason: RefusalReason,
        line: WorkLine,
        limit: WaitLimit,
    ) -> IntakeDecision {
        let until = line.time_until(limit).clamp(RETRY_MIN_MS, RETRY_MAX_MS);
        let spread = Spread::of(request.id);
        IntakeDecision::Refuse(IntakeRefusal {
            reason,
            wait_ms: line.wait(limit),
            limit_ms: limit.useful,
            retry_after_ms: spread.retry(until).min(request.remaining_ms),
        })
    }

    /// Longest waits at which the job is admitted.
    fn limit(&self, request: &IntakeRequest<'_>) -> WaitLimit {
        let mean = self.task_times.get(request.queue).copied();
        let times = JobTimes {
            spec: request.spec,
            policy: request.policy,
            mean: mean.unwrap_or(DEFAULT_TASK_MS),
        };
        let needed = times.chain() + OVERHEAD_MS;
        let spread = Spread::of(request.id);
        let limit_of =
            |time: Millis| spread.limit(time.saturating_sub(needed), request.remaining_ms);
        WaitLimit {
            in_time: limit_of(times.objective()),
            useful: limit_of(times.useful_time()),
        }
    }
}

/// Longest waits of a job, in milliseconds.
#[derive(Clone, Copy)]
struct WaitLimit {
    /// With which it meets its objective.
    in_time: Millis,
    /// With which its end is of use.
    useful: Millis,
}

/// Expected times of a job.
pub(crate) struct JobTimes<'a> {
    pub(crate) spec: &'a JobSpec,
    pub(crate) policy: &'a QueuePolicy,
    /// Mean time of a task of its queue, in milliseconds.
    pub(crate) mean: Millis,
}

impl JobTimes<'_> {
    /// Expected time of a task, in milliseconds: the greater of the caller's estimate and the
    /// queue's mean.
    pub(crate) fn of_step(&self, step: u32) -> Millis {
        let step = usize::try_from(step).ok();
        let spec = step.and_then(|step| self.spec.steps.get(step));
        spec.map_or(self.mean, |spec| self.mean.max(spec.estimate_ms))
    }

    /// Expected time of the whole job without any wait, in milliseconds.
    pub(crate) fn chain(&self) -> Millis {
        self.spec.critical_path(|step| self.of_step(step))
    }

    /// Time after its acceptance within which it is to be done, in milliseconds.
    fn objective(&self) -> Millis {
        self.policy.target_latency_ms + scale(self.chain(), self.policy.stretch)
    }

    /// Time after its acceptance up to which its end is of use, in milliseconds.
    pub(crate) fn useful_time(&self) -> Millis {
        USELESS_AFTER_OBJECTIVES * self.objective()
    }
}

/// Whether the job's end is of use up to a time, and the job may be refused: it ends by itself
/// and has neither a schedule nor best-effort tasks.
pub(crate) fn is_payable(spec: &JobSpec) -> bool {
    let best_effort = spec.steps.iter().any(|step| step.best_effort);
    !spec.is_long_running() && spec.schedule.is_none() && !best_effort
}

/// Work that waits for a part of the capacity.
#[derive(Clone, Copy)]
struct WorkLine {
    /// All of it, in thousandths of a core times milliseconds.
    work: u64,
    /// The part of it that can be in time.
    in_time: u64,
    /// Capacity for it, in thousandths of a core.
    rate: u64,
    /// Rate at which further work arrives, in thousandths of a core.
    arriving: u64,
}

impl WorkLine {
    /// Work `age` milliseconds later.
    fn after(self, age: Millis) -> Self {
        let arrived = self.arriving.saturating_mul(age);
        let done = self.rate.saturating_mul(age);
        let later = |work: u64| work.saturating_add(arrived).saturating_sub(done);
        Self {
            work: later(self.work),
            in_time: later(self.in_time),
            ..self
        }
    }

    /// Capacity that arriving work leaves, in thousandths of a core; some of the pool's work
    /// will not come as it did.
    fn drain(self) -> u64 {
        let drain = self.rate.saturating_sub(self.arriving);
        drain.max(self.rate / DRAIN_DIVISOR)
    }

    /// Expected wait of a job with these limits, in milliseconds. Work that can be in time goes
    /// first; a job that can't waits for all work, and for what arrives meanwhile.
    fn wait(self, limit: WaitLimit) -> Millis {
        if self.rate == 0 {
            return time_of(self.work, 0);
        }
        let in_time = time_of(self.in_time, self.rate);
        if in_time <= limit.in_time {
            return in_time;
        }
        time_of(self.work, self.drain())
    }

    fn is_within(self, limit: WaitLimit) -> bool {
        self.wait(limit) <= limit.useful.max(limit.in_time)
    }

    /// Time until the wait is within the limit, in milliseconds.
    fn time_until(self, limit: WaitLimit) -> Millis {
        let drain = self.drain();
        let in_time = self.rate.saturating_mul(limit.in_time);
        let useful = drain.saturating_mul(limit.useful);
        let until_in_time = time_of(self.in_time.saturating_sub(in_time), drain);
        until_in_time.min(time_of(self.work.saturating_sub(useful), drain))
    }
}

/// Time in which work is done, in milliseconds.
fn time_of(work: u64, rate: u64) -> Millis {
    if work == 0 {
        return 0;
    }
    let time = work.checked_div(rate);
    time.map_or(WAIT_MAX_MS, |time| time.min(WAIT_MAX_MS))
}

/// Work that is served before a job of some priority, or beside it.
struct WorkAhead<'a> {
    report: &'a IntakeReport,
    priority: u32,
    age: Millis,
    own: TeamLoad,
}

impl<'a> WorkAhead<'a> {
    fn new(report: &'a IntakeReport, request: &IntakeRequest<'_>, age: Millis) -> Self {
        let mut ahead = Self {
            report,
            priority: request.policy.priority,
            age,
            own: TeamLoad::default(),
        };
        ahead.own = ahead.sum(|team| team == request.team);
        ahead
    }

    fn loads(&self) -> impl Iterator<Item = (&'a String, &'a TeamLoad)> {
        let loads = self.report.loads.range(..=self.priority);
        loads.flat_map(|(_, teams)| teams)
    }

    fn sum(&self, counts: impl Fn(&str) -> bool) -> TeamLoad {
        let loads = self.loads().filter(|(team, _)| counts(team));
        loads.fold(TeamLoad::default(), |sum, (_, load)| sum.plus(load))
    }

    /// All the work at the capacity of the pool.
    fn pool_line(&self, capacity: u64) -> WorkLine {
        let all = self.sum(|_| true);
        all.line(capacity).after(self.age)
    }

    /// The work of the job's team at what its limit allows; no work where it has none.
    fn allowed_line(&self) -> WorkLine {
        match self.own.allowed {
            Some(allowed) => self.own.line(allowed).after(self.age),
            None => TeamLoad::default().line(self.report.capacity),
        }
    }

    /// The shares of all teams with work. A team gets what it can use at most, and the rest
    /// goes to the others by weight.
    fn shares(&self, capacity: u64) -> TeamShares<'a> {
        let mut loads: BTreeMap<&str, TeamLoad> = BTreeMap::new();
        for (team, load) in self.loads() {
            let sum = loads.entry(team.as_str()).or_default();
            *sum = sum.plus(load);
        }
        let mut teams: Vec<(&str, TeamLoad)> = loads.into_iter().collect();
        teams.sort_by(|(_, one), (_, other)| one.fill_level().total_cmp(&other.fill_level()));
        let mut weights: f64 = teams.iter().map(|(_, load)| load.usable_weight()).sum();
        let mut left = capacity;
        let mut lines = BTreeMap::new();
        for (team, load) in teams {
            let weight = load.usable_weight();
            let share = scale(left, (weight / weights).min(1.0)).min(load.usable());
            left -= share;
            weights = (weights - weight).max(f64::MIN_POSITIVE);
            lines.insert(team, load.line(share).after(self.age));
        }
        TeamShares { lines }
    }
}

/// The work of each team at its share of the capacity.
struct TeamShares<'a> {
    lines: BTreeMap<&'a str, WorkLine>,
}

impl TeamShares<'_> {
    fn line(&self, team: &str) -> WorkLine {
        let line = self.lines.get(team).copied();
        line.unwrap_or(TeamLoad::default().line(0))
    }

    /// Whether another team has work that its share serves within the limit.
    fn any_other_within(&self, team: &str, limit: WaitLimit) -> bool {
        let mut others = self.lines.iter().filter(|(other, _)| **other != team);
        others.any(|(_, line)| line.is_within(limit))
    }
}

impl TeamLoad {
    fn line(&self, rate: u64) -> WorkLine {
        WorkLine {
            work: self.work,
            in_time: self.work.saturating_sub(self.late),
            rate,
            arriving: self.arriving,
        }
    }

    /// The sum of both, for a team's loads of several priorities.
    fn plus(&self, other: &Self) -> Self {
        Self {
            work: self.work.saturating_add(other.work),
            late: self.late.saturating_add(other.late),
            arriving: self.arriving.saturating_add(other.arriving),
            weight: self.weight.max(other.weight),
            allowed: self.allowed.or(other.allowed),
        }
    }

    /// Capacity that the team can use at most, in thousandths of a core.
    fn usable(&self) -> u64 {
        let work = self.work.div_ceil(SHARE_HORIZON_MS);
        let usable = self.arriving.saturating_add(work);
        usable.min(self.allowed.unwrap_or(u64::MAX))
    }

    fn usable_weight(&self) -> f64 {
        if self.weight > 0.0 { self.weight } else { 1.0 }
    }

    /// Capacity for each unit of weight at which the team has all that it can use.
    #[expect(
        clippy::cast_precision_loss,
        reason = "amounts of processors are far below 2^52 thousandths of a core"
    )]
    fn fill_level(&self) -> f64 {
        self.usable() as f64 / self.usable_weight()
    }
}

/// Spread of decisions by the hash of a job's identifier, so that nodes which follow one report
/// don't all admit or refuse at once, and refused callers don't return together.
#[derive(Clone, Copy)]
struct Spread {
    hash: u64,
}

impl Spread {
    fn of(id: &str) -> Self {
        Self {
            hash: hash_name(id),
        }
    }

    /// The limit, moved by at most [`LIMIT_SPREAD_PERCENT`] up or down. It rises as the time of the caller
    /// runs out, up to the highest of all for one that can't return again.
    fn limit(self, limit: Millis, remaining: Millis) -> Millis {
        let step = self.hash % SPREAD_STEPS;
        let most = CALLER_WAIT_MS - RETRY_MIN_MS;
        let waited = CALLER_WAIT_MS.saturating_sub(remaining).min(most);
        let raised = step + (SPREAD_STEPS - 1 - step) * waited / most;
        Self::scatter(limit, raised, LIMIT_SPREAD_PERCENT)
    }

    /// The time, moved by at most [`RETRY_SPREAD_PERCENT`] up or down.
    fn retry(self, time: Millis) -> Millis {
        let step = self.hash / SPREAD_STEPS % SPREAD_STEPS;
        Self::scatter(time, step, RETRY_SPREAD_PERCENT)
    }

    fn scatter(time: Millis, step: u64, percent: u64) -> Millis {
        let least = time * (100 - percent) / 100;
        least + time * 2 * percent * step / (100 * (SPREAD_STEPS - 1))
    }
}
