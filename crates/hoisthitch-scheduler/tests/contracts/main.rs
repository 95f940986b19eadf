//! What jobs ask for is kept while owners, runners and clocks fail: times and
//! order, labels and spread, gangs, targets of serving tasks, leave of advisers,
//! and one holder for each VM.

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

/// Names each case; every case is played on the paused clock.
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

/// Checks that nothing broke a rule.
fn kept(world: &TestWorld) -> Result<()> {
    let broken = world.fleet.violations();
    ensure!(broken.is_empty(), "{broken:?}");
    Ok(())
}

/// Names of all tasks of a job, over all its times.
fn task_names(id: &str, spec: &JobSpec) -> Vec<String> {
    let mut names = Vec::new();
    for round in 0..spec.rounds() {
        for (step, tasks) in spec.steps.iter().enumerate() {
            names.extend((0..tasks.count).map(|index| format!("{id}.{round}.{step}.{index}")));
        }
    }
    names
}

/// Checks that each task of a job began once, and is done.
fn ran_once(world: &TestWorld, id: &str, spec: &JobSpec) -> Result<()> {
    for task in task_names(id, spec) {
        let starts = world.fleet.starts(&task);
        ensure!(starts == 1, "{task} began {starts} times");
        ensure!(world.fleet.is_done(&task), "{task} is not done");
    }
    Ok(())
}

/// Waits for the end of the job `j`, and checks that all of it ran once.
async fn finish(world: &TestWorld, spec: &JobSpec, limit_ms: u64) -> Result<()> {
    world.wait_phase("j", JobPhase::Completed, limit_ms).await?;
    ran_once(world, "j", spec)?;
    kept(world)
}

/// Starts of each run of a job's tasks, by runner: what the trace of a failure
/// needs.
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
    /// Begins a life of a VM's runner with a label.
    fn begin_labelled(&self, vm: &str, label: &str) -> String {
        let name = self.fleet.begin_with_label(vm, label);
        let record = format!("{vm}{LABELLED}{label}");
        let key = format!("runner/{name}");
        self.store.put(&key, Some(record.as_bytes()), 0);
        name
    }

    /// Kills the owner; the rules with a time bound wait for its successor.
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
