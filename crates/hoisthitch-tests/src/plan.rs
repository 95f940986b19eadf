//! Descriptions of the fleets that tests start.

use hoisthitch_core::{
    PoolRow,
    RetryRule,
    TeamRow, //
};

/// A pool of a fleet.
#[derive(Clone, Debug)]
pub struct PoolPlan {
    /// The pool's row in the table.
    pub row: PoolRow,
    /// Number of runners.
    pub runners: usize,
    /// Working time of a request that doesn't set one, in microseconds.
    pub work_us: u64,
}

/// Description of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of entries.
    pub entries: usize,
    /// Number of stewards.
    pub stewards: usize,
    /// Time between two passes of a steward, as a setting with its unit.
    pub steward_interval: String,
    /// Pools.
    pub pools: Vec<PoolPlan>,
    /// Teams.
    pub teams: Vec<TeamRow>,
    /// Further lines of the section `[callers]` in the entries' settings.
    pub caller_settings: String,
    /// Lowest level that entries log.
    pub log_level: String,
    /// Value of the entries' setting `share`: how they share slots.
    pub share: String,
    /// Port of the proxy in front of the first entry's mesh address, two more for each further
    /// entry; zero for no proxies.
    pub mesh_proxy_port: u16,
}

impl PoolPlan {
    /// A pool whose path is its name, with limits that tests don't normally reach.
    pub fn new(name: &str, runners: usize) -> Self {
        Self {
            runners,
            work_us: 0,
            row: PoolRow {
                name: name.to_owned(),
                revision: 0,
                path: name.to_owned(),
                slots_per_runner: 8,
                connections_per_runner: 64,
                queue_limit: 1_000,
                in_flight_limit: 1_000,
                rate_limit: 100_000,
                urgent_deadline_ms: 10_000,
                background_deadline_ms: 30_000,
                background_percent: 100,
                retry_percent: 20,
                repeat: RetryRule::Method,
                min_vms: 1,
                max_absent: 1,
            },
        }
    }
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            entries: 2,
            stewards: 0,
            steward_interval: "100ms".to_owned(),
            pools: vec![PoolPlan::new("quotes", 2)],
            teams: Vec::new(),
            caller_settings: "stop_notice = 200ms".to_owned(),
            log_level: "info".to_owned(),
            share: "demand".to_owned(),
            mesh_proxy_port: 0,
        }
    }
}
