//! The record of a data hall: the one home of each VM's assignment.

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
/// A VM appears in one hall record at most once, so two pools can't both hold
/// it. The record is written only by compare-and-swap on what was read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HallRecord {
    /// Data hall that the record is for.
    pub hall: String,
    /// Counts the record's changes; never falls.
    pub version: u64,
    /// Who wrote this version.
    #[serde(default)]
    pub stamp: WriterStamp,
    /// Writers of the versions before this one, latest first.
    #[serde(default)]
    pub recent: Vec<WriterStamp>,
    /// Assignments, ordered by VM.
    pub vms: Vec<VmAssignment>,
}

/// Assignment of one VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmAssignment {
    /// Name of the VM.
    pub vm: String,
    /// Address of the VM's runner.
    pub address: SocketAddr,
    /// Rack that the VM sits in.
    pub rack: String,
    /// Pool that holds the VM.
    pub pool: String,
    /// Whether the VM takes new work.
    pub state: AssignmentState,
    /// What the VM leaves for; none while it serves.
    #[serde(default)]
    pub task: Option<VmTask>,
    /// Counts the times that the VM began to leave or was kept from it; an
    /// action that was planned before is dropped.
    #[serde(default)]
    pub fence: u64,
    /// Last wave that the VM went through; empty for none.
    #[serde(default)]
    pub last_wave: String,
}

/// What a VM leaves for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmTask {
    /// It goes to another pool.
    Move {
        /// Pool that it goes to.
        to: String,
    },
    /// It is rebooted.
    Maintain {
        /// Name of the wave.
        wave: String,
        /// How far it is.
        step: MaintainStep,
    },
}

/// How far the maintenance of a VM is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MaintainStep {
    /// Its requests end.
    Drain,
    /// It is told to reboot, and was started so often before.
    Reboot {
        /// Boots before the reboot, as the platform counts them.
        boots: u64,
    },
}

impl VmAssignment {
    /// Whether the VM went through a wave.
    pub fn completed_wave(&self, wave: &str) -> bool {
        self.last_wave == wave
    }

    /// Whether the VM is absent for a wave.
    pub fn is_in_wave(&self, name: &str) -> bool {
        matches!(&self.task, Some(VmTask::Maintain { wave, .. }) if wave == name)
    }
}

/// Whether a VM takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AssignmentState {
    /// The VM takes its pool's work.
    Serving,
    /// The VM takes no new work.
    Leaving,
}

/// Why a hall record does not take an assignment.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum HallError {
    /// The VM belongs to a pool.
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
    /// Starts the record of a data hall.
    pub fn new(hall: &str) -> Self {
        Self {
            hall: hall.to_owned(),
            ..Self::default()
        }
    }

    /// Signs the next version.
    pub fn sign(&mut self, stamp: WriterStamp) {
        self.sign_as(self.version + 1, stamp);
    }

    /// Signs a version.
    pub fn sign_as(&mut self, version: u64, stamp: WriterStamp) {
        self.version = version;
        sign(&mut self.stamp, &mut self.recent, stamp);
    }

    /// Assigns a VM that belongs to no pool.
    ///
    /// # Errors
    ///
    /// Fails when the VM belongs to a pool, be it the same one.
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

    /// Finds the assignment of a VM, to change it.
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
