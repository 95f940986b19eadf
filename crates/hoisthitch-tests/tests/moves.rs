//! Moves of VMs between pools.
//!
//! The tests guard against runners that serve two pools at once, and against moves that never
//! end, while stewards and entries are killed, frozen and cut off from the store.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_api::{
    MOVE_PATH,
    MoveCall, //
};
use hoisthitch_core::AssignmentState;
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    PoolPlan,
    SteadyLoad,
    cases,
    wait_until, //
};
use serde_json::json;

/// Port of the proxy in front of one entry's platform.
const PROXY_PORT: u16 = 9_600;

/// Working time of the load's requests, in microseconds.
const WORK_US: u64 = 150_000;

/// Runners of the pool that VMs are moved from.
const RUNNERS: usize = 4;

cases! {
    moves_under_load_never_mix_two_pools => under_load();
    stewards_killed_at_any_step_finish_their_moves => stewards_killed();
    frozen_steward_that_wakes_does_no_harm => steward_frozen();
    frozen_entry_delays_a_move => entry_frozen();
    killed_entry_that_is_listed_delays_a_move => entry_killed(true);
    killed_entry_that_is_gone_is_struck_off => entry_killed(false);
    entry_without_the_store_lets_a_move_pass => entry_cut_off();
    lost_answers_do_not_stop_or_double_a_move => lost_answers();
    pool_keeps_its_fewest_vms => fewest_vms();
}

async fn fleet_with(stewards: usize) -> Result<Fleet> {
    Fleet::start(FleetPlan {
        stewards,
        pools: vec![
            PoolPlan::new("quotes", RUNNERS),
            PoolPlan::new("picking", 1),
        ],
        ..FleetPlan::default()
    })
    .await
}

fn load(fleet: &Fleet, entries: &[usize]) -> SteadyLoad {
    let mut urls = Vec::new();
    for entry in entries {
        for path in ["/quotes/1", "/quotes/2", "/picking/1", "/picking/2"] {
            urls.push(fleet.caller_url(*entry, path));
        }
    }
    SteadyLoad::start(urls, WORK_US)
}

async fn request_move(fleet: &Fleet, vm: &str) -> Result<()> {
    let call = MoveCall {
        vm: vm.to_owned(),
        to: "picking".to_owned(),
    };
    wait_until("the move to be taken", || async {
        let response = fleet.operator_post(0, MOVE_PATH, &call).await.ok()?;
        (response.status == 200).then_some(())
    })
    .await
}

async fn wait_moved(fleet: &Fleet, vm: &str) -> Result<()> {
    wait_until("the move to end", || async {
        moved(fleet, vm).await.ok()?.then_some(())
    })
    .await
}

async fn moved(fleet: &Fleet, vm: &str) -> Result<bool> {
    let assignments = fleet.stored_assignments().await?;
    let found = assignments.iter().find(|assignment| assignment.vm == vm);
    Ok(found
        .is_some_and(|found| found.pool == "picking" && found.state == AssignmentState::Serving))
}

/// Checks for each runner that its runs for one pool don't overlap those for the other.
async fn ensure_unmixed(fleet: &Fleet) -> Result<()> {
    for runner in 0..fleet.runners.len() {
        let runs = fleet.journal(runner).await?;
        let last_quotes = runs
            .iter()
            .filter(|run| run.path.starts_with("/quotes"))
            .map(|run| run.end_us.unwrap_or(u64::MAX))
            .max();
        let first_picking = runs
            .iter()
            .filter(|run| run.path.starts_with("/picking"))
            .map(|run| run.start_us)
            .min();
        if let (Some(last), Some(first)) = (last_quotes, first_picking) {
            ensure!(last <= first, "runner {runner} served two pools at once");
        }
    }
    Ok(())
}

async fn wait_no_permits(fleet: &Fleet) -> Result<()> {
    wait_until("all permits to be returned", || async {
        let ledger = fleet.permits("quotes").await.ok()?;
        ledger.permits.is_empty().then_some(())
    })
    .await
}

async fn under_load() -> Result<()> {
    let fleet = fleet_with(1).await?;
    let load = load(&fleet, &[0, 1]);
    for vm in ["quotes-1", "quotes-2"] {
        request_move(&fleet, vm).await?;
    }
    for vm in ["quotes-1", "quotes-2"] {
        wait_moved(&fleet, vm).await?;
    }
    wait_until("work on a moved runner, and 50 requests in all", || async {
        let moved = fleet.journal(0).await.ok()?;
        let works = moved.iter().any(|run| run.path.starts_with("/picking"));
        let total = fleet.all_runs().await.ok()?.len();
        (works && total > 50).then_some(())
    })
    .await?;
    ensure!(load.stop().await? > 50);
    wait_no_permits(&fleet).await?;
    ensure_unmixed(&fleet).await
}

async fn stewards_killed() -> Result<()> {
    let mut fleet = fleet_with(2).await?;
    let load = load(&fleet, &[0, 1]);
    let vms = ["quotes-1", "quotes-2", "quotes-3"];
    for vm in vms {
        request_move(&fleet, vm).await?;
    }
    // The stewards are killed 10 ms to 170 ms after their start, so at every step of a move.
    for round in 0..9 {
        tokio::time::sleep(Duration::from_millis(10 + 20 * round)).await;
        for steward in 0..2 {
            fleet.start_steward(steward)?;
        }
    }
    for vm in vms {
        wait_moved(&fleet, vm).await?;
    }
    wait_no_permits(&fleet).await?;
    load.stop().await?;
    ensure_unmixed(&fleet).await
}

async fn steward_frozen() -> Result<()> {
    let fleet = fleet_with(2).await?;
    let load = load(&fleet, &[0, 1]);
    let vms = ["quotes-1", "quotes-2", "quotes-3"];
    for vm in vms {
        request_move(&fleet, vm).await?;
    }
    for round in 0..4 {
        let steward = &fleet.stewards[round % 2];
        steward.signal("STOP")?;
        // The first pause is longer than the lease, so that the other steward takes over.
        tokio::time::sleep(Duration::from_millis(if round == 0 { 7_000 } else { 700 })).await;
        steward.signal("CONT")?;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    for vm in vms {
        wait_moved(&fleet, vm).await?;
    }
    wait_no_permits(&fleet).await?;
    load.stop().await?;
    ensure_unmixed(&fleet).await
}

async fn entry_frozen() -> Result<()> {
    let fleet = fleet_with(1).await?;
    let load = load(&fleet, &[0, 1]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.entries[1].signal("STOP")?;
    request_move(&fleet, "quotes-1").await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    ensure!(
        !moved(&fleet, "quotes-1").await?,
        "the move passed a frozen entry"
    );
    fleet.entries[1].signal("CONT")?;
    wait_moved(&fleet, "quotes-1").await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    load.stop().await?;
    ensure_unmixed(&fleet).await
}

async fn entry_killed(listed: bool) -> Result<()> {
    let mut fleet = fleet_with(1).await?;
    let load = load(&fleet, &[0]);
    fleet.entries[1].end();
    if !listed {
        fleet.unlist_entry(1).await?;
    }
    request_move(&fleet, "quotes-1").await?;
    if listed {
        tokio::time::sleep(Duration::from_secs(3)).await;
        ensure!(
            !moved(&fleet, "quotes-1").await?,
            "the move passed a silent entry"
        );
        fleet.start_entry(1)?;
    }
    wait_moved(&fleet, "quotes-1").await?;
    load.stop().await?;
    ensure_unmixed(&fleet).await
}

async fn entry_cut_off() -> Result<()> {
    let mut fleet = fleet_with(1).await?;
    let platform = fleet.own_address(2_379);
    let _proxy = fleet.start_proxy(PROXY_PORT, platform).await?;
    let store = format!("http://{}", fleet.own_address(PROXY_PORT));
    let vms = fleet.platform_url("");
    fleet.start_entry_at(1, &store, &vms)?;
    fleet.wait_for_routes().await?;
    let load = load(&fleet, &[0, 1]);
    fleet.set_proxy(PROXY_PORT, json!({"cut": true})).await?;
    request_move(&fleet, "quotes-1").await?;
    wait_moved(&fleet, "quotes-1").await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    load.stop().await?;
    ensure_unmixed(&fleet).await
}

async fn lost_answers() -> Result<()> {
    let fleet = fleet_with(1).await?;
    let load = load(&fleet, &[0, 1]);
    let vms = ["quotes-1", "quotes-2"];
    for vm in vms {
        request_move(&fleet, vm).await?;
    }
    for _ in 0..10 {
        fleet.set_faults(json!({"lose_answers": 1})).await?;
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    fleet.set_faults(json!({})).await?;
    for vm in vms {
        wait_moved(&fleet, vm).await?;
    }
    wait_no_permits(&fleet).await?;
    load.stop().await?;
    ensure_unmixed(&fleet).await
}

async fn fewest_vms() -> Result<()> {
    let fleet = fleet_with(1).await?;
    let response = fleet.set_cell(0, "quotes", "min_vms", "4").await?;
    ensure!(response.status == 200);
    request_move(&fleet, "quotes-1").await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    ensure!(!moved(&fleet, "quotes-1").await?);
    let response = fleet.set_cell(0, "quotes", "min_vms", "3").await?;
    ensure!(response.status == 200);
    wait_moved(&fleet, "quotes-1").await
}
