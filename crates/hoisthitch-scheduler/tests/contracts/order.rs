//! Scheduled jobs: no task starts before its due time or before the steps that it depends
//! on, and each repetition runs exactly once.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    JobPhase,
    JobSchedule,
    JobSpec, //
};

use crate::{
    check_invariants,
    finish,
    trace,
    world::{
        TestWorld,
        job,
        play,
        sleep_ms, //
    }, //
};

cases! {
    times_run_once_each_in_order => runs_times();
    times_that_overlap_run_side_by_side => overlaps();
    job_handed_in_late_catches_up => catches_up();
    owner_killed_between_two_times_loses_none => kills_between();
    owner_killed_around_a_due_time_runs_it_once => kills_around_due();
    owner_killed_between_steps_keeps_their_order => kills_between_steps();
    planned_stops_between_times_lose_none => stops_between();
    owner_whose_day_is_ahead_starts_no_more_than_allowed_early => runs_with_skewed_clocks(200);
    owner_whose_day_is_behind_runs_each_time_once => runs_with_skewed_clocks(-600);
    cancel_between_times_starts_nothing_more => cancels_between();
    cancel_and_kill_between_times_starts_nothing_more => cancels_and_kills();
}

/// Time between two repetitions.
const INTERVAL_MS: u64 = 2_000;

/// Repetitions of a job.
const REPETITIONS: u32 = 4;

/// Longest delay of a repetition's first task after its due time, without faults.
const MAX_START_DELAY_MS: u64 = 400;

/// A job of two steps that is first due after `wait_ms`.
fn scheduled_job(world: &TestWorld, wait_ms: u64, interval_ms: u64) -> JobSpec {
    let mut spec = job("uneven 150", &[3, 2]);
    spec.schedule = Some(JobSchedule {
        first_ms: world.fleet.unix_ms() + wait_ms,
        interval_ms,
        repetitions: REPETITIONS,
    });
    spec
}

/// Without faults, every repetition begins when it is due.
async fn runs_times() -> Result<()> {
    let world = TestWorld::start(3, 4).await?;
    let spec = scheduled_job(&world, 1_500, INTERVAL_MS);
    world.submit("j", spec.clone()).await?;
    finish(&world, &spec, 15_000).await?;
    let first = spec.schedule.unwrap_or_default().first_ms;
    for round in 0..REPETITIONS {
        let due = first + u64::from(round) * INTERVAL_MS;
        let task = format!("j.{round}.0.0");
        let notes = world.fleet.start_records();
        let began = notes.iter().find(|note| note.task == task);
        let began = began.map_or(0, |note| note.at_ms);
        let is_prompt = began >= due && began < due + MAX_START_DELAY_MS;
        ensure!(is_prompt, "{task} due at {due} began at {began}");
    }
    Ok(())
}

/// Each repetition takes longer than the interval to the next one.
async fn overlaps() -> Result<()> {
    let world = TestWorld::start(3, 4).await?;
    let mut spec = scheduled_job(&world, 800, 400);
    spec.payload = "work 1500".to_owned();
    world.submit("j", spec.clone()).await?;
    let mut most = 0;
    while world.phase("j").await != Some(JobPhase::Completed) {
        let running = world.fleet.running();
        let mut rounds: Vec<&str> = running
            .iter()
            .filter_map(|task| task.split('.').nth(1))
            .collect();
        rounds.sort_unstable();
        rounds.dedup();
        most = most.max(rounds.len());
        sleep_ms(50).await;
    }
    ensure!(most >= 3, "{most} repetitions overlapped");
    finish(&world, &spec, 1_000).await
}

/// Three repetitions are already due when the job is submitted.
async fn catches_up() -> Result<()> {
    let world = TestWorld::start(3, 4).await?;
    let mut spec = scheduled_job(&world, 0, 1_000);
    if let Some(schedule) = &mut spec.schedule {
        schedule.first_ms -= 2_500;
    }
    world.submit("j", spec.clone()).await?;
    sleep_ms(300).await;
    let begun = (0..REPETITIONS).filter(|round| world.fleet.starts(&format!("j.{round}.0.0")) > 0);
    ensure!(begun.count() == 3, "{:?}", trace(&world, "j"));
    finish(&world, &spec, 8_000).await
}

/// The owner is killed when one repetition is over and the next is not yet due.
async fn kills_between() -> Result<()> {
    let world = TestWorld::start(3, 4).await?;
    let spec = scheduled_job(&world, 500, 3_000);
    world.submit("j", spec.clone()).await?;
    sleep_ms(500 + 1_500).await;
    ensure!(world.fleet.done() == 5, "{:?}", trace(&world, "j"));
    world.kill_owner();
    finish(&world, &spec, 30_000).await
}

/// The owner is killed at moments around a due time, before and after the records of that
/// repetition are written and its orders sent.
async fn kills_around_due() -> Result<()> {
    for offset in [0, 20, 40, 60, 80, 100, 120, 140, 160, 200, 260, 330, 450] {
        let world = TestWorld::start(3, 4).await?;
        let spec = scheduled_job(&world, 1_000, INTERVAL_MS);
        world.submit("j", spec.clone()).await?;
        let due = spec.schedule.unwrap_or_default().first_ms + INTERVAL_MS - 60;
        sleep_ms(due + offset - world.fleet.unix_ms()).await;
        world.kill_owner();
        finish(&world, &spec, 40_000).await?;
    }
    Ok(())
}

/// The owner is killed while some tasks of the first step are done and some are not.
async fn kills_between_steps() -> Result<()> {
    for offset in [250, 300, 320, 340, 360, 400, 500, 600, 650] {
        let world = TestWorld::start(3, 4).await?;
        let mut spec = job("uneven 150", &[3, 2, 2]);
        spec.steps[2].after = vec![0, 1];
        world.submit("j", spec.clone()).await?;
        sleep_ms(offset).await;
        world.kill_owner();
        finish(&world, &spec, 40_000).await?;
    }
    Ok(())
}

/// Owners are shut down in a planned way, one after the other, around each due time.
async fn stops_between() -> Result<()> {
    let mut world = TestWorld::start(3, 4).await?;
    let spec = scheduled_job(&world, 1_000, INTERVAL_MS);
    world.submit("j", spec.clone()).await?;
    for _ in 0..5 {
        sleep_ms(1_300).await;
        let owner = world.owner();
        world.nodes[&owner].stop();
        sleep_ms(400).await;
        world.start_node(&owner)?;
    }
    finish(&world, &spec, 20_000).await
}

/// A job runs under owners in turn, some with a time of day that is off by `ahead_ms`, among
/// them the first, and one with the right time.
async fn runs_with_skewed_clocks(ahead_ms: i64) -> Result<()> {
    let mut world = TestWorld::start(3, 4).await?;
    let accurate = world.owner();
    let names: Vec<String> = world.nodes.keys().cloned().collect();
    for name in names.iter().filter(|name| **name != accurate) {
        world.ahead.insert(name.clone(), ahead_ms);
        world.nodes[name].kill();
        world.start_node(name)?;
    }
    sleep_ms(2_000).await;
    world.nodes[&accurate].stop();
    sleep_ms(1_500).await;
    world.start_node(&accurate)?;
    ensure!(
        world.ahead.contains_key(&world.owner()),
        "the node with the right time is still the owner"
    );
    let spec = scheduled_job(&world, 1_000, INTERVAL_MS);
    world.submit("j", spec.clone()).await?;
    for _ in 0..3 {
        sleep_ms(INTERVAL_MS + 400).await;
        let owner = world.kill_owner();
        world.wait_owner(&owner).await?;
        world.start_node(&owner)?;
    }
    finish(&world, &spec, 40_000).await
}

async fn cancels_between() -> Result<()> {
    let world = TestWorld::start(3, 4).await?;
    let spec = scheduled_job(&world, 500, INTERVAL_MS);
    world.submit("j", spec.clone()).await?;
    sleep_ms(500 + INTERVAL_MS + 1_000).await;
    world.cancel("j").await?;
    let begun = world.fleet.start_records().len();
    ensure!(begun == 10, "{:?}", trace(&world, "j"));
    sleep_ms(INTERVAL_MS * u64::from(REPETITIONS)).await;
    ensure!(world.fleet.start_records().len() == begun);
    world.wait_phase("j", JobPhase::Cancelled, 1_000).await?;
    check_invariants(&world)
}

/// The owner is killed right after the cancel was accepted, at moments around the next due
/// time.
async fn cancels_and_kills() -> Result<()> {
    for offset in [0, 50, 100, 700] {
        let world = TestWorld::start(3, 4).await?;
        let spec = scheduled_job(&world, 500, INTERVAL_MS);
        world.submit("j", spec.clone()).await?;
        let due = spec.schedule.unwrap_or_default().first_ms + INTERVAL_MS - 80;
        sleep_ms(due + offset - world.fleet.unix_ms()).await;
        world.cancel("j").await?;
        world.kill_owner();
        sleep_ms(INTERVAL_MS * u64::from(REPETITIONS)).await;
        ensure!(world.fleet.running().is_empty(), "{:?}", trace(&world, "j"));
        world.wait_phase("j", JobPhase::Cancelled, 1_000).await?;
        check_invariants(&world)?;
    }
    Ok(())
}
