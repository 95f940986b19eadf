//! Finds running tasks that make no progress, and moves them to other runners.

use crate::{
    Millis,
    pool::PoolState,
    runner::RunnerKey,
    task::{
        TaskRef,
        TaskState, //
    }, //
};

/// Least time without progress after which a task counts as stalled, in milliseconds: two
/// reports of its runner, and some to spare.
const STALL_MS: Millis = 1_800;

/// Part of a task's expected time within which it shows progress at least: one in this many.
/// Progress is reported in hundredths.
const PROGRESS_DIVISOR: Millis = 25;

/// Backoff of a runner on which a task stalled, in milliseconds; such troubles last some
/// seconds.
const STALL_BACKOFF_MS: Millis = 4_000;

impl PoolState {
    /// Stops stalled tasks, so that they start elsewhere; returns their runners.
    pub fn stop_stalled(&mut self, now: Millis) -> Vec<RunnerKey> {
        let stalled: Vec<(TaskRef, RunnerKey)> = self
            .active
            .iter()
            .filter_map(|key| Some((*key, self.jobs.get(*key)?)))
            .filter(|(_, job)| !job.phase.is_final())
            .flat_map(|(key, job)| {
                let expected = self.expected_time(job);
                let limit = STALL_MS.max(expected / PROGRESS_DIVISOR);
                let tasks = job.tasks.iter().enumerate();
                tasks.filter_map(move |(slot, task)| {
                    let step = job.step_of(slot)?;
                    let TaskState::Running(runner) = task.state else {
                        return None;
                    };
                    let is_late = task.changed_at + limit < now;
                    // A run that the runner does not list may have ended.
                    let is_stalled = is_late && task.reported && !step.long_running && !step.gang;
                    is_stalled.then_some((TaskRef { job: key, slot }, runner))
                })
            })
            .collect();
        let mut runners = Vec::new();
        for (task, key) in stalled {
            // It is not known what an unresponsive runner does, nor can it get orders.
            let Some(runner) = self.runners.get_mut(key).filter(|runner| runner.ready) else {
                continue;
            };
            runner.back_off(now, STALL_BACKOFF_MS);
            runners.push(key);
            self.stop_task(task, now);
        }
        runners
    }
}
