//! Accepted work whose end is of no use to its caller any more.
//!
//! It is done all the same, because no job may be lost. It must not keep work that can be in
//! time from the pool's capacity, nor take VMs from other pools.

use std::collections::HashMap;

use crate::{
    Millis,
    intake::{
        JobTimes,
        is_payable, //
    },
    job::{
        JobEntry,
        JobKey, //
    },
    pool::PoolState,
    pressure::{
        remaining_time,
        remaining_work, //
    },
    resources::{
        ResourceAmounts,
        saturating_sum, //
    },
    runner::RunnerKey,
    task::TaskRef, //
};

/// Accepted work that can't end any more while that is of use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UselessWork {
    /// Number of tasks that are not done.
    pub tasks: u64,
    /// Work that is not done, in core-milliseconds.
    pub core_ms: u64,
}

/// Room in which tasks may start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartRoom {
    /// All there is.
    Any,
    /// What work that can be in time leaves to useless work, in thousandths of a core.
    Left {
        /// Beyond what the other work reserves, waits for and is expected to need.
        free: u64,
        /// Reserved by all tasks.
        used: u64,
        /// Up to which amount in use useless work may start in any case: no job may stand
        /// still in a pool that is less than half used.
        half: u64,
    },
}

impl StartRoom {
    /// Whether there is a limit.
    pub(crate) fn is_limited(&self) -> bool {
        *self != Self::Any
    }

    /// Whether tasks with this need may start.
    pub(crate) fn allows(&self, need: ResourceAmounts) -> bool {
        match self {
            Self::Any => true,
            Self::Left { free, used, half } => need.cpu_milli <= *free || used < half,
        }
    }

    /// Deducts the need of planned tasks.
    pub(crate) fn take(&mut self, need: ResourceAmounts) {
        if let Self::Left { free, used, .. } = self {
            *free = free.saturating_sub(need.cpu_milli);
            *used += need.cpu_milli;
        }
    }
}

impl PoolState {
    /// Jobs that have not ended.
    pub(crate) fn unended_jobs(&self) -> impl Iterator<Item = (JobKey, &JobEntry)> {
        let jobs = self.active.iter();
        let jobs = jobs.filter_map(|key| Some((*key, self.jobs.get(*key)?)));
        jobs.filter(|(_, job)| !job.phase.is_final())
    }

    /// Whether a job can't end any more while that is of use to its caller.
    pub(crate) fn is_useless(&self, job: &JobEntry, now: Millis) -> bool {
        if !is_payable(&job.spec) {
            return false;
        }
        let times = JobTimes {
            spec: &job.spec,
            policy: &job.policy,
            mean: self.task_time(&job.queue),
        };
        let end = job.accepted_at + times.useful_time();
        let round = job.rounds_begun().saturating_sub(1);
        let remains = |step| job.rounds_begun() == 0 || job.remaining_tasks(round, step) > 0;
        let most = job.spec.critical_path(|step| {
            if remains(step) {
                times.of_step(step)
            } else {
                0
            }
        });
        if now + most <= end {
            return false;
        }
        // Tasks that run need less than their whole time.
        let left = job.spec.critical_path(|step| {
            if job.rounds_begun() == 0 {
                return times.of_step(step);
            }
            let tasks = job.tasks_of(round, step);
            let left = tasks.map(|(_, task)| remaining_time(task, times.of_step(step), now));
            left.max().unwrap_or(0)
        });
        now + left > end
    }

    /// Whether the job yields to others because its end is of no use any more.
    pub(crate) fn yields_as_useless(&self, job: &JobEntry, now: Millis) -> bool {
        // Few jobs are late, and each that is useless is.
        let is_late = || self.latest_start(job) < now;
        self.terms.useless_work_yields && is_late() && self.is_useless(job, now)
    }

    /// Room for tasks that yield, once the others have been placed.
    pub(crate) fn room_for_useless(&self, now: Millis) -> StartRoom {
        let staying = || self.runners.values().filter(|runner| runner.is_staying());
        let room = saturating_sum(staying().map(|runner| runner.facts.capacity.cpu_milli));
        let used = saturating_sum(staying().map(|runner| runner.used.cpu_milli));
        let (mut useless, mut waiting, mut long_running) = (0, 0, 0);
        for (key, job) in self.unended_jobs() {
            let yields = self.yields_as_useless(job, now);
            for (slot, entry) in job.tasks.iter().enumerate() {
                let Some(step) = job.step_of(slot) else {
                    continue;
                };
                let cpu = step.reservation().cpu_milli;
                let runner = entry.runner().and_then(|runner| self.runners.get(runner));
                long_running += self.long_running_need(job, TaskRef { job: key, slot });
                if yields && runner.is_some_and(|runner| runner.is_staying()) {
                    useless += cpu;
                }
                if !yields && job.waits_for_runner(slot) {
                    waiting += cpu;
                }
            }
        }
        let reserved = used.saturating_sub(useless);
        let steady = self.arriving_demand(now) + long_running;
        let needed = steady.max(reserved + waiting);
        StartRoom::Left {
            free: room.saturating_sub(needed + useless),
            used,
            half: room / 2,
        }
    }

    /// What tasks that yield reserve on each runner, in thousandths of a core.
    pub(crate) fn useless_on_runners(&self, now: Millis) -> HashMap<RunnerKey, u64> {
        let mut sums = HashMap::new();
        if !self.terms.useless_work_yields {
            return sums;
        }
        let jobs = self.unended_jobs().map(|(_, job)| job);
        for job in jobs.filter(|job| self.yields_as_useless(job, now)) {
            for (slot, task) in job.tasks.iter().enumerate() {
                if let Some((runner, step)) = task.runner().zip(job.step_of(slot)) {
                    *sums.entry(runner).or_insert(0) += step.reservation().cpu_milli;
                }
            }
        }
        sums
    }

    /// Accepted work that can't end any more while that is of use.
    pub fn useless_work(&self, now: Millis) -> UselessWork {
        let mut sum = UselessWork::default();
        for (_, job) in self
            .unended_jobs()
            .filter(|(_, job)| self.is_useless(job, now))
        {
            let done = job.tasks.iter().filter(|task| task.is_done()).count();
            let done = u64::try_from(done).unwrap_or(u64::MAX);
            sum.tasks += u64::from(job.spec.tasks_per_round()).saturating_sub(done);
            sum.core_ms += remaining_work(job, self.task_time(&job.queue), now) / 1_000;
        }
        sum
    }
}
