//! Text format of the records that operators and runners write in the tests, and the
//! configuration that each version of the operators' record gives.

use hoisthitch_jobs::{
    ColdStart,
    QueuePolicy,
    ResourceAmounts,
    RunnerFacts, //
};
use hoisthitch_scheduler::platform::{
    FleetCodec,
    FleetPolicy,
    PoolPolicy,
    QueueRoute,
    RunnerRecord,
    TeamEntry,
    TeamKey,
    TeamPolicy,
    TeamTable,
    WaveRequest, //
};
use hoisthitch_tests::world::{
    DEFAULT_CAPACITY,
    POOL,
    hall_of,
    vm_number, //
};

/// Suffix of the record of a runner that is draining.
pub const DRAINING: &str = " leaves";

/// Separates the version of a configuration from the cores that each of its teams may use at
/// the same time.
pub const LIMITED: &str = " choirs ";

/// Separates the version of a configuration from the number of its pools, where there are more
/// than the usual one.
pub const POOLS: &str = " rooms ";

/// Separates the version of a configuration from the slow start of its runners: for how many
/// milliseconds they are cold, and how many starts they get in a second.
pub const COLD: &str = " cold ";

/// Separates the configuration, and the record of a runner, from the name of the pool where it is
/// not the usual one.
pub const POOL_MARK: &str = " pool ";

/// Number of teams in such a configuration.
pub const CHOIRS: usize = 40;

/// Precedes the start time of a runner in its record, in Unix milliseconds.
pub const STARTED_AT_MARK: &str = " born ";

/// Precedes the CPU capacity of a runner in its record, in thousandths of a core.
pub const CAPACITY_MARK: &str = " has ";

/// Separates the VM from the label of its runner in the record of the runner.
pub const LABELLED: &str = " is ";

/// Prefix of the keys that cordon data halls.
pub const CORDONS_PREFIX: &str = "op/cordon/";

/// Codec of the records that the tests write.
#[derive(Clone)]
pub struct TestCodec;

impl FleetCodec for TestCodec {
    fn operators_prefix(&self) -> String {
        "op/".to_owned()
    }

    fn runners_prefix(&self) -> String {
        "runner/".to_owned()
    }

    fn parse_policy(&self, key: &str, value: &[u8]) -> Option<Result<FleetPolicy, String>> {
        if key != "op/policy" {
            return None;
        }
        let text = String::from_utf8_lossy(value);
        let (text, pool) = text.split_once(POOL_MARK).unwrap_or((&text, POOL));
        let (text, cold) = text.split_once(COLD).unwrap_or((text, ""));
        let (version, cores) = text.split_once(LIMITED).unwrap_or((text, ""));
        let (version, pools) = version.split_once(POOLS).unwrap_or((version, "1"));
        let policy = policy(
            pool,
            version.parse().unwrap_or(0),
            pools.parse().unwrap_or(1),
            parse_cold_start(cold),
        );
        let Ok(cores) = cores.parse() else {
            return Some(Ok(policy));
        };
        Some(team_table(cores).map(|teams| policy.with_teams(teams)))
    }

    fn parse_wave(&self, key: &str, value: &[u8]) -> Option<Result<WaveRequest, String>> {
        let wave = key.strip_prefix("op/wave/")?.parse().ok()?;
        let text = String::from_utf8_lossy(value);
        // Either only the VMs, or the number of VMs that may be down at the same time, a colon and
        // the VMs.
        let (max_down, vms) = text.split_once(':').unwrap_or(("2", &text));
        Some(Ok(WaveRequest {
            wave,
            vms: vms.split(',').map(str::to_owned).collect(),
            max_down: max_down.parse().unwrap_or(2),
        }))
    }

    fn parse_cordon<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(CORDONS_PREFIX)
    }

    fn parse_runner_name<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix("runner/")
    }

    fn parse_runner(&self, name: &str, value: &[u8]) -> Result<RunnerRecord, String> {
        let text = String::from_utf8_lossy(value);
        let draining = text.ends_with(DRAINING);
        let text = text.trim_end_matches(DRAINING);
        let (text, pool) = text.split_once(POOL_MARK).unwrap_or((text, POOL));
        let (text, room) = text.split_once(CAPACITY_MARK).unwrap_or((text, ""));
        let (text, started_at) = text.split_once(STARTED_AT_MARK).unwrap_or((text, ""));
        let (vm, label) = text.split_once(LABELLED).unwrap_or((text, ""));
        let number = vm_number(vm);
        Ok(RunnerRecord {
            pool: pool.to_owned(),
            address: ([127, 0, 0, 1], 10_000 + number).into(),
            facts: RunnerFacts {
                name: name.to_owned(),
                started_at: started_at.parse().ok(),
                vm: vm.to_owned(),
                capacity: parse_capacity(room),
                labels: vec![label.to_owned()],
                rack: String::new(),
                hall: hall_of(vm),
                draining,
            },
        })
    }

    fn encode_wave_status(&self, wave: u64, completed: bool) -> (String, Vec<u8>) {
        let text = if completed { "completed" } else { "running" };
        (format!("status/wave/{wave}"), text.as_bytes().to_vec())
    }
}

/// Parses the CPU capacity in a record; a record without one means the usual capacity.
fn parse_capacity(text: &str) -> ResourceAmounts {
    ResourceAmounts {
        cpu_milli: text.parse().unwrap_or(DEFAULT_CAPACITY.cpu_milli),
        ..DEFAULT_CAPACITY
    }
}

/// A table of teams, each with a limit of `cores`.
fn team_table(cores: u64) -> Result<TeamTable, String> {
    let names = (0..CHOIRS).map(|number| format!("choir{number}"));
    let entries = names.map(|name| TeamEntry {
        keys: vec![TeamKey::new(format!("key of {name}"))],
        policy: TeamPolicy {
            name: name.into(),
            weight: 1.0,
            limit: ResourceAmounts {
                cpu_milli: cores * 1_000,
                ..ResourceAmounts::default()
            },
            keys: 1,
        },
    });
    TeamTable::new(entries.collect()).map_err(|err| err.to_string())
}

/// Name of a pool; the first is that of the tests' runners.
pub fn pool_name(number: usize) -> String {
    if number == 0 {
        POOL.to_owned()
    } else {
        format!("{POOL}-{number}")
    }
}

/// Parses the slow start of a configuration's runners.
fn parse_cold_start(text: &str) -> Option<ColdStart> {
    let (duration, rate) = text.split_once(' ')?;
    Some(ColdStart {
        duration_ms: duration.parse().ok()?,
        starts_per_s: rate.parse().ok()?,
    })
}

fn policy(pool: &str, version: u64, pools: usize, cold_start: Option<ColdStart>) -> FleetPolicy {
    let pools = (0..pools).map(|number| PoolPolicy {
        name: if number == 0 {
            pool.to_owned()
        } else {
            pool_name(number)
        },
        spare: false,
        cold_start,
    });
    let queues = vec![queue(), advised_queue()];
    let queues = queues.into_iter().map(|queue| QueueRoute {
        pool: pool.to_owned(),
        ..queue
    });
    let queues = queues.collect();
    FleetPolicy::new(version, queues, pools.collect(), 262_144)
}

/// The queue that most tests use.
pub fn queue() -> QueueRoute {
    QueueRoute {
        name: "hold".to_owned(),
        host: "halls.example".to_owned(),
        prefix: "/hold/".to_owned(),
        pool: POOL.to_owned(),
        policy: QueuePolicy {
            priority: 0,
            max_attempts: 3,
            stretch: 2.0,
            target_latency_ms: 600,
            advised: false,
        },
        anonymous: false,
    }
}

/// A queue whose adviser selects the runners that may run a step.
pub fn advised_queue() -> QueueRoute {
    let mut queue = queue();
    queue.name = "advised".to_owned();
    queue.prefix = "/advised/".to_owned();
    queue.policy.advised = true;
    queue
}
