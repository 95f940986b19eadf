//! Lasting tasks on runners that say that they leave.
//!
//! Seen: a lasting task stayed on its runner to the end, 4 s after the runner had
//! said that it leaves, and was then away until the runner's lease was over.
//! Cause: a leaving runner got no more tasks, and nothing moved those that it
//! had. Proof: the runner was listed as leaving at the owner, had free neighbours
//! all the time, and no stop was ordered; the case here does the same.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_tests::world::StoreFaults;

use super::{
    kept,
    world::{
        TestWorld,
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

/// Least time for which a leaving runner serves on.
const SERVES_ON_MS: u64 = 2_000;

cases! {
    lasting_tasks_leave_a_draining_runner_before_it_goes => leaves_in_time(5);
    tasks_of_a_step_leave_a_runner_one_after_the_other => leaves_in_time(1);
    no_task_is_moved_while_an_upkeep_is_under_way => meets_upkeep();
    unanswered_start_is_not_repeated_on_a_runner_that_leaves => repeats_start(Leave::Says);
    unanswered_start_is_not_repeated_on_a_runner_off_the_list => repeats_start(Leave::Vanishes);
    start_that_waits_for_its_turn_is_not_sent_to_a_runner_that_leaves => waits_for_turn();
    no_task_is_started_by_a_list_of_runners_that_is_old => starts_by_old_list();
    tasks_are_started_again_once_the_list_is_confirmed => confirms_list();
}

/// How a runner leaves.
#[derive(Clone, Copy)]
enum Leave {
    Says,
    Vanishes,
}

/// Has the runner leave that holds the most tasks, of five; `at_first` of them
/// are there when the jobs come.
async fn leaves_in_time(at_first: usize) -> Result<()> {
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
    for _ in 0..SERVES_ON_MS / 20 {
        sleep_ms(20).await;
        let running = world.fleet.running();
        for job in ["long.", "long2."] {
            let at_work = running.iter().filter(|task| task.starts_with(job)).count();
            ensure!(at_work >= 2, "{running:?} run");
        }
    }
    world.fleet.crash(runner);
    let running = world.fleet.running();
    ensure!(running.len() == 6, "{running:?} run");
    kept(&world)
}

/// The platform takes half a second for an upkeep's order; while it is under way
/// another runner with a task of the step says that it leaves.
async fn meets_upkeep() -> Result<()> {
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
    kept(&world)
}

/// Time from a leaving runner's word until nothing is started on it any more.
const BOUND_MS: u64 = 2_000;

/// Later than any order is carried out in a test.
const NEVER: Duration = Duration::from_secs(60);

/// A start gets no answer, its runner leaves, and orders are answered again. The start is not
/// sent again there, and its task runs elsewhere.
async fn repeats_start(leave: Leave) -> Result<()> {
    let world = TestWorld::start(2, 1).await?;
    let (runner, _) = world.fleet.living()[0].clone();
    world.fleet.set_late_by(NEVER);
    world.fleet.set_late(1);
    world.submit("j", job("work 300", &[2])).await?;
    sleep_ms(200).await;
    match leave {
        Leave::Says => world.drain_runner(&runner),
        Leave::Vanishes => {
            world.store.put(&format!("runner/{runner}"), None, 0);
            world.fleet.mark_draining(&runner);
        }
    }
    world.begin_runner("vm-1");
    sleep_ms(BOUND_MS + 300).await;
    world.fleet.set_late(0);
    world.wait_phase("j", JobPhase::Completed, 6_000).await?;
    kept(&world)
}

/// Starts wait behind one that gets no answer, and their runner leaves meanwhile.
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
    kept(&world)
}

/// The owner's watch of the runners gets no answer, while all else of the store works, and
/// a runner leaves unseen.
async fn starts_by_old_list() -> Result<()> {
    let world = TestWorld::start(1, 2).await?;
    silence_runners(&world, true);
    for (runner, _) in world.fleet.living() {
        world.drain_runner(&runner);
    }
    for number in 0..8 {
        let id = format!("j{number}");
        world.submit(&id, job("work 200", &[4])).await?;
        sleep_ms(500).await;
    }
    kept(&world)
}

async fn confirms_list() -> Result<()> {
    let world = TestWorld::start(1, 2).await?;
    silence_runners(&world, true);
    sleep_ms(4_000).await;
    world.submit("j", job("work 200", &[4])).await?;
    sleep_ms(1_000).await;
    ensure!(world.fleet.done() == 0, "started by a list of four seconds");
    silence_runners(&world, false);
    world.wait_phase("j", JobPhase::Completed, 3_000).await?;
    kept(&world)
}

/// Has watches of the runners get no answer, or get them again.
fn silence_runners(world: &TestWorld, silent: bool) {
    let silent_watches = if silent { "runner/" } else { "" };
    world.store.set_faults(StoreFaults {
        silent_watches: silent_watches.to_owned(),
        ..StoreFaults::default()
    });
}
