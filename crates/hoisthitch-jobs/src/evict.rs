//! Evicts resumable tasks from a runner when another pool needs its VM, instead of waiting for
//! their ends.
//!
//! A task that saves its progress is stopped and resumes on another runner. This costs its job
//! a stop and a start, and frees the VM earlier by the time that the task would have run on;
//! it brings 1 percent more of the attainable value where demand goes from pool to pool (40
//! simulated days, docs/decisions.md). Tasks that would have to begin from the start stay, and
//! so do tasks for which no other runner has free capacity, unless their job is late anyway.

use crate::{
    Millis,
    pool::PoolState,
    resources::saturating_sum,
    runner::RunnerKey,
    task::{
        TaskEntry,
        TaskRef,
        TaskState, //
    }, //
};

/// Least remaining time of a task that is moved, in milliseconds: a stop takes up to nine
/// tenths of a second.
const TIME_LEFT_MIN_MS: Millis = 700;

/// Least progress from which the remaining time of a task is extrapolated, in percent.
const EXTRAPOLATE_PERCENT: u32 = 10;

impl PoolState {
    /// Stops tasks of an evacuating runner that can resume elsewhere.
    pub fn evict_resumable(&mut self, key: RunnerKey, now: Millis) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        if !runner.ready || runner.evacuation.takes_tasks() {
            return;
        }
        let tasks: Vec<(TaskRef, u64)> = runner
            .tasks
            .iter()
            .filter(|task| self.can_resume(**task, now))
            .filter_map(|task| {
                let job = self.jobs.get(task.job)?;
                let step = job.step_of(task.slot)?;
                // Tasks of a late job may wait for capacity elsewhere; the other pool's work
                // must not wait.
                let late = self.has_missed_objective(job, now);
                Some((*task, if late { 0 } else { step.need.cpu_milli }))
            })
            .collect();
        if tasks.is_empty() {
            return;
        }
        let mut free = self.free_cpu(now);
        for (task, need) in tasks {
            if need > free {
                return;
            }
            free -= need;
            self.stop_task(task, now);
        }
    }

    /// Whether the task keeps its progress when it is stopped, and has enough time left to be
    /// worth moving.
    fn can_resume(&self, task: TaskRef, now: Millis) -> bool {
        let Some(job) = self.jobs.get(task.job).filter(|job| !job.phase.is_final()) else {
            return false;
        };
        let (Some(step), Some(entry)) = (job.step_of(task.slot), job.tasks.get(task.slot)) else {
            return false;
        };
        entry.is_running()
            && step.checkpoints
            && !step.long_running
            && !step.gang
            && remaining_time(entry, self.expected_time(job), now) > TIME_LEFT_MIN_MS
    }

    /// Free processors of runners that take tasks, less those that waiting and stopping tasks
    /// need, in thousandths of a core.
    fn free_cpu(&self, now: Millis) -> u64 {
        let accepting = self
            .runners
            .values()
            .filter(|runner| runner.takes_tasks(now));
        let free = saturating_sum(accepting.map(|runner| {
            let capacity = runner.facts.capacity.cpu_milli;
            capacity.saturating_sub(runner.used.cpu_milli)
        }));
        let requested = self
            .active_tasks()
            .filter(|(_, entry)| matches!(entry.state, TaskState::Waiting | TaskState::Stopping(_)))
            .filter_map(|(task, _)| {
                let job = self.jobs.get(task.job)?;
                let step = job.step_of(task.slot)?;
                job.is_ready(task.slot)
                    .then_some(step.reservation().cpu_milli)
            });
        free.saturating_sub(saturating_sum(requested))
    }
}

/// Remaining time of a task: extrapolated from its progress, or the expected time less the
/// time it ran.
fn remaining_time(entry: &TaskEntry, expected: Millis, now: Millis) -> Millis {
    let ran = now.saturating_sub(entry.began_at);
    if entry.percent < EXTRAPOLATE_PERCENT {
        return expected.saturating_sub(ran);
    }
    let percent = Millis::from(entry.percent.min(100));
    ran * (100 - percent) / percent
}
