//! Maintenance waves: which VMs are drained and rebooted, and in which order.
//!
//! A wave's progress stands in the hall records: each assignment names the last
//! wave that its VM went through. The wave's own record stays small.

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

/// State of a wave.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveState {
    /// VMs are drained and rebooted.
    #[default]
    Running,
    /// No further VM is drained.
    Paused,
    /// No further VM will be drained.
    Cancelled,
}

/// A maintenance wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveRecord {
    /// Name of the wave; unique.
    pub name: String,
    /// Counts the record's changes; never falls.
    pub version: u64,
    /// Who wrote this version.
    #[serde(default)]
    pub stamp: WriterStamp,
    /// Writers of the versions before this one, latest first.
    #[serde(default)]
    pub recent: Vec<WriterStamp>,
    /// State of the wave.
    pub state: WaveState,
    /// Why the wave is paused, for operators.
    #[serde(default)]
    pub reason: String,
    /// Pools that the wave goes through; all where none is named.
    pub pools: Vec<String>,
}

/// Progress of a wave.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveProgress {
    /// VMs that the wave goes through.
    pub total: usize,
    /// VMs that are back.
    pub done: usize,
    /// VMs that are drained, rebooted or probed.
    pub under_way: usize,
}

impl WaveRecord {
    /// Starts a wave.
    pub fn new(name: &str, pools: Vec<String>) -> Self {
        Self {
            name: name.to_owned(),
            pools,
            ..Self::default()
        }
    }

    /// Signs the next version.
    pub fn sign(&mut self, stamp: WriterStamp) {
        self.version += 1;
        sign(&mut self.stamp, &mut self.recent, stamp);
    }

    /// Whether the wave goes through a pool.
    pub fn covers(&self, pool: &str) -> bool {
        self.pools.is_empty() || self.pools.iter().any(|name| name == pool)
    }

    /// Progress of the wave.
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
/// Racks that the wave has begun come first, so that a failing rack costs VMs
/// that are maintained anyhow; among those, by data hall and rack, so that the
/// VMs that are absent together share their failure domain.
pub fn wave_candidates<'a>(
    wave: &WaveRecord,
    pool: &str,
    halls: impl Iterator<Item = &'a HallRecord>,
) -> Vec<WaveCandidate<'a>> {
    let mut begun: BTreeMap<(&str, &str), bool> = BTreeMap::new();
    let mut candidates = Vec::new();
    for hall in halls {
        for assignment in &hall.vms {
            if assignment.pool != pool || !wave.covers(pool) {
                continue;
            }
            let rack = begun.entry((&hall.hall, &assignment.rack)).or_default();
            *rack |= assignment.completed_wave(&wave.name) || assignment.is_in_wave(&wave.name);
            let waits = assignment.state == AssignmentState::Serving
                && assignment.task.is_none()
                && !assignment.completed_wave(&wave.name);
            if waits {
                candidates.push(WaveCandidate {
                    hall: &hall.hall,
                    assignment,
                });
            }
        }
    }
    candidates.sort_by_key(|candidate| {
        let place = (candidate.hall, candidate.assignment.rack.as_str());
        let begun = begun.get(&place).copied().unwrap_or(false);
        (!begun, place, candidate.assignment.vm.as_str())
    });
    candidates
}
