//! `hoisthitch job submit --watch`, against a node with scripted responses.

use std::{
    fs,
    path::PathBuf,
    time::{
        Duration,
        Instant, //
    }, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_api::JobAnswer;
use hoisthitch_jobs::JobPhase;
use hoisthitch_tests::{
    CommandRun,
    ScriptStep::{
        self,
        Read,
        Reset,
        Send, //
    },
    ScriptedRunner,
    cases,
    run_command, //
};

cases! {
    completed_job_ends_with_code_0 => completed();
    each_change_is_one_line => changes();
    cancelled_job_ends_with_code_4 => cancelled();
    failed_job_ends_with_code_5 => failed();
    time_that_is_up_ends_with_code_6 => time_up();
    node_that_hangs_does_not_stretch_the_time => hanging_node();
    pauses_grow_while_nothing_changes => growing_pauses();
    watch_outlasts_a_node_that_fails_for_a_while => node_fails_for_a_while();
    lost_node_is_asked_until_the_time_is_up => node_lost();
    refused_submission_is_not_watched => refused();
    job_that_is_gone_ends_the_watch => gone();
    status_is_watched_alike => status_watched();
    wrong_time_ends_with_code_2 => wrong_time();
    time_without_watch_ends_with_code_2 => time_without_watch();
}

/// Node and files of one case; the files are removed at the end.
struct WatchCase {
    node: ScriptedRunner,
    folder: PathBuf,
}

impl WatchCase {
    async fn start(name: &str, script: Vec<ScriptStep>) -> Result<Self> {
        let node = ScriptedRunner::start(([127, 0, 0, 1], 0).into(), script).await?;
        let name = format!("hoisthitch-watch-{}-{name}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let settings = format!(
            "[operator]\nentry = http://127.0.0.1:1\ntoken = secret\njobs = http://{}\n",
            node.address()
        );
        fs::write(folder.join("hoisthitch.ini"), settings)?;
        fs::write(folder.join("job.json"), r#"{ "steps": [{ "count": 2 }] }"#)?;
        Ok(Self { node, folder })
    }

    fn path(&self, file: &str) -> String {
        self.folder.join(file).display().to_string()
    }

    async fn run(&self, words: &[&str]) -> Result<CommandRun> {
        let settings = self.path("hoisthitch.ini");
        run_command(&[&["--settings", settings.as_str()], words].concat()).await
    }

    /// Submits a job and watches it.
    async fn watch(&self, words: &[&str]) -> Result<CommandRun> {
        let file = self.path("job.json");
        let submit = ["job", "submit", "q", &file, "--id", "j1", "--watch"];
        self.run(&[&submit, words].concat()).await
    }

    /// Number of requests to the node that begin with `method`.
    fn calls(&self, method: &str) -> usize {
        let requests = self.node.requests();
        let calls = requests.iter().filter(|text| text.starts_with(method));
        calls.count()
    }
}

impl Drop for WatchCase {
    fn drop(&mut self) {
        // A folder that can't be removed stays in the temporary directory.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn raw(status: &str, body: &str) -> ScriptStep {
    let head = "content-type: application/json\r\ncontent-length";
    Send(format!("HTTP/1.1 {status}\r\n{head}: {}\r\n\r\n{body}", body.len()).into_bytes())
}

/// A response of the node with the job's state.
fn state(phase: JobPhase, done: usize) -> Result<ScriptStep> {
    let response = JobAnswer {
        id: "j1".to_owned(),
        pool: "p".to_owned(),
        phase,
        waiting: 2 - done,
        ordered: 0,
        done,
        failed_runs: 0,
    };
    Ok(raw("200 OK", &serde_json::to_string(&response)?))
}

/// The script that reads a request before each of the responses, on one connection.
fn one_connection(responses: Vec<ScriptStep>) -> Vec<ScriptStep> {
    let steps = responses.into_iter().flat_map(|response| [Read, response]);
    steps.collect()
}

async fn completed() -> Result<()> {
    let script = one_connection(vec![
        state(JobPhase::Queued, 0)?,
        state(JobPhase::Completed, 2)?,
    ]);
    let case = WatchCase::start("completed", script).await?;
    let run = case.watch(&[]).await?;
    ensure!(run.code == Some(0), "{:?} {}", run.code, run.text);
    ensure!(case.calls("POST /jobs/j1 ") == 1 && case.calls("GET /jobs/j1 ") == 1);
    Ok(())
}

async fn changes() -> Result<()> {
    let script = one_connection(vec![
        state(JobPhase::Queued, 0)?,
        state(JobPhase::Queued, 0)?,
        state(JobPhase::Running, 0)?,
        state(JobPhase::Running, 1)?,
        state(JobPhase::Running, 1)?,
        state(JobPhase::Completed, 2)?,
    ]);
    let case = WatchCase::start("changes", script).await?;
    let run = case.watch(&[]).await?;
    let wanted = "\
        j1 Queued in pool p: 0 tasks done, 0 ordered, 2 waiting, 0 failed runs\n\
        j1 Running in pool p: 0 tasks done, 0 ordered, 2 waiting, 0 failed runs\n\
        j1 Running in pool p: 1 tasks done, 0 ordered, 1 waiting, 0 failed runs\n\
        j1 Completed in pool p: 2 tasks done, 0 ordered, 0 waiting, 0 failed runs\n";
    ensure!(run.code == Some(0) && run.text == wanted, "{}", run.text);
    Ok(())
}

/// Watches a job that ends in `phase` and checks the exit code.
async fn ends(name: &str, phase: JobPhase, code: i32) -> Result<()> {
    let script = one_connection(vec![state(JobPhase::Running, 1)?, state(phase, 1)?]);
    let case = WatchCase::start(name, script).await?;
    let run = case.watch(&["--time-limit", "30s"]).await?;
    ensure!(run.code == Some(code), "{:?} {}", run.code, run.text);
    let wanted = format!("job j1 has ended: {phase:?}");
    ensure!(run.text.contains(&wanted), "{}", run.text);
    Ok(())
}

async fn cancelled() -> Result<()> {
    ends("cancelled", JobPhase::Cancelled, 4).await
}

async fn failed() -> Result<()> {
    ends("failed", JobPhase::Failed, 5).await
}

async fn time_up() -> Result<()> {
    let script = one_connection(vec![state(JobPhase::Running, 1)?; 40]);
    let case = WatchCase::start("time-up", script).await?;
    let run = case.watch(&["--time-limit", "600ms"]).await?;
    ensure!(run.code == Some(6), "{:?} {}", run.code, run.text);
    ensure!(
        run.text.contains("job j1 is Running after 600ms"),
        "{}",
        run.text
    );
    ensure!(run.text.contains("job status j1 --watch"), "{}", run.text);
    Ok(())
}

async fn hanging_node() -> Result<()> {
    let hang = ScriptStep::Wait(Duration::from_secs(60));
    let script = vec![Read, state(JobPhase::Running, 1)?, Read, hang];
    let case = WatchCase::start("hanging", script).await?;
    let started = Instant::now();
    let run = case.watch(&["--time-limit", "1s"]).await?;
    ensure!(run.code == Some(6), "{:?} {}", run.code, run.text);
    let took = started.elapsed();
    ensure!(took < Duration::from_secs(20), "{took:?}");
    Ok(())
}

async fn growing_pauses() -> Result<()> {
    let script = one_connection(vec![state(JobPhase::Running, 1)?; 40]);
    let case = WatchCase::start("pauses", script).await?;
    let run = case.watch(&["--time-limit", "3s"]).await?;
    ensure!(run.code == Some(6), "{:?} {}", run.code, run.text);
    // The requests come after 0.25, 0.75 and 1.75 seconds at the earliest.
    let requests = case.calls("GET");
    ensure!((1..=3).contains(&requests), "{requests} requests in 3 s");
    ensure!(run.text.matches("in pool p").count() == 1, "{}", run.text);
    Ok(())
}

async fn node_fails_for_a_while() -> Result<()> {
    let fault = raw(
        "503 Service Unavailable",
        r#"{"error":"can't be read now"}"#,
    );
    let script = one_connection(vec![
        state(JobPhase::Running, 0)?,
        fault.clone(),
        fault,
        state(JobPhase::Completed, 2)?,
    ]);
    let case = WatchCase::start("for-a-while", script).await?;
    let run = case.watch(&[]).await?;
    ensure!(run.code == Some(0), "{:?} {}", run.code, run.text);
    let notices = run.text.matches("can't be read now; asking again").count();
    ensure!(notices == 1, "{}", run.text);
    Ok(())
}

async fn node_lost() -> Result<()> {
    // The script starts anew on each connection: it reports the job once, and then resets.
    let script = vec![Read, state(JobPhase::Running, 1)?, Read, Reset];
    let case = WatchCase::start("lost", script).await?;
    let run = case.watch(&["--time-limit", "2s"]).await?;
    ensure!(run.code == Some(6), "{:?} {}", run.code, run.text);
    ensure!(run.text.contains("asking again"), "{}", run.text);
    ensure!(case.calls("GET") >= 2, "{:?}", case.node.requests());
    Ok(())
}

async fn refused() -> Result<()> {
    let script = one_connection(vec![raw(
        "503 Service Unavailable",
        r#"{"error":"not taken, and will not run; hand it in again"}"#,
    )]);
    let case = WatchCase::start("refused", script).await?;
    let run = case.watch(&[]).await?;
    ensure!(run.code == Some(1), "{:?} {}", run.code, run.text);
    ensure!(run.text.contains("hand it in again") && case.calls("GET") == 0);
    Ok(())
}

async fn gone() -> Result<()> {
    let script = one_connection(vec![
        state(JobPhase::Running, 0)?,
        raw("404 Not Found", r#"{"error":"there is no such job"}"#),
    ]);
    let case = WatchCase::start("gone", script).await?;
    let run = case.watch(&[]).await?;
    ensure!(run.code == Some(1), "{:?} {}", run.code, run.text);
    ensure!(run.text.contains("no such job"), "{}", run.text);
    Ok(())
}

async fn status_watched() -> Result<()> {
    let script = one_connection(vec![
        state(JobPhase::Running, 0)?,
        state(JobPhase::Failed, 1)?,
    ]);
    let case = WatchCase::start("status", script).await?;
    let words = ["job", "status", "j1", "--watch", "--time-limit", "30s"];
    let run = case.run(&words).await?;
    ensure!(run.code == Some(5), "{:?} {}", run.code, run.text);
    Ok(())
}

async fn wrong_time() -> Result<()> {
    let case = WatchCase::start("wrong-time", Vec::new()).await?;
    let run = case.watch(&["--time-limit", "soon"]).await?;
    ensure!(run.code == Some(2), "{:?} {}", run.code, run.text);
    ensure!(run.text.contains("write it as 90s or 10m"), "{}", run.text);
    Ok(())
}

async fn time_without_watch() -> Result<()> {
    let case = WatchCase::start("without-watch", Vec::new()).await?;
    let file = case.path("job.json");
    let words = ["job", "submit", "q", &file, "--time-limit", "9s"];
    let run = case.run(&words).await?;
    ensure!(run.code == Some(2), "{:?} {}", run.code, run.text);
    ensure!(run.text.contains("add --watch"), "{}", run.text);
    ensure!(case.calls("POST") == 0, "nothing is handed in");
    Ok(())
}
