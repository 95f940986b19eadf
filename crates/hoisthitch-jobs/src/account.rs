//! Where the time of a job went.
//!
//! From its acceptance on, a job's time is put down to what held it up: until its
//! owner had it, while a task that could run had no runner, while starts were
//! recorded and ordered, and while its tasks ran. Whether a job was in time is
//! judged as the order of jobs judges it, by the times that its queue's tasks take.

use crate::{
    Millis,
    job::{
        JobEntry,
        JobKey,
        scale, //
    },
    pool::PoolState,
    record::JobPhase,
    task::TaskPlace, //
};

/// What held a job up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TimeUse {
    /// A task that could run has no runner.
    Waiting,
    /// A start is being recorded or ordered, or its outcome is not known.
    Ordering,
    /// All tasks that can run do.
    Running,
}

/// Time of a job by its use, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TimeAccount {
    /// Until its owner had it.
    pub taking: Millis,
    /// While a task that could run had no runner.
    pub waiting: Millis,
    /// While starts were recorded and ordered.
    pub ordering: Millis,
    /// While all tasks that could run did.
    pub running: Millis,
    /// When the account was last kept; none before the owner had the job.
    kept_at: Option<Millis>,
}

/// A job that ended, and where its time went.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedJob {
    /// Identifier.
    pub id: String,
    /// Its queue.
    pub queue: String,
    /// How it ended.
    pub phase: JobPhase,
    /// Time from its acceptance on, in milliseconds.
    pub took: Millis,
    /// Time within which it was to be done, in milliseconds.
    pub objective: Millis,
    /// Where the time went.
    pub account: TimeAccount,
    /// Runs beyond one for each task.
    pub reruns: u32,
}

impl JobEntry {
    /// Puts the time since the last change down to its use; called before a task
    /// changes its place.
    pub(crate) fn keep_account(&mut self, now: Millis) {
        let Some(before) = self.account.kept_at else {
            self.account.taking = now.saturating_sub(self.accepted_at);
            self.account.kept_at = Some(now);
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
        self.account.kept_at = Some(now);
    }

    fn time_use(&self) -> TimeUse {
        let mut held = TimeUse::Running;
        for (slot, task) in self.tasks.iter().enumerate() {
            if self.waits_for_runner(slot) {
                return TimeUse::Waiting;
            }
            if matches!(
                task.place,
                TaskPlace::Planned(_) | TaskPlace::Ordered(_) | TaskPlace::Unlocated { .. }
            ) {
                held = TimeUse::Ordering;
            }
        }
        held
    }

    /// Time within which the job is to be done, in milliseconds, where its tasks
    /// take `time`.
    pub(crate) fn objective(&self, time: Millis) -> Millis {
        let chain = self.spec.critical_path(|_| time);
        self.policy.target_latency_ms + scale(chain, self.policy.stretch)
    }
}

impl PoolState {
    /// Notes that a job ended.
    pub(crate) fn note_ended(&mut self, key: JobKey, now: Millis) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.keep_account(now);
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

    /// Jobs that ended since they were last taken.
    pub fn take_ended_jobs(&mut self) -> Vec<EndedJob> {
        std::mem::take(&mut self.ended_jobs)
    }
}
