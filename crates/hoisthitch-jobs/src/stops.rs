//! Ends jobs before they are done, and stops their runs.

use crate::{
    Millis,
    job::JobKey,
    pool::PoolState,
    record::JobPhase,
    runner::RunnerKey,
    task::{
        StopOrder,
        TaskRef,
        TaskState, //
    }, //
};

/// Time after which a stop is sent again if no end of the run was reported, in milliseconds.
const RESEND_MS: Millis = 700;

impl PoolState {
    /// Cancels a job; returns whether this ended it.
    pub fn cancel(&mut self, id: &str, now: Millis) -> bool {
        let Some(key) = self.job_ids.get(id).copied() else {
            return false;
        };
        let ends = self.jobs.get(key).is_some_and(|job| !job.phase.is_final());
        self.end_job(key, JobPhase::Cancelled, now);
        ends
    }

    /// Ends a job and stops its runs.
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
        self.record_job_end(key, now);
    }

    /// Stops a task in whatever state it is.
    pub(crate) fn stop_task(&mut self, task: TaskRef, now: Millis) {
        let Some(entry) = self.task(task) else {
            return;
        };
        match entry.state {
            TaskState::Planned(_) => self.set_task_state(task, TaskState::Waiting, now),
            TaskState::Ordered(runner) | TaskState::Running(runner) => {
                self.set_task_state(task, TaskState::Stopping(runner), now);
                self.order_stop(task, runner, now);
            }
            TaskState::Waiting
            | TaskState::Stopping(_)
            | TaskState::Unconfirmed { .. }
            | TaskState::Done => {}
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
        let run = entry.current_run();
        self.stops.push(StopOrder { runner, name, run });
    }

    /// Returns the stop orders to send, and clears them.
    pub fn take_stop_orders(&mut self) -> Vec<StopOrder> {
        std::mem::take(&mut self.stops)
    }

    /// Whether a stop may be sent again. The first stop of a long-running task may have been
    /// decided on while its step could do without the task; it is not sent again while the
    /// step can't.
    fn may_resend_stop(&self, task: TaskRef, key: RunnerKey) -> bool {
        let drains = self
            .runners
            .get(key)
            .is_some_and(|runner| runner.facts.draining);
        let runs = self
            .task(task)
            .is_some_and(|entry| entry.reported && entry.earlier_run.is_none());
        drains || !runs || !self.is_long_running(task) || self.may_disrupt(&[task])
    }

    /// Stops of long-running tasks whose steps can't do without them any more. They were decided
    /// on before another task of the step became unavailable, and must not be sent if they still
    /// wait for earlier orders.
    pub fn harmful_stops(&self) -> Vec<StopOrder> {
        let stopping = self.active_tasks().filter_map(|(task, entry)| {
            let TaskState::Stopping(runner) = entry.state else {
                return None;
            };
            let is_harmful = entry.stopped_at.is_none() && !self.may_resend_stop(task, runner);
            let name = self.name_of(task).filter(|_| is_harmful)?;
            let run = entry.current_run();
            Some(StopOrder { runner, name, run })
        });
        stopping.collect()
    }

    /// Sends stops again whose runs have not ended.
    pub fn resend_stops(&mut self, now: Millis) {
        let overdue: Vec<(TaskRef, RunnerKey)> = self
            .active_tasks()
            .filter_map(|(task, entry)| match entry.state {
                TaskState::Stopping(runner) if entry.ordered_at + RESEND_MS <= now => {
                    Some((task, runner))
                }
                _ => None,
            })
            .filter(|(task, runner)| self.may_resend_stop(*task, *runner))
            .collect();
        for (task, runner) in overdue {
            self.order_stop(task, runner, now);
        }
    }
}
