//! Waves whose orders are slow or lost, while runners say that they leave and
//! owners change in series. Nothing is lost unplanned, so that no lasting task may
//! be ended while another one of its step is away.

use std::time::Duration;

use eyre::Result;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};

use super::{
    AT_WORK_MS,
    kept,
    play_all,
    restart_owner, //
};
use crate::world::{
    TestWorld,
    lasting,
    sleep_ms, //
};

/// Lasting tasks, on twice as many VMs.
const TASKS: usize = 3;

/// Steps of a history, and the longest time between two of them.
const STEPS: usize = 10;
const GAP_MS: u64 = 1_500;

/// Time within which a wave is completed once its orders arrive.
const COMPLETED_MS: u64 = 60_000;

#[test]
fn waves_keep_their_limits_while_runners_leave() -> Result<()> {
    play_all(history)
}

async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(5, 2 * TASKS).await?;
    world.submit("long", lasting(TASKS as u32, 1)).await?;
    sleep_ms(AT_WORK_MS).await;
    let mut vms: Vec<String> = world.fleet.living().into_iter().map(|(_, vm)| vm).collect();
    vms.shuffle(&mut rng);
    vms.truncate(rng.random_range(1..TASKS + 2));
    world
        .store
        .put("op/wave/1", Some(vms.join(",").as_bytes()), 0);
    let mut left = Vec::new();
    for _ in 0..STEPS {
        step(&mut world, &mut rng, &mut left).await?;
        pass(&world, rng.random_range(0..GAP_MS)).await;
        kept(&world)?;
    }
    world.fleet.slow_vm_orders(Duration::ZERO);
    world.fleet.lose_vm_orders(false);
    for _ in 0..COMPLETED_MS / 100 {
        if world.store.get("status/wave/1").as_deref() == Some(b"completed") {
            return kept(&world);
        }
        pass(&world, 100).await;
    }
    eyre::bail!("the wave is not completed")
}

/// Lets time pass; VMs whose upkeep is over come back.
async fn pass(world: &TestWorld, time: u64) {
    sleep_ms(time).await;
    world.revive();
}

async fn step(world: &mut TestWorld, rng: &mut StdRng, left: &mut Vec<String>) -> Result<()> {
    match rng.random_range(0..5) {
        0 => {
            let way = Duration::from_millis(rng.random_range(0..850));
            world.fleet.slow_vm_orders(way);
        }
        1 => world.fleet.lose_vm_orders(rng.random_bool(0.6)),
        2 if left.len() < TASKS - 1 => {
            // An upkeep's order may be under way meanwhile.
            let way = Duration::from_millis(rng.random_range(300..850));
            world.fleet.slow_vm_orders(way);
            pass(world, rng.random_range(0..1_000)).await;
            say_leaving(world, rng, left);
        }
        _ => {
            let down = rng.random_range(100..1_200);
            restart_owner(world, true, down).await?;
        }
    }
    Ok(())
}

/// A runner with a task says that it leaves, and goes on serving.
fn say_leaving(world: &TestWorld, rng: &mut StdRng, left: &mut Vec<String>) {
    let busy = world.fleet.busy();
    let living = world.fleet.living();
    let mut staying = living
        .iter()
        .filter(|(name, _)| busy.contains(name) && !left.contains(name));
    let number = rng.random_range(0..TASKS);
    if let Some((runner, _)) = staying.nth(number) {
        world.drain_runner(runner);
        left.push(runner.clone());
    }
}
