//! Tests of what a cordoned data hall means for a pool's room.
//!
//! They guard against work that waits for a hall which gets none, and against VMs that are moved
//! into a pool although they give it no capacity.

use std::collections::BTreeSet;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    CordonedLoad,
    IntakeDecision,
    IntakeRequest,
    PoolState,
    PoolTerms,
    StepSpec, //
};
use hoisthitch_tests::cases;

use crate::{
    gang,
    new_job,
    pool_of,
    start_all,
    step, //
};

cases! {
    vms_of_a_cordoned_hall_are_neither_counted_nor_given => vms();
    work_that_runs_in_a_cordoned_hall_wants_no_vm => runs_on();
    work_that_waits_wants_vms_elsewhere => waits();
    gang_is_placed_outside_a_cordoned_hall => places_gang();
    gang_that_fits_only_with_a_cordoned_hall_waits => gang_waits();
    load_of_a_cordoned_hall_tells_what_stays_and_for_how_long => tells_of_load();
    loads_of_pools_add_up => adds_up();
    pool_with_one_hall_cordoned_and_the_other_lost_has_no_capacity => none_left();
    runner_of_a_cordoned_hall_that_comes_later_gets_nothing => late_runner();
}

/// Time after which runners have been in their pool for long enough to be given away.
const LATER_MS: u64 = 60_000;

fn cordon(state: &mut PoolState, halls: &[&str]) -> bool {
    let halls: BTreeSet<String> = halls.iter().map(|hall| (*hall).to_owned()).collect();
    state.set_cordoned_halls(halls)
}

async fn vms() -> Result<()> {
    let mut state = pool_of(4, 8);
    ensure!(state.vms().len() == 4);
    ensure!(cordon(&mut state, &["hall-0"]), "no change");
    ensure!(!cordon(&mut state, &["hall-0"]), "a change");
    ensure!(state.vms() == ["vm-1", "vm-3"], "{:?}", state.vms());
    let spare = state.spare_runners(LATER_MS, 10);
    ensure!(spare.len() == 2, "{} spare", spare.len());
    ensure!(cordon(&mut state, &[]));
    ensure!(state.vms().len() == 4 && state.spare_runners(LATER_MS, 10).len() == 4);
    Ok(())
}

async fn runs_on() -> Result<()> {
    let mut state = pool_of(2, 8);
    let long_running = StepSpec {
        long_running: true,
        max_per_runner: 4,
        ..step(8)
    };
    state.add_job(new_job("long", vec![long_running]), 1_000);
    ensure!(start_all(&mut state, 1_000).len() == 8);
    let before = state.wanted_vms(2_000).steady;
    cordon(&mut state, &["hall-0"]);
    let after = state.wanted_vms(2_000).steady;
    ensure!(after < before, "{before} VMs, then {after}");
    let load = state.cordoned_load();
    ensure!(
        load["hall-0"].runners == 1 && load["hall-0"].tasks == 4,
        "{load:?}"
    );
    Ok(())
}

async fn waits() -> Result<()> {
    let mut state = pool_of(2, 8);
    cordon(&mut state, &["hall-0", "hall-1"]);
    state.add_job(new_job("a", vec![step(16)]), 1_000);
    ensure!(start_all(&mut state, 1_000).is_empty());
    ensure!(state.wanted_vms(1_000).now > 0 && state.vms().is_empty());
    Ok(())
}

/// Operators saw only a number of tasks, and not whether it would ever be zero.
async fn tells_of_load() -> Result<()> {
    let mut state = pool_of(1, 32);
    let long_running = StepSpec {
        long_running: true,
        ..step(3)
    };
    let slow = StepSpec {
        estimate_ms: 7_400,
        ..step(1)
    };
    state.add_job(new_job("long", vec![long_running]), 1_000);
    state.add_job(new_job("short", vec![step(2)]), 1_000);
    state.add_job(new_job("slow", vec![slow]), 1_000);
    ensure!(start_all(&mut state, 1_000).len() == 6);
    cordon(&mut state, &["hall-0"]);
    let load = state.cordoned_load()["hall-0"].clone();
    ensure!(load.tasks == 6 && load.long_running == 3, "{load:?}");
    let jobs: Vec<&String> = load.long_running_jobs.iter().collect();
    ensure!(jobs == ["long"], "{load:?}");
    ensure!(load.expected_end == Some(9_000), "{load:?}");
    Ok(())
}

/// A report of a node of an older build, which tells neither, is added to one that does.
async fn adds_up() -> Result<()> {
    let old: CordonedLoad = serde_json::from_str(r#"{"runners":2,"tasks":3}"#)?;
    ensure!(old.expected_end.is_none() && old.long_running == 0);
    let mut sum = CordonedLoad {
        runners: 1,
        tasks: 6,
        long_running: 6,
        long_running_jobs: (0..6).map(|number| format!("a{number}")).collect(),
        expected_end: Some(5_000),
    };
    sum.add(old);
    ensure!(sum.runners == 3 && sum.tasks == 9 && sum.expected_end == Some(5_000));
    sum.add(CordonedLoad {
        long_running_jobs: (0..6).map(|number| format!("b{number}")).collect(),
        expected_end: Some(4_000),
        ..CordonedLoad::default()
    });
    ensure!(sum.long_running_jobs.len() == 8 && sum.expected_end == Some(5_000));
    Ok(())
}

/// With admission control the owner's report says so, and nodes refuse by it; it is the only one
/// that knows of the lost hall.
async fn none_left() -> Result<()> {
    let mut state = pool_of(4, 8);
    state.set_terms(PoolTerms {
        useless_work_yields: true,
        tolerated_halls: 1,
        ..PoolTerms::default()
    });
    cordon(&mut state, &["hall-0"]);
    state.set_lost_halls(["hall-1".to_owned()].into());
    state.add_job(new_job("a", vec![step(4)]), 1_000);
    state.begin_due_rounds(1_000, 0);
    state.intake_report(0, 1_000);
    let report = state.intake_report(0, 3_500);
    ensure!(report.capacity == 0, "{report:?}");
    let other = new_job("b", vec![step(1)]).submission;
    let request = IntakeRequest {
        id: "b",
        queue: &other.queue,
        policy: &other.policy,
        team: "",
        spec: &other.spec,
        remaining_ms: 3_000,
    };
    let decision = report.decide(&request, 100);
    ensure!(
        matches!(decision, IntakeDecision::Refuse(_)),
        "{decision:?}"
    );
    state.set_lost_halls([].into());
    let report = state.intake_report(0, 3_600);
    ensure!(report.capacity == 16_000, "{report:?}");
    let decision = report.decide(&request, 100);
    ensure!(
        matches!(decision, IntakeDecision::Admit { .. }),
        "{decision:?}"
    );
    Ok(())
}

async fn places_gang() -> Result<()> {
    let mut state = pool_of(4, 8);
    cordon(&mut state, &["hall-1"]);
    state.add_job(new_job("g", vec![gang(12)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    ensure!(orders.len() == 12, "{} members", orders.len());
    let outside = |order: &hoisthitch_jobs::StartOrder| {
        let runner = state.runner(order.runner);
        runner.is_some_and(|runner| runner.facts.hall == "hall-0")
    };
    ensure!(orders.iter().all(outside), "a member is in the hall");
    Ok(())
}

async fn gang_waits() -> Result<()> {
    let mut state = pool_of(4, 8);
    cordon(&mut state, &["hall-1"]);
    state.add_job(new_job("g", vec![gang(24)]), 1_000);
    ensure!(
        start_all(&mut state, 1_000).is_empty(),
        "a part of it was started"
    );
    cordon(&mut state, &[]);
    ensure!(start_all(&mut state, 1_100).len() == 24);
    Ok(())
}

/// A runner is listed after the cordon, or restarts under its name.
async fn late_runner() -> Result<()> {
    let mut state = pool_of(2, 8);
    cordon(&mut state, &["hall-0"]);
    let (key, facts) = state
        .runners()
        .find(|(_, runner)| runner.facts.hall == "hall-0")
        .map(|(key, runner)| (key, runner.facts.clone()))
        .ok_or_else(|| eyre::eyre!("no runner"))?;
    let restarted = state.replace_restarted_runner(key, 9_000, 20_000, 2_000);
    let next = restarted.ok_or_else(|| eyre::eyre!("unknown"))?.key;
    ensure!(state.runner(next).is_some_and(|runner| runner.cordoned));
    let other = hoisthitch_jobs::RunnerFacts {
        name: "i-9".to_owned(),
        ..facts
    };
    let later = state.set_runner(other, 2_000);
    ensure!(state.runner(later).is_some_and(|runner| runner.cordoned));
    Ok(())
}
