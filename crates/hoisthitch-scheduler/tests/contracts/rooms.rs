//! Capacity of runners that shrinks and grows while tasks run: no start takes a runner over
//! its capacity, even where runners carry out every start that they receive.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;

use crate::{
    check_invariants,
    finish,
    world::{
        TestWorld,
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

cases! {
    shrunk_room_is_kept_to_and_grown_room_used => shrinks_and_grows();
    room_that_shrinks_while_starts_wait_is_kept_to => shrinks_before_starts();
    room_that_shrinks_below_what_runs_ends_nothing => shrinks_below();
    late_starts_of_other_runs_count_against_the_room => late_strays();
    new_owner_keeps_to_the_shrunk_room => changes_owner();
    new_life_is_used_by_its_own_room => restarts_smaller();
}

/// Time after which a reduced capacity counts, with a margin.
const REDUCTION_APPLIES_MS: u64 = 5_000;

/// Sets the capacity of all runners, in thousandths of a core.
fn set_capacities(world: &TestWorld, cpu_milli: u64) {
    for (name, vm) in world.fleet.living() {
        world.set_room(&name, &vm, cpu_milli);
    }
}

async fn shrinks_and_grows() -> Result<()> {
    let world = TestWorld::start(1, 2).await?;
    set_capacities(&world, 2_000);
    sleep_ms(REDUCTION_APPLIES_MS).await;
    let spec = job("work 500", &[16]);
    world.submit("j", spec.clone()).await?;
    sleep_ms(700).await;
    let running = world.fleet.running().len();
    ensure!(running <= 4, "{running} tasks on two runners of two cores");
    set_capacities(&world, 8_000);
    finish(&world, &spec, 5_000).await
}

async fn shrinks_before_starts() -> Result<()> {
    let world = TestWorld::start(1, 2).await?;
    for round in 0..6 {
        world.fleet.set_late(if round % 2 == 0 { 3 } else { 0 });
        for number in 0..4 {
            let id = format!("j{round}-{number}");
            world.submit(&id, job("work 900", &[4, 4])).await?;
        }
        set_capacities(&world, 3_000);
        sleep_ms(REDUCTION_APPLIES_MS + 1_500).await;
        set_capacities(&world, 8_000);
        sleep_ms(1_000).await;
    }
    world.fleet.set_late(0);
    for round in 0..6 {
        for number in 0..4 {
            let id = format!("j{round}-{number}");
            world.wait_phase(&id, JobPhase::Completed, 60_000).await?;
        }
    }
    check_invariants(&world)
}

/// Running tasks go on, as nothing requires them to end.
async fn shrinks_below() -> Result<()> {
    let world = TestWorld::start(1, 2).await?;
    world.submit("long", lasting(2, 1)).await?;
    let spec = job("work 6000", &[10]);
    world.submit("j", spec.clone()).await?;
    sleep_ms(1_000).await;
    set_capacities(&world, 1_000);
    finish(&world, &spec, 20_000).await?;
    for task in ["long.0.0.0", "long.0.0.1"] {
        let starts = world.fleet.starts(task);
        ensure!(starts == 1, "{task} started {starts} times");
    }
    Ok(())
}

/// Starts that got no response are carried out late, on other runners than those where their
/// tasks run by then, and those runs take a while to stop.
async fn late_strays() -> Result<()> {
    let world = TestWorld::start(2, 3).await?;
    set_capacities(&world, 3_000);
    world.fleet.set_stop_time(Duration::from_millis(900));
    sleep_ms(REDUCTION_APPLIES_MS).await;
    for number in 0..30 {
        world.fleet.set_late(if number < 20 { 2 } else { 0 });
        let id = format!("j{number}");
        world.submit(&id, job("work 600", &[3, 2])).await?;
        sleep_ms(300).await;
        if number % 5 == 4 {
            world.cancel(&id).await?;
        }
    }
    sleep_ms(30_000).await;
    check_invariants(&world)
}

async fn changes_owner() -> Result<()> {
    let world = TestWorld::start(3, 2).await?;
    let spec = job("work 700", &[40]);
    world.submit("j", spec.clone()).await?;
    sleep_ms(300).await;
    set_capacities(&world, 2_000);
    let before = world.kill_owner();
    world.wait_owner(&before).await?;
    world.wait_phase("j", JobPhase::Completed, 60_000).await?;
    check_invariants(&world)
}

async fn restarts_smaller() -> Result<()> {
    let world = TestWorld::start(1, 2).await?;
    let spec = job("work 400", &[30]);
    world.submit("j", spec.clone()).await?;
    sleep_ms(200).await;
    for (name, vm) in world.fleet.living() {
        world.fleet.crash(&name);
        sleep_ms(300).await;
        world.fleet.restart(&name);
        world.set_room(&name, &vm, 1_000);
    }
    world.wait_phase("j", JobPhase::Completed, 60_000).await?;
    check_invariants(&world)
}
