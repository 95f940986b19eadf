//! `sharing`: compares the policies that share the slots of the runners among the
//! entries, each under the same load.

use std::{
    path::PathBuf,
    time::Duration, //
};

use argh::FromArgs;
use eyre::Result;
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    PoolPlan, //
};
use serde::Serialize;

use crate::{
    driver::{
        LoadStream,
        drive, //
    },
    report::{
        LoadReport,
        write_csv, //
    }, //
};

/// Entries of the fleet.
const ENTRIES: usize = 6;

/// Runners of the pool.
const RUNNERS: usize = 8;

/// Slots per runner.
const SLOTS: u32 = 8;

/// Working time of a request, in microseconds.
const WORK_US: u64 = 50_000;

/// Sharing policies (`hoisthitch_core::SharePolicy`), separated by commas.
const POLICIES: &str = "local,even,demand";

/// compare policies that share slots among 6 entries
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "sharing")]
pub struct SharingCommand {
    /// duration of each load, in seconds (default 8)
    #[argh(option, default = "8")]
    seconds: u64,
    /// load, as a fraction of the capacity (default 0.8)
    #[argh(option, default = "0.8")]
    load: f64,
    /// sharing policies to measure, separated by commas (default all)
    #[argh(option, default = "POLICIES.to_owned()")]
    ways: String,
    /// file that the rows are written to
    #[argh(option)]
    csv: Option<PathBuf>,
}

/// Row of the CSV file: one policy under one spread of the load.
#[derive(Debug, Serialize)]
struct SharingRow {
    policy: String,
    spread: String,
    load: f64,
    good_per_s: f64,
    refused: u64,
    p50_ms: f64,
    p99_ms: f64,
    runner_wait_p99_ms: f64,
}

impl SharingCommand {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Fails if a fleet does not start, a thread cannot be started or the CSV file
    /// cannot be written.
    pub async fn run(self) -> Result<()> {
        let mut rows = Vec::new();
        for policy in self.ways.split(',') {
            for skewed in [false, true] {
                rows.push(self.measure(policy, skewed).await?);
            }
        }
        if let Some(path) = &self.csv {
            write_csv(path, &rows)?;
        }
        Ok(())
    }

    async fn measure(&self, policy: &str, skewed: bool) -> Result<SharingRow> {
        let fleet = Fleet::start(plan(policy)).await?;
        let duration = Duration::from_secs(self.seconds);
        let capacity = f64::from(SLOTS) * RUNNERS as f64 * 1e6 / WORK_US as f64;
        // CAST: rates are a few thousand a second.
        let rate = (capacity * self.load) as u32;
        let stream = LoadStream::get("sharing", urls(&fleet, skewed), rate, duration)
            .header("x-request-name", "sharing");
        let report = drive(&[stream])?.remove(0);
        let wait_p99_ms = runner_wait_p99_ms(&fleet).await?;
        let spread = if skewed { "half through one" } else { "even" };
        println!("{policy:<7} {spread:<17} {report}  wait at runners p99 {wait_p99_ms:.3} ms");
        Ok(row(policy, spread, self.load, &report, wait_p99_ms))
    }
}

fn row(policy: &str, spread: &str, load: f64, report: &LoadReport, wait_p99_ms: f64) -> SharingRow {
    SharingRow {
        policy: policy.to_owned(),
        spread: spread.to_owned(),
        load,
        good_per_s: report.good_rate(),
        refused: report.refused,
        p50_ms: report.quantile_ms(0.5),
        p99_ms: report.quantile_ms(0.99),
        runner_wait_p99_ms: wait_p99_ms,
    }
}

/// URLs of all entries in turn; if `skewed`, about every second request goes to
/// the first entry.
fn urls(fleet: &Fleet, skewed: bool) -> Vec<String> {
    let url = |entry| fleet.caller_url(entry, "/quotes/1");
    if !skewed {
        return (0..ENTRIES).map(url).collect();
    }
    // An odd number of URLs, so that each thread of the driver uses all of them.
    let others = (1..ENTRIES).flat_map(|entry| [url(0), url(entry)]);
    others.chain([url(0)]).collect()
}

async fn runner_wait_p99_ms(fleet: &Fleet) -> Result<f64> {
    let mut waits: Vec<u64> = fleet
        .all_runs()
        .await?
        .iter()
        .map(|run| run.waited_us)
        .collect();
    waits.sort_unstable();
    let index = waits.len() * 99 / 100;
    Ok(waits.get(index).copied().unwrap_or(0) as f64 / 1_000.0)
}

fn plan(policy: &str) -> FleetPlan {
    let mut pool = PoolPlan::new("quotes", RUNNERS);
    pool.work_us = WORK_US;
    pool.row.slots_per_runner = SLOTS;
    pool.row.urgent_deadline_ms = 2_800;
    FleetPlan {
        entries: ENTRIES,
        pools: vec![pool],
        share: policy.to_owned(),
        log_level: "warn".to_owned(),
        ..FleetPlan::default()
    }
}
