//! Messages that the view keeper takes.

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

/// Names the actors that the keeper tells of changes.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Connect {
    /// The mesh; none for an entry that stands alone.
    pub mesh: Option<Addr<MeshHub>>,
    /// The table writer.
    pub writer: Addr<TableWriter>,
}

/// A table was heard of.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyTable {
    /// The table.
    pub table: PolicyTable,
    /// Where it came from.
    pub source: &'static str,
}

/// A hall record was heard of.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyHall {
    /// The record.
    pub record: HallRecord,
}

/// A roster was heard of.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyRoster {
    /// The record.
    pub record: RosterRecord,
}

/// The platform's list of VMs was read.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyListing {
    /// The list; none where it is as it was.
    pub vms: Option<Vec<ListedVm>>,
    /// When it was asked for.
    pub asked: ViewTime,
}

/// The store was read: what it holds, to be compared with what is in force.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CompareStore {
    /// Revision of the table in the store; zero where there is none.
    pub table: u64,
    /// Versions of the hall records in the store.
    pub halls: Vec<HallVersion>,
    /// Whether this entry was on the roster.
    pub registered: bool,
    /// When it was read.
    pub asked: ViewTime,
}

/// A frame came from another entry.
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerFrame {
    /// Name of the other entry.
    pub node: String,
    /// The frame.
    pub frame: MeshFrame,
}

/// Asks for the view.
#[derive(Message)]
#[rtype(result = "ViewSummary")]
pub struct ReadView;

/// The view at one moment.
#[derive(Clone, Debug)]
pub struct ViewSummary {
    /// The table in force.
    pub table: PolicyTable,
    /// Hall records by data hall.
    pub halls: BTreeMap<String, HallRecord>,
    /// The platform's list of VMs.
    pub listed: Vec<ListedVm>,
}
