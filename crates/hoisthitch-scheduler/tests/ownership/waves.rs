//! Waves: VMs go down one after the other, and no lasting step loses more tasks
//! than it may.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::world::StoreFaults;

use crate::{
    kept,
    world::{
        TestWorld,
        job,
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
    owners_that_collide_on_a_wave_order_each_vm_once => orders_once();
    wave_of_a_large_pool_is_in_time_though_the_store_is_slow => is_in_time();
    moves_of_a_pool_do_not_wait_for_its_wave => looks_beside_wave();
    vm_whose_upkeep_was_not_answered_takes_tasks_again => takes_tasks_again();
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
    let (vms, most) = world.fleet.maintenance_counts();
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
            ensure!(
                world.fleet.maintenance_counts().0 == 60,
                "after {tenth} tenths"
            );
            return kept(&world);
        }
    }
    eyre::bail!("{} upkeeps in 9 s", world.fleet.maintenance_counts().0)
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
    ensure!(world.fleet.maintenance_counts().0 == 6);
    kept(&world)
}

/// Four tasks on two runners, of which one may be away: no VM can go down
/// before a task is moved off it.
async fn moves_crowded() -> Result<()> {
    let world = TestWorld::start(3, 2).await?;
    let mut spec = lasting(4, 1);
    spec.steps[0].max_per_runner = 0;
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
    ensure!(
        world.fleet.maintenance_counts().0 == 2,
        "{:?}",
        world.fleet.maintenance_counts()
    );
    kept(&world)
}

/// The record of a life that is over stays in the store for some heartbeats.
async fn counts_down() -> Result<()> {
    let world = TestWorld::start(2, 4).await?;
    sleep_ms(3_000).await;
    world.store.put("op/wave/1", Some(b"vm-0"), 0);
    sleep_ms(900).await;
    ensure!(world.fleet.maintenance_counts().0 == 1);
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
    ensure!(
        world.fleet.maintenance_counts().0 == 3,
        "{:?}",
        world.fleet.maintenance_counts()
    );
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

/// Seen on a fleet of 1,100 VMs whose five owners share a wave's record: one VM was
/// ordered down 31 times by one owner, once a second. The write that notes that the
/// platform has confirmed an upkeep met another owner's, and what it had to say was
/// dropped. Logs of that owner show `upkeep_ordered` without a `wave_written` after it,
/// and none of it where one owner had the record for itself. Here another owner's
/// writes come every few milliseconds.
async fn orders_once() -> Result<()> {
    let world = TestWorld::start(2, 12).await?;
    sleep_ms(2_000).await;
    let own: Vec<String> = (0..12).map(|vm| format!("vm-{vm}")).collect();
    let others: Vec<String> = (0..400).map(|vm| format!("other-{vm}")).collect();
    let order = format!("4:{},{}", own.join(","), others.join(","));
    world.store.put("op/wave/1", Some(order.as_bytes()), 0);
    for other in &others {
        sleep_ms(7).await;
        world.revive();
        note_done(&world, other)?;
    }
    for _ in 0..100 {
        sleep_ms(100).await;
        world.revive();
    }
    let most = world.fleet.most_maintenance_orders();
    ensure!(most == 1, "a VM was ordered down {most} times");
    ensure!(
        world.fleet.maintenance_counts().0 == 12,
        "{:?}",
        world.fleet.maintenance_counts()
    );
    kept(&world)
}

/// Notes in a wave's record that another pool's VM had its upkeep.
fn note_done(world: &TestWorld, vm: &str) -> Result<()> {
    let Some(record) = world.store.get("test/wave/1") else {
        return Ok(());
    };
    let mut record: serde_json::Value = serde_json::from_slice(&record)?;
    if let Some(done) = record["done"].as_array_mut() {
        done.push(vm.into());
    }
    let record = serde_json::to_vec(&record)?;
    world.store.put("test/wave/1", Some(&record), 0);
    Ok(())
}

/// A pool with half of its VMs due in 26 s, a fifth of them at once, while each
/// call to the store takes a quarter of a second: as on a large fleet, but smaller.
async fn is_in_time() -> Result<()> {
    let world = TestWorld::start(2, 80).await?;
    sleep_ms(2_000).await;
    let list: Vec<String> = (0..42).map(|vm| format!("vm-{vm}")).collect();
    world.store.set_faults(StoreFaults {
        delay: Duration::from_millis(250),
        ..StoreFaults::default()
    });
    let order = format!("16:{}", list.join(","));
    world.store.put("op/wave/1", Some(order.as_bytes()), 0);
    for tenth in 0..260 {
        sleep_ms(100).await;
        world.revive();
        if world.store.get("status/wave/1").as_deref() == Some(b"completed") {
            let (vms, most) = world.fleet.maintenance_counts();
            ensure!(vms == 42 && most <= 16, "{vms}, {most}, {tenth} tenths");
            return kept(&world);
        }
    }
    eyre::bail!("{} upkeeps in 26 s", world.fleet.maintenance_counts().0)
}

/// Seen on the same fleet: an owner looked at its pool's needs each six seconds while a
/// wave was under way, for moves waited in one loop for the upkeeps' calls; 788 VMs
/// stayed where 112 were needed. Here each order for upkeep is under way for long, and
/// what the pool publishes has to follow its runners all the same.
async fn looks_beside_wave() -> Result<()> {
    let world = TestWorld::start(2, 40).await?;
    sleep_ms(3_000).await;
    world.fleet.slow_vm_orders(Duration::from_millis(800));
    let list: Vec<String> = (0..30).map(|vm| format!("vm-{vm}")).collect();
    let order = format!("30:{}", list.join(","));
    world.store.put("op/wave/1", Some(order.as_bytes()), 0);
    sleep_ms(1_000).await;
    for vm in 100..110 {
        let vm = format!("vm-{vm}");
        world.begin_runner(&vm);
        sleep_ms(1_000).await;
        world.revive();
        let share = world.store.get("test/share/halls").unwrap_or_default();
        let share: serde_json::Value = serde_json::from_slice(&share)?;
        let vms = share["share"]["vms"].to_string();
        ensure!(vms.contains(&vm), "{vm} is not told of after a second");
    }
    kept(&world)
}

/// Found by reading: an upkeep whose answer was lost is ordered again once its VM is
/// back. The new life is emptied for that, and was never told to go on.
async fn takes_tasks_again() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    sleep_ms(2_000).await;
    world.fleet.lose_vm_answers(true);
    world.store.put("op/wave/1", Some(b"vm-0"), 0);
    for _ in 0..35 {
        sleep_ms(100).await;
        world.revive();
    }
    world.fleet.lose_vm_answers(false);
    wave(&world, 1, 20_000).await?;
    world.submit("all", job("work 5000", &[24])).await?;
    sleep_ms(2_500).await;
    let tasks = world.fleet.tasks();
    let busy = tasks.iter().filter(|(_, tasks)| tasks.len() == 8);
    ensure!(busy.count() == 3, "{tasks:?}");
    kept(&world)
}
