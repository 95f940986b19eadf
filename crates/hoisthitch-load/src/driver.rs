//! Open-loop load driver.
//!
//! Given [`LoadStream`]s, [`drive`] sends each one's requests at a fixed rate,
//! whether or not earlier requests have completed, and returns a [`LoadReport`]
//! for each. Latency is measured from the time at which a request was due, not
//! from when it was sent, so that a stalled server does not hide its stalls.

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

/// Highest rate of a stream, in requests per second.
const MAX_REQUESTS_PER_S: u32 = 50_000;

/// Longest duration of a stream.
const MAX_DURATION: Duration = Duration::from_secs(120);

/// Time to wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Worker threads per stream.
const THREADS_PER_STREAM: u32 = 2;

/// Requests sent at a fixed rate.
#[derive(Clone, Debug)]
pub struct LoadStream {
    /// Name in reports.
    pub name: String,
    /// URLs, used in turn.
    pub urls: Vec<String>,
    /// HTTP method.
    pub method: Method,
    /// Headers of each request.
    pub headers: Vec<(String, String)>,
    /// Body of each request.
    pub body: Vec<u8>,
    /// Requests per second.
    pub rate: u32,
    /// Duration of the load; every request is due within it.
    pub duration: Duration,
}

impl LoadStream {
    /// Creates a stream of GET requests, within the limits of rate and duration.
    pub fn get(name: &str, urls: Vec<String>, rate: u32, duration: Duration) -> Self {
        Self {
            name: name.to_owned(),
            urls,
            method: Method::GET,
            headers: Vec::new(),
            body: Vec::new(),
            rate: rate.min(MAX_REQUESTS_PER_S),
            duration: duration.min(MAX_DURATION),
        }
    }

    /// Adds a header to every request.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// Sends all streams concurrently and returns one report per stream, in order.
///
/// # Errors
///
/// Fails if a thread cannot be started or panics.
pub fn drive(streams: &[LoadStream]) -> Result<Vec<LoadReport>> {
    let mut threads = Vec::new();
    for stream in streams {
        for worker in 0..THREADS_PER_STREAM {
            let stream = stream.clone();
            let thread = thread::Builder::new()
                .name(format!("load-{worker}"))
                .spawn(move || actix_rt::System::new().block_on(run_worker(stream, worker)))?;
            threads.push(thread);
        }
    }
    let mut reports = Vec::new();
    for thread in threads {
        let report = thread.join().map_err(|_| eyre!("a load thread panicked"))?;
        reports.push(report);
    }
    let reports = reports.chunks(THREADS_PER_STREAM as usize).zip(streams);
    Ok(reports
        .map(|(reports, stream)| LoadReport::merge(&stream.name, stream.duration, reports))
        .collect())
}

/// Sends every [`THREADS_PER_STREAM`]th request of a stream, starting with number
/// `worker`.
async fn run_worker(stream: LoadStream, worker: u32) -> LoadReport {
    let client = Client::builder()
        .timeout(RESPONSE_TIMEOUT)
        .connector(awc::Connector::new().limit(0).timeout(RESPONSE_TIMEOUT))
        .finish();
    let stream = Rc::new(stream);
    let start = Instant::now();
    let interval = Duration::from_secs(1) / stream.rate.max(1);
    let mut sends = Vec::new();
    let mut number = worker;
    loop {
        let due = interval * number;
        if due >= stream.duration {
            break;
        }
        tokio::time::sleep_until(start + due).await;
        let send = send_one(client.clone(), stream.clone(), number, start, start + due);
        sends.push(actix_rt::spawn(send));
        number += THREADS_PER_STREAM;
    }
    let mut report = LoadReport::new(&stream.name, stream.duration);
    for send in sends {
        match send.await {
            Ok(sample) => report.record_sample(&sample),
            Err(_) => report.record_sample(&LoadSample::failed()),
        }
    }
    report
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// Time from when the request was due to the end of its response.
    pub latency: Duration,
    /// Time from when the request was sent to the end of its response.
    pub service_time: Duration,
    /// Time from the start of the load to the end of the response.
    pub ended_after: Duration,
    /// HTTP status; zero if there was no complete response.
    pub status: u16,
}

impl LoadSample {
    fn failed() -> Self {
        Self {
            latency: RESPONSE_TIMEOUT,
            service_time: RESPONSE_TIMEOUT,
            ended_after: Duration::ZERO,
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
        service_time: sent.elapsed(),
        ended_after: start.elapsed(),
        status,
    }
}

/// send GET requests at a fixed rate, to each address in turn
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drive",
    example = "hoisthitch-load drive --rate 500 --seconds 10 http://127.0.0.1:8080/quotes/1"
)]
pub struct DriveCommand {
    /// requests per second (at most 50000)
    #[argh(option, default = "100")]
    rate: u32,
    /// duration of the load, in seconds (at most 120)
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
    /// Fails if there is no address, an address is not on loopback, a header is not
    /// `name=value` or a thread cannot be started.
    pub fn run(self) -> Result<()> {
        if self.urls.is_empty() {
            return Err(eyre!("at least one address is required"));
        }
        for url in &self.urls {
            if !url.starts_with("http://127.") {
                return Err(eyre!(
                    "{url} is not on loopback; loads go to 127.0.0.0/8 only"
                ));
            }
        }
        let duration = Duration::from_secs(self.seconds);
        let mut stream = LoadStream::get("drive", self.urls, self.rate, duration);
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
