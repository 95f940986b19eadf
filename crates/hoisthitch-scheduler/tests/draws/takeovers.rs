//! Nodes that are frozen while they take a pool over, and then cut off together
//! with a runner.

use std::slice;

use eyre::Result;
use hoisthitch_tests::world::StoreFaults;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    AT_WORK_MS,
    kept,
    play_all,
    wait_successor, //
};
use crate::world::{
    TestWorld,
    lasting,
    sleep_ms, //
};

/// Lasting tasks, on one VM more.
const TASKS: u32 = 3;

/// Takeovers in a history.
const TAKEOVERS: usize = 3;

#[test]
fn owners_frozen_in_takeover_let_nothing_run_twice() -> Result<()> {
    play_all(history)
}

async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, TASKS as usize + 1).await?;
    world.submit("long", lasting(TASKS, 1)).await?;
    for _ in 0..TAKEOVERS {
        sleep_ms(AT_WORK_MS).await;
        takeover(&mut world, &mut rng).await?;
        kept(&world)?;
    }
    Ok(())
}

async fn takeover(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    let first = world.owner();
    if rng.random_bool(0.7) {
        world.nodes[&first].kill();
    } else {
        world.nodes[&first].stop();
    }
    let winner = wait_successor(world, &first).await?;
    sleep_ms(rng.random_range(0..20)).await;
    world.nodes[&winner].freeze(true);
    cut_off(world, rng, &winner);
    world.start_node(&first)?;
    // A third node takes over, and the runner's lease is not over yet.
    sleep_ms(rng.random_range(1_700..3_400)).await;
    world.nodes[&winner].freeze(false);
    sleep_ms(rng.random_range(50..600)).await;
    world.store.set_faults(StoreFaults {
        cut: [winner].into_iter().collect(),
        ..StoreFaults::default()
    });
    sleep_ms(10_000).await;
    world.store.set_faults(StoreFaults::default());
    for (runner, _) in world.fleet.living() {
        world.fleet.cut(&runner, &[]);
    }
    Ok(())
}

/// Cuts a node and some runner with a task off from all others.
fn cut_off(world: &TestWorld, rng: &mut StdRng, node: &str) {
    let alone = node.to_owned();
    let others = world.nodes.keys().filter(|name| *name != node);
    let others: Vec<String> = others.cloned().collect();
    let busy = world.fleet.busy();
    let beside = busy[rng.random_range(0..busy.len())].clone();
    for (runner, _) in world.fleet.living() {
        let cut = if runner == beside {
            others.as_slice()
        } else {
            slice::from_ref(&alone)
        };
        world.fleet.cut(&runner, cut);
    }
}
