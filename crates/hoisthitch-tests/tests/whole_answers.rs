//! Outcomes and complete responses: what a caller gets when runners, callers or the connections
//! between them fail.
//!
//! The tests guard against incomplete responses that are passed on as complete, responses that
//! reach the wrong caller, requests that are sent twice, and smuggled requests.

use std::time::Duration;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    PoolPlan,
    ScriptStep::{
        self,
        Read,
        Reset,
        Send,
        Wait, //
    },
    ScriptedRunner,
    TestRequest,
    cases,
    raw_exchange,
    wait_until, //
};

/// Port of the scripted runner.
const OWN_PORT: u16 = 9_500;

/// Time without a byte after which a raw response is taken as ended.
const QUIET: Duration = Duration::from_secs(2);

cases! {
    short_length_is_not_passed_as_whole => cut_small(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc");
    missing_last_chunk_is_not_passed_as_whole => cut_small(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n");
    cut_long_answer_ends_the_connection => cut_long();
    body_that_ends_with_the_connection_is_whole => close_delimited();
    request_read_and_not_answered_is_unknown_and_sent_once => unanswered(vec![Read]);
    request_read_and_reset_is_unknown_and_sent_once => unanswered(vec![Read, Reset]);
    malformed_answer_is_unknown_and_sent_once => unanswered(vec![Read, Send(b"nonsense\r\n\r\n".to_vec())]);
    oversize_answer_head_is_unknown_and_sent_once => unanswered(vec![Read, Send(oversize_head())]);
    second_answer_does_not_reach_another_caller => two_answers(Duration::ZERO);
    late_second_answer_does_not_reach_another_caller => two_answers(Duration::from_millis(150));
    late_answer_does_not_reach_another_caller => late_answer();
    refused_connection_is_not_run => refused();
    refused_connection_goes_to_another_runner => refused_with_spare();
    repeatable_request_goes_to_another_runner => repeated();
    caller_that_hangs_up_does_not_stop_the_send => hang_up();
    both_lengths_are_refused => smuggle(b"POST /quotes/a HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /quotes/b HTTP/1.1\r\nhost: x\r\n\r\n");
    two_lengths_are_refused => smuggle(b"POST /quotes/a HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ncontent-length: 40\r\n\r\nabcdGET /quotes/b HTTP/1.1\r\nhost: x\r\n\r\n");
    bad_chunk_size_is_refused => smuggle(b"POST /quotes/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n");
    oversize_request_head_is_refused => smuggle(&oversize_request());
    oversize_body_is_not_run => oversize_body();
    long_bodies_pass_whole_both_ways => long_bodies();
    head_answer_keeps_its_length => head_answer();
    problem_details_carry_the_outcome => problem_details();
}

/// Starts a fleet with one entry and a scripted runner.
async fn scripted(script: Vec<ScriptStep>) -> Result<(Fleet, ScriptedRunner)> {
    let mut fleet = Fleet::start(FleetPlan {
        entries: 1,
        pools: vec![PoolPlan::new("quotes", 0)],
        ..FleetPlan::default()
    })
    .await?;
    let address = fleet.own_address(OWN_PORT);
    let runner = ScriptedRunner::start(address, script).await?;
    fleet.add_runner("quotes", address).await?;
    Ok((fleet, runner))
}

async fn cut_small(response: &[u8]) -> Result<()> {
    let (fleet, runner) = scripted(vec![Read, Send(response.to_vec())]).await?;
    let url = fleet.caller_url(0, "/quotes/1");
    let response = TestRequest::post(&url, b"order").send().await?;
    ensure!(response.status == 502, "status {}", response.status);
    ensure!(
        response.outcome() == "ran",
        "outcome {}",
        response.outcome()
    );
    ensure!(runner.requests().len() == 1);
    Ok(())
}

async fn cut_long() -> Result<()> {
    let mut response = b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n".to_vec();
    response.extend(vec![b'x'; 200_000]);
    let (fleet, _runner) = scripted(vec![Read, Send(response)]).await?;
    let request = b"GET /quotes/1 HTTP/1.1\r\nhost: x\r\n\r\n";
    let response = raw_exchange(fleet.caller_address(0), request, QUIET).await?;
    ensure!(response.closed, "the connection stayed open");
    ensure!(response.text().contains("content-length: 1000000"));
    ensure!(response.bytes.len() < 1_000_000);
    Ok(())
}

async fn close_delimited() -> Result<()> {
    let response = b"HTTP/1.1 200 OK\r\n\r\nall of it".to_vec();
    let (fleet, _runner) = scripted(vec![Read, Send(response)]).await?;
    let response = TestRequest::get(&fleet.caller_url(0, "/quotes/1"))
        .send()
        .await?;
    ensure!(response.status == 200 && response.text() == "all of it");
    Ok(())
}

async fn unanswered(script: Vec<ScriptStep>) -> Result<()> {
    let (fleet, runner) = scripted(script).await?;
    let url = fleet.caller_url(0, "/quotes/1");
    let response = TestRequest::post(&url, b"order").send().await?;
    ensure!(response.status == 504, "status {}", response.status);
    ensure!(
        response.outcome() == "unknown",
        "outcome {}",
        response.outcome()
    );
    ensure!(
        runner.requests().len() == 1,
        "sent {} times",
        runner.requests().len()
    );
    Ok(())
}

async fn two_answers(pause: Duration) -> Result<()> {
    let first = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst".to_vec();
    let second = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond".to_vec();
    let script = vec![
        Read,
        Send(first),
        Wait(pause),
        Send(second),
        Read,
        Wait(QUIET),
    ];
    let (fleet, _runner) = scripted(script).await?;
    for _ in 0..5 {
        let url = fleet.caller_url(0, "/quotes/1");
        let response = TestRequest::get(&url).send().await?;
        ensure!(response.text() == "first", "got {}", response.text());
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    Ok(())
}

async fn late_answer() -> Result<()> {
    let late = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate".to_vec();
    let (fleet, runner) =
        scripted(vec![Read, Wait(Duration::from_millis(700)), Send(late)]).await?;
    let url = fleet.caller_url(0, "/quotes/1");
    let hurried = TestRequest::post(&url, b"order").header("hoisthitch-deadline-ms", "200");
    let response = hurried.send().await?;
    ensure!(response.status == 504 && response.outcome() == "unknown");
    let response = TestRequest::post(&url, b"another").send().await?;
    ensure!(response.status == 200 && response.text() == "late");
    let requests = runner.requests();
    ensure!(requests.len() == 2 && requests[1].ends_with("another"));
    Ok(())
}

async fn refused() -> Result<()> {
    let mut fleet = Fleet::start(FleetPlan {
        entries: 1,
        pools: vec![PoolPlan::new("quotes", 0)],
        ..FleetPlan::default()
    })
    .await?;
    let unused = fleet.own_address(OWN_PORT);
    fleet.add_runner("quotes", unused).await?;
    let url = fleet.caller_url(0, "/quotes/1");
    let response = TestRequest::post(&url, b"order").send().await?;
    ensure!(response.status == 503 && response.outcome() == "not-run");
    ensure!(response.header("retry-after").is_some());
    Ok(())
}

async fn refused_with_spare() -> Result<()> {
    let mut fleet = Fleet::start(FleetPlan {
        entries: 1,
        pools: vec![PoolPlan::new("quotes", 1)],
        ..FleetPlan::default()
    })
    .await?;
    let unused = fleet.own_address(OWN_PORT);
    fleet.add_runner("quotes", unused).await?;
    let url = fleet.caller_url(0, "/quotes/1");
    for _ in 0..20 {
        let response = TestRequest::post(&url, b"order").send().await?;
        ensure!(response.status == 200, "status {}", response.status);
    }
    Ok(())
}

async fn repeated() -> Result<()> {
    let mut fleet = Fleet::start(FleetPlan {
        entries: 1,
        pools: vec![PoolPlan::new("quotes", 1)],
        ..FleetPlan::default()
    })
    .await?;
    let address = fleet.own_address(OWN_PORT);
    let _runner = ScriptedRunner::start(address, vec![Read, Reset]).await?;
    fleet.add_runner("quotes", address).await?;
    let url = fleet.caller_url(0, "/quotes/1");
    for _ in 0..5 {
        let response = TestRequest::get(&url).send().await?;
        ensure!(response.status == 200, "status {}", response.status);
    }
    Ok(())
}

async fn hang_up() -> Result<()> {
    let fleet = Fleet::start(FleetPlan {
        entries: 1,
        pools: vec![PoolPlan::new("quotes", 1)],
        ..FleetPlan::default()
    })
    .await?;
    let request = b"POST /quotes/1 HTTP/1.1\r\nhost: x\r\nx-request-name: gone\r\n\
        x-work-us: 400000\r\ncontent-length: 5\r\n\r\norder";
    raw_exchange(fleet.caller_address(0), request, Duration::from_millis(100)).await?;
    let run = wait_until("the run to end", || async {
        let runs = fleet.journal(0).await.ok()?;
        runs.into_iter().find(|run| run.end_us.is_some())
    })
    .await?;
    ensure!(run.name == "gone");
    wait_until("the slot to come free", || async {
        let status = fleet.status(0).await.ok()?;
        (status.pools[0].in_flight == 0).then_some(())
    })
    .await?;
    ensure!(fleet.journal(0).await?.len() == 1);
    Ok(())
}

async fn smuggle(request: &[u8]) -> Result<()> {
    let ok = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok".to_vec();
    let (fleet, runner) = scripted(vec![Read, Send(ok)]).await?;
    let response = raw_exchange(fleet.caller_address(0), request, QUIET).await?;
    ensure!(response.closed, "the connection stayed open");
    ensure!(response.count("HTTP/1.1 200") == 0, "{}", response.text());
    ensure!(response.count("HTTP/1.1 4") == 1, "{}", response.text());
    ensure!(runner.requests().is_empty(), "{:?}", runner.requests());
    Ok(())
}

async fn oversize_body() -> Result<()> {
    let fleet = Fleet::start(FleetPlan {
        entries: 1,
        caller_settings: "body_limit_bytes = 100000".to_owned(),
        ..FleetPlan::default()
    })
    .await?;
    let request = b"POST /quotes/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 100001\r\n\r\n";
    let response = raw_exchange(fleet.caller_address(0), request, QUIET).await?;
    ensure!(response.count("HTTP/1.1 413") == 1, "{}", response.text());
    ensure!(response.text().contains("hoisthitch-outcome: not-run"));
    Ok(())
}

async fn long_bodies() -> Result<()> {
    let fleet = Fleet::start(FleetPlan {
        entries: 1,
        ..FleetPlan::default()
    })
    .await?;
    let body: Vec<u8> = (0..5_000_000_u32).map(|n| (n % 251) as u8).collect();
    let response = TestRequest::post(&fleet.caller_url(0, "/quotes/1"), &body)
        .send()
        .await?;
    ensure!(response.status == 200, "status {}", response.status);
    ensure!(response.body == body, "the body came back changed");
    Ok(())
}

async fn head_answer() -> Result<()> {
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\r\n".to_vec();
    let (fleet, _runner) = scripted(vec![Read, Send(response)]).await?;
    let request = b"HEAD /quotes/1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let response = raw_exchange(fleet.caller_address(0), request, QUIET).await?;
    let text = response.text().to_ascii_lowercase();
    ensure!(text.contains("content-length: 1234\r\n"), "{text}");
    ensure!(text.ends_with("\r\n\r\n"), "{text}");
    Ok(())
}

async fn problem_details() -> Result<()> {
    let (fleet, _runner) = scripted(vec![Read]).await?;
    let url = fleet.caller_url(0, "/quotes/1");
    let response = TestRequest::post(&url, b"order").send().await?;
    ensure!(response.header("content-type") == Some("application/problem+json"));
    let problem: serde_json::Value = response.json()?;
    ensure!(problem["outcome"] == "unknown");
    ensure!(problem["status"] == 504);
    ensure!(problem["type"] == "/problems/no-answer");
    Ok(())
}

/// A response whose head is longer than an entry accepts.
fn oversize_head() -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nx-long: {}\r\n\r\n", "x".repeat(200_000)).into_bytes()
}

/// A request whose head is longer than an entry accepts.
fn oversize_request() -> Vec<u8> {
    format!(
        "GET /quotes/a HTTP/1.1\r\nx-long: {}\r\n\r\n",
        "x".repeat(300_000)
    )
    .into_bytes()
}
