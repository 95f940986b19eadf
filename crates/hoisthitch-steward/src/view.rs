//! View of the fleet: reads the store's records and the platform's list of VMs.

use std::collections::BTreeMap;

use hoisthitch_core::{
    FleetSnapshot,
    HallRecord,
    ObservedVm,
    PermitLedger,
    PolicyTable,
    RosterEntry,
    RosterRecord,
    WaveRecord, //
};
use hoisthitch_store::{
    KeyRevision,
    KeySpace,
    ListedVm,
    StoreClient,
    StoreError,
    StoredValue,
    VmLister,
    VmListing,
    VmState, //
};
use hoisthitch_telemetry::event;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

/// State of the fleet, as read in one pass.
///
/// The records are read after the list of VMs, so that a VM which is listed as live
/// again is not compared with an older record.
#[derive(Debug)]
pub struct FleetView {
    /// When the reading began.
    pub read_at: Instant,
    /// Number of changes that were read so far.
    pub version: u64,
    /// The operators' table.
    pub table: PolicyTable,
    /// Hall records by data hall.
    pub halls: BTreeMap<String, HallRecord>,
    /// Permit ledgers by pool.
    pub ledgers: BTreeMap<String, PermitLedger>,
    /// Waves.
    pub waves: Vec<WaveRecord>,
    /// Entries on the rosters, with the data hall of the roster.
    pub entries: Vec<RosteredEntry>,
    /// Names of the stewards that are alive.
    pub stewards: Vec<String>,
    /// VMs that the platform lists.
    pub listed: BTreeMap<String, ObservedVm>,
}

/// An entry and the roster that it is on.
#[derive(Clone, Debug)]
pub struct RosteredEntry {
    /// Data hall of the roster.
    pub hall: String,
    /// The entry.
    pub entry: RosterEntry,
}

/// Reads the fleet; lists and records are read only if they have changed.
pub struct ViewReader<S> {
    store: S,
    lister: VmLister,
    keys: KeySpace,
    view: FleetView,
    /// Tag of the list of VMs as last read.
    list_tag: String,
    /// Revisions of the records as last read.
    fleet_revisions: Vec<KeyRevision>,
    record_revisions: Vec<KeyRevision>,
}

impl<S: StoreClient> ViewReader<S> {
    /// Creates a reader with an empty view.
    pub fn new(store: S, lister: VmLister, keys: KeySpace) -> Self {
        Self {
            store,
            lister,
            keys,
            view: FleetView::empty(),
            list_tag: String::new(),
            fleet_revisions: Vec::new(),
            record_revisions: Vec::new(),
        }
    }

    /// Reads the fleet.
    ///
    /// # Errors
    ///
    /// Fails if the store or the list of VMs can't be read.
    pub async fn read(&mut self) -> Result<&FleetView, StoreError> {
        let read_at = Instant::now();
        self.read_list().await?;
        let fleet = self.store.read_revisions(&self.keys.fleet()).await?;
        let records = self.store.read_revisions(&self.keys.records()).await?;
        if fleet != self.fleet_revisions || records != self.record_revisions {
            self.read_records().await?;
            // Records that changed since the revisions were read are read again.
            self.fleet_revisions = fleet;
            self.record_revisions = records;
        }
        self.view.read_at = read_at;
        Ok(&self.view)
    }

    async fn read_list(&mut self) -> Result<(), StoreError> {
        if let VmListing::Changed { vms, tag } = self.lister.list_changes(&self.list_tag).await? {
            self.view.listed = vms.iter().map(observed_vm).collect();
            self.view.version += 1;
            self.list_tag = tag;
        }
        Ok(())
    }

    /// Reads all records, permits first. Otherwise a permit would seem unused if its
    /// VM began to drain between the two reads.
    async fn read_records(&mut self) -> Result<(), StoreError> {
        let mut view = FleetView::empty();
        for prefix in [self.keys.fleet(), self.keys.records()] {
            for stored in self.store.read_prefix(&prefix).await? {
                view.apply(&self.keys, &stored);
            }
        }
        view.listed = std::mem::take(&mut self.view.listed);
        view.version = self.view.version + 1;
        self.view = view;
        Ok(())
    }
}

impl FleetView {
    fn empty() -> Self {
        Self {
            read_at: Instant::now(),
            version: 0,
            table: PolicyTable::default(),
            halls: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            waves: Vec::new(),
            entries: Vec::new(),
            stewards: Vec::new(),
            listed: BTreeMap::new(),
        }
    }

    /// The view as input of the planner.
    pub fn snapshot(&self) -> FleetSnapshot<'_> {
        FleetSnapshot {
            table: &self.table,
            halls: &self.halls,
            ledgers: &self.ledgers,
            waves: &self.waves,
            listed: &self.listed,
        }
    }

    fn apply(&mut self, keys: &KeySpace, stored: &StoredValue) {
        let key = &stored.key;
        if *key == keys.table() {
            self.table = decode(stored).unwrap_or_default();
        } else if key.starts_with(&keys.halls()) {
            let record: Option<HallRecord> = decode(stored);
            let named = record.map(|record| (record.hall.clone(), record));
            self.halls.extend(named);
        } else if key.starts_with(&keys.rosters()) {
            let record: Option<RosterRecord> = decode(stored);
            self.entries.extend(record.into_iter().flat_map(rostered));
        } else if key.starts_with(&keys.all_permits()) {
            let record: Option<PermitLedger> = decode(stored);
            let named = record.map(|record| (record.pool.clone(), record));
            self.ledgers.extend(named);
        } else if key.starts_with(&keys.waves()) {
            self.waves.extend(decode::<WaveRecord>(stored));
        } else if let Some(name) = key.strip_prefix(&keys.stewards()) {
            self.stewards.push(name.to_owned());
        }
    }
}

fn observed_vm(listed: &ListedVm) -> (String, ObservedVm) {
    let observed = ObservedVm {
        live: listed.state == VmState::Live,
        boots: listed.boots,
    };
    (listed.vm.clone(), observed)
}

fn rostered(record: RosterRecord) -> impl Iterator<Item = RosteredEntry> {
    let hall = record.hall;
    record.entries.into_iter().map(move |entry| RosteredEntry {
        hall: hall.clone(),
        entry,
    })
}

fn decode<R: DeserializeOwned>(stored: &StoredValue) -> Option<R> {
    match serde_json::from_slice(&stored.value) {
        Ok(record) => Some(record),
        Err(err) => {
            event!(Error, "record_malformed", key = stored.key, error = err);
            None
        }
    }
}
