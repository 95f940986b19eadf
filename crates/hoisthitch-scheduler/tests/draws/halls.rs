//! Data halls that are lost, cut off or can't reach each other at random times, together with
//! owners that restart, evacuated halls, late orders and a store that loses answers. Whatever
//! happens, nothing runs twice, and all jobs are completed once all halls are back.

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
    WARM_UP_MS,
    check_invariants,
    restart_owner,
    run_seeds, //
};
use crate::{
    failed_halls::{
        HALLS,
        set_bridge_cut,
        set_lost,
        start_in_halls, //
    },
    world::{
        TestWorld,
        job,
        lasting,
        sleep_ms, //
    }, //
};

/// Number of nodes and of runners, a third of them in each hall.
const NODES: usize = 6;
const RUNNERS: usize = 12;

/// Failures of a history, one after the other.
const FAILURES: usize = 5;

/// Time within which jobs must be completed after the last failure, in milliseconds.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn lost_halls_run_nothing_twice() -> Result<()> {
    run_seeds(history)
}

fn draw_hall(rng: &mut StdRng) -> usize {
    rng.random_range(0..HALLS)
}

/// Submits jobs while halls fail.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = start_in_halls(NODES, RUNNERS, HALLS, 1).await?;
    world.submit("long", lasting(4, 2)).await?;
    sleep_ms(WARM_UP_MS).await;
    for number in 0..FAILURES {
        let id = format!("j{number}");
        let work = format!("work {}", rng.random_range(100..2_500));
        let counts = [rng.random_range(1..20), rng.random_range(1..6)];
        world.submit(&id, job(&work, &counts)).await?;
        sleep_ms(rng.random_range(0..800)).await;
        fail(&mut world, &mut rng).await?;
        sleep_ms(rng.random_range(0..3_000)).await;
    }
    world.fleet.set_late(0);
    for number in 0..FAILURES {
        let id = format!("j{number}");
        world
            .wait_phase(&id, JobPhase::Completed, COMPLETION_LIMIT_MS)
            .await?;
    }
    check_invariants(&world)
}

/// Lets a hall fail for some seconds, with another failure meanwhile.
async fn fail(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    let number = draw_hall(rng);
    let hall = format!("hall-{number}");
    let other = format!("hall-{}", (number + 1) % HALLS);
    let is_cordoned = rng.random_bool(0.2);
    if is_cordoned {
        world.cordon_hall(&hall);
    }
    let is_bridge = rng.random_bool(0.3);
    let cut_off = rng.random_bool(0.4);
    let set = |world: &TestWorld, failed: bool| {
        if is_bridge {
            set_bridge_cut(world, [&hall, &other], failed);
        } else {
            set_lost(world, &hall, cut_off, failed);
        }
    };
    set(world, true);
    sleep_ms(rng.random_range(0..2_500)).await;
    match rng.random_range(0..5) {
        0 => {
            let (planned, down_ms) = (rng.random_bool(0.4), rng.random_range(50..1_500));
            restart_owner(world, planned, down_ms).await?;
        }
        1 if is_bridge || !cut_off => world.store.set_faults(StoreFaults {
            lose_every: rng.random_range(2..6),
            late: Duration::from_millis(rng.random_range(0..1_500)),
            ..StoreFaults::default()
        }),
        2 => {
            world
                .fleet
                .set_late_by(Duration::from_millis(rng.random_range(2_000..8_000)));
            world.fleet.set_late(rng.random_range(1..4));
        }
        3 => world.fleet.set_late(0),
        _ => {}
    }
    sleep_ms(rng.random_range(300..4_000)).await;
    set(world, false);
    world.store.set_faults(StoreFaults::default());
    world.uncordon_hall(&hall);
    Ok(())
}
