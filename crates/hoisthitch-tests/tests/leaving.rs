//! Upstreams whose VM is listed as leaving.
//!
//! The tests guard against new requests to such an upstream after the limit, while the list of
//! VMs, the store or the mesh can't be reached, or the entry itself is frozen.

use std::time::{
    Duration,
    SystemTime,
    UNIX_EPOCH, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_store::VmState;
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    PoolPlan,
    TestRequest,
    cases,
    wait_until, //
};
use serde_json::json;

/// Port of the proxy in front of one entry's platform.
const PROXY_PORT: u16 = 9_600;

/// Time after which a leaving upstream must get no new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

cases! {
    leaving_runner_gets_no_new_work => leaves(json!({}));
    leaving_runner_gets_no_new_work_while_the_store_is_out => leaves(json!({"outage": true}));
    entry_without_the_list_hears_from_peers => list_cut_off();
    frozen_entry_sends_nothing_to_who_left_meanwhile => frozen();
    entry_that_hears_from_nobody_refuses_work => isolated();
    requests_under_way_at_a_leaving_runner_end_well => under_way();
}

/// Sends `count` requests through an entry, one after another; returns how many ran.
async fn load(fleet: &Fleet, entry: usize, count: usize) -> Result<usize> {
    let mut ran = 0;
    for number in 0..count {
        let url = fleet.caller_url(entry, "/quotes/1");
        let request =
            TestRequest::get(&url).header("x-request-name", &format!("r-{entry}-{number}"));
        ran += usize::from(request.send().await?.outcome() == "ran");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(ran)
}

/// Checks that the runner started no request after the limit.
async fn ensure_none_after(fleet: &Fleet, runner: usize, left_us: u64) -> Result<()> {
    let limit = left_us + u64::try_from(LEAVING_LIMIT.as_micros())?;
    let late = fleet.journal(runner).await?;
    let late = late.iter().filter(|run| run.start_us > limit).count();
    ensure!(late == 0, "{late} requests after the limit");
    Ok(())
}

fn now_us() -> Result<u64> {
    Ok(u64::try_from(
        SystemTime::now().duration_since(UNIX_EPOCH)?.as_micros(),
    )?)
}

async fn leaves(faults: serde_json::Value) -> Result<()> {
    let mut fleet = Fleet::start(FleetPlan::default()).await?;
    fleet.set_faults(faults).await?;
    load(&fleet, 0, 20).await?;
    ensure!(
        !fleet.journal(0).await?.is_empty(),
        "the runner got no work before"
    );
    fleet.list_runner(0, VmState::Leaving).await?;
    let left = now_us()?;
    tokio::time::sleep(LEAVING_LIMIT).await;
    for entry in 0..2 {
        ensure!(load(&fleet, entry, 40).await? == 40);
    }
    ensure_none_after(&fleet, 0, left).await
}

async fn list_cut_off() -> Result<()> {
    let mut fleet = Fleet::start(FleetPlan::default()).await?;
    let platform = fleet.own_address(2_379);
    let _proxy = fleet.start_proxy(PROXY_PORT, platform).await?;
    let cut = format!("http://{}", fleet.own_address(PROXY_PORT));
    fleet.start_entry_at(1, &cut, &cut)?;
    fleet.wait_for_routes().await?;
    fleet.set_proxy(PROXY_PORT, json!({"cut": true})).await?;
    fleet.list_runner(0, VmState::Leaving).await?;
    let left = now_us()?;
    tokio::time::sleep(LEAVING_LIMIT).await;
    ensure!(load(&fleet, 1, 40).await? == 40, "the entry refused work");
    ensure_none_after(&fleet, 0, left).await
}

async fn frozen() -> Result<()> {
    let mut fleet = Fleet::start(FleetPlan::default()).await?;
    // Requests wait in the frozen entry's sockets and are served when it continues.
    fleet.entries[1].signal("STOP")?;
    let mut waiting = Vec::new();
    for number in 0..20 {
        let url = fleet.caller_url(1, "/quotes/1");
        let request = TestRequest::get(&url).header("x-request-name", &format!("f-{number}"));
        waiting.push(actix_rt::spawn(request.send()));
    }
    fleet.list_runner(0, VmState::Leaving).await?;
    let left = now_us()?;
    tokio::time::sleep(LEAVING_LIMIT + Duration::from_millis(500)).await;
    fleet.entries[1].signal("CONT")?;
    for response in waiting {
        let response = response.await??;
        ensure!(
            matches!(response.outcome(), "ran" | "not-run"),
            "{}",
            response.outcome()
        );
    }
    ensure_none_after(&fleet, 0, left).await?;
    wait_until("the entry to serve again", || async {
        let response = TestRequest::get(&fleet.caller_url(1, "/quotes/1"))
            .send()
            .await;
        (response.ok()?.status == 200).then_some(())
    })
    .await?;
    ensure_none_after(&fleet, 0, left).await
}

async fn isolated() -> Result<()> {
    let mut fleet = Fleet::start(FleetPlan {
        entries: 1,
        ..FleetPlan::default()
    })
    .await?;
    let platform = fleet.own_address(2_379);
    let _proxy = fleet.start_proxy(PROXY_PORT, platform).await?;
    let cut = format!("http://{}", fleet.own_address(PROXY_PORT));
    fleet.start_entry_at(0, &cut, &cut)?;
    fleet.wait_for_routes().await?;
    fleet.set_proxy(PROXY_PORT, json!({"cut": true})).await?;
    let url = fleet.caller_url(0, "/quotes/1");
    wait_until("the entry to refuse work", || async {
        let response = TestRequest::get(&url).send().await.ok()?;
        (response.status == 503 && response.outcome() == "not-run").then_some(())
    })
    .await?;
    let ready = TestRequest::get(&fleet.operator_url(0, "/ready"))
        .send()
        .await?;
    ensure!(
        ready.status == 503,
        "the entry still reports that it is ready"
    );
    fleet.set_proxy(PROXY_PORT, json!({})).await?;
    wait_until("the entry to serve again", || async {
        let response = TestRequest::get(&url).send().await.ok()?;
        (response.status == 200).then_some(())
    })
    .await
}

async fn under_way() -> Result<()> {
    let mut fleet = Fleet::start(FleetPlan {
        entries: 1,
        pools: vec![PoolPlan::new("quotes", 1)],
        ..FleetPlan::default()
    })
    .await?;
    let slow = TestRequest::post(&fleet.caller_url(0, "/quotes/1"), b"order")
        .header("x-request-name", "slow")
        .header("x-work-us", "1500000");
    let slow = actix_rt::spawn(slow.send());
    wait_until("the request to run", || async {
        (!fleet.journal(0).await.ok()?.is_empty()).then_some(())
    })
    .await?;
    fleet.list_runner(0, VmState::Leaving).await?;
    let response = slow.await??;
    ensure!(response.status == 200 && response.body == b"order");
    Ok(())
}
