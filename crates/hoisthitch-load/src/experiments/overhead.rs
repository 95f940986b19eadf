//! `overhead`: latency that an entry adds to a direct call of a runner, and CPU
//! cost of its decisions.
//!
//! For the cost, a second fleet runs with the setting `bypass`, under which the
//! entry forwards requests without limits, queue or counts.

use std::time::Duration;

use argh::FromArgs;
use eyre::Result;
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    PoolPlan, //
};

use crate::driver::{
    LoadStream,
    drive, //
};

/// Runners of the pool.
const RUNNERS: usize = 4;

/// Working time of a request, in microseconds.
const WORK_US: u64 = 2_000;

/// measure the latency that an entry adds to a direct call, and its requests per
/// second of CPU time with the decisions on and off
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct OverheadCommand {
    /// duration of each load, in seconds (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// rounds; the median of each figure is printed (default 3)
    #[argh(option, default = "3")]
    rounds: usize,
    /// requests per second of the latency loads (default 500)
    #[argh(option, default = "500")]
    rate: u32,
    /// requests per second of the CPU loads (default 6000)
    #[argh(option, default = "6000")]
    high_rate: u32,
    /// lowest level that the entries log (default info)
    #[argh(option, default = "\"info\".to_owned()")]
    log_level: String,
}

/// Figures of one round.
struct OverheadRound {
    added_p50_ms: f64,
    added_p99_ms: f64,
    /// Good responses per second of CPU time, with the decisions on.
    decided_per_core: f64,
    /// The same with the decisions off.
    bypassed_per_core: f64,
}

impl OverheadCommand {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Fails if a fleet does not start or a thread cannot be started.
    pub async fn run(self) -> Result<()> {
        let decided = Fleet::start(plan("", &self.log_level)).await?;
        let bypassed = Fleet::start(plan("bypass = true", &self.log_level)).await?;
        let mut rounds = Vec::new();
        for _ in 0..self.rounds {
            rounds.push(self.measure_round(&decided, &bypassed)?);
        }
        let median = |value: fn(&OverheadRound) -> f64| {
            let mut values: Vec<f64> = rounds.iter().map(value).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        let decided = median(|round| round.decided_per_core);
        let bypassed = median(|round| round.bypassed_per_core);
        println!(
            "added latency p50 {:.3} ms",
            median(|round| round.added_p50_ms)
        );
        println!(
            "added latency p99 {:.3} ms",
            median(|round| round.added_p99_ms)
        );
        println!("requests per core-second: {decided:.0} with decisions, {bypassed:.0} without");
        println!("ratio {:.3}", decided / bypassed);
        Ok(())
    }

    fn measure_round(&self, decided: &Fleet, bypassed: &Fleet) -> Result<OverheadRound> {
        let duration = Duration::from_secs(self.seconds);
        let stream = |name, urls| LoadStream::get(name, urls, self.rate, duration);
        let direct = stream("direct", direct_urls(decided));
        let entry = stream("entry", vec![decided.caller_url(0, "/quotes/1")]);
        let reports = drive(&[direct, entry])?;
        let added =
            |quantile| reports[1].service_time_ms(quantile) - reports[0].service_time_ms(quantile);
        for report in &reports {
            println!(
                "{report}  from sending p50 {:.3} ms",
                report.service_time_ms(0.5)
            );
        }
        Ok(OverheadRound {
            added_p50_ms: added(0.5),
            added_p99_ms: added(0.99),
            decided_per_core: self.measure_per_core("decisions on", decided)?,
            bypassed_per_core: self.measure_per_core("decisions off", bypassed)?,
        })
    }

    /// Good responses per second of CPU time of the entry.
    fn measure_per_core(&self, name: &str, fleet: &Fleet) -> Result<f64> {
        let duration = Duration::from_secs(self.seconds);
        let urls = vec![fleet.caller_url(0, "/quotes/1")];
        let before = fleet.entries[0].processor_time()?;
        let stream = LoadStream::get(name, urls, self.high_rate, duration).header("x-work-us", "0");
        let reports = drive(&[stream])?;
        let used = fleet.entries[0].processor_time()? - before;
        println!("{}  processor {:.2} s", reports[0], used.as_secs_f64());
        Ok(reports[0].good as f64 / used.as_secs_f64())
    }
}

fn plan(settings: &str, log_level: &str) -> FleetPlan {
    let mut pool = PoolPlan::new("quotes", RUNNERS);
    pool.work_us = WORK_US;
    FleetPlan {
        entries: 1,
        pools: vec![pool],
        caller_settings: settings.to_owned(),
        log_level: log_level.to_owned(),
        ..FleetPlan::default()
    }
}

fn direct_urls(fleet: &Fleet) -> Vec<String> {
    (0..RUNNERS)
        .map(|runner| format!("http://{}/quotes/1", fleet.runner_address(runner)))
        .collect()
}
