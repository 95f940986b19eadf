//! Long-running tasks on runners that announce their shutdown.
//!
//! The failure: a long-running task stayed on its runner to the end, 4 s after the runner had
//! announced its shutdown, and was then unavailable until the runner's lease ran out. A
//! draining runner got no more tasks, but nothing moved those that it had. The owner listed the
//! runner as draining, other runners had free capacity all the time, and no stop was ordered;
//! the case here does the same.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_tests::world::StoreFaults;

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

/// Least time for which a draining runner keeps running, in milliseconds.
const DRAIN_MS: u64 = 2_000;

cases! {
    lasting_tasks_leave_a_draining_runner_before_it_goes => drains_in_time(5);
    tasks_of_a_step_leave_a_runner_one_after_the_other => drains_in_time(1);
    no_task_is_moved_while_an_upkeep_is_under_way => meets_maintenance();
    unanswered_start_is_not_repeated_on_a_runner_that_leaves => repeats_start(Departure::Announced);
    unanswered_start_is_not_repeated_on_a_runner_off_the_list => repeats_start(Departure::Unlisted);
    start_that_waits_for_its_turn_is_not_sent_to_a_runner_that_leaves => waits_for_turn();
    no_task_is_started_by_a_list_of_runners_that_is_old => starts_by_old_list();
    tasks_are_started_again_once_the_list_is_confirmed => confirms_list();
}

/// How a runner departs.
#[derive(Clone, Copy)]
enum Departure {
    /// It announces its shutdown.
    Announced,
    /// Its record is removed.
    Unlisted,
}

/// Drains the runner with the most tasks, of five; `at_first` of the runners are there when
/// the jobs are submitted.
async fn drains_in_time(at_first: usize) -> Result<()> {
    let world = TestWorld::start(2, at_first).await?;
    let mut spec = lasting(3, 1);
    for step in &mut spec.steps {
        step.max_per_runner = 0;
    }
    world.submit("long", spec.clone()).await?;
    world.submit("long2", spec).await?;
    sleep_ms(1_000).await;
    for number in at_first..5 {
        world.begin_runner(&format!("vm-{number}"));
    }
    sleep_ms(1_000).await;
    let tasks = world.fleet.tasks();
    let (runner, _) = tasks
        .iter()
        .max_by_key(|(_, tasks)| tasks.len())
        .ok_or_else(|| eyre::eyre!("no runner"))?;
    world.drain_runner(runner);
    for _ in 0..DRAIN_MS / 20 {
        sleep_ms(20).await;
        let running = world.fleet.running();
        for job in ["long.", "long2."] {
            let available = running.iter().filter(|task| task.starts_with(job)).count();
            ensure!(available >= 2, "{running:?} run");
        }
    }
    world.fleet.crash(runner);
    let running = world.fleet.running();
    ensure!(running.len() == 6, "{running:?} run");
    check_invariants(&world)
}

/// A maintenance order takes 800 ms to reach the platform; while it is in flight, another
/// runner with a task of the step announces its shutdown.
async fn meets_maintenance() -> Result<()> {
    for after_ms in [300, 400, 500, 600, 700] {
        drains_after(after_ms).await?;
    }
    Ok(())
}

async fn drains_after(after_ms: u64) -> Result<()> {
    let world = TestWorld::start(2, 6).await?;
    world.submit("long", lasting(3, 1)).await?;
    sleep_ms(5_000).await;
    let tasks = world.fleet.tasks();
    let busy: Vec<String> = tasks
        .iter()
        .filter(|(_, tasks)| !tasks.is_empty())
        .map(|(name, _)| name.clone())
        .collect();
    ensure!(busy.len() == 3, "{tasks:?}");
    let vm_of = |runner: &str| {
        let living = world.fleet.living();
        let found = living.iter().find(|(name, _)| name == runner);
        found.map(|(_, vm)| vm.clone()).unwrap_or_default()
    };
    world.fleet.slow_vm_orders(Duration::from_millis(800));
    world
        .store
        .put("op/wave/1", Some(vm_of(&busy[0]).as_bytes()), 0);
    for _ in 0..400 {
        if world.fleet.was_ordered(&vm_of(&busy[0])) {
            break;
        }
        sleep_ms(10).await;
    }
    sleep_ms(after_ms).await;
    world.drain_runner(&busy[1]);
    sleep_ms(3_000).await;
    check_invariants(&world)
}

/// Time from a runner's announcement of its shutdown until nothing is started on it any more, in
/// milliseconds.
const LAST_START_MS: u64 = 2_000;

/// Delay of an order that is not carried out before the test ends.
const NEVER: Duration = Duration::from_secs(60);

/// A start gets no response, its runner departs, and orders get responses again. The start is
/// not sent to that runner again, and its task runs elsewhere.
async fn repeats_start(departure: Departure) -> Result<()> {
    let world = TestWorld::start(2, 1).await?;
    let (runner, _) = world.fleet.living()[0].clone();
    world.fleet.set_late_by(NEVER);
    world.fleet.set_late(1);
    world.submit("j", job("work 300", &[2])).await?;
    sleep_ms(200).await;
    match departure {
        Departure::Announced => world.drain_runner(&runner),
        Departure::Unlisted => {
            world.store.put(&format!("runner/{runner}"), None, 0);
            world.fleet.mark_draining(&runner);
        }
    }
    world.begin_runner("vm-1");
    sleep_ms(LAST_START_MS + 300).await;
    world.fleet.set_late(0);
    world.wait_phase("j", JobPhase::Completed, 6_000).await?;
    check_invariants(&world)
}

/// Starts queue behind one that gets no response, and their runner drains meanwhile.
async fn waits_for_turn() -> Result<()> {
    let world = TestWorld::start(1, 1).await?;
    let (runner, _) = world.fleet.living()[0].clone();
    world.fleet.set_late_by(NEVER);
    world.fleet.set_late(2);
    world.submit("j", job("work 300", &[4])).await?;
    sleep_ms(20).await;
    world.drain_runner(&runner);
    sleep_ms(400).await;
    let sent = world.fleet.start_records().len();
    sleep_ms(3_000).await;
    let later = world.fleet.start_records().len();
    ensure!(later == sent, "{later} starts came, {sent} before");
    check_invariants(&world)
}

/// The owner's watch of the runners gets no response while the rest of the store works, so
/// that the owner does not see that runners drain.
async fn starts_by_old_list() -> Result<()> {
    let world = TestWorld::start(1, 2).await?;
    silence_watches(&world, true);
    for (runner, _) in world.fleet.living() {
        world.drain_runner(&runner);
    }
    for number in 0..8 {
        let id = format!("j{number}");
        world.submit(&id, job("work 200", &[4])).await?;
        sleep_ms(500).await;
    }
    check_invariants(&world)
}

async fn confirms_list() -> Result<()> {
    let world = TestWorld::start(1, 2).await?;
    silence_watches(&world, true);
    sleep_ms(4_000).await;
    world.submit("j", job("work 200", &[4])).await?;
    sleep_ms(1_000).await;
    ensure!(
        world.fleet.done() == 0,
        "started by a list that is four seconds old"
    );
    silence_watches(&world, false);
    world.wait_phase("j", JobPhase::Completed, 3_000).await?;
    check_invariants(&world)
}

/// Makes watches of the runners get no responses, or get them again.
fn silence_watches(world: &TestWorld, silent: bool) {
    let silent_watches = if silent { "runner/" } else { "" };
    world.store.set_faults(StoreFaults {
        silent_watches: silent_watches.to_owned(),
        ..StoreFaults::default()
    });
}
