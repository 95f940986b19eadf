//! The load driver: open loop, with latencies from the time that a request was
//! due, so that a stalled server does not hide its stalls.

use std::{
    rc::Rc,
    thread,
    time::Duration, //
};

use argh::FromArgs;
use awc::{
    Client,
    http::Method, //
};
use eyre::{
    Result,
    eyre, //
};
use tokio::time::Instant;

use crate::report::LoadReport;

/// Highest rate, in requests a second.
const RATE_LIMIT: u32 = 50_000;

/// Longest load.
const TIME_LIMIT: Duration = Duration::from_secs(120);

/// Longest time that an answer is waited for.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// Threads of one stream of requests.
const THREADS: u32 = 2;

/// One stream of requests.
#[derive(Clone, Debug)]
pub struct LoadStream {
    /// Name in reports.
    pub name: String,
    /// Addresses, used in turn.
    pub urls: Vec<String>,
    /// Method.
    pub method: Method,
    /// Headers of each request.
    pub headers: Vec<(String, String)>,
    /// Body of each request.
    pub body: Vec<u8>,
    /// Requests a second.
    pub rate: u32,
    /// Time from the first request due to the last.
    pub time: Duration,
}

impl LoadStream {
    /// A stream of GETs.
    pub fn get(name: &str, urls: Vec<String>, rate: u32, time: Duration) -> Self {
        Self {
            name: name.to_owned(),
            urls,
            method: Method::GET,
            headers: Vec::new(),
            body: Vec::new(),
            rate: rate.min(RATE_LIMIT),
            time: time.min(TIME_LIMIT),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// Sends all streams at once; answers with a report for each.
///
/// # Errors
///
/// Fails when a thread can't be started.
pub fn drive(streams: &[LoadStream]) -> Result<Vec<LoadReport>> {
    let mut threads = Vec::new();
    for stream in streams {
        for part in 0..THREADS {
            let stream = stream.clone();
            let thread = thread::Builder::new()
                .name(format!("load-{part}"))
                .spawn(move || actix_rt::System::new().block_on(send_part(stream, part)))?;
            threads.push(thread);
        }
    }
    let mut parts = Vec::new();
    for thread in threads {
        let part = thread.join().map_err(|_| eyre!("a load thread failed"))?;
        parts.push(part);
    }
    let reports = parts.chunks(THREADS as usize).zip(streams);
    Ok(reports
        .map(|(parts, stream)| LoadReport::merged(&stream.name, stream.time, parts))
        .collect())
}

/// Sends each `THREADS`-th request of a stream, starting with number `part`.
async fn send_part(stream: LoadStream, part: u32) -> LoadReport {
    let client = Client::builder()
        .timeout(ANSWER_LIMIT)
        .connector(awc::Connector::new().limit(0).timeout(ANSWER_LIMIT))
        .finish();
    let stream = Rc::new(stream);
    let start = Instant::now();
    let interval = Duration::from_secs(1) / stream.rate.max(1);
    let mut sends = Vec::new();
    let mut number = part;
    loop {
        let due = interval * number;
        if due >= stream.time {
            break;
        }
        tokio::time::sleep_until(start + due).await;
        let send = send_one(client.clone(), stream.clone(), number, start, start + due);
        sends.push(actix_rt::spawn(send));
        number += THREADS;
    }
    let mut report = LoadReport::new(&stream.name, stream.time);
    for send in sends {
        match send.await {
            Ok(sample) => report.add(&sample),
            Err(_) => report.add(&LoadSample::failed()),
        }
    }
    report
}

/// What came of one request.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// Time from when it was due to the end of its answer.
    pub latency: Duration,
    /// Time from when it was sent to the end of its answer.
    pub service: Duration,
    /// Time from the start of the load to the end of the answer.
    pub ended: Duration,
    /// Status; zero where there was no answer.
    pub status: u16,
}

impl LoadSample {
    fn failed() -> Self {
        Self {
            latency: ANSWER_LIMIT,
            service: ANSWER_LIMIT,
            ended: Duration::ZERO,
            status: 0,
        }
    }
}

async fn send_one(
    client: Client,
    stream: Rc<LoadStream>,
    number: u32,
    start: Instant,
    due: Instant,
) -> LoadSample {
    let sent = Instant::now();
    let url = &stream.urls[number as usize % stream.urls.len()];
    let mut request = client.request(stream.method.clone(), url);
    for (name, value) in &stream.headers {
        request = request.insert_header((name.as_str(), value.as_str()));
    }
    let Ok(mut response) = request.send_body(stream.body.clone()).await else {
        return LoadSample::failed();
    };
    let status = response.status().as_u16();
    if response.body().await.is_err() {
        return LoadSample::failed();
    }
    LoadSample {
        latency: due.elapsed(),
        service: sent.elapsed(),
        ended: start.elapsed(),
        status,
    }
}

/// send GETs at a steady rate to addresses in turn
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drive",
    example = "hoisthitch-load drive --rate 500 --seconds 10 http://127.0.0.1:8080/quotes/1"
)]
pub struct DriveCommand {
    /// requests a second (at most 50000)
    #[argh(option, default = "100")]
    rate: u32,
    /// time of the load, in seconds (at most 120)
    #[argh(option, default = "10")]
    seconds: u64,
    /// header of each request, as name=value
    #[argh(option)]
    header: Vec<String>,
    /// addresses on loopback
    #[argh(positional)]
    urls: Vec<String>,
}

impl DriveCommand {
    /// Sends the load and prints the report.
    ///
    /// # Errors
    ///
    /// Fails on an address that is not on loopback.
    pub fn run(self) -> Result<()> {
        if self.urls.is_empty() {
            return Err(eyre!("name at least one address"));
        }
        for url in &self.urls {
            if !url.starts_with("http://127.") {
                return Err(eyre!(
                    "{url} is not on loopback; loads go to 127.0.0.0/8 only"
                ));
            }
        }
        let time = Duration::from_secs(self.seconds);
        let mut stream = LoadStream::get("drive", self.urls, self.rate, time);
        for header in &self.header {
            let (name, value) = header
                .split_once('=')
                .ok_or_else(|| eyre!("'{header}' is not name=value"))?;
            stream = stream.header(name, value);
        }
        for report in drive(&[stream])? {
            println!("{report}");
        }
        Ok(())
    }
}
