//! Runners that restart under the same name.
//!
//! A name does not identify a process. The next instance has none of the runs of the one
//! before, and all of its counters begin again: its ends, its clock, the highest fencing token
//! that it has seen, and the runs that it knows to be over. So what is known about one
//! instance must never be applied to the next; here each instance has an entry of its own.

use crate::{
    Millis,
    losses::RunnerLoss,
    pool::PoolState,
    runner::{
        RunnerEntry,
        RunnerFacts,
        RunnerKey, //
    },
    task::{
        TaskRef,
        TaskState, //
    }, //
};

/// The next instance of a runner, and what became of the tasks of the one before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RestartedRunner {
    /// Key of the next instance.
    pub key: RunnerKey,
    /// Number of runs that ended with the instance before.
    pub ended: usize,
    /// Number of starts that the next instance may have carried out, or may still carry out.
    pub unconfirmed: usize,
}

impl PoolState {
    /// Records that an instance of a runner has ended, and that another one, started at
    /// `started_at`, has replaced it.
    ///
    /// Runs that the instance before was seen to have ended with it. A start whose answer came
    /// after its last report, or never, may have reached the next instance: such a task stays
    /// unconfirmed until that instance has responded, or until `until`. The next instance gets
    /// no tasks before the platform lists it, for it may have other properties.
    pub fn replace_restarted_runner(
        &mut self,
        key: RunnerKey,
        started_at: u64,
        until: Millis,
        now: Millis,
    ) -> Option<RestartedRunner> {
        self.record_loss(key, RunnerLoss::Crashed, now);
        let runner = self.runners.get(key)?;
        let facts = RunnerFacts {
            started_at: Some(started_at),
            ..runner.facts.clone()
        };
        let name = facts.name.clone();
        let ordered_from = runner.facts.started_at;
        let until = until.max(runner.lease_until);
        let tasks = runner.tasks.iter().copied();
        let (unconfirmed, ended): (Vec<TaskRef>, Vec<TaskRef>) =
            tasks.partition(|task| self.may_run_on_next(*task, runner));
        for task in &ended {
            self.move_off_runner(*task, TaskState::Waiting, now);
        }
        for task in &unconfirmed {
            let runner = name.clone();
            self.move_off_runner(
                *task,
                TaskState::Unconfirmed {
                    runner,
                    started_at: ordered_from,
                    until,
                },
                now,
            );
        }
        self.stops.retain(|stop| stop.runner != key);
        // The adviser's answers are kept by key, so that they end with the instance.
        self.runners.remove(key);
        let mut next = RunnerEntry::new(facts, until, now);
        next.unlisted = true;
        next.restarted = true;
        let key = self.runners.insert(next);
        self.runner_names.insert(name, key);
        self.update_cordon(key);
        self.update_hall_loss(key);
        self.number_hall(key);
        self.fail_crashing_tasks(now);
        Some(RestartedRunner {
            key,
            ended: ended.len(),
            unconfirmed: unconfirmed.len(),
        })
    }

    /// Whether a run that was reported by a runner was ordered from an earlier instance of it:
    /// the start was carried out late. Acknowledgements meant for the earlier instance may have
    /// been delayed with the start, and then the runner drops the run's end unread.
    pub(crate) fn is_stray_run(&self, task: TaskRef, key: RunnerKey) -> bool {
        let reporting = self.runners.get(key).and_then(|r| r.facts.started_at);
        let ordered_from = match self.task(task).map(|entry| &entry.state) {
            Some(TaskState::Unconfirmed { started_at, .. }) => *started_at,
            _ => None,
        };
        reporting
            .zip(ordered_from)
            .is_some_and(|(reporting, ordered_from)| reporting != ordered_from)
    }

    /// Whether a later instance of the runner may run the task, or may still get the order to
    /// run it.
    fn may_run_on_next(&self, task: TaskRef, runner: &RunnerEntry) -> bool {
        let Some(entry) = self.task(task) else {
            return false;
        };
        let was_reported = runner
            .last_heartbeat_at
            .is_some_and(|at| entry.ordered_at < at);
        match entry.state {
            TaskState::Ordered(_) => true,
            TaskState::Running(_) | TaskState::Stopping(_) => {
                entry.any_start_unanswered || !was_reported
            }
            TaskState::Waiting
            | TaskState::Planned(_)
            | TaskState::Unconfirmed { .. }
            | TaskState::Done => false,
        }
    }

    /// Moves a task off its runner, and breaks its gang.
    pub(crate) fn move_off_runner(&mut self, task: TaskRef, state: TaskState, now: Millis) {
        self.set_task_state(task, state, now);
        self.mark_dirty(task.job);
        self.break_gang(task, now);
    }

    /// Records that acknowledgements for an earlier instance may have reached a runner.
    pub fn doubt_end_listing(&mut self, key: RunnerKey) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.doubt_end_listing();
        }
    }

    /// Records that a run on a runner has ended and is not listed.
    pub(crate) fn record_dropped_end(&mut self, key: RunnerKey, now: Millis) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.record_dropped_end(now);
        }
    }

    /// Stops a short task that has begun on a runner that may drop its end unread: once the
    /// stopped run is listed as ended, all later ends will be. A task that is run in
    /// isolation goes on, since each start of it may cost a runner.
    pub(crate) fn probe_end_listing(&mut self, task: TaskRef, key: RunnerKey, now: Millis) {
        let is_unproven = self.runners.get(key).is_some_and(RunnerEntry::is_unproven);
        if is_unproven && !self.needs_isolation(task) && !self.is_long_running(task) {
            self.stop_task(task, now);
            self.break_gang(task, now);
        }
    }

    /// Records the start time of the instance that responded, where the platform's record does
    /// not have it.
    pub fn record_start_time(&mut self, key: RunnerKey, started_at: u64) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.facts.started_at = runner.facts.started_at.or(Some(started_at));
            runner.reports_start_time = true;
        }
    }
}
