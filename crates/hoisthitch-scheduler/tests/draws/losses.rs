//! Runners that are lost, with or without notice, while the ownership of the pool changes
//! several times in a row. Their long-running tasks must be available again in time.

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
    WARM_UP_MS,
    check_invariants,
    restart_owner,
    run_seeds,
    wait_successor, //
};
use crate::world::{
    TestWorld,
    lasting,
    sleep_ms, //
};

/// Long-running tasks, on twice as many VMs.
const TASKS: usize = 3;

/// Runners lost in a history.
const LOSSES: usize = 3;

/// Longest time that a long-running task may be unavailable: the six seconds of the platform,
/// and three seconds to place it.
const MAX_UNAVAILABLE_MS: u64 = 9_000;

/// The same where the owner is killed, and the next one right after its election: the loss of
/// each owner is detected after 1.7 s, the lease and what was recorded of it take 5.6 s, and
/// the second kill comes up to 250 ms after the election.
const MAX_UNAVAILABLE_AFTER_KILLS_MS: u64 = 10_000;

/// Longest time that a task may be unavailable where its runner was draining. It is shorter
/// than the lease, whose end a task that stayed on the runner to the last would have to await.
const MAX_UNAVAILABLE_AFTER_NOTICE_MS: u64 = 2_500;

/// Shortest time from a runner's drain notice to its end.
const MIN_NOTICE_MS: u64 = 3_000;

#[test]
fn lost_runners_are_replaced_while_owners_change() -> Result<()> {
    run_seeds(history)
}

/// Loses several busy runners one after the other, each replaced by a new one.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(5, 2 * TASKS).await?;
    world.submit("long", lasting(TASKS as u32, 1)).await?;
    for _ in 0..LOSSES {
        sleep_ms(WARM_UP_MS).await;
        let busy = world.fleet.busy();
        ensure!(busy.len() == TASKS, "{busy:?} are busy");
        let runner = busy[rng.random_range(0..TASKS)].clone();
        let living = world.fleet.living();
        let vm = living.iter().find(|(name, _)| *name == runner);
        let vm = vm.map(|(_, vm)| vm.clone()).unwrap_or_default();
        match rng.random_range(0..3) {
            0 => lose_after_notice(&mut world, &mut rng, &runner).await?,
            1 => lose_during_restarts(&mut world, &mut rng, &runner).await?,
            _ => lose_during_kills(&mut world, &mut rng, &runner).await?,
        }
        world.begin_runner(&vm);
        check_invariants(&world)?;
    }
    Ok(())
}

/// Ends a runner for good and deletes its record.
fn lose(world: &TestWorld, runner: &str) {
    world.fleet.crash(runner);
    world.store.put(&format!("runner/{runner}"), None, 0);
}

/// Waits until all long-running tasks run, for at most `limit_ms` after the loss.
async fn wait_all_running(
    world: &TestWorld,
    lost: tokio::time::Instant,
    limit_ms: u64,
) -> Result<()> {
    while world.fleet.running().len() < TASKS {
        let unavailable_ms = lost.elapsed().as_millis();
        ensure!(
            unavailable_ms <= u128::from(limit_ms),
            "a task is unavailable for {unavailable_ms} ms"
        );
        sleep_ms(50).await;
    }
    Ok(())
}

/// Loses the runner after a drain notice; the owner may be restarted as planned meanwhile.
async fn lose_after_notice(world: &mut TestWorld, rng: &mut StdRng, runner: &str) -> Result<()> {
    world.drain_runner(runner);
    let before = rng.random_range(0..1_000);
    sleep_ms(before).await;
    if rng.random_bool(0.5) {
        restart_owner(world, true, 500).await?;
    }
    sleep_ms(MIN_NOTICE_MS - before).await;
    lose(world, runner);
    wait_all_running(
        world,
        tokio::time::Instant::now(),
        MAX_UNAVAILABLE_AFTER_NOTICE_MS,
    )
    .await
}

/// Loses the runner without notice while owners are restarted as planned.
async fn lose_during_restarts(world: &mut TestWorld, rng: &mut StdRng, runner: &str) -> Result<()> {
    lose(world, runner);
    let lost = tokio::time::Instant::now();
    for _ in 0..rng.random_range(1..4) {
        sleep_ms(rng.random_range(0..2_000)).await;
        restart_owner(world, true, 500).await?;
    }
    wait_all_running(world, lost, MAX_UNAVAILABLE_MS).await
}

/// Loses the runner without notice. The owner is killed, and so is the next one, right after
/// its election.
async fn lose_during_kills(world: &mut TestWorld, rng: &mut StdRng, runner: &str) -> Result<()> {
    lose(world, runner);
    let lost = tokio::time::Instant::now();
    sleep_ms(rng.random_range(1_500..3_000)).await;
    let first = world.owner();
    world.nodes[&first].kill();
    let second = wait_successor(world, &first).await?;
    sleep_ms(rng.random_range(0..250)).await;
    world.nodes[&second].kill();
    let back = wait_all_running(world, lost, MAX_UNAVAILABLE_AFTER_KILLS_MS).await;
    world.start_node(&first)?;
    world.start_node(&second)?;
    back
}
