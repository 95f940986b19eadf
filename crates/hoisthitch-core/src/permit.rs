//! Availability budget of a pool: permits for planned absences of VMs.
//!
//! The permits of a pool are one record in the store, [`PermitLedger`]. A permit
//! is granted if the VMs with permits and the lost VMs (absent without a plan)
//! stay within the budget. A VM may only be drained under a permit. The permit is
//! written to the store before the VM's new state, so that a crash between the
//! two writes leaves one permit too many, never one too few.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::table::{
    WriterStamp,
    sign, //
};

/// Permits of one pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitLedger {
    /// Pool that the permits are for.
    pub pool: String,
    /// Number of changes of the record; never decreases.
    pub version: u64,
    /// Who wrote this version.
    #[serde(default)]
    pub stamp: WriterStamp,
    /// Writers of the versions before this one, latest first.
    #[serde(default)]
    pub recent: Vec<WriterStamp>,
    /// Permits that are held.
    pub permits: Vec<AbsencePermit>,
}

/// A permit for one VM to be absent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AbsencePermit {
    /// Name of the VM.
    pub vm: String,
    /// Data hall of the VM.
    pub hall: String,
    /// Random identifier of the operation that took the permit; distinguishes the
    /// permit from a later one for the same VM.
    pub operation: u64,
    /// Wall clock time at which the permit was taken, in milliseconds. It is shown
    /// to operators; no decision depends on it.
    pub since_ms: u64,
}

/// Why a permit was not granted.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PermitError {
    /// The budget is used up.
    #[error("pool {pool}: {absent} of {budget} VMs are absent or about to be")]
    Exhausted {
        /// The pool.
        pool: String,
        /// Number of VMs that are absent or have a permit.
        absent: usize,
        /// Largest number of VMs that may be absent.
        budget: usize,
    },
    /// The VM already has a permit.
    #[error("VM {0} has a permit")]
    Taken(String),
}

impl PermitLedger {
    /// Creates a ledger without permits.
    pub fn new(pool: &str) -> Self {
        Self {
            pool: pool.to_owned(),
            ..Self::default()
        }
    }

    /// Increments the version and stamps it with its writer.
    pub fn sign(&mut self, stamp: WriterStamp) {
        self.version += 1;
        sign(&mut self.stamp, &mut self.recent, stamp);
    }

    /// Whether a VM has a permit.
    pub fn holds(&self, vm: &str) -> bool {
        self.find(vm).is_some()
    }

    /// Takes a permit, if the budget allows one more absent VM.
    ///
    /// `lost` holds the names of the pool's VMs that are absent without a plan.
    ///
    /// # Errors
    ///
    /// Fails when the VM already has a permit, or the budget is used up.
    pub fn take(
        &mut self,
        permit: AbsencePermit,
        lost: &BTreeSet<String>,
        budget: usize,
    ) -> Result<(), PermitError> {
        if self.holds(&permit.vm) {
            return Err(PermitError::Taken(permit.vm));
        }
        let absent = self.absent(lost);
        // A lost VM is already counted in `absent`.
        let added = usize::from(!lost.contains(&permit.vm));
        if absent + added > budget {
            return Err(PermitError::Exhausted {
                pool: self.pool.clone(),
                absent,
                budget,
            });
        }
        self.permits.push(permit);
        Ok(())
    }

    /// Releases a permit; returns whether it was held.
    pub fn release(&mut self, operation: u64) -> bool {
        let before = self.permits.len();
        self.permits.retain(|permit| permit.operation != operation);
        self.permits.len() < before
    }

    /// Finds a VM's permit.
    pub fn find(&self, vm: &str) -> Option<&AbsencePermit> {
        self.permits.iter().find(|permit| permit.vm == vm)
    }

    /// Number of VMs that have a permit or are lost, each counted once.
    pub fn absent(&self, lost: &BTreeSet<String>) -> usize {
        let unplanned = lost.iter().filter(|vm| !self.holds(vm)).count();
        self.permits.len() + unplanned
    }
}
