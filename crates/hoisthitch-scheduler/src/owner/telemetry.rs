//! Log events and metrics of a pool's owner.

use std::collections::BTreeMap;

use hoisthitch_jobs::{
    Millis,
    RunnerKey,
    RunnerLoss,
    StartOrder, //
};
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::{
    metrics::seconds,
    platform::Platform, //
};

impl<P: Platform> PoolOwner<P> {
    /// Logs the runs that were or may be lost with their runners, those that were not lost after
    /// all, and the tasks that are failed as the cause of such losses.
    pub(super) fn log_lost_runs(&mut self) {
        for lost in self.state.take_lost_runs() {
            if lost.loss == RunnerLoss::Suspected {
                event!(
                    Warn,
                    "run_suspected",
                    task = lost.task,
                    run = lost.run,
                    runner = lost.runner,
                    pool = self.context.pool,
                    ran_ms = text_or_unknown(lost.ran),
                    losses = lost.suspicion.losses,
                    weight = lost.suspicion.weight()
                );
                continue;
            }
            event!(
                Warn,
                "run_lost",
                task = lost.task,
                run = lost.run,
                runner = lost.runner,
                pool = self.context.pool,
                loss = lost.loss,
                shown_by = lost.detection,
                ran_ms = text_or_unknown(lost.ran),
                least_ms = lost.ran_between.0,
                most_ms = lost.ran_between.1,
                rate = format_args!("{:.4}", lost.rate),
                beside = lost.other_runs,
                company = lost.concurrent_loss,
                losses = lost.suspicion.losses,
                weight = lost.suspicion.weight()
            );
        }
        for (task, run) in self.state.take_withdrawn_losses() {
            event!(
                Info,
                "run_not_lost",
                task = task,
                run = run,
                pool = self.context.pool
            );
        }
        for crashing in self.state.take_crashing_tasks() {
            self.count_event("task_given_up");
            event!(
                Warn,
                "task_given_up",
                task = crashing.task,
                run = crashing.run,
                pool = self.context.pool,
                losses = crashing.suspicion.losses,
                weight = crashing.suspicion.weight()
            );
        }
    }

    /// Logs the runners that are failing from now on, and those that are not any more.
    pub(super) fn log_health_changes(&mut self) {
        for change in self.state.take_health_changes() {
            let Some(failures) = change.failures else {
                event!(
                    Info,
                    "runner_sound",
                    runner = change.runner,
                    pool = self.context.pool,
                    left_out = change.left_out
                );
                continue;
            };
            self.count_event("runner_failing");
            event!(
                Warn,
                "runner_failing",
                runner = change.runner,
                pool = self.context.pool,
                failures = failures,
                left_out = change.left_out
            );
        }
    }

    /// Logs the starts that got no answer and were given up instead of sent again.
    pub(super) fn log_withdrawn_starts(&mut self) {
        for start in self.state.take_withdrawn_starts() {
            event!(
                Info,
                "start_withdrawn",
                task = start.task,
                run = start.run,
                runner = self.instance_text(start.runner),
                reason = start.reason,
                copies = start.copies,
                age_ms = start.age_ms
            );
        }
    }

    /// Logs the long-running steps that were placed unevenly over data halls, because room lacked
    /// elsewhere.
    pub(super) fn log_uneven_steps(&mut self) {
        for uneven in self.state.take_uneven_steps() {
            event!(
                Warn,
                "step_uneven",
                job = uneven.job,
                step = uneven.step,
                pool = self.context.pool,
                hall = uneven.hall,
                tasks = uneven.tasks,
                even_share = uneven.even_share,
                may_miss = uneven.max_unavailable
            );
        }
    }

    /// Shows the pool's VMs by data hall in the metrics; empty where halls are not told apart.
    pub(super) fn show_vms_by_hall(&mut self, halls: &BTreeMap<String, u32>) {
        if *halls == self.shown_halls {
            return;
        }
        let gauge = &self.context.shared.metrics.pool_vms;
        for hall in self
            .shown_halls
            .keys()
            .filter(|hall| !halls.contains_key(*hall))
        {
            // Fails only where the hall was never set.
            let _ = gauge.remove_label_values(&[&self.context.pool, hall]);
        }
        for (hall, vms) in halls {
            gauge
                .with_label_values(&[&self.context.pool, hall])
                .set(i64::from(*vms));
        }
        self.shown_halls.clone_from(halls);
    }

    /// Logs the jobs that ended, with the time that each spent per phase.
    pub(super) fn log_ended_jobs(&mut self) {
        for ended in self.state.take_ended_jobs() {
            let first_wait = self.first_waits.remove(&ended.id);
            let expected_wait = self.state.job(&ended.id).and_then(|job| job.expected_wait);
            event!(
                Info,
                "job_ended",
                job = ended.id,
                queue = ended.queue,
                pool = self.context.pool,
                phase = format_args!("{:?}", ended.phase),
                took_ms = ended.took,
                objective_ms = ended.objective,
                taking_ms = ended.account.taking,
                waiting_ms = ended.account.waiting,
                ordering_ms = ended.account.ordering,
                running_ms = ended.account.running,
                reruns = ended.reruns,
                expected_wait_ms = text_or_unknown(expected_wait),
                first_wait_ms = text_or_unknown(first_wait)
            );
        }
    }

    /// Records the time from the acceptance of a job to the start of its first task.
    pub(super) fn observe_first_start(&mut self, order: &StartOrder, now: Millis) {
        let first = order.run == 1 && order.task.slot == 0;
        if let Some(job) = self.state.job(&order.name.job).filter(|_| first) {
            let metrics = &self.context.shared.metrics;
            let wait = now.saturating_sub(job.accepted_at);
            metrics.first_start.observe(seconds(wait));
            if let Some(expected) = job.expected_wait {
                let error = seconds(wait.abs_diff(expected));
                metrics.expected_wait_error.observe(error);
            }
            // The end of a long-running job is not logged, and would not remove the entry.
            if !job.phase.is_final() && !job.spec.is_long_running() {
                self.first_waits.insert(job.id.clone(), wait);
            }
        }
    }

    /// The instance of a runner as text for the log; empty if the runner is not known.
    pub(super) fn instance_text(&self, key: RunnerKey) -> String {
        let instance = self.state.instance_of(key);
        instance.map_or_else(String::new, |instance| instance.to_string())
    }

    /// Counts an event of the pool in the metrics.
    pub(super) fn count_event(&self, event: &str) {
        let events = &self.context.shared.metrics.events;
        events.with_label_values(&[event]).inc();
    }
}

/// A time in milliseconds as text for the log.
fn text_or_unknown(time: Option<Millis>) -> String {
    time.map_or_else(|| "unknown".to_owned(), |time| time.to_string())
}
