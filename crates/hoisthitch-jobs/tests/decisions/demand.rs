//! Tests of how many VMs a pool requests.
//!
//! They guard against a slow forecast where high demand moves from pool to pool every few
//! seconds. Moving a VM takes a second and a half, so that each half second by which the begin
//! or the end of a rise is detected sooner counts.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EvacuationStage,
    NewJob,
    PoolState,
    PoolTerms,
    ResourceAmounts,
    RunnerFacts, //
};
use hoisthitch_tests::cases;

use crate::{
    new_job,
    pool_of,
    start_all,
    step, //
};

cases! {
    begin_of_a_turn_shows_within_a_second => rises();
    some_jobs_by_chance_are_no_turn => chance();
    end_of_a_turn_shows_within_a_second => falls();
    work_that_is_late_wants_fewer_vms => late_backlog();
    work_that_runs_late_wants_fewer_vms => late_runs();
    sums_of_huge_capacities_end_no_process => huge_capacities();
}

/// Adds jobs at these times, each of eight tasks of one core that are expected to take a
/// second, and cancels them at once, so that only the rate of arrivals counts.
fn add_arrivals(state: &mut PoolState, times: impl IntoIterator<Item = u64>) {
    for at in times {
        let id = format!("j{at}");
        let job = NewJob {
            accepted_at: at,
            ..new_job(&id, vec![step(8)])
        };
        state.add_job(job, at);
        state.cancel(&id, at);
    }
}

/// Six jobs a second after no demand: a second later at least half of the VMs that they need
/// are wanted, where a mean of four seconds gives a quarter.
async fn rises() -> Result<()> {
    let mut state = pool_of(4, 8);
    add_arrivals(&mut state, (0..6).map(|number| 10_000 + number * 166));
    let wanted = state.wanted_vms(10_900).steady;
    ensure!(wanted >= 4, "{wanted} VMs");
    Ok(())
}

/// Two jobs that arrive close together by chance are no rise.
async fn chance() -> Result<()> {
    let mut state = pool_of(4, 8);
    add_arrivals(&mut state, [10_000, 10_100]);
    let wanted = state.wanted_vms(10_150).steady;
    ensure!(wanted <= 1, "{wanted} VMs");
    Ok(())
}

/// Ten jobs a second arrive for four seconds, then none: a second later the pool wants at most
/// a third of the VMs.
async fn falls() -> Result<()> {
    let mut state = pool_of(4, 8);
    add_arrivals(&mut state, (0..40).map(|number| 1_000 + number * 100));
    let before = state.wanted_vms(5_000).steady;
    let after = state.wanted_vms(6_000).steady;
    ensure!(before >= 10, "{before} VMs during the rise");
    ensure!(after * 3 <= before, "{after} of {before} VMs after it");
    Ok(())
}

/// The same work waits in two pools; in one of them it can't be in time any more. There it adds
/// at least one VM to the steady demand, and at most a third as many as in the other.
async fn late_backlog() -> Result<()> {
    let wanted = |accepted_at: u64| {
        let mut state = pool_of(4, 8);
        for number in 0..20 {
            let job = NewJob {
                accepted_at,
                ..new_job(&format!("j{number}"), vec![step(8)])
            };
            state.add_job(job, 60_000);
        }
        state.begin_due_rounds(60_000, 0);
        state.wanted_vms(60_000)
    };
    let (timely, late) = (wanted(60_000), wanted(50_000));
    let (timely, late) = (timely.now - timely.steady, late.now - late.steady);
    ensure!(late >= 1 && late * 3 <= timely, "{late} and {timely} VMs");
    Ok(())
}

/// Running tasks fill a pool of four VMs. Once their job can't be in time any more, they add
/// nothing to the steady demand, and at least one VM is still wanted now.
async fn late_runs() -> Result<()> {
    let mut state = pool_of(4, 8);
    state.add_job(new_job("a", vec![step(32)]), 1_000);
    ensure!(start_all(&mut state, 1_000).len() == 32);
    let (before, after) = (state.wanted_vms(2_000), state.wanted_vms(30_000));
    ensure!(before.steady == 4, "{before:?}");
    ensure!(after.steady == 0 && after.now >= 1, "{after:?}");
    Ok(())
}

/// Two runners with the largest capacity that can be written: their sum overflowed, which ends a
/// checked build at each decision that adds up the pool's processors, and wraps to almost none in
/// others.
async fn huge_capacities() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.set_terms(PoolTerms {
        useless_work_yields: true,
        ..PoolTerms::default()
    });
    for number in 0..2 {
        let facts = RunnerFacts {
            name: format!("huge-{number}"),
            capacity: ResourceAmounts {
                cpu_milli: u64::MAX,
                memory_mb: u64::MAX,
                gpus: u64::MAX,
            },
            ..RunnerFacts::default()
        };
        let key = state.set_runner(facts, 1_000);
        state.mark_runner_ready(key);
        state.extend_lease(key, 1_000_000);
    }
    let mut resumable = step(2);
    resumable.checkpoints = true;
    resumable.estimate_ms = 60_000;
    state.add_job(new_job("a", vec![resumable]), 1_000);
    let orders = start_all(&mut state, 1_000);
    ensure!(orders.len() == 2, "{} starts", orders.len());
    let report = state.intake_report(2, 2_000);
    ensure!(report.capacity == u64::MAX, "{}", report.capacity);
    for order in &orders {
        state.begin_evacuation(order.runner, EvacuationStage::Emptying, 2_000);
        state.evict_resumable(order.runner, 2_000);
    }
    state.add_job(new_job("late", vec![step(2)]), 2_000);
    start_all(&mut state, 60_000);
    state.servable_usage();
    state.wanted_vms(60_000);
    Ok(())
}
