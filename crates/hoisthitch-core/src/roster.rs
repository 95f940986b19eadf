//! Roster: the registered entries of a data hall.
//!
//! An entry registers itself in the roster of its data hall before it routes
//! requests, and deregisters itself at a planned stop. A VM is moved or rebooted
//! only after every registered entry has confirmed that it is done with the VM.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    rank::rendezvous_order,
    table::{
        WriterStamp,
        sign, //
    }, //
};

/// Roster of one data hall.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterRecord {
    /// Name of the data hall.
    pub hall: String,
    /// Number of changes of the record; never decreases.
    pub version: u64,
    /// Who wrote this version.
    #[serde(default)]
    pub stamp: WriterStamp,
    /// Writers of the versions before this one, latest first.
    #[serde(default)]
    pub recent: Vec<WriterStamp>,
    /// Entries, ordered by name.
    pub entries: Vec<RosterEntry>,
}

/// A registered entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterEntry {
    /// Name of the entry.
    pub name: String,
    /// Address of the entry for mesh connections.
    pub mesh: SocketAddr,
}

impl RosterRecord {
    /// Creates an empty roster of a data hall.
    pub fn new(hall: &str) -> Self {
        Self {
            hall: hall.to_owned(),
            ..Self::default()
        }
    }

    /// Increments the version and stamps it with its writer.
    pub fn sign(&mut self, stamp: WriterStamp) {
        self.version += 1;
        sign(&mut self.stamp, &mut self.recent, stamp);
    }

    /// Registers an entry, or changes its address.
    pub fn put(&mut self, entry: RosterEntry) {
        self.remove(&entry.name);
        self.entries.push(entry);
        self.entries.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Deregisters an entry.
    pub fn remove(&mut self, name: &str) {
        self.entries.retain(|entry| entry.name != name);
    }

    /// Whether the roster holds an entry with this name and address.
    pub fn holds(&self, entry: &RosterEntry) -> bool {
        self.entries.contains(entry)
    }
}

/// Entries to which the entry `own` opens mesh connections, at most `degree`.
///
/// The first is its successor in the (circular) order of names, so that the mesh
/// is connected. The others are chosen by rendezvous rank.
pub fn mesh_neighbours<'a>(own: &str, members: &[&'a str], degree: usize) -> Vec<&'a str> {
    let mut others: Vec<&str> = members
        .iter()
        .copied()
        .filter(|name| *name != own)
        .collect();
    others.sort_unstable();
    let next = others.iter().copied().find(|name| *name > own);
    let successor = next.or(others.first().copied());
    let ranked = rendezvous_order(own, &others);
    let rest = ranked.into_iter().filter(|name| Some(*name) != successor);
    successor.into_iter().chain(rest).take(degree).collect()
}
