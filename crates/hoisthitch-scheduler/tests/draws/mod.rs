//! Histories for faults that troubles drawn one after the other don't meet: each
//! kind brings two or three troubles together, at drawn times.
//!
//! Where a promise holds only for planned work, nothing else is drawn with it.

mod drains;
mod killers;
mod lives;
mod losses;
mod outages;
mod rooms;
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
    setting,
    world::{
        TestWorld,
        play,
        sleep_ms, //
    }, //
};

/// Histories of each kind where the environment names no number.
const DRAWS: u64 = 20;

/// Time of the lasting tasks at work before anything happens, in milliseconds: by
/// then leases are as long as they get.
const AT_WORK_MS: u64 = 8_000;

/// Plays the histories of a kind.
fn play_all<F>(history: impl Fn(u64) -> F) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    let first = setting("FIRST_SEED", 1);
    for seed in first..first + setting("DRAWS", DRAWS) {
        play(history(seed)).wrap_err_with(|| format!("seed {seed}"))?;
    }
    Ok(())
}

fn kept(world: &TestWorld) -> Result<()> {
    let broken = world.fleet.violations();
    ensure!(broken.is_empty(), "{broken:?}");
    Ok(())
}

/// Waits until another node than this one owns the pool; answers with its name.
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

/// Ends the owner and starts it again, as planned or not.
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
