//! Fillers beside serving tasks: no tail stays over its target for long through
//! them, and they come back once there is room.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobSpec;
use hoisthitch_tests::world::PaceFate;

use crate::{
    check_invariants,
    world::{
        TestWorld,
        lasting,
        play,
        sleep_ms, //
    }, //
};

cases! {
    fillers_make_way_for_a_tail_and_come_back => makes_way();
    fillers_make_way_each_time_the_load_changes => changes_load();
    fillers_beside_a_tail_that_is_over_by_itself_do_not_flap => over_by_itself();
    fillers_that_come_later_make_way_too => comes_later();
    new_owner_paces_fillers_on => kills_owner();
    new_owner_lets_fillers_on_that_were_paced_down => kills_owner_of_paced();
    stopped_owner_leaves_fillers_that_come_back => stops_owner_of_paced();
    lost_order_to_make_way_is_given_again => loses_down();
    lost_order_to_come_back_is_given_again => loses_up();
    late_order_to_come_back_is_taken_back => comes_back_late();
    late_order_to_make_way_does_not_stay => makes_way_late();
    frozen_owner_that_wakes_harms_nobody => freezes_owner();
}

/// Target of the serving tasks, in milliseconds.
const TARGET_MS: u64 = 100;

/// Tail of a serving task that is alone, in milliseconds.
const QUIET_MS: u64 = 40;

/// What a filler adds to the tail, in milliseconds, when it disturbs and when
/// it does not.
const LOUD_MS: u64 = 80;
const FAINT_MS: u64 = 5;

/// Time after which fillers are at full pace again: five steps, one to a report.
const RISE_MS: u64 = 6_000;

/// A lasting job of `count` tasks that serve.
fn serving(count: u32) -> JobSpec {
    let mut spec = lasting(count, 1);
    spec.steps[0].target_ms = TARGET_MS;
    spec
}

/// A lasting job of `count` fillers.
fn fillers(count: u32) -> JobSpec {
    let mut spec = lasting(count, 1);
    spec.steps[0].best_effort = true;
    spec
}

/// Two serving tasks on two runners, each with a filler beside it.
async fn shared() -> Result<TestWorld> {
    let world = TestWorld::start(3, 2).await?;
    world.fleet.set_tails(QUIET_MS, FAINT_MS);
    world.submit("serve", serving(2)).await?;
    world.submit("fill", fillers(2)).await?;
    sleep_ms(3_000).await;
    ensure!(
        world.fleet.running().len() == 4,
        "{:?}",
        world.fleet.tasks()
    );
    ensure!(paces(&world) == [100, 100], "{:?}", world.fleet.paces());
    Ok(world)
}

fn paces(world: &TestWorld) -> Vec<u32> {
    world.fleet.paces().into_iter().map(|row| row.1).collect()
}

/// Checks that all fillers are at full pace within a while.
async fn come_back(world: &TestWorld, limit_ms: u64) -> Result<()> {
    for _ in 0..limit_ms / 100 {
        if paces(world).iter().all(|pace| *pace == 100) {
            return Ok(());
        }
        sleep_ms(100).await;
    }
    eyre::bail!(
        "fillers are at {:?} after {limit_ms} ms",
        world.fleet.paces()
    )
}

async fn makes_way() -> Result<()> {
    let world = shared().await?;
    world.fleet.set_tails(QUIET_MS, LOUD_MS);
    sleep_ms(2_500).await;
    let slow = paces(&world);
    ensure!(slow.iter().all(|pace| *pace <= 75), "{slow:?}");
    sleep_ms(12_000).await;
    world.fleet.set_tails(QUIET_MS, FAINT_MS);
    come_back(&world, RISE_MS).await?;
    let harm = world.fleet.longest_harm();
    ensure!(harm < Duration::from_secs(3), "{harm:?}");
    check_invariants(&world)
}

async fn changes_load() -> Result<()> {
    let world = shared().await?;
    for (quiet, filler) in [(40, 80), (70, 20), (20, 200), (40, 5), (90, 30), (30, 90)] {
        world.fleet.set_tails(quiet, filler);
        sleep_ms(5_000).await;
    }
    world.fleet.set_tails(QUIET_MS, FAINT_MS);
    come_back(&world, RISE_MS).await?;
    check_invariants(&world)
}

/// Without the fillers the tail is over its target as well; once it is below,
/// nothing is left of that.
async fn over_by_itself() -> Result<()> {
    let world = shared().await?;
    world.fleet.set_tails(150, FAINT_MS);
    sleep_ms(6_000).await;
    world.fleet.set_tails(QUIET_MS, FAINT_MS);
    come_back(&world, RISE_MS).await?;
    check_invariants(&world)
}

/// Fillers begin at full pace beside a tail that they disturb.
async fn comes_later() -> Result<()> {
    let world = TestWorld::start(3, 2).await?;
    world.fleet.set_tails(QUIET_MS, LOUD_MS);
    world.submit("serve", serving(2)).await?;
    sleep_ms(2_000).await;
    world.submit("fill", fillers(2)).await?;
    sleep_ms(8_000).await;
    ensure!(world.fleet.paces().len() == 2, "{:?}", world.fleet.tasks());
    check_invariants(&world)
}

/// The owner is lost right when the load rises.
async fn kills_owner() -> Result<()> {
    for offset in [0, 300, 700, 1_000, 2_000] {
        let world = shared().await?;
        world.fleet.set_tails(QUIET_MS, LOUD_MS);
        sleep_ms(offset).await;
        world.kill_owner();
        sleep_ms(14_000).await;
        world.fleet.set_tails(QUIET_MS, FAINT_MS);
        come_back(&world, RISE_MS).await?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// The owner is lost while fillers stand still; the load falls before there is a
/// new one, which never saw it high.
async fn kills_owner_of_paced() -> Result<()> {
    let world = shared().await?;
    world.fleet.set_tails(90, 100);
    sleep_ms(5_000).await;
    let slow = paces(&world);
    ensure!(slow.iter().all(|pace| *pace < 50), "{slow:?}");
    let owner = world.kill_owner();
    world.fleet.set_tails(QUIET_MS, FAINT_MS);
    world.wait_owner(&owner).await?;
    come_back(&world, RISE_MS + 3_000).await?;
    check_invariants(&world)
}

async fn stops_owner_of_paced() -> Result<()> {
    let world = shared().await?;
    world.fleet.set_tails(90, 100);
    sleep_ms(5_000).await;
    let owner = world.owner();
    world.nodes[&owner].stop();
    world.fleet.set_tails(QUIET_MS, FAINT_MS);
    world.wait_owner(&owner).await?;
    come_back(&world, RISE_MS).await?;
    check_invariants(&world)
}

async fn loses_down() -> Result<()> {
    let world = shared().await?;
    world.fleet.set_pace_fates(&[PaceFate::Lost; 2]);
    world.fleet.set_tails(QUIET_MS, LOUD_MS);
    sleep_ms(8_000).await;
    ensure!(world.fleet.pace_fates_left() == 0);
    check_invariants(&world)
}

async fn loses_up() -> Result<()> {
    let world = shared().await?;
    world.fleet.set_tails(QUIET_MS, 200);
    sleep_ms(3_000).await;
    world.fleet.set_pace_fates(&[PaceFate::Lost; 4]);
    world.fleet.set_tails(QUIET_MS, FAINT_MS);
    come_back(&world, RISE_MS + 4_000).await?;
    ensure!(world.fleet.pace_fates_left() == 0);
    check_invariants(&world)
}

/// An order to come back is under way for seconds, and arrives after the fillers
/// were told to stand still.
async fn comes_back_late() -> Result<()> {
    for late_ms in [1_500, 2_500, 3_500, 5_000] {
        let world = shared().await?;
        world.fleet.set_tails(QUIET_MS, 200);
        sleep_ms(4_000).await;
        let late = PaceFate::Late(Duration::from_millis(late_ms));
        world.fleet.set_pace_fates(&[late; 2]);
        world.fleet.set_tails(QUIET_MS, FAINT_MS);
        sleep_ms(1_000).await;
        world.fleet.set_tails(QUIET_MS, 400);
        sleep_ms(14_000).await;
        check_invariants(&world)?;
    }
    Ok(())
}

/// An order to stand still is under way for seconds, and arrives after the
/// fillers were told to come back.
async fn makes_way_late() -> Result<()> {
    let world = shared().await?;
    let late = PaceFate::Late(Duration::from_millis(9_000));
    world.fleet.set_pace_fates(&[late; 2]);
    world.fleet.set_tails(QUIET_MS, 200);
    sleep_ms(2_500).await;
    world.fleet.set_tails(QUIET_MS, FAINT_MS);
    sleep_ms(8_000).await;
    come_back(&world, RISE_MS).await?;
    check_invariants(&world)
}

async fn freezes_owner() -> Result<()> {
    for frozen_ms in [800, 3_000, 6_000] {
        let world = shared().await?;
        let owner = world.owner();
        world.nodes[&owner].freeze(true);
        world.fleet.set_tails(QUIET_MS, LOUD_MS);
        world.fleet.disturb();
        sleep_ms(frozen_ms).await;
        world.nodes[&owner].freeze(false);
        world.fleet.disturb();
        sleep_ms(12_000).await;
        world.fleet.set_tails(QUIET_MS, FAINT_MS);
        come_back(&world, RISE_MS).await?;
        check_invariants(&world)?;
    }
    Ok(())
}
