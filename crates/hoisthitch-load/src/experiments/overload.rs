//! `overload`: wait of urgent requests with background load beside them, and
//! goodput as a fraction of the capacity, when the load exceeds the capacity.

use std::{
    path::PathBuf,
    time::Duration, //
};

use argh::FromArgs;
use eyre::Result;
use hoisthitch_core::{
    PaidPriority,
    TeamRow, //
};
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

/// Runners of the pool.
const RUNNERS: usize = 4;

/// Slots per runner.
const SLOTS: u32 = 8;

/// Working time of a request, in microseconds.
const WORK_US: u64 = 20_000;

/// Urgent load by itself and at 2 times the capacity, as a fraction of the
/// capacity.
const URGENT_SHARE: f64 = 0.6;

/// measure urgent wait and goodput at 2 and 3 times the capacity
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overload")]
pub struct OverloadCommand {
    /// duration of each load, in seconds (default 8)
    #[argh(option, default = "8")]
    seconds: u64,
    /// share of the slots that background work may fill, in percent; may be
    /// repeated (default 100, 90 and 80)
    #[argh(option)]
    background_percent: Vec<u32>,
    /// file that the rows are written to
    #[argh(option)]
    csv: Option<PathBuf>,
}

/// Row of the CSV file: one stream of a load.
#[derive(Debug, Serialize)]
struct OverloadRow {
    background_percent: u32,
    load: f64,
    stream: String,
    good_per_s: f64,
    refused: u64,
    failed: u64,
    p50_ms: f64,
    p99_ms: f64,
    wait_p50_ms: f64,
    wait_p99_ms: f64,
}

/// Waits for a slot, read from the log of the entry: sorted, in microseconds, by
/// priority.
struct SlotWaits {
    urgent: Vec<u64>,
    background: Vec<u64>,
}

impl SlotWaits {
    /// Reads the waits that are logged after the first `skip` bytes of the log.
    fn read(fleet: &Fleet, skip: usize) -> Result<Self> {
        let log = fleet.entries[0].log()?;
        let waits = |priority: &str| {
            let mark = format!("priority={priority} ");
            let lines = log[skip..].lines();
            let lines = lines.filter(|line| line.contains("event=route") && line.contains(&mark));
            let mut waits: Vec<u64> = lines.filter_map(wait_us).collect();
            waits.sort_unstable();
            waits
        };
        Ok(Self {
            urgent: waits("urgent"),
            background: waits("background"),
        })
    }

    fn of_stream(&self, stream: &str) -> &[u64] {
        if stream == "urgent" {
            &self.urgent
        } else {
            &self.background
        }
    }
}

fn wait_us(line: &str) -> Option<u64> {
    let (_, wait) = line.rsplit_once("waited_us=")?;
    wait.split(' ').next()?.parse().ok()
}

/// Percentile of sorted times in microseconds, in milliseconds.
fn quantile_ms(sorted: &[u64], percent: usize) -> f64 {
    let index = sorted.len() * percent / 100;
    sorted.get(index).copied().unwrap_or(0) as f64 / 1_000.0
}

impl OverloadCommand {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Fails if a fleet does not start, a thread cannot be started or the CSV file
    /// cannot be written.
    pub async fn run(self) -> Result<()> {
        let mut rows = Vec::new();
        let percents = match self.background_percent.as_slice() {
            [] => vec![100, 90, 80],
            named => named.to_vec(),
        };
        for percent in percents {
            let fleet = Fleet::start(plan(percent)).await?;
            self.measure(&fleet, percent, &mut rows)?;
        }
        if let Some(path) = &self.csv {
            write_csv(path, &rows)?;
        }
        Ok(())
    }

    fn measure(&self, fleet: &Fleet, percent: u32, rows: &mut Vec<OverloadRow>) -> Result<()> {
        let capacity = f64::from(SLOTS) * RUNNERS as f64 * 1e6 / WORK_US as f64;
        println!("background_percent {percent}, capacity {capacity:.0}/s");
        let urgent = |load: f64| self.stream(fleet, "urgent", capacity * load);
        let background = |load: f64| self.stream(fleet, "background", capacity * load);
        let urgent_only =
            self.run_load(fleet, percent, URGENT_SHARE, &[urgent(URGENT_SHARE)], rows)?;
        let with_background = [urgent(URGENT_SHARE), background(2.0 - URGENT_SHARE)];
        self.run_load(fleet, percent, 2.0, &with_background, rows)?;
        let mixed = [urgent(1.5), background(1.5)];
        let mixed = self.run_load(fleet, percent, 3.0, &mixed, rows)?;
        let good: f64 = mixed.iter().map(LoadReport::good_rate).sum();
        // Rate of busy slots by the measured service time, which includes delays of
        // timers, rather than by the configured working time.
        let served = f64::from(SLOTS) * RUNNERS as f64 * 1e3 / urgent_only[0].service_time_ms(0.5);
        let share = good / served;
        println!("goodput at 3 times the load: {share:.3} of {served:.0}/s by busy slots\n");
        Ok(())
    }

    fn stream(&self, fleet: &Fleet, team: &str, rate: f64) -> LoadStream {
        let duration = Duration::from_secs(self.seconds);
        let urls = vec![fleet.caller_url(0, "/quotes/1")];
        // CAST: rates are a few thousand a second.
        LoadStream::get(team, urls, rate as u32, duration).header("hoisthitch-team", team)
    }

    /// Sends the streams, prints a line for each and adds its row.
    fn run_load(
        &self,
        fleet: &Fleet,
        percent: u32,
        load: f64,
        streams: &[LoadStream],
        rows: &mut Vec<OverloadRow>,
    ) -> Result<Vec<LoadReport>> {
        let skip = fleet.entries[0].log()?.len();
        let reports = drive(streams)?;
        let waits = SlotWaits::read(fleet, skip)?;
        for report in &reports {
            let waits = waits.of_stream(&report.name);
            let (wait_p50_ms, wait_p99_ms) = (quantile_ms(waits, 50), quantile_ms(waits, 99));
            println!("{load:.1}x {report}  wait p50 {wait_p50_ms:.3} ms p99 {wait_p99_ms:.3} ms");
            rows.push(OverloadRow {
                background_percent: percent,
                load,
                stream: report.name.clone(),
                good_per_s: report.good_rate(),
                refused: report.refused,
                failed: report.failed,
                p50_ms: report.quantile_ms(0.5),
                p99_ms: report.quantile_ms(0.99),
                wait_p50_ms,
                wait_p99_ms,
            });
        }
        Ok(reports)
    }
}

fn plan(percent: u32) -> FleetPlan {
    let mut pool = PoolPlan::new("quotes", RUNNERS);
    pool.work_us = WORK_US;
    pool.row.slots_per_runner = SLOTS;
    pool.row.background_percent = percent;
    pool.row.urgent_deadline_ms = 2_800;
    pool.row.background_deadline_ms = 5_000;
    pool.row.queue_limit = 2_000;
    FleetPlan {
        entries: 1,
        pools: vec![pool],
        teams: vec![
            team("urgent", PaidPriority::Urgent),
            team("background", PaidPriority::Background),
        ],
        ..FleetPlan::default()
    }
}

fn team(name: &str, priority: PaidPriority) -> TeamRow {
    TeamRow {
        name: name.to_owned(),
        revision: 0,
        priority,
        weight: 1,
        rate_limit: 100_000,
        in_flight_limit: 100_000,
    }
}
