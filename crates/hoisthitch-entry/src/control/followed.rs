//! Revisions and contents of the store's records, as last read or watched.

use std::collections::BTreeMap;

use hoisthitch_core::RosterEntry;
use hoisthitch_store::{
    KeyRevision,
    StoreRevision,
    StoredValue, //
};
use hoisthitch_wire::HallVersion;

/// Content of a record, as far as it is compared with what is in effect.
pub enum FollowedContent {
    /// Revision of the table.
    Table(u64),
    /// Version of a hall record.
    Hall(HallVersion),
    /// Entries of a roster.
    Roster(Vec<RosterEntry>),
    /// Another kind of record, or a malformed one.
    Other,
}

/// Records of the store by key.
#[derive(Default)]
pub struct FollowedRecords {
    records: BTreeMap<String, FollowedRecord>,
}

struct FollowedRecord {
    revision: StoreRevision,
    content: FollowedContent,
}

impl FollowedRecords {
    /// Whether the known records have exactly these keys and revisions.
    pub fn has_exactly(&self, revisions: &[KeyRevision]) -> bool {
        let same = |key: &KeyRevision| {
            let known = self.records.get(&key.key);
            known.is_some_and(|known| known.revision == key.revision)
        };
        revisions.len() == self.records.len() && revisions.iter().all(same)
    }

    /// Adds or replaces a record.
    pub fn put(&mut self, stored: &StoredValue, content: FollowedContent) {
        let revision = stored.revision;
        let record = FollowedRecord { revision, content };
        self.records.insert(stored.key.clone(), record);
    }

    /// Removes all records.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Highest revision of all records.
    pub fn highest(&self) -> StoreRevision {
        let revisions = self.records.values().map(|record| record.revision);
        revisions.max().unwrap_or_default()
    }

    /// Revision of the operators' table; zero if there is none.
    pub fn table(&self) -> u64 {
        let tables = self
            .records
            .values()
            .filter_map(|record| match record.content {
                FollowedContent::Table(revision) => Some(revision),
                _ => None,
            });
        tables.max().unwrap_or(0)
    }

    /// Versions of the hall records.
    pub fn halls(&self) -> Vec<HallVersion> {
        let halls = self
            .records
            .values()
            .filter_map(|record| match &record.content {
                FollowedContent::Hall(version) => Some(version.clone()),
                _ => None,
            });
        halls.collect()
    }

    /// Entries of all rosters.
    pub fn entries(&self) -> Vec<RosterEntry> {
        let rosters = self
            .records
            .values()
            .filter_map(|record| match &record.content {
                FollowedContent::Roster(entries) => Some(entries),
                _ => None,
            });
        rosters.flatten().cloned().collect()
    }
}
