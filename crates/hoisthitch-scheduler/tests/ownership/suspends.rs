//! Nodes whose VM is suspended for seconds.
//!
//! The failure was found by reading the code, after the platform's pages said that the
//! monotonic clock does not count the time for which a VM is suspended. Leases in the store and
//! on runners run out meanwhile, but to a node that resumes, all that it knows seems as recent
//! as before. The node's clock was the monotonic clock, so that what was confirmed until some
//! time counted as confirmed for longer by the time of the suspension. Each case fails on a
//! clock that stops meanwhile, and passes on one that counts the time.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_scheduler::PolicyStatus;
use hoisthitch_tests::world::StoreFaults;

use super::{
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
    node_that_wakes_answers_by_no_old_configuration => stale_policy();
    node_that_wakes_counts_the_store_as_lost_until_it_answers => stale_store();
    owner_that_wakes_gives_no_lease_beyond_its_own => stale_lease(3_500);
    owner_that_wakes_late_gives_no_lease_beyond_its_own => stale_lease(4_500);
    owner_that_wakes_often_starts_nothing_twice => suspends_in_series();
}

/// Cuts a node off from the store.
fn cut_store(world: &TestWorld, node: &str) {
    let faults = StoreFaults {
        cut: [node.to_owned()].into_iter().collect(),
        ..StoreFaults::default()
    };
    world.store.set_faults(faults);
}

async fn stale_policy() -> Result<()> {
    let world = TestWorld::start(3, 2).await?;
    let node = &world.nodes["node-0"];
    cut_store(&world, "node-0");
    node.suspend(6_000).await;
    sleep_ms(5).await;
    let status = node.shared.policy_status();
    ensure!(
        matches!(status, PolicyStatus::Unconfirmed { .. }),
        "the configuration is {status:?}"
    );
    ensure!(!node.shared.is_ready(), "the node accepts requests");
    check_invariants(&world)
}

async fn stale_store() -> Result<()> {
    let world = TestWorld::start(3, 2).await?;
    let node = &world.nodes["node-0"];
    cut_store(&world, "node-0");
    node.suspend(4_000).await;
    let now = node.shared.clock.now();
    ensure!(
        !node.shared.store.is_usable(now),
        "the store counts as usable"
    );
    check_invariants(&world)
}

/// The owner is suspended and resumes cut off from the store. It alone reaches the runners with
/// tasks, and reaches no others. The next owner waits until all runs there have certainly
/// ended.
async fn stale_lease(suspended_ms: u64) -> Result<()> {
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
    world.nodes[&owner].suspend(suspended_ms).await;
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
    ensure!(running == 2, "{running} long-running tasks run");
    check_invariants(&world)
}

async fn suspends_in_series() -> Result<()> {
    let world = TestWorld::start(3, 4).await?;
    world.submit("long", lasting(2, 1)).await?;
    let mut ids = Vec::new();
    for (round, suspended_ms) in [700, 2_500, 5_000, 1_500, 9_000, 300]
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
            node.suspend(suspended_ms).await;
        }
        sleep_ms(800).await;
    }
    for id in &ids {
        world.wait_phase(id, JobPhase::Completed, 40_000).await?;
    }
    sleep_ms(10_000).await;
    let running = world.fleet.running().len();
    ensure!(running == 2, "{running} long-running tasks run");
    check_invariants(&world)
}
