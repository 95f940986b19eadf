//! Queues with an adviser: tasks start only with a valid ticket, and their jobs go on whatever
//! happens to the adviser.

use std::time::Duration;

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    JobPhase,
    JobSpec, //
};
use hoisthitch_tests::world::{
    AdviserBehaviour,
    MemoryAdviser,
    StoreFaults, //
};

use crate::{
    check_invariants,
    check_ran_once,
    finish,
    trace,
    world::{
        TestWorld,
        codec::advised_queue,
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

cases! {
    tasks_start_only_with_leave => starts_with_leave();
    each_step_needs_leave_of_its_own => asks_each_step();
    tickets_that_run_out_are_asked_for_again => runs_out();
    slow_store_lets_tickets_run_out_and_the_job_goes_on => runs_out_under_way();
    refused_ticket_is_asked_for_again => refuses_tickets();
    silent_adviser_holds_up_its_own_queue_only => goes_silent();
    crowded_adviser_is_asked_again_at_leisure => is_crowded();
    slow_adviser_is_asked_one_thing_at_a_time => is_slow();
    new_life_of_a_runner_needs_leave_of_its_own => changes_life();
    new_owner_asks_anew => kills_owner();
    task_that_crashes_its_runners_is_given_up => crashes_runners();
    owner_killed_while_the_adviser_thinks_loses_nothing => kills_owner_that_asks();
    gang_starts_with_leave_for_all_members => starts_gang();
    lasting_task_runs_after_a_start_without_an_answer => starts_again(Duration::from_secs(60));
    lasting_task_runs_beside_a_start_that_arrives_late => starts_again(Duration::from_secs(7));
    permitted_runners_are_found_after_one_is_lost => finds_permitted(8, 1_500);
    only_permitted_runner_of_many_is_found => finds_permitted(48, START_LIMIT_MS);
    job_without_room_holds_back_no_other => waits_alone();
    lasting_task_finds_leave_elsewhere_when_its_runner_leaves => drains();
}

/// VMs of the cases, and those for whose runners the adviser gives tickets.
const VMS: usize = 6;
const TICKET_VMS: [&str; 3] = ["vm-1", "vm-3", "vm-5"];

/// Most requests to the adviser for a job of one step, without faults.
const MAX_CALLS: u64 = 12;

async fn start_advised() -> Result<(TestWorld, MemoryAdviser)> {
    let world = TestWorld::start(3, VMS).await?;
    let adviser = world.fleet.adviser();
    adviser.set_good(&TICKET_VMS);
    Ok((world, adviser))
}

async fn submit(world: &TestWorld, spec: &JobSpec) -> Result<()> {
    world.submit_to(&advised_queue(), "j", spec.clone()).await
}

async fn starts_with_leave() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    let spec = job("work 300", &[20]);
    submit(&world, &spec).await?;
    finish(&world, &spec, 5_000).await?;
    ensure!(adviser.refused() == 0, "{} were refused", adviser.refused());
    ensure!(adviser.calls() <= MAX_CALLS, "{} calls", adviser.calls());
    Ok(())
}

async fn asks_each_step() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    let mut spec = job("work 200", &[4, 4, 4]);
    spec.schedule = Some(hoisthitch_jobs::JobSchedule {
        first_ms: world.fleet.unix_ms() + 200,
        interval_ms: 300,
        repetitions: 3,
    });
    submit(&world, &spec).await?;
    finish(&world, &spec, 15_000).await?;
    ensure!(adviser.refused() == 0, "{} were refused", adviser.refused());
    Ok(())
}

/// Tasks run for longer than a ticket is valid, and there is no capacity for all at once.
async fn runs_out() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    adviser.set_validity(Duration::from_millis(600));
    let spec = job("work 1500", &[60]);
    submit(&world, &spec).await?;
    finish(&world, &spec, 20_000).await?;
    ensure!(adviser.refused() == 0, "{} were refused", adviser.refused());
    Ok(())
}

/// Writing the records takes longer than a ticket stays valid.
async fn runs_out_under_way() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    adviser.set_validity(Duration::from_millis(500));
    world.store.set_faults(StoreFaults {
        delay: Duration::from_millis(600),
        ..StoreFaults::default()
    });
    let spec = job("work 300", &[6]);
    submit(&world, &spec).await?;
    sleep_ms(4_000).await;
    world.store.set_faults(StoreFaults::default());
    finish(&world, &spec, 10_000).await
}

/// All tickets given so far become invalid, and runners refuse starts that carry them.
async fn refuses_tickets() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    adviser.set_validity(Duration::from_secs(30));
    let spec = job("work 800", &[60]);
    submit(&world, &spec).await?;
    sleep_ms(600).await;
    adviser.revoke();
    finish(&world, &spec, 15_000).await?;
    ensure!(adviser.refused() > 0, "nothing was refused");
    ensure!(
        adviser.refused() <= 30,
        "{} were refused",
        adviser.refused()
    );
    Ok(())
}

async fn goes_silent() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    adviser.set_behaviour(AdviserBehaviour::Silent);
    let spec = job("work 300", &[6]);
    submit(&world, &spec).await?;
    let other = job("work 300", &[6, 6]);
    world.submit("other", other.clone()).await?;
    world
        .wait_phase("other", JobPhase::Completed, 2_500)
        .await?;
    sleep_ms(8_000).await;
    let tasks = trace(&world, "j");
    ensure!(tasks.is_empty(), "{tasks:?}");
    adviser.set_behaviour(AdviserBehaviour::Answers {
        call: Duration::from_millis(40),
        each: Duration::from_millis(5),
    });
    finish(&world, &spec, 6_000).await
}

/// The adviser refuses every request for seconds.
async fn is_crowded() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    adviser.set_behaviour(AdviserBehaviour::Crowded);
    let spec = job("work 300", &[6]);
    submit(&world, &spec).await?;
    sleep_ms(7_000).await;
    let calls = adviser.calls();
    ensure!((4..=14).contains(&calls), "{calls} calls in 7 s");
    adviser.set_behaviour(AdviserBehaviour::Answers {
        call: Duration::from_millis(40),
        each: Duration::from_millis(5),
    });
    finish(&world, &spec, 3_000).await
}

/// Forty jobs need tickets of an adviser that takes half a second for each step.
async fn is_slow() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    adviser.set_behaviour(AdviserBehaviour::Answers {
        call: Duration::from_millis(500),
        each: Duration::from_millis(10),
    });
    let spec = job("work 300", &[1]);
    for number in 0..40 {
        let id = format!("j{number}");
        world.submit_to(&advised_queue(), &id, spec.clone()).await?;
    }
    for number in 0..40 {
        let id = format!("j{number}");
        world.wait_phase(&id, JobPhase::Completed, 60_000).await?;
        check_ran_once(&world, &id, &spec)?;
    }
    ensure!(adviser.most_waiting() <= 1, "{}", adviser.most_waiting());
    ensure!(adviser.refused() == 0, "{} were refused", adviser.refused());
    check_invariants(&world)
}

/// Runners with a ticket crash and come back; a ticket for the earlier instance is not valid
/// for the new one.
async fn changes_life() -> Result<()> {
    for pause_ms in [0, 50, 1_000] {
        let (world, adviser) = start_advised().await?;
        adviser.set_validity(Duration::from_secs(30));
        let spec = job("work 1000", &[60]);
        submit(&world, &spec).await?;
        sleep_ms(500).await;
        world.fleet.disturb();
        for (runner, vm) in world.fleet.living() {
            if TICKET_VMS.contains(&vm.as_str()) {
                world.fleet.crash(&runner);
                sleep_ms(pause_ms).await;
                world.begin_runner(&vm);
            }
        }
        world.wait_phase("j", JobPhase::Completed, 20_000).await?;
        ensure!(adviser.refused() == 0, "{} were refused", adviser.refused());
        check_invariants(&world)?;
    }
    Ok(())
}

async fn kills_owner() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    let spec = job("work 1000", &[60]);
    submit(&world, &spec).await?;
    sleep_ms(1_300).await;
    world.kill_owner();
    finish(&world, &spec, 30_000).await?;
    ensure!(adviser.refused() == 0, "{} were refused", adviser.refused());
    Ok(())
}

async fn kills_owner_that_asks() -> Result<()> {
    for offset in [0, 20, 50, 75, 85, 100] {
        let (world, _) = start_advised().await?;
        let spec = job("work 500", &[6, 2]);
        submit(&world, &spec).await?;
        sleep_ms(offset).await;
        world.kill_owner();
        finish(&world, &spec, 30_000).await?;
    }
    Ok(())
}

/// Only three of six runners may run it, each with one member.
async fn starts_gang() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    adviser.set_validity(Duration::from_millis(600));
    let mut spec = job("work 800", &[3]);
    spec.steps[0].gang = true;
    spec.steps[0].max_per_runner = 1;
    submit(&world, &spec).await?;
    finish(&world, &spec, 8_000).await
}

/// A runner with a ticket announces its shutdown; another one with a ticket has capacity.
async fn drains() -> Result<()> {
    let (world, adviser) = start_advised().await?;
    submit(&world, &lasting(2, 1)).await?;
    sleep_ms(3_000).await;
    let before = world.fleet.runners_of("j");
    ensure!(before.len() == 2, "{before:?}");
    world.drain_runner(&before[0]);
    sleep_ms(2_500).await;
    let after = world.fleet.runners_of("j");
    let moved = after.len() == 2 && !after.contains(&before[0]);
    ensure!(
        moved,
        "{before:?}, then {after:?}; {:?}",
        trace(&world, "j")
    );
    ensure!(adviser.refused() == 0, "{} were refused", adviser.refused());
    check_invariants(&world)
}

/// A task that may have crashed its runner waits for a free runner that it has a ticket for.
async fn crashes_runners() -> Result<()> {
    let (world, _) = start_advised().await?;
    world.keep_begun(1_500, true);
    let killer = Duration::from_millis(20);
    world.fleet.set_crashing_task("j.0.0.1", killer);
    submit(&world, &job("work 500", &[3])).await?;
    world.wait_phase("j", JobPhase::Failed, 40_000).await?;
    let kills = world.fleet.crash_count();
    ensure!(kills <= 4, "{kills} runners were lost to one task");
    check_invariants(&world)
}

/// Time within which the task has to run, in milliseconds: `finish_s` of the users' bounds.
const START_LIMIT_MS: u64 = 14_000;

/// One start got no answer, and its ticket was over when it was due again: the only task of a
/// long-running job stayed queued for good (review/10), with permitted runners idle. The start
/// arrives after `late_by`, when the lease that it names is over.
async fn starts_again(late_by: Duration) -> Result<()> {
    let (world, adviser) = start_advised().await?;
    adviser.set_validity(Duration::from_millis(700));
    world.fleet.set_late_by(late_by);
    world.fleet.set_late(1);
    submit(&world, &lasting(1, 0)).await?;
    sleep_ms(300).await;
    world.fleet.set_late(0);
    let mut waited = 0;
    while world.fleet.running().is_empty() {
        ensure!(
            waited < START_LIMIT_MS,
            "nothing runs {waited} ms after the start: {:?}",
            trace(&world, "j")
        );
        sleep_ms(50).await;
        waited += 50;
    }
    sleep_ms(9_000).await;
    let running = world.fleet.running();
    ensure!(running.len() == 1, "the task was ended again: {running:?}");
    ensure!(adviser.refused() == 0, "{} were refused", adviser.refused());
    check_invariants(&world)
}

/// A step of one task was advised on for the same four runners for good (review/12): one of three
/// permitted runners is lost, and the other two are idle and among those named last. The job has to
/// be done within `limit_ms`.
async fn finds_permitted(runners: usize, limit_ms: u64) -> Result<()> {
    let world = TestWorld::start(3, runners).await?;
    let mut living = world.fleet.living();
    living.sort();
    let places = [0, runners - 2, runners - 1];
    let permitted = places.map(|place| living[place].1.as_str());
    let adviser = world.fleet.adviser();
    adviser.set_good(&permitted);
    let (lost, _) = &living[0];
    world.fleet.crash(lost);
    world.store.put(&format!("runner/{lost}"), None, 0);
    sleep_ms(8_000).await;
    let spec = job("work 300", &[1]);
    submit(&world, &spec).await?;
    finish(&world, &spec, limit_ms).await?;
    ensure!(adviser.refused() == 0, "{} were refused", adviser.refused());
    Ok(())
}

/// Seven of eight runners have a long-running task, and the empty one is lost. A task of nearly a
/// whole runner then fits nowhere; for the jobs behind it no advice was requested any more
/// (review/9).
async fn waits_alone() -> Result<()> {
    let world = TestWorld::start(3, 8).await?;
    let adviser = world.fleet.adviser();
    let living = world.fleet.living();
    let vms: Vec<&str> = living.iter().map(|(_, vm)| vm.as_str()).collect();
    adviser.set_good(&vms);
    world.submit("long", lasting(7, 1)).await?;
    sleep_ms(3_000).await;
    let busy = world.fleet.runners_of("long");
    let empty = living.iter().find(|(runner, _)| !busy.contains(runner));
    let (empty, _) = empty.ok_or_eyre("no runner is empty")?;
    world.fleet.crash(empty);
    world.store.put(&format!("runner/{empty}"), None, 0);
    sleep_ms(8_000).await;
    let mut large = job("work 300", &[1]);
    large.steps[0].need.cpu_milli = 7_500;
    world.submit_to(&advised_queue(), "large", large).await?;
    sleep_ms(1_000).await;
    for number in 0..6 {
        let id = format!("j{number}");
        let spec = job("work 300", &[4]);
        world.submit_to(&advised_queue(), &id, spec).await?;
        world
            .wait_phase(&id, JobPhase::Completed, START_LIMIT_MS)
            .await?;
    }
    check_invariants(&world)
}
