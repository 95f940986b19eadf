//! Frames of the inner protocol.
//!
//! A frame is one byte of protocol version, four bytes of length (little
//! endian), and a postcard-encoded [`MeshFrame`].

use hoisthitch_core::{
    HallRecord,
    PolicyTable,
    PoolRow,
    RosterRecord,
    TeamRow,
    VmAssignment,
    WriterStamp, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::error::WireError;

/// Version of the protocol.
pub const PROTOCOL_VERSION: u8 = 1;

/// Longest body of a frame, in bytes: a whole table or hall record.
pub const FRAME_LIMIT: usize = 1 << 20;

/// Bytes before a frame's body.
pub const HEADER_LENGTH: usize = 5;

/// A message between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MeshFrame {
    /// First frame of each side: who it is.
    Hello {
        /// Name of the entry.
        node: String,
    },
    /// Sent at intervals: versions held and slots asked for.
    Heartbeat(Heartbeat),
    /// Rows that a change of the table touched.
    Delta(Box<TableDelta>),
    /// Asks for the whole table.
    AskTable,
    /// The whole table.
    Table(Box<PolicyTable>),
    /// Assignments that a change of a hall's record touched.
    HallDelta(Box<HallDelta>),
    /// Asks for a hall's record.
    AskHall(String),
    /// A hall's record.
    Hall(Box<HallRecord>),
    /// Asks for a hall's roster.
    AskRoster(String),
    /// A hall's roster.
    Roster(Box<RosterRecord>),
    /// A VM takes no new work.
    Leaving(LeavingNotice),
    /// Asks whether an entry is done with a VM that leaves.
    AskDrained {
        /// Name of the VM.
        vm: String,
        /// Data hall of the VM.
        hall: String,
    },
    /// How far an entry is with a VM that leaves.
    Drained(DrainReport),
}

/// How far an entry is with a VM that leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// Name of the VM.
    pub vm: String,
    /// Version of the hall's record that the entry routes by.
    pub version: u64,
    /// Requests that the entry has at the VM.
    pub in_flight: u32,
}

/// Versions that an entry holds and slots that it asks for.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Revision of the table.
    pub table: u64,
    /// Versions of the hall records.
    pub halls: Vec<HallVersion>,
    /// Versions of the rosters.
    pub rosters: Vec<HallVersion>,
    /// Slots asked for, by pool; pools without demand are left out.
    pub demands: Vec<PoolDemand>,
    /// Moment of sending, on the sender's clock, in milliseconds.
    pub sent_ms: u64,
    /// Moments of the last heartbeats heard, on their senders' clocks: whoever
    /// finds its own moment knows that the rest is no older than that.
    pub echoes: Vec<HeartbeatEcho>,
}

/// Moment of the last heartbeat heard of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatEcho {
    /// Hash of the entry's name.
    pub node: u32,
    /// The moment, on that entry's clock, in milliseconds.
    pub sent_ms: u64,
}

/// Version of a hall's record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HallVersion {
    /// Data hall.
    pub hall: String,
    /// Version of its record.
    pub version: u64,
}

/// Slots that an entry asks for in a pool.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolDemand {
    /// Hash of the pool's name.
    pub pool: u32,
    /// Requests under way and waiting.
    pub slots: u32,
}

/// Rows that a change of the table touched.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableDelta {
    /// Revision that the delta starts from.
    pub base: u64,
    /// Revision that it leads to.
    pub revision: u64,
    /// Who wrote the revision.
    pub stamp: WriterStamp,
    /// Pools that were written.
    pub pools: Vec<PoolRow>,
    /// Teams that were written.
    pub teams: Vec<TeamRow>,
    /// Pools that were removed.
    pub removed_pools: Vec<String>,
    /// Teams that were removed.
    pub removed_teams: Vec<String>,
}

/// A VM takes no new work.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingNotice {
    /// Name of the VM.
    pub vm: String,
}

/// Assignments that a change of a hall's record touched.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HallDelta {
    /// Data hall.
    pub hall: String,
    /// Version that the delta starts from.
    pub base: u64,
    /// Version that it leads to.
    pub version: u64,
    /// Who wrote the version.
    pub stamp: WriterStamp,
    /// Assignments that were written.
    pub written: Vec<VmAssignment>,
    /// VMs that were removed.
    pub removed: Vec<String>,
}

impl HallDelta {
    /// What leads from `old` to `new`.
    pub fn between(old: &HallRecord, new: &HallRecord) -> Self {
        let written = new.vms.iter();
        let written = written.filter(|vm| old.find(&vm.vm) != Some(vm));
        let removed = old.vms.iter();
        let removed = removed.filter(|vm| new.find(&vm.vm).is_none());
        Self {
            hall: new.hall.clone(),
            base: old.version,
            version: new.version,
            stamp: new.stamp.clone(),
            written: written.cloned().collect(),
            removed: removed.map(|vm| vm.vm.clone()).collect(),
        }
    }

    /// The record that the delta leads to; none where it does not start from
    /// `record`.
    pub fn applied(&self, record: &HallRecord) -> Option<HallRecord> {
        let fits = record.hall == self.hall && record.version == self.base;
        if !fits || self.version <= self.base {
            return None;
        }
        let mut record = record.clone();
        let replaced = |vm: &VmAssignment| self.written.iter().any(|new| new.vm == vm.vm);
        record
            .vms
            .retain(|vm| !replaced(vm) && !self.removed.contains(&vm.vm));
        record.vms.extend(self.written.iter().cloned());
        record.vms.sort_by(|a, b| a.vm.cmp(&b.vm));
        record.sign_as(self.version, self.stamp.clone());
        Some(record)
    }
}

impl TableDelta {
    /// What leads from `old` to `new`.
    pub fn between(old: &PolicyTable, new: &PolicyTable) -> Self {
        let pools = new.pools.iter();
        let teams = new.teams.iter();
        Self {
            base: old.revision,
            revision: new.revision,
            stamp: new.stamp.clone(),
            pools: pools
                .filter(|row| old.pool(&row.name) != Some(row))
                .cloned()
                .collect(),
            teams: teams
                .filter(|row| old.team(&row.name) != Some(row))
                .cloned()
                .collect(),
            removed_pools: old
                .pools
                .iter()
                .filter(|row| new.pool(&row.name).is_none())
                .map(|row| row.name.clone())
                .collect(),
            removed_teams: old
                .teams
                .iter()
                .filter(|row| new.team(&row.name).is_none())
                .map(|row| row.name.clone())
                .collect(),
        }
    }

    /// The table that the delta leads to; none where it does not start from
    /// `table`.
    pub fn applied(&self, table: &PolicyTable) -> Option<PolicyTable> {
        if table.revision != self.base || self.revision <= self.base {
            return None;
        }
        let mut table = table.clone();
        table.sign(self.revision, self.stamp.clone());
        table
            .pools
            .retain(|row| !self.removed_pools.contains(&row.name));
        table
            .teams
            .retain(|row| !self.removed_teams.contains(&row.name));
        for row in &self.pools {
            table.pools.retain(|other| other.name != row.name);
            table.pools.push(row.clone());
        }
        for row in &self.teams {
            table.teams.retain(|other| other.name != row.name);
            table.teams.push(row.clone());
        }
        table.pools.sort_by(|a, b| a.name.cmp(&b.name));
        table.teams.sort_by(|a, b| a.name.cmp(&b.name));
        Some(table)
    }
}

/// Encodes a frame with its header.
///
/// # Errors
///
/// Fails when the frame is longer than any may be.
pub fn encode_frame(frame: &MeshFrame) -> Result<Vec<u8>, WireError> {
    let body = postcard::to_stdvec(frame).map_err(|err| WireError::Malformed(err.to_string()))?;
    let length = check_length(body.len())?;
    let mut bytes = Vec::with_capacity(HEADER_LENGTH + body.len());
    bytes.push(PROTOCOL_VERSION);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Reads a header; answers with the length of the body.
///
/// # Errors
///
/// Fails on another version or a body that is too long.
pub fn decode_header(header: [u8; HEADER_LENGTH]) -> Result<usize, WireError> {
    let [version, length @ ..] = header;
    if version != PROTOCOL_VERSION {
        return Err(WireError::Version {
            found: version,
            wanted: PROTOCOL_VERSION,
        });
    }
    let length = u32::from_le_bytes(length) as usize;
    check_length(length)?;
    Ok(length)
}

/// Reads the body of a frame.
///
/// # Errors
///
/// Fails when the bytes are not exactly one frame.
pub fn decode_frame(body: &[u8]) -> Result<MeshFrame, WireError> {
    let (frame, rest) =
        postcard::take_from_bytes(body).map_err(|err| WireError::Malformed(err.to_string()))?;
    if !rest.is_empty() {
        return Err(WireError::Malformed(format!(
            "{} bytes too many",
            rest.len()
        )));
    }
    Ok(frame)
}

fn check_length(length: usize) -> Result<u32, WireError> {
    let too_long = WireError::TooLong {
        length,
        limit: FRAME_LIMIT,
    };
    if length > FRAME_LIMIT {
        return Err(too_long);
    }
    u32::try_from(length).map_err(|_| too_long)
}
