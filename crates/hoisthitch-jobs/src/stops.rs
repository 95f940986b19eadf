//! Jobs that end before they are done, and the stops of what runs of them.

use crate::{
    Millis,
    job::JobKey,
    pool::PoolState,
    record::JobPhase,
    runner::RunnerKey,
    task::{
        StopOrder,
        TaskPlace,
        TaskRef, //
    }, //
};

/// Time after which a stop without an end is sent again, in milliseconds.
const STOP_AGAIN_MS: Millis = 700;

impl PoolState {
    /// Takes in a cancel; answers whether it ended the job.
    pub fn cancel(&mut self, id: &str, now: Millis) -> bool {
        let Some(key) = self.job_ids.get(id).copied() else {
            return false;
        };
        let ends = self.jobs.get(key).is_some_and(|job| !job.phase.is_final());
        self.end_job(key, JobPhase::Cancelled, now);
        ends
    }

    /// Ends a job and stops what runs of it.
    pub(crate) fn end_job(&mut self, key: JobKey, phase: JobPhase, now: Millis) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        job.phase = phase;
        job.dirty = true;
        job.ended_at = Some(now);
        for slot in 0..job.tasks.len() {
            self.stop_task(TaskRef { job: key, slot }, now);
        }
        self.note_ended(key, now);
    }

    /// Stops a task wherever it is.
    pub(crate) fn stop_task(&mut self, task: TaskRef, now: Millis) {
        let Some(entry) = self.task(task) else {
            return;
        };
        match entry.place {
            TaskPlace::Planned(_) => self.set_place(task, TaskPlace::Waiting, now),
            TaskPlace::Ordered(runner) | TaskPlace::Running(runner) => {
                self.set_place(task, TaskPlace::Stopping(runner), now);
                self.order_stop(task, runner, now);
            }
            TaskPlace::Waiting
            | TaskPlace::Stopping(_)
            | TaskPlace::Unlocated { .. }
            | TaskPlace::Done => {}
        }
    }

    pub(crate) fn order_stop(&mut self, task: TaskRef, runner: RunnerKey, now: Millis) {
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        let Some(name) = job.name_of(task.slot) else {
            return;
        };
        let Some(entry) = job.tasks.get_mut(task.slot) else {
            return;
        };
        entry.ordered_at = now;
        let run = entry.placed_run();
        self.stops.push(StopOrder { runner, name, run });
    }

    /// Stops that are to be sent.
    pub fn take_stop_orders(&mut self) -> Vec<StopOrder> {
        std::mem::take(&mut self.stops)
    }

    /// Whether a stop may be sent again: one that was decided on while its step could miss the
    /// task waits while it can't.
    fn may_stop_again(&self, task: TaskRef, key: RunnerKey) -> bool {
        let drains = self
            .runners
            .get(key)
            .is_some_and(|runner| runner.facts.draining);
        let runs = self
            .task(task)
            .is_some_and(|entry| entry.shown && entry.stray_run.is_none());
        drains || !runs || !self.lasts(task) || self.may_end(&[task])
    }

    /// Sends stops again of which no end was heard.
    pub fn resend_stops(&mut self, now: Millis) {
        let overdue: Vec<(TaskRef, RunnerKey)> = self
            .active_tasks()
            .filter_map(|(task, entry)| match entry.place {
                TaskPlace::Stopping(runner) if entry.ordered_at + STOP_AGAIN_MS <= now => {
                    Some((task, runner))
                }
                _ => None,
            })
            .filter(|(task, runner)| self.may_stop_again(*task, *runner))
            .collect();
        for (task, runner) in overdue {
            self.order_stop(task, runner, now);
        }
    }
}
