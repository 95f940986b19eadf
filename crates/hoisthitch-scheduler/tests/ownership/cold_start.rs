//! Slow start: runners that are cold get starts at the rate of their pool, whoever owns it.
//!
//! The failure: an owner does not know what the owner before has started on a cold runner, and
//! both together start more than the rate allows.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    ColdStartBounds,
    JobPhase, //
};

use super::{
    check_invariants,
    world::{
        TestWorld,
        codec::COLD,
        job,
        play,
        sleep_ms, //
    }, //
};

cases! {
    cold_runners_get_starts_at_their_rate => keeps_rate(None);
    owners_share_the_rate_when_one_is_killed => keeps_rate(Some(Change::Killed));
    owners_share_the_rate_when_one_is_frozen => keeps_rate(Some(Change::Frozen));
    owners_share_the_rate_when_one_stops => keeps_rate(Some(Change::Stopped));
    hall_that_is_taken_back_gets_starts_at_once_and_slowly => takes_back();
    runners_of_a_pool_without_slow_start_get_all_at_once => is_off();
}

/// What happens to the owner.
#[derive(Clone, Copy)]
enum Change {
    Killed,
    Frozen,
    Stopped,
}

/// Two starts a second and half as many again, and two more in any second.
const BOUNDS: ColdStartBounds = ColdStartBounds {
    overage_percent: 50,
    tolerance: 2,
};

/// Most starts of a cold runner in a second, by these bounds.
const MOST_STARTS: usize = 5;

/// A world of nodes with these bounds, in whose configuration runners are cold for a time and get
/// two starts a second.
async fn cold_world(cold_ms: u64) -> Result<TestWorld> {
    let mut world = TestWorld::start(0, 0).await?;
    world.terms.cold_bounds = BOUNDS;
    let policy = format!("2{COLD}{cold_ms} 2");
    world.store.put("op/policy", Some(policy.as_bytes()), 0);
    for number in 0..3 {
        world.start_node(&format!("node-{number}"))?;
    }
    sleep_ms(2_000).await;
    Ok(world)
}

/// Most starts of one runner within a second.
fn most_in_a_second(world: &TestWorld) -> usize {
    let records = world.fleet.start_records();
    let most = records.iter().map(|first| {
        let same = records.iter().filter(|one| one.runner == first.runner);
        let second = first.at_ms..first.at_ms + 1_000;
        same.filter(|one| second.contains(&one.at_ms)).count()
    });
    most.max().unwrap_or(0)
}

async fn keeps_rate(change: Option<Change>) -> Result<()> {
    for after_ms in [100, 400, 900] {
        let world = cold_world(20_000).await?;
        for number in 0..3 {
            world.begin_runner(&format!("vm-{number}"));
        }
        sleep_ms(1_000).await;
        world.submit("j", job("work 300", &[60])).await?;
        sleep_ms(after_ms).await;
        let owner = world.owner();
        let node = &world.nodes[&owner];
        match change {
            Some(Change::Killed) => node.kill(),
            Some(Change::Frozen) => node.freeze(true),
            Some(Change::Stopped) => node.stop(),
            None => {}
        }
        sleep_ms(3_000).await;
        node.freeze(false);
        sleep_ms(4_000).await;
        let most = most_in_a_second(&world);
        ensure!(most <= MOST_STARTS, "{most} starts in a second");
        let starts = world.fleet.start_records().len();
        ensure!(starts >= 30, "{starts} starts in 7 s");
        world.wait_phase("j", JobPhase::Completed, 40_000).await?;
        check_invariants(&world)?;
    }
    Ok(())
}

async fn takes_back() -> Result<()> {
    let world = cold_world(3_000).await?;
    for number in 0..3 {
        world.begin_runner(&format!("vm-{number}"));
    }
    sleep_ms(4_000).await;
    world.cordon_hall("hall-0");
    sleep_ms(2_000).await;
    world.submit("j", job("work 500", &[60])).await?;
    sleep_ms(300).await;
    world.uncordon_hall("hall-0");
    sleep_ms(300).await;
    let records = world.fleet.start_records();
    let living = world.fleet.living();
    let back = living.iter().find(|(_, vm)| vm == "vm-0");
    let (back, _) = back.ok_or_else(|| eyre::eyre!("no runner"))?;
    let there = records.iter().filter(|record| record.runner == *back);
    let there = there.count();
    ensure!((1..=MOST_STARTS).contains(&there), "{there} starts");
    world.wait_phase("j", JobPhase::Completed, 20_000).await?;
    check_invariants(&world)
}

async fn is_off() -> Result<()> {
    let world = cold_world(0).await?;
    world.store.put("op/policy", Some(b"3"), 0);
    world.begin_runner("vm-0");
    sleep_ms(1_000).await;
    world.submit("j", job("work 300", &[8])).await?;
    sleep_ms(300).await;
    ensure!(world.fleet.start_records().len() == 8);
    check_invariants(&world)
}
