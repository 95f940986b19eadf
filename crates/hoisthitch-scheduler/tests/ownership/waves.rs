//! Waves: VMs go down one after the other, and no lasting step loses more tasks
//! than it may.

use eyre::{
    Result,
    ensure, //
};

use crate::{
    kept,
    world::{
        TestWorld,
        lasting,
        play,
        sleep_ms, //
    }, //
};

cases! {
    wave_takes_every_vm_within_its_limits => takes_wave();
    wave_of_a_large_pool_empties_several_vms_at_once => takes_large_wave();
    wave_goes_on_under_a_new_owner => takes_wave_over();
    wave_moves_lasting_tasks_that_stand_too_close => moves_crowded();
    wave_counts_tasks_of_silent_runners_as_away => counts_silent();
    wave_under_a_new_owner_waits_for_runners_that_are_not_listed => counts_unlisted();
    vm_that_went_down_is_not_counted => counts_down();
    crash_before_the_upkeep_is_no_upkeep => crash_is_no_upkeep();
    owners_that_follow_one_another_take_no_turns_about_a_vm => takes_no_turns();
}

async fn wave(world: &TestWorld, vms: usize, limit_ms: u64) -> Result<()> {
    let list: Vec<String> = (0..vms).map(|vm| format!("vm-{vm}")).collect();
    world
        .store
        .put("op/wave/1", Some(list.join(",").as_bytes()), 0);
    for _ in 0..limit_ms / 100 {
        sleep_ms(100).await;
        world.revive();
        if world.store.get("status/wave/1").as_deref() == Some(b"completed") {
            return Ok(());
        }
    }
    eyre::bail!("the wave was not completed in {limit_ms} ms")
}

async fn takes_wave() -> Result<()> {
    let world = TestWorld::start(3, 6).await?;
    world.submit("long", lasting(4, 1)).await?;
    sleep_ms(2_000).await;
    wave(&world, 6, 60_000).await?;
    let (vms, most) = world.fleet.upkeeps();
    ensure!(vms == 6 && most <= 2, "{vms} VMs, {most} at once");
    sleep_ms(2_000).await;
    ensure!(world.fleet.running().len() == 4);
    kept(&world)
}

/// Sixty VMs, all of which may be down at once: one after the other would take
/// longer than fifteen seconds.
async fn takes_large_wave() -> Result<()> {
    let world = TestWorld::start(2, 60).await?;
    sleep_ms(2_000).await;
    let list: Vec<String> = (0..60).map(|vm| format!("vm-{vm}")).collect();
    let order = format!("60:{}", list.join(","));
    world.store.put("op/wave/1", Some(order.as_bytes()), 0);
    for tenth in 0..90 {
        sleep_ms(100).await;
        world.revive();
        if world.store.get("status/wave/1").as_deref() == Some(b"completed") {
            ensure!(world.fleet.upkeeps().0 == 60, "after {tenth} tenths");
            return kept(&world);
        }
    }
    eyre::bail!("{} upkeeps in 9 s", world.fleet.upkeeps().0)
}

async fn takes_wave_over() -> Result<()> {
    let world = TestWorld::start(3, 6).await?;
    world.submit("long", lasting(4, 1)).await?;
    sleep_ms(4_000).await;
    world
        .store
        .put("op/wave/1", Some(b"vm-0,vm-1,vm-2,vm-3,vm-4,vm-5"), 0);
    sleep_ms(1_200).await;
    world.nodes[&world.owner()].kill();
    wave(&world, 6, 60_000).await?;
    ensure!(world.fleet.upkeeps().0 == 6);
    kept(&world)
}

/// Four tasks on two runners, of which one may be away: no VM can go down
/// before a task is moved off it.
async fn moves_crowded() -> Result<()> {
    let world = TestWorld::start(3, 2).await?;
    let mut spec = lasting(4, 1);
    spec.steps[0].spread = 0;
    world.submit("long", spec).await?;
    sleep_ms(3_000).await;
    world.begin_runner("vm-2");
    world.begin_runner("vm-3");
    sleep_ms(4_000).await;
    wave(&world, 4, 90_000).await?;
    sleep_ms(2_000).await;
    ensure!(world.fleet.running().len() == 4);
    kept(&world)
}

async fn counts_silent() -> Result<()> {
    let world = TestWorld::start(3, 6).await?;
    world.submit("long", lasting(4, 1)).await?;
    sleep_ms(5_000).await;
    let busy = world.fleet.busy();
    let vms: Vec<String> = world
        .fleet
        .living()
        .into_iter()
        .filter(|(name, _)| busy[1..].contains(name))
        .map(|(_, vm)| vm)
        .collect();
    let nodes: Vec<String> = world.nodes.keys().cloned().collect();
    world.fleet.cut(&busy[0], &nodes);
    world.fleet.crash(&busy[0]);
    sleep_ms(1_800).await;
    world
        .store
        .put("op/wave/1", Some(vms.join(",").as_bytes()), 0);
    for _ in 0..100 {
        sleep_ms(100).await;
        world.revive();
    }
    kept(&world)
}

/// The records of two runners lapse, as in an outage of the store, and the owner
/// is lost: its successor knows the runners by what was recorded of the tasks.
async fn counts_unlisted() -> Result<()> {
    let world = TestWorld::start(3, 6).await?;
    world.submit("long", lasting(4, 1)).await?;
    sleep_ms(5_000).await;
    let busy = world.fleet.busy();
    let living = world.fleet.living();
    let lapsed: Vec<_> = living
        .iter()
        .filter(|(name, _)| busy[..2].contains(name))
        .collect();
    for (name, _) in &lapsed {
        world.store.put(&format!("runner/{name}"), None, 0);
    }
    world.nodes[&world.owner()].kill();
    let vms: Vec<&str> = lapsed.iter().map(|(_, vm)| vm.as_str()).collect();
    world
        .store
        .put("op/wave/1", Some(vms.join(",").as_bytes()), 0);
    for _ in 0..150 {
        sleep_ms(100).await;
        world.revive();
    }
    ensure!(world.fleet.upkeeps().0 == 2, "{:?}", world.fleet.upkeeps());
    kept(&world)
}

/// The record of a life that is over stays in the store for some heartbeats.
async fn counts_down() -> Result<()> {
    let world = TestWorld::start(2, 4).await?;
    sleep_ms(3_000).await;
    world.store.put("op/wave/1", Some(b"vm-0"), 0);
    sleep_ms(900).await;
    ensure!(world.fleet.upkeeps().0 == 1);
    world.begin_runner("vm-9");
    sleep_ms(900).await;
    let share = world.store.get("test/share/halls").unwrap_or_default();
    let share: serde_json::Value = serde_json::from_slice(&share)?;
    let vms = share["share"]["vms"].to_string();
    ensure!(vms.contains("vm-9") && !vms.contains("vm-0"), "{vms}");
    Ok(())
}

/// The order for the upkeep is lost, and the runner comes back by itself.
async fn crash_is_no_upkeep() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    sleep_ms(2_000).await;
    world.fleet.lose_vm_orders(true);
    world.store.put("op/wave/1", Some(b"vm-0,vm-1,vm-2"), 0);
    sleep_ms(1_500).await;
    for (runner, vm) in world.fleet.living() {
        world.fleet.crash(&runner);
        world.begin_runner(&vm);
    }
    sleep_ms(3_000).await;
    world.fleet.lose_vm_orders(false);
    wave(&world, 3, 60_000).await?;
    ensure!(world.fleet.upkeeps().0 == 3, "{:?}", world.fleet.upkeeps());
    kept(&world)
}

/// Found beside the wait for silent runners, by reading: what an owner knows of a
/// predecessor's orders ended with that owner. The one after the next gave an
/// order about a VM within 3 s of the first one's, which the platform takes for
/// two holders that take turns.
async fn takes_no_turns() -> Result<()> {
    let world = TestWorld::start(4, 4).await?;
    sleep_ms(4_000).await;
    world.fleet.lose_vm_orders(true);
    world.store.put("op/wave/1", Some(b"vm-0"), 0);
    for _ in 0..200 {
        if world.fleet.was_ordered("vm-0") {
            break;
        }
        sleep_ms(20).await;
    }
    ensure!(world.fleet.was_ordered("vm-0"), "no order in 4 s");
    for _ in 0..2 {
        world.nodes[&world.owner()].stop();
        sleep_ms(700).await;
    }
    sleep_ms(4_000).await;
    kept(&world)?;
    world.fleet.lose_vm_orders(false);
    wave(&world, 1, 20_000).await?;
    kept(&world)
}
