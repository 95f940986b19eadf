//! Messages of the operators' calls, between `hoisthitch` and an entry or a node
//! of the job service.
//!
//! The calls are JSON over HTTP. The table and the hall records travel as they
//! stand in the store.

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
    JOBS_PATH,
    JobAnswer,
    JobCall,
    QUEUES_PATH,
    QueueRow,
    TEAMS_PATH,
    TeamRow, //
};

/// Path of the table.
pub const TABLE_PATH: &str = "/table";

/// Path of edits of the table.
pub const EDITS_PATH: &str = "/table/edits";

/// Path of the hall records.
pub const HALLS_PATH: &str = "/halls";

/// Path of assignments.
pub const ASSIGN_PATH: &str = "/vms/assign";

/// Path of an entry's status.
pub const STATUS_PATH: &str = "/status";

/// Path of moves.
pub const MOVE_PATH: &str = "/vms/move";

/// Path of waves.
pub const WAVES_PATH: &str = "/waves";

/// Path of changes of a wave's state.
pub const WAVE_STATE_PATH: &str = "/waves/state";

/// Moves a VM to another pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct MoveCall {
    /// Name of the VM.
    pub vm: String,
    /// Pool that gets it.
    pub to: String,
}

/// Starts a wave.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WaveCall {
    /// Name of the wave.
    pub name: String,
    /// Pools that the wave goes through; all where none is named.
    pub pools: Vec<String>,
}

/// Changes a wave's state.
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
    /// VMs that are absent for the wave.
    pub absent: Vec<String>,
}

/// Edits of the table, applied together or not at all.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EditCall {
    /// The edits.
    pub edits: Vec<RowEdit>,
    /// Whether the edits are only tried.
    #[serde(default)]
    pub dry_run: bool,
}

/// Assigns a VM that belongs to no pool.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AssignCall {
    /// Name of the VM.
    pub vm: String,
    /// Pool to hold it.
    pub pool: String,
}

/// Why a call failed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FaultAnswer {
    /// What is wrong, and what to do about it.
    pub error: String,
}

/// Status of an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatusAnswer {
    /// Name of the entry.
    pub name: String,
    /// Data hall of the entry.
    pub hall: String,
    /// Whether the entry takes requests.
    pub ready: bool,
    /// Revision of the table in force.
    pub table_revision: u64,
    /// Pools as the entry sees them.
    pub pools: Vec<PoolStatus>,
}

/// Status of a pool in one entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub pool: String,
    /// Requests that wait in the entry.
    pub queued: usize,
    /// Requests that the entry has at runners.
    pub in_flight: u32,
    /// Most requests that the entry may have at runners.
    pub in_flight_limit: u32,
    /// Runners of the pool.
    pub runners: Vec<RunnerStatus>,
}

/// Status of a runner in one entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RunnerStatus {
    /// VM of the runner.
    pub vm: String,
    /// Slots that the entry may use.
    pub slots: u32,
    /// Requests that the entry has at the runner.
    pub in_flight: u32,
    /// Whether the runner takes no new work because it leaves.
    pub leaving: bool,
    /// Whether the runner takes work as far as its answers tell.
    pub health: String,
}
