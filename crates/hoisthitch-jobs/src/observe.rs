//! Applies what runners report: responses to heartbeats, ends of runs, and answers to start
//! and stop orders.
//!
//! A response to a heartbeat lists all runs of a runner, so a run that is missing from it is
//! not there. It only covers orders that were answered before the heartbeat was sent; the
//! others may still be carried out. Where the response has as many ends as a runner lists at
//! once, nothing follows from what is missing: the run may have ended done, and a later response
//! says so.

use std::collections::HashSet;

use crate::{
    Millis,
    admission::StartAdmission,
    job::JobKey,
    pool::PoolState,
    record::JobPhase,
    report::{
        EndKind,
        EndedTask,
        HeartbeatReport,
        RunningTask,
        StartOutcome, //
    },
    runner::{
        EndListing,
        RunnerKey, //
    },
    task::{
        StartOrder,
        StopOrder,
        TaskEntry,
        TaskName,
        TaskRef,
        TaskState, //
    }, //
};

/// Backoff of a runner that refused a start, in milliseconds; about the time of a short task,
/// after which resources are free again.
const REFUSED_BACKOFF_MS: Millis = 300;

/// Backoff of a runner that did not answer a start, in milliseconds; a healthy one answers two
/// heartbeats meanwhile.
const UNANSWERED_BACKOFF_MS: Millis = 1_500;

impl PoolState {
    /// Records a runner's response to the heartbeat that was sent at `sent_at`; returns the
    /// starts to send again.
    pub fn record_heartbeat(
        &mut self,
        key: RunnerKey,
        report: &HeartbeatReport,
        sent_at: Millis,
        now: Millis,
    ) -> Vec<StartOrder> {
        let Some(runner) = self.runners.get_mut(key) else {
            return Vec::new();
        };
        self.responding_since.get_or_insert(now);
        runner.silent_since = None;
        runner.loss_recorded = false;
        runner.loss_suspected = false;
        runner.lost_with_hall = false;
        runner.last_response_at = Some(now);
        runner.last_heartbeat_at = runner.last_heartbeat_at.max(Some(sent_at));
        let last_seen_end = runner.last_seen_end;
        let mut present = HashSet::new();
        for row in &report.running {
            present.extend(self.record_running(key, row, now));
        }
        for row in report.ended.iter().filter(|row| row.number > last_seen_end) {
            present.extend(self.record_ended(key, row, now));
        }
        if let Some(last) = report.ended.iter().map(|row| row.number).max()
            && let Some(runner) = self.runners.get_mut(key)
        {
            runner.last_seen_end = runner.last_seen_end.max(last);
            runner.end_listing = EndListing::Complete;
        }
        self.record_earlier_instance_loss(key, now);
        if report.more_ends {
            self.mark_missing_runs(key, &present);
            self.fail_crashing_tasks(now);
            return Vec::new();
        }
        self.release_unreported(key, now);
        self.resolve_missing_runs(key, &present, sent_at, now)
    }

    /// Records that the runner has a lease of this owner.
    pub fn mark_runner_ready(&mut self, key: RunnerKey) {
        if let Some(runner) = self.runners.get_mut(key) {
            self.plan_needed |= !runner.ready;
            runner.ready = true;
        }
    }

    /// Records the time until which the runner has a lease of this owner for certain.
    pub fn confirm_runner_lease(&mut self, key: RunnerKey, until: Millis) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.lease_confirmed_until = Some(until);
        }
    }

    /// Records that the heartbeat that was sent at `sent_at` got no response; `reset` if this
    /// was known at once, because its connection was reset or refused.
    pub fn record_missed_heartbeat(
        &mut self,
        key: RunnerKey,
        reset: bool,
        sent_at: Millis,
        now: Millis,
    ) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.ready = false;
            runner.lost_with_hall |= runner.hall_lost;
            if runner.silent_since.is_none() {
                runner.silent_since = Some(now);
                runner.was_reset = reset;
                runner.first_miss_sent_at = Some(sent_at);
            }
        }
    }

    /// Treats a runner as one that may be down, until it responds again.
    pub fn mark_runner_unreachable(&mut self, key: RunnerKey) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.ready = false;
        }
    }

    /// Extends the time until which the runner may run what it was ordered to.
    pub fn extend_lease(&mut self, key: RunnerKey, until: Millis) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.lease_until = runner.lease_until.max(until);
        }
    }

    fn find_task(&self, name: &str) -> Option<TaskRef> {
        let name = TaskName::parse(name)?;
        let job = *self.job_ids.get(&name.job)?;
        let slot = self.jobs.get(job)?.slot_of(&name)?;
        Some(TaskRef { job, slot })
    }

    /// Records a run that is running; returns its task if the run is the one that the owner
    /// expects there.
    fn record_running(
        &mut self,
        key: RunnerKey,
        row: &RunningTask,
        now: Millis,
    ) -> Option<TaskRef> {
        let Some(task) = self.find_task(&row.name) else {
            self.stop_unexpected_run(key, &row.name, row.run);
            return None;
        };
        self.withdraw_loss(task, row.run);
        let job_ended = self.jobs.get(task.job)?.phase.is_final();
        let name = self.runners.get(key)?.facts.name.as_str();
        let entry = self.task(task)?;
        let expected = match &entry.state {
            TaskState::Ordered(at) | TaskState::Running(at) | TaskState::Stopping(at) => *at == key,
            TaskState::Unconfirmed { runner, .. } => runner == name,
            TaskState::Waiting | TaskState::Planned(_) | TaskState::Done => false,
        };
        if !expected || entry.current_run() != row.run {
            if job_ended || !self.yields_to_earlier_run(task, key, row.run, now) {
                self.stop_unexpected_run(key, &row.name, row.run);
            }
            return self.task(task)?.earlier_run.map(|_| task);
        }
        let was_unconfirmed = matches!(entry.state, TaskState::Unconfirmed { .. });
        // A long-running task has no end that could be lost.
        if self.is_stray_run(task, key) && !self.is_long_running(task) {
            self.wait_for_earlier_run(task, key, row.run, now);
            self.break_gang(task, now);
            return Some(task);
        }
        let has_progress = row.percent != entry.percent;
        let was_ordered = matches!(entry.state, TaskState::Ordered(_));
        let entry = self.task_mut(task)?;
        entry.load = row.load;
        entry.reported = true;
        entry.outcome_unknown = false;
        entry.checkpoint.clone_from(&row.checkpoint);
        let changed_at = if has_progress { now } else { entry.changed_at };
        entry.percent = row.percent;
        if was_unconfirmed || was_ordered {
            self.set_task_state(task, TaskState::Running(key), now);
            self.begin_job(task.job);
            self.probe_end_listing(task, key, now);
        }
        let entry = self.task_mut(task)?;
        entry.changed_at = entry.changed_at.max(changed_at);
        if row.percent >= 100 && entry.is_running() {
            entry.unavailable_since = None;
            self.record_available(key, task, now);
        }
        if job_ended {
            self.stop_task(task, now);
        }
        Some(task)
    }

    pub(crate) fn begin_job(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key)
            && job.phase == JobPhase::Queued
        {
            job.phase = JobPhase::Running;
            job.dirty = true;
        }
    }

    /// Lets a task yield to an earlier run of it that a runner has, because that run's start
    /// was carried out late; returns whether it does. No other run may begin meanwhile. If no
    /// start of the task is under way, the task waits for the earlier run to stop. If a start
    /// is under way that may not have begun, it is withdrawn first.
    fn yields_to_earlier_run(
        &mut self,
        task: TaskRef,
        key: RunnerKey,
        run: u32,
        now: Millis,
    ) -> bool {
        let name = self.runners.get(key).map(|runner| &runner.facts.name);
        let Some(entry) = self.task(task) else {
            return false;
        };
        match &entry.state {
            TaskState::Waiting | TaskState::Planned(_) => {}
            TaskState::Unconfirmed { runner, .. } if name == Some(runner) => {}
            TaskState::Ordered(other) if *other != key && !self.is_gang(task) => {
                self.stop_task(task, now);
                return true;
            }
            TaskState::Stopping(other) => return *other != key && !self.is_gang(task),
            _ => return false,
        }
        self.wait_for_earlier_run(task, key, run, now);
        true
    }

    /// Stops an earlier run of a task; no other run starts before it has ended.
    fn wait_for_earlier_run(&mut self, task: TaskRef, key: RunnerKey, run: u32, now: Millis) {
        self.set_task_state(task, TaskState::Stopping(key), now);
        if let Some(entry) = self.task_mut(task) {
            entry.earlier_run = Some(run);
        }
        self.mark_dirty(task.job);
        self.order_stop(task, key, now);
    }

    fn stop_unexpected_run(&mut self, runner: RunnerKey, name: &str, run: u32) {
        if let Some(name) = TaskName::parse(name) {
            self.stops.push(StopOrder { runner, name, run });
        }
    }

    fn record_ended(&mut self, key: RunnerKey, row: &EndedTask, now: Millis) -> Option<TaskRef> {
        let task = self.find_task(&row.name)?;
        self.withdraw_loss(task, row.run);
        let name = &self.runners.get(key)?.facts.name;
        let entry = self.task(task)?;
        if entry.is_done() {
            return None;
        }
        let is_here = match &entry.state {
            TaskState::Unconfirmed { runner, .. } => runner == name,
            _ => entry.runner() == Some(key),
        };
        let is_current = is_here && entry.current_run() == row.run;
        match row.kind {
            EndKind::Done => {
                self.record_success(key, task, now);
                if !is_current {
                    self.stop_other_run(task, row.run);
                }
                // If one member is done, the whole gang is.
                let members = if self.is_gang(task) {
                    self.members(task)
                } else {
                    vec![task]
                };
                for member in members {
                    self.finish_task(member, now);
                }
            }
            EndKind::Failed if is_current => {
                self.record_failed_run(key, task, now);
                self.fail_task(task, key, &row.checkpoint, now);
                self.break_gang(task, now);
            }
            _ if is_current => {
                self.break_gang(task, now);
                self.store_checkpoint(task, &row.checkpoint);
                self.set_task_state(task, TaskState::Waiting, now);
                self.mark_dirty(task.job);
            }
            _ => return None,
        }
        Some(task)
    }

    /// Stops the current run of a task after another run of it was done. The current run may
    /// not have begun yet: a runner that was ordered to stop a run does not begin it.
    fn stop_other_run(&mut self, task: TaskRef, done: u32) {
        let entry = self.task(task).filter(|entry| entry.current_run() != done);
        let Some(entry) = entry else {
            return;
        };
        let run = entry.current_run();
        let ordered = !matches!(entry.state, TaskState::Planned(_));
        let runner = entry.runner().filter(|_| ordered);
        if let Some((runner, name)) = runner.zip(self.name_of(task)) {
            self.stops.push(StopOrder { runner, name, run });
        }
    }

    fn store_checkpoint(&mut self, task: TaskRef, checkpoint: &str) {
        if let Some(entry) = self.task_mut(task)
            && !checkpoint.is_empty()
        {
            checkpoint.clone_into(&mut entry.checkpoint);
        }
    }

    fn finish_task(&mut self, task: TaskRef, now: Millis) {
        if self.task(task).is_none_or(TaskEntry::is_done) {
            return;
        }
        let ran = self.task(task).filter(|entry| entry.runner().is_some());
        if let Some(time) = ran.map(|entry| now.saturating_sub(entry.began_at))
            && let Some(queue) = self.jobs.get(task.job).map(|job| job.queue.clone())
        {
            self.learn_task_time(&queue, time);
        }
        self.set_task_state(task, TaskState::Done, now);
        self.begin_job(task.job);
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        job.dirty = true;
        if let Some(entry) = job.tasks.get(task.slot) {
            let (round, step) = (entry.round, entry.step);
            job.record_done(round, step);
        }
        if job.is_done() && !job.phase.is_final() {
            job.phase = JobPhase::Completed;
            job.ended_at = Some(now);
            self.record_job_end(task.job, now);
        }
        self.plan_needed = true;
    }

    fn fail_task(&mut self, task: TaskRef, key: RunnerKey, checkpoint: &str, now: Millis) {
        self.store_checkpoint(task, checkpoint);
        self.set_task_state(task, TaskState::Waiting, now);
        self.begin_job(task.job);
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        job.dirty = true;
        let limit = job.policy.max_attempts.max(1);
        let long_running = job.step_of(task.slot).is_some_and(|step| step.long_running);
        let Some(entry) = job.tasks.get_mut(task.slot) else {
            return;
        };
        entry.failed += 1;
        entry.failed_on = Some(key);
        let attempts_used_up = entry.failed >= limit && !long_running;
        if attempts_used_up {
            self.end_job(task.job, JobPhase::Failed, now);
        }
        self.plan_needed = true;
    }

    /// Sets tasks back to waiting that an earlier owner ordered on this runner and that it did
    /// not report. It accepts no orders of that owner any more.
    fn release_unreported(&mut self, key: RunnerKey, now: Millis) {
        let Some(name) = self
            .runners
            .get(key)
            .map(|runner| runner.facts.name.clone())
        else {
            return;
        };
        self.release_unconfirmed(|runner, _| runner == name, now);
        self.fail_crashing_tasks(now);
    }

    /// Handles tasks that should be on the runner but are missing from its report. Starts
    /// without an answer are sent again, under the same run number, if they may still be sent.
    fn resolve_missing_runs(
        &mut self,
        key: RunnerKey,
        present: &HashSet<TaskRef>,
        sent_at: Millis,
        now: Millis,
    ) -> Vec<StartOrder> {
        let mut resent = Vec::new();
        let mut is_end_missing = false;
        for task in self.mark_missing_runs(key, present) {
            let Some(entry) = self.task_mut(task) else {
                continue;
            };
            match entry.state {
                TaskState::Ordered(_) if entry.outcome_unknown && entry.ordered_at < sent_at => {
                    resent.extend(self.resend_start(task, key, sent_at, now));
                }
                TaskState::Running(_) if entry.ordered_at < sent_at => {
                    self.set_task_state(task, TaskState::Waiting, now);
                    self.mark_dirty(task.job);
                    is_end_missing = true;
                }
                // The stop was acknowledged before the heartbeat was sent, so the run can't
                // begin any more. It may never have begun, and then no end of it is reported.
                TaskState::Stopping(_) if entry.stopped_at.is_some_and(|at| at < sent_at) => {
                    self.set_task_state(task, TaskState::Waiting, now);
                    self.mark_dirty(task.job);
                    is_end_missing = true;
                }
                _ => {}
            }
        }
        // However many ends one response lacks, they were dropped at once.
        if is_end_missing {
            self.record_dropped_end(key, now);
        }
        resent
    }

    /// Marks the tasks that should be on the runner as missing from its report; returns them.
    fn mark_missing_runs(&mut self, key: RunnerKey, present: &HashSet<TaskRef>) -> Vec<TaskRef> {
        let Some(runner) = self.runners.get(key) else {
            return Vec::new();
        };
        let tasks = runner.tasks.iter().copied();
        let missing: Vec<TaskRef> = tasks.filter(|task| !present.contains(task)).collect();
        for task in &missing {
            if let Some(entry) = self.task_mut(*task) {
                entry.reported = false;
            }
        }
        missing
    }

    /// Sends the start of a task again, after no copy of it was answered and the runner does
    /// not report the run in its response to a heartbeat that was sent at `sent_at`; none if it
    /// may not be sent.
    fn resend_start(
        &mut self,
        task: TaskRef,
        key: RunnerKey,
        sent_at: Millis,
        now: Millis,
    ) -> Option<StartOrder> {
        match self.admit_repeat(task, key, sent_at, now) {
            StartAdmission::Send => {
                if let Some(entry) = self.task_mut(task) {
                    entry.outcome_unknown = false;
                }
                self.next_start_order(task, key)
            }
            StartAdmission::Wait => None,
            StartAdmission::Withdraw => {
                self.note_withdrawn_start(task, key, now);
                self.stop_task(task, now);
                self.break_gang(task, now);
                None
            }
        }
    }

    /// Records that a runner acknowledged a stop: the run does not begin any more.
    pub fn record_stop_ack(&mut self, order: &StopOrder, now: Millis) {
        let task = self.find_task(&order.name.to_string());
        if let Some(entry) = task.and_then(|task| self.task_mut(task))
            && entry.state == TaskState::Stopping(order.runner)
            && entry.current_run() == order.run
        {
            entry.stopped_at = entry.stopped_at.or(Some(now));
        }
    }

    /// Records the outcome of a start order.
    pub fn record_start_outcome(&mut self, order: &StartOrder, outcome: StartOutcome, now: Millis) {
        let task = order.task;
        let Some(entry) = self.task(task) else {
            return;
        };
        if entry.run != order.run || entry.runner() != Some(order.runner) {
            return;
        }
        let lease_until = self
            .runners
            .get(order.runner)
            .map_or(0, |runner| runner.lease_until);
        let Some(entry) = self.task_mut(task) else {
            return;
        };
        entry.ordered_at = now;
        let ordered = entry.state == TaskState::Ordered(order.runner);
        let any_start_unanswered = entry.any_start_unanswered;
        match outcome {
            StartOutcome::Started if ordered => {
                entry.begun_after = order.sent_at.or(Some(now));
                if let Some(runner) = self.runners.get_mut(order.runner) {
                    runner.record_acceptance();
                }
                self.set_task_state(task, TaskState::Running(order.runner), now);
                self.begin_job(task.job);
                self.probe_end_listing(task, order.runner, now);
            }
            // This outcome adds nothing: an earlier copy shows in the next heartbeat, and a
            // missing run is sent again. Stopping the run would end a long-running task that
            // has become available meanwhile.
            StartOutcome::NotSent if ordered && any_start_unanswered => {
                entry.outcome_unknown = true
            }
            // An earlier copy may still be carried out, until a stop is acknowledged.
            StartOutcome::NoRoom
            | StartOutcome::Refused
            | StartOutcome::Late
            | StartOutcome::NoTicket
                if ordered && any_start_unanswered =>
            {
                self.stop_task(task, now);
                self.break_gang(task, now);
                self.back_off_refusing(order.runner, outcome, now);
            }
            StartOutcome::NoRoom
            | StartOutcome::Refused
            | StartOutcome::Late
            | StartOutcome::NotSent
                if ordered =>
            {
                self.set_task_state(task, TaskState::Waiting, now);
                self.break_gang(task, now);
                self.back_off_refusing(order.runner, outcome, now);
            }
            StartOutcome::NoTicket if ordered => {
                self.set_task_state(task, TaskState::Waiting, now);
                self.break_gang(task, now);
                self.drop_tickets(task);
            }
            StartOutcome::Unclear | StartOutcome::Old if ordered => {
                entry.outcome_unknown = true;
                entry.any_start_unanswered = true;
                entry.start_expires_at = entry.start_expires_at.max(lease_until);
                self.back_off(order.runner, now, UNANSWERED_BACKOFF_MS);
            }
            _ => {}
        }
    }

    fn back_off_refusing(&mut self, key: RunnerKey, outcome: StartOutcome, now: Millis) {
        let Some(runner) = self.runners.get_mut(key) else {
            return;
        };
        // A lack of resources ends with the next end of a run, and a late order is due to the
        // owner's slowness: neither is a fault of the runner.
        if outcome == StartOutcome::Refused {
            runner.record_refusal(now);
        }
        runner.back_off(now, REFUSED_BACKOFF_MS);
    }

    fn back_off(&mut self, key: RunnerKey, now: Millis, time: Millis) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.back_off(now, time);
        }
    }
}
