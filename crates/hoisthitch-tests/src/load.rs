//! A steady load in the background of a test, with checks of its responses.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use eyre::{
    Result,
    ensure, //
};
use tokio::task::JoinHandle;

use crate::http::TestRequest;

/// Callers that each send one request after another until they are stopped.
pub struct SteadyLoad {
    end: Rc<Cell<bool>>,
    callers: Vec<JoinHandle<Result<usize>>>,
}

impl SteadyLoad {
    /// Starts a caller for each URL; each request works for `work_us` microseconds.
    ///
    /// The load fails if a request that ran doesn't get its own body back, or if the outcome in a
    /// response isn't `ran`, `not-run` or `unknown`.
    pub fn start(urls: Vec<String>, work_us: u64) -> Self {
        let end = Rc::new(Cell::new(false));
        let callers = urls.into_iter().enumerate();
        let callers = callers
            .map(|(caller, url)| actix_rt::spawn(call(url, caller, work_us, end.clone())))
            .collect();
        Self { end, callers }
    }

    /// Stops the callers; returns the number of requests that ran.
    ///
    /// # Errors
    ///
    /// Fails when a response was wrong.
    pub async fn stop(self) -> Result<usize> {
        self.end.set(true);
        let mut ran = 0;
        for caller in self.callers {
            ran += caller.await??;
        }
        Ok(ran)
    }
}

async fn call(url: String, caller: usize, work_us: u64, end: Rc<Cell<bool>>) -> Result<usize> {
    let mut ran = 0;
    let mut number = 0;
    while !end.get() {
        number += 1;
        let body = format!("body-{caller}-{number}");
        let request = TestRequest::post(&url, body.as_bytes())
            .header("x-request-name", &format!("l-{caller}-{number}"))
            .header("x-work-us", &work_us.to_string());
        let Ok(response) = request.send().await else {
            // The test has killed the entry or made it unreachable.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        match response.outcome() {
            "ran" => {
                ensure!(
                    response.text() == body,
                    "got {} for {body}",
                    response.text()
                );
                ran += 1;
            }
            "not-run" => tokio::time::sleep(Duration::from_millis(20)).await,
            other => ensure!(other == "unknown", "outcome {other}"),
        }
    }
    Ok(ran)
}
