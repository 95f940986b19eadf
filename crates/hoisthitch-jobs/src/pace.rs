//! Paces fillers beside serving tasks.
//!
//! A filler uses what others leave, and slows those beside it. When the tail of
//! a serving task comes near its target, the fillers of its runner are slowed
//! at once; when it is far below, they are let on in small steps.

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

/// Share of the target, in percent, above which fillers are slowed. The figures
/// that runners give are rough, so that the bound lies well below the target.
const HIGH_PERCENT: u64 = 85;

/// Share of the target, in percent, below which fillers are let on.
const LOW_PERCENT: u64 = 60;

/// Step by which fillers are let on, in percent.
const RISE_PERCENT: u32 = 20;

/// Stands for a share that is not known, since an order had no answer or an
/// earlier owner set it; no decision comes out at it, so that the next one is
/// ordered.
pub(crate) const UNKNOWN_PACE: u32 = 101;

/// Time after an order without an answer in which it may still be carried out,
/// after newer ones, in milliseconds; the platform speaks of seconds. Until then
/// the share is ordered anew with each report.
const LATE_MS: Millis = 10_000;

/// Share at which a filler is set at least before it is set to nothing.
const LEAST_PERCENT: u32 = 10;

/// Sets the share at which a filler works.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PaceOrder {
    /// Its runner.
    pub runner: RunnerKey,
    /// The task.
    pub task: TaskRef,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub run: u32,
    /// The share, in percent.
    pub percent: u32,
}

impl PoolState {
    /// Decides the pace of a runner's fillers, after a fresh report of it.
    pub fn pace(&mut self, key: RunnerKey, now: Millis) -> Vec<PaceOrder> {
        let Some(runner) = self.runners.get(key) else {
            return Vec::new();
        };
        let tasks: Vec<TaskRef> = runner.tasks.iter().copied().collect();
        let strain = tasks.iter().filter_map(|task| self.strain(*task)).max();
        let fillers: Vec<TaskRef> = tasks
            .into_iter()
            .filter(|task| self.is_running_filler(*task))
            .collect();
        let mut orders = Vec::new();
        for task in fillers {
            let Some(entry) = self.task(task) else {
                continue;
            };
            let percent = next_pace(entry.pace, strain);
            let doubtful = now < entry.pace_doubt_until && percent != UNKNOWN_PACE;
            if percent != entry.pace || doubtful {
                orders.extend(self.set_pace(key, task, percent));
            }
        }
        orders
    }

    /// Tail of a serving task, in percent of its target.
    fn strain(&self, task: TaskRef) -> Option<u64> {
        let step = self.jobs.get(task.job)?.step_of(task.slot)?;
        let entry = self.task(task)?;
        let serving = step.target_ms > 0 && entry.is_running();
        serving.then(|| entry.load * 100 / step.target_ms)
    }

    fn is_running_filler(&self, task: TaskRef) -> bool {
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

    /// Takes in that a pace was not set, so that it is decided anew.
    pub fn record_pace_failure(&mut self, order: &PaceOrder, now: Millis) {
        if let Some(entry) = self.task_mut(order.task)
            && entry.run == order.run
        {
            entry.pace = UNKNOWN_PACE;
            entry.pace_doubt_until = now + LATE_MS;
        }
    }
}

/// The pace after a report, given the strain of the serving tasks in percent.
fn next_pace(pace: u32, strain: Option<u64>) -> u32 {
    match strain {
        None => 100,
        Some(strain) if strain >= 100 => 0,
        // Half of an unknown share may be more than it is.
        Some(strain) if strain >= HIGH_PERCENT && pace == UNKNOWN_PACE => 0,
        Some(strain) if strain >= HIGH_PERCENT => {
            let half = pace / 2;
            if half < LEAST_PERCENT { 0 } else { half }
        }
        Some(strain) if strain < LOW_PERCENT => (pace + RISE_PERCENT).min(100),
        Some(_) => pace,
    }
}
