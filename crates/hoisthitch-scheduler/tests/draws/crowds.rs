//! Waves over VMs that have several tasks of a long-running step each, so that tasks have to be
//! moved off before a VM may go down, while the VM service is away, orders about VMs are slow or
//! lost, and owners restart. Nothing is lost unplanned, so no long-running task may be ended while
//! another one of its step is unavailable.

use std::time::Duration;

use eyre::Result;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    WARM_UP_MS,
    check_invariants,
    restart_owner,
    run_seeds, //
};
use crate::world::{
    TestWorld,
    lasting,
    sleep_ms, //
};

/// Number of VMs.
const VMS: std::ops::Range<usize> = 2..5;

/// Most long-running tasks for each VM.
const TASKS_PER_VM: usize = 3;

/// Steps of a history, and the longest time between two of them.
const STEPS: usize = 8;
const MAX_GAP_MS: u64 = 2_500;

/// Longest outage of the VM service.
const MAX_OUTAGE_MS: u64 = 6_000;

/// Time within which the wave must be completed once its orders arrive again.
const COMPLETION_LIMIT_MS: u64 = 120_000;

#[test]
fn waves_over_crowded_vms_end_one_task_of_a_step_at_a_time() -> Result<()> {
    run_seeds(history)
}

/// Requests a wave of all VMs and disturbs it; the wave must keep its limits and be completed.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let vms = rng.random_range(VMS);
    let mut world = TestWorld::start(4, vms).await?;
    let tasks = rng.random_range(vms..=vms * TASKS_PER_VM);
    let mut spec = lasting(u32::try_from(tasks)?, 1);
    spec.steps[0].max_per_runner = 0;
    world.submit("long", spec).await?;
    sleep_ms(WARM_UP_MS).await;
    let list: Vec<String> = (0..vms).map(|vm| format!("vm-{vm}")).collect();
    let limit = rng.random_range(1..=vms);
    let order = format!("{limit}:{}", list.join(","));
    world.store.put("op/wave/1", Some(order.as_bytes()), 0);
    for _ in 0..STEPS {
        disturb_wave(&mut world, &mut rng).await?;
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
    for _ in 0..time / 100 {
        sleep_ms(100).await;
        world.revive();
    }
}

/// Takes the VM service down, slows or loses the orders about VMs, or restarts the owner.
async fn disturb_wave(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    match rng.random_range(0..7) {
        0..3 => {
            let outage = Duration::from_millis(rng.random_range(500..MAX_OUTAGE_MS));
            world.fleet.take_vm_service_down(outage);
        }
        3 => {
            let delay = Duration::from_millis(rng.random_range(0..850));
            world.fleet.slow_vm_orders(delay);
        }
        4 => world.fleet.lose_vm_orders(rng.random_bool(0.6)),
        _ => {
            let delay = Duration::from_millis(rng.random_range(0..850));
            world.fleet.slow_vm_orders(delay);
            sleep_and_revive(world, rng.random_range(0..1_000)).await;
            let down_ms = rng.random_range(100..1_200);
            restart_owner(world, true, down_ms).await?;
        }
    }
    Ok(())
}
