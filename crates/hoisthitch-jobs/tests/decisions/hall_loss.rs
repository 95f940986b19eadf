//! Tests of data halls that are lost as a whole.
//!
//! They guard against starts that go on into a hall which has fallen silent, against a second run
//! of what may still run there, against suspicion of tasks that were lost with it, and against an
//! owner that takes its own isolation for the loss of the others.

use std::collections::BTreeSet;

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EvacuationStage,
    HallChange,
    HallMonitor,
    HallReturn,
    HeartbeatReport,
    InheritedRuns,
    PoolState,
    RunnerKey,
    RunnerLoss,
    StartOrder,
    StartOutcome, //
};
use hoisthitch_tests::cases;

use crate::{
    decide,
    new_job,
    pool_of,
    running_on,
    start_all,
    step, //
};

cases! {
    hall_that_falls_silent_is_lost_as_one => lost();
    loss_of_a_hall_ends_when_half_respond => hysteresis();
    two_silent_halls_mean_that_the_owner_is_cut_off => two_silent();
    second_silent_hall_takes_the_first_back => second_silent();
    owner_that_was_frozen_loses_no_hall => frozen();
    runners_lost_one_after_the_other_are_no_hall => one_by_one();
    few_runners_are_no_hall => few();
    vms_that_leave_a_hall_together_are_no_loss => moved_away();
    silence_is_no_loss_while_most_others_are_silent_too => others_silent();
    next_owner_loses_a_hall_that_never_responded => never_responded();
    deployment_without_tolerance_loses_no_hall => not_tolerated();
    planned_start_goes_elsewhere => withdraws();
    unanswered_start_is_repeated_once_its_runner_responds => repeats();
    what_runs_in_a_lost_hall_waits_for_its_lease => waits_for_lease();
    what_runs_in_a_hall_that_returns_goes_on => returns();
    loss_with_a_hall_is_no_evidence => no_evidence(false);
    restart_found_after_a_hall_returned_is_no_evidence => no_evidence(true);
    crash_after_a_hall_returned_is_evidence => evidence();
}

/// Number of halls of the tests.
const HALLS: usize = 3;

/// A pool with that many runners in each of three halls, all of which responded at 10 s.
fn pool_with_halls(per_hall: u32) -> Result<PoolState> {
    let mut state = pool_of(per_hall * 3, 8);
    for (number, key) in keys(&state).into_iter().enumerate() {
        let runner = state.runner(key).ok_or_eyre("unknown")?;
        let mut facts = runner.facts.clone();
        facts.hall = format!("hall-{}", number % HALLS);
        state.set_runner(facts, 0);
    }
    respond(&mut state, &["hall-0", "hall-1", "hall-2"], 10_000);
    Ok(state)
}

fn keys(state: &PoolState) -> Vec<RunnerKey> {
    state.runners().map(|(key, _)| key).collect()
}

fn keys_in(state: &PoolState, halls: &[&str]) -> Vec<RunnerKey> {
    let runners = state.runners();
    runners
        .filter(|(_, runner)| halls.contains(&runner.facts.hall.as_str()))
        .map(|(key, _)| key)
        .collect()
}

fn respond_all(state: &mut PoolState, keys: &[RunnerKey], now: u64) {
    for key in keys {
        let report = HeartbeatReport {
            running: running_on(state, *key, None, 10),
            ..HeartbeatReport::default()
        };
        state.record_heartbeat(*key, &report, now, now);
        state.mark_runner_ready(*key);
    }
}

fn respond(state: &mut PoolState, halls: &[&str], now: u64) {
    let keys = keys_in(state, halls);
    respond_all(state, &keys, now);
}

fn miss(state: &mut PoolState, halls: &[&str], sent_at: u64, now: u64) {
    for key in keys_in(state, halls) {
        state.record_missed_heartbeat(key, false, sent_at, now);
    }
}

/// Decides which halls are lost, as the owner does.
fn watch(state: &mut PoolState, monitor: &mut HallMonitor, now: u64) -> Vec<HallChange> {
    let changes = monitor.update(&state.hall_silences(now), 1, now);
    state.set_lost_halls(monitor.lost());
    changes
}

/// Decides at these times; the owner does so more often. Nothing changes.
fn stay(state: &mut PoolState, monitor: &mut HallMonitor, times: &[u64]) -> Result<()> {
    for now in times {
        let changes = watch(state, monitor, *now);
        ensure!(changes.is_empty(), "at {now}: {changes:?}");
    }
    Ok(())
}

/// Lets a hall fall silent at 10 s; the others respond.
fn lose(state: &mut PoolState, monitor: &mut HallMonitor, hall: &str) -> Vec<HallChange> {
    let others = ["hall-0", "hall-1", "hall-2"];
    let others: Vec<&str> = others.into_iter().filter(|other| *other != hall).collect();
    miss(state, &[hall], 10_100, 11_300);
    respond(state, &others, 11_300);
    watch(state, monitor, 11_300)
}

/// Runners in a hall that orders went to.
fn orders_in(state: &PoolState, orders: &[StartOrder], hall: &str) -> usize {
    let keys: BTreeSet<RunnerKey> = keys_in(state, &[hall]).into_iter().collect();
    let there = orders.iter().filter(|order| keys.contains(&order.runner));
    there.count()
}

/// A pool gave most of its VMs of one hall to another pool in one pass. Their runners fell silent
/// together, the hall counted as lost, and the pool was handed over to a node in a third hall.
async fn moved_away() -> Result<()> {
    let mut state = pool_with_halls(6)?;
    let mut monitor = HallMonitor::default();
    stay(&mut state, &mut monitor, &[10_100, 10_500])?;
    let leaving: Vec<RunnerKey> = keys_in(&state, &["hall-1"]).into_iter().take(5).collect();
    for key in &leaving {
        state.begin_evacuation(*key, EvacuationStage::Emptying, 10_500);
        state.record_missed_heartbeat(*key, true, 10_500, 10_600);
    }
    stay(&mut state, &mut monitor, &[10_600, 11_000])?;
    ensure!(
        state.hall_silences(11_000)["hall-1"].runners == 1,
        "VMs that leave count as runners of their hall"
    );
    Ok(())
}

async fn lost() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    let mut monitor = HallMonitor::default();
    stay(&mut state, &mut monitor, &[10_100, 10_500])?;
    // Two of five runners in a hall are silent for reasons of their own.
    for key in keys_in(&state, &["hall-1"]).into_iter().take(2) {
        state.record_missed_heartbeat(key, false, 10_100, 10_600);
    }
    respond(&mut state, &["hall-0", "hall-2"], 10_700);
    stay(&mut state, &mut monitor, &[10_700, 11_100])?;
    let changes = lose(&mut state, &mut monitor, "hall-1");
    ensure!(changes.len() == 1, "{changes:?}");
    let change = &changes[0];
    ensure!(
        change.hall == "hall-1" && change.back.is_none(),
        "{change:?}"
    );
    ensure!(
        change.silence.silent == 5 && change.age == 1_300,
        "{change:?}"
    );
    for key in keys_in(&state, &["hall-1"]) {
        // Whatever a runner last reported.
        state.mark_runner_ready(key);
    }
    state.add_job(new_job("a", vec![step(80)]), 11_300);
    let orders = start_all(&mut state, 11_300);
    ensure!(orders.len() == 80, "{} starts", orders.len());
    ensure!(orders_in(&state, &orders, "hall-1") == 0);
    Ok(())
}

async fn hysteresis() -> Result<()> {
    let mut state = pool_with_halls(8)?;
    let mut monitor = HallMonitor::default();
    lose(&mut state, &mut monitor, "hall-0");
    let there = keys_in(&state, &["hall-0"]);
    // Fewer are silent than at the begin of a loss, and fewer than half respond.
    respond_all(&mut state, &there[..3], 11_500);
    let changes = watch(&mut state, &mut monitor, 11_500);
    ensure!(changes.is_empty(), "{changes:?}");
    respond_all(&mut state, &there[3..4], 11_600);
    let changes = watch(&mut state, &mut monitor, 11_600);
    ensure!(
        changes.len() == 1 && changes[0].back == Some(HallReturn::Responding),
        "{changes:?}"
    );
    // Half of the runners are silent still, which is too few for a new loss.
    respond(&mut state, &["hall-1", "hall-2"], 11_650);
    ensure!(watch(&mut state, &mut monitor, 11_700).is_empty());
    state.add_job(new_job("a", vec![step(192)]), 11_700);
    let orders = start_all(&mut state, 11_700);
    ensure!(orders_in(&state, &orders, "hall-0") == 32, "not taken back");
    Ok(())
}

async fn two_silent() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    let mut monitor = HallMonitor::default();
    miss(&mut state, &["hall-0", "hall-2"], 10_100, 11_300);
    respond(&mut state, &["hall-1"], 11_300);
    let changes = watch(&mut state, &mut monitor, 11_300);
    ensure!(changes.is_empty(), "{changes:?}");
    Ok(())
}

async fn second_silent() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    let mut monitor = HallMonitor::default();
    lose(&mut state, &mut monitor, "hall-0");
    stay(&mut state, &mut monitor, &[11_700, 12_100])?;
    miss(&mut state, &["hall-1"], 11_400, 12_600);
    respond(&mut state, &["hall-2"], 12_600);
    let changes = watch(&mut state, &mut monitor, 12_600);
    ensure!(
        changes.len() == 1 && changes[0].back == Some(HallReturn::TooManySilent),
        "{changes:?}"
    );
    // One of them is back, and the other is lost alone.
    respond(&mut state, &["hall-1", "hall-2"], 13_000);
    let changes = watch(&mut state, &mut monitor, 13_000);
    ensure!(
        changes.len() == 1 && changes[0].hall == "hall-0" && changes[0].back.is_none(),
        "{changes:?}"
    );
    Ok(())
}

/// No response was read for seconds, from whatever hall; the first that are read are of two halls.
async fn frozen() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    let mut monitor = HallMonitor::default();
    ensure!(watch(&mut state, &mut monitor, 10_050).is_empty());
    ensure!(watch(&mut state, &mut monitor, 14_000).is_empty());
    respond(&mut state, &["hall-0"], 14_000);
    ensure!(watch(&mut state, &mut monitor, 14_000).is_empty());
    respond(&mut state, &["hall-1"], 14_050);
    let changes = watch(&mut state, &mut monitor, 14_050);
    ensure!(changes.is_empty(), "{changes:?}");
    Ok(())
}

async fn one_by_one() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    let mut monitor = HallMonitor::default();
    let there = keys_in(&state, &["hall-0"]);
    for (number, key) in (0..).zip(&there) {
        let now = 12_000 + number * 2_000;
        state.record_missed_heartbeat(*key, false, now - 1_200, now);
        let after = usize::try_from(number)? + 1;
        respond_all(&mut state, &there[after..], now);
        respond(&mut state, &["hall-1", "hall-2"], now);
        let changes = watch(&mut state, &mut monitor, now);
        ensure!(changes.is_empty(), "{changes:?}");
    }
    Ok(())
}

async fn few() -> Result<()> {
    let mut state = pool_with_halls(2)?;
    let mut monitor = HallMonitor::default();
    ensure!(lose(&mut state, &mut monitor, "hall-0").is_empty());
    Ok(())
}

/// Half of the runners elsewhere were lost too, though no other hall as a whole.
async fn others_silent() -> Result<()> {
    let mut state = pool_with_halls(6)?;
    let mut monitor = HallMonitor::default();
    for hall in ["hall-1", "hall-2"] {
        let there = keys_in(&state, &[hall]);
        for key in &there[..3] {
            state.record_missed_heartbeat(*key, false, 10_100, 11_300);
        }
        respond_all(&mut state, &there[3..], 11_300);
    }
    miss(&mut state, &["hall-0"], 10_100, 11_300);
    let changes = watch(&mut state, &mut monitor, 11_300);
    ensure!(changes.is_empty(), "{changes:?}");
    Ok(())
}

async fn never_responded() -> Result<()> {
    let mut state = PoolState::new(InheritedRuns::default());
    let mut monitor = HallMonitor::default();
    for (_, runner) in pool_with_halls(5)?.runners() {
        // A new owner takes runners that were listed before as known for long.
        state.set_runner(runner.facts.clone(), 0);
    }
    respond(&mut state, &["hall-1", "hall-2"], 10_100);
    ensure!(
        watch(&mut state, &mut monitor, 10_500).is_empty(),
        "too early"
    );
    stay(&mut state, &mut monitor, &[11_000])?;
    miss(&mut state, &["hall-0"], 10_000, 11_200);
    stay(&mut state, &mut monitor, &[11_450])?;
    respond(&mut state, &["hall-1", "hall-2"], 11_500);
    let changes = watch(&mut state, &mut monitor, 11_600);
    ensure!(
        changes.len() == 1 && changes[0].hall == "hall-0",
        "{changes:?}"
    );
    Ok(())
}

async fn not_tolerated() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    miss(&mut state, &["hall-0"], 10_100, 11_300);
    respond(&mut state, &["hall-1", "hall-2"], 11_300);
    let mut monitor = HallMonitor::default();
    let changes = monitor.update(&state.hall_silences(11_300), 0, 11_300);
    ensure!(
        changes.is_empty() && monitor.lost().is_empty(),
        "{changes:?}"
    );
    Ok(())
}

/// The hall is lost between the decision on starts and their first orders, while its runners are
/// ready as far as each of them was heard.
async fn withdraws() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    state.add_job(new_job("a", vec![step(60)]), 10_000);
    state.begin_due_rounds(10_000, 0);
    state.plan(10_000);
    let planned: usize = keys_in(&state, &["hall-1"])
        .into_iter()
        .filter_map(|key| state.runner(key))
        .map(|runner| runner.tasks.len())
        .sum();
    ensure!(planned > 0, "nothing is planned there");
    let plan = state.begin_flush(100);
    state.set_lost_halls([String::from("hall-1")].into());
    let orders = state.finish_flush(&plan, 10_050);
    ensure!(orders_in(&state, &orders, "hall-1") == 0, "ordered there");
    let again = start_all(&mut state, 10_100);
    ensure!(again.len() == planned, "{} of {planned}", again.len());
    ensure!(orders_in(&state, &again, "hall-1") == 0, "started there");
    Ok(())
}

/// A start without an answer in a hall that returns is repeated under its number, and nothing is
/// started elsewhere meanwhile.
async fn repeats() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    let mut monitor = HallMonitor::default();
    state.add_job(new_job("a", vec![step(15)]), 10_000);
    let orders = decide(&mut state, 10_000);
    let hall = "hall-0";
    let (there, elsewhere): (Vec<_>, Vec<_>) = orders
        .into_iter()
        .partition(|order| orders_in(&state, std::slice::from_ref(order), hall) == 1);
    ensure!(!there.is_empty());
    for order in &elsewhere {
        state.record_start_outcome(order, StartOutcome::Started, 10_010);
    }
    for order in &there {
        state.record_start_outcome(order, StartOutcome::Unclear, 11_200);
    }
    lose(&mut state, &mut monitor, hall);
    ensure!(decide(&mut state, 11_300).is_empty(), "started twice");
    let runner = there[0].runner;
    let report = HeartbeatReport::default();
    let repeated = state.record_heartbeat(runner, &report, 11_500, 11_510);
    ensure!(!repeated.is_empty() && repeated.iter().all(|order| order.copy == 2));
    Ok(())
}

async fn waits_for_lease() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    let mut monitor = HallMonitor::default();
    state.add_job(new_job("a", vec![step(30)]), 10_000);
    let orders = start_all(&mut state, 10_000);
    let there = orders_in(&state, &orders, "hall-2");
    ensure!(there > 0);
    lose(&mut state, &mut monitor, "hall-2");
    for now in [11_300, 20_000, 900_000] {
        ensure!(state.expire_leases(now).is_empty());
        respond(&mut state, &["hall-0", "hall-1"], now);
        ensure!(decide(&mut state, now).is_empty(), "a second run at {now}");
    }
    respond(&mut state, &["hall-0", "hall-1"], 1_000_100);
    for key in keys_in(&state, &["hall-0", "hall-1"]) {
        state.extend_lease(key, 2_000_000);
    }
    let busy = keys_in(&state, &["hall-2"]);
    let busy = busy.into_iter().filter(|key| {
        let runner = state.runner(*key);
        runner.is_some_and(|runner| !runner.tasks.is_empty())
    });
    let busy = busy.count();
    let expired = state.expire_leases(1_000_100).len();
    ensure!(expired == busy, "{expired} of {busy}");
    let again = start_all(&mut state, 1_000_100);
    ensure!(again.len() == there, "{} of {there}", again.len());
    Ok(())
}

async fn returns() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    let mut monitor = HallMonitor::default();
    state.add_job(new_job("a", vec![step(30)]), 10_000);
    start_all(&mut state, 10_000);
    lose(&mut state, &mut monitor, "hall-2");
    respond(&mut state, &["hall-0", "hall-1", "hall-2"], 12_000);
    let changes = watch(&mut state, &mut monitor, 12_000);
    ensure!(
        changes.len() == 1 && changes[0].back.is_some(),
        "{changes:?}"
    );
    ensure!(decide(&mut state, 12_000).is_empty(), "started again");
    ensure!(state.take_stop_orders().is_empty(), "stopped");
    Ok(())
}

/// Runs of a lost hall are lost; `returned` says whether the other runners there respond before
/// that shows.
async fn no_evidence(returned: bool) -> Result<()> {
    let mut state = pool_with_halls(5)?;
    let mut monitor = HallMonitor::default();
    state.add_job(new_job("a", vec![step(30)]), 10_000);
    start_all(&mut state, 10_000);
    respond(&mut state, &["hall-0", "hall-1", "hall-2"], 10_000);
    lose(&mut state, &mut monitor, "hall-1");
    let there = keys_in(&state, &["hall-1"]);
    let busy = there.iter().copied();
    let busy = busy.filter(|key| {
        state
            .runner(*key)
            .is_some_and(|runner| !runner.tasks.is_empty())
    });
    let lost = busy.clone().next().ok_or_eyre("none has tasks")?;
    if returned {
        let others: Vec<RunnerKey> = there.into_iter().filter(|key| *key != lost).collect();
        respond_all(&mut state, &others, 12_000);
        ensure!(watch(&mut state, &mut monitor, 12_000).len() == 1);
    }
    state.remove_runner(lost, RunnerLoss::Crashed, 12_100);
    let lost = state.take_lost_runs();
    ensure!(!lost.is_empty());
    for run in lost {
        ensure!(run.loss == RunnerLoss::Hall, "{run:?}");
        ensure!(
            run.suspicion.losses == 0 && run.suspicion.weight() == 0,
            "{run:?}"
        );
    }
    Ok(())
}

async fn evidence() -> Result<()> {
    let mut state = pool_with_halls(5)?;
    let mut monitor = HallMonitor::default();
    state.add_job(new_job("a", vec![step(30)]), 10_000);
    start_all(&mut state, 10_000);
    lose(&mut state, &mut monitor, "hall-1");
    respond(&mut state, &["hall-0", "hall-1", "hall-2"], 12_000);
    watch(&mut state, &mut monitor, 12_000);
    let key = keys_in(&state, &["hall-1"])[0];
    state.record_missed_heartbeat(key, true, 13_000, 13_000);
    state.remove_runner(key, RunnerLoss::Crashed, 13_500);
    let lost = state.take_lost_runs();
    ensure!(
        !lost.is_empty() && lost.iter().all(|run| run.suspicion.losses == 1),
        "{lost:?}"
    );
    Ok(())
}
