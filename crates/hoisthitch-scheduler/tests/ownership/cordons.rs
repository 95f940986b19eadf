//! Cordoned data halls: operators ask that nothing more is started on a hall's runners.
//!
//! The failure: nothing read the operators' request, and tasks were started in an evacuated hall
//! for as long as it lasted. No log line named the request; each of the starts was on a runner of
//! that hall.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_scheduler::SubmitAnswer;
use hoisthitch_tests::world::{
    StoreFaults,
    hall_of, //
};

use super::{
    check_invariants,
    world::{
        TestWorld,
        codec::queue,
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

/// Time from the cordon of a hall until nothing is started there any more, in milliseconds.
const LAST_START_MS: u64 = 2_000;

/// Delay of an order that is not carried out before the test ends.
const NEVER: Duration = Duration::from_secs(60);

cases! {
    nothing_is_started_in_a_cordoned_hall => starts_elsewhere();
    what_runs_in_a_cordoned_hall_goes_on => runs_on();
    hall_that_is_not_cordoned_any_more_gets_tasks_at_once => taken_back();
    hall_that_is_taken_back_in_a_rise_gets_work_at_once => taken_back_in_a_rise(None, 500);
    hall_that_is_taken_back_as_its_owner_dies_gets_work_from_the_next => taken_back_in_a_rise(Some(Change::Killed), 5_000);
    operators_see_what_stays_in_a_cordoned_hall => shows_load();
    cordon_that_lasts_a_moment_is_over => comes_and_goes();
    unanswered_start_is_not_repeated_in_a_cordoned_hall => repeats_no_start();
    start_that_waits_for_its_turn_is_not_sent_to_a_cordoned_hall => waits_for_turn();
    next_owner_knows_the_cordon => outlasts_owner(Change::Killed);
    owner_that_was_frozen_starts_nothing => outlasts_owner(Change::Frozen);
    owner_that_stops_hands_the_cordon_on => outlasts_owner(Change::Stopped);
    nothing_is_started_by_an_old_list_of_cordons => stale_list();
    cordon_that_was_lifted_unseen_is_noticed => lifted_unseen();
    two_cordoned_halls_leave_the_third => two_halls();
    jobs_are_refused_while_all_halls_are_cordoned => all_halls();
    jobs_are_accepted_while_an_old_list_tells_of_cordons => accepts_by_old_list();
    wave_goes_on_in_a_cordoned_hall => maintenance();
    drained_task_leaves_for_a_hall_that_is_not_cordoned => drains();
}

/// What happens to the owner.
#[derive(Clone, Copy)]
enum Change {
    Killed,
    Frozen,
    Stopped,
}

/// Halls in which tasks of these jobs were started.
fn halls_of(world: &TestWorld, prefix: &str) -> Vec<String> {
    let records = world.fleet.start_records();
    let started = records
        .iter()
        .filter(|record| record.task.starts_with(prefix));
    let mut halls: Vec<String> = started
        .map(|record| hall_of_runner(world, &record.runner))
        .collect();
    halls.sort();
    halls.dedup();
    halls
}

fn hall_of_runner(world: &TestWorld, runner: &str) -> String {
    let living = world.fleet.living();
    let found = living.iter().find(|(name, _)| name == runner);
    found.map(|(_, vm)| hall_of(vm)).unwrap_or_default()
}

/// Submits jobs and waits until they are completed.
async fn run_jobs(world: &TestWorld, prefix: &str) -> Result<()> {
    for number in 0..4 {
        let id = format!("{prefix}{number}");
        world.submit(&id, job("work 300", &[6, 2])).await?;
    }
    for number in 0..4 {
        let id = format!("{prefix}{number}");
        world.wait_phase(&id, JobPhase::Completed, 20_000).await?;
    }
    Ok(())
}

async fn starts_elsewhere() -> Result<()> {
    let world = TestWorld::start(2, 6).await?;
    world.cordon_hall("hall-0");
    sleep_ms(LAST_START_MS).await;
    run_jobs(&world, "j").await?;
    let halls = halls_of(&world, "j");
    ensure!(halls == ["hall-1", "hall-2"], "started in {halls:?}");
    check_invariants(&world)
}

/// Long-running tasks in the hall are neither stopped nor started again.
async fn runs_on() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    world.submit("long", lasting(3, 1)).await?;
    sleep_ms(2_000).await;
    world.cordon_hall("hall-0");
    sleep_ms(12_000).await;
    for index in 0..3 {
        let starts = world.fleet.starts(&format!("long.0.0.{index}"));
        ensure!(starts == 1, "long.0.0.{index} was started {starts} times");
    }
    ensure!(world.fleet.running().len() == 3);
    check_invariants(&world)
}

async fn taken_back() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    world.cordon_hall("hall-0");
    sleep_ms(LAST_START_MS + 1_000).await;
    world.uncordon_hall("hall-0");
    sleep_ms(300).await;
    // More than fits into the other two halls.
    world.submit("j", job("work 1000", &[24])).await?;
    sleep_ms(500).await;
    let halls = halls_of(&world, "j.");
    ensure!(halls.len() == 3, "started in {halls:?}");
    check_invariants(&world)
}

/// Jobs come faster and faster while a hall is cordoned, and the others are full when it is taken
/// back.
async fn taken_back_in_a_rise(change: Option<Change>, within_ms: u64) -> Result<()> {
    let world = TestWorld::start(3, 3).await?;
    world.cordon_hall("hall-0");
    sleep_ms(LAST_START_MS).await;
    for number in 0..20 {
        let id = format!("j{number}");
        world.submit(&id, job("work 2000", &[1 + number])).await?;
        sleep_ms(100).await;
    }
    ensure!(!halls_of(&world, "j").contains(&"hall-0".to_owned()));
    world.uncordon_hall("hall-0");
    if let Some(Change::Killed) = change {
        world.nodes[&world.owner()].kill();
    }
    sleep_ms(within_ms).await;
    ensure!(halls_of(&world, "j").contains(&"hall-0".to_owned()));
    for number in 0..20 {
        let id = format!("j{number}");
        world.wait_phase(&id, JobPhase::Completed, 120_000).await?;
    }
    check_invariants(&world)
}

/// What any node tells: long-running tasks stay, and the others end in the time that they are
/// expected to take. The next owner tells the same.
async fn shows_load() -> Result<()> {
    let world = TestWorld::start(3, 3).await?;
    world.submit("long", lasting(3, 1)).await?;
    world.submit("short", job("work 20000", &[6])).await?;
    sleep_ms(2_000).await;
    world.cordon_hall("hall-0");
    sleep_ms(3_000).await;
    for _ in 0..2 {
        let owner = world.owner();
        let loads = world.nodes[&owner].service.cordoned_loads().await?;
        let load = loads.get("hall-0").cloned().unwrap_or_default();
        ensure!(load.long_running == 1 && load.tasks >= 2, "{load:?}");
        ensure!(load.long_running_jobs.contains("long"), "{load:?}");
        ensure!(load.expected_end.is_some(), "{load:?}");
        world.nodes[&owner].kill();
        sleep_ms(6_000).await;
    }
    check_invariants(&world)
}

async fn comes_and_goes() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    world.submit("long", lasting(3, 1)).await?;
    for _ in 0..5 {
        world.cordon_hall("hall-1");
        sleep_ms(200).await;
        world.uncordon_hall("hall-1");
        sleep_ms(100).await;
    }
    run_jobs(&world, "j").await?;
    let halls = halls_of(&world, "j");
    ensure!(halls.len() == 3, "started in {halls:?}");
    check_invariants(&world)
}

/// A start gets no response, the runner's hall is cordoned, and orders get responses again.
async fn repeats_no_start() -> Result<()> {
    let world = TestWorld::start(2, 1).await?;
    world.fleet.set_late_by(NEVER);
    world.fleet.set_late(1);
    world.submit("j", job("work 300", &[2])).await?;
    sleep_ms(200).await;
    world.cordon_hall("hall-0");
    sleep_ms(LAST_START_MS).await;
    let before = world.fleet.start_records().len();
    world.fleet.set_late(0);
    sleep_ms(4_000).await;
    let after = world.fleet.start_records().len();
    ensure!(after == before, "{} starts in the hall", after - before);
    world.begin_runner("vm-1");
    world.wait_phase("j", JobPhase::Completed, 20_000).await?;
    check_invariants(&world)
}

/// Starts queue behind one that gets no response, and the hall is cordoned meanwhile.
async fn waits_for_turn() -> Result<()> {
    let world = TestWorld::start(1, 1).await?;
    world.fleet.set_late_by(NEVER);
    world.fleet.set_late(2);
    world.submit("j", job("work 300", &[4])).await?;
    sleep_ms(150).await;
    world.cordon_hall("hall-0");
    sleep_ms(400).await;
    let sent = world.fleet.start_records().len();
    sleep_ms(3_000).await;
    let later = world.fleet.start_records().len();
    ensure!(later == sent, "{later} starts came, {sent} before");
    check_invariants(&world)
}

/// A hall is cordoned, and the owner changes right then.
async fn outlasts_owner(change: Change) -> Result<()> {
    for after_ms in [0, 5, 20, 60, 200] {
        let world = TestWorld::start(3, 6).await?;
        world.submit("before", job("work 500", &[30])).await?;
        sleep_ms(300).await;
        world.cordon_hall("hall-2");
        sleep_ms(after_ms).await;
        let owner = world.owner();
        let node = &world.nodes[&owner];
        match change {
            Change::Killed => node.kill(),
            Change::Frozen => node.freeze(true),
            Change::Stopped => node.stop(),
        }
        sleep_ms(LAST_START_MS).await;
        node.freeze(false);
        run_jobs(&world, "j").await?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// The operators' records fall silent while the list of runners is confirmed: the owner can't
/// know of a cordon, and starts nothing by an old list.
async fn stale_list() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    world.store.set_faults(StoreFaults {
        silent_watches: "op/".to_owned(),
        ..StoreFaults::default()
    });
    world.cordon_hall("hall-0");
    sleep_ms(LAST_START_MS).await;
    world.submit("j", job("work 300", &[24])).await?;
    sleep_ms(4_000).await;
    world.store.set_faults(StoreFaults::default());
    world.wait_phase("j", JobPhase::Completed, 30_000).await?;
    check_invariants(&world)
}

/// A cordon is taken back while the store drops its watches: the complete list shows it.
async fn lifted_unseen() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    world.cordon_hall("hall-0");
    sleep_ms(1_000).await;
    world.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    sleep_ms(500).await;
    world.uncordon_hall("hall-0");
    sleep_ms(500).await;
    world.store.set_faults(StoreFaults::default());
    sleep_ms(6_000).await;
    world.submit("j", job("work 1000", &[24])).await?;
    sleep_ms(800).await;
    let halls = halls_of(&world, "j.");
    ensure!(halls.len() == 3, "started in {halls:?}");
    check_invariants(&world)
}

async fn two_halls() -> Result<()> {
    let world = TestWorld::start(2, 6).await?;
    world.cordon_hall("hall-0");
    world.cordon_hall("hall-2");
    sleep_ms(LAST_START_MS).await;
    run_jobs(&world, "j").await?;
    let halls = halls_of(&world, "j");
    ensure!(halls == ["hall-1"], "started in {halls:?}");
    check_invariants(&world)
}

/// New jobs are refused, and a job that was accepted before is not.
async fn all_halls() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    world.submit("before", job("work 8000", &[1])).await?;
    for number in 0..3 {
        world.cordon_hall(&format!("hall-{number}"));
    }
    sleep_ms(500).await;
    let node = world.nodes.values().next();
    let node = node.ok_or_else(|| eyre::eyre!("no node"))?;
    let spec = job("work 300", &[1]);
    let answer = node.submit(&queue(), "after", spec.clone(), 2_000).await;
    ensure!(answer == SubmitAnswer::Cordoned, "{answer:?}");
    let again = node.submit(&queue(), "before", spec.clone(), 2_000).await;
    ensure!(again == SubmitAnswer::Accepted, "{again:?}");
    world.uncordon_hall("hall-1");
    sleep_ms(300).await;
    let answer = node.submit(&queue(), "after", spec, 2_000).await;
    ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    world
        .wait_phase("after", JobPhase::Completed, 5_000)
        .await?;
    check_invariants(&world)
}

/// All halls are cordoned, and the operators' records fall silent right before one is released.
/// Jobs were refused for as long as the silence lasted (drawn cordons, seed 112).
async fn accepts_by_old_list() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    for number in 0..3 {
        world.cordon_hall(&format!("hall-{number}"));
    }
    sleep_ms(500).await;
    world.store.set_faults(StoreFaults {
        silent_watches: "op/".to_owned(),
        ..StoreFaults::default()
    });
    sleep_ms(100).await;
    world.uncordon_hall("hall-1");
    sleep_ms(LAST_START_MS + 2_000).await;
    let node = world.nodes.values().next();
    let node = node.ok_or_else(|| eyre::eyre!("no node"))?;
    let answer = node
        .submit(&queue(), "j", job("work 300", &[1]), 2_000)
        .await;
    ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    world.store.set_faults(StoreFaults::default());
    world.wait_phase("j", JobPhase::Completed, 20_000).await?;
    check_invariants(&world)
}

async fn maintenance() -> Result<()> {
    let world = TestWorld::start(1, 6).await?;
    world.cordon_hall("hall-0");
    sleep_ms(500).await;
    world.store.put("op/wave/1", Some(b"1:vm-0,vm-3"), 0);
    for _ in 0..200 {
        sleep_ms(100).await;
        for vm in world.fleet.take_maintained() {
            world.begin_runner(&vm);
        }
        if world.store.get("status/wave/1").unwrap_or_default() == b"completed" {
            return check_invariants(&world);
        }
    }
    eyre::bail!("the wave is not completed")
}

/// A runner in a hall that is not cordoned drains; its long-running task starts in another one.
async fn drains() -> Result<()> {
    let world = TestWorld::start(2, 2).await?;
    world.submit("long", lasting(2, 1)).await?;
    sleep_ms(2_000).await;
    world.begin_runner("vm-3");
    world.begin_runner("vm-4");
    world.cordon_hall("hall-0");
    sleep_ms(LAST_START_MS + 500).await;
    let living = world.fleet.living();
    let runner = living.iter().find(|(_, vm)| vm == "vm-1");
    let (runner, _) = runner.ok_or_else(|| eyre::eyre!("no runner"))?;
    world.drain_runner(runner);
    sleep_ms(3_000).await;
    let running = world.fleet.running();
    ensure!(running.len() == 2, "{running:?}");
    check_invariants(&world)
}
