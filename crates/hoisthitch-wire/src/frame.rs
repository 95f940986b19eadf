//! Frames of the mesh protocol, and deltas between versions of records.
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

/// Longest body of a frame, in bytes; it must fit a whole table or hall record.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 5;

/// A message of the mesh protocol.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum MeshFrame {
    /// First frame of each side.
    Hello {
        /// Name of the sender.
        node: String,
    },
    /// Sent at intervals: the sender's versions and demands.
    Heartbeat(Heartbeat),
    /// Change of the table.
    Delta(Box<TableDelta>),
    /// Requests the whole table.
    AskTable,
    /// The whole table.
    Table(Box<PolicyTable>),
    /// Change of a hall record.
    HallDelta(Box<HallDelta>),
    /// Requests the hall record of a data hall.
    AskHall(String),
    /// A hall record.
    Hall(Box<HallRecord>),
    /// Requests the roster of a data hall.
    AskRoster(String),
    /// A roster.
    Roster(Box<RosterRecord>),
    /// A VM takes no new requests.
    Leaving(LeavingNotice),
    /// Requests an entry's drain report of a VM.
    AskDrained {
        /// Name of the VM.
        vm: String,
        /// Data hall of the VM.
        hall: String,
    },
    /// An entry's drain report of a VM.
    Drained(DrainReport),
}

/// State of an entry's requests at a VM that is draining.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DrainReport {
    /// Name of the VM.
    pub vm: String,
    /// Version of the hall record that the entry routes by.
    pub version: u64,
    /// Number of requests that the entry has in flight at the VM.
    pub in_flight: u32,
}

/// An entry's versions of all records, and its demands.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Revision of the table.
    pub table: u64,
    /// Versions of the hall records.
    pub halls: Vec<HallVersion>,
    /// Versions of the rosters.
    pub rosters: Vec<HallVersion>,
    /// Demands by pool; pools without demand are left out.
    pub demands: Vec<PoolDemand>,
    /// Time of sending, on the sender's clock, in milliseconds.
    pub sent_ms: u64,
    /// Send times of the last heartbeats that the sender has received, on the clocks
    /// of their senders. An entry that finds its own send time here knows that the
    /// rest of this heartbeat is no older than that.
    pub echoes: Vec<HeartbeatEcho>,
}

/// Send time of the last heartbeat that was received from an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatEcho {
    /// Hash of the entry's name.
    pub node: u32,
    /// Send time, on that entry's clock, in milliseconds.
    pub sent_ms: u64,
}

/// Version of a hall record or roster.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HallVersion {
    /// Data hall.
    pub hall: String,
    /// Version of the record.
    pub version: u64,
}

/// An entry's demand in a pool.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolDemand {
    /// Hash of the pool's name.
    pub pool: u32,
    /// Requests in flight and waiting.
    pub slots: u32,
}

/// Change of the table from one revision to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableDelta {
    /// Revision that the delta applies to.
    pub base: u64,
    /// Revision after the delta is applied.
    pub revision: u64,
    /// Who wrote the revision.
    pub stamp: WriterStamp,
    /// Rows of the pools that were added or changed.
    pub pools: Vec<PoolRow>,
    /// Rows of the teams that were added or changed.
    pub teams: Vec<TeamRow>,
    /// Names of the pools that were removed.
    pub removed_pools: Vec<String>,
    /// Names of the teams that were removed.
    pub removed_teams: Vec<String>,
}

/// Notice that a VM takes no new requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingNotice {
    /// Name of the VM.
    pub vm: String,
}

/// Change of a hall record from one version to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HallDelta {
    /// Data hall.
    pub hall: String,
    /// Version that the delta applies to.
    pub base: u64,
    /// Version after the delta is applied.
    pub version: u64,
    /// Who wrote the version.
    pub stamp: WriterStamp,
    /// Assignments that were added or changed.
    pub written: Vec<VmAssignment>,
    /// Names of the VMs whose assignments were removed.
    pub removed: Vec<String>,
}

impl HallDelta {
    /// Computes the delta that changes `old` into `new`.
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

    /// Applies the delta to `record`; none if it does not apply to its version.
    pub fn apply_to(&self, record: &HallRecord) -> Option<HallRecord> {
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
    /// Computes the delta that changes `old` into `new`.
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

    /// Applies the delta to `table`; none if it does not apply to its revision.
    pub fn apply_to(&self, table: &PolicyTable) -> Option<PolicyTable> {
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
/// Fails if the frame is longer than [`MAX_BODY_BYTES`].
pub fn encode_frame(frame: &MeshFrame) -> Result<Vec<u8>, WireError> {
    let body = postcard::to_stdvec(frame).map_err(|err| WireError::Malformed(err.to_string()))?;
    let length = check_length(body.len())?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(PROTOCOL_VERSION);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a header; returns the length of the body, in bytes.
///
/// # Errors
///
/// Fails if the protocol version differs or the body is too long.
pub fn decode_header(header: [u8; HEADER_BYTES]) -> Result<usize, WireError> {
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

/// Decodes the body of a frame.
///
/// # Errors
///
/// Fails if the bytes are not exactly one frame.
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
        limit: MAX_BODY_BYTES,
    };
    if length > MAX_BODY_BYTES {
        return Err(too_long);
    }
    u32::try_from(length).map_err(|_| too_long)
}
