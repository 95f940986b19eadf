//! Record of a data hall: the assignment of each of its VMs to a pool.
//!
//! The hall record is the only place that holds the assignments. A VM has at most
//! one assignment, so two pools can't both hold it.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::table::{
    WriterStamp,
    sign, //
};

/// Assignments of the VMs of one data hall.
///
/// A VM appears in a hall record at most once. The record is written only by
/// compare-and-swap on the revision that was read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HallRecord {
    /// Name of the data hall.
    pub hall: String,
    /// Number of changes of the record; never decreases.
    pub version: u64,
    /// Who wrote this version.
    #[serde(default)]
    pub stamp: WriterStamp,
    /// Writers of the versions before this one, latest first.
    #[serde(default)]
    pub recent: Vec<WriterStamp>,
    /// Assignments, ordered by name of the VM.
    pub vms: Vec<VmAssignment>,
}

/// Assignment of one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmAssignment {
    /// Name of the VM.
    pub vm: String,
    /// Address of the VM's runner.
    pub address: SocketAddr,
    /// Rack of the VM.
    pub rack: String,
    /// Pool that holds the VM.
    pub pool: String,
    /// Whether the VM takes new requests.
    pub state: AssignmentState,
    /// Why the VM is drained or, for a requested move, is to be drained.
    #[serde(default)]
    pub task: Option<VmTask>,
    /// Fencing token: raised by each drain, move and withdrawn permit, so that
    /// actions that were planned before fail.
    #[serde(default)]
    pub fence: u64,
    /// Last wave that the VM completed; empty for none.
    #[serde(default)]
    pub last_wave: String,
}

/// Why a VM is drained.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmTask {
    /// The VM moves to another pool.
    Move {
        /// Pool that the VM moves to.
        to: String,
    },
    /// The VM is rebooted.
    Maintain {
        /// Name of the wave.
        wave: String,
        /// Current step of the maintenance.
        step: MaintainStep,
    },
}

/// Step of the maintenance of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MaintainStep {
    /// The VM takes no new requests while the running ones finish.
    Drain,
    /// The VM is drained and is being rebooted. The reboot is complete once the
    /// platform reports a higher boot count.
    Reboot {
        /// Boot count of the platform before the reboot.
        boots: u64,
    },
}

impl VmAssignment {
    /// Whether the VM completed a wave.
    pub fn completed_wave(&self, wave: &str) -> bool {
        self.last_wave == wave
    }

    /// Whether the VM is drained or rebooted for a wave.
    pub fn is_in_wave(&self, name: &str) -> bool {
        matches!(&self.task, Some(VmTask::Maintain { wave, .. }) if wave == name)
    }
}

/// Whether a VM takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AssignmentState {
    /// The VM takes requests of its pool.
    Serving,
    /// The VM takes no new requests: it drains, or is rebooted.
    Leaving,
}

/// Why an assignment could not be added or found.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum HallError {
    /// The VM already belongs to a pool.
    #[error("VM {vm} belongs to pool {pool}; move it with 'hoisthitch vms move'")]
    Assigned {
        /// Name of the VM.
        vm: String,
        /// Pool that holds it.
        pool: String,
    },
    /// The VM belongs to no pool.
    #[error("VM {0} belongs to no pool; 'hoisthitch vms show' lists the assignments")]
    Unassigned(String),
}

impl HallRecord {
    /// Creates the record of a data hall without VMs.
    pub fn new(hall: &str) -> Self {
        Self {
            hall: hall.to_owned(),
            ..Self::default()
        }
    }

    /// Increments the version and stamps it with its writer.
    pub fn sign(&mut self, stamp: WriterStamp) {
        self.sign_as(self.version + 1, stamp);
    }

    /// Sets the version and stamps it with its writer.
    pub fn sign_as(&mut self, version: u64, stamp: WriterStamp) {
        self.version = version;
        sign(&mut self.stamp, &mut self.recent, stamp);
    }

    /// Assigns a VM that belongs to no pool.
    ///
    /// # Errors
    ///
    /// Fails when the VM already belongs to a pool, even to the same one.
    pub fn assign(&mut self, assignment: VmAssignment) -> Result<(), HallError> {
        match self
            .vms
            .binary_search_by(|other| other.vm.cmp(&assignment.vm))
        {
            Ok(index) => Err(HallError::Assigned {
                vm: assignment.vm,
                pool: self.vms[index].pool.clone(),
            }),
            Err(index) => {
                self.vms.insert(index, assignment);
                Ok(())
            }
        }
    }

    /// Finds the assignment of a VM for a change.
    ///
    /// # Errors
    ///
    /// Fails when the VM belongs to no pool.
    pub fn find_mut(&mut self, vm: &str) -> Result<&mut VmAssignment, HallError> {
        self.vms
            .iter_mut()
            .find(|assignment| assignment.vm == vm)
            .ok_or_else(|| HallError::Unassigned(vm.to_owned()))
    }

    /// Finds the assignment of a VM.
    pub fn find(&self, vm: &str) -> Option<&VmAssignment> {
        let found = self
            .vms
            .binary_search_by(|assignment| assignment.vm.as_str().cmp(vm));
        found.ok().map(|index| &self.vms[index])
    }
}
