//! Nodes that are frozen while they take over a pool, and are then cut off together with one
//! runner: only that node reaches the runner, and it reaches no other one. After the thaw the
//! node loses the store too. No task may run twice.

use std::slice;

use eyre::Result;
use hoisthitch_tests::world::StoreFaults;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    WARM_UP_MS,
    check_invariants,
    run_seeds,
    wait_successor, //
};
use crate::world::{
    TestWorld,
    lasting,
    sleep_ms, //
};

/// Long-running tasks, on one more VM than these.
const TASKS: u32 = 3;

/// Number of takeovers in a history.
const TAKEOVERS: usize = 3;

#[test]
fn owners_frozen_in_takeover_let_nothing_run_twice() -> Result<()> {
    run_seeds(history)
}

async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, TASKS as usize + 1).await?;
    world.submit("long", lasting(TASKS, 1)).await?;
    for _ in 0..TAKEOVERS {
        sleep_ms(WARM_UP_MS).await;
        takeover(&mut world, &mut rng).await?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// Ends the owner, and freezes and cuts off the node that takes over from it.
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
    // A third node takes over meanwhile, before the lease of the cut-off runner ends.
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

/// Cuts a node off from all runners but a random busy one, and that runner from all other nodes.
fn cut_off(world: &TestWorld, rng: &mut StdRng, node: &str) {
    let alone = node.to_owned();
    let others = world.nodes.keys().filter(|name| *name != node);
    let others: Vec<String> = others.cloned().collect();
    let busy = world.fleet.busy();
    let kept_runner = busy[rng.random_range(0..busy.len())].clone();
    for (runner, _) in world.fleet.living() {
        let cut = if runner == kept_runner {
            others.as_slice()
        } else {
            slice::from_ref(&alone)
        };
        world.fleet.cut(&runner, cut);
    }
}
