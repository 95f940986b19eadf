//! Randomized histories for failures that independent faults, injected one after the other,
//! do not reach. Each kind of history combines two or three faults at random times.
//!
//! Where an invariant holds for planned work only, the history injects no unplanned faults.
//! `DRAWS` sets the number of seeds of each kind, and `FIRST_SEED` the first of them. `ORDERS`
//! sets in how many orders of tasks that are ready at the same time each is played, and
//! `FIRST_ORDER` the first of these.

mod advised;
mod cordons;
mod crowds;
mod cuts;
mod delays;
mod drains;
mod ends;
mod failures;
mod gangs;
mod halls;
mod intake;
mod killers;
mod lives;
mod losses;
mod names;
mod outages;
mod rooms;
mod small_pools;
mod starts;
mod suspends;
mod takeovers;
mod waves;

use eyre::{
    Result,
    WrapErr,
    ensure, //
};

use crate::{
    env_number,
    world::{
        TestWorld,
        play_in_order,
        sleep_ms, //
    }, //
};

/// Number of histories of each kind where the environment sets none.
const DRAWS: u64 = 20;

/// Time for which long-running tasks run before the first fault, in milliseconds: by then
/// leases have reached their full length.
const WARM_UP_MS: u64 = 8_000;

/// Orders in which each history is played.
fn orders() -> std::ops::Range<u64> {
    let first = env_number("FIRST_ORDER", 0);
    first..first + env_number("ORDERS", 1)
}

/// Runs the histories of a kind, one for each seed.
fn run_seeds<F>(history: impl Fn(u64) -> F) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("DRAWS", DRAWS) {
        for order in orders() {
            let played = play_in_order(order, history(seed));
            played.wrap_err_with(|| format!("seed {seed} order {order}"))?;
        }
    }
    Ok(())
}

/// Checks that the simulated fleet has seen no broken invariant.
fn check_invariants(world: &TestWorld) -> Result<()> {
    let broken = world.fleet.violations();
    ensure!(broken.is_empty(), "{broken:?}");
    Ok(())
}

/// Waits until a node other than `last` owns the pool, and returns its name.
async fn wait_successor(world: &TestWorld, last: &str) -> Result<String> {
    for _ in 0..8_000 {
        let owner = world.owner();
        if owner != last && !owner.is_empty() {
            return Ok(owner);
        }
        sleep_ms(1).await;
    }
    eyre::bail!("nobody took over from {last}")
}

/// Restarts the owner after `down_ms`: with a planned shutdown, or else by killing it.
async fn restart_owner(world: &mut TestWorld, planned: bool, down_ms: u64) -> Result<()> {
    let owner = world.owner();
    let Some(node) = world.nodes.get(&owner) else {
        return Ok(());
    };
    if planned {
        node.stop();
    } else {
        node.kill();
    }
    sleep_ms(down_ms).await;
    world.start_node(&owner)
}
