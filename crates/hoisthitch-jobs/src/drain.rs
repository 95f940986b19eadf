//! Moves long-running tasks off draining runners, that is, those that have announced their
//! shutdown.

use crate::{
    Millis,
    pool::PoolState,
    task::{
        TaskEntry,
        TaskRef,
        TaskState, //
    }, //
};

impl PoolState {
    /// Stops long-running tasks on draining runners, so that they start elsewhere; of each
    /// step only as many at the same time as may be unavailable. Otherwise they would be
    /// unavailable until the lease of the runner that shut down has ended. Tasks for which no
    /// other runner has free capacity stay until the end.
    pub fn move_off_draining(&mut self, now: Millis) {
        let draining_tasks: Vec<TaskRef> = self
            .runners
            .values()
            .filter(|runner| runner.facts.draining && runner.ready)
            .flat_map(|runner| runner.tasks.iter().copied())
            .filter(|task| self.is_long_running(*task) && !self.is_gang(*task))
            .collect();
        if draining_tasks.is_empty() {
            return;
        }
        let mut moving = self.count_moving();
        for task in draining_tasks {
            let runs = self.task(task).is_some_and(TaskEntry::is_running);
            // Each task that is being moved may take all the capacity of a runner.
            if runs
                && self.may_be_unavailable(task)
                && self.count_fitting_runners(task, now) > moving
            {
                self.stop_task(task, now);
                moving += 1;
            }
        }
    }

    /// Number of long-running tasks that are being stopped or wait to be placed.
    fn count_moving(&self) -> usize {
        self.active_tasks()
            .filter(|(task, entry)| {
                let is_moving = matches!(entry.state, TaskState::Stopping(_) | TaskState::Waiting);
                is_moving && self.is_long_running(*task)
            })
            .count()
    }

    /// Whether the task's step allows it to be unavailable now. Where a step allows no task to
    /// be unavailable, one at a time is moved, because all of them will go down with their
    /// runners in the end.
    fn may_be_unavailable(&self, task: TaskRef) -> bool {
        let Some(job) = self.jobs.get(task.job).filter(|job| !job.phase.is_final()) else {
            return false;
        };
        let (Some(step), Some(entry)) = (job.step_of(task.slot), job.tasks.get(task.slot)) else {
            return false;
        };
        let others = job.tasks_of(entry.round, entry.step);
        let others = others.filter(|(slot, _)| *slot != task.slot);
        let unavailable = others.filter(|(_, other)| !self.stays_available(other));
        u32::try_from(unavailable.count())
            .is_ok_and(|unavailable| unavailable < step.max_unavailable.max(1))
    }

    /// Whether a task is available and its runner is not being emptied: maintenance or a move of
    /// its VM may have been ordered already.
    fn stays_available(&self, entry: &TaskEntry) -> bool {
        let runner = entry.runner().and_then(|key| self.runners.get(key));
        self.is_available(entry) && runner.is_some_and(|runner| runner.evacuation.takes_tasks())
    }
}
