//! Randomized histories: nodes are killed, frozen, cut off and turned away, the
//! store loses and delays writes, runners crash and are cut off, orders come
//! late. Whatever comes, no task runs twice and no accepted job is lost.
//!
//! Each history is drawn from its seed, which a failure names. The number of
//! seeds is set by `HISTORIES`, and the first one by `FIRST_SEED`. A seed fixes
//! the troubles; the order of tasks that are ready at once is the runtime's.

mod draws;
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
    sleep_ms, //
};

/// Histories played where the environment names no number.
const HISTORIES: u64 = 40;

/// Seeds that failed once, each with its cause.
const FAILED_SEEDS: [(u64, &str); 1] = [(
    10_906,
    "records of living nodes were removed by their lives before, and never came back",
)];

/// Times that each of them is played.
const FAILED_TIMES: u32 = 4;

/// Troubles of a history.
const TROUBLES: usize = 8;

/// Time within which all jobs must be done once the troubles are over.
const CALM_MS: u64 = 60_000;

/// Time within which lasting tasks run again: a lease and a start.
const RESTART_MS: u64 = 10_000;

fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(usual)
}

#[test]
fn histories_keep_every_promise() -> Result<()> {
    let first = setting("FIRST_SEED", 1);
    for seed in first..first + setting("HISTORIES", HISTORIES) {
        play(history(seed)).wrap_err_with(|| format!("seed {seed}"))?;
    }
    Ok(())
}

#[test]
fn histories_that_failed_once_keep_every_promise() -> Result<()> {
    for (seed, cause) in FAILED_SEEDS {
        // The order of tasks that are ready at once is the runtime's.
        for _ in 0..FAILED_TIMES {
            play(history(seed)).wrap_err_with(|| format!("seed {seed}: {cause}"))?;
        }
    }
    Ok(())
}

async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(3, 4).await?;
    world.submit("long", lasting(3, 1)).await?;
    let mut jobs = Vec::new();
    for _ in 0..TROUBLES {
        let id = format!("j{}", jobs.len());
        let work = format!("work {}", rng.random_range(100..2_500));
        let counts = [rng.random_range(1..6), rng.random_range(1..4)];
        world.submit(&id, job(&work, &counts)).await?;
        jobs.push(id);
        trouble(&mut world, &mut rng).await?;
        sleep_ms(rng.random_range(0..1_500)).await;
    }
    calm_down(&mut world).await?;
    for id in &jobs {
        world.wait_phase(id, JobPhase::Completed, CALM_MS).await?;
    }
    for _ in 0..RESTART_MS / 100 {
        if world.fleet.running().len() == 3 {
            break;
        }
        sleep_ms(100).await;
    }
    ensure!(world.fleet.running().len() == 3, "the lasting tasks run");
    world.cancel("long").await?;
    world
        .wait_phase("long", JobPhase::Cancelled, CALM_MS)
        .await?;
    sleep_ms(3_000).await;
    ensure!(world.fleet.running().is_empty(), "after the cancel");
    let broken = world.fleet.violations();
    ensure!(broken.is_empty(), "{broken:?}");
    Ok(())
}

async fn trouble(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
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
        9 => stop_in_turn(world, rng).await?,
        _ => {
            let living = world.fleet.living();
            let (runner, vm) = living[rng.random_range(0..living.len())].clone();
            world.fleet.crash(&runner);
            sleep_ms(rng.random_range(0..3_000)).await;
            stop_in_turn(world, rng).await?;
            world.begin_runner(&vm);
        }
    }
    if rng.random_bool(0.5) {
        world.store.set_faults(StoreFaults::default());
        world.fleet.set_late(0);
    }
    Ok(())
}

/// Owners are stopped as planned and started again, one after the other.
async fn stop_in_turn(world: &mut TestWorld, rng: &mut StdRng) -> Result<()> {
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

async fn calm_down(world: &mut TestWorld) -> Result<()> {
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

/// Series of planned work played where the environment names no number.
const SERIES: u64 = 12;

/// Lasting tasks of a series, on twice as many VMs.
const LASTING: u32 = 4;

/// Time between two planned stops of nodes, and from a stop to the next start.
const STOP_GAP_MS: u64 = 2_000;
const STOPPED_MS: u64 = 3_800;

/// Time from a runner's notice to its end, and to its successor's begin.
const NOTICE_MS: u64 = 2_500;
const SUCCESSOR_MS: u64 = 5_000;

/// Runners that always stay: one VM for each lasting task, and one more.
const STAYING_LEAST: usize = LASTING as usize + 1;

/// Longest time that a lasting task may be away while there is room for it: the
/// users' pages allow three seconds, from six after its last run.
const AWAY_MS: u64 = 9_000;

/// Time between two looks at what runs.
const LOOK_MS: u64 = 100;

/// Nodes that are slow get one turn of this many looks.
const SLOW_TURNS: u64 = 4;

/// A step of planned work.
enum PlannedStep {
    Stop(String),
    Start(String),
    Slow(String, bool),
    Drain(usize),
    Leave(String, String),
    Begin(String),
}

#[test]
fn planned_work_in_series_keeps_lasting_tasks_at_work() -> Result<()> {
    let first = setting("FIRST_SEED", 1);
    for seed in first..first + setting("SERIES", SERIES) {
        play(series(seed)).wrap_err_with(|| format!("seed {seed}"))?;
    }
    Ok(())
}

/// All nodes restart one after another, twice, while runners leave, a node is
/// added and one is slow.
async fn series(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(6, 2 * LASTING as usize).await?;
    world.submit("long", lasting(LASTING, 1)).await?;
    sleep_ms(3_000).await;
    let mut steps = planned_steps(&world, &mut rng);
    let mut slow = None;
    let mut last_run = BTreeMap::new();
    let end = steps.keys().last().copied().unwrap_or(0) + 12_000;
    for now in (0..end).step_by(LOOK_MS as usize) {
        for step in steps.remove(&now).unwrap_or_default() {
            if let Some((then, next)) = take_step(&mut world, step, &mut slow)? {
                steps.entry(now + then).or_default().push(next);
            }
        }
        if let Some(node) = slow.as_ref().and_then(|name| world.nodes.get(name)) {
            node.freeze(!(now / LOOK_MS).is_multiple_of(SLOW_TURNS));
        }
        sleep_ms(LOOK_MS).await;
        look(&world, now, &mut last_run)?;
    }
    let broken = world.fleet.violations();
    ensure!(broken.is_empty(), "{broken:?}");
    Ok(())
}

/// Steps by their time; what follows from a step is added when it is taken.
fn planned_steps(world: &TestWorld, rng: &mut StdRng) -> BTreeMap<u64, Vec<PlannedStep>> {
    let mut steps: BTreeMap<u64, Vec<PlannedStep>> = BTreeMap::new();
    let mut at = 0;
    for _ in 0..2 {
        let mut names: Vec<String> = world.nodes.keys().cloned().collect();
        names.shuffle(rng);
        for name in names {
            steps.entry(at).or_default().push(PlannedStep::Stop(name));
            at += STOP_GAP_MS;
            if rng.random_bool(0.5) {
                let drain = at - rng.random_range(0..STOP_GAP_MS / LOOK_MS) * LOOK_MS;
                let runner = rng.random_range(0..1_000);
                let drains = steps.entry(drain).or_default();
                drains.push(PlannedStep::Drain(runner));
            }
        }
        at += 4_000;
    }
    let added = PlannedStep::Start("node-added".to_owned());
    let half = at / 2 / LOOK_MS * LOOK_MS;
    steps.entry(half).or_default().push(added);
    let node = "node-added".to_owned();
    let turns = [
        (half + 1_000, PlannedStep::Slow(node.clone(), true)),
        (half + 7_000, PlannedStep::Slow(node, false)),
    ];
    for (time, turn) in turns {
        steps.entry(time).or_default().push(turn);
    }
    steps
}

/// Takes a step; answers with the one that follows, and when.
fn take_step(
    world: &mut TestWorld,
    step: PlannedStep,
    slow: &mut Option<String>,
) -> Result<Option<(u64, PlannedStep)>> {
    match step {
        PlannedStep::Stop(name) => {
            world.nodes[&name].stop();
            return Ok(Some((STOPPED_MS, PlannedStep::Start(name))));
        }
        PlannedStep::Start(name) => {
            if let Some(node) = world.nodes.get(&name) {
                node.kill();
            }
            world.start_node(&name)?;
        }
        PlannedStep::Slow(name, on) => {
            world.nodes[&name].freeze(false);
            *slow = on.then_some(name);
        }
        PlannedStep::Drain(number) => {
            let staying = staying(world);
            if staying.len() <= STAYING_LEAST {
                return Ok(None);
            }
            let (runner, vm) = staying[number % staying.len()].clone();
            world.drain_runner(&runner);
            return Ok(Some((NOTICE_MS, PlannedStep::Leave(runner, vm))));
        }
        PlannedStep::Leave(runner, vm) => {
            world.fleet.crash(&runner);
            world.store.put(&format!("runner/{runner}"), None, 0);
            return Ok(Some((SUCCESSOR_MS, PlannedStep::Begin(vm))));
        }
        PlannedStep::Begin(vm) => {
            world.begin_runner(&vm);
        }
    }
    Ok(None)
}

/// Living runners that are not about to leave.
fn staying(world: &TestWorld) -> Vec<(String, String)> {
    let leaves = |runner: &str| {
        let record = world.store.get(&format!("runner/{runner}"));
        record.is_none_or(|record| record.ends_with(DRAINING.as_bytes()))
    };
    let living = world.fleet.living().into_iter();
    living.filter(|(runner, _)| !leaves(runner)).collect()
}

/// Looks which lasting tasks run, and how long the others have been away.
fn look(world: &TestWorld, now: u64, last_run: &mut BTreeMap<String, u64>) -> Result<()> {
    let running = world.fleet.running();
    for number in 0..LASTING {
        let task = format!("long.0.0.{number}");
        let last = last_run.entry(task.clone()).or_insert(now);
        if running.contains(&task) {
            *last = now;
        }
        let away = now - *last;
        ensure!(away <= AWAY_MS, "{task} away for {away} ms at {now} ms");
    }
    Ok(())
}
