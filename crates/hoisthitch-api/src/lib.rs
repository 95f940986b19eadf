//! Messages of the operators' API, between the `hoisthitch` command line and an
//! entry or a node of the job service.
//!
//! Requests and responses are JSON over HTTP; the field names here are their
//! keys. The table and the hall records are sent as they are stored.

mod job;

use hoisthitch_core::{
    RowEdit,
    WaveProgress,
    WaveState, //
};
use serde::{
    Deserialize,
    Serialize, //
};

pub use job::{
    CORDONS_PATH,
    CordonRow,
    JOBS_PATH,
    JobAnswer,
    JobCall,
    QUEUES_PATH,
    QueueRow,
    TEAMS_PATH,
    TeamRow, //
};

/// Path of the table of pools and teams.
pub const TABLE_PATH: &str = "/table";

/// Path of edits to the table.
pub const EDITS_PATH: &str = "/table/edits";

/// Path of the hall records.
pub const HALLS_PATH: &str = "/halls";

/// Path of assignments of VMs to pools.
pub const ASSIGN_PATH: &str = "/vms/assign";

/// Path of an entry's status.
pub const STATUS_PATH: &str = "/status";

/// Path of moves of VMs between pools.
pub const MOVE_PATH: &str = "/vms/move";

/// Path of maintenance waves.
pub const WAVES_PATH: &str = "/waves";

/// Path of changes to a wave's state.
pub const WAVE_STATE_PATH: &str = "/waves/state";

/// Request to move a VM to another pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MoveCall {
    /// Name of the VM.
    pub vm: String,
    /// Pool that receives it.
    pub to: String,
}

/// Request to start a wave.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WaveCall {
    /// Name of the wave.
    pub name: String,
    /// Pools whose VMs the wave covers; all pools if empty.
    pub pools: Vec<String>,
}

/// Request to change a wave's state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WaveStateCall {
    /// Name of the wave.
    pub name: String,
    /// Its new state.
    pub state: WaveState,
}

/// A wave and its progress.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WaveAnswer {
    /// Name of the wave.
    pub name: String,
    /// State of the wave.
    pub state: WaveState,
    /// Why the wave is paused.
    pub reason: String,
    /// Progress of the wave.
    pub progress: WaveProgress,
    /// VMs that are unavailable because of the wave.
    pub absent: Vec<String>,
}

/// Request to edit the table; all edits are applied, or none.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EditCall {
    /// The edits.
    pub edits: Vec<RowEdit>,
    /// Whether the edits are only checked, not applied.
    #[serde(default)]
    pub dry_run: bool,
}

/// Request to assign a VM that belongs to no pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AssignCall {
    /// Name of the VM.
    pub vm: String,
    /// Pool that receives it.
    pub pool: String,
}

/// Response to a request that failed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FaultAnswer {
    /// What is wrong, and how to correct it.
    pub error: String,
}

/// Status of an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatusAnswer {
    /// Name of the entry.
    pub name: String,
    /// Data hall of the entry.
    pub hall: String,
    /// Whether the entry accepts requests.
    pub ready: bool,
    /// Revision of the table in effect.
    pub table_revision: u64,
    /// Pools as the entry sees them.
    pub pools: Vec<PoolStatus>,
}

/// Status of a pool in one entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: String,
    /// Requests queued in the entry.
    pub queued: usize,
    /// Requests that the entry has in flight at runners.
    pub in_flight: u32,
    /// Limit of requests in flight at runners.
    pub in_flight_limit: u32,
    /// Runners of the pool.
    pub runners: Vec<RunnerStatus>,
}

/// Status of a runner in one entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunnerStatus {
    /// VM of the runner.
    pub vm: String,
    /// Slots of the runner that the entry may use.
    pub slots: u32,
    /// Requests that the entry has in flight at the runner.
    pub in_flight: u32,
    /// Whether the runner takes no new requests because it is draining.
    pub leaving: bool,
    /// Health of the runner, judged by its responses.
    pub health: String,
}
