//! Runners that restart under their names while the network holds all calls to them back: what
//! was sent to an instance reaches the next one, before anything that is sent to that one. No
//! task may run again after its end was acknowledged, and all jobs must complete.

use eyre::{
    Result,
    WrapErr,
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
    play,
    sleep_ms, //
};

/// Steps of a history; each submits a job and may hold calls back.
const STEPS: usize = 14;

/// Number of runners.
const RUNNERS: usize = 4;

/// Long-running tasks.
const LONG_RUNNING_TASKS: u32 = 2;

/// Time within which all jobs must be completed after the last fault.
const COMPLETION_LIMIT_MS: u64 = 40_000;

/// Seeds that once broke an invariant, each with the cause.
const REGRESSION_SEEDS: [(u64, &str); 6] = [
    (
        3,
        "a start and an acknowledgement reach a later instance together",
    ),
    (9, "the same as 3, and the start is not stopped there"),
    (129, "the same as 3, under another owner"),
    (205, "a third owner does not know that a runner drops ends"),
    (
        225,
        "an innocent job is failed after losses at any time of its runs",
    ),
    (401, "suspects alone wait for a runner that may drop ends"),
];

#[test]
fn delayed_calls_that_broke_a_promise_keep_it() -> Result<()> {
    for (seed, cause) in REGRESSION_SEEDS {
        play(history(seed)).wrap_err_with(|| format!("seed {seed}: {cause}"))?;
    }
    Ok(())
}

#[test]
fn calls_that_reach_a_later_instance_repeat_nothing() -> Result<()> {
    run_seeds(history)
}

/// Restarts runners to which calls are held back, and some of their owners, while jobs run.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, RUNNERS).await?;
    world.fleet.set_calls_held(true);
    world.submit("long", lasting(LONG_RUNNING_TASKS, 1)).await?;
    let mut jobs = Vec::new();
    for number in 0..STEPS {
        let id = format!("j{number}");
        let work = format!("work {}", rng.random_range(50..900));
        let counts = [rng.random_range(1..8), rng.random_range(1..4)];
        world.submit(&id, job(&work, &counts)).await?;
        jobs.push(id);
        sleep_ms(rng.random_range(0..300)).await;
        if rng.random_bool(0.7) {
            restart_behind_cut(&mut world, &mut rng).await?;
        }
        sleep_ms(rng.random_range(0..900)).await;
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

/// Holds back the calls to a runner, restarts it meanwhile, and then lets the calls through.
async fn restart_behind_cut(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    let living = world.fleet.living();
    let (name, vm) = living[rng.random_range(0..living.len())].clone();
    let nodes: Vec<String> = world.nodes.keys().cloned().collect();
    world.fleet.cut(&name, &nodes);
    sleep_ms(rng.random_range(0..1_500)).await;
    world.fleet.crash(&name);
    sleep_ms(rng.random_range(150..900)).await;
    world.fleet.restart(&name);
    if rng.random_bool(0.3) {
        let (planned, down_ms) = (rng.random_bool(0.4), rng.random_range(50..1_000));
        restart_owner(world, planned, down_ms).await?;
    }
    sleep_ms(rng.random_range(0..1_000)).await;
    world.fleet.cut(&name, &[]);
    sleep_ms(rng.random_range(0..600)).await;
    world.record_runner(&name, &vm);
    Ok(())
}
