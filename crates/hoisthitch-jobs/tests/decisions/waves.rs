//! Tests of maintenance waves: several owners change one record of a wave, and some runners may
//! go down together.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EvacuationStage,
    EvacuationStatus,
    HeartbeatReport,
    PoolState,
    RunnerKey,
    StepSpec,
    WaveChange,
    WaveProgress, //
};
use hoisthitch_tests::cases;

use crate::{
    new_job,
    pool_of,
    running_on,
    start_all,
    step, //
};

cases! {
    change_is_put_on_what_another_owner_wrote => merges();
    no_more_are_down_than_may_be_at_once => limits();
    vm_that_had_its_upkeep_is_not_taken_down_again => keeps_done();
    runners_that_are_free_may_go_down_together => go_down_together();
    task_is_not_moved_beside_a_vm_that_goes_down => moves_beside_free();
    task_is_not_moved_while_a_vm_is_cleared_to_go_down => moves_beside_cleared();
    vm_that_is_emptied_ahead_takes_what_fits_nowhere_else => takes_ahead();
    vm_that_nobody_empties_any_more_takes_tasks_again => lapses();
}

/// A change that takes these VMs down.
fn down(vms: &[&str]) -> WaveChange {
    let instances = vms
        .iter()
        .map(|vm| ((*vm).to_owned(), format!("life-{vm}")));
    WaveChange {
        down: instances.collect(),
        ..WaveChange::default()
    }
}

/// A change is applied to what another owner wrote in between, and applying it twice changes
/// nothing.
async fn merges() -> Result<()> {
    let first = WaveProgress::default().with(&down(&["a", "b"]), 10);
    let mut change = down(&["c"]);
    change.begun.insert("a".to_owned());
    change.done.insert("b".to_owned());
    let other = first.with(&down(&["x"]), 10);
    let both = other.with(&change, 10);
    ensure!(both.down.keys().eq(["a", "c", "x"]), "{:?}", both.down);
    ensure!(both.begun.contains("a") && both.done.contains("b"));
    ensure!(
        both.with(&change, 10) == both,
        "the same change was applied twice"
    );
    Ok(())
}

/// No more VMs are down at once than the limit.
async fn limits() -> Result<()> {
    let first = WaveProgress::default().with(&down(&["a", "b"]), 3);
    let next = first.with(&down(&["c", "d"]), 3);
    ensure!(next.down.len() == 3, "{:?}", next.down);
    Ok(())
}

/// A VM whose maintenance is done is neither due nor taken down again.
async fn keeps_done() -> Result<()> {
    let mut change = WaveChange::default();
    change.done.insert("a".to_owned());
    let done = WaveProgress::default().with(&change, 3);
    let again = done.with(&down(&["a"]), 3);
    ensure!(again.down.is_empty() && !again.is_due("a"));
    ensure!(again.is_completed(&["a".to_owned()]));
    Ok(())
}

/// Three tasks of a long-running step, one of which may be unavailable: each of their runners
/// could go down by itself, but only one of them at a time.
async fn go_down_together() -> Result<()> {
    let mut state = pool_of(4, 8);
    let long_running = StepSpec {
        long_running: true,
        max_per_runner: 1,
        max_unavailable: 1,
        ..step(3)
    };
    state.add_job(new_job("long", vec![long_running]), 1_000);
    let orders = start_all(&mut state, 1_000);
    for order in &orders {
        let report = HeartbeatReport {
            started_at: None,
            running: running_on(&state, order.runner, None, 100),
            ..HeartbeatReport::default()
        };
        state.record_heartbeat(order.runner, &report, 1_500, 1_501);
    }
    let keys: Vec<RunnerKey> = state.runners().map(|(key, _)| key).collect();
    for key in &keys {
        ensure!(state.evacuation_status(*key) == EvacuationStatus::Free);
    }
    let statuses = state.evacuation_statuses(&keys);
    let free = statuses
        .iter()
        .filter(|status| **status == EvacuationStatus::Free);
    // The runner without tasks, and one of those with a task.
    ensure!(free.count() == 2, "{statuses:?}");
    Ok(())
}

/// Three tasks of a long-running step on two runners, of which one may be unavailable; returns
/// the runner with two of them, and the other one.
fn crowded_pool() -> Result<(PoolState, RunnerKey, RunnerKey)> {
    let mut state = pool_of(2, 8);
    let long_running = StepSpec {
        long_running: true,
        max_unavailable: 1,
        ..step(3)
    };
    state.add_job(new_job("long", vec![long_running]), 1_000);
    let orders = start_all(&mut state, 1_000);
    let keys: Vec<RunnerKey> = state.runners().map(|(key, _)| key).collect();
    for key in &keys {
        let report = HeartbeatReport {
            running: running_on(&state, *key, None, 100),
            ..HeartbeatReport::default()
        };
        state.record_heartbeat(*key, &report, 1_500, 1_501);
    }
    let count = |key: RunnerKey| orders.iter().filter(|order| order.runner == key).count();
    let crowded = keys.iter().copied().find(|key| count(*key) == 2);
    let other = keys.iter().copied().find(|key| count(*key) == 1);
    let (crowded, other) = crowded.zip(other).ok_or_eyre("no runner has two tasks")?;
    state.take_stop_orders();
    Ok((state, crowded, other))
}

/// One answer to the wave loop cleared a VM and stopped a task of the same step elsewhere: each
/// was allowed by itself (`review/2`, two tasks ended within 2 ms).
async fn moves_beside_free() -> Result<()> {
    for clears in [true, false] {
        let (mut state, crowded, other) = crowded_pool()?;
        let decisions = state.evacuate(&[crowded, other], clears, 2_000);
        let statuses: Vec<EvacuationStatus> = decisions.iter().map(|one| one.status).collect();
        ensure!(
            statuses == [EvacuationStatus::Held, EvacuationStatus::Free],
            "{decisions:?}"
        );
        let stops = state.take_stop_orders();
        ensure!(stops.is_empty(), "{stops:?}");
    }
    Ok(())
}

/// A VM that was cleared may go down at any moment until its evacuation is cancelled: nothing
/// else of the step is ended in between, by whatever request.
async fn moves_beside_cleared() -> Result<()> {
    let (mut state, crowded, other) = crowded_pool()?;
    let cleared = state.evacuate(&[other], true, 2_000).remove(0);
    ensure!(cleared.status == EvacuationStatus::Free, "{cleared:?}");
    let beside = state.evacuate(&[crowded], false, 2_100).remove(0);
    ensure!(beside.status == EvacuationStatus::Held, "{beside:?}");
    let stops = state.take_stop_orders();
    ensure!(stops.is_empty(), "{stops:?}");
    // The same VM is judged by its own tasks again.
    let again = state.evacuate(&[other], true, 2_200).remove(0);
    ensure!(again.status == EvacuationStatus::Free, "{again:?}");
    state.cancel_evacuation(other);
    let after = state.evacuate(&[crowded], false, 2_300).remove(0);
    ensure!(after.relocated.is_some(), "{after:?}");
    Ok(())
}

/// The only runner of a pool was kept idle while its wave had no room, and accepted jobs with it
/// (`review/3`).
async fn takes_ahead() -> Result<()> {
    let mut state = pool_of(2, 8);
    let keys: Vec<RunnerKey> = state.runners().map(|(key, _)| key).collect();
    state.begin_evacuation(keys[0], EvacuationStage::Ahead, 1_000);
    state.add_job(new_job("a", vec![step(10)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    let ahead = orders.iter().filter(|order| order.runner == keys[0]);
    ensure!(
        orders.len() == 10 && ahead.count() == 2,
        "only what the other runner has no room for: {orders:?}"
    );
    let mut emptied = pool_of(2, 8);
    emptied.begin_evacuation(keys[0], EvacuationStage::Emptying, 1_000);
    emptied.add_job(new_job("a", vec![step(10)]), 1_000);
    let orders = start_all(&mut emptied, 1_000);
    ensure!(orders.len() == 8, "{orders:?}");
    Ok(())
}

/// A runner was kept empty for as long as the VM service was away, though its VM could not go
/// down. One that was cleared may go down without another request, and stays empty.
async fn lapses() -> Result<()> {
    let mut state = pool_of(2, 8);
    let keys: Vec<RunnerKey> = state.runners().map(|(key, _)| key).collect();
    for key in &keys {
        state.begin_evacuation(*key, EvacuationStage::Emptying, 1_000);
    }
    let cleared = state.evacuate(&keys[1..], true, 1_000);
    ensure!(cleared[0].status == EvacuationStatus::Free, "{cleared:?}");
    state.add_job(new_job("a", vec![step(10)]), 1_100);
    ensure!(start_all(&mut state, 1_100).is_empty());
    ensure!(state.lapse_evacuations(2_400).is_empty(), "it was renewed");
    let lapsed = state.lapse_evacuations(2_600);
    ensure!(lapsed == keys[..1], "{lapsed:?}");
    let orders = start_all(&mut state, 2_600);
    let elsewhere = orders.iter().filter(|order| order.runner != keys[0]);
    ensure!(orders.len() == 8 && elsewhere.count() == 0, "{orders:?}");
    Ok(())
}
