//! Invariants of jobs on a simulated cluster while owners, runners and clocks fail.
//!
//! They cover the times of a schedule and the order of steps, labels and the limit of tasks
//! per runner, gangs, latency targets of serving tasks, tickets of advisers, teams' limits,
//! runners whose capacity changes, and orders about VMs, which come from one owner at a time.

#[path = "../world/mod.rs"]
mod world;

use std::collections::BTreeMap;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    JobPhase,
    JobSpec, //
};
use world::{
    TestWorld,
    codec::{
        LABELLED, //
    },
    sleep_ms, //
};

/// Declares one test per case; each runs on the paused clock.
macro_rules! cases {
    ($($name:ident => $call:expr;)+) => {
        $(
            #[test]
            fn $name() -> Result<()> {
                play($call)
            }
        )+
    };
}

mod advice;
mod gang;
mod harm;
mod limits;
mod order;
mod rooms;
mod route;
mod turns;

/// Checks that no invariant was violated.
fn check_invariants(world: &TestWorld) -> Result<()> {
    let broken = world.fleet.violations();
    ensure!(broken.is_empty(), "{broken:?}");
    Ok(())
}

/// Names of all tasks of a job, over all repetitions of its schedule.
fn task_names(id: &str, spec: &JobSpec) -> Vec<String> {
    let mut names = Vec::new();
    for round in 0..spec.rounds() {
        for (step, tasks) in spec.steps.iter().enumerate() {
            names.extend((0..tasks.count).map(|index| format!("{id}.{round}.{step}.{index}")));
        }
    }
    names
}

/// Checks that each task of a job was started once and is done.
fn check_ran_once(world: &TestWorld, id: &str, spec: &JobSpec) -> Result<()> {
    for task in task_names(id, spec) {
        let starts = world.fleet.starts(&task);
        ensure!(starts == 1, "{task} was started {starts} times");
        ensure!(world.fleet.is_done(&task), "{task} is not done");
    }
    Ok(())
}

/// Waits until job `j` is completed, and checks that each of its tasks ran once.
async fn finish(world: &TestWorld, spec: &JobSpec, limit_ms: u64) -> Result<()> {
    world.wait_phase("j", JobPhase::Completed, limit_ms).await?;
    check_ran_once(world, "j", spec)?;
    check_invariants(world)
}

/// Starts of a job's runs by Unix time (ms, last six digits), for failure messages.
fn trace(world: &TestWorld, id: &str) -> BTreeMap<u64, Vec<String>> {
    let mut lines: BTreeMap<u64, Vec<String>> = BTreeMap::new();
    for note in world.fleet.start_records() {
        if note.task.starts_with(&format!("{id}.")) {
            let line = format!("{} run {} on {}", note.task, note.run, note.runner);
            lines.entry(note.at_ms % 1_000_000).or_default().push(line);
        }
    }
    lines
}

impl TestWorld {
    /// Starts a new runner instance with a label on a VM.
    fn begin_labelled(&self, vm: &str, label: &str) -> String {
        let name = self.fleet.begin_with_label(vm, label);
        let record = format!("{vm}{LABELLED}{label}");
        let key = format!("runner/{name}");
        self.store.put(&key, Some(record.as_bytes()), 0);
        name
    }

    /// Kills the owner and notes the disturbance, so that invariants with a time bound wait for
    /// its successor.
    fn kill_owner(&self) -> String {
        let owner = self.owner();
        self.nodes[&owner].kill();
        self.fleet.disturb();
        owner
    }

    /// Waits until another node than `before` owns the pool.
    async fn wait_owner(&self, before: &str) -> Result<String> {
        for _ in 0..1_000 {
            let owner = self.owner();
            if owner != before && !owner.is_empty() {
                return Ok(owner);
            }
            sleep_ms(10).await;
        }
        eyre::bail!("nobody took over from {before}")
    }
}
