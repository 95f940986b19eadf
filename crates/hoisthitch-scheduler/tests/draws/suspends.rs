//! Nodes whose VM is suspended, combined with a slow or unreachable store, cut-off runners,
//! crashed runners, late orders and restarts of owners. No task may run twice, no VM may have
//! two holders, and all jobs must be completed.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_tests::world::StoreFaults;
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

/// Steps of a history; each submits a job and suspends a node.
const STEPS: usize = 12;

/// Time within which all jobs must be completed after the last fault.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn nodes_that_are_suspended_break_nothing() -> Result<()> {
    run_seeds(history)
}

/// Submits jobs while nodes are suspended.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, 4).await?;
    world.submit("long", lasting(2, 1)).await?;
    let mut jobs = Vec::new();
    for number in 0..STEPS {
        let id = format!("j{number}");
        let work = format!("work {}", rng.random_range(100..2_000));
        let counts = [rng.random_range(1..6), rng.random_range(1..4)];
        world.submit(&id, job(&work, &counts)).await?;
        jobs.push(id);
        suspend_node(&mut world, &mut rng).await?;
        sleep_ms(rng.random_range(0..1_200)).await;
    }
    world.store.set_faults(StoreFaults::default());
    world.fleet.set_late(0);
    for (name, _) in world.fleet.living() {
        world.fleet.cut(&name, &[]);
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

/// Suspends a node, in most cases the owner, together with another random fault or none.
async fn suspend_node(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    let names: Vec<String> = world.nodes.keys().cloned().collect();
    let owner = world.owner();
    let node = if rng.random_bool(0.7) && !owner.is_empty() {
        owner
    } else {
        names[rng.random_range(0..names.len())].clone()
    };
    let suspended_ms = rng.random_range(100..9_000);
    match rng.random_range(0..8) {
        0 => {
            // The store can't be reached when the node resumes.
            let cut = [node.clone()].into_iter().collect();
            world.store.set_faults(StoreFaults {
                cut,
                ..StoreFaults::default()
            });
            world.store.revoke(&node);
            world.nodes[&node].suspend(suspended_ms).await;
            sleep_ms(rng.random_range(0..4_000)).await;
            world.store.set_faults(StoreFaults::default());
        }
        1 => suspend_with_cut_runners(world, &node, suspended_ms, rng).await,
        2 => {
            world.fleet.set_late(rng.random_range(2..6));
            world.nodes[&node].suspend(suspended_ms).await;
            world.fleet.set_late(0);
        }
        3 => {
            let living = world.fleet.living();
            let (runner, vm) = living[rng.random_range(0..living.len())].clone();
            world.fleet.crash(&runner);
            world.nodes[&node].suspend(suspended_ms.min(3_000)).await;
            world.begin_runner(&vm);
        }
        4 => {
            world.store.set_faults(StoreFaults {
                delay: Duration::from_millis(rng.random_range(20..200)),
                ..StoreFaults::default()
            });
            world.nodes[&node].suspend(suspended_ms).await;
            world.store.set_faults(StoreFaults::default());
        }
        5 => {
            world.nodes[&node].suspend(suspended_ms).await;
            let (planned, down_ms) = (rng.random_bool(0.4), rng.random_range(50..1_500));
            restart_owner(world, planned, down_ms).await?;
        }
        _ => world.nodes[&node].suspend(suspended_ms).await,
    }
    Ok(())
}

/// Suspends the node while the other nodes are cut off from some of the runners.
async fn suspend_with_cut_runners(
    world: &TestWorld,
    node: &str,
    suspended_ms: u64,
    rng: &mut StdRng,
) {
    let others: Vec<String> = world
        .nodes
        .keys()
        .filter(|name| *name != node)
        .cloned()
        .collect();
    let cut: Vec<String> = world
        .fleet
        .living()
        .into_iter()
        .filter(|_| rng.random_bool(0.5))
        .map(|(name, _)| name)
        .collect();
    for name in &cut {
        world.fleet.cut(name, &others);
    }
    world.nodes[node].suspend(suspended_ms).await;
    sleep_ms(rng.random_range(0..5_000)).await;
    for name in &cut {
        world.fleet.cut(name, &[]);
    }
}
