//! Maintenance waves: rolling reboots of the VMs of some pools.
//!
//! [`wave_candidates`] is given a wave and the hall records and returns the VMs
//! that are still to be drained, in order. The progress of a wave is kept in the
//! hall records, where each assignment has the last wave that its VM completed,
//! so the record of the wave itself stays small.

use std::collections::BTreeMap;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    hall::{
        AssignmentState,
        HallRecord,
        VmAssignment, //
    },
    table::{
        WriterStamp,
        sign, //
    }, //
};

/// State of a maintenance wave.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// VMs are drained and rebooted.
    #[default]
    Running,
    /// No further VMs are drained until the wave is resumed.
    Paused,
    /// No further VMs will be drained.
    Cancelled,
}

/// Record of a maintenance wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// Name of the wave; unique.
    pub name: String,
    /// Number of changes of the record; never decreases.
    pub version: u64,
    /// Who wrote this version.
    #[serde(default)]
    pub stamp: WriterStamp,
    /// Writers of the versions before this one, latest first.
    #[serde(default)]
    pub recent: Vec<WriterStamp>,
    /// State of the wave.
    pub state: WaveState,
    /// Reason for the pause, for operators.
    #[serde(default)]
    pub reason: String,
    /// Names of the pools that the wave covers; empty for all pools.
    pub pools: Vec<String>,
}

/// Progress of a wave.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveProgress {
    /// Number of VMs that the wave covers.
    pub total: usize,
    /// Number of VMs that completed the wave.
    pub done: usize,
    /// Number of VMs that are being drained, rebooted or probed.
    pub under_way: usize,
}

impl WaveRecord {
    /// Creates the record of a running wave.
    pub fn new(name: &str, pools: Vec<String>) -> Self {
        Self {
            name: name.to_owned(),
            pools,
            ..Self::default()
        }
    }

    /// Increments the version and stamps it with its writer.
    pub fn sign(&mut self, stamp: WriterStamp) {
        self.version += 1;
        sign(&mut self.stamp, &mut self.recent, stamp);
    }

    /// Whether the wave covers a pool.
    pub fn covers(&self, pool: &str) -> bool {
        self.pools.is_empty() || self.pools.iter().any(|name| name == pool)
    }

    /// Computes the progress of the wave from the hall records.
    pub fn progress<'a>(&self, halls: impl Iterator<Item = &'a HallRecord>) -> WaveProgress {
        let mut progress = WaveProgress::default();
        for assignment in halls.flat_map(|hall| &hall.vms) {
            if !self.covers(&assignment.pool) {
                continue;
            }
            progress.total += 1;
            progress.done += usize::from(assignment.completed_wave(&self.name));
            progress.under_way += usize::from(assignment.is_in_wave(&self.name));
        }
        progress
    }
}

/// A VM that a wave may drain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaveCandidate<'a> {
    /// Data hall of the VM.
    pub hall: &'a str,
    /// The VM's assignment.
    pub assignment: &'a VmAssignment,
}

/// VMs of a pool that a wave has still to drain, in the order to drain them.
///
/// Racks in which the wave has already begun come first, so that the failure of a
/// rack hits VMs that are in maintenance anyway. Within both groups, VMs are
/// ordered by data hall and rack, so that VMs that are absent at the same time
/// share a failure domain.
pub fn wave_candidates<'a>(
    wave: &WaveRecord,
    pool: &str,
    halls: impl Iterator<Item = &'a HallRecord>,
) -> Vec<WaveCandidate<'a>> {
    let mut begun_racks: BTreeMap<(&str, &str), bool> = BTreeMap::new();
    let mut candidates = Vec::new();
    for hall in halls {
        for assignment in &hall.vms {
            if assignment.pool != pool || !wave.covers(pool) {
                continue;
            }
            let rack_begun = begun_racks
                .entry((&hall.hall, &assignment.rack))
                .or_default();
            *rack_begun |=
                assignment.completed_wave(&wave.name) || assignment.is_in_wave(&wave.name);
            let is_candidate = assignment.state == AssignmentState::Serving
                && assignment.task.is_none()
                && !assignment.completed_wave(&wave.name);
            if is_candidate {
                candidates.push(WaveCandidate {
                    hall: &hall.hall,
                    assignment,
                });
            }
        }
    }
    candidates.sort_by_key(|candidate| {
        let location = (candidate.hall, candidate.assignment.rack.as_str());
        let begun = begun_racks.get(&location).copied().unwrap_or(false);
        (!begun, location, candidate.assignment.vm.as_str())
    });
    candidates
}
