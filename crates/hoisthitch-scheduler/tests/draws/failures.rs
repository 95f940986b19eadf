//! Runners that fail all that they start, combined with jobs that fail on any runner, long-running
//! ones among them, on runners each of which has long-running tasks. Once the runners are sound, a
//! new job starts at once: no runner is kept from tasks by what failed on it.

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
    WARM_UP_MS,
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

/// Steps of a history; each submits a job or two.
const STEPS: usize = 12;

/// Number of runners.
const RUNNERS: usize = 6;

/// Time after the last fault after which a new job has to start at once, in milliseconds.
const CALM_MS: u64 = 4_000;

/// Time within which it has to be running then, in milliseconds.
const START_LIMIT_MS: u64 = 3_000;

/// Time within which each job has to end.
const COMPLETION_LIMIT_MS: u64 = 60_000;

#[test]
fn failed_runs_keep_no_sound_runner_from_tasks() -> Result<()> {
    run_seeds(history)
}

/// Submits jobs of which some can't be done, while runners fail what they start.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, RUNNERS).await?;
    let on_all = u32::try_from(RUNNERS)?;
    world.submit("long", lasting(on_all, 2)).await?;
    sleep_ms(WARM_UP_MS).await;
    let (mut jobs, mut hopeless) = (Vec::new(), Vec::new());
    for number in 0..STEPS {
        let id = format!("j{number}");
        let work = rng.random_range(100..1_500);
        let counts = [rng.random_range(1..9)];
        match rng.random_range(0..6) {
            0 | 1 => {
                let mut spec = lasting(rng.random_range(1..=on_all), 1);
                spec.payload = format!("lasts fail {work}");
                world.submit(&id, spec).await?;
                hopeless.push(id);
            }
            2 | 3 => {
                world
                    .submit(&id, job(&format!("fail {work}"), &counts))
                    .await?;
            }
            _ => {
                world
                    .submit(&id, job(&format!("work {work}"), &counts))
                    .await?;
                jobs.push(id);
            }
        }
        change_runners(&mut world, &mut rng).await?;
        sleep_ms(rng.random_range(0..900)).await;
    }
    for (name, _) in world.fleet.living() {
        world.fleet.set_failing(&name, false);
    }
    // Some of those that are never done go on failing.
    for id in &hopeless {
        if rng.random_bool(0.7) {
            world.cancel(id).await?;
        }
    }
    sleep_ms(CALM_MS).await;
    world.submit("good", job("work 4000", &[6])).await?;
    sleep_ms(START_LIMIT_MS).await;
    let running = world.fleet.running();
    let begun = running.iter().any(|task| task.starts_with("good."));
    ensure!(begun, "a job waits in a calm pool: {running:?}");
    world
        .wait_phase("good", JobPhase::Completed, COMPLETION_LIMIT_MS)
        .await?;
    for id in &jobs {
        wait_end(&world, id).await?;
    }
    check_invariants(&world)
}

/// Has a runner fail what it starts, makes it sound again, or restarts the owner.
async fn change_runners(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    let living = world.fleet.living();
    let (name, _) = &living[rng.random_range(0..living.len())];
    match rng.random_range(0..8) {
        0 | 1 => world.fleet.set_failing(name, true),
        2..5 => world.fleet.set_failing(name, false),
        5 => {
            let (planned, down_ms) = (rng.random_bool(0.5), rng.random_range(50..1_500));
            restart_owner(world, planned, down_ms).await?;
        }
        _ => {}
    }
    Ok(())
}

/// Waits until a job is done, or has failed, as it may where runners failed its tasks.
async fn wait_end(world: &TestWorld, id: &str) -> Result<()> {
    for _ in 0..COMPLETION_LIMIT_MS / 50 {
        let phase = world.phase(id).await;
        if phase.is_some_and(|phase| phase.is_final()) {
            return Ok(());
        }
        sleep_ms(50).await;
    }
    eyre::bail!("{id} has not ended")
}
