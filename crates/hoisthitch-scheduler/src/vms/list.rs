//! Cache of the platform's list of VMs.
//!
//! The list has all VMs of the fleet, whichever pool reads it. Both VM loops of a pool share
//! one copy, and read it again only when it is too old for them.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc, //
};

use hoisthitch_jobs::Millis;

use super::VmContext;
use crate::platform::{
    Platform,
    VmControl,
    VmError,
    VmStatus, //
};

/// Maximum age of the cached list, in milliseconds: half of the time that a VM's maintenance or
/// move takes. When each owner read the list five times a second, that was most of the traffic
/// on narrow links.
const MAX_LIST_AGE_MS: Millis = 900;

/// All VMs of the platform's list at a time.
#[derive(Debug, Default)]
pub(super) struct VmListing {
    /// When the list was requested; orders that were given later don't show in it.
    pub(super) requested_at: Millis,
    rows: Vec<VmStatus>,
    /// Position of each VM in the rows, by name.
    positions: HashMap<String, usize>,
}

impl VmListing {
    fn new(rows: Vec<VmStatus>, requested_at: Millis) -> Self {
        let positions = rows.iter().enumerate();
        let positions = positions.map(|(position, row)| (row.name.clone(), position));
        Self {
            requested_at,
            positions: positions.collect(),
            rows,
        }
    }

    /// Rows of all VMs.
    pub(super) fn iter(&self) -> impl Iterator<Item = &VmStatus> {
        self.rows.iter()
    }

    /// The row of a VM, if it is listed.
    pub(super) fn find(&self, vm: &str) -> Option<&VmStatus> {
        self.rows.get(*self.positions.get(vm)?)
    }
}

/// Reads the list and caches it.
#[derive(Default)]
pub(super) struct VmList {
    last: RefCell<Option<Rc<VmListing>>>,
}

impl VmList {
    /// The list, at most [`MAX_LIST_AGE_MS`] old.
    ///
    /// # Errors
    ///
    /// Returns the errors of the platform.
    pub(super) async fn read<P: Platform>(
        &self,
        context: &VmContext<P>,
    ) -> Result<Rc<VmListing>, VmError> {
        let now = context.shared.clock.now();
        let last = self.last.borrow().clone();
        if let Some(rows) = last.filter(|rows| rows.requested_at + MAX_LIST_AGE_MS > now) {
            return Ok(rows);
        }
        let rows = Rc::new(VmListing::new(context.platform.vms().list().await?, now));
        *self.last.borrow_mut() = Some(rows.clone());
        Ok(rows)
    }
}
