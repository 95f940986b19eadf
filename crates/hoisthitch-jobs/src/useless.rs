//! Accepted work whose end is of no use to its caller any more.
//!
//! It is done all the same, because no job may be lost. It must not keep work that can be in
//! time from the pool's capacity, nor take VMs from other pools.

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
    task::TaskState, //
};

/// Accepted work that can't end any more while that is of use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UselessWork {
    /// Number of tasks that are not done.
    pub tasks: u64,
    /// Work that is not done, in core-milliseconds.
    pub core_ms: u64,
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

    /// Accepted work that can't end any more while that is of use.
    pub fn useless_work(&self, now: Millis) -> UselessWork {
        let mut sum = UselessWork::default();
        for (_, job) in self
            .unended_jobs()
            .filter(|(_, job)| self.is_useless(job, now))
        {
            let tasks = job.tasks.iter();
            let undone = tasks.filter(|task| task.state != TaskState::Done).count();
            sum.tasks += u64::try_from(undone).unwrap_or(u64::MAX);
            sum.core_ms += remaining_work(job, self.task_time(&job.queue), now) / 1_000;
        }
        sum
    }
}
