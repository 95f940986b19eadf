//! Runners that drain while orders get no response, are refused or are carried out late, and
//! while the store, its watches and owners fail. Once a runner has been listed as draining for
//! longer than the bound, no task may be started on it.

use std::time::Duration;

use eyre::Result;
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

/// Number of runners, and of those that are not draining at least.
const RUNNERS: usize = 6;
const MIN_STAYING: usize = 3;

/// Steps of a history; each submits a job, injects a fault, and may drain a runner.
const STEPS: usize = 12;

/// Time for which a draining runner keeps serving, in milliseconds.
const DRAIN_TIME_MS: std::ops::Range<u64> = 2_500..9_000;

/// Time within which jobs must be completed after the last fault, in milliseconds.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn runners_that_leave_get_no_start_after_their_bound() -> Result<()> {
    run_seeds(history)
}

/// Submits jobs while runners drain, end and are replaced.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, RUNNERS).await?;
    world.submit("long", lasting(2, 1)).await?;
    let mut jobs = Vec::new();
    let mut draining: Vec<(u64, String, String)> = Vec::new();
    let mut now = 0;
    for number in 0..STEPS {
        let id = format!("j{number}");
        let work = format!("work {}", rng.random_range(100..2_500));
        let counts = [rng.random_range(1..10), rng.random_range(1..4)];
        world.submit(&id, job(&work, &counts)).await?;
        jobs.push(id);
        inject_fault(&mut world, &mut rng).await?;
        if rng.random_bool(0.5) {
            draining.extend(drain_one(&world, now, &mut rng));
        }
        let pause = rng.random_range(0..1_500);
        sleep_ms(pause).await;
        now += pause;
        let (over, left): (Vec<_>, Vec<_>) = draining.drain(..).partition(|row| row.0 <= now);
        draining = left;
        for (_, runner, vm) in over {
            end_runner(&world, &runner, &vm);
        }
    }
    world.store.set_faults(StoreFaults::default());
    world.fleet.set_late(0);
    world.fleet.set_refusing(0);
    for id in &jobs {
        world
            .wait_phase(id, JobPhase::Completed, COMPLETION_LIMIT_MS)
            .await?;
    }
    check_invariants(&world)
}

/// Drains a runner if enough others stay. Returns the time at which it ends, its name and VM.
fn drain_one(world: &TestWorld, now: u64, rng: &mut StdRng) -> Option<(u64, String, String)> {
    let living = world.fleet.living().into_iter();
    let staying: Vec<_> = living
        .filter(|(runner, _)| !world.fleet.is_draining(runner))
        .collect();
    if staying.len() <= MIN_STAYING {
        return None;
    }
    let (runner, vm) = staying[rng.random_range(0..staying.len())].clone();
    world.drain_runner(&runner);
    Some((now + rng.random_range(DRAIN_TIME_MS), runner, vm))
}

/// Ends a drained runner and starts another one on its VM.
fn end_runner(world: &TestWorld, runner: &str, vm: &str) {
    world.fleet.crash(runner);
    world.store.put(&format!("runner/{runner}"), None, 0);
    world.begin_runner(vm);
}

/// Injects one random fault, or ends late orders or faults of the store.
async fn inject_fault(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    match rng.random_range(0..10) {
        0..4 => {
            let late_by = Duration::from_millis(rng.random_range(2_000..12_000));
            world.fleet.set_late_by(late_by);
            world.fleet.set_late(rng.random_range(1..4));
        }
        4 => world.fleet.set_late(0),
        5 => world.fleet.set_refusing(rng.random_range(2..5)),
        6 => {
            let (planned, down_ms) = (rng.random_bool(0.4), rng.random_range(50..1_500));
            restart_owner(world, planned, down_ms).await?;
        }
        7 => {
            let silent = rng.random_bool(0.7);
            world.store.set_faults(StoreFaults {
                silent_watches: if silent { "runner/" } else { "" }.to_owned(),
                delay: Duration::from_millis(rng.random_range(0..150)),
                ..StoreFaults::default()
            });
        }
        8 => world.store.set_faults(StoreFaults::default()),
        _ => {
            let owner = world.owner();
            if let Some(node) = world.nodes.get(&owner) {
                node.freeze(true);
                sleep_ms(rng.random_range(200..4_000)).await;
                node.freeze(false);
            }
        }
    }
    Ok(())
}
