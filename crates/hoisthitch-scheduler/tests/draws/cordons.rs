//! Data halls that are cordoned and released while orders get no response, are refused or are
//! carried out late, and while the store, its watches and owners fail. Once a hall has been
//! cordoned for longer than the bound, no task may be started there.

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
    play_in_order,
    sleep_ms, //
};

/// Number of runners; each of the three halls has as many.
const RUNNERS: usize = 6;

/// Steps of a history; each submits a job, injects a fault, and may cordon or release a hall.
const STEPS: usize = 12;

/// Time within which jobs must be completed after the last fault, in milliseconds.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn cordoned_halls_get_no_start_after_their_bound() -> Result<()> {
    run_seeds(history)
}

/// A seed in which a job was refused for as long as a node's list of cordoned halls was old.
const OLD_LIST_SEED: u64 = 112;

#[test]
fn old_list_of_cordons_refuses_no_job() -> Result<()> {
    for order in 0..4 {
        play_in_order(order, history(OLD_LIST_SEED))?;
    }
    Ok(())
}

/// Submits jobs while halls are cordoned and released.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, RUNNERS).await?;
    world.submit("long", lasting(2, 1)).await?;
    let mut jobs = Vec::new();
    let mut cordoned = [false; 3];
    for number in 0..STEPS {
        let id = format!("j{number}");
        let work = format!("work {}", rng.random_range(100..2_500));
        let counts = [rng.random_range(1..10), rng.random_range(1..4)];
        if cordoned.contains(&false) {
            world.submit(&id, job(&work, &counts)).await?;
            jobs.push(id);
        }
        inject_fault(&mut world, &mut rng).await?;
        if rng.random_bool(0.6) {
            toggle_hall(&world, &mut cordoned, &mut rng);
        }
        sleep_ms(rng.random_range(0..2_500)).await;
    }
    world.store.set_faults(StoreFaults::default());
    world.fleet.set_late(0);
    world.fleet.set_refusing(0);
    for hall in 0..cordoned.len() {
        world.uncordon_hall(&format!("hall-{hall}"));
    }
    for id in &jobs {
        world
            .wait_phase(id, JobPhase::Completed, COMPLETION_LIMIT_MS)
            .await?;
    }
    check_invariants(&world)
}

/// Cordons a random hall, or releases it if it is cordoned.
fn toggle_hall(world: &TestWorld, cordoned: &mut [bool; 3], rng: &mut StdRng) {
    let number = rng.random_range(0..cordoned.len());
    let hall = format!("hall-{number}");
    if cordoned[number] {
        world.uncordon_hall(&hall);
    } else {
        world.cordon_hall(&hall);
    }
    cordoned[number] = !cordoned[number];
}

/// Injects one random fault, or ends late orders or faults of the store.
async fn inject_fault(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    match rng.random_range(0..10) {
        0..3 => {
            let late_by = Duration::from_millis(rng.random_range(2_000..12_000));
            world.fleet.set_late_by(late_by);
            world.fleet.set_late(rng.random_range(1..4));
        }
        3 => world.fleet.set_late(0),
        4 => world.fleet.set_refusing(rng.random_range(2..5)),
        5 => {
            let (planned, down_ms) = (rng.random_bool(0.4), rng.random_range(50..1_500));
            restart_owner(world, planned, down_ms).await?;
        }
        6 => {
            let silent = ["op/", "runner/", ""][rng.random_range(0..3)];
            world.store.set_faults(StoreFaults {
                silent_watches: silent.to_owned(),
                delay: Duration::from_millis(rng.random_range(0..150)),
                ..StoreFaults::default()
            });
        }
        7 | 8 => world.store.set_faults(StoreFaults::default()),
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
