//! Tests of the entry's binary beside clients that claim what they can of its memory, its
//! descriptors and its time.
//!
//! The checks don't depend on the machine's speed: the entry lives, its memory stays within its
//! limit and its connections within theirs, and ordinary callers are answered beside a crowd
//! and after it. The tests take turns, since each measures a whole process.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::{
    ClientCrowd,
    CrowdPlan,
    Fleet,
    FleetPlan,
    PoolPlan,
    TestRequest,
    UsageWatch,
    cases,
    open_connections,
    raw_exchange,
    wait_until, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    sync::Mutex,
    time::{
        Instant,
        sleep, //
    },
};

/// Memory that the entry may take, in MB.
const MEMORY_MB: u64 = 128;

/// Connections of callers that the entry may have in the tests of connections.
const CONNECTION_LIMIT: usize = 200;

/// Descriptors of an entry beside its callers' connections, with room for those that are being
/// closed.
const OTHER_DESCRIPTORS: usize = 300;

/// Crowds that come one after the other: what the first leaves behind adds to the second.
const CROWDS: usize = 2;

/// Longest time for which an unfinished request may keep its connection.
const UNFINISHED_LIMIT: Duration = Duration::from_secs(60);

/// Only one test runs at a time.
static TURN: Mutex<()> = Mutex::const_new(());

cases! {
    long_bodies_that_stop_short_of_their_end => bear(Side::Callers,
        CrowdPlan::at_once(300, body("content-length: 4194304", 4_194_204)));
    chunks_without_a_last_one => bear(Side::Callers,
        CrowdPlan::at_once(600, chunked(64 << 10, 1 << 20)));
    headers_without_an_end => bear(Side::Callers,
        CrowdPlan::at_once(2_000, endless_header(100_000)));
    pipelined_requests_whose_responses_are_not_read => bear(Side::Callers,
        CrowdPlan::at_once(100, pipelined("/quotes/1", 2_000)));
    pipelined_requests_for_an_unknown_path => bear(Side::Callers,
        CrowdPlan::at_once(100, pipelined("/nothing", 2_000)));
    pipelined_requests_of_operators => bear(Side::Operators,
        CrowdPlan::at_once(40, pipelined("/metrics", 2_000)));
    bodies_of_operators_that_stop_short_of_their_end => bear(Side::Operators,
        CrowdPlan::at_once(300, body("content-length: 2000000", 1_999_900)));
    connections_without_a_request => bear(Side::Callers, CrowdPlan::at_once(800, Vec::new()));
    connections_of_operators => bear(Side::Operators,
        CrowdPlan::at_once(800, pipelined("/ready", 1)));
    bodies_that_never_come => bear(Side::Callers,
        CrowdPlan::at_once(800, body("content-length: 10000", 100)));
    unfinished_streamed_body_ends => unfinished_ends(&body("content-length: 200000", 100_000));
    unfinished_refused_chunks_end => unfinished_ends(&chunked_to("/nothing", 100, 100));
    unread_responses_end => unread_end();
    waiting_requests_leave_room_for_others => waiting();
    odd_chunks_inside_the_limits_are_served => odd_chunks();
    slow_body_inside_the_limits_is_served => slow_body();
}

/// A listener of the entry.
#[derive(Clone, Copy)]
enum Side {
    Callers,
    Operators,
}

impl Side {
    fn address(self, fleet: &Fleet) -> Result<SocketAddr> {
        match self {
            Self::Callers => Ok(fleet.caller_address(0)),
            Self::Operators => {
                let url = fleet.operator_url(0, "");
                Ok(url.trim_start_matches("http://").parse()?)
            }
        }
    }
}

async fn start() -> Result<Fleet> {
    let settings = format!(
        "memory_limit_mb = {MEMORY_MB}\nconnection_limit = {CONNECTION_LIMIT}\nwrite_timeout = 5s"
    );
    Fleet::start(FleetPlan {
        entries: 1,
        pools: vec![PoolPlan::new("quotes", 2)],
        caller_settings: settings,
        ..FleetPlan::default()
    })
    .await
}

/// Makes a request as an ordinary caller, and one for the readiness.
async fn ordinary(fleet: &Fleet, when: &str) -> Result<()> {
    let url = fleet.caller_url(0, "/quotes/1");
    wait_until(&format!("an answer {when}"), || async {
        let response = TestRequest::post(&url, b"order").send().await.ok()?;
        (response.status == 200).then_some(())
    })
    .await?;
    let url = fleet.operator_url(0, "/ready");
    wait_until(&format!("the readiness {when}"), || async {
        let response = TestRequest::get(&url).send().await.ok()?;
        (response.status == 200).then_some(())
    })
    .await
}

/// Guards against crowds that end an entry, or that keep it from answering others.
async fn bear(side: Side, plan: CrowdPlan) -> Result<()> {
    let _turn = TURN.lock().await;
    let mut fleet = start().await?;
    ordinary(&fleet, "in calm").await?;
    let address = side.address(&fleet)?;
    let listeners = [
        Side::Callers.address(&fleet)?,
        Side::Operators.address(&fleet)?,
    ];
    let watch = UsageWatch::start(fleet.entries[0].id(), &listeners);
    for number in 1..=CROWDS {
        let crowd = ClientCrowd::gather(address, plan.clone()).await;
        ordinary(&fleet, &format!("beside crowd {number}")).await?;
        drop(crowd);
        ordinary(&fleet, &format!("after crowd {number}")).await?;
    }
    let peak = watch.finish()?;
    eprintln!(
        "peak of {} bytes and {} descriptors",
        peak.memory, peak.descriptors
    );
    ensure!(
        peak.memory <= MEMORY_MB << 20,
        "{} bytes are more than {MEMORY_MB} MB",
        peak.memory
    );
    let limit = CONNECTION_LIMIT + OTHER_DESCRIPTORS;
    ensure!(
        peak.descriptors <= limit,
        "{} descriptors are more than {limit}",
        peak.descriptors
    );
    let status = fleet.entries[0].status()?;
    ensure!(status.is_none(), "the entry ended: {status:?}");
    Ok(())
}

/// Guards against requests that never end and keep their connection, also after their refusal.
async fn unfinished_ends(bytes: &[u8]) -> Result<()> {
    let _turn = TURN.lock().await;
    let fleet = start().await?;
    let response = raw_exchange(fleet.caller_address(0), bytes, UNFINISHED_LIMIT).await?;
    ensure!(
        response.closed,
        "the connection is open: {}",
        response.text()
    );
    ensure!(response.count("HTTP/1.1 2") == 0, "{}", response.text());
    Ok(())
}

/// Guards against a client that reads none of its responses and keeps them for as long as it
/// likes.
async fn unread_end() -> Result<()> {
    let _turn = TURN.lock().await;
    let fleet = start().await?;
    let address = Side::Operators.address(&fleet)?;
    let requests = pipelined("/metrics", 10_000);
    let crowd = ClientCrowd::gather(address, CrowdPlan::at_once(4, requests)).await;
    let limit = Instant::now() + UNFINISHED_LIMIT;
    while open_connections(address)? > 0 {
        ensure!(Instant::now() < limit, "connections are kept");
        sleep(Duration::from_millis(100)).await;
    }
    drop(crowd);
    Ok(())
}

/// Guards against whole requests that wait for a slot for as long as they like, and so take all
/// connections from the callers of another pool.
async fn waiting() -> Result<()> {
    let _turn = TURN.lock().await;
    let busy = PoolPlan {
        work_us: 600_000_000,
        ..PoolPlan::new("busy", 1)
    };
    let settings = format!("memory_limit_mb = {MEMORY_MB}\nconnection_limit = {CONNECTION_LIMIT}");
    let fleet = Fleet::start(FleetPlan {
        entries: 1,
        pools: vec![PoolPlan::new("quotes", 2), busy],
        caller_settings: settings,
        ..FleetPlan::default()
    })
    .await?;
    ordinary(&fleet, "in calm").await?;
    let request = b"GET /busy/1 HTTP/1.1\r\nhost: x\r\nhoisthitch-deadline-ms: 86400000\r\n\r\n";
    let plan = CrowdPlan::at_once(2 * CONNECTION_LIMIT, request.to_vec());
    let _crowd = ClientCrowd::gather(fleet.caller_address(0), plan).await;
    ordinary(&fleet, "beside requests that wait").await
}

/// Guards against limits that an honest caller meets whose body comes in chunks of one byte.
async fn odd_chunks() -> Result<()> {
    let _turn = TURN.lock().await;
    let fleet = start().await?;
    let mut request = chunked_to("/quotes/1", 1, 100_000);
    request.extend_from_slice(b"0\r\n\r\n");
    let quiet = Duration::from_secs(10);
    let response = raw_exchange(fleet.caller_address(0), &request, quiet).await?;
    ensure!(response.count("HTTP/1.1 200") == 1, "{}", response.text());
    Ok(())
}

/// Guards against limits that an honest caller meets that sends slowly, within its time.
async fn slow_body() -> Result<()> {
    let _turn = TURN.lock().await;
    let fleet = start().await?;
    let request = body("content-length: 100000", 100_000);
    let mut stream = TcpStream::connect(fleet.caller_address(0)).await?;
    for piece in request.chunks(20_000) {
        stream.write_all(piece).await?;
        sleep(Duration::from_millis(300)).await;
    }
    let mut response = vec![0; 1 << 10];
    let length = stream.read(&mut response).await?;
    let text = String::from_utf8_lossy(&response[..length]);
    ensure!(text.starts_with("HTTP/1.1 200"), "{text}");
    Ok(())
}

/// A request with a body of which `sent` bytes are sent.
fn body(length: &str, sent: usize) -> Vec<u8> {
    let head = format!("POST /quotes/1 HTTP/1.1\r\nhost: x\r\n{length}\r\n\r\n");
    let mut request = head.into_bytes();
    request.resize(request.len() + sent, b'x');
    request
}

/// A request in chunks of `size` bytes, `total` bytes together, without the last chunk.
fn chunked(size: usize, total: usize) -> Vec<u8> {
    chunked_to("/quotes/1", size, total)
}

fn chunked_to(path: &str, size: usize, total: usize) -> Vec<u8> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n");
    let mut request = head.into_bytes();
    let chunk = [
        format!("{size:x}\r\n").into_bytes(),
        vec![b'x'; size],
        b"\r\n".to_vec(),
    ]
    .concat();
    for _ in 0..total / size {
        request.extend_from_slice(&chunk);
    }
    request
}

/// A request with one header line of `length` bytes that does not end.
fn endless_header(length: usize) -> Vec<u8> {
    let mut request = b"GET /quotes/1 HTTP/1.1\r\nhost: x\r\nx-long: ".to_vec();
    request.resize(request.len() + length, b'x');
    request
}

/// `count` whole requests for a path, one after the other.
fn pipelined(path: &str, count: usize) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n")
        .repeat(count)
        .into_bytes()
}
