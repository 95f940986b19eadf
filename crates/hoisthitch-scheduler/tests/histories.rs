//! Randomized fault injection: a history submits jobs while faults are injected. Nodes are
//! killed, frozen, cut off from the store and lose their leases, the store loses and delays
//! writes, runners crash and are cut off, and orders are carried out late. Under all of these
//! faults no task may run twice and no accepted job may be lost.
//!
//! The seed of a history determines its faults, and a failure names the seed. A seed
//! plays the same each time; regression seeds are played in several orders of tasks that are
//! ready at the same time. The environment variable `HISTORIES` sets the number of seeds, and `FIRST_SEED` the first of them. [`draws`] holds
//! histories for particular combinations of faults.

mod draws;
#[path = "world/halls.rs"]
mod failed_halls;
mod world;

use std::collections::BTreeMap;

use eyre::{
    Result,
    WrapErr,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_tests::world::StoreFaults;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};
use world::{
    TestWorld,
    codec::DRAINING,
    job,
    lasting,
    play,
    play_in_order,
    sleep_ms, //
};

/// Number of histories where the environment sets none.
const HISTORIES: u64 = 40;

/// Seeds that once failed, each with the cause.
const REGRESSION_SEEDS: [(u64, &str); 1] = [(
    10_906,
    "records of live nodes were removed by their previous instances and never written again",
)];

/// Runs of each of these seeds, each in another order of tasks that are ready at the same time.
const RUNS_PER_SEED: u64 = 4;

/// Faults injected in a history.
const FAULTS: usize = 8;

/// Time within which all jobs must be completed after the last fault.
const COMPLETION_LIMIT_MS: u64 = 60_000;

/// Time within which long-running tasks must run again: the end of a lease and a start.
const RESTART_LIMIT_MS: u64 = 10_000;

/// A number from the environment, or the default where it has none.
fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[test]
fn histories_keep_every_promise() -> Result<()> {
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("HISTORIES", HISTORIES) {
        play(history(seed)).wrap_err_with(|| format!("seed {seed}"))?;
    }
    Ok(())
}

#[test]
fn histories_that_failed_once_keep_every_promise() -> Result<()> {
    for (seed, cause) in REGRESSION_SEEDS {
        for order in 0..RUNS_PER_SEED {
            let played = play_in_order(order, history(seed));
            played.wrap_err_with(|| format!("seed {seed} order {order}: {cause}"))?;
        }
    }
    Ok(())
}

/// Submits one long-running job and a job per fault, and checks that all of them get done.
async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, 4).await?;
    world.submit("long", lasting(3, 1)).await?;
    let mut jobs = Vec::new();
    for _ in 0..FAULTS {
        let id = format!("j{}", jobs.len());
        let work = format!("work {}", rng.random_range(100..2_500));
        let counts = [rng.random_range(1..6), rng.random_range(1..4)];
        world.submit(&id, job(&work, &counts)).await?;
        jobs.push(id);
        inject_fault(&mut world, &mut rng).await?;
        sleep_ms(rng.random_range(0..1_500)).await;
    }
    clear_faults(&mut world).await?;
    for id in &jobs {
        world
            .wait_phase(id, JobPhase::Completed, COMPLETION_LIMIT_MS)
            .await?;
    }
    for _ in 0..RESTART_LIMIT_MS / 100 {
        if world.fleet.running().len() == 3 {
            break;
        }
        sleep_ms(100).await;
    }
    ensure!(
        world.fleet.running().len() == 3,
        "not all long-running tasks run"
    );
    world.cancel("long").await?;
    world
        .wait_phase("long", JobPhase::Cancelled, COMPLETION_LIMIT_MS)
        .await?;
    sleep_ms(3_000).await;
    ensure!(
        world.fleet.running().is_empty(),
        "tasks run after the cancellation"
    );
    let broken = world.fleet.violations();
    ensure!(broken.is_empty(), "{broken:?}");
    Ok(())
}

/// Injects a random fault. Faults of nodes hit the owner in most cases. Lost and slow writes of
/// the store and late orders may last beyond this call: a call clears them in one of two cases.
async fn inject_fault(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    let names: Vec<String> = world.nodes.keys().cloned().collect();
    let owner = world.owner();
    let node = if rng.random_bool(0.6) && !owner.is_empty() {
        owner
    } else {
        names[rng.random_range(0..names.len())].clone()
    };
    let time = rng.random_range(200..6_000);
    match rng.random_range(0..11) {
        0 => {
            world.nodes[&node].kill();
            sleep_ms(rng.random_range(0..2_000)).await;
            world.start_node(&node)?;
        }
        1 => {
            world.nodes[&node].freeze(true);
            sleep_ms(time).await;
            world.nodes[&node].freeze(false);
        }
        2 => {
            let cut = [node.clone()].into_iter().collect();
            set_faults(world, |faults| faults.cut = cut);
            world.store.revoke(&node);
            sleep_ms(time).await;
            world.store.set_faults(StoreFaults::default());
        }
        3 => {
            set_faults(world, |faults| faults.down = true);
            sleep_ms(time.min(4_500)).await;
            world.store.set_faults(StoreFaults::default());
        }
        4 => set_faults(world, |faults| {
            faults.lose_every = 3;
            faults.late = std::time::Duration::from_millis(time);
        }),
        5 => set_faults(world, |faults| {
            faults.delay = std::time::Duration::from_millis(time / 25);
        }),
        6 => {
            let living = world.fleet.living();
            let (runner, vm) = living[rng.random_range(0..living.len())].clone();
            world.fleet.crash(&runner);
            sleep_ms(time.min(3_000)).await;
            world.begin_runner(&vm);
        }
        7 => {
            let living = world.fleet.living();
            let (runner, _) = living[rng.random_range(0..living.len())].clone();
            let cut = if rng.random_bool(0.5) {
                names
            } else {
                vec![node]
            };
            world.fleet.cut(&runner, &cut);
            sleep_ms(time).await;
            world.fleet.cut(&runner, &[]);
        }
        8 => world.fleet.set_late(rng.random_range(3..8)),
        9 => restart_owners_in_turn(world, rng).await?,
        _ => {
            let living = world.fleet.living();
            let (runner, vm) = living[rng.random_range(0..living.len())].clone();
            world.fleet.crash(&runner);
            sleep_ms(rng.random_range(0..3_000)).await;
            restart_owners_in_turn(world, rng).await?;
            world.begin_runner(&vm);
        }
    }
    if rng.random_bool(0.5) {
        world.store.set_faults(StoreFaults::default());
        world.fleet.set_late(0);
    }
    Ok(())
}

/// Restarts owners one after the other, each with a planned shutdown.
async fn restart_owners_in_turn(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
    for _ in 0..rng.random_range(1..4) {
        let owner = world.owner();
        if let Some(node) = world.nodes.get(&owner) {
            node.stop();
            sleep_ms(rng.random_range(100..1_500)).await;
            world.start_node(&owner)?;
        }
        sleep_ms(rng.random_range(100..2_000)).await;
    }
    Ok(())
}

fn set_faults(world: &TestWorld, change: impl FnOnce(&mut StoreFaults)) {
    let mut faults = StoreFaults::default();
    change(&mut faults);
    world.store.set_faults(faults);
}

/// Clears all faults, starts runners on VMs whose maintenance is over, and lets the cluster
/// settle.
async fn clear_faults(world: &mut TestWorld) -> Result<()> {
    world.store.set_faults(StoreFaults::default());
    world.fleet.set_late(0);
    let living = world.fleet.living();
    for (runner, _) in living {
        world.fleet.cut(&runner, &[]);
    }
    world.revive();
    sleep_ms(3_000).await;
    Ok(())
}

/// Number of series of planned work where the environment sets none.
const SERIES: u64 = 12;

/// Long-running tasks of a series, on twice as many VMs.
const LONG_RUNNING_TASKS: u32 = 4;

/// Time between the planned stops of two nodes, and from the stop of a node to its next start.
const STOP_GAP_MS: u64 = 2_000;
const NODE_DOWN_MS: u64 = 3_800;

/// Time from a runner's drain notice to its end, and from its end to the start of its
/// replacement.
const DRAIN_NOTICE_MS: u64 = 2_500;
const REPLACEMENT_DELAY_MS: u64 = 5_000;

/// Least number of runners that are not draining: one for each long-running task, and one more.
const MIN_STAYING_RUNNERS: usize = LONG_RUNNING_TASKS as usize + 1;

/// Longest time that a long-running task may be unavailable while there is free capacity for
/// it: the users' pages allow three seconds, counted from six seconds after its last run.
const MAX_UNAVAILABLE_MS: u64 = 9_000;

/// Time between two checks of the running tasks.
const CHECK_INTERVAL_MS: u64 = 100;

/// A slow node runs in one of this many check intervals, and is frozen in the others.
const SLOW_NODE_INTERVALS: u64 = 4;

/// A step of planned work.
enum PlannedStep {
    /// Starts a planned shutdown of the node.
    StopNode(String),
    /// Starts the node, and kills it first if it still runs.
    StartNode(String),
    /// Makes the node slow, or ends that.
    SetSlow(String, bool),
    /// Marks a runner as draining, chosen by this number.
    DrainRunner(usize),
    /// Ends the runner on that VM.
    EndRunner(String, String),
    /// Starts a new runner on the VM.
    StartRunner(String),
}

#[test]
fn planned_work_in_series_keeps_lasting_tasks_at_work() -> Result<()> {
    let first = env_number("FIRST_SEED", 1);
    for seed in first..first + env_number("SERIES", SERIES) {
        play(series(seed)).wrap_err_with(|| format!("seed {seed}"))?;
    }
    Ok(())
}

/// Restarts all nodes one after the other, twice, while runners drain and are replaced, a node
/// is added and that node is slow. Each long-running task must be available in time again.
async fn series(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(6, 2 * LONG_RUNNING_TASKS as usize).await?;
    world.submit("long", lasting(LONG_RUNNING_TASKS, 1)).await?;
    sleep_ms(3_000).await;
    let mut steps = planned_steps(&world, &mut rng);
    let mut slow = None;
    let mut last_run = BTreeMap::new();
    let end = steps.keys().last().copied().unwrap_or(0) + 12_000;
    for now in (0..end).step_by(CHECK_INTERVAL_MS as usize) {
        for step in steps.remove(&now).unwrap_or_default() {
            if let Some((delay_ms, next)) = run_step(&mut world, step, &mut slow)? {
                steps.entry(now + delay_ms).or_default().push(next);
            }
        }
        if let Some(node) = slow.as_ref().and_then(|name| world.nodes.get(name)) {
            node.freeze(!(now / CHECK_INTERVAL_MS).is_multiple_of(SLOW_NODE_INTERVALS));
        }
        sleep_ms(CHECK_INTERVAL_MS).await;
        check_availability(&world, now, &mut last_run)?;
    }
    let broken = world.fleet.violations();
    ensure!(broken.is_empty(), "{broken:?}");
    Ok(())
}

/// Steps of the series by their time. A step that follows from another one is added when that
/// one is run.
fn planned_steps(world: &TestWorld, rng: &mut StdRng) -> BTreeMap<u64, Vec<PlannedStep>> {
    let mut steps: BTreeMap<u64, Vec<PlannedStep>> = BTreeMap::new();
    let mut at = 0;
    for _ in 0..2 {
        let mut names: Vec<String> = world.nodes.keys().cloned().collect();
        names.shuffle(rng);
        for name in names {
            steps
                .entry(at)
                .or_default()
                .push(PlannedStep::StopNode(name));
            at += STOP_GAP_MS;
            if rng.random_bool(0.5) {
                let drain =
                    at - rng.random_range(0..STOP_GAP_MS / CHECK_INTERVAL_MS) * CHECK_INTERVAL_MS;
                let runner = rng.random_range(0..1_000);
                let drains = steps.entry(drain).or_default();
                drains.push(PlannedStep::DrainRunner(runner));
            }
        }
        at += 4_000;
    }
    let added = PlannedStep::StartNode("node-added".to_owned());
    let half = at / 2 / CHECK_INTERVAL_MS * CHECK_INTERVAL_MS;
    steps.entry(half).or_default().push(added);
    let node = "node-added".to_owned();
    let changes = [
        (half + 1_000, PlannedStep::SetSlow(node.clone(), true)),
        (half + 7_000, PlannedStep::SetSlow(node, false)),
    ];
    for (time, change) in changes {
        steps.entry(time).or_default().push(change);
    }
    steps
}

/// Runs a step. Returns the step that follows from it, with the delay until then.
fn run_step(
    world: &mut TestWorld,
    step: PlannedStep,
    slow: &mut Option<String>,
) -> Result<Option<(u64, PlannedStep)>> {
    match step {
        PlannedStep::StopNode(name) => {
            world.nodes[&name].stop();
            return Ok(Some((NODE_DOWN_MS, PlannedStep::StartNode(name))));
        }
        PlannedStep::StartNode(name) => {
            if let Some(node) = world.nodes.get(&name) {
                node.kill();
            }
            world.start_node(&name)?;
        }
        PlannedStep::SetSlow(name, on) => {
            world.nodes[&name].freeze(false);
            *slow = on.then_some(name);
        }
        PlannedStep::DrainRunner(number) => {
            let staying_runners = staying_runners(world);
            if staying_runners.len() <= MIN_STAYING_RUNNERS {
                return Ok(None);
            }
            let (runner, vm) = staying_runners[number % staying_runners.len()].clone();
            world.drain_runner(&runner);
            return Ok(Some((DRAIN_NOTICE_MS, PlannedStep::EndRunner(runner, vm))));
        }
        PlannedStep::EndRunner(runner, vm) => {
            world.fleet.crash(&runner);
            world.store.put(&format!("runner/{runner}"), None, 0);
            return Ok(Some((REPLACEMENT_DELAY_MS, PlannedStep::StartRunner(vm))));
        }
        PlannedStep::StartRunner(vm) => {
            world.begin_runner(&vm);
        }
    }
    Ok(None)
}

/// Live runners that are not draining, with their VMs.
fn staying_runners(world: &TestWorld) -> Vec<(String, String)> {
    let is_draining = |runner: &str| {
        let record = world.store.get(&format!("runner/{runner}"));
        record.is_none_or(|record| record.ends_with(DRAINING.as_bytes()))
    };
    let living = world.fleet.living().into_iter();
    living.filter(|(runner, _)| !is_draining(runner)).collect()
}

/// Checks for how long each long-running task that does not run has been unavailable.
fn check_availability(
    world: &TestWorld,
    now: u64,
    last_run: &mut BTreeMap<String, u64>,
) -> Result<()> {
    let running = world.fleet.running();
    for number in 0..LONG_RUNNING_TASKS {
        let task = format!("long.0.0.{number}");
        let last = last_run.entry(task.clone()).or_insert(now);
        if running.contains(&task) {
            *last = now;
        }
        let unavailable_ms = now - *last;
        ensure!(
            unavailable_ms <= MAX_UNAVAILABLE_MS,
            "{task} is unavailable for {unavailable_ms} ms at {now} ms"
        );
    }
    Ok(())
}
