//! Runners that are lost, with notice or without, while owners change in series.

use eyre::{
    Result,
    ensure, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    AT_WORK_MS,
    kept,
    play_all,
    restart_owner,
    wait_successor, //
};
use crate::world::{
    TestWorld,
    lasting,
    sleep_ms, //
};

/// Lasting tasks, on twice as many VMs.
const TASKS: usize = 3;

/// Losses in a history.
const LOSSES: usize = 3;

/// Longest time that a lasting task may be away: the platform's six seconds, and
/// three to be placed.
const AWAY_MS: u64 = 9_000;

/// The same where the owner is killed, and the next one right after its election:
/// the loss of each is noticed after 1.7 s, the lease and what was recorded of it
/// are 5.6 s, and the second kill comes up to 250 ms after the election.
const AWAY_KILLS_MS: u64 = 10_000;

/// Longest time away where the runner said that it leaves. A lease, which would
/// have to be waited out for a task that stayed to the end, is longer.
const NOTICED_MS: u64 = 2_500;

/// Shortest time from a runner's notice to its end.
const NOTICE_MS: u64 = 3_000;

#[test]
fn lost_runners_are_replaced_while_owners_change() -> Result<()> {
    play_all(history)
}

async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(5, 2 * TASKS).await?;
    world.submit("long", lasting(TASKS as u32, 1)).await?;
    for _ in 0..LOSSES {
        sleep_ms(AT_WORK_MS).await;
        let busy = world.fleet.busy();
        ensure!(busy.len() == TASKS, "{busy:?} are busy");
        let runner = busy[rng.random_range(0..TASKS)].clone();
        let living = world.fleet.living();
        let vm = living.iter().find(|(name, _)| *name == runner);
        let vm = vm.map(|(_, vm)| vm.clone()).unwrap_or_default();
        match rng.random_range(0..3) {
            0 => leaves(&mut world, &mut rng, &runner).await?,
            1 => stops(&mut world, &mut rng, &runner).await?,
            _ => kills(&mut world, &mut rng, &runner).await?,
        }
        world.begin_runner(&vm);
        kept(&world)?;
    }
    Ok(())
}

/// Ends a runner for good, and its record with it.
fn lose(world: &TestWorld, runner: &str) {
    world.fleet.crash(runner);
    world.store.put(&format!("runner/{runner}"), None, 0);
}

/// Waits until all lasting tasks run; `limit_ms` counts from the loss.
async fn wait_back(world: &TestWorld, lost: tokio::time::Instant, limit_ms: u64) -> Result<()> {
    while world.fleet.running().len() < TASKS {
        let away = lost.elapsed().as_millis();
        ensure!(away <= u128::from(limit_ms), "a task is away for {away} ms");
        sleep_ms(50).await;
    }
    Ok(())
}

/// The runner says that it leaves, and owners are stopped as planned meanwhile.
async fn leaves(world: &mut TestWorld, rng: &mut StdRng, runner: &str) -> Result<()> {
    world.drain_runner(runner);
    let before = rng.random_range(0..1_000);
    sleep_ms(before).await;
    if rng.random_bool(0.5) {
        restart_owner(world, true, 500).await?;
    }
    sleep_ms(NOTICE_MS - before).await;
    lose(world, runner);
    wait_back(world, tokio::time::Instant::now(), NOTICED_MS).await
}

/// The runner is lost without a sign, and owners are stopped as planned.
async fn stops(world: &mut TestWorld, rng: &mut StdRng, runner: &str) -> Result<()> {
    lose(world, runner);
    let lost = tokio::time::Instant::now();
    for _ in 0..rng.random_range(1..4) {
        sleep_ms(rng.random_range(0..2_000)).await;
        restart_owner(world, true, 500).await?;
    }
    wait_back(world, lost, AWAY_MS).await
}

/// The runner is lost without a sign. The owner is killed, and so is the next one,
/// right after its election.
async fn kills(world: &mut TestWorld, rng: &mut StdRng, runner: &str) -> Result<()> {
    lose(world, runner);
    let lost = tokio::time::Instant::now();
    sleep_ms(rng.random_range(1_500..3_000)).await;
    let first = world.owner();
    world.nodes[&first].kill();
    let second = wait_successor(world, &first).await?;
    sleep_ms(rng.random_range(0..250)).await;
    world.nodes[&second].kill();
    let back = wait_back(world, lost, AWAY_KILLS_MS).await;
    world.start_node(&first)?;
    world.start_node(&second)?;
    back
}
