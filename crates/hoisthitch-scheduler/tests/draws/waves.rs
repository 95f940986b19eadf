//! Waves whose orders are slow or lost, while runners start to drain and the ownership of the
//! pool changes several times in a row. Nothing is lost unplanned, so no long-running task may
//! be stopped while another task of its step is unavailable.

use std::time::Duration;

use eyre::Result;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};

use super::{
    WARM_UP_MS,
    check_invariants,
    restart_owner, //
    run_seeds,
};
use crate::world::{
    TestWorld,
    lasting,
    sleep_ms, //
};

/// Long-running tasks, on twice as many VMs.
const TASKS: usize = 3;

/// Number of steps in a history, and the longest time between two of them.
const STEPS: usize = 10;
const MAX_GAP_MS: u64 = 1_500;

/// Time within which the wave must be completed once its orders arrive again.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn waves_keep_their_limits_while_runners_leave() -> Result<()> {
    run_seeds(history)
}

/// Requests a wave and disturbs it; the wave must keep its limits and be completed.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(5, 2 * TASKS).await?;
    world.submit("long", lasting(TASKS as u32, 1)).await?;
    sleep_ms(WARM_UP_MS).await;
    let mut vms: Vec<String> = world.fleet.living().into_iter().map(|(_, vm)| vm).collect();
    vms.shuffle(&mut rng);
    vms.truncate(rng.random_range(1..TASKS + 2));
    world
        .store
        .put("op/wave/1", Some(vms.join(",").as_bytes()), 0);
    let mut draining = Vec::new();
    for _ in 0..STEPS {
        disturb_wave(&mut world, &mut rng, &mut draining).await?;
        sleep_and_revive(&world, rng.random_range(0..MAX_GAP_MS)).await;
        check_invariants(&world)?;
    }
    world.fleet.slow_vm_orders(Duration::ZERO);
    world.fleet.lose_vm_orders(false);
    for _ in 0..COMPLETION_LIMIT_MS / 100 {
        if world.store.get("status/wave/1").as_deref() == Some(b"completed") {
            return check_invariants(&world);
        }
        sleep_and_revive(&world, 100).await;
    }
    eyre::bail!("the wave is not completed")
}

/// Lets time pass, and starts runners on VMs whose maintenance is over.
async fn sleep_and_revive(world: &TestWorld, time: u64) {
    sleep_ms(time).await;
    world.revive();
}

/// Slows or loses the orders about VMs, drains a runner, or restarts the owner.
async fn disturb_wave(
    world: &mut TestWorld,
    rng: &mut StdRng,
    draining: &mut Vec<String>,
) -> Result<()> {
    match rng.random_range(0..5) {
        0 => {
            let delay = Duration::from_millis(rng.random_range(0..850));
            world.fleet.slow_vm_orders(delay);
        }
        1 => world.fleet.lose_vm_orders(rng.random_bool(0.6)),
        2 if draining.len() < TASKS - 1 => {
            // An order for maintenance may still be on its way when the runner starts to drain.
            let delay = Duration::from_millis(rng.random_range(300..850));
            world.fleet.slow_vm_orders(delay);
            sleep_and_revive(world, rng.random_range(0..1_000)).await;
            drain_busy_runner(world, rng, draining);
        }
        _ => {
            let down = rng.random_range(100..1_200);
            restart_owner(world, true, down).await?;
        }
    }
    Ok(())
}

/// Marks a runner with a task as draining; it keeps serving.
fn drain_busy_runner(world: &TestWorld, rng: &mut StdRng, draining: &mut Vec<String>) {
    let busy = world.fleet.busy();
    let living = world.fleet.living();
    let mut staying = living
        .iter()
        .filter(|(name, _)| busy.contains(name) && !draining.contains(name));
    let number = rng.random_range(0..TASKS);
    if let Some((runner, _)) = staying.nth(number) {
        world.drain_runner(runner);
        draining.push(runner.clone());
    }
}
