//! Gangs whose runners crash for other reasons, while owners of the pool are lost. A crash is
//! one event, however many members of a gang run on the runner: no gang is failed before two of
//! its runners have crashed.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::IndexedRandom, //
};

use super::{
    WARM_UP_MS,
    check_invariants,
    restart_owner,
    run_seeds, //
};
use crate::world::{
    TestWorld,
    job,
    sleep_ms, //
};

/// Steps of a history; each submits a gang and may crash a runner.
const STEPS: usize = 10;

/// Number of runners.
const RUNNERS: usize = 6;

/// Crashes of a gang's runners from which on its job may be failed.
const CRASHES_OF_A_CAUSE: u32 = 2;

/// Time within which all jobs must have ended after the last fault.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn gangs_are_not_failed_after_one_crash() -> Result<()> {
    run_seeds(history)
}

/// Submits gangs and crashes runners that have members of them.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, RUNNERS).await?;
    sleep_ms(WARM_UP_MS).await;
    let mut crashes: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..STEPS {
        let id = format!("g{number}");
        let work = format!("work {}", rng.random_range(300..2_500));
        let mut spec = job(&work, &[rng.random_range(2..9)]);
        for step in &mut spec.steps {
            step.gang = true;
        }
        world.submit(&id, spec).await?;
        crashes.insert(id, 0);
        sleep_ms(rng.random_range(20..900)).await;
        match rng.random_range(0..6) {
            0..3 => crash_busy(&world, &mut crashes, &mut rng).await,
            3 => {
                let (planned, down_ms) = (rng.random_bool(0.5), rng.random_range(50..1_500));
                restart_owner(&mut world, planned, down_ms).await?;
            }
            _ => {}
        }
    }
    for (id, crashes) in &crashes {
        let phase = wait_end(&world, id).await?;
        let is_allowed = phase == JobPhase::Completed || *crashes >= CRASHES_OF_A_CAUSE;
        ensure!(is_allowed, "{id} is {phase:?} after {crashes} crashes");
    }
    check_invariants(&world)
}

/// Crashes a runner that has tasks, and starts another one on its VM a while later.
async fn crash_busy(world: &TestWorld, crashes: &mut BTreeMap<String, u32>, rng: &mut StdRng) {
    let busy: Vec<(String, Vec<String>)> = world
        .fleet
        .tasks()
        .into_iter()
        .filter(|(_, tasks)| !tasks.is_empty())
        .collect();
    let Some((name, tasks)) = busy.choose(rng) else {
        return;
    };
    let jobs = tasks.iter().filter_map(|task| task.split('.').next());
    for job in jobs.collect::<BTreeSet<&str>>() {
        *crashes.entry(job.to_owned()).or_insert(0) += 1;
    }
    let living = world.fleet.living();
    let vm = living.iter().find(|(living, _)| living == name);
    let vm = vm.map(|(_, vm)| vm.clone()).unwrap_or_default();
    world.fleet.end_process(name);
    sleep_ms(rng.random_range(100..1_500)).await;
    world.store.put(&format!("runner/{name}"), None, 0);
    world.begin_runner(&vm);
}

/// Waits until a job has ended, and returns its phase.
async fn wait_end(world: &TestWorld, id: &str) -> Result<JobPhase> {
    for _ in 0..COMPLETION_LIMIT_MS / 50 {
        if let Some(phase) = world.phase(id).await.filter(|phase| phase.is_final()) {
            return Ok(phase);
        }
        sleep_ms(50).await;
    }
    eyre::bail!("{id} has not ended")
}
