//! Where short tasks go, and how soon a VM that another pool needs is empty.
//!
//! The load it answers: pools whose demand rises and falls by turns, each for some
//! seconds. A VM is given once the last short task on it has ended, and tasks take
//! up to four seconds: spread over all VMs, one task on each holds all of them up.

use std::collections::BTreeSet;

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    PoolState,
    RunnerKey,
    StartOrder,
    StepSpec, //
};
use hoisthitch_tests::cases;

use crate::{
    new_job,
    pool_of,
    start_all,
    step, //
};

cases! {
    short_tasks_leave_other_vms_empty => packs();
    short_tasks_go_beside_lasting_ones => beside_lasting();
    tasks_that_save_leave_a_vm_that_is_given => vacates(true, 4, 4);
    tasks_that_do_not_save_stay_to_their_end => vacates(false, 4, 0);
    tasks_stay_where_there_is_no_room_elsewhere => vacates(true, 1, 0);
    tasks_that_are_late_leave_without_room_elsewhere => late_vacates();
}

fn runners_of(orders: &[StartOrder]) -> BTreeSet<RunnerKey> {
    orders.iter().map(|order| order.runner).collect()
}

/// Eight cores of work need one VM of eight cores, also when they come one job
/// after the other.
async fn packs() -> Result<()> {
    let mut state = pool_of(4, 8);
    let mut used = BTreeSet::new();
    for id in ["a", "b", "c", "d"] {
        used.extend(runners_of(&start_all_of(&mut state, id, step(2))));
    }
    ensure!(used.len() == 1, "{} VMs are used", used.len());
    let spare = state.spare_runners(10_000, 4);
    ensure!(spare.len() == 4);
    let free = state.spare_runners(10_000, 3);
    ensure!(free.iter().all(|key| !used.contains(key)));
    Ok(())
}

/// A VM with four tasks of two seconds each is given away: so many are stopped, to
/// go on elsewhere.
async fn vacates(checkpoints: bool, runners: u32, stopped: usize) -> Result<()> {
    let mut state = pool_of(runners, 8);
    let work = StepSpec {
        checkpoints,
        estimate_ms: 2_000,
        ..step(4)
    };
    let orders = start_all_of(&mut state, "a", work);
    let runner = orders.first().ok_or_eyre("nothing was started")?.runner;
    state.evict_resumable(runner, 1_100);
    ensure!(state.take_stop_orders().is_empty(), "it does not leave yet");
    state.set_evacuating(runner, true);
    state.evict_resumable(runner, 1_100);
    let stops = state.take_stop_orders();
    ensure!(stops.len() == stopped, "{} are stopped", stops.len());
    Ok(())
}

/// A VM with a lasting task can't be given away soon, so that short ones go there
/// though another VM is fuller.
async fn beside_lasting() -> Result<()> {
    let mut state = pool_of(4, 8);
    let lasting = StepSpec {
        long_running: true,
        ..step(1)
    };
    let early = start_all_of(&mut state, "short", step(4));
    let kept = start_all_of(&mut state, "lasting", lasting);
    let late = start_all_of(&mut state, "late", step(2));
    ensure!(runners_of(&late) == runners_of(&kept), "not beside it");
    ensure!(
        runners_of(&early) != runners_of(&kept),
        "nothing to choose from"
    );
    Ok(())
}

fn start_all_of(state: &mut PoolState, id: &str, step: StepSpec) -> Vec<StartOrder> {
    state.add_job(new_job(id, vec![step]), 1_000);
    start_all(state, 1_000)
}

/// Late work waits for room, so that a VM comes to work that can be in time.
async fn late_vacates() -> Result<()> {
    let mut state = pool_of(1, 8);
    let work = StepSpec {
        checkpoints: true,
        estimate_ms: 40_000,
        ..step(4)
    };
    let orders = start_all_of(&mut state, "a", work);
    let runner = orders.first().ok_or_eyre("nothing was started")?.runner;
    state.set_evacuating(runner, true);
    state.evict_resumable(runner, 1_100);
    ensure!(
        state.take_stop_orders().is_empty(),
        "they are in time still"
    );
    state.evict_resumable(runner, 30_000);
    ensure!(state.take_stop_orders().len() == 4);
    Ok(())
}
