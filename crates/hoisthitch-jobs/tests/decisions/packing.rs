//! Tests of where short tasks are placed, and how soon a VM that another pool needs is empty.
//!
//! They guard against slow moves where the demand of pools rises and falls in turns of some
//! seconds. A VM can be moved once the last short task on it has ended, and tasks take up to
//! four seconds: if they are spread over all VMs, one task on each delays every move.

use std::collections::BTreeSet;

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EvacuationStage,
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
    short_tasks_go_beside_lasting_ones => beside_long_running();
    tasks_that_save_leave_a_vm_that_is_given => evicts(true, 4, 4);
    tasks_that_do_not_save_stay_to_their_end => evicts(false, 4, 0);
    tasks_stay_where_there_is_no_room_elsewhere => evicts(true, 1, 0);
    tasks_that_are_late_leave_without_room_elsewhere => evicts_late();
}

/// The runners that these starts are for.
fn runners_of(orders: &[StartOrder]) -> BTreeSet<RunnerKey> {
    orders.iter().map(|order| order.runner).collect()
}

/// Eight cores of work are packed on one VM of eight cores, also when the jobs arrive one after
/// the other.
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

/// A VM with four tasks of two seconds each is evacuated: `stopped` of them are evicted, to
/// resume elsewhere.
async fn evicts(checkpoints: bool, runners: u32, stopped: usize) -> Result<()> {
    let mut state = pool_of(runners, 8);
    let work = StepSpec {
        checkpoints,
        estimate_ms: 2_000,
        ..step(4)
    };
    let orders = start_all_of(&mut state, "a", work);
    let runner = orders.first().ok_or_eyre("nothing was started")?.runner;
    state.evict_resumable(runner, 1_100);
    ensure!(
        state.take_stop_orders().is_empty(),
        "evicted from a runner that is not evacuating"
    );
    state.begin_evacuation(runner, EvacuationStage::Emptying, 1_100);
    state.evict_resumable(runner, 1_100);
    let stops = state.take_stop_orders();
    ensure!(stops.len() == stopped, "{} are stopped", stops.len());
    Ok(())
}

/// A VM with a long-running task can't be moved soon, so that short tasks are placed there
/// though another VM is fuller.
async fn beside_long_running() -> Result<()> {
    let mut state = pool_of(4, 8);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    let early = start_all_of(&mut state, "short", step(4));
    let long_starts = start_all_of(&mut state, "lasting", long_running);
    let late = start_all_of(&mut state, "late", step(2));
    ensure!(
        runners_of(&late) == runners_of(&long_starts),
        "not beside the long-running task"
    );
    ensure!(
        runners_of(&early) != runners_of(&long_starts),
        "the short and the long-running tasks share a VM, so that there is no choice"
    );
    Ok(())
}

/// Starts a job of one step at 1 s.
fn start_all_of(state: &mut PoolState, id: &str, step: StepSpec) -> Vec<StartOrder> {
    state.add_job(new_job(id, vec![step]), 1_000);
    start_all(state, 1_000)
}

/// Tasks whose job can't be in time any more are evicted though no other runner has free
/// capacity: they wait, and the VM moves to work that can be in time.
async fn evicts_late() -> Result<()> {
    let mut state = pool_of(1, 8);
    let work = StepSpec {
        checkpoints: true,
        estimate_ms: 40_000,
        ..step(4)
    };
    let orders = start_all_of(&mut state, "a", work);
    let runner = orders.first().ok_or_eyre("nothing was started")?.runner;
    state.begin_evacuation(runner, EvacuationStage::Emptying, 1_100);
    state.evict_resumable(runner, 1_100);
    ensure!(
        state.take_stop_orders().is_empty(),
        "tasks that can be in time were evicted"
    );
    state.evict_resumable(runner, 30_000);
    ensure!(state.take_stop_orders().len() == 4);
    Ok(())
}
