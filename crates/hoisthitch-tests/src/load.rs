//! A steady load beside a test, with checks of its answers.

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

/// Callers that send requests one after the other until they are stopped.
pub struct SteadyLoad {
    end: Rc<Cell<bool>>,
    callers: Vec<JoinHandle<Result<usize>>>,
}

impl SteadyLoad {
    /// Starts a caller for each URL; each request works for `work_us`.
    ///
    /// A request that did not run is sent again; any answer but a whole one of
    /// its own fails the load.
    pub fn start(urls: Vec<String>, work_us: u64) -> Self {
        let end = Rc::new(Cell::new(false));
        let callers = urls.into_iter().enumerate();
        let callers = callers
            .map(|(caller, url)| actix_rt::spawn(call(url, caller, work_us, end.clone())))
            .collect();
        Self { end, callers }
    }

    /// Stops the callers; answers with the number of requests that ran.
    ///
    /// # Errors
    ///
    /// Fails when a request was not answered as it should be.
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
        let ask = TestRequest::post(&url, body.as_bytes())
            .header("x-request-name", &format!("l-{caller}-{number}"))
            .header("x-work-us", &work_us.to_string());
        let Ok(answer) = ask.send().await else {
            // The entry was killed or is not there; the test knows of it.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        match answer.outcome() {
            "ran" => {
                ensure!(answer.text() == body, "got {} for {body}", answer.text());
                ran += 1;
            }
            "not-run" => tokio::time::sleep(Duration::from_millis(20)).await,
            other => ensure!(other == "unknown", "outcome {other}"),
        }
    }
    Ok(ran)
}
