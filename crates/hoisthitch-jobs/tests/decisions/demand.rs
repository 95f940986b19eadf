//! How many VMs a pool asks for.
//!
//! The load it answers: demand that goes from pool to pool by turns of some seconds. A move
//! takes a second and a half, so that each half second by which the begin or the end of a
//! turn is seen sooner counts.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    NewJob,
    PoolState, //
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
}

/// Takes jobs of eight cores for a second in, which are cancelled at once: only that they
/// came counts.
fn come(state: &mut PoolState, times: impl IntoIterator<Item = u64>) {
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

/// Six jobs a second after nothing: a second later they are half of the want, where the
/// mean of four seconds makes them a quarter.
async fn rises() -> Result<()> {
    let mut state = pool_of(4, 8);
    come(&mut state, (0..6).map(|number| 10_000 + number * 166));
    let wanted = state.wanted_vms(10_900).steady;
    ensure!(wanted >= 4, "{wanted} VMs");
    Ok(())
}

async fn chance() -> Result<()> {
    let mut state = pool_of(4, 8);
    come(&mut state, [10_000, 10_100]);
    let wanted = state.wanted_vms(10_150).steady;
    ensure!(wanted <= 1, "{wanted} VMs");
    Ok(())
}

/// Ten jobs a second come for four seconds, and then none.
async fn falls() -> Result<()> {
    let mut state = pool_of(4, 8);
    come(&mut state, (0..40).map(|number| 1_000 + number * 100));
    let before = state.wanted_vms(5_000).steady;
    let after = state.wanted_vms(6_000).steady;
    ensure!(before >= 10, "{before} VMs in the turn");
    ensure!(after * 3 <= before, "{after} of {before} VMs after it");
    Ok(())
}

/// The same work waits in two pools; in one of them it can't be in time any more.
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

/// All runs that a pool of four VMs has room for; its jobs were not done in time.
async fn late_runs() -> Result<()> {
    let mut state = pool_of(4, 8);
    state.add_job(new_job("a", vec![step(32)]), 1_000);
    ensure!(start_all(&mut state, 1_000).len() == 32);
    let (before, after) = (state.wanted_vms(2_000), state.wanted_vms(30_000));
    ensure!(before.steady == 4, "{before:?}");
    ensure!(after.steady == 0 && after.now >= 1, "{after:?}");
    Ok(())
}
