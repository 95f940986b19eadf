//! Moves lasting tasks off runners that say that they leave.

use crate::{
    Millis,
    pool::PoolState,
    runner::RunnerKey,
    task::{
        TaskPlace,
        TaskRef, //
    }, //
};

impl PoolState {
    /// Stops lasting tasks on leaving runners, so that they start elsewhere; of a
    /// step only so many at once as it may miss. Without it they would be away
    /// until the lease of a runner that is gone is over, some five seconds. Tasks
    /// for which there is no room elsewhere stay to the end.
    pub fn leave_draining(&mut self, now: Millis) {
        let draining: Vec<RunnerKey> = self
            .runners
            .iter()
            .filter(|(_, runner)| runner.facts.draining && runner.open)
            .filter(|(_, runner)| !runner.tasks.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in draining {
            let tasks: Vec<TaskRef> = self
                .runners
                .get(key)
                .map(|runner| runner.tasks.iter().copied().collect())
                .unwrap_or_default();
            for task in tasks {
                if self.may_move(task, now) {
                    self.stop_task(task, now);
                }
            }
        }
    }

    /// Whether a task runs, lasts, can be missed now, and has room elsewhere.
    fn may_move(&self, task: TaskRef, now: Millis) -> bool {
        let runs = self
            .task(task)
            .is_some_and(|entry| matches!(entry.place, TaskPlace::Running(_)));
        runs && self.lasts(task)
            && !self.is_gang(task)
            && self.may_end(&[task])
            && self.choose_runner(task, None, now).is_some()
    }
}
