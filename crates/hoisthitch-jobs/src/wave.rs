//! How far a wave is, and what an owner changes of that.
//!
//! All pools count into one record, for the VMs that may be down at once are counted
//! over all of them. Each owner gathers its changes and writes them together; where
//! another owner wrote first, the same changes are put on what that one left. So no
//! change is lost, and the number of writes does not grow with the number of VMs.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// How far a wave is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveProgress {
    /// VMs that are down or about to be, with the life of their runner before.
    pub down: BTreeMap<String, String>,
    /// Those of them whose upkeep the platform has confirmed. A VM that is up
    /// with a new life without that had a crash.
    #[serde(default)]
    pub begun: BTreeSet<String>,
    /// VMs that had their upkeep.
    pub done: BTreeSet<String>,
}

/// What an owner has to say of a wave.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaveChange {
    /// VMs that it wants to take down, with the life of their runner.
    pub down: BTreeMap<String, String>,
    /// VMs whose upkeep the platform has confirmed.
    pub begun: BTreeSet<String>,
    /// VMs that are back from their upkeep, or are no more.
    pub done: BTreeSet<String>,
}

impl WaveChange {
    /// Whether there is nothing to say.
    pub fn is_empty(&self) -> bool {
        self.down.is_empty() && self.begun.is_empty() && self.done.is_empty()
    }
}

impl WaveProgress {
    /// The record with a change, in which at most `max_down` VMs are down; one beyond
    /// that is left out.
    pub fn with(&self, change: &WaveChange, max_down: usize) -> Self {
        let mut next = self.clone();
        for vm in &change.done {
            next.down.remove(vm);
            next.begun.remove(vm);
            next.done.insert(vm.clone());
        }
        let begun = change.begun.iter();
        let begun = begun.filter(|vm| !next.done.contains(*vm)).cloned();
        next.begun.extend(begun);
        for (vm, instance) in &change.down {
            let counted = next.down.contains_key(vm) || next.done.contains(vm);
            if !counted && next.down.len() < max_down {
                next.down.insert(vm.clone(), instance.clone());
            }
        }
        next
    }

    /// Whether the VM still has to be taken down.
    pub fn is_due(&self, vm: &str) -> bool {
        !self.done.contains(vm) && !self.down.contains_key(vm)
    }

    /// Whether all these VMs had their upkeep.
    pub fn is_completed(&self, vms: &[String]) -> bool {
        vms.iter().all(|vm| self.done.contains(vm))
    }
}
