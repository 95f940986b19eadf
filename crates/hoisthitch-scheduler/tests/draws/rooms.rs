//! Runners whose capacity shrinks and grows while they run, combined with late orders, slow
//! stops, cancellations, restarts of runners and lost owners. The simulated runners carry out
//! every start that they are ordered, so that the scheduler alone must ensure that no start
//! exceeds the capacity of a runner.

use std::time::Duration;

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
    restart_owner, //
    run_seeds,
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
const RUNNERS: usize = 4;

/// Capacities of a runner, in thousandths of a core.
const CPU_CAPACITIES: [u64; 5] = [1_000, 2_000, 3_000, 5_000, 8_000];

/// Time within which all jobs must be completed once all runners have their full capacity.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn runners_whose_room_changes_are_never_over_it() -> Result<()> {
    run_seeds(history)
}

/// Submits jobs while the capacity of runners changes.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, RUNNERS).await?;
    world
        .fleet
        .set_stop_time(Duration::from_millis(rng.random_range(0..900)));
    world.submit("long", lasting(2, 1)).await?;
    let mut jobs = Vec::new();
    for number in 0..STEPS {
        let id = format!("j{number}");
        let work = format!("work {}", rng.random_range(200..3_000));
        let counts = [rng.random_range(2..14), rng.random_range(1..6)];
        world.submit(&id, job(&work, &counts)).await?;
        jobs.push(id);
        inject_fault(&mut world, &mut jobs, &mut rng).await?;
        sleep_ms(rng.random_range(0..1_200)).await;
    }
    world.fleet.set_late(0);
    for (name, vm) in world.fleet.living() {
        world.set_room(&name, &vm, 8_000);
    }
    for id in &jobs {
        world
            .wait_phase(id, JobPhase::Completed, COMPLETION_LIMIT_MS)
            .await?;
    }
    sleep_ms(10_000).await;
    let running = world.fleet.running().len();
    ensure!(running == 2, "{running} long-running tasks run");
    check_invariants(&world)
}

/// Changes capacities, injects another random fault, or ends late orders.
async fn inject_fault(
    world: &mut TestWorld,
    jobs: &mut Vec<String>,
    rng: &mut StdRng,
) -> Result<()> {
    match rng.random_range(0..10) {
        0..5 => change_capacities(world, rng),
        5 => {
            let (planned, down_ms) = (rng.random_bool(0.4), rng.random_range(50..1_500));
            restart_owner(world, planned, down_ms).await?;
        }
        6 => world.fleet.set_late(rng.random_range(2..6)),
        7 => world.fleet.set_late(0),
        8 => {
            let id = jobs.swap_remove(rng.random_range(0..jobs.len()));
            world.cancel(&id).await?;
        }
        _ => restart_runner(world, rng).await,
    }
    Ok(())
}

/// Gives each runner another capacity in one of two cases.
fn change_capacities(world: &TestWorld, rng: &mut StdRng) {
    for (name, vm) in world.fleet.living() {
        if rng.random_bool(0.5) {
            let room = CPU_CAPACITIES[rng.random_range(0..CPU_CAPACITIES.len())];
            world.set_room(&name, &vm, room);
        }
    }
}

/// Restarts a runner under its name, with the usual capacity, and updates its record later.
async fn restart_runner(world: &TestWorld, rng: &mut StdRng) {
    let living = world.fleet.living();
    let (name, vm) = living[rng.random_range(0..living.len())].clone();
    world.fleet.crash(&name);
    sleep_ms(rng.random_range(150..900)).await;
    world.fleet.restart(&name);
    sleep_ms(rng.random_range(0..600)).await;
    world.record_runner(&name, &vm);
}
