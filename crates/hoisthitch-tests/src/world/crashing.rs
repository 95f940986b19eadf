//! Tasks that crash the runners that start them, and the checker that such a task is not started
//! again and again.
//!
//! In a crash the runner's process ends and its VM stays: connections are reset and new ones
//! refused until another instance is started on the VM.

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
    spawn_detached, //
};

/// Runners that may crash under a task before its further starts are counted.
const CRASHES_BEFORE_LIMIT: u32 = 3;

/// Number of further starts that is a violation.
const LATER_STARTS_LIMIT: u32 = 3;

/// Tasks that crash their runners, and the crashes and starts so far.
#[derive(Default)]
pub(super) struct CrashingTasks {
    /// Time from a start to the crash, by task.
    delays: BTreeMap<String, Duration>,
    /// Runners that crashed under each task.
    crashes: HashMap<String, u32>,
    /// Starts of each crashing task after three crashes.
    later_starts: HashMap<String, u32>,
    /// Whether starts are not counted, because the test never leaves nodes connected for long.
    uncounted: bool,
    /// Crashes by such tasks so far.
    count: usize,
    /// Runners that crashed in this way and were not started again.
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
    /// Whether a task of the job crashes its runners; the limit on unavailable tasks isn't checked
    /// for such a job.
    pub(super) fn has_job(&self, job: &str) -> bool {
        let mut tasks = self.delays.keys();
        tasks.any(|task| task.split('.').next() == Some(job))
    }
}

impl MemoryFleet {
    /// Makes a task crash each runner that starts it, `delay` after the start.
    pub fn set_crashing_task(&self, task: &str, delay: Duration) {
        let mut state = self.state.borrow_mut();
        state.crashing.delays.insert(task.to_owned(), delay);
    }

    /// Turns off the check of repeated starts of crashing tasks: the bound holds only while nodes
    /// are connected.
    pub fn skip_crash_check(&self) {
        self.state.borrow_mut().crashing.uncounted = true;
    }

    /// Number of runners that tasks have crashed.
    pub fn crash_count(&self) -> usize {
        self.state.borrow().crashing.count
    }

    /// Number of runners that crashed under a task.
    pub fn crashes_under(&self, task: &str) -> u32 {
        let state = self.state.borrow();
        state.crashing.crashes.get(task).copied().unwrap_or(0)
    }

    /// Removes and returns the runners that tasks crashed at least `down` ago and that were not
    /// started again, so that the caller can restart them.
    pub fn take_crashed(&self, down: Duration) -> Vec<CrashedRunner> {
        let mut state = self.state.borrow_mut();
        let crashed = std::mem::take(&mut state.crashing.down);
        let (back, left) = crashed
            .into_iter()
            .partition(|runner| runner.at.elapsed() >= down);
        state.crashing.down = left;
        back
    }

    /// Schedules the crash of the runner on which a crashing task was just started.
    pub(super) fn schedule_crash(&self, name: &str, order: &StartOrder) {
        let task = order.name.to_string();
        let delay = self.state.borrow().crashing.delays.get(&task).copied();
        let (Some(delay), Some(instance)) = (delay, self.instance_began(name)) else {
            return;
        };
        let (fleet, name, run) = (self.clone(), name.to_owned(), order.run);
        spawn_detached(async move {
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

    /// Ends a runner's process: calls are refused until another instance is started on its VM.
    pub fn end_process(&self, name: &str) {
        if let Some(runner) = self.state.borrow_mut().runners.get_mut(name) {
            runner.process_ended = true;
        }
        self.crash(name);
    }
}

impl FleetState {
    /// Checks a start of a crashing task, after it was carried out.
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
            let violation =
                format!("{task} started {starts} times after {crashes} runners crashed under it");
            self.violations.push(violation);
        }
    }
}
