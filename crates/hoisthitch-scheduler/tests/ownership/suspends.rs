//! Nodes whose VM is suspended for seconds.
//!
//! Seen: in reading, after the platform's pages said that the steady clock does not count the
//! time for which a VM is suspended. Leases at the store and on runners go on meanwhile.
//! How it comes about: a node that wakes finds all that it knows as old as before.
//! Cause: the node's clock was the steady clock, and what is confirmed until a time, by that
//! clock, was confirmed for as much longer as the node slept.
//! What proved it: each case fails on a clock that stands still meanwhile, and passes on one
//! that counts the time.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_scheduler::PolicyStatus;
use hoisthitch_tests::world::StoreFaults;

use super::{
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
    node_that_wakes_answers_by_no_old_configuration => old_policy();
    node_that_wakes_counts_the_store_as_lost_until_it_answers => old_store();
    owner_that_wakes_gives_no_lease_beyond_its_own => old_lease(3_500);
    owner_that_wakes_late_gives_no_lease_beyond_its_own => old_lease(4_500);
    owner_that_wakes_often_starts_nothing_twice => series();
}

/// Cuts a node off from the store.
fn cut_store(world: &TestWorld, node: &str) {
    let faults = StoreFaults {
        cut: [node.to_owned()].into_iter().collect(),
        ..StoreFaults::default()
    };
    world.store.set_faults(faults);
}

async fn old_policy() -> Result<()> {
    let world = TestWorld::start(3, 2).await?;
    let node = &world.nodes["node-0"];
    cut_store(&world, "node-0");
    node.suspend(6_000).await;
    sleep_ms(5).await;
    let reading = node.shared.policy_status();
    ensure!(
        matches!(reading, PolicyStatus::Unconfirmed { .. }),
        "answers by {reading:?}"
    );
    ensure!(!node.shared.is_ready(), "it takes callers");
    kept(&world)
}

async fn old_store() -> Result<()> {
    let world = TestWorld::start(3, 2).await?;
    let node = &world.nodes["node-0"];
    cut_store(&world, "node-0");
    node.suspend(4_000).await;
    let now = node.shared.clock.now();
    ensure!(!node.shared.store.is_usable(now), "the store is lost");
    kept(&world)
}

/// The owner sleeps, wakes without a way to the store, and is the only one that reaches the
/// runners that run something, and reaches no others. The next owner waits until everything
/// there has ended for certain.
async fn old_lease(asleep_ms: u64) -> Result<()> {
    let world = TestWorld::start(3, 3).await?;
    world.submit("long", lasting(2, 1)).await?;
    sleep_ms(8_000).await;
    let owner = world.owner();
    let others: Vec<String> = world
        .nodes
        .keys()
        .filter(|name| **name != owner)
        .cloned()
        .collect();
    let busy = world.fleet.busy();
    for (name, _) in world.fleet.living() {
        let cut = if busy.contains(&name) {
            others.clone()
        } else {
            vec![owner.clone()]
        };
        world.fleet.cut(&name, &cut);
    }
    cut_store(&world, &owner);
    world.store.revoke(&owner);
    world.nodes[&owner].suspend(asleep_ms).await;
    for _ in 0..120 {
        sleep_ms(100).await;
        world.fleet.running();
    }
    world.store.set_faults(StoreFaults::default());
    for (name, _) in world.fleet.living() {
        world.fleet.cut(&name, &[]);
    }
    sleep_ms(10_000).await;
    let running = world.fleet.running().len();
    ensure!(running == 2, "{running} lasting tasks run");
    kept(&world)
}

async fn series() -> Result<()> {
    let world = TestWorld::start(3, 4).await?;
    world.submit("long", lasting(2, 1)).await?;
    let mut ids = Vec::new();
    for (round, asleep_ms) in [700, 2_500, 5_000, 1_500, 9_000, 300]
        .into_iter()
        .enumerate()
    {
        for number in 0..4 {
            let id = format!("j{round}-{number}");
            world.submit(&id, job("work 700", &[4, 2])).await?;
            ids.push(id);
        }
        sleep_ms(300).await;
        let owner = world.owner();
        if let Some(node) = world.nodes.get(&owner) {
            node.suspend(asleep_ms).await;
        }
        sleep_ms(800).await;
    }
    for id in &ids {
        world.wait_phase(id, JobPhase::Completed, 40_000).await?;
    }
    sleep_ms(10_000).await;
    let running = world.fleet.running().len();
    ensure!(running == 2, "{running} lasting tasks run");
    kept(&world)
}
