//! Jobs that are handed in around the loss of the store.

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
    kept,
    play_all, //
};
use crate::world::{
    TestWorld,
    codec::queue,
    job,
    sleep_ms, //
};

/// Outages of a history, and how long each lasts, in milliseconds.
const OUTAGES: usize = 3;
const OUTAGE_MS: u64 = 8_000;

/// Time that a caller has, in milliseconds.
const CALLER_MS: u64 = 12_000;

/// Longest time to an answer, in milliseconds: a node takes the store as lost
/// after 1.8 s, and a write that is under way then is given up 0.9 s later.
const ANSWER_MS: u128 = 3_000;

#[test]
fn callers_are_answered_soon_when_the_store_is_lost() -> Result<()> {
    play_all(history)
}

async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = TestWorld::start(3, 2).await?;
    for number in 0..OUTAGES {
        sleep_ms(rng.random_range(2_000..4_000)).await;
        outage(&world, &mut rng, &format!("j{number}")).await?;
    }
    kept(&world)
}

/// The store is lost at some time before or after a job was handed in.
async fn outage(world: &TestWorld, rng: &mut StdRng, id: &str) -> Result<()> {
    let names: Vec<&String> = world.nodes.keys().collect();
    let node = &world.nodes[names[rng.random_range(0..names.len())]];
    let lost_after = rng.random_range(0..500);
    let begun_after = rng.random_range(0..3_000);
    let lose = async {
        sleep_ms(lost_after).await;
        world.store.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        sleep_ms(OUTAGE_MS).await;
        world.store.set_faults(StoreFaults::default());
    };
    let hand_in = async {
        sleep_ms(begun_after).await;
        let begun = Instant::now();
        node.submit(&queue(), id, job("work 300", &[1]), CALLER_MS)
            .await;
        begun.elapsed().as_millis()
    };
    let ((), waited) = tokio::join!(lose, hand_in);
    ensure!(waited <= ANSWER_MS, "{id} is answered after {waited} ms");
    Ok(())
}
