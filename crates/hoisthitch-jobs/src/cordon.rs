//! Cordoned data halls: operators have asked that nothing more is started on their runners.
//!
//! What runs there goes on and keeps its leases. But the runners are no capacity for anything
//! else: they get no starts, their VMs are neither given to other pools nor counted as available,
//! and the work that they still run needs no further VMs. Once a hall is no longer cordoned, its
//! runners are available at once.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    Millis,
    pool::PoolState,
    runner::RunnerKey,
    task::{
        TaskRef,
        TaskState, //
    }, //
};

/// Most long-running jobs that are named of a hall.
const NAMED_JOBS_MAX: usize = 8;

/// What a pool has in a cordoned hall.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CordonedLoad {
    /// Number of runners.
    pub runners: usize,
    /// Number of tasks that they run, or may run.
    pub tasks: usize,
    /// Number of those tasks that are long-running, and so stay.
    #[serde(default)]
    pub long_running: usize,
    /// Identifiers of their jobs, the first ones only.
    #[serde(default)]
    pub long_running_jobs: BTreeSet<String>,
    /// When the last of the other tasks is expected to end; none without such tasks.
    #[serde(default)]
    pub expected_end: Option<Millis>,
}

impl CordonedLoad {
    /// Adds what another pool has in the same hall.
    pub fn add(&mut self, other: Self) {
        self.runners += other.runners;
        self.tasks += other.tasks;
        self.long_running += other.long_running;
        self.long_running_jobs.extend(other.long_running_jobs);
        self.limit_jobs();
        self.expected_end = self.expected_end.max(other.expected_end);
    }

    fn limit_jobs(&mut self) {
        while self.long_running_jobs.len() > NAMED_JOBS_MAX {
            self.long_running_jobs.pop_last();
        }
    }
}

impl PoolState {
    /// Sets which halls are cordoned; returns whether that changed.
    pub fn set_cordoned_halls(&mut self, halls: BTreeSet<String>) -> bool {
        if self.cordoned_halls == halls {
            return false;
        }
        self.cordoned_halls = halls;
        let keys: Vec<RunnerKey> = self.runners.keys().collect();
        for key in keys {
            self.update_cordon(key);
        }
        self.plan_needed = true;
        true
    }

    /// Sets whether a runner is in a cordoned hall.
    pub(crate) fn update_cordon(&mut self, key: RunnerKey) {
        if let Some(runner) = self.runners.get_mut(key) {
            runner.cordoned = self.cordoned_halls.contains(&runner.facts.hall);
        }
    }

    /// What the pool has in each cordoned hall.
    pub fn cordoned_load(&self) -> BTreeMap<String, CordonedLoad> {
        let halls = self.cordoned_halls.iter();
        let mut loads: BTreeMap<String, CordonedLoad> = halls
            .map(|hall| (hall.clone(), CordonedLoad::default()))
            .collect();
        for (_, runner) in self.runners() {
            if let Some(load) = loads.get_mut(&runner.facts.hall) {
                load.runners += 1;
                load.tasks += runner.tasks.len();
                for task in &runner.tasks {
                    self.add_cordoned_task(load, *task);
                }
            }
        }
        loads
    }

    /// Adds to a hall's load whether a task stays there, or when it is expected to end.
    fn add_cordoned_task(&self, load: &mut CordonedLoad, task: TaskRef) {
        let Some(job) = self.jobs.get(task.job) else {
            return;
        };
        let Some((step, entry)) = job.step_of(task.slot).zip(job.tasks.get(task.slot)) else {
            return;
        };
        if step.long_running {
            load.long_running += 1;
            load.long_running_jobs.insert(job.id.clone());
            load.limit_jobs();
            return;
        }
        let time = self.task_time(&job.queue).max(step.estimate_ms);
        let since = match entry.state {
            TaskState::Running(_) => entry.began_at,
            _ => entry.changed_at,
        };
        // Means change with each end; operators need no more than seconds.
        let end = (since + time).next_multiple_of(1_000);
        load.expected_end = load.expected_end.max(Some(end));
    }

    /// Whether a task has resources on a runner in a cordoned hall.
    pub(crate) fn is_cordoned(&self, task: TaskRef) -> bool {
        // This is called for each task, and there is hardly ever a cordoned hall.
        if self.cordoned_halls.is_empty() {
            return false;
        }
        let runner = self.task(task).and_then(|entry| entry.runner());
        let runner = runner.and_then(|key| self.runners.get(key));
        runner.is_some_and(|runner| runner.cordoned)
    }
}
