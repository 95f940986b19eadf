//! The view keeper: what this entry knows of the table and the fleet.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use actix::{
    Actor,
    Context,
    Handler,
    Message,
    MessageResult, //
};
use hoisthitch_core::{
    HallRecord,
    PolicyTable, //
};
use hoisthitch_store::{
    ListedVm,
    VmState, //
};
use hoisthitch_telemetry::event;

use crate::{
    control::routes::{
        EntryPosition,
        RouteBuilder,
        RouteInputs, //
    },
    state::SharedState, //
};

/// Keeps the view and puts route tables in force.
pub struct ViewKeeper {
    shared: Arc<SharedState>,
    builder: RouteBuilder,
    table: PolicyTable,
    halls: BTreeMap<String, HallRecord>,
    listed: Vec<ListedVm>,
    position: EntryPosition,
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

/// The platform's list of VMs was read.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ApplyListing {
    /// The list.
    pub vms: Vec<ListedVm>,
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

impl ViewKeeper {
    /// Starts with an empty view.
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            builder: RouteBuilder::new(),
            table: PolicyTable::default(),
            halls: BTreeMap::new(),
            listed: Vec::new(),
            position: EntryPosition { index: 0, count: 1 },
        }
    }

    fn rebuild(&mut self) {
        if self.table.revision == 0 {
            return;
        }
        let leaving: BTreeSet<String> = self
            .listed
            .iter()
            .filter(|listed| listed.state == VmState::Leaving)
            .map(|listed| listed.vm.clone())
            .collect();
        let routes = self.builder.build(&RouteInputs {
            table: &self.table,
            halls: &self.halls,
            leaving: &leaving,
            position: self.position,
        });
        self.shared.routes.store(Arc::new(routes));
    }
}

impl Actor for ViewKeeper {
    type Context = Context<Self>;
}

impl Handler<ApplyTable> for ViewKeeper {
    type Result = ();

    fn handle(&mut self, message: ApplyTable, _: &mut Context<Self>) {
        let ApplyTable { table, source } = message;
        if table.revision <= self.table.revision {
            return;
        }
        if let Err(faults) = table.check() {
            let fault = faults[0].to_string();
            event!(
                Error,
                "table_refused",
                revision = table.revision,
                source = source,
                fault = fault
            );
            return;
        }
        event!(
            Info,
            "table_in_force",
            revision = table.revision,
            source = source
        );
        self.table = table;
        self.rebuild();
    }
}

impl Handler<ApplyHall> for ViewKeeper {
    type Result = ();

    fn handle(&mut self, message: ApplyHall, _: &mut Context<Self>) {
        let record = message.record;
        let known = self.halls.get(&record.hall).map_or(0, |hall| hall.version);
        if record.version <= known {
            return;
        }
        event!(
            Info,
            "hall_in_force",
            hall = record.hall,
            version = record.version
        );
        self.halls.insert(record.hall.clone(), record);
        self.rebuild();
    }
}

impl Handler<ApplyListing> for ViewKeeper {
    type Result = ();

    fn handle(&mut self, message: ApplyListing, _: &mut Context<Self>) {
        if self.listed == message.vms {
            return;
        }
        for vm in newly_leaving(&self.listed, &message.vms) {
            event!(Info, "vm_leaving", vm = vm, source = "list");
        }
        self.listed = message.vms;
        self.rebuild();
    }
}

impl Handler<ReadView> for ViewKeeper {
    type Result = MessageResult<ReadView>;

    fn handle(&mut self, _: ReadView, _: &mut Context<Self>) -> Self::Result {
        MessageResult(ViewSummary {
            table: self.table.clone(),
            halls: self.halls.clone(),
            listed: self.listed.clone(),
        })
    }
}

fn newly_leaving<'a>(old: &[ListedVm], new: &'a [ListedVm]) -> Vec<&'a str> {
    let was_leaving: BTreeSet<&str> = old
        .iter()
        .filter(|listed| listed.state == VmState::Leaving)
        .map(|listed| listed.vm.as_str())
        .collect();
    new.iter()
        .filter(|listed| listed.state == VmState::Leaving)
        .map(|listed| listed.vm.as_str())
        .filter(|vm| !was_leaving.contains(vm))
        .collect()
}
