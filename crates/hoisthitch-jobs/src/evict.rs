//! Empties a runner sooner than its tasks end, when another pool needs its VM.
//!
//! A task that saves its progress is stopped and goes on elsewhere from where it
//! was. That costs its job the stop and a start, and brings the VM the time that
//! the task would have run on: 1 in 100 more of what is owed where demand goes from
//! pool to pool (40 plays, docs/decisions.md). Tasks for which no room is free
//! elsewhere stay, unless their job is late anyway, and so do those that would begin
//! anew.

use crate::{
    Millis,
    pool::PoolState,
    runner::RunnerKey,
    task::{
        TaskEntry,
        TaskPlace,
        TaskRef, //
    }, //
};

/// Time that a task has to run on for at least to be moved, in milliseconds: a stop
/// takes up to nine tenths of a second.
const LEFT_MS: Millis = 700;

/// Share of a task's work from which on the time left is judged by it, in percent.
const TOLD_PERCENT: u32 = 10;

impl PoolState {
    /// Stops tasks of a leaving runner that can go on elsewhere.
    pub fn evict_resumable(&mut self, key: RunnerKey, now: Millis) {
        let Some(runner) = self.runners.get(key) else {
            return;
        };
        if !runner.ready || !runner.evacuating {
            return;
        }
        let tasks: Vec<(TaskRef, u64)> = runner
            .tasks
            .iter()
            .filter(|task| self.can_go_on(**task, now))
            .filter_map(|task| {
                let job = self.jobs.get(task.job)?;
                let step = job.step_of(task.slot)?;
                // What is late waits for room elsewhere; other pools' work must not.
                let late = self.is_missed(job, now);
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

    /// Whether the task keeps its work when it is stopped, and runs on for long.
    fn can_go_on(&self, task: TaskRef, now: Millis) -> bool {
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
            && time_left(entry, self.expected_time(job), now) > LEFT_MS
    }

    /// Processor time that runners have free, beyond what waits for it, in
    /// thousandths of a core.
    fn free_cpu(&self, now: Millis) -> u64 {
        let takers = self
            .runners
            .values()
            .filter(|runner| runner.takes_tasks(now));
        let free: u64 = takers
            .map(|runner| {
                runner
                    .facts
                    .capacity
                    .cpu_milli
                    .saturating_sub(runner.used.cpu_milli)
            })
            .sum();
        let due: u64 = self
            .active_tasks()
            .filter(|(_, entry)| matches!(entry.place, TaskPlace::Waiting | TaskPlace::Stopping(_)))
            .filter_map(|(task, _)| {
                let job = self.jobs.get(task.job)?;
                let step = job.step_of(task.slot)?;
                job.is_ready(task.slot).then_some(step.room().cpu_milli)
            })
            .sum();
        free.saturating_sub(due)
    }
}

/// Time that a task runs on, by the share of its work that is done.
fn time_left(entry: &TaskEntry, expected: Millis, now: Millis) -> Millis {
    let ran = now.saturating_sub(entry.began_at);
    if entry.percent < TOLD_PERCENT {
        return expected.saturating_sub(ran);
    }
    let percent = Millis::from(entry.percent.min(100));
    ran * (100 - percent) / percent
}
