//! Pools whose names look like the keys of their records, while jobs are submitted and cancelled and
//! owners are lost. Whatever the names are, a cancel that was accepted holds, and other jobs are
//! done.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
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

/// Parts of names: kinds and separators of keys, and plain words.
const PARTS: [&str; 10] = [
    "cancel-",
    "job-",
    "/",
    "in/",
    "run/",
    "head",
    "group/owner/",
    "member",
    ".0.0",
    "desk",
];

/// Jobs of a history.
const JOBS: usize = 8;

/// Time after the last fault after which nothing of a cancelled job may run, in milliseconds:
/// `contact_timeout_ms`, `cancel_ms` and a stop, by the users' bounds.
const CANCEL_LIMIT_MS: u64 = 3_000 + 3_000 + 900;

/// Time within which each other job must be completed after the last fault, in milliseconds.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn jobs_of_pools_with_odd_names_are_done_or_cancelled() -> Result<()> {
    run_seeds(history)
}

/// Submits jobs, cancels some of them, and restarts owners meanwhile.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let parts = (0..rng.random_range(1..4)).map(|_| PARTS[rng.random_range(0..PARTS.len())]);
    let pool: String = parts.collect();
    let mut world = TestWorld::start_named(&pool, 3, 4, 0).await?;
    let (mut kept, mut cancelled) = (Vec::new(), Vec::new());
    for number in 0..JOBS {
        let id = format!("j{number}");
        let owner = world.owner();
        let killed = world.nodes.get(&owner).filter(|_| rng.random_bool(0.4));
        if let Some(node) = killed {
            node.kill();
        }
        let killed = killed.is_some();
        if rng.random_bool(0.5) {
            world.submit(&id, lasting(2, 1)).await?;
            sleep_ms(rng.random_range(0..1_000)).await;
            world.cancel(&id).await?;
            cancelled.push(id);
        } else {
            let work = format!("work {}", rng.random_range(100..1_500));
            world.submit(&id, job(&work, &[2, 1])).await?;
            kept.push(id);
        }
        sleep_ms(rng.random_range(0..2_500)).await;
        if killed {
            world.start_node(&owner)?;
        } else {
            let (planned, down_ms) = (rng.random_bool(0.5), rng.random_range(50..500));
            restart_owner(&mut world, planned, down_ms).await?;
        }
    }
    sleep_ms(CANCEL_LIMIT_MS).await;
    let running = world.fleet.running();
    let asked = |task: &String| {
        cancelled
            .iter()
            .any(|id| task.starts_with(&format!("{id}.")))
    };
    let unasked: Vec<&String> = running.iter().filter(|task| asked(task)).collect();
    ensure!(
        unasked.is_empty(),
        "in pool {pool}, cancelled jobs run: {unasked:?}"
    );
    for id in &kept {
        world
            .wait_phase(id, JobPhase::Completed, COMPLETION_LIMIT_MS)
            .await?;
    }
    for id in &cancelled {
        world.wait_phase(id, JobPhase::Cancelled, 1_000).await?;
    }
    check_invariants(&world)
}
