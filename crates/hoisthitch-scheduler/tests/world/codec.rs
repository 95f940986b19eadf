//! Records of the tests' operators and runners, and the configuration that they tell.

use hoisthitch_jobs::{
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
    POOL, //
};

/// End of the record of a runner that is about to leave.
pub const DRAINING: &str = " leaves";

/// Stands between a configuration's version and the cores that each of its teams may have
/// running.
pub const LIMITED: &str = " choirs ";

/// Teams of such a configuration.
pub const CHOIRS: usize = 40;

/// Stands before the birth of a runner in its record.
pub(super) const BORN: &str = " born ";

/// Stands before the room of a runner in its record, in thousandths of a core.
pub(super) const ROOMY: &str = " has ";

/// Stands between a VM and a label of its runner in the runner's record.
pub const LABELLED: &str = " is ";

/// Records of the tests' operators and runners.
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
        let (version, cores) = text.split_once(LIMITED).unwrap_or((&text, ""));
        let policy = policy(version.parse().unwrap_or(0));
        let Ok(cores) = cores.parse() else {
            return Some(Ok(policy));
        };
        Some(choirs(cores).map(|teams| policy.with_teams(teams)))
    }

    fn parse_wave(&self, key: &str, value: &[u8]) -> Option<Result<WaveRequest, String>> {
        let wave = key.strip_prefix("op/wave/")?.parse().ok()?;
        let text = String::from_utf8_lossy(value);
        // VMs, or the number that may be down at once and the VMs.
        let (max_down, vms) = text.split_once(':').unwrap_or(("2", &text));
        Some(Ok(WaveRequest {
            wave,
            vms: vms.split(',').map(str::to_owned).collect(),
            max_down: max_down.parse().unwrap_or(2),
        }))
    }

    fn parse_runner_name<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix("runner/")
    }

    fn parse_runner(&self, name: &str, value: &[u8]) -> Result<RunnerRecord, String> {
        let text = String::from_utf8_lossy(value);
        let draining = text.ends_with(DRAINING);
        let text = text.trim_end_matches(DRAINING);
        let (text, room) = text.split_once(ROOMY).unwrap_or((text, ""));
        let (text, started_at) = text.split_once(BORN).unwrap_or((text, ""));
        let (vm, label) = text.split_once(LABELLED).unwrap_or((text, ""));
        let number: u16 = vm.trim_start_matches("vm-").parse().unwrap_or(0);
        Ok(RunnerRecord {
            pool: POOL.to_owned(),
            address: ([127, 0, 0, 1], 10_000 + number).into(),
            facts: RunnerFacts {
                name: name.to_owned(),
                started_at: started_at.parse().ok(),
                vm: vm.to_owned(),
                capacity: read_room(room),
                labels: vec![label.to_owned()],
                rack: String::new(),
                draining,
            },
        })
    }

    fn encode_wave_status(&self, wave: u64, completed: bool) -> (String, Vec<u8>) {
        let text = if completed { "completed" } else { "running" };
        (format!("status/wave/{wave}"), text.as_bytes().to_vec())
    }
}

/// Room as a record tells it; the usual one where it does not.
fn read_room(text: &str) -> ResourceAmounts {
    ResourceAmounts {
        cpu_milli: text.parse().unwrap_or(DEFAULT_CAPACITY.cpu_milli),
        ..DEFAULT_CAPACITY
    }
}

/// A table of teams of which each may have so many cores running.
fn choirs(cores: u64) -> Result<TeamTable, String> {
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

fn policy(version: u64) -> FleetPolicy {
    let pool = PoolPolicy {
        name: POOL.to_owned(),
        spare: false,
    };
    FleetPolicy::new(version, vec![queue(), advised_queue()], vec![pool], 262_144)
}

/// The queue of the tests.
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

/// A queue whose adviser says which runners may run a step.
pub fn advised_queue() -> QueueRoute {
    let mut queue = queue();
    queue.name = "advised".to_owned();
    queue.prefix = "/advised/".to_owned();
    queue.policy.advised = true;
    queue
}
