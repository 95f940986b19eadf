//! Labels and the limit of tasks per runner: tasks run only on runners with the label that
//! their step requires, and no runner has more tasks of a step than the step allows.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    JobPhase,
    JobSpec, //
};

use crate::{
    check_invariants,
    finish,
    trace,
    world::{
        TestWorld,
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

cases! {
    labelled_tasks_run_on_their_kind_only => runs_labelled();
    labelled_task_waits_until_its_kind_is_there => waits_for_kind();
    spread_tasks_wait_for_a_runner_of_their_own => spreads();
    each_time_of_a_job_spreads_by_itself => spreads_times();
    vm_that_comes_back_as_another_kind_gets_no_labelled_task => changes_kind();
    vm_that_changes_kind_while_the_owner_changes_gets_none => changes_kind_and_owner();
    new_owner_counts_what_runs_against_the_spread => changes_owner();
    frozen_owner_that_wakes_breaks_no_spread => freezes_owner();
    lasting_task_moves_off_a_leaving_runner_to_its_own_kind => drains();
    lasting_task_stays_where_only_another_kind_has_room => drains_without_room();
    wave_moves_labelled_tasks_to_their_kind => takes_wave();
    owner_lost_in_a_wave_breaks_no_spread => loses_owner_in_wave();
    late_orders_break_neither_label_nor_spread => orders_late();
}

/// Starts a simulated cluster with runners of two labels, three VMs for each.
async fn start_labelled() -> Result<TestWorld> {
    let world = TestWorld::start(3, 0).await?;
    for vm in 0..6 {
        let label = if vm < 3 { "big" } else { "small" };
        world.begin_labelled(&format!("vm-{vm}"), label);
    }
    sleep_ms(800).await;
    Ok(world)
}

/// A job for one label, with at most `max_per_runner` tasks on a runner.
fn labelled(payload: &str, count: u32, max_per_runner: u32) -> JobSpec {
    let mut spec = job(payload, &[count]);
    spec.steps[0].label = Some("big".to_owned());
    spec.steps[0].max_per_runner = max_per_runner;
    spec
}

/// Long-running tasks for one label, one on a runner.
fn long_running_labelled(count: u32) -> JobSpec {
    let mut spec = lasting(count, 1);
    spec.steps[0].label = Some("big".to_owned());
    spec
}

/// More tasks than runners of the label have capacity for, beside idle runners of the other.
async fn runs_labelled() -> Result<()> {
    let world = start_labelled().await?;
    let spec = labelled("work 300", 60, 0);
    world.submit("j", spec.clone()).await?;
    finish(&world, &spec, 20_000).await
}

async fn waits_for_kind() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    let spec = labelled("work 300", 2, 0);
    world.submit("j", spec.clone()).await?;
    sleep_ms(3_000).await;
    ensure!(
        world.fleet.start_records().is_empty(),
        "{:?}",
        trace(&world, "j")
    );
    world.begin_labelled("vm-9", "big");
    finish(&world, &spec, 3_000).await
}

/// Ten tasks on six runners, one at a time on each.
async fn spreads() -> Result<()> {
    let world = start_labelled().await?;
    let mut spec = job("work 500", &[10]);
    spec.steps[0].max_per_runner = 1;
    world.submit("j", spec.clone()).await?;
    sleep_ms(300).await;
    let running = world.fleet.running().len();
    ensure!(running == 6, "{running} run");
    finish(&world, &spec, 10_000).await
}

/// The limit counts tasks of one repetition: repetitions that overlap share runners.
async fn spreads_times() -> Result<()> {
    let world = start_labelled().await?;
    let mut spec = labelled("work 1500", 3, 1);
    spec.schedule = Some(hoisthitch_jobs::JobSchedule {
        first_ms: world.fleet.unix_ms() + 200,
        interval_ms: 300,
        repetitions: 3,
    });
    world.submit("j", spec.clone()).await?;
    sleep_ms(1_300).await;
    let running = world.fleet.running().len();
    ensure!(running == 9, "{running} run: {:?}", trace(&world, "j"));
    finish(&world, &spec, 10_000).await
}

/// Crashes the runners of all VMs of the label but one; they come back with the other label.
async fn change_labels(world: &TestWorld, pause_ms: u64) {
    for (runner, vm) in &world.fleet.living()[..2] {
        world.fleet.crash(runner);
        sleep_ms(pause_ms).await;
        world.begin_labelled(vm, "small");
    }
    world.fleet.disturb();
}

async fn changes_kind() -> Result<()> {
    for pause_ms in [0, 30, 1_000] {
        let world = start_labelled().await?;
        world.submit("j", labelled("work 1000", 20, 0)).await?;
        sleep_ms(500).await;
        change_labels(&world, pause_ms).await;
        world.wait_phase("j", JobPhase::Completed, 20_000).await?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// The new owner finds records of runs on instances that have ended, beside new instances
/// with another label on the same VMs.
async fn changes_kind_and_owner() -> Result<()> {
    for offset in [0, 30, 120, 600] {
        let world = start_labelled().await?;
        world.submit("long", long_running_labelled(2)).await?;
        world.submit("j", labelled("work 1000", 20, 0)).await?;
        sleep_ms(700).await;
        world.kill_owner();
        sleep_ms(offset).await;
        change_labels(&world, 30).await;
        world.wait_phase("j", JobPhase::Completed, 30_000).await?;
        sleep_ms(9_000).await;
        // One runner of the label is left, and runs one of the two tasks.
        let available = world.fleet.runners_of("long").len();
        ensure!(
            available == 1,
            "{available} available: {:?}",
            trace(&world, "long")
        );
        check_invariants(&world)?;
    }
    Ok(())
}

/// The owner is killed while tasks that must not share a runner are started.
async fn changes_owner() -> Result<()> {
    for offset in [0, 10, 20, 30, 45, 60, 100, 300, 900] {
        let world = start_labelled().await?;
        let spec = labelled("work 2000", 9, 1);
        world.submit("j", spec.clone()).await?;
        sleep_ms(offset).await;
        world.kill_owner();
        finish(&world, &spec, 40_000).await?;
    }
    Ok(())
}

/// The owner is frozen while tasks end and its successor starts others.
async fn freezes_owner() -> Result<()> {
    for frozen_ms in [600, 2_500, 4_000, 6_000] {
        let world = start_labelled().await?;
        world.submit("j", labelled("work 700", 12, 1)).await?;
        sleep_ms(300).await;
        let owner = world.owner();
        world.nodes[&owner].freeze(true);
        world.fleet.disturb();
        sleep_ms(frozen_ms).await;
        world.nodes[&owner].freeze(false);
        world.wait_phase("j", JobPhase::Completed, 40_000).await?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// Two of three runners of the label run a task, and one of them drains.
async fn drains() -> Result<()> {
    let world = start_labelled().await?;
    world.submit("long", long_running_labelled(2)).await?;
    sleep_ms(3_000).await;
    let before = world.fleet.runners_of("long");
    ensure!(before.len() == 2, "{before:?}");
    world.drain_runner(&before[0]);
    sleep_ms(2_500).await;
    let after = world.fleet.runners_of("long");
    ensure!(after.len() == 2 && !after.contains(&before[0]), "{after:?}");
    check_invariants(&world)
}

/// All runners of the label run a task: the task of one that drains can't move.
async fn drains_without_room() -> Result<()> {
    let world = start_labelled().await?;
    world.submit("long", long_running_labelled(3)).await?;
    sleep_ms(3_000).await;
    let before = world.fleet.runners_of("long");
    ensure!(before.len() == 3, "{before:?}");
    world.drain_runner(&before[0]);
    sleep_ms(2_000).await;
    ensure!(world.fleet.runners_of("long") == before);
    let living = world.fleet.living();
    let vm = living.iter().find(|(runner, _)| *runner == before[0]);
    let vm = vm.map(|(_, vm)| vm.clone()).unwrap_or_default();
    world.fleet.crash(&before[0]);
    world.store.put(&format!("runner/{}", before[0]), None, 0);
    sleep_ms(1_000).await;
    world.begin_labelled(&vm, "big");
    sleep_ms(9_000).await;
    ensure!(
        world.fleet.runners_of("long").len() == 3,
        "{:?}",
        trace(&world, "long")
    );
    check_invariants(&world)
}

/// A wave takes all VMs down; each comes back with the label that it had.
async fn takes_wave() -> Result<()> {
    let world = start_labelled().await?;
    world.submit("long", long_running_labelled(2)).await?;
    sleep_ms(3_000).await;
    let vms = "vm-0,vm-1,vm-2,vm-3,vm-4,vm-5";
    world.store.put("op/wave/1", Some(vms.as_bytes()), 0);
    for _ in 0..600 {
        sleep_ms(100).await;
        for vm in world.fleet.take_maintained() {
            let big = ["vm-0", "vm-1", "vm-2"].contains(&vm.as_str());
            world.begin_labelled(&vm, if big { "big" } else { "small" });
        }
        if world.store.get("status/wave/1").as_deref() == Some(b"completed") {
            break;
        }
    }
    ensure!(
        world.fleet.maintenance_counts().0 == 6,
        "{:?}",
        world.fleet.maintenance_counts()
    );
    sleep_ms(4_000).await;
    ensure!(
        world.fleet.runners_of("long").len() == 2,
        "{:?}",
        trace(&world, "long")
    );
    check_invariants(&world)
}

/// Each third order is carried out seconds late, and the owner is killed.
async fn orders_late() -> Result<()> {
    let world = start_labelled().await?;
    world.fleet.set_late(3);
    world.submit("j", labelled("work 700", 12, 1)).await?;
    sleep_ms(1_500).await;
    world.kill_owner();
    sleep_ms(6_000).await;
    world.fleet.set_late(0);
    world.wait_phase("j", JobPhase::Completed, 60_000).await?;
    check_invariants(&world)
}

/// The owner is killed while a wave moves tasks that must not share a runner.
async fn loses_owner_in_wave() -> Result<()> {
    for offset in [300, 700, 1_500, 2_600] {
        let world = TestWorld::start(3, 4).await?;
        world.submit("long", lasting(3, 1)).await?;
        sleep_ms(4_000).await;
        let vms = "vm-0,vm-1,vm-2,vm-3";
        world.store.put("op/wave/1", Some(vms.as_bytes()), 0);
        sleep_ms(offset).await;
        world.kill_owner();
        for _ in 0..400 {
            sleep_ms(100).await;
            world.revive();
        }
        ensure!(
            world.fleet.maintenance_counts().0 == 4,
            "{:?}",
            world.fleet.maintenance_counts()
        );
        ensure!(world.fleet.runners_of("long").len() == 3);
        check_invariants(&world)?;
    }
    Ok(())
}
