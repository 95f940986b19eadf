//! The availability budget of a pool: permits for planned absence.
//!
//! A VM is only drained under a permit, which is written to the store before the
//! VM's state is. A crash between the two leaves a permit too many, never one
//! too few. Unplanned losses count against the same budget.

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
    /// Counts the record's changes; never falls.
    pub version: u64,
    /// Who wrote this version.
    #[serde(default)]
    pub stamp: WriterStamp,
    /// Writers of the versions before this one, latest first.
    #[serde(default)]
    pub recent: Vec<WriterStamp>,
    /// Permits that are taken.
    pub permits: Vec<AbsencePermit>,
}

/// A permit for one VM to be absent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AbsencePermit {
    /// VM that may be absent.
    pub vm: String,
    /// Data hall of the VM.
    pub hall: String,
    /// Random number of the taking; tells this permit from a later one for the
    /// same VM.
    pub operation: u64,
    /// When the permit was taken, in milliseconds of the wall clock; told to
    /// operators, decided by nobody.
    pub since_ms: u64,
}

/// Why a permit was not given.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum PermitError {
    /// The budget is used up.
    #[error("pool {pool}: {absent} of {budget} VMs are absent or about to be")]
    Exhausted {
        /// The pool.
        pool: String,
        /// VMs that are absent, planned or not.
        absent: usize,
        /// Most that may be.
        budget: usize,
    },
    /// The VM has a permit.
    #[error("VM {0} has a permit")]
    Taken(String),
}

impl PermitLedger {
    /// Starts without permits.
    pub fn new(pool: &str) -> Self {
        Self {
            pool: pool.to_owned(),
            ..Self::default()
        }
    }

    /// Signs the next version.
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
    /// `lost` names the pool's VMs that are absent without being planned.
    ///
    /// # Errors
    ///
    /// Fails when the VM has a permit, or the budget is used up.
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
        // A VM that is lost already costs nothing more.
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

    /// Returns a permit; answers whether it was there.
    pub fn release(&mut self, operation: u64) -> bool {
        let before = self.permits.len();
        self.permits.retain(|permit| permit.operation != operation);
        self.permits.len() < before
    }

    /// Finds a VM's permit.
    pub fn find(&self, vm: &str) -> Option<&AbsencePermit> {
        self.permits.iter().find(|permit| permit.vm == vm)
    }

    /// VMs that are absent or may be, planned or not, each counted once.
    pub fn absent(&self, lost: &BTreeSet<String>) -> usize {
        let unplanned = lost.iter().filter(|vm| !self.holds(vm)).count();
        self.permits.len() + unplanned
    }
}
