//! Start orders that get no response, are refused or wait for their turn, while jobs are
//! cancelled. Each task must run only once, and its capacity must be free afterwards.

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
    run_seeds, //
};
use crate::world::{
    TestWorld,
    job,
    lasting,
    sleep_ms, //
};

/// Number of VMs.
const VMS: usize = 4;

/// Jobs submitted in a history.
const JOBS: usize = 6;

/// Time within which jobs must be completed after the last fault, in milliseconds.
const COMPLETION_LIMIT_MS: u64 = 60_000;

/// Time within which all capacity must be free after that: the longest lease, and a start.
const RELEASE_LIMIT_MS: u64 = 10_000;

/// CPU that a task requests to occupy a whole VM, in thousandths of a core.
const WHOLE_VM_CPU_MILLI: u32 = 8_000;

#[test]
fn unanswered_and_refused_starts_are_run_once_and_free_their_room() -> Result<()> {
    run_seeds(history)
}

/// Submits jobs while faults are injected, and cancels some of them.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = TestWorld::start(2, VMS).await?;
    let mut kept_jobs = Vec::new();
    for number in 0..JOBS {
        inject_fault(&world, &mut rng);
        let id = format!("j{number}");
        let work = format!("work {}", rng.random_range(500..6_000));
        let counts = [rng.random_range(2..16)];
        world.submit(&id, job(&work, &counts)).await?;
        sleep_ms(rng.random_range(0..1_500)).await;
        if rng.random_bool(0.4) {
            world.cancel(&id).await?;
        } else {
            kept_jobs.push(id);
        }
        sleep_ms(rng.random_range(0..2_500)).await;
    }
    clear_faults(&world);
    for id in &kept_jobs {
        world
            .wait_phase(id, JobPhase::Completed, COMPLETION_LIMIT_MS)
            .await?;
    }
    check_all_released(&world).await?;
    check_invariants(&world)
}

/// Injects one random fault, or clears all of them.
fn inject_fault(world: &TestWorld, rng: &mut StdRng) {
    let nodes: Vec<String> = world.nodes.keys().cloned().collect();
    let living = world.fleet.living();
    let (runner, _) = &living[rng.random_range(0..living.len())];
    match rng.random_range(0..4) {
        0 => world.fleet.set_late(rng.random_range(2..5)),
        1 => {
            world.fleet.set_late(rng.random_range(2..5));
            world.fleet.set_refusing(rng.random_range(2..5));
        }
        2 => world.fleet.cut(runner, &nodes),
        _ => clear_faults(world),
    }
}

/// Clears all faults.
fn clear_faults(world: &TestWorld) {
    world.fleet.set_late(0);
    world.fleet.set_refusing(0);
    for (runner, _) in world.fleet.living() {
        world.fleet.cut(&runner, &[]);
    }
}

/// Checks that all capacity is free: tasks that each occupy a whole VM must run on all VMs at
/// the same time.
async fn check_all_released(world: &TestWorld) -> Result<()> {
    let mut whole = lasting(VMS as u32, 1);
    for step in &mut whole.steps {
        step.need.cpu_milli = WHOLE_VM_CPU_MILLI.into();
    }
    world.submit("whole", whole).await?;
    for _ in 0..RELEASE_LIMIT_MS / 100 {
        if world.fleet.running().len() == VMS {
            return Ok(());
        }
        sleep_ms(100).await;
    }
    let running = world.fleet.running();
    ensure!(running.len() == VMS, "only {running:?} of {VMS} run");
    Ok(())
}
