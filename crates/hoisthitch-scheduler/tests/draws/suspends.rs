//! Nodes whose VM is suspended, beside outages of the store, cut runners, crashes, late
//! orders and upkeeps: no task runs twice, no VM has two holders, and all work is done.

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
    kept,
    play_all,
    restart_owner, //
};
use crate::world::{
    TestWorld,
    job,
    lasting,
    sleep_ms, //
};

/// Steps of a history; each hands a job in and lets something happen.
const STEPS: usize = 12;

/// Time within which all jobs must be done once nothing happens any more.
const CALM_MS: u64 = 60_000;

#[test]
fn nodes_that_are_suspended_break_nothing() -> Result<()> {
    play_all(history)
}

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
        step(&mut world, &mut rng).await?;
        sleep_ms(rng.random_range(0..1_200)).await;
    }
    world.store.set_faults(StoreFaults::default());
    world.fleet.set_late(0);
    for (name, _) in world.fleet.living() {
        world.fleet.cut(&name, &[]);
    }
    for id in &jobs {
        world.wait_phase(id, JobPhase::Completed, CALM_MS).await?;
    }
    sleep_ms(10_000).await;
    let running = world.fleet.running().len();
    ensure!(running == 2, "{running} lasting tasks run");
    kept(&world)
}

/// Suspends a node, mostly the owner, beside one other thing.
async fn step(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    let names: Vec<String> = world.nodes.keys().cloned().collect();
    let owner = world.owner();
    let node = if rng.random_bool(0.7) && !owner.is_empty() {
        owner
    } else {
        names[rng.random_range(0..names.len())].clone()
    };
    let asleep_ms = rng.random_range(100..9_000);
    match rng.random_range(0..8) {
        0 => {
            // It wakes without a way to the store.
            let cut = [node.clone()].into_iter().collect();
            world.store.set_faults(StoreFaults {
                cut,
                ..StoreFaults::default()
            });
            world.store.revoke(&node);
            world.nodes[&node].suspend(asleep_ms).await;
            sleep_ms(rng.random_range(0..4_000)).await;
            world.store.set_faults(StoreFaults::default());
        }
        1 => cut_runners(world, &node, asleep_ms, rng).await,
        2 => {
            world.fleet.set_late(rng.random_range(2..6));
            world.nodes[&node].suspend(asleep_ms).await;
            world.fleet.set_late(0);
        }
        3 => {
            let living = world.fleet.living();
            let (runner, vm) = living[rng.random_range(0..living.len())].clone();
            world.fleet.crash(&runner);
            world.nodes[&node].suspend(asleep_ms.min(3_000)).await;
            world.begin_runner(&vm);
        }
        4 => {
            world.store.set_faults(StoreFaults {
                delay: Duration::from_millis(rng.random_range(20..200)),
                ..StoreFaults::default()
            });
            world.nodes[&node].suspend(asleep_ms).await;
            world.store.set_faults(StoreFaults::default());
        }
        5 => {
            world.nodes[&node].suspend(asleep_ms).await;
            let (planned, down_ms) = (rng.random_bool(0.4), rng.random_range(50..1_500));
            restart_owner(world, planned, down_ms).await?;
        }
        _ => world.nodes[&node].suspend(asleep_ms).await,
    }
    Ok(())
}

/// The node sleeps while other nodes don't reach some of the runners.
async fn cut_runners(world: &TestWorld, node: &str, asleep_ms: u64, rng: &mut StdRng) {
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
    world.nodes[node].suspend(asleep_ms).await;
    sleep_ms(rng.random_range(0..5_000)).await;
    for name in &cut {
        world.fleet.cut(name, &[]);
    }
}
