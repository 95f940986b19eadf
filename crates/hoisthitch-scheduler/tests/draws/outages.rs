//! Jobs that are submitted shortly before or during an outage of the store. The caller must get a response in
//! time, whatever it says.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::world::StoreFaults;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::time::Instant;

use super::{
    check_invariants,
    run_seeds, //
};
use crate::world::{
    TestWorld,
    codec::queue,
    job,
    sleep_ms, //
};

/// Number of outages in a history, and the length of each, in milliseconds.
const OUTAGES: usize = 3;
const OUTAGE_MS: u64 = 8_000;

/// Time that a caller waits for the response, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 12_000;

/// Longest time to the response, in milliseconds: a node regards the store as lost after 1.8 s,
/// and abandons a write that is then in progress 0.9 s later.
const RESPONSE_LIMIT_MS: u128 = 3_000;

#[test]
fn callers_are_answered_soon_when_the_store_is_lost() -> Result<()> {
    run_seeds(history)
}

/// Submits a job near the start of each of several outages.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = TestWorld::start(3, 2).await?;
    for number in 0..OUTAGES {
        sleep_ms(rng.random_range(2_000..4_000)).await;
        outage(&world, &mut rng, &format!("j{number}")).await?;
    }
    check_invariants(&world)
}

/// Submits a job while the store goes down at a random time before or after the submission.
async fn outage(world: &TestWorld, rng: &mut StdRng, id: &str) -> Result<()> {
    let names: Vec<&String> = world.nodes.keys().collect();
    let node = &world.nodes[names[rng.random_range(0..names.len())]];
    let lost_after = rng.random_range(0..500);
    let submitted_after = rng.random_range(0..3_000);
    let lose = async {
        sleep_ms(lost_after).await;
        world.store.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        sleep_ms(OUTAGE_MS).await;
        world.store.set_faults(StoreFaults::default());
    };
    let submit = async {
        sleep_ms(submitted_after).await;
        let started = Instant::now();
        node.submit(&queue(), id, job("work 300", &[1]), CALLER_TIMEOUT_MS)
            .await;
        started.elapsed().as_millis()
    };
    let ((), waited) = tokio::join!(lose, submit);
    ensure!(
        waited <= RESPONSE_LIMIT_MS,
        "{id} got its response after {waited} ms"
    );
    Ok(())
}
