//! Accounts for how the time of each job was spent.
//!
//! From its acceptance on, a job's time is charged to what it waited for: until its owner had
//! it, while a ready task had no runner, while starts were recorded and ordered, and while its
//! tasks ran. Whether a job was in time is judged by the same objective that orders the jobs,
//! using the mean task time of its queue.

use crate::{
    Millis,
    job::{
        JobEntry,
        JobKey,
        scale, //
    },
    pool::PoolState,
    record::JobPhase,
    task::TaskState, //
};

/// What a job's time is charged to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TimeUse {
    /// A ready task has no runner.
    Waiting,
    /// A start is being recorded or ordered, or it is not known whether a task runs.
    Ordering,
    /// All ready tasks run.
    Running,
}

/// Time of a job by use, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TimeAccount {
    /// Until its owner had it.
    pub taking: Millis,
    /// While a ready task had no runner.
    pub waiting: Millis,
    /// While starts were being recorded and ordered.
    pub ordering: Millis,
    /// While all ready tasks ran.
    pub running: Millis,
    /// When the account was last updated; none before the owner had the job.
    updated_at: Option<Millis>,
}

/// A job that ended, and how its time was spent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedJob {
    /// Identifier.
    pub id: String,
    /// Queue of the job.
    pub queue: String,
    /// How it ended.
    pub phase: JobPhase,
    /// Time from its acceptance to its end, in milliseconds.
    pub took: Millis,
    /// Time within which it was to be done, in milliseconds.
    pub objective: Millis,
    /// How its time was spent.
    pub account: TimeAccount,
    /// Number of runs beyond the first of each task.
    pub reruns: u32,
}

impl JobEntry {
    /// Charges the time since the last update; must be called before a task changes its state.
    pub(crate) fn update_account(&mut self, now: Millis) {
        let Some(before) = self.account.updated_at else {
            self.account.taking = now.saturating_sub(self.accepted_at);
            self.account.updated_at = Some(now);
            return;
        };
        let time = now.saturating_sub(before);
        if time == 0 {
            return;
        }
        match self.time_use() {
            TimeUse::Waiting => self.account.waiting += time,
            TimeUse::Ordering => self.account.ordering += time,
            TimeUse::Running => self.account.running += time,
        }
        self.account.updated_at = Some(now);
    }

    fn time_use(&self) -> TimeUse {
        let mut time_use = TimeUse::Running;
        for (slot, task) in self.tasks.iter().enumerate() {
            if self.waits_for_runner(slot) {
                return TimeUse::Waiting;
            }
            if matches!(
                task.state,
                TaskState::Planned(_) | TaskState::Ordered(_) | TaskState::Unconfirmed { .. }
            ) {
                time_use = TimeUse::Ordering;
            }
        }
        time_use
    }

    /// The job's objective in milliseconds after acceptance, if each of its tasks takes
    /// `time`.
    pub(crate) fn objective(&self, time: Millis) -> Millis {
        let chain = self.spec.critical_path(|_| time);
        self.policy.target_latency_ms + scale(chain, self.policy.stretch)
    }
}

impl PoolState {
    /// Records the end of a job; long-running jobs are left out.
    pub(crate) fn record_job_end(&mut self, key: JobKey, now: Millis) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.update_account(now);
        let Some(job) = self.jobs.get(key).filter(|job| !job.spec.is_long_running()) else {
            return;
        };
        let reruns = job
            .tasks
            .iter()
            .map(|task| task.run.saturating_sub(1))
            .sum();
        let ended = EndedJob {
            id: job.id.clone(),
            queue: job.queue.clone(),
            phase: job.phase,
            took: now.saturating_sub(job.accepted_at),
            objective: job.objective(self.task_time(&job.queue)),
            account: job.account,
            reruns,
        };
        self.ended_jobs.push(ended);
    }

    /// Returns the jobs that ended since the last call.
    pub fn take_ended_jobs(&mut self) -> Vec<EndedJob> {
        std::mem::take(&mut self.ended_jobs)
    }
}
