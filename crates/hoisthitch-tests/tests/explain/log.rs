//! Handwritten logs, and checks of the story that `hoisthitch explain` prints for them.

use std::{
    fs,
    path::PathBuf, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::{
    CommandRun,
    run_command, //
};

/// The job of all cases.
pub const JOB: &str = "65bd3cee1af65aae";

/// A log in a file, which is removed at the end.
pub struct NodeLog(pub PathBuf);

impl NodeLog {
    pub fn write(name: &str, text: &str) -> Result<Self> {
        let name = format!("hoisthitch-explain-{}-{name}.log", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text)?;
        Ok(Self(path))
    }
}

impl Drop for NodeLog {
    fn drop(&mut self) {
        // A file that can't be removed stays in the temporary directory.
        let _ = fs::remove_file(&self.0);
    }
}

/// A log line of a node, `ms` milliseconds after the start of the log.
pub fn line(ms: u64, node: &str, event: &str) -> String {
    let (seconds, ms) = (ms / 1_000, ms % 1_000);
    let (minutes, seconds) = (seconds / 60, seconds % 60);
    format!(
        "time=2026-04-29T18:{minutes:02}:{seconds:02}.{ms:03}Z level=INFO process={node} event={event}\n"
    )
}

pub fn submitted(ms: u64, outcome: &str) -> String {
    let event =
        format!("job_call call=submit job={JOB} queue=q policy=4 took_ms=10 outcome={outcome}");
    line(ms, "node-1", &event)
}

pub fn taken(ms: u64, node: &str, age_ms: u64, restored: bool) -> String {
    let event = format!("job_taken job={JOB} queue=q pool=p age_ms={age_ms} restored={restored}");
    line(ms, node, &event)
}

pub fn ordered(ms: u64, run: u64, runner: &str, outcome: &str) -> String {
    let event = format!(
        "task_ordered task={JOB}.0.0.0 run={run} runner={runner} epoch=11 took_ms=2 outcome={outcome}"
    );
    line(ms, "node-2", &event)
}

/// The log of a job that node-1 accepted, and that node-2 took in and started on runner r-1.
pub fn started_job() -> String {
    [
        line(1_000, "node-2", "pool_taken pool=p term=1 epoch=11"),
        submitted(5_000, "accepted"),
        taken(5_010, "node-2", 20, false),
        ordered(5_020, 1, "r-1", "Started"),
    ]
    .concat()
}

pub async fn explain(name: &str, log: &str) -> Result<CommandRun> {
    let log = NodeLog::write(name, log)?;
    run_command(&["explain", JOB, "--log", &log.0.display().to_string()]).await
}

/// Explains a log, and checks that the story contains all of `wanted`; returns the story.
pub async fn check(name: &str, log: &str, wanted: &[&str]) -> Result<String> {
    let run = explain(name, log).await?;
    ensure!(run.code == Some(0), "{:?} {}", run.code, run.text);
    for wanted in wanted {
        ensure!(run.text.contains(wanted), "no '{wanted}' in:\n{}", run.text);
    }
    Ok(run.text)
}
