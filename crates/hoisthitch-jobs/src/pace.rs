//! Throttles best-effort tasks that run beside serving tasks.
//!
//! A best-effort task (a filler) uses the processor time that others leave idle, and slows the
//! tasks beside it. When the tail latency of a serving task comes near its target, the
//! best-effort tasks on its runner are slowed at once; when it is far below the target, they
//! are sped up in small steps.

use crate::{
    Millis,
    pool::PoolState,
    runner::RunnerKey,
    task::{
        TaskEntry,
        TaskName,
        TaskRef, //
    }, //
};

/// Tail latency, in percent of the target, from which best-effort tasks are slowed. The
/// figures that runners report are rough, so the bound is well below the target.
const HIGH_PERCENT: u64 = 85;

/// Tail latency, in percent of the target, below which best-effort tasks are sped up.
const LOW_PERCENT: u64 = 60;

/// Step by which a best-effort task's share is raised, in percent.
const RAISE_PERCENT: u32 = 20;

/// Marks a share that is not known, because an order got no answer or an earlier owner set it.
/// No decision ever equals this value, so the next decision is always ordered.
pub(crate) const UNKNOWN_PACE: u32 = 101;

/// Time after an order without an answer during which it may still be carried out, even after
/// newer orders, in milliseconds; the platform's figure is some seconds. Until then the share
/// is ordered again after each report.
const LATE_ORDER_MS: Millis = 10_000;

/// Smallest share other than zero at which a best-effort task is run, in percent.
const MIN_PERCENT: u32 = 10;

/// Order to set the share at which a best-effort task works.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PaceOrder {
    /// Runner of the task.
    pub runner: RunnerKey,
    /// The task.
    pub task: TaskRef,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Share of full speed, in percent.
    pub percent: u32,
}

impl PoolState {
    /// Decides the shares of a runner's best-effort tasks after a new report from it; returns
    /// the orders for those that change.
    pub fn pace(&mut self, key: RunnerKey, now: Millis) -> Vec<PaceOrder> {
        let Some(runner) = self.runners.get(key) else {
            return Vec::new();
        };
        let tasks: Vec<TaskRef> = runner.tasks.iter().copied().collect();
        let latency = tasks
            .iter()
            .filter_map(|task| self.latency_percent(*task))
            .max();
        let best_effort: Vec<TaskRef> = tasks
            .into_iter()
            .filter(|task| self.is_running_best_effort(*task))
            .collect();
        let mut orders = Vec::new();
        for task in best_effort {
            let Some(entry) = self.task(task) else {
                continue;
            };
            let percent = next_pace(entry.pace, latency);
            let uncertain = now < entry.pace_unconfirmed_until && percent != UNKNOWN_PACE;
            if percent != entry.pace || uncertain {
                orders.extend(self.set_pace(key, task, percent));
            }
        }
        orders
    }

    /// Tail latency of a serving task, in percent of its target; none for other tasks.
    fn latency_percent(&self, task: TaskRef) -> Option<u64> {
        let step = self.jobs.get(task.job)?.step_of(task.slot)?;
        let entry = self.task(task)?;
        let serving = step.target_ms > 0 && entry.is_running();
        serving.then(|| entry.load * 100 / step.target_ms)
    }

    fn is_running_best_effort(&self, task: TaskRef) -> bool {
        let step = self
            .jobs
            .get(task.job)
            .and_then(|job| job.step_of(task.slot));
        let running = self.task(task).is_some_and(TaskEntry::is_running);
        running && step.is_some_and(|step| step.best_effort)
    }

    fn set_pace(&mut self, runner: RunnerKey, task: TaskRef, percent: u32) -> Option<PaceOrder> {
        let name = self.jobs.get(task.job)?.name_of(task.slot)?;
        let entry = self.task_mut(task)?;
        entry.pace = percent;
        Some(PaceOrder {
            runner,
            task,
            name,
            run: entry.run,
            percent,
        })
    }

    /// Records that an order failed, so that the share is decided again.
    pub fn record_pace_failure(&mut self, order: &PaceOrder, now: Millis) {
        if let Some(entry) = self.task_mut(order.task)
            && entry.run == order.run
        {
            entry.pace = UNKNOWN_PACE;
            entry.pace_unconfirmed_until = now + LATE_ORDER_MS;
        }
    }
}

/// The next share of a best-effort task, given the highest tail latency of the serving tasks
/// beside it in percent of their target.
fn next_pace(pace: u32, latency: Option<u64>) -> u32 {
    match latency {
        None => 100,
        Some(latency) if latency >= 100 => 0,
        // Half of an unknown share may be more than the best-effort task has now.
        Some(latency) if latency >= HIGH_PERCENT && pace == UNKNOWN_PACE => 0,
        Some(latency) if latency >= HIGH_PERCENT => {
            let half = pace / 2;
            if half < MIN_PERCENT { 0 } else { half }
        }
        Some(latency) if latency < LOW_PERCENT => (pace + RAISE_PERCENT).min(100),
        Some(_) => pace,
    }
}
