//! What the store held when it was last read or heard of.

use std::collections::BTreeMap;

use hoisthitch_core::RosterEntry;
use hoisthitch_store::{
    KeyRevision,
    StoreRevision,
    StoredValue, //
};
use hoisthitch_wire::HallVersion;

/// What a record holds, as far as it is compared with what is in force.
pub enum FollowedContent {
    /// Revision of the table.
    Table(u64),
    /// Version of a hall record.
    Hall(HallVersion),
    /// Entries of a roster.
    Roster(Vec<RosterEntry>),
    /// Another record, or one that can't be read.
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
    /// Whether these are exactly the records with the revisions.
    pub fn holds(&self, revisions: &[KeyRevision]) -> bool {
        let same = |key: &KeyRevision| {
            let known = self.records.get(&key.key);
            known.is_some_and(|known| known.revision == key.revision)
        };
        revisions.len() == self.records.len() && revisions.iter().all(same)
    }

    /// Notes a record.
    pub fn put(&mut self, stored: &StoredValue, content: FollowedContent) {
        let revision = stored.revision;
        let record = FollowedRecord { revision, content };
        self.records.insert(stored.key.clone(), record);
    }

    /// Forgets all records.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Highest revision of a record.
    pub fn highest(&self) -> StoreRevision {
        let revisions = self.records.values().map(|record| record.revision);
        revisions.max().unwrap_or_default()
    }

    /// Revision of the table; zero where there is none.
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
