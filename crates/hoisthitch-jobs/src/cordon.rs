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
    pool::PoolState,
    runner::RunnerKey,
    task::TaskRef, //
};

/// What a pool has in a cordoned hall.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CordonedLoad {
    /// Number of runners.
    pub runners: usize,
    /// Number of tasks that they run, or may run.
    pub tasks: usize,
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
            }
        }
        loads
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
