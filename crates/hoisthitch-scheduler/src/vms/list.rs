//! The platform's list of VMs, as last read.
//!
//! The list grows with the fleet, whichever pool asks for it. Both loops of a pool's
//! VMs share one copy and read it anew only when it is older than they can bear.

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

/// Age up to which the list is used, in milliseconds: half of the time that an upkeep
/// or a move takes. Read five times a second by each owner it was most of what narrow
/// links carried.
const LIST_AGE_MS: Millis = 900;

/// All VMs at a time.
#[derive(Debug, Default)]
pub(super) struct VmRows {
    /// When they were asked for; what was ordered later does not show.
    pub(super) asked_at: Millis,
    rows: Vec<VmStatus>,
    places: HashMap<String, usize>,
}

impl VmRows {
    fn new(rows: Vec<VmStatus>, asked_at: Millis) -> Self {
        let places = rows.iter().enumerate();
        let places = places.map(|(place, row)| (row.name.clone(), place));
        Self {
            asked_at,
            places: places.collect(),
            rows,
        }
    }

    /// All rows.
    pub(super) fn iter(&self) -> impl Iterator<Item = &VmStatus> {
        self.rows.iter()
    }

    /// A VM's row.
    pub(super) fn find(&self, vm: &str) -> Option<&VmStatus> {
        self.rows.get(*self.places.get(vm)?)
    }
}

/// Reads the list, and keeps it for a while.
#[derive(Default)]
pub(super) struct VmList {
    last: RefCell<Option<Rc<VmRows>>>,
}

impl VmList {
    /// The list as it was a moment ago.
    ///
    /// # Errors
    ///
    /// Fails as the platform does.
    pub(super) async fn read<P: Platform>(
        &self,
        context: &VmContext<P>,
    ) -> Result<Rc<VmRows>, VmError> {
        let now = context.shared.clock.now();
        let last = self.last.borrow().clone();
        if let Some(rows) = last.filter(|rows| rows.asked_at + LIST_AGE_MS > now) {
            return Ok(rows);
        }
        let rows = Rc::new(VmRows::new(context.platform.vms().list().await?, now));
        *self.last.borrow_mut() = Some(rows.clone());
        Ok(rows)
    }
}
