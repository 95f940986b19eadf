//! Tasks that crash the runners that start them, and the judge of starts that follow.
//!
//! The process ends and its VM stays: connections are reset, new ones refused, until
//! another life is begun in its place.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use hoisthitch_jobs::StartOrder;
use tokio::time::Instant;

use super::{
    MemoryFleet,
    runners::FleetState,
    spawn_outside, //
};

/// Runners that may crash under a task before its starts are counted.
const CRASHES_BEFORE_LIMIT: u32 = 3;

/// Starts from then on that break the promise.
const LATER_STARTS_LIMIT: u32 = 3;

/// Killers, and what came of them.
#[derive(Default)]
pub(super) struct CrashingTasks {
    /// Time from a start to the crash, by task.
    delays: BTreeMap<String, Duration>,
    /// Runners that crashed under each task.
    crashes: HashMap<String, u32>,
    /// Starts of each killer after three of them.
    later_starts: HashMap<String, u32>,
    /// Whether starts are not counted, for nodes are never in touch for long.
    uncounted: bool,
    /// Crashes by killers so far.
    count: usize,
    /// Runners that crashed so and have not come back: name, VM, when.
    down: Vec<CrashedRunner>,
}

/// A runner that a task crashed.
#[derive(Clone, Debug)]
pub struct CrashedRunner {
    /// Its name.
    pub name: String,
    /// Its VM.
    pub vm: String,
    at: Instant,
}

impl CrashingTasks {
    /// Whether a task of the job crashes its runners: such a job is not missed.
    pub(super) fn has_job(&self, job: &str) -> bool {
        let mut tasks = self.delays.keys();
        tasks.any(|task| task.split('.').next() == Some(job))
    }
}

impl MemoryFleet {
    /// Has a task crash each runner that starts it, that long after the start.
    pub fn set_killer(&self, task: &str, delay: Duration) {
        let mut state = self.state.borrow_mut();
        state.crashing.delays.insert(task.to_owned(), delay);
    }

    /// Counts no starts of killers: the bound holds for nodes that are in touch.
    pub fn leave_killers_uncounted(&self) {
        self.state.borrow_mut().crashing.uncounted = true;
    }

    /// Runners that tasks have crashed.
    pub fn kills(&self) -> usize {
        self.state.borrow().crashing.count
    }

    /// Runners that crashed under a task.
    pub fn crashes_under(&self, task: &str) -> u32 {
        let state = self.state.borrow();
        state.crashing.crashes.get(task).copied().unwrap_or(0)
    }

    /// Runners that tasks crashed that long ago and that are down still, to be begun again.
    pub fn take_crashed(&self, down: Duration) -> Vec<CrashedRunner> {
        let mut state = self.state.borrow_mut();
        let crashed = std::mem::take(&mut state.crashing.down);
        let (back, left) = crashed
            .into_iter()
            .partition(|runner| runner.at.elapsed() >= down);
        state.crashing.down = left;
        back
    }

    /// Has the runner that a killer was just started on crash in a while.
    pub(super) fn schedule_crash(&self, name: &str, order: &StartOrder) {
        let task = order.name.to_string();
        let delay = self.state.borrow().crashing.delays.get(&task).copied();
        let (Some(delay), Some(instance)) = (delay, self.instance_began(name)) else {
            return;
        };
        let (fleet, name, run) = (self.clone(), name.to_owned(), order.run);
        spawn_outside(async move {
            tokio::time::sleep(delay).await;
            if fleet.instance_began(&name) == Some(instance) && fleet.runs(&name, &task, run) {
                fleet.crash_under_task(&name);
            }
        });
    }

    fn runs(&self, name: &str, task: &str, run: u32) -> bool {
        self.settle();
        let state = self.state.borrow();
        let runner = state.runners.get(name).filter(|runner| runner.alive);
        let found = runner.and_then(|runner| runner.running.get(task));
        found.is_some_and(|found| found.run == run)
    }

    fn crash_under_task(&self, name: &str) {
        let mut state = self.state.borrow_mut();
        let Some(runner) = state.runners.get_mut(name) else {
            return;
        };
        let vm = runner.vm.clone();
        let tasks: Vec<String> = runner.running.keys().cloned().collect();
        for task in tasks {
            *state.crashing.crashes.entry(task).or_insert(0) += 1;
        }
        state.crashing.count += 1;
        state.crashing.down.push(CrashedRunner {
            name: name.to_owned(),
            vm,
            at: Instant::now(),
        });
        drop(state);
        self.end_process(name);
    }

    /// Ends a runner's process: calls are refused until another life is begun in its place.
    pub fn end_process(&self, name: &str) {
        if let Some(runner) = self.state.borrow_mut().runners.get_mut(name) {
            runner.refuses = true;
        }
        self.crash(name);
    }
}

impl FleetState {
    /// Judges a start of a task that crashes its runners, after it was carried out.
    pub(super) fn check_crashing_start(&mut self, task: &str, late: bool) {
        let crashing = &mut self.crashing;
        let crashes = crashing.crashes.get(task).copied().unwrap_or(0);
        if late
            || crashing.uncounted
            || crashes < CRASHES_BEFORE_LIMIT
            || !crashing.delays.contains_key(task)
        {
            return;
        }
        let starts = crashing.later_starts.entry(task.to_owned()).or_insert(0);
        *starts += 1;
        if *starts >= LATER_STARTS_LIMIT {
            let broken =
                format!("{task} started {starts} times after {crashes} runners crashed under it");
            self.broken.push(broken);
        }
    }
}
