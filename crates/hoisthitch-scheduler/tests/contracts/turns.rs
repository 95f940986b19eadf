//! Orders about a VM: they never alternate between two owners, whatever happens to an owner
//! with an order in flight.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_tests::world::StoreFaults;

use crate::{
    check_invariants,
    world::{
        TestWorld,
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

cases! {
    owner_killed_with_an_order_under_way_takes_no_turns => kills_owner();
    owners_killed_in_series_take_no_turns => kills_in_series();
    owner_frozen_with_an_order_under_way_takes_no_turns => freezes_owner();
    owner_frozen_before_its_order_takes_no_turns => freezes_before();
    owner_suspended_with_an_order_under_way_takes_no_turns => suspends_owner();
    owner_suspended_before_its_order_takes_no_turns => suspends_before();
    owner_cut_off_from_the_store_takes_no_turns => cuts_owner();
    owner_that_hears_no_answers_takes_no_turns => unhears_owner();
    owner_that_hears_no_answers_does_not_hold_jobs_up => unhears_with_jobs();
    owner_that_hears_none_from_the_store_does_not_hold_jobs_up => unhears_store();
}

/// VMs of the cases.
const VMS: usize = 4;

/// Longest time that a job may make no progress while its owner receives no responses: a few
/// member leases and an election.
const MAX_STALL_MS: u64 = 12_000;

/// Starts a simulated cluster with a wave of all VMs that is about to begin.
async fn start_wave() -> Result<TestWorld> {
    let world = TestWorld::start(4, VMS).await?;
    world.submit("long", lasting(2, 1)).await?;
    sleep_ms(4_000).await;
    world
        .store
        .put("op/wave/1", Some(b"vm-0,vm-1,vm-2,vm-3"), 0);
    Ok(world)
}

/// Waits until an order about any VM was sent.
async fn wait_order(world: &TestWorld) -> Result<()> {
    for _ in 0..2_000 {
        if (0..VMS).any(|vm| world.fleet.was_ordered(&format!("vm-{vm}"))) {
            return Ok(());
        }
        sleep_ms(2).await;
    }
    eyre::bail!("no order in 4 s")
}

/// Waits until the wave is completed, and checks that each VM had its maintenance and that no
/// invariant was violated.
async fn finish_wave(world: &TestWorld) -> Result<()> {
    for _ in 0..900 {
        sleep_ms(100).await;
        world.revive();
        if world.store.get("status/wave/1").as_deref() == Some(b"completed") {
            break;
        }
    }
    let (vms, most) = world.fleet.maintenance_counts();
    ensure!(vms == VMS && most <= 2, "{vms} VMs, {most} at once");
    sleep_ms(3_000).await;
    let available = world.fleet.runners_of("long").len();
    ensure!(available == 2, "{available} available");
    check_invariants(world)
}

/// The order is carried out without a response, is lost, or takes long to arrive, and its
/// owner is killed.
async fn kills_owner() -> Result<()> {
    for (delay_ms, lost) in [(0, false), (0, true), (300, false), (800, false)] {
        let world = start_wave().await?;
        world.fleet.slow_vm_orders(Duration::from_millis(delay_ms));
        world.fleet.lose_vm_orders(lost);
        wait_order(&world).await?;
        world.kill_owner();
        world.fleet.lose_vm_orders(false);
        finish_wave(&world).await?;
    }
    Ok(())
}

async fn kills_in_series() -> Result<()> {
    let mut world = start_wave().await?;
    world.fleet.lose_vm_orders(true);
    wait_order(&world).await?;
    for _ in 0..3 {
        let owner = world.kill_owner();
        world.wait_owner(&owner).await?;
        sleep_ms(300).await;
        world.start_node(&owner)?;
    }
    world.fleet.lose_vm_orders(false);
    finish_wave(&world).await
}

/// The owner is frozen right after it sent an order, and resumes before or after it is
/// replaced.
async fn freezes_owner() -> Result<()> {
    for frozen_ms in [500, 1_500, 2_200, 3_000, 5_000] {
        let world = start_wave().await?;
        world.fleet.slow_vm_orders(Duration::from_millis(200));
        wait_order(&world).await?;
        let owner = world.owner();
        world.nodes[&owner].freeze(true);
        world.fleet.disturb();
        sleep_ms(frozen_ms).await;
        world.nodes[&owner].freeze(false);
        finish_wave(&world).await?;
    }
    Ok(())
}

/// The owner's VM is suspended right after it sent an order; its monotonic clock does not
/// count that time.
async fn suspends_owner() -> Result<()> {
    for suspended_ms in [500, 1_500, 2_200, 3_000, 5_000] {
        let world = start_wave().await?;
        world.fleet.slow_vm_orders(Duration::from_millis(200));
        wait_order(&world).await?;
        let owner = world.owner();
        world.fleet.disturb();
        world.nodes[&owner].suspend(suspended_ms).await;
        finish_wave(&world).await?;
    }
    Ok(())
}

/// The owner's VM is suspended at moments before its first order, for longer than it takes to
/// replace the owner.
async fn suspends_before() -> Result<()> {
    let first = first_order_ms().await?;
    for before in [1, 8, 22, 38, 55, 90] {
        let world = start_slow_wave().await?;
        sleep_ms(first.saturating_sub(before)).await;
        let owner = world.owner();
        world.fleet.disturb();
        world.nodes[&owner].suspend(6_500).await;
        finish_wave(&world).await?;
    }
    Ok(())
}

/// Delay of the store's responses, in milliseconds, so that an owner can be frozen between
/// the record of an order and the order.
const RESPONSE_DELAY_MS: u64 = 40;

/// Starts a simulated cluster with a wave that is about to begin, where the store's responses
/// are delayed.
async fn start_slow_wave() -> Result<TestWorld> {
    let world = start_wave().await?;
    world.store.set_faults(StoreFaults {
        response_delay: Duration::from_millis(RESPONSE_DELAY_MS),
        ..StoreFaults::default()
    });
    Ok(world)
}

/// The owner is frozen at moments before its first order; its successor sends its own orders,
/// then the first owner resumes.
async fn freezes_before() -> Result<()> {
    let first = first_order_ms().await?;
    for before in [1, 4, 8, 15, 22, 30, 38, 45, 55, 70, 90, 150] {
        let world = start_slow_wave().await?;
        sleep_ms(first.saturating_sub(before)).await;
        let owner = world.owner();
        world.nodes[&owner].freeze(true);
        world.fleet.disturb();
        world.wait_owner(&owner).await?;
        sleep_ms(3_500).await;
        world.nodes[&owner].freeze(false);
        finish_wave(&world).await?;
    }
    Ok(())
}

/// Time from the request for the wave to the first order about a VM, in milliseconds.
async fn first_order_ms() -> Result<u64> {
    let world = start_slow_wave().await?;
    let from = world.fleet.unix_ms();
    wait_order(&world).await?;
    Ok(world.fleet.unix_ms() - from)
}

/// The owner reaches the platform's VM interface but not the store.
async fn cuts_owner() -> Result<()> {
    for offset in [0, 100, 400, 1_000] {
        let world = start_wave().await?;
        sleep_ms(offset).await;
        let owner = world.owner();
        world.store.set_faults(StoreFaults {
            cut: [owner].into_iter().collect(),
            ..StoreFaults::default()
        });
        world.fleet.disturb();
        sleep_ms(7_000).await;
        world.store.set_faults(StoreFaults::default());
        finish_wave(&world).await?;
    }
    Ok(())
}

/// Loses all responses to those nodes, of the store, of runners and about VMs, while their
/// requests arrive.
fn lose_responses(world: &TestWorld, nodes: &[String]) {
    world.fleet.drop_responses(nodes);
    world.fleet.disturb();
    world.store.set_faults(StoreFaults {
        unanswered: nodes.iter().cloned().collect(),
        ..StoreFaults::default()
    });
}

async fn unhears_owner() -> Result<()> {
    for offset in [0, 100, 400, 700, 1_000, 1_500] {
        let world = start_wave().await?;
        sleep_ms(offset).await;
        lose_responses(&world, &[world.owner()]);
        for _ in 0..80 {
            sleep_ms(100).await;
            world.revive();
        }
        lose_responses(&world, &[]);
        finish_wave(&world).await?;
    }
    Ok(())
}

/// Other nodes report the job as completed although its owner receives no responses for the
/// whole time.
async fn unhears_with_jobs() -> Result<()> {
    for offset in [0, 10, 100, 500] {
        let world = TestWorld::start(4, VMS).await?;
        world.submit("j", job("work 500", &[6, 3])).await?;
        sleep_ms(offset).await;
        lose_responses(&world, &[world.owner()]);
        world
            .wait_phase("j", JobPhase::Completed, MAX_STALL_MS)
            .await?;
        lose_responses(&world, &[]);
        sleep_ms(3_000).await;
        check_invariants(&world)?;
    }
    Ok(())
}

/// Only the store's responses are lost; those of runners arrive.
async fn unhears_store() -> Result<()> {
    let world = TestWorld::start(4, VMS).await?;
    world.submit("j", job("work 500", &[6, 3])).await?;
    sleep_ms(100).await;
    world.store.set_faults(StoreFaults {
        unanswered: [world.owner()].into_iter().collect(),
        ..StoreFaults::default()
    });
    world.fleet.disturb();
    world
        .wait_phase("j", JobPhase::Completed, MAX_STALL_MS)
        .await?;
    world.store.set_faults(StoreFaults::default());
    sleep_ms(3_000).await;
    check_invariants(&world)
}
