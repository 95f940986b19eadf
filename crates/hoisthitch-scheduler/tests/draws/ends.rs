//! Runners that list a few ends at once, under jobs whose tasks end together while the store is
//! slow or loses its owner's writes, and while owners are lost. What a response does not list may
//! have ended done: no task runs again after its end was acknowledged.

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
    restart_owner,
    run_seeds, //
};
use crate::world::{
    TestWorld,
    job,
    lasting,
    sleep_ms, //
};

/// Steps of a history; each submits a job and may inject a fault.
const STEPS: usize = 8;

/// Number of runners.
const RUNNERS: usize = 4;

/// Greatest delay of a call to a slow store, in milliseconds.
const MAX_DELAY_MS: u64 = 400;

/// Time within which all jobs must be completed after the last fault.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn ends_that_are_listed_late_are_not_lost() -> Result<()> {
    run_seeds(history)
}

/// Submits jobs of many equal tasks while the store is slow.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, RUNNERS).await?;
    world.fleet.set_ends_at_once(rng.random_range(1..5));
    world.submit("long", lasting(2, 1)).await?;
    for number in 0..STEPS {
        let work = format!("work {}", rng.random_range(200..1_500));
        let spec = job(&work, &[rng.random_range(4..20)]);
        world.submit(&format!("j{number}"), spec).await?;
        match rng.random_range(0..6) {
            0..3 => slow_store(&world, &mut rng),
            3 => world.store.set_faults(StoreFaults::default()),
            4 => {
                let (planned, down_ms) = (rng.random_bool(0.5), rng.random_range(50..1_500));
                restart_owner(&mut world, planned, down_ms).await?;
            }
            _ => {}
        }
        sleep_ms(rng.random_range(0..1_500)).await;
    }
    world.store.set_faults(StoreFaults::default());
    for number in 0..STEPS {
        let id = format!("j{number}");
        world
            .wait_phase(&id, JobPhase::Completed, COMPLETION_LIMIT_MS)
            .await?;
    }
    check_invariants(&world)
}

/// Delays each call to the store; some writes get no response as well.
fn slow_store(world: &TestWorld, rng: &mut StdRng) {
    world.store.set_faults(StoreFaults {
        delay: Duration::from_millis(rng.random_range(0..MAX_DELAY_MS)),
        lose_every: [0, 0, 7][rng.random_range(0..3)],
        ..StoreFaults::default()
    });
}
