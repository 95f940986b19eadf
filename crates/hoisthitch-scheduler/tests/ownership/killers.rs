//! Tasks that crash the runners that start them ("killers").
//!
//! The failure: one task of a short job was started on one runner after the other, 34 times in
//! two minutes, and each runner crashed ten milliseconds later. Ordinary jobs beside it took up
//! to 64 seconds, and four of the pool's five long-running tasks lost their runner to it. Runs
//! that are lost with their runner were not counted, so that the task was waiting again at
//! once, and the tasks that had run beside it were placed beside it again. No decision
//! considered that a run can be the cause of its runner's crash. One owner sent all of these
//! orders, each run had its own number and its start a response; the events `run_lost` name the
//! same task for each crash, with no time run.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    JobPhase,
    JobSpec, //
};

use super::{
    check_invariants,
    world::{
        TestWorld,
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

cases! {
    killer_is_given_up_and_others_go_on => one_killer(KillerConditions::default());
    killer_of_runners_that_keep_their_names_is_given_up => one_killer(KillerConditions {
        named: true,
        ..KillerConditions::default()
    });
    killer_that_takes_its_time_is_given_up => one_killer(KillerConditions {
        delay_ms: 900,
        ..KillerConditions::default()
    });
    killer_whose_runners_are_back_at_once_is_given_up => one_killer(KillerConditions {
        down_ms: 200,
        ..KillerConditions::default()
    });
    killer_after_150_ms_is_given_up => one_killer(KillerConditions {
        delay_ms: 150,
        ..KillerConditions::default()
    });
    killer_after_150_ms_on_runners_back_at_once_is_given_up => one_killer(KillerConditions {
        delay_ms: 150,
        down_ms: 200,
        ..KillerConditions::default()
    });
    killer_beside_late_orders_is_given_up => one_killer(KillerConditions {
        late_every: 5,
        ..KillerConditions::default()
    });
    killer_on_runners_whose_room_changes_is_given_up => one_killer(KillerConditions {
        capacity_changes: true,
        ..KillerConditions::default()
    });
    killer_is_given_up_by_owners_in_turn => owners_in_turn();
    killers_of_one_step_cost_few_runners => many_killers();
    killer_that_lasts_is_given_up => long_running_killer();
    killer_in_a_gang_is_given_up => gang_killer();
    work_on_runners_that_crash_by_themselves_is_done => crashes_in_turn();
    work_of_an_ended_process_is_started_elsewhere_after_its_lease => ended_process();
    work_of_an_ended_process_is_started_elsewhere_once_another_responds => replaced_process();
    work_under_a_storm_of_crashes_is_done_soon => crash_storm();
    work_on_runners_that_crash_together_is_done => crashes_together();
}

/// Time in which each job of a case has to end, in milliseconds.
const LIMIT_MS: u64 = 30_000;

/// Ordinary jobs beside a crashing task.
const JOBS: u32 = 40;

/// Conditions under which a crashing task runs.
struct KillerConditions {
    /// Time from the task's start to the crash, in milliseconds.
    delay_ms: u64,
    /// Time that a runner is down, in milliseconds.
    down_ms: u64,
    /// Whether restarted runners keep their names.
    named: bool,
    /// Every n-th order gets no response and is carried out late; zero for none.
    late_every: u64,
    /// Whether every other runner has half of its capacity, in turn.
    capacity_changes: bool,
}

impl Default for KillerConditions {
    fn default() -> Self {
        Self {
            delay_ms: 10,
            down_ms: 1_500,
            named: false,
            late_every: 0,
            capacity_changes: false,
        }
    }
}

fn set_killer(world: &TestWorld, task: &str, delay_ms: u64) {
    world
        .fleet
        .set_crashing_task(task, Duration::from_millis(delay_ms));
}

/// Submits `count` ordinary jobs, with a pause after each.
async fn submit_jobs(world: &TestWorld, count: u32, pause_ms: u64) -> Result<Vec<String>> {
    let mut ids = Vec::new();
    for number in 0..count {
        let id = format!("j{number}");
        world.submit(&id, job("work 400", &[4, 2])).await?;
        ids.push(id);
        sleep_ms(pause_ms).await;
    }
    Ok(ids)
}

async fn wait_completed(world: &TestWorld, ids: &[String]) -> Result<()> {
    for id in ids {
        world.wait_phase(id, JobPhase::Completed, LIMIT_MS).await?;
    }
    Ok(())
}

/// Waits until `count` tasks of the long-running job run.
async fn wait_long_running(world: &TestWorld, count: usize) -> Result<()> {
    for _ in 0..150 {
        let running = world.fleet.running();
        let long_running = running.iter().filter(|task| task.starts_with("long."));
        if long_running.count() == count {
            return Ok(());
        }
        sleep_ms(100).await;
    }
    eyre::bail!("long-running tasks run: {:?}", world.fleet.running())
}

async fn one_killer(conditions: KillerConditions) -> Result<()> {
    let world = TestWorld::start(1, 6).await?;
    world.keep_begun(conditions.down_ms, conditions.named);
    world.submit("long", lasting(2, 1)).await?;
    let mut ids = submit_jobs(&world, 4, 100).await?;
    world.fleet.set_late(conditions.late_every);
    set_killer(&world, "bad.0.0.1", conditions.delay_ms);
    world.submit("bad", job("work 1200", &[4])).await?;
    for number in 0..JOBS {
        let id = format!("k{number}");
        world.submit(&id, job("work 400", &[4, 2])).await?;
        ids.push(id);
        if conditions.capacity_changes {
            alternate_capacities(&world, number);
        }
        sleep_ms(150).await;
    }
    world.wait_phase("bad", JobPhase::Failed, LIMIT_MS).await?;
    world.fleet.set_late(0);
    wait_completed(&world, &ids).await?;
    wait_long_running(&world, 2).await?;
    let kills = world.fleet.crash_count();
    ensure!(kills <= 4, "{kills} runners were lost to one task");
    for task in ["long.0.0.0", "long.0.0.1"] {
        let crashes = world.fleet.crashes_under(task);
        ensure!(crashes <= 1, "{crashes} crashes under {task}");
    }
    check_invariants(&world)
}

/// Halves the capacity of every other runner, alternating with `turn`.
fn alternate_capacities(world: &TestWorld, turn: u32) {
    for (place, (name, vm)) in (turn..).zip(world.fleet.living()) {
        let room = if place % 2 == 0 { 4_000 } else { 8_000 };
        world.set_room(&name, &vm, room);
    }
}

/// The count of crashes is not lost with an owner: each owner sees only some of them.
async fn owners_in_turn() -> Result<()> {
    let mut world = TestWorld::start(3, 6).await?;
    world.keep_begun(1_500, false);
    set_killer(&world, "bad.0.0.0", 10);
    world.submit("bad", job("work 1200", &[2])).await?;
    for _ in 0..6 {
        let before = world.fleet.crash_count();
        for _ in 0..200 {
            sleep_ms(50).await;
            if world.fleet.crash_count() > before {
                break;
            }
        }
        let owner = world.owner();
        if let Some(node) = world.nodes.get(&owner) {
            node.kill();
            sleep_ms(200).await;
            world.start_node(&owner)?;
        }
    }
    world.wait_phase("bad", JobPhase::Failed, LIMIT_MS).await?;
    let kills = world.fleet.crash_count();
    ensure!(kills <= 5, "{kills} runners were lost to one task");
    check_invariants(&world)
}

async fn many_killers() -> Result<()> {
    let world = TestWorld::start(1, 8).await?;
    world.keep_begun(1_500, false);
    world.submit("long", lasting(2, 1)).await?;
    sleep_ms(1_000).await;
    for index in 0..40 {
        set_killer(&world, &format!("bad.0.0.{index}"), 10);
    }
    world.submit("bad", job("work 1200", &[40])).await?;
    let ids = submit_jobs(&world, 20, 200).await?;
    world.wait_phase("bad", JobPhase::Failed, LIMIT_MS).await?;
    wait_completed(&world, &ids).await?;
    let kills = world.fleet.crash_count();
    ensure!(kills <= 10, "{kills} runners were lost to one step");
    wait_long_running(&world, 2).await?;
    check_invariants(&world)
}

async fn long_running_killer() -> Result<()> {
    let world = TestWorld::start(1, 6).await?;
    world.keep_begun(1_500, false);
    world.submit("long", lasting(2, 1)).await?;
    set_killer(&world, "bad.0.0.1", 700);
    world.submit("bad", lasting(3, 1)).await?;
    let ids = submit_jobs(&world, JOBS, 200).await?;
    world.wait_phase("bad", JobPhase::Failed, LIMIT_MS).await?;
    wait_completed(&world, &ids).await?;
    wait_long_running(&world, 2).await?;
    check_invariants(&world)
}

async fn gang_killer() -> Result<()> {
    let world = TestWorld::start(1, 6).await?;
    world.keep_begun(1_500, false);
    set_killer(&world, "bad.0.0.1", 50);
    let mut spec: JobSpec = job("work 900", &[3]);
    for step in &mut spec.steps {
        step.gang = true;
    }
    world.submit("bad", spec).await?;
    let ids = submit_jobs(&world, 20, 200).await?;
    world.wait_phase("bad", JobPhase::Failed, LIMIT_MS).await?;
    wait_completed(&world, &ids).await?;
    check_invariants(&world)
}

/// No task is the cause: tasks that run during more crashes than a killer causes are completed
/// all the same.
async fn crashes_in_turn() -> Result<()> {
    let world = TestWorld::start(1, 6).await?;
    world.submit("long", lasting(4, 1)).await?;
    let mut ids = Vec::new();
    for number in 0..30 {
        for part in 0..2 {
            let id = format!("j{number}-{part}");
            world.submit(&id, job("work 900", &[4, 2])).await?;
            ids.push(id);
        }
        let living = world.fleet.living();
        let (name, vm) = living[number % living.len()].clone();
        world.fleet.crash(&name);
        sleep_ms(600).await;
        world.begin_runner(&vm);
        sleep_ms(400).await;
    }
    wait_completed(&world, &ids).await?;
    wait_long_running(&world, 4).await?;
    check_invariants(&world)
}

/// Half of the runners crash at the same time, again and again.
async fn crashes_together() -> Result<()> {
    let world = TestWorld::start(1, 6).await?;
    world.submit("long", lasting(4, 1)).await?;
    let mut ids = Vec::new();
    for round in 0..6 {
        for number in 0..8 {
            let id = format!("j{round}-{number}");
            world.submit(&id, job("work 900", &[4, 2])).await?;
            ids.push(id);
        }
        sleep_ms(1_000).await;
        let down: Vec<(String, String)> = world.fleet.living().into_iter().take(3).collect();
        for (name, _) in &down {
            world.fleet.crash(name);
        }
        sleep_ms(700).await;
        for (name, vm) in &down {
            world.fleet.restart(name);
            world.record_runner(name, vm);
        }
        sleep_ms(2_000).await;
    }
    wait_completed(&world, &ids).await?;
    wait_long_running(&world, 4).await?;
    check_invariants(&world)
}

/// Longest time until the work of a lost runner goes on elsewhere: the platform's six seconds
/// since its last run, and three to be placed.
const RESTARTED_MS: u64 = 9_000;

/// Duration of the tasks of an ended process, in milliseconds.
const WORK_MS: u64 = 1_000;

/// Ends the processes of three of four runners that run eight tasks, while their records stay.
async fn end_processes() -> Result<(TestWorld, Vec<(String, String)>)> {
    let world = TestWorld::start(1, 4).await?;
    let work = format!("work {WORK_MS}");
    world.submit("a", job(&work, &[8])).await?;
    sleep_ms(500).await;
    let ended: Vec<(String, String)> = world.fleet.living().into_iter().take(3).collect();
    for (name, _) in &ended {
        world.fleet.end_process(name);
    }
    Ok((world, ended))
}

/// Runners' processes end and do not come back for long: nothing but refused connections shows
/// it, as they do for a runner behind a firewall, so that their work waits for their leases.
async fn ended_process() -> Result<()> {
    let (world, _) = end_processes().await?;
    world
        .wait_phase("a", JobPhase::Completed, RESTARTED_MS + WORK_MS)
        .await?;
    check_invariants(&world)
}

/// Other runners respond on the VMs of runners whose processes ended: that shows the end.
///
/// The failure: tasks beside one that crashes its runner were started again only 3.3 s later,
/// when the runner was back, and short jobs were late because of it. The events `runner_lost`
/// report refused connections 0.3 s after the crash, and `run_lost` of the same runners come
/// 3.3 s after it.
async fn replaced_process() -> Result<()> {
    let (world, ended) = end_processes().await?;
    sleep_ms(500).await;
    for (_, vm) in &ended {
        world.begin_runner(vm);
    }
    world.wait_phase("a", JobPhase::Completed, 2_000).await?;
    check_invariants(&world)
}

/// Runners crash one after the other for half a minute, not caused by a task, and are back at
/// once.
///
/// The failure: of 60 ordinary jobs 25 to 55 were completed, and up to 34 had not begun ten
/// seconds after the last crash. Each task that had lost two runners was run in isolation,
/// whatever evidence those losses gave, and the runners kept free for isolated runs were
/// missing elsewhere. With isolated runs decided by the weight of the evidence alone, the same
/// run completes all 60.
async fn crash_storm() -> Result<()> {
    let world = TestWorld::start(1, 6).await?;
    world.submit("long", lasting(4, 1)).await?;
    world.submit("longer", lasting(4, 1)).await?;
    let mut ids = Vec::new();
    for number in 0..30_usize {
        for (part, work) in [(0, "work 300"), (1, "work 1500")] {
            let id = format!("s{number}-{part}");
            world.submit(&id, job(work, &[4])).await?;
            ids.push(id);
        }
        let mut living = world.fleet.living();
        living.sort_by(|(_, left), (_, right)| left.cmp(right));
        let (name, vm) = living[number % living.len()].clone();
        world.fleet.end_process(&name);
        sleep_ms(200).await;
        world.begin_runner(&vm);
        sleep_ms(900).await;
    }
    sleep_ms(10_000).await;
    let mut left = Vec::new();
    for id in &ids {
        if world.phase(id).await != Some(JobPhase::Completed) {
            left.push(id.clone());
        }
    }
    ensure!(left.is_empty(), "{} jobs are left: {left:?}", left.len());
    check_invariants(&world)
}
