//! Requests that may run at most once, and the claims of their idempotency keys.
//!
//! The tests guard against a second run of a request, and against keys that stay claimed without
//! a run, while entries are killed, the store fails, and responses are lost.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    PoolPlan,
    TestRequest,
    TestResponse,
    cases,
    raw_exchange,
    wait_until, //
};
use serde_json::json;
use tokio::time::Instant;

/// Longest time until the response to a request whose key can't be claimed.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);

/// Working time of a slow booking, in microseconds.
const SLOW_US: &str = "600000";

cases! {
    second_try_while_the_first_runs_does_not_run => try_while_running();
    second_try_after_the_run_gets_the_kept_answer => try_after_run();
    second_try_after_the_entry_was_killed_does_not_run => try_after_kill();
    lost_answer_of_the_claim_is_recognised => lost_claim_answer(1);
    two_lost_answers_of_the_claim_run_once => lost_claim_answer(2);
    store_out_is_not_run_at_once => store_fails(json!({"outage": true}));
    slow_store_is_not_run_at_once => store_fails(json!({"delay_ms": 3_000}));
    request_that_did_not_run_frees_its_key => not_run_frees();
    key_of_another_request_is_refused => key_reused();
    malformed_key_is_refused => bad_key();
    many_claims_share_few_calls => group_commit();
    lost_answer_of_the_end_keeps_the_answer => lost_end_answer();
    caller_that_hangs_up_while_queued_frees_its_key => queued_hang_up();
    four_tries_at_once_run_once => tries_at_once();
}

/// Rounds of simultaneous tries.
const ROUNDS: usize = 40;

async fn fleet_of_two() -> Result<Fleet> {
    Fleet::start(FleetPlan::default()).await
}

fn booking(fleet: &Fleet, entry: usize, key: &str) -> TestRequest {
    TestRequest::post(&fleet.caller_url(entry, "/quotes/book"), b"hall 3")
        .header("idempotency-key", key)
        .header("x-request-name", key)
}

async fn runs_of(fleet: &Fleet, key: &str) -> Result<usize> {
    let runs = fleet.all_runs().await?;
    Ok(runs.iter().filter(|run| run.name == key).count())
}

/// Sends the booking until it gets the response that the claim has recorded.
async fn replayed(fleet: &Fleet, entry: usize, key: &str) -> Result<TestResponse> {
    wait_until("the recorded response", || async {
        let response = booking(fleet, entry, key).send().await.ok()?;
        (response.status == 200).then_some(response)
    })
    .await
}

async fn try_while_running() -> Result<()> {
    let fleet = fleet_of_two().await?;
    let first = booking(&fleet, 0, "b-1").header("x-work-us", SLOW_US);
    let first = actix_rt::spawn(first.send());
    wait_until("the first try to run", || async {
        let runs = runs_of(&fleet, "b-1").await.ok()?;
        (runs == 1).then_some(())
    })
    .await?;
    let second = booking(&fleet, 1, "b-1").send().await?;
    ensure!(second.status == 409, "status {}", second.status);
    ensure!(second.outcome() == "unknown");
    ensure!(second.header("retry-after").is_some());
    ensure!(first.await??.status == 200);
    ensure!(runs_of(&fleet, "b-1").await? == 1);
    Ok(())
}

async fn try_after_run() -> Result<()> {
    let fleet = fleet_of_two().await?;
    let first = booking(&fleet, 0, "b-2").send().await?;
    ensure!(first.status == 200);
    let second = replayed(&fleet, 1, "b-2").await?;
    ensure!(second.body == first.body && second.outcome() == "ran");
    ensure!(second.header("hoisthitch-replayed") == Some("true"));
    ensure!(runs_of(&fleet, "b-2").await? == 1);
    Ok(())
}

async fn try_after_kill() -> Result<()> {
    let fleet = fleet_of_two().await?;
    let first = booking(&fleet, 0, "b-3").header("x-work-us", SLOW_US);
    let first = actix_rt::spawn(first.send());
    wait_until("the first try to run", || async {
        let runs = runs_of(&fleet, "b-3").await.ok()?;
        (runs == 1).then_some(())
    })
    .await?;
    fleet.entries[0].signal("KILL")?;
    ensure!(first.await?.is_err(), "a killed entry answered");
    for _ in 0..5 {
        let second = booking(&fleet, 1, "b-3").send().await?;
        ensure!(second.status == 409 && second.outcome() == "unknown");
    }
    ensure!(runs_of(&fleet, "b-3").await? == 1);
    Ok(())
}

async fn lost_claim_answer(lost: u32) -> Result<()> {
    let fleet = fleet_of_two().await?;
    // The first booking has the lease granted, so that the write of the claim is the one whose
    // response is lost.
    ensure!(booking(&fleet, 0, "warm").send().await?.status == 200);
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.set_faults(json!({"lose_answers": lost})).await?;
    let mut statuses = Vec::new();
    let response = wait_until("the booking to run", || {
        let request = booking(&fleet, 0, "b-4");
        async {
            let response = request.send().await.ok()?;
            (response.status == 200 || response.outcome() != "not-run").then_some(response)
        }
    })
    .await?;
    statuses.push(response.status);
    let response = replayed(&fleet, 1, "b-4").await?;
    statuses.push(response.status);
    ensure!(runs_of(&fleet, "b-4").await? == 1, "statuses {statuses:?}");
    Ok(())
}

async fn store_fails(faults: serde_json::Value) -> Result<()> {
    let fleet = fleet_of_two().await?;
    fleet.set_faults(faults).await?;
    for _ in 0..3 {
        let started = Instant::now();
        let response = booking(&fleet, 0, "b-5").send().await?;
        ensure!(response.status == 503 && response.outcome() == "not-run");
        ensure!(response.header("retry-after").is_some());
        ensure!(
            started.elapsed() < REFUSAL_LIMIT,
            "took {:?}",
            started.elapsed()
        );
    }
    ensure!(runs_of(&fleet, "b-5").await? == 0);
    fleet.set_faults(json!({})).await?;
    replayed(&fleet, 0, "b-5").await?;
    ensure!(runs_of(&fleet, "b-5").await? == 1);
    Ok(())
}

async fn not_run_frees() -> Result<()> {
    let mut fleet = Fleet::start(FleetPlan {
        pools: vec![PoolPlan::new("quotes", 1)],
        ..FleetPlan::default()
    })
    .await?;
    fleet.runners[0].signal("KILL")?;
    fleet.runners[0].ended().await?;
    let response = booking(&fleet, 0, "b-6").send().await?;
    ensure!(
        response.outcome() == "not-run",
        "outcome {}",
        response.outcome()
    );
    fleet.restart_runner(0)?;
    replayed(&fleet, 1, "b-6").await?;
    ensure!(runs_of(&fleet, "b-6").await? == 1);
    Ok(())
}

async fn key_reused() -> Result<()> {
    let fleet = fleet_of_two().await?;
    ensure!(booking(&fleet, 0, "b-7").send().await?.status == 200);
    let other = TestRequest::post(&fleet.caller_url(1, "/quotes/book"), b"hall 4");
    let response = other.header("idempotency-key", "b-7").send().await?;
    ensure!(response.status == 422 && response.outcome() == "not-run");
    Ok(())
}

async fn bad_key() -> Result<()> {
    let fleet = fleet_of_two().await?;
    for key in ["a/b", "a b", ""] {
        let request = TestRequest::post(&fleet.caller_url(0, "/quotes/book"), b"hall 3");
        let response = request.header("idempotency-key", key).send().await?;
        ensure!(response.status == 400, "key '{key}': {}", response.status);
        ensure!(response.outcome() == "not-run");
    }
    Ok(())
}

async fn group_commit() -> Result<()> {
    const COUNT: usize = 300;
    let fleet = fleet_of_two().await?;
    let before = store_writes(&fleet).await?;
    let tries: Vec<_> = (0..COUNT)
        .map(|number| actix_rt::spawn(booking(&fleet, 0, &format!("g-{number}")).send()))
        .collect();
    for response in tries {
        ensure!(response.await??.status == 200);
    }
    let writes = store_writes(&fleet).await? - before;
    ensure!(
        writes < COUNT as u64 / 4,
        "{writes} writes for {COUNT} bookings"
    );
    ensure!(fleet.all_runs().await?.len() == COUNT);
    Ok(())
}

async fn store_writes(fleet: &Fleet) -> Result<u64> {
    let url = fleet.platform_url("/standin/calls");
    let calls: serde_json::Value = TestRequest::get(&url).send().await?.json()?;
    Ok(calls["writes"].as_u64().unwrap_or(0))
}

async fn lost_end_answer() -> Result<()> {
    let fleet = fleet_of_two().await?;
    let slow = booking(&fleet, 0, "b-8").header("x-work-us", "200000");
    let first = actix_rt::spawn(slow.send());
    wait_until("the first try to run", || async {
        let runs = runs_of(&fleet, "b-8").await.ok()?;
        (runs == 1).then_some(())
    })
    .await?;
    fleet.set_faults(json!({"lose_answers": 1})).await?;
    ensure!(first.await??.status == 200);
    replayed(&fleet, 1, "b-8").await?;
    ensure!(runs_of(&fleet, "b-8").await? == 1);
    Ok(())
}

/// Guards against a key that can't be used although its request never ran: all slots are taken,
/// so that the booking waits in the queue when its caller hangs up. The booking itself may run.
async fn queued_hang_up() -> Result<()> {
    let fleet = Fleet::start(FleetPlan {
        entries: 1,
        pools: vec![PoolPlan::new("quotes", 1)],
        ..FleetPlan::default()
    })
    .await?;
    let slow = |_| TestRequest::get(&fleet.caller_url(0, "/quotes/1")).header("x-work-us", SLOW_US);
    let slow: Vec<_> = (0..8)
        .map(slow)
        .map(|request| actix_rt::spawn(request.send()))
        .collect();
    wait_until("all slots to be taken", || async {
        let pool = fleet.status(0).await.ok()?.pools.pop()?;
        (pool.in_flight == 8).then_some(())
    })
    .await?;
    let request = b"POST /quotes/book HTTP/1.1\r\nhost: x\r\nidempotency-key: b-9\r\n\
        x-request-name: b-9\r\ncontent-length: 6\r\n\r\nhall 3";
    raw_exchange(fleet.caller_address(0), request, Duration::from_millis(150)).await?;
    for response in slow {
        ensure!(response.await??.status == 200);
    }
    replayed(&fleet, 0, "b-9").await?;
    ensure!(runs_of(&fleet, "b-9").await? == 1);
    Ok(())
}

/// Guards against two runs when tries with one key come together. There are two tries at each
/// entry, so that both are claimed in one batch.
async fn tries_at_once() -> Result<()> {
    let fleet = fleet_of_two().await?;
    for round in 0..ROUNDS {
        let key = format!("at-once-{round}");
        let tries: Vec<_> = [0, 0, 1, 1]
            .into_iter()
            .map(|entry| booking(&fleet, entry, &key).header("x-work-us", "50000"))
            .map(|request| actix_rt::spawn(request.send()))
            .collect();
        let mut ran = 0;
        for response in tries {
            let response = response.await??;
            let fresh = response.header("hoisthitch-replayed").is_none();
            ran += usize::from(response.status == 200 && fresh);
        }
        ensure!(ran == 1, "round {round}: {ran} tries were answered as run");
        ensure!(runs_of(&fleet, &key).await? == 1, "round {round}");
    }
    Ok(())
}
