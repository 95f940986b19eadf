//! `overhead`: what an entry adds to a direct call, and what its decisions cost.

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

/// measure what an entry adds to a direct call, and requests a second of its
/// processor time with the decisions on and off
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct OverheadCommand {
    /// time of each load, in seconds (default 5)
    #[argh(option, default = "5")]
    seconds: u64,
    /// rounds, of which the medians are told (default 3)
    #[argh(option, default = "3")]
    rounds: usize,
    /// requests a second of the latency loads (default 500)
    #[argh(option, default = "500")]
    rate: u32,
    /// requests a second of the processor loads (default 6000)
    #[argh(option, default = "6000")]
    high_rate: u32,
    /// least level that the entries log (default info)
    #[argh(option, default = "\"info\".to_owned()")]
    log_level: String,
}

/// What one round showed.
struct OverheadRound {
    added_p50_ms: f64,
    added_p99_ms: f64,
    decided_per_core: f64,
    bypassed_per_core: f64,
}

impl OverheadCommand {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Fails when the fleet does not come up.
    pub async fn run(self) -> Result<()> {
        let decided = Fleet::start(plan("", &self.log_level)).await?;
        let bypassed = Fleet::start(plan("bypass = true", &self.log_level)).await?;
        let mut rounds = Vec::new();
        for _ in 0..self.rounds {
            rounds.push(self.round(&decided, &bypassed)?);
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

    fn round(&self, decided: &Fleet, bypassed: &Fleet) -> Result<OverheadRound> {
        let time = Duration::from_secs(self.seconds);
        let stream = |name, urls| LoadStream::get(name, urls, self.rate, time);
        let direct = stream("direct", direct_urls(decided));
        let entry = stream("entry", vec![decided.caller_url(0, "/quotes/1")]);
        let reports = drive(&[direct, entry])?;
        let added = |quantile| reports[1].service_ms(quantile) - reports[0].service_ms(quantile);
        for report in &reports {
            println!(
                "{report}  from sending p50 {:.3} ms",
                report.service_ms(0.5)
            );
        }
        Ok(OverheadRound {
            added_p50_ms: added(0.5),
            added_p99_ms: added(0.99),
            decided_per_core: self.per_core("decisions on", decided)?,
            bypassed_per_core: self.per_core("decisions off", bypassed)?,
        })
    }

    /// Good answers for each second of the entry's processor time.
    fn per_core(&self, name: &str, fleet: &Fleet) -> Result<f64> {
        let time = Duration::from_secs(self.seconds);
        let urls = vec![fleet.caller_url(0, "/quotes/1")];
        let before = fleet.entries[0].processor_time()?;
        let stream = LoadStream::get(name, urls, self.high_rate, time).header("x-work-us", "0");
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
