//! Starts that get no answer, are refused or wait for their turn, while jobs are
//! cancelled.

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
    kept,
    play_all, //
};
use crate::world::{
    TestWorld,
    job,
    lasting,
    sleep_ms, //
};

/// VMs of a history.
const VMS: usize = 4;

/// Jobs of a history.
const JOBS: usize = 6;

/// Time within which jobs end once all is well, in milliseconds.
const CALM_MS: u64 = 60_000;

/// Time within which all room is free then: the longest lease, and a start.
const FREE_MS: u64 = 10_000;

/// What a task needs that takes the whole of a VM.
const WHOLE_MILLI: u32 = 8_000;

#[test]
fn unanswered_and_refused_starts_are_run_once_and_free_their_room() -> Result<()> {
    play_all(history)
}

async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let world = TestWorld::start(2, VMS).await?;
    let mut kept_jobs = Vec::new();
    for number in 0..JOBS {
        trouble(&world, &mut rng);
        let id = format!("j{number}");
        let work = format!("work {}", rng.random_range(500..6_000));
        let counts = [rng.random_range(2..16)];
        world.submit(&id, job(&work, &counts)).await?;
        sleep_ms(rng.random_range(0..1_500)).await;
        if rng.random_bool(0.4) {
            world.cancel(&id).await?;
        } else {
            kept_jobs.push(id);
        }
        sleep_ms(rng.random_range(0..2_500)).await;
    }
    calm_down(&world);
    for id in &kept_jobs {
        world.wait_phase(id, JobPhase::Completed, CALM_MS).await?;
    }
    frees_all(&world).await?;
    kept(&world)
}

fn trouble(world: &TestWorld, rng: &mut StdRng) {
    let nodes: Vec<String> = world.nodes.keys().cloned().collect();
    let living = world.fleet.living();
    let (runner, _) = &living[rng.random_range(0..living.len())];
    match rng.random_range(0..4) {
        0 => world.fleet.set_late(rng.random_range(2..5)),
        1 => {
            world.fleet.set_late(rng.random_range(2..5));
            world.fleet.set_refusing(rng.random_range(2..5));
        }
        2 => world.fleet.cut(runner, &nodes),
        _ => calm_down(world),
    }
}

fn calm_down(world: &TestWorld) {
    world.fleet.set_late(0);
    world.fleet.set_refusing(0);
    for (runner, _) in world.fleet.living() {
        world.fleet.cut(&runner, &[]);
    }
}

/// Tasks that take the whole of a VM run on all of them at once.
async fn frees_all(world: &TestWorld) -> Result<()> {
    let mut whole = lasting(VMS as u32, 1);
    for step in &mut whole.steps {
        step.need.cpu_milli = WHOLE_MILLI.into();
    }
    world.submit("whole", whole).await?;
    for _ in 0..FREE_MS / 100 {
        if world.fleet.running().len() == VMS {
            return Ok(());
        }
        sleep_ms(100).await;
    }
    let running = world.fleet.running();
    ensure!(running.len() == VMS, "only {running:?} of {VMS} run");
    Ok(())
}
