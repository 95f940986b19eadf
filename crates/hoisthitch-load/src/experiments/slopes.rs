//! `slopes`: cost of control in an entry and a steward as the fleet grows: CPU
//! time, memory, mesh traffic and store calls.
//!
//! Measures fleets of several sizes and fits a line through each of the figures.

use std::{
    path::PathBuf,
    time::Duration, //
};

use argh::FromArgs;
use eyre::{
    Result,
    eyre, //
};
use hoisthitch_core::{
    AssignmentState,
    HallRecord,
    VmAssignment, //
};
use hoisthitch_store::{
    EtcdClient,
    KeySpace,
    ListedVm,
    StoreClient,
    VmState, //
};
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    PoolPlan,
    TestRequest,
    wait_until, //
};
use serde::Serialize;
use tokio::time::Instant;

use crate::{
    fit::LineFit,
    report::write_csv, //
};

/// VMs per data hall, as at the target size of 10,000 VMs in 14 halls.
const VMS_PER_HALL: usize = 715;

/// Sizes of the measured fleets, in VMs.
const FLEET_SIZES: [usize; 5] = [250, 1_000, 2_500, 5_000, 10_000];

/// VMs per pool, as at the target size of 10,000 VMs in 124 pools.
const VMS_PER_POOL: usize = 80;

/// Stewards of each fleet.
const STEWARDS: usize = 2;

/// Time between two passes of a steward; the default.
const STEWARD_INTERVAL: &str = "500ms";

/// Configuration changes per second while measuring. The target is 6,800 a day,
/// or 0.08 a second.
const CHANGES_PER_S: f64 = 1.0;

/// measure the cost of control in an entry and a steward as the fleet grows
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesCommand {
    /// duration of each measurement, in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// entries of each fleet (default 6)
    #[argh(option, default = "6")]
    entries: usize,
    /// file that the rows are written to
    #[argh(option)]
    csv: Option<PathBuf>,
}

/// Row of the CSV file: the figures of one fleet.
///
/// They are those of one entry and one steward, but for the store's, which cover
/// all processes together. CPU time is in percent of one core.
#[derive(Clone, Debug, Serialize)]
struct SlopeRow {
    vms: usize,
    pools: usize,
    /// CPU time of the entry while the configuration does not change.
    idle_core_percent: f64,
    /// CPU time of the entry while the configuration changes.
    changing_core_percent: f64,
    resident_mb: f64,
    steward_core_percent: f64,
    steward_mb: f64,
    mesh_kb_per_s: f64,
    store_reads_per_s: f64,
    store_writes_per_s: f64,
    /// Median time until a configuration change was in effect in all entries.
    in_force_p50_ms: f64,
    /// Longest time until a configuration change was in effect in all entries.
    in_force_max_ms: f64,
}

impl SlopesCommand {
    /// Runs the experiment.
    ///
    /// # Errors
    ///
    /// Fails if a fleet does not start, a configuration change is refused or the CSV
    /// file cannot be written.
    pub async fn run(self) -> Result<()> {
        let mut rows = Vec::new();
        for vms in FLEET_SIZES {
            let row = self.measure(vms).await?;
            println!("{row:?}");
            rows.push(row);
        }
        print_fit("idle core percent", &rows, |row| row.idle_core_percent);
        print_fit("changing core percent", &rows, |row| {
            row.changing_core_percent
        });
        print_fit("resident MB", &rows, |row| row.resident_mb);
        print_fit("steward core percent", &rows, |row| {
            row.steward_core_percent
        });
        print_fit("steward MB", &rows, |row| row.steward_mb);
        print_fit("mesh KB/s", &rows, |row| row.mesh_kb_per_s);
        print_fit("store reads/s", &rows, |row| row.store_reads_per_s);
        print_fit("in force max ms", &rows, |row| row.in_force_max_ms);
        if let Some(path) = &self.csv {
            write_csv(path, &rows)?;
        }
        Ok(())
    }

    async fn measure(&self, vms: usize) -> Result<SlopeRow> {
        let pools = vms.div_ceil(VMS_PER_POOL);
        let fleet = self.start(vms, pools).await?;
        // Let the fleet settle before measuring.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let duration = Duration::from_secs(self.seconds);
        let before = UsageSample::read(&fleet).await?;
        tokio::time::sleep(duration).await;
        let idle = UsageSample::read(&fleet).await?;
        let delays = self.change_configuration(&fleet).await?;
        let changed = UsageSample::read(&fleet).await?;
        let seconds = (idle.at - before.at).as_secs_f64();
        Ok(SlopeRow {
            vms,
            pools,
            idle_core_percent: idle.core_percent_since(&before),
            changing_core_percent: changed.core_percent_since(&idle),
            resident_mb: changed.resident_mb,
            steward_core_percent: percent(idle.steward_cpu - before.steward_cpu, seconds),
            steward_mb: changed.steward_mb,
            mesh_kb_per_s: (idle.mesh_bytes - before.mesh_bytes) / seconds / 1_000.0,
            store_reads_per_s: (idle.reads - before.reads) / seconds,
            store_writes_per_s: (idle.writes - before.writes) / seconds,
            in_force_p50_ms: delays[delays.len() / 2],
            in_force_max_ms: delays.last().copied().unwrap_or(0.0),
        })
    }

    async fn start(&self, vms: usize, pools: usize) -> Result<Fleet> {
        let pools: Vec<PoolPlan> = (0..pools)
            .map(|pool| PoolPlan::new(&pool_name(pool), 0))
            .collect();
        let plan = FleetPlan {
            entries: self.entries,
            stewards: STEWARDS,
            steward_interval: STEWARD_INTERVAL.to_owned(),
            pools,
            log_level: "warn".to_owned(),
            ..FleetPlan::default()
        };
        let fleet = Fleet::start(plan).await?;
        write_halls(&fleet, vms).await?;
        let response = TestRequest::put_json(&fleet.platform_url("/standin/vms"), &listing(vms))?
            .send()
            .await?;
        if response.status != 204 {
            return Err(eyre!("setting the VM list failed: {}", response.text()));
        }
        for entry in 0..self.entries {
            wait_until("an entry to know all VMs", || async {
                let status = fleet.status(entry).await.ok()?;
                let known: usize = status.pools.iter().map(|pool| pool.runners.len()).sum();
                (known == vms).then_some(())
            })
            .await?;
        }
        Ok(fleet)
    }

    /// Changes the configuration at a fixed rate through the first entry.
    ///
    /// Returns the sorted times until each change was in effect in all entries, in
    /// milliseconds.
    async fn change_configuration(&self, fleet: &Fleet) -> Result<Vec<f64>> {
        let mut delays = Vec::new();
        let interval = Duration::from_secs_f64(1.0 / CHANGES_PER_S);
        let start = Instant::now();
        for number in 0..self.seconds {
            // CAST: a measurement has a few dozen changes.
            tokio::time::sleep_until(start + interval * number as u32).await;
            let began = Instant::now();
            let value = (100 + number).to_string();
            let response = fleet
                .set_cell(0, &pool_name(0), "queue_limit", &value)
                .await?;
            if response.status != 200 {
                return Err(eyre!("configuration change failed: {}", response.text()));
            }
            let revision = fleet.ready_revision(0).await?;
            for entry in 0..self.entries {
                fleet.wait_for_ready_revision(entry, revision).await?;
            }
            delays.push(began.elapsed().as_secs_f64() * 1_000.0);
        }
        delays.sort_by(f64::total_cmp);
        Ok(delays)
    }
}

/// Totals and memory of the last entry and the first steward at one time, and
/// the store calls of all processes.
struct UsageSample {
    at: Instant,
    entry_cpu: Duration,
    resident_mb: f64,
    steward_cpu: Duration,
    steward_mb: f64,
    mesh_bytes: f64,
    reads: f64,
    writes: f64,
}

impl UsageSample {
    async fn read(fleet: &Fleet) -> Result<Self> {
        let last = fleet.entries.len() - 1;
        let url = fleet.platform_url("/standin/calls");
        let calls: serde_json::Value = TestRequest::get(&url).send().await?.json()?;
        let url = fleet.operator_url(last, "/metrics");
        let metrics = TestRequest::get(&url).send().await?.text();
        let number = |name: &str| calls[name].as_f64().unwrap_or(0.0);
        Ok(Self {
            at: Instant::now(),
            entry_cpu: fleet.entries[last].processor_time()?,
            resident_mb: fleet.entries[last].resident_bytes()? as f64 / 1e6,
            steward_cpu: fleet.stewards[0].processor_time()?,
            steward_mb: fleet.stewards[0].resident_bytes()? as f64 / 1e6,
            mesh_bytes: metric(&metrics, "hoisthitch_mesh_bytes_total"),
            reads: number("reads"),
            writes: number("writes"),
        })
    }

    fn core_percent_since(&self, before: &Self) -> f64 {
        let seconds = (self.at - before.at).as_secs_f64();
        percent(self.entry_cpu - before.entry_cpu, seconds)
    }
}

/// CPU time used within a period, in percent of one core.
fn percent(used: Duration, seconds: f64) -> f64 {
    100.0 * used.as_secs_f64() / seconds
}

/// Sum of a metric over all its labels.
fn metric(text: &str, name: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit_once(' '))
        .filter_map(|(_, value)| value.parse::<f64>().ok())
        .sum()
}

async fn write_halls(fleet: &Fleet, vms: usize) -> Result<()> {
    let store = EtcdClient::new(&fleet.platform_url(""), Duration::from_secs(10));
    let keys = KeySpace::default();
    let listed = listing(vms);
    for hall in 0..vms.div_ceil(VMS_PER_HALL) {
        let name = hall_name(hall);
        let mut record = HallRecord::new(&name);
        record.version = 1;
        let in_hall = listed.iter().enumerate();
        let in_hall = in_hall.filter(|(_, listed)| listed.hall == name);
        record.vms = in_hall
            .map(|(index, listed)| assignment(index, listed))
            .collect();
        let value = serde_json::to_vec(&record)?;
        store
            .swap(&keys.hall(&name), Default::default(), &value, None)
            .await?;
    }
    Ok(())
}

fn assignment(index: usize, listed: &ListedVm) -> VmAssignment {
    VmAssignment {
        vm: listed.vm.clone(),
        address: listed.address,
        rack: listed.rack.clone(),
        pool: pool_name(index / VMS_PER_POOL),
        state: AssignmentState::Serving,
        task: None,
        fence: 0,
        last_wave: String::new(),
    }
}

fn listing(vms: usize) -> Vec<ListedVm> {
    (0..vms)
        .map(|index| ListedVm {
            vm: format!("vm-{index:05}"),
            hall: hall_name(index / VMS_PER_HALL),
            rack: format!("rack-{:04}", index / 4),
            // Nothing listens on this address: these VMs are listed but never called.
            address: ([127, 0, 0, 1], 1).into(),
            state: VmState::Live,
            boots: 1,
        })
        .collect()
}

fn pool_name(pool: usize) -> String {
    format!("pool-{pool:03}")
}

fn hall_name(hall: usize) -> String {
    format!("hall-{hall:02}")
}

fn print_fit(name: &str, rows: &[SlopeRow], value: fn(&SlopeRow) -> f64) {
    let points: Vec<(f64, f64)> = rows
        .iter()
        .map(|row| (row.vms as f64, value(row)))
        .collect();
    let fit = LineFit::least_squares(&points);
    println!(
        "{name}: {:.4} + {:.4} for each 1,000 VMs, r2 {:.3}; at 10,000 VMs {:.3}",
        fit.intercept,
        fit.slope * 1_000.0,
        fit.r_squared,
        fit.value_at(10_000.0)
    );
}
