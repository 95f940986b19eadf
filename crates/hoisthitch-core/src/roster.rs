//! The roster: which entries there are.
//!
//! An entry adds itself to the roster of its data hall before it routes, and
//! takes itself off when it stops by plan. Moves of VMs wait for every entry on
//! the roster.

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

/// Entries of one data hall.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterRecord {
    /// Data hall that the record is for.
    pub hall: String,
    /// Counts the record's changes; never falls.
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

/// One entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterEntry {
    /// Name of the entry.
    pub name: String,
    /// Address of the entry in the mesh.
    pub mesh: SocketAddr,
}

impl RosterRecord {
    /// Starts the roster of a data hall.
    pub fn new(hall: &str) -> Self {
        Self {
            hall: hall.to_owned(),
            ..Self::default()
        }
    }

    /// Signs the next version.
    pub fn sign(&mut self, stamp: WriterStamp) {
        self.version += 1;
        sign(&mut self.stamp, &mut self.recent, stamp);
    }

    /// Adds an entry, or changes its address.
    pub fn put(&mut self, entry: RosterEntry) {
        self.remove(&entry.name);
        self.entries.push(entry);
        self.entries.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Takes an entry off.
    pub fn remove(&mut self, name: &str) {
        self.entries.retain(|entry| entry.name != name);
    }

    /// Whether the roster holds an entry as it is.
    pub fn holds(&self, entry: &RosterEntry) -> bool {
        self.entries.contains(entry)
    }
}

/// Entries that `own` connects to: its successor in the order of names, so
/// that the mesh is connected, and others by rendezvous rank, up to `degree`.
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
