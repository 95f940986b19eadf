//! Gangs: all members of a run exist at the same time and share its run number, none waits
//! forever for missing members, and one member that is done completes the whole gang.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    JobPhase,
    JobSpec, //
};
use hoisthitch_tests::world::StoreFaults;

use crate::{
    check_invariants,
    check_ran_once,
    task_names,
    trace,
    world::{
        TestWorld,
        job,
        play,
        sleep_ms, //
    }, //
};

cases! {
    gang_begins_at_once_under_one_run => begins();
    gangs_of_several_times_do_not_mix => begins_times();
    gang_waits_until_all_have_room => waits_for_room();
    two_gangs_with_room_for_one_run_in_turn => takes_turns();
    owner_killed_while_it_starts_a_gang_leaves_nothing_undone => kills_owner();
    owner_frozen_while_it_starts_a_gang_leaves_nothing_undone => freezes_owner();
    owner_stopped_while_it_starts_a_gang_leaves_nothing_undone => stops_owner();
    gang_with_a_runner_that_is_cut_off_starts_anew => cuts_runner();
    gang_with_a_runner_that_crashes_starts_anew => crashes_runner();
    gang_on_a_runner_that_leaves_ends_there => drains_runner();
    gang_beside_a_cordoned_hall_starts_as_a_whole => cordons_hall();
    runner_that_refuses_a_member_leaves_none_alone => refuses_member();
    orders_done_late_mix_no_runs => orders_late();
    writes_done_late_mix_no_runs => writes_late();
    cancel_in_the_middle_of_a_start_ends_all_members => cancels();
    one_member_that_is_done_stands_for_those_unheard => stands_for_all();
    step_after_a_gang_waits_for_all_of_it => orders_steps();
}

/// Members of a gang.
const MEMBERS: u32 = 4;

/// Number of runners: two gangs fit, one started right after the other, with one to spare.
const RUNNERS: usize = 2 * MEMBERS as usize + 1;

/// Time that runners take to stop a task.
const STOP_TIME: Duration = Duration::from_millis(700);

/// Starts a simulated cluster with such runners.
async fn gang_world() -> Result<TestWorld> {
    let world = TestWorld::start(3, RUNNERS).await?;
    world.fleet.set_stop_time(STOP_TIME);
    Ok(world)
}

/// A gang with at most one member per runner.
fn gang(payload: &str) -> JobSpec {
    let mut spec = job(payload, &[MEMBERS]);
    spec.steps[0].gang = true;
    spec.steps[0].max_per_runner = 1;
    spec
}

/// Checks that the last starts of all members of a job's gang have the same run number, and
/// that all members are done.
fn check_ran_together(world: &TestWorld, id: &str, spec: &JobSpec) -> Result<()> {
    for task in task_names(id, spec) {
        ensure!(world.fleet.is_done(&task), "{task}: {:?}", trace(world, id));
    }
    let notes = world.fleet.start_records();
    let runs = |task: &str| -> Vec<u32> {
        let own = notes.iter().filter(|note| note.task == task);
        own.map(|note| note.run).collect()
    };
    let last: Vec<Option<u32>> = task_names(id, spec)
        .iter()
        .map(|task| runs(task).last().copied())
        .collect();
    ensure!(last.iter().all(|run| *run == last[0]), "{last:?}");
    Ok(())
}

async fn begins() -> Result<()> {
    let world = TestWorld::start(3, MEMBERS as usize).await?;
    let spec = gang("work 800");
    world.submit("j", spec.clone()).await?;
    world.wait_phase("j", JobPhase::Completed, 3_000).await?;
    check_ran_once(&world, "j", &spec)?;
    check_ran_together(&world, "j", &spec)?;
    check_invariants(&world)
}

async fn begins_times() -> Result<()> {
    let world = TestWorld::start(3, MEMBERS as usize).await?;
    let mut spec = gang("work 900");
    spec.schedule = Some(hoisthitch_jobs::JobSchedule {
        first_ms: world.fleet.unix_ms() + 300,
        interval_ms: 400,
        repetitions: 4,
    });
    world.submit("j", spec.clone()).await?;
    sleep_ms(1_800).await;
    world.kill_owner();
    world.wait_phase("j", JobPhase::Completed, 20_000).await?;
    check_ran_once(&world, "j", &spec)?;
    check_invariants(&world)
}

/// There is capacity for all members but one; the missing runner joins seconds later.
async fn waits_for_room() -> Result<()> {
    let world = TestWorld::start(3, MEMBERS as usize - 1).await?;
    let spec = gang("work 800");
    world.submit("j", spec.clone()).await?;
    sleep_ms(5_000).await;
    ensure!(
        world.fleet.start_records().is_empty(),
        "{:?}",
        trace(&world, "j")
    );
    world.begin_runner("vm-9");
    world.wait_phase("j", JobPhase::Completed, 3_000).await?;
    check_ran_once(&world, "j", &spec)?;
    check_invariants(&world)
}

/// The runners have capacity for one gang only, not for two beside each other.
async fn takes_turns() -> Result<()> {
    let world = TestWorld::start(3, MEMBERS as usize).await?;
    let mut spec = gang("work 1200");
    spec.steps[0].need.cpu_milli = 5_000;
    for id in ["j", "k", "l"] {
        world.submit(id, spec.clone()).await?;
    }
    for id in ["j", "k", "l"] {
        world.wait_phase(id, JobPhase::Completed, 10_000).await?;
        check_ran_once(&world, id, &spec)?;
    }
    check_invariants(&world)
}

/// Times after the submission, in milliseconds: before the records, between records and
/// orders, between the orders of two members, while the members run.
const FAULT_DELAYS_MS: [u64; 10] = [0, 4, 6, 8, 10, 12, 16, 30, 100, 600];

async fn kills_owner() -> Result<()> {
    for delay_ms in FAULT_DELAYS_MS {
        let world = gang_world().await?;
        let spec = gang("work 1500");
        world.submit("j", spec.clone()).await?;
        sleep_ms(delay_ms).await;
        world.kill_owner();
        world.wait_phase("j", JobPhase::Completed, 40_000).await?;
        check_ran_together(&world, "j", &spec)?;
        check_invariants(&world)?;
    }
    Ok(())
}

async fn freezes_owner() -> Result<()> {
    for delay_ms in FAULT_DELAYS_MS {
        let world = gang_world().await?;
        let spec = gang("work 1500");
        world.submit("j", spec.clone()).await?;
        sleep_ms(delay_ms).await;
        let owner = world.owner();
        world.nodes[&owner].freeze(true);
        world.fleet.disturb();
        sleep_ms(4_500).await;
        world.nodes[&owner].freeze(false);
        world.wait_phase("j", JobPhase::Completed, 40_000).await?;
        check_ran_together(&world, "j", &spec)?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// A planned shutdown of the owner is no disturbance: no member may end without the others.
async fn stops_owner() -> Result<()> {
    for delay_ms in FAULT_DELAYS_MS {
        let world = gang_world().await?;
        let spec = gang("work 1500");
        world.submit("j", spec.clone()).await?;
        sleep_ms(delay_ms).await;
        world.nodes[&world.owner()].stop();
        world.wait_phase("j", JobPhase::Completed, 20_000).await?;
        check_ran_together(&world, "j", &spec)?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// A runner is cut off from all nodes while its member is started or runs.
async fn cuts_runner() -> Result<()> {
    for delay_ms in FAULT_DELAYS_MS {
        let world = gang_world().await?;
        let nodes: Vec<String> = world.nodes.keys().cloned().collect();
        let spec = gang("work 6000");
        world.submit("j", spec.clone()).await?;
        sleep_ms(delay_ms).await;
        let runners = world.fleet.runners_of("j");
        let living = world.fleet.living();
        let cut = runners.first().unwrap_or(&living[0].0);
        world.fleet.cut(cut, &nodes);
        world.fleet.disturb();
        sleep_ms(8_000).await;
        world.fleet.cut(cut, &[]);
        world.fleet.disturb();
        world.wait_phase("j", JobPhase::Completed, 40_000).await?;
        check_ran_together(&world, "j", &spec)?;
        check_invariants(&world)?;
    }
    Ok(())
}

async fn crashes_runner() -> Result<()> {
    for delay_ms in FAULT_DELAYS_MS {
        let world = gang_world().await?;
        let spec = gang("work 2000");
        world.submit("j", spec.clone()).await?;
        sleep_ms(delay_ms).await;
        let runners = world.fleet.runners_of("j");
        let living = world.fleet.living();
        let lost = runners.first().unwrap_or(&living[0].0);
        let vm = living.iter().find(|(runner, _)| runner == lost);
        let vm = vm.map(|(_, vm)| vm.clone()).unwrap_or_default();
        world.fleet.crash(lost);
        world.fleet.disturb();
        sleep_ms(1_000).await;
        world.begin_runner(&vm);
        world.wait_phase("j", JobPhase::Completed, 30_000).await?;
        check_ran_together(&world, "j", &spec)?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// A runner announces its shutdown while its member is started, and keeps running for long
/// enough.
async fn drains_runner() -> Result<()> {
    for delay_ms in FAULT_DELAYS_MS {
        let world = gang_world().await?;
        let spec = gang("work 1500");
        world.submit("j", spec.clone()).await?;
        sleep_ms(delay_ms).await;
        let runners = world.fleet.runners_of("j");
        let living = world.fleet.living();
        world.drain_runner(runners.first().unwrap_or(&living[0].0));
        world.wait_phase("j", JobPhase::Completed, 20_000).await?;
        check_ran_together(&world, "j", &spec)?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// A hall is cordoned while the gang is started, and released later. Members whose starts are not
/// sent any more leave no other one alone.
async fn cordons_hall() -> Result<()> {
    for delay_ms in FAULT_DELAYS_MS {
        let world = gang_world().await?;
        let spec = gang("work 1500");
        world.submit("j", spec.clone()).await?;
        sleep_ms(delay_ms).await;
        world.cordon_hall("hall-1");
        sleep_ms(6_000).await;
        world.uncordon_hall("hall-1");
        world.wait_phase("j", JobPhase::Completed, 20_000).await?;
        check_ran_together(&world, "j", &spec)?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// One runner refuses each start, and another one joins later. The other members must not
/// be left waiting for a member that does not exist.
async fn refuses_member() -> Result<()> {
    let world = TestWorld::start(3, MEMBERS as usize).await?;
    world.fleet.set_stop_time(STOP_TIME);
    let sick = world.fleet.living()[0].0.clone();
    world.fleet.set_refusing_all(&sick, true);
    let spec = gang("work 800");
    world.submit("j", spec.clone()).await?;
    sleep_ms(8_000).await;
    world.begin_runner("vm-9");
    world.wait_phase("j", JobPhase::Completed, 20_000).await?;
    check_ran_together(&world, "j", &spec)?;
    check_invariants(&world)
}

/// Some orders are carried out seconds late, after newer ones.
async fn orders_late() -> Result<()> {
    for every in [3, 4, 5, 7] {
        let world = gang_world().await?;
        world.fleet.set_late(every);
        world.fleet.disturb();
        let spec = gang("work 1000");
        world.submit("j", spec.clone()).await?;
        for _ in 0..3 {
            sleep_ms(2_000).await;
            world.fleet.disturb();
        }
        world.kill_owner();
        sleep_ms(3_000).await;
        world.fleet.set_late(0);
        world.fleet.disturb();
        world.wait_phase("j", JobPhase::Completed, 60_000).await?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// Some writes to the store are applied seconds late and get no response.
async fn writes_late() -> Result<()> {
    for every in [2, 3, 5] {
        let world = gang_world().await?;
        world.store.set_faults(StoreFaults {
            lose_every: every,
            late: Duration::from_millis(1_500),
            ..StoreFaults::default()
        });
        let spec = gang("work 1000");
        world.submit("j", spec.clone()).await?;
        for _ in 0..8 {
            world.fleet.disturb();
            sleep_ms(1_000).await;
        }
        world.store.set_faults(StoreFaults::default());
        world.fleet.disturb();
        world.wait_phase("j", JobPhase::Completed, 60_000).await?;
        check_ran_together(&world, "j", &spec)?;
        check_invariants(&world)?;
    }
    Ok(())
}

async fn cancels() -> Result<()> {
    for delay_ms in FAULT_DELAYS_MS {
        let world = gang_world().await?;
        world.submit("j", gang("work 9000")).await?;
        sleep_ms(delay_ms).await;
        world.cancel("j").await?;
        sleep_ms(3_500).await;
        ensure!(world.fleet.running().is_empty(), "{:?}", trace(&world, "j"));
        check_invariants(&world)?;
    }
    Ok(())
}

/// All runners but one are cut off while the gang runs, or crash once it is done, so that the
/// ends of their members are never reported.
async fn stands_for_all() -> Result<()> {
    for crashes in [false, true] {
        let world = gang_world().await?;
        let nodes: Vec<String> = world.nodes.keys().cloned().collect();
        let spec = gang("work 1500");
        world.submit("j", spec.clone()).await?;
        sleep_ms(1_000).await;
        let runners = world.fleet.runners_of("j");
        ensure!(runners.len() == MEMBERS as usize, "{runners:?}");
        for runner in &runners[1..] {
            world.fleet.cut(runner, &nodes);
        }
        world.fleet.disturb();
        sleep_ms(700).await;
        for runner in runners[1..].iter().filter(|_| crashes) {
            world.fleet.crash(runner);
        }
        world.wait_phase("j", JobPhase::Completed, 2_000).await?;
        for runner in &runners[1..] {
            world.fleet.cut(runner, &[]);
        }
        sleep_ms(10_000).await;
        check_ran_once(&world, "j", &spec)?;
        check_invariants(&world)?;
    }
    Ok(())
}

async fn orders_steps() -> Result<()> {
    for delay_ms in [0, 20, 700, 1_000, 1_020, 1_100] {
        let world = gang_world().await?;
        let mut spec = job("work 1000", &[MEMBERS, 3]);
        spec.steps[0].gang = true;
        world.submit("j", spec.clone()).await?;
        sleep_ms(delay_ms).await;
        world.kill_owner();
        world.wait_phase("j", JobPhase::Completed, 40_000).await?;
        check_invariants(&world)?;
    }
    Ok(())
}
