//! Finds tasks that stand still.

use crate::{
    Millis,
    pool::PoolState,
    runner::RunnerKey,
    task::{
        TaskPlace,
        TaskRef, //
    }, //
};

/// Time without progress after which a task stands still, in milliseconds: two
/// reports of its runner, with some to spare.
const STALL_MS: Millis = 1_800;

/// Part of a task's expected time in which it shows progress at least: one in
/// this many; progress is told in hundredths.
const PROGRESS_PART: Millis = 25;

/// Time for which a runner on which a task stood still gets no tasks, in
/// milliseconds; such troubles last some seconds.
const STALL_SHUN_MS: Millis = 4_000;

impl PoolState {
    /// Stops tasks that stand still, to start them elsewhere; answers with
    /// their runners.
    pub fn stop_stalled(&mut self, now: Millis) -> Vec<RunnerKey> {
        let stalled: Vec<(TaskRef, RunnerKey)> = self
            .active
            .iter()
            .filter_map(|key| Some((*key, self.jobs.get(*key)?)))
            .filter(|(_, job)| !job.phase.is_final())
            .flat_map(|(key, job)| {
                let expected = self.expected_time(job);
                let limit = STALL_MS.max(expected / PROGRESS_PART);
                let tasks = job.tasks.iter().enumerate();
                tasks.filter_map(move |(slot, task)| {
                    let step = job.step_of(slot)?;
                    let TaskPlace::Running(runner) = task.place else {
                        return None;
                    };
                    let stands = task.moved_at + limit < now && !step.long_running && !step.gang;
                    stands.then_some((TaskRef { job: key, slot }, runner))
                })
            })
            .collect();
        let mut runners = Vec::new();
        for (task, key) in stalled {
            // What a silent runner does is not known, nor can it be told.
            let Some(runner) = self.runners.get_mut(key).filter(|runner| runner.ready) else {
                continue;
            };
            runner.shun(now, STALL_SHUN_MS);
            runners.push(key);
            self.stop_task(task, now);
        }
        runners
    }
}
