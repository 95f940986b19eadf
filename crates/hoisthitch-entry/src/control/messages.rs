//! Messages to the view keeper.

use std::collections::BTreeMap;

use actix::{
    Addr,
    Message, //
};
use hoisthitch_core::{
    HallRecord,
    PolicyTable,
    RosterRecord, //
};
use hoisthitch_store::ListedVm;
use hoisthitch_wire::{
    HallVersion,
    MeshFrame, //
};

use crate::control::{
    freshness::ViewTime,
    mesh::MeshHub,
    writer::TableWriter, //
};

/// Connects the keeper with the actors that it sends changes to.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Connect {
    /// The mesh; none for an entry without other entries.
    pub mesh: Option<Addr<MeshHub>>,
    /// The table writer.
    pub writer: Addr<TableWriter>,
}

/// Applies a table, if it is newer.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyTable {
    /// The table.
    pub table: PolicyTable,
    /// Source of the table, for the log.
    pub source: &'static str,
}

/// Applies a hall record, if it is newer.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyHall {
    /// The record.
    pub record: HallRecord,
}

/// Applies a roster, if it is newer.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyRoster {
    /// The record.
    pub record: RosterRecord,
}

/// Applies the platform's list of VMs.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyListing {
    /// The list; none if it has not changed.
    pub vms: Option<Vec<ListedVm>>,
    /// When it was requested.
    pub requested_at: ViewTime,
}

/// Compares the store's versions, as read, with those in effect.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CompareStore {
    /// Revision of the table in the store; zero if there is none.
    pub table: u64,
    /// Versions of the hall records in the store.
    pub halls: Vec<HallVersion>,
    /// Whether this entry was on the roster.
    pub registered: bool,
    /// When the reading was requested.
    pub requested_at: ViewTime,
}

/// Applies a frame from another entry.
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerFrame {
    /// Name of the other entry.
    pub node: String,
    /// The frame.
    pub frame: MeshFrame,
}

/// Requests a copy of the view.
#[derive(Message)]
#[rtype(result = "ViewSummary")]
pub struct ReadView;

/// Copy of the view.
#[derive(Clone, Debug)]
pub struct ViewSummary {
    /// The table in effect.
    pub table: PolicyTable,
    /// Hall records by data hall.
    pub halls: BTreeMap<String, HallRecord>,
    /// The platform's list of VMs.
    pub listed: Vec<ListedVm>,
}
