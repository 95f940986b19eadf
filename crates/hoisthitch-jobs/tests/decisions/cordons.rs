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
    PoolState,
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
