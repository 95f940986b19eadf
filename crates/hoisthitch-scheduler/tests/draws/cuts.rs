//! Runners behind cuts of both kinds, those that reset connections and those that give no
//! response, beside runners whose processes end, owners that restart or are cut off alone, and
//! late orders. A cut and the end of a process look alike from outside; no task may run twice,
//! and all jobs must complete.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    check_invariants,
    restart_owner,
    run_seeds, //
};
use crate::world::{
    TestWorld,
    job,
    lasting,
    sleep_ms, //
};

/// Steps of a history; each submits a job and injects a fault.
const STEPS: usize = 14;

/// Number of runners.
const RUNNERS: usize = 5;

/// Long-running tasks.
const LONG_RUNNING_TASKS: u32 = 2;

/// Times of cuts, in milliseconds: the longest are longer than a lease.
const CUT_MS: std::ops::Range<u64> = 100..7_000;

/// Time within which all jobs must be completed after the last fault.
const COMPLETION_LIMIT_MS: u64 = 40_000;

#[test]
fn cuts_that_look_like_ended_processes_run_nothing_twice() -> Result<()> {
    run_seeds(history)
}

/// Cuts runners off in both ways while jobs run.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, RUNNERS).await?;
    world.submit("long", lasting(LONG_RUNNING_TASKS, 1)).await?;
    let mut jobs = Vec::new();
    for number in 0..STEPS {
        let id = format!("j{number}");
        let work = format!("work {}", rng.random_range(50..4_000));
        let counts = [rng.random_range(1..8), rng.random_range(1..4)];
        world.submit(&id, job(&work, &counts)).await?;
        jobs.push(id);
        inject_fault(&mut world, &mut rng).await?;
        sleep_ms(rng.random_range(0..1_200)).await;
    }
    world.fleet.set_late(0);
    for (name, _) in world.fleet.living() {
        world.fleet.cut(&name, &[]);
    }
    for id in &jobs {
        world
            .wait_phase(id, JobPhase::Completed, COMPLETION_LIMIT_MS)
            .await?;
    }
    sleep_ms(10_000).await;
    let running = world.fleet.running().len();
    ensure!(
        running == LONG_RUNNING_TASKS as usize,
        "{running} long-running tasks run"
    );
    check_invariants(&world)
}

/// Injects one random fault, or ends late orders.
async fn inject_fault(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    match rng.random_range(0..10) {
        0..5 => cut_some(world, rng).await,
        5 => end_process(world, rng).await,
        6 | 7 => {
            cut_one(world, rng);
            sleep_ms(rng.random_range(0..1_500)).await;
            let (planned, down_ms) = (rng.random_bool(0.5), rng.random_range(50..1_500));
            restart_owner(world, planned, down_ms).await?;
        }
        8 => world.fleet.set_late(rng.random_range(3..8)),
        _ => world.fleet.set_late(0),
    }
    Ok(())
}

/// Cuts a random runner off from all nodes or from the owner alone; returns its name.
fn cut_one(world: &TestWorld, rng: &mut StdRng) -> String {
    let living = world.fleet.living();
    let (name, _) = living[rng.random_range(0..living.len())].clone();
    let nodes: Vec<String> = if rng.random_bool(0.7) {
        world.nodes.keys().cloned().collect()
    } else {
        vec![world.owner()]
    };
    if rng.random_bool(0.7) {
        world.fleet.cut_with_resets(&name, &nodes);
    } else {
        world.fleet.cut(&name, &nodes);
    }
    name
}

/// Cuts one runner or two off, and heals the cuts of all one after the other.
async fn cut_some(world: &TestWorld, rng: &mut StdRng) {
    for _ in 0..rng.random_range(1..3) {
        cut_one(world, rng);
        sleep_ms(rng.random_range(0..300)).await;
    }
    sleep_ms(rng.random_range(CUT_MS)).await;
    for (name, _) in world.fleet.living() {
        world.fleet.cut(&name, &[]);
        sleep_ms(rng.random_range(0..300)).await;
    }
}

/// Ends a runner's process; another runner starts on its VM some time later.
async fn end_process(world: &TestWorld, rng: &mut StdRng) {
    let living = world.fleet.living();
    let (name, vm) = living[rng.random_range(0..living.len())].clone();
    world.fleet.end_process(&name);
    sleep_ms(rng.random_range(100..3_000)).await;
    world.begin_runner(&vm);
}
