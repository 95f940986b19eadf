//! Planned stops of entries: no request may be lost, cut short or run twice.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

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
    wait_until, //
};
use tokio::time::Instant;

cases! {
    requests_under_way_and_queued_end_well => under_way_and_queued();
    second_signal_refuses_what_is_queued => second_signal();
    readiness_goes_before_the_listener => readiness_first();
    rolling_replacement_loses_and_doubles_nothing => rolling();
}

/// A fleet with one runner with 8 slots, so that 16 simultaneous requests run in two rounds.
async fn narrow_fleet(settings: &str) -> Result<Fleet> {
    Fleet::start(FleetPlan {
        entries: 1,
        pools: vec![PoolPlan::new("quotes", 1)],
        caller_settings: settings.to_owned(),
        ..FleetPlan::default()
    })
    .await
}

type Answers = Vec<tokio::task::JoinHandle<Result<TestResponse>>>;

/// Sends 16 requests of 500 ms and waits until 8 run and 8 wait.
async fn send_two_rounds(fleet: &Fleet) -> Result<Answers> {
    let answers = (0..16)
        .map(|number| {
            TestRequest::post(&fleet.caller_url(0, "/quotes/1"), b"order")
                .header("x-request-name", &format!("s-{number}"))
                .header("x-work-us", "500000")
        })
        .map(|request| actix_rt::spawn(request.send()))
        .collect();
    wait_until("8 to run and 8 to wait", || async {
        let pool = fleet.status(0).await.ok()?.pools.pop()?;
        (pool.in_flight == 8 && pool.queued == 8).then_some(())
    })
    .await?;
    Ok(answers)
}

async fn under_way_and_queued() -> Result<()> {
    let mut fleet = narrow_fleet("stop_notice = 100ms").await?;
    let answers = send_two_rounds(&fleet).await?;
    fleet.entries[0].signal("TERM")?;
    for response in answers {
        let response = response.await??;
        ensure!(response.status == 200 && response.body == b"order");
    }
    let status = fleet.entries[0].ended().await?;
    ensure!(status.success(), "{status}");
    ensure!(fleet.all_runs().await?.len() == 16);
    let log = fleet.entries[0].log()?;
    let last = log.lines().last().unwrap_or_default();
    ensure!(last.contains("event=stopped"), "the log ends with: {last}");
    Ok(())
}

async fn second_signal() -> Result<()> {
    let mut fleet = narrow_fleet("stop_notice = 10s").await?;
    let answers = send_two_rounds(&fleet).await?;
    fleet.entries[0].signal("TERM")?;
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.entries[0].signal("TERM")?;
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for response in answers {
        let response = response.await??;
        *outcomes.entry(response.outcome().to_owned()).or_default() += 1;
    }
    let status = fleet.entries[0].ended().await?;
    ensure!(status.success(), "{status}");
    let ran = outcomes.get("ran").copied().unwrap_or(0);
    let not_run = outcomes.get("not-run").copied().unwrap_or(0);
    ensure!(ran + not_run == 16 && not_run > 0, "{outcomes:?}");
    ensure!(fleet.all_runs().await?.len() == ran);
    Ok(())
}

async fn readiness_first() -> Result<()> {
    let mut fleet = narrow_fleet("stop_notice = 1s").await?;
    fleet.entries[0].signal("TERM")?;
    wait_until("the entry to be no longer ready", || async {
        let url = fleet.operator_url(0, "/ready");
        let response = TestRequest::get(&url).send().await.ok()?;
        (response.status == 503).then_some(())
    })
    .await?;
    let url = fleet.caller_url(0, "/quotes/1");
    let response = TestRequest::post(&url, b"order").send().await?;
    ensure!(response.status == 200, "status {}", response.status);
    ensure!(response.header("connection") == Some("close"));
    let status = fleet.entries[0].ended().await?;
    ensure!(status.success(), "{status}");
    Ok(())
}

/// Six entries are restarted one after another while callers send requests: each request must run
/// exactly once.
async fn rolling() -> Result<()> {
    const ENTRIES: usize = 6;
    let mut fleet = Fleet::start(FleetPlan {
        entries: ENTRIES,
        pools: vec![PoolPlan::new("quotes", 4)],
        caller_settings: "stop_notice = 700ms".to_owned(),
        ..FleetPlan::default()
    })
    .await?;
    let urls: Vec<(String, String)> = (0..ENTRIES)
        .map(|entry| {
            let ready = fleet.operator_url(entry, "/ready");
            (ready, fleet.caller_url(entry, "/quotes/1"))
        })
        .collect();
    let end = std::rc::Rc::new(std::cell::Cell::new(false));
    let callers: Vec<_> = (0..8)
        .map(|caller| actix_rt::spawn(call_until(urls.clone(), caller, end.clone())))
        .collect();
    for entry in 0..ENTRIES {
        fleet.entries[entry].signal("TERM")?;
        let status = fleet.entries[entry].ended().await?;
        ensure!(status.success(), "{status}");
        fleet.start_entry(entry)?;
        fleet.wait_for_routes().await?;
    }
    end.set(true);
    let mut sent = 0;
    for caller in callers {
        sent += caller.await??;
    }
    let runs = fleet.all_runs().await?;
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for run in &runs {
        *counts.entry(run.name.as_str()).or_default() += 1;
    }
    ensure!(
        counts.values().all(|count| *count == 1),
        "a request ran twice"
    );
    ensure!(counts.len() == sent, "{} ran of {sent}", counts.len());
    ensure!(sent > 100, "only {sent} requests were sent");
    Ok(())
}

/// A caller behind a load balancer that checks the readiness of entries every 200 ms; returns the
/// number of requests, all of which must have run.
async fn call_until(
    urls: Vec<(String, String)>,
    caller: usize,
    end: std::rc::Rc<std::cell::Cell<bool>>,
) -> Result<usize> {
    let mut sent = 0;
    let mut ready = Vec::new();
    let mut looked: Option<Instant> = None;
    while !end.get() {
        if looked.is_none_or(|looked| looked.elapsed() > Duration::from_millis(200)) {
            ready = ready_urls(&urls).await;
            looked = Some(Instant::now());
        }
        ensure!(!ready.is_empty(), "no entry is ready");
        let url = &ready[sent % ready.len()];
        let request = TestRequest::post(url, b"order")
            .header("x-request-name", &format!("c-{caller}-{sent}"))
            .header("x-work-us", "5000");
        let response = request.send().await?;
        ensure!(
            response.status == 200,
            "status {}: {}",
            response.status,
            response.text()
        );
        sent += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(sent)
}

async fn ready_urls(urls: &[(String, String)]) -> Vec<String> {
    let mut ready = Vec::new();
    for (probe, url) in urls {
        let response = TestRequest::get(probe).send().await;
        if response.is_ok_and(|response| response.status == 200) {
            ready.push(url.clone());
        }
    }
    ready
}
