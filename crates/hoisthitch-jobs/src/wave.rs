//! Progress of a wave of maintenance, and the changes that pool owners make to it.
//!
//! All pools share one record for each wave, because the limit on VMs that are down at the
//! same time applies over all of them. Each owner collects its changes and writes them
//! together. If another owner wrote first, the same changes are applied to the newer record,
//! so that no change is lost and the number of writes does not grow with the number of VMs.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Progress of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveProgress {
    /// VMs that are down or about to go down, with the instance that their runner had before.
    pub down: BTreeMap<String, String>,
    /// Those of them whose maintenance the platform has confirmed. A VM that is up again with
    /// a new instance of its runner, and is not in this set, has crashed.
    #[serde(default)]
    pub begun: BTreeSet<String>,
    /// VMs whose maintenance is done.
    pub done: BTreeSet<String>,
}

/// Changes that an owner wants to make to a wave's progress.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaveChange {
    /// VMs that it wants to take down, with the instance of their runner.
    pub down: BTreeMap<String, String>,
    /// VMs whose maintenance the platform has confirmed.
    pub begun: BTreeSet<String>,
    /// VMs that are back from their maintenance, or no longer exist.
    pub done: BTreeSet<String>,
}

impl WaveChange {
    /// Whether there is nothing to change.
    pub fn is_empty(&self) -> bool {
        self.down.is_empty() && self.begun.is_empty() && self.done.is_empty()
    }
}

impl WaveProgress {
    /// The progress with a change applied. At most `max_down` VMs are down; further ones are
    /// left out.
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

    /// Whether the maintenance of all these VMs is done.
    pub fn is_completed(&self, vms: &[String]) -> bool {
        vms.iter().all(|vm| self.done.contains(vm))
    }
}
