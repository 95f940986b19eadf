//! Best-effort tasks beside serving tasks: they do not keep the tail latency of a serving
//! task over its target for long, and they return to full pace once there is capacity.

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

/// Target of the serving tasks' tail latency, in milliseconds.
const TARGET_MS: u64 = 100;

/// Tail latency of a serving task without best-effort tasks beside it, in milliseconds.
const BASE_TAIL_MS: u64 = 40;

/// What a best-effort task adds to the tail latency, in milliseconds, when it takes it over
/// the target and when it does not.
const HARMFUL_ADDED_MS: u64 = 80;
const HARMLESS_ADDED_MS: u64 = 5;

/// Time after which best-effort tasks are at full pace again, in milliseconds: five steps,
/// one per report.
const RECOVERY_MS: u64 = 6_000;

/// A long-running job of `count` serving tasks.
fn serving(count: u32) -> JobSpec {
    let mut spec = lasting(count, 1);
    spec.steps[0].target_ms = TARGET_MS;
    spec
}

/// A long-running job of `count` best-effort tasks.
fn best_effort(count: u32) -> JobSpec {
    let mut spec = lasting(count, 1);
    spec.steps[0].best_effort = true;
    spec
}

/// Starts two serving tasks on two runners, each with a best-effort task beside it.
async fn start_shared() -> Result<TestWorld> {
    let world = TestWorld::start(3, 2).await?;
    world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
    world.submit("serve", serving(2)).await?;
    world.submit("fill", best_effort(2)).await?;
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

/// Checks that all best-effort tasks reach full pace within `limit_ms`.
async fn check_full_pace(world: &TestWorld, limit_ms: u64) -> Result<()> {
    for _ in 0..limit_ms / 100 {
        if paces(world).iter().all(|pace| *pace == 100) {
            return Ok(());
        }
        sleep_ms(100).await;
    }
    eyre::bail!(
        "best-effort tasks are at pace {:?} after {limit_ms} ms",
        world.fleet.paces()
    )
}

async fn makes_way() -> Result<()> {
    let world = start_shared().await?;
    world.fleet.set_tails(BASE_TAIL_MS, HARMFUL_ADDED_MS);
    sleep_ms(2_500).await;
    let slow = paces(&world);
    ensure!(slow.iter().all(|pace| *pace <= 75), "{slow:?}");
    sleep_ms(12_000).await;
    world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
    check_full_pace(&world, RECOVERY_MS).await?;
    let harm = world.fleet.longest_harm();
    ensure!(harm < Duration::from_secs(3), "{harm:?}");
    check_invariants(&world)
}

async fn changes_load() -> Result<()> {
    let world = start_shared().await?;
    for (base, added) in [(40, 80), (70, 20), (20, 200), (40, 5), (90, 30), (30, 90)] {
        world.fleet.set_tails(base, added);
        sleep_ms(5_000).await;
    }
    world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
    check_full_pace(&world, RECOVERY_MS).await?;
    check_invariants(&world)
}

/// The tail latency is over its target even without the best-effort tasks. Once it is below,
/// they return to full pace.
async fn over_by_itself() -> Result<()> {
    let world = start_shared().await?;
    world.fleet.set_tails(150, HARMLESS_ADDED_MS);
    sleep_ms(6_000).await;
    world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
    check_full_pace(&world, RECOVERY_MS).await?;
    check_invariants(&world)
}

/// Best-effort tasks begin at full pace beside serving tasks whose tail latency they take
/// over the target.
async fn comes_later() -> Result<()> {
    let world = TestWorld::start(3, 2).await?;
    world.fleet.set_tails(BASE_TAIL_MS, HARMFUL_ADDED_MS);
    world.submit("serve", serving(2)).await?;
    sleep_ms(2_000).await;
    world.submit("fill", best_effort(2)).await?;
    sleep_ms(8_000).await;
    ensure!(world.fleet.paces().len() == 2, "{:?}", world.fleet.tasks());
    check_invariants(&world)
}

/// The owner is killed when the load rises, or shortly after.
async fn kills_owner() -> Result<()> {
    for offset in [0, 300, 700, 1_000, 2_000] {
        let world = start_shared().await?;
        world.fleet.set_tails(BASE_TAIL_MS, HARMFUL_ADDED_MS);
        sleep_ms(offset).await;
        world.kill_owner();
        sleep_ms(14_000).await;
        world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
        check_full_pace(&world, RECOVERY_MS).await?;
        check_invariants(&world)?;
    }
    Ok(())
}

/// The owner is killed while best-effort tasks are throttled. The load falls before there is
/// a new owner, which never saw it high.
async fn kills_owner_of_paced() -> Result<()> {
    let world = start_shared().await?;
    world.fleet.set_tails(90, 100);
    sleep_ms(5_000).await;
    let slow = paces(&world);
    ensure!(slow.iter().all(|pace| *pace < 50), "{slow:?}");
    let owner = world.kill_owner();
    world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
    world.wait_owner(&owner).await?;
    check_full_pace(&world, RECOVERY_MS + 3_000).await?;
    check_invariants(&world)
}

async fn stops_owner_of_paced() -> Result<()> {
    let world = start_shared().await?;
    world.fleet.set_tails(90, 100);
    sleep_ms(5_000).await;
    let owner = world.owner();
    world.nodes[&owner].stop();
    world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
    world.wait_owner(&owner).await?;
    check_full_pace(&world, RECOVERY_MS).await?;
    check_invariants(&world)
}

async fn loses_down() -> Result<()> {
    let world = start_shared().await?;
    world.fleet.set_pace_fates(&[PaceFate::Lost; 2]);
    world.fleet.set_tails(BASE_TAIL_MS, HARMFUL_ADDED_MS);
    sleep_ms(8_000).await;
    ensure!(world.fleet.pace_fates_left() == 0);
    check_invariants(&world)
}

async fn loses_up() -> Result<()> {
    let world = start_shared().await?;
    world.fleet.set_tails(BASE_TAIL_MS, 200);
    sleep_ms(3_000).await;
    world.fleet.set_pace_fates(&[PaceFate::Lost; 4]);
    world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
    check_full_pace(&world, RECOVERY_MS + 4_000).await?;
    ensure!(world.fleet.pace_fates_left() == 0);
    check_invariants(&world)
}

/// An order to raise the pace is delayed by seconds, and arrives after an order to pause the
/// best-effort tasks.
async fn comes_back_late() -> Result<()> {
    for late_ms in [1_500, 2_500, 3_500, 5_000] {
        let world = start_shared().await?;
        world.fleet.set_tails(BASE_TAIL_MS, 200);
        sleep_ms(4_000).await;
        let late = PaceFate::Late(Duration::from_millis(late_ms));
        world.fleet.set_pace_fates(&[late; 2]);
        world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
        sleep_ms(1_000).await;
        world.fleet.set_tails(BASE_TAIL_MS, 400);
        sleep_ms(14_000).await;
        check_invariants(&world)?;
    }
    Ok(())
}

/// An order to pause the best-effort tasks is delayed by seconds, and arrives after an order
/// to raise their pace.
async fn makes_way_late() -> Result<()> {
    let world = start_shared().await?;
    let late = PaceFate::Late(Duration::from_millis(9_000));
    world.fleet.set_pace_fates(&[late; 2]);
    world.fleet.set_tails(BASE_TAIL_MS, 200);
    sleep_ms(2_500).await;
    world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
    sleep_ms(8_000).await;
    check_full_pace(&world, RECOVERY_MS).await?;
    check_invariants(&world)
}

async fn freezes_owner() -> Result<()> {
    for frozen_ms in [800, 3_000, 6_000] {
        let world = start_shared().await?;
        let owner = world.owner();
        world.nodes[&owner].freeze(true);
        world.fleet.set_tails(BASE_TAIL_MS, HARMFUL_ADDED_MS);
        world.fleet.disturb();
        sleep_ms(frozen_ms).await;
        world.nodes[&owner].freeze(false);
        world.fleet.disturb();
        sleep_ms(12_000).await;
        world.fleet.set_tails(BASE_TAIL_MS, HARMLESS_ADDED_MS);
        check_full_pace(&world, RECOVERY_MS).await?;
        check_invariants(&world)?;
    }
    Ok(())
}
