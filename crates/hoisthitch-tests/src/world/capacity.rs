//! Capacities of runners, which may change while they run, and the checker of starts that
//! exceed them. The simulated runners themselves start every task, whatever their capacity.

use std::time::Duration;

use hoisthitch_jobs::{
    ResourceAmounts,
    StepSpec,
    TaskName, //
};
use tokio::time::Instant;

use super::{
    MemoryFleet,
    instance::Runner,
    runners::FleetState, //
};

/// Capacity of a runner for which the test sets no other.
pub const DEFAULT_CAPACITY: ResourceAmounts = ResourceAmounts {
    cpu_milli: 8_000,
    memory_mb: 32_000,
    gpus: 0,
};

/// Time after which a reduced capacity must be respected: three seconds and one heartbeat.
const SHRINK_TIME: Duration = Duration::from_millis(4_500);

/// A capacity, and since when a runner reports it.
#[derive(Clone, Copy, Debug)]
pub(super) struct TimedCapacity {
    capacity: ResourceAmounts,
    since: Instant,
}

impl TimedCapacity {
    pub(super) fn usual() -> Self {
        Self {
            capacity: DEFAULT_CAPACITY,
            since: Instant::now(),
        }
    }
}

impl MemoryFleet {
    /// Changes a runner's capacity; the caller then writes the runner's record.
    pub fn set_capacity(&self, name: &str, capacity: ResourceAmounts) {
        if let Some(runner) = self.state.borrow_mut().runners.get_mut(name) {
            runner.capacities.push(TimedCapacity {
                capacity,
                since: Instant::now(),
            });
        }
    }

    /// Capacity that a runner reports.
    pub fn capacity(&self, name: &str) -> ResourceAmounts {
        let state = self.state.borrow();
        let capacities = state.runners.get(name).map(|runner| &runner.capacities);
        capacities
            .and_then(|capacities| capacities.last())
            .map_or(DEFAULT_CAPACITY, |last| last.capacity)
    }
}

impl FleetState {
    /// Checks, after a start was carried out, that the runner's tasks fit its capacity.
    pub(super) fn check_capacity(&mut self, name: &str, task: &str, now: Instant) {
        let Some(runner) = self.runners.get(name) else {
            return;
        };
        let steps = runner.running.keys();
        let steps = steps.filter_map(|task| self.rules.step_named(&TaskName::parse(task)?));
        let used = steps.fold(ResourceAmounts::default(), add);
        let capacity = counted_capacity(runner, now);
        if used.cpu_milli > capacity.cpu_milli || used.memory_mb > capacity.memory_mb {
            let (used, capacity) = (used.cpu_milli, capacity.cpu_milli);
            let violation =
                format!("{task} brought {name} to {used} of {capacity} thousandths of a core");
            self.violations.push(violation);
        }
    }
}

/// Capacity that must be respected: the largest that was in effect within [`SHRINK_TIME`].
fn counted_capacity(runner: &Runner, now: Instant) -> ResourceAmounts {
    let mut counted = ResourceAmounts::default();
    for (place, row) in runner.capacities.iter().enumerate() {
        let next = runner.capacities.get(place + 1);
        if next.is_none_or(|next| next.since + SHRINK_TIME > now) {
            counted.cpu_milli = counted.cpu_milli.max(row.capacity.cpu_milli);
            counted.memory_mb = counted.memory_mb.max(row.capacity.memory_mb);
        }
    }
    counted
}

fn add(mut used: ResourceAmounts, step: &StepSpec) -> ResourceAmounts {
    if !step.best_effort {
        used.cpu_milli += step.need.cpu_milli;
    }
    used.memory_mb += step.need.memory_mb;
    used
}
