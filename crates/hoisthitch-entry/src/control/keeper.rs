//! View keeper: the actor that holds this entry's view of the table and the fleet.
//!
//! It receives records from the store, from operators' changes and from other
//! entries, and the list of VMs from the platform. A record replaces the known one
//! only if it is newer. The change is then sent to the other entries, and a new
//! route table is built. If the store holds an older table or hall record than this
//! entry, the table writer writes the newer one to it.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use actix::{
    Actor,
    Addr,
    AsyncContext,
    Context,
    Handler,
    MessageResult, //
};
use hoisthitch_core::{
    HallRecord,
    PolicyTable,
    RosterEntry,
    RosterRecord,
    hash_name, //
};
use hoisthitch_store::{
    ListedVm,
    VmState, //
};
use hoisthitch_telemetry::event;
use hoisthitch_wire::{
    DrainReport,
    HallDelta,
    HallVersion,
    Heartbeat,
    HeartbeatEcho,
    LeavingNotice,
    MeshFrame,
    PoolDemand,
    TableDelta, //
};
use tokio::time::Instant;

use crate::{
    control::{
        freshness::ViewTime,
        mesh::{
            MeshHub,
            SendAll,
            SendTo,
            SetMembers, //
        },
        messages::{
            ApplyHall,
            ApplyListing,
            ApplyRoster,
            ApplyTable,
            CompareStore,
            Connect,
            PeerFrame,
            ReadView,
            ViewSummary, //
        },
        routes::{
            RouteBuilder,
            RouteInputs, //
        },
        shares::{
            SlotShares,
            demand_rose,
            pool_key, //
        },
        writer::{
            Reinstall,
            TableWriter, //
        }, //
    },
    state::SharedState, //
};

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two heartbeats while this entry's demand rises.
const RISING_DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which another entry's notice that a VM is draining overrides a list
/// that still shows the VM as live.
const LEAVING_NOTICE_MAX_AGE: Duration = Duration::from_secs(300);

/// Holds the view and replaces the route table when the view changes.
pub struct ViewKeeper {
    shared: Arc<SharedState>,
    builder: RouteBuilder,
    table: PolicyTable,
    halls: BTreeMap<String, HallRecord>,
    rosters: BTreeMap<String, RosterRecord>,
    listed: Vec<ListedVm>,
    /// VMs that are draining according to the list or another entry, and since when
    /// this is known.
    leaving_notices: BTreeMap<String, Instant>,
    /// Send time of the last heartbeat of each other entry, on that entry's clock.
    peer_sent_ms: BTreeMap<String, u64>,
    shares: SlotShares,
    last_heartbeat: Instant,
    mesh: Option<Addr<MeshHub>>,
    writer: Option<Addr<TableWriter>>,
}

impl ViewKeeper {
    /// Starts with an empty view.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let settings = &shared.settings;
        Self {
            builder: RouteBuilder::new(),
            table: PolicyTable::default(),
            halls: BTreeMap::new(),
            rosters: BTreeMap::new(),
            listed: Vec::new(),
            leaving_notices: BTreeMap::new(),
            peer_sent_ms: BTreeMap::new(),
            shares: SlotShares::new(&settings.name, settings.share),
            last_heartbeat: Instant::now(),
            mesh: None,
            writer: None,
            shared,
        }
    }

    fn rebuild(&mut self) {
        if self.table.revision == 0 {
            return;
        }
        let leaving = self.leaving();
        let routes = self.builder.build(&RouteInputs {
            table: &self.table,
            halls: &self.halls,
            leaving: &leaving,
            shares: &self.shares,
        });
        self.shared.routes.store(Arc::new(routes));
    }

    /// VMs that are draining according to the list or another entry.
    fn leaving(&self) -> BTreeSet<String> {
        let noticed = self.leaving_notices.keys().cloned();
        let listed = leaving_names(&self.listed);
        noticed.chain(listed.map(str::to_owned)).collect()
    }

    fn send_all(&self, frame: MeshFrame) {
        if let Some(mesh) = &self.mesh {
            mesh.do_send(SendAll { frame });
        }
    }

    fn send_to(&self, node: &str, frame: MeshFrame) {
        if let Some(mesh) = &self.mesh {
            let node = node.to_owned();
            mesh.do_send(SendTo { node, frame });
        }
    }

    /// Sends a heartbeat if one is due.
    fn send_heartbeat_if_due(&mut self) {
        let since = self.last_heartbeat.elapsed();
        let demands = self.demands();
        let is_rising = demand_rose(self.shares.own_demands(), &demands);
        if since >= HEARTBEAT_INTERVAL || (is_rising && since >= RISING_DEMAND_INTERVAL) {
            self.last_heartbeat = Instant::now();
            self.send_heartbeat(demands);
        }
    }

    fn send_heartbeat(&mut self, demands: Vec<PoolDemand>) {
        self.shares.set_own_demands(demands.clone());
        self.shares.remove_silent();
        self.peer_sent_ms
            .retain(|node, _| self.shares.has_peer(node));
        self.expire_leaving_notices();
        self.builder.apply_shares(&self.shares);
        let halls = self.halls.values();
        let rosters = self.rosters.values();
        self.send_all(MeshFrame::Heartbeat(Heartbeat {
            table: self.table.revision,
            halls: halls
                .map(|hall| hall_version(&hall.hall, hall.version))
                .collect(),
            rosters: rosters
                .map(|roster| hall_version(&roster.hall, roster.version))
                .collect(),
            demands,
            sent_ms: self.shared.freshness.now().0,
            echoes: self.peer_sent_ms.iter().map(to_echo).collect(),
        }));
    }

    /// Removes old notices of draining VMs, so that the list of VMs decides.
    fn expire_leaving_notices(&mut self) {
        let before = self.leaving_notices.len();
        self.leaving_notices
            .retain(|_, since| since.elapsed() < LEAVING_NOTICE_MAX_AGE);
        if self.leaving_notices.len() < before {
            self.rebuild();
        }
    }

    /// This entry's demand in each pool, in slots.
    fn demands(&self) -> Vec<PoolDemand> {
        let routes = self.shared.routes.load();
        let demand = |dispatcher: &Arc<crate::traffic::PoolDispatcher>| PoolDemand {
            pool: pool_key(dispatcher.name()),
            slots: dispatcher.take_peak_demand(),
        };
        let demands = routes.dispatchers().map(demand);
        demands.filter(|demand| demand.slots > 0).collect()
    }

    /// Compares another entry's versions with this entry's and requests what is
    /// newer.
    ///
    /// The view is confirmed only if the other entry has nothing newer.
    fn apply_heartbeat(&mut self, node: &str, heartbeat: Heartbeat) {
        let mut newer = false;
        if heartbeat.table > self.table.revision {
            newer = true;
            self.send_to(node, MeshFrame::AskTable);
        }
        for theirs in heartbeat.halls {
            if theirs.version > self.hall_version(&theirs.hall) {
                newer = true;
                self.send_to(node, MeshFrame::AskHall(theirs.hall));
            }
        }
        for theirs in heartbeat.rosters {
            if theirs.version > self.roster_version(&theirs.hall) {
                newer = true;
                self.send_to(node, MeshFrame::AskRoster(theirs.hall));
            }
        }
        if self.shares.record_demands(node, heartbeat.demands) {
            self.builder.apply_shares(&self.shares);
        }
        self.peer_sent_ms.insert(node.to_owned(), heartbeat.sent_ms);
        let own = hash_node(&self.shared.settings.name);
        let echo = heartbeat.echoes.iter().find(|echo| echo.node == own);
        if let Some(echo) = echo
            && !newer
        {
            self.shared.freshness.confirm(ViewTime(echo.sent_ms));
        }
    }

    fn hall_version(&self, hall: &str) -> u64 {
        self.halls.get(hall).map_or(0, |record| record.version)
    }

    fn roster_version(&self, hall: &str) -> u64 {
        self.rosters.get(hall).map_or(0, |record| record.version)
    }

    fn apply_table(&mut self, table: PolicyTable, source: &'static str) {
        if table.revision <= self.table.revision {
            return;
        }
        if let Err(faults) = table.check() {
            let fault = faults.first().map(ToString::to_string).unwrap_or_default();
            event!(
                Error,
                "table_refused",
                revision = table.revision,
                source = source,
                fault = fault,
            );
            return;
        }
        event!(
            Info,
            "table_in_force",
            revision = table.revision,
            source = source
        );
        let old = std::mem::replace(&mut self.table, table);
        self.rebuild();
        let delta = TableDelta::between(&old, &self.table);
        self.send_all(MeshFrame::Delta(Box::new(delta)));
    }

    fn apply_hall(&mut self, record: HallRecord) {
        if record.version <= self.hall_version(&record.hall) {
            return;
        }
        event!(
            Info,
            "hall_in_force",
            hall = record.hall,
            version = record.version
        );
        self.send_all(match self.halls.get(&record.hall) {
            Some(old) => MeshFrame::HallDelta(Box::new(HallDelta::between(old, &record))),
            None => MeshFrame::Hall(Box::new(record.clone())),
        });
        self.halls.insert(record.hall.clone(), record);
        self.rebuild();
    }

    fn apply_roster(&mut self, record: RosterRecord) {
        if record.version <= self.roster_version(&record.hall) {
            return;
        }
        event!(
            Info,
            "roster_in_force",
            hall = record.hall,
            version = record.version,
            entries = record.entries.len(),
        );
        self.send_all(MeshFrame::Roster(Box::new(record.clone())));
        self.rosters.insert(record.hall.clone(), record);
        let members: Vec<RosterEntry> = self
            .rosters
            .values()
            .flat_map(|roster| roster.entries.iter().cloned())
            .collect();
        if !self.shared.is_member(&members) {
            self.shared.set_registered(false);
        }
        if let Some(mesh) = &self.mesh {
            mesh.do_send(SetMembers { members });
        }
    }

    fn apply_leaving(&mut self, notice: LeavingNotice, source: &str) {
        if self.leaving_notices.contains_key(&notice.vm) {
            return;
        }
        event!(Info, "vm_leaving", vm = notice.vm, source = source);
        self.leaving_notices
            .insert(notice.vm.clone(), Instant::now());
        self.send_all(MeshFrame::Leaving(notice));
        self.rebuild();
    }

    fn drain_report(&self, vm: String, hall: &str) -> DrainReport {
        let routes = self.shared.routes.load();
        let in_flight = routes
            .dispatchers()
            .map(|dispatcher| dispatcher.in_flight_at(&vm))
            .sum();
        DrainReport {
            version: self.hall_version(hall),
            in_flight,
            vm,
        }
    }

    fn apply_frame(&mut self, node: &str, frame: MeshFrame) {
        match frame {
            MeshFrame::Hello { .. } => {}
            MeshFrame::Heartbeat(heartbeat) => self.apply_heartbeat(node, heartbeat),
            MeshFrame::Delta(delta) => match delta.apply_to(&self.table) {
                Some(table) => self.apply_table(table, "peer"),
                None if delta.revision > self.table.revision => {
                    self.send_to(node, MeshFrame::AskTable);
                }
                None => {}
            },
            MeshFrame::AskTable => {
                self.send_to(node, MeshFrame::Table(Box::new(self.table.clone())));
            }
            MeshFrame::Table(table) => self.apply_table(*table, "peer"),
            MeshFrame::AskHall(hall) => {
                if let Some(record) = self.halls.get(&hall) {
                    self.send_to(node, MeshFrame::Hall(Box::new(record.clone())));
                }
            }
            MeshFrame::HallDelta(delta) => {
                let known = self.halls.get(&delta.hall);
                match known.and_then(|known| delta.apply_to(known)) {
                    Some(record) => self.apply_hall(record),
                    None if delta.version > self.hall_version(&delta.hall) => {
                        self.send_to(node, MeshFrame::AskHall(delta.hall));
                    }
                    None => {}
                }
            }
            MeshFrame::Hall(record) => self.apply_hall(*record),
            MeshFrame::AskRoster(hall) => {
                if let Some(record) = self.rosters.get(&hall) {
                    self.send_to(node, MeshFrame::Roster(Box::new(record.clone())));
                }
            }
            MeshFrame::Roster(record) => self.apply_roster(*record),
            MeshFrame::Leaving(notice) => self.apply_leaving(notice, "peer"),
            MeshFrame::AskDrained { vm, hall } => {
                let report = self.drain_report(vm, &hall);
                self.send_to(node, MeshFrame::Drained(report));
            }
            // Drain reports are sent only to stewards, which request them.
            MeshFrame::Drained(_) => {}
        }
    }
}

impl Actor for ViewKeeper {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(RISING_DEMAND_INTERVAL, |keeper, _| {
            keeper.send_heartbeat_if_due();
        });
    }
}

impl Handler<Connect> for ViewKeeper {
    type Result = ();

    fn handle(&mut self, message: Connect, _: &mut Context<Self>) {
        self.mesh = message.mesh;
        self.writer = Some(message.writer);
    }
}

impl Handler<ApplyTable> for ViewKeeper {
    type Result = ();

    fn handle(&mut self, message: ApplyTable, _: &mut Context<Self>) {
        self.apply_table(message.table, message.source);
    }
}

impl Handler<ApplyHall> for ViewKeeper {
    type Result = ();

    fn handle(&mut self, message: ApplyHall, _: &mut Context<Self>) {
        self.apply_hall(message.record);
    }
}

impl Handler<ApplyRoster> for ViewKeeper {
    type Result = ();

    fn handle(&mut self, message: ApplyRoster, _: &mut Context<Self>) {
        self.apply_roster(message.record);
    }
}

impl Handler<ApplyListing> for ViewKeeper {
    type Result = ();

    fn handle(&mut self, message: ApplyListing, _: &mut Context<Self>) {
        if let Some(vms) = message.vms {
            self.apply_listing(vms);
        }
        if self.is_listed() {
            self.shared.freshness.confirm(message.requested_at);
        }
    }
}

impl ViewKeeper {
    /// Whether the list of VMs contains this entry's VM, or the entry has no mesh.
    ///
    /// Only then does the list confirm the view: an entry that is not listed may
    /// have been removed from the roster without knowing it.
    fn is_listed(&self) -> bool {
        let own = &self.shared.settings.name;
        let listed = self.listed.iter().any(|listed| listed.vm == *own);
        listed || self.shared.settings.mesh.is_none()
    }

    fn apply_listing(&mut self, vms: Vec<ListedVm>) {
        let old: BTreeSet<&str> = leaving_names(&self.listed).collect();
        let new = leaving_names(&vms);
        let fresh: Vec<String> = new
            .filter(|vm| !old.contains(vm))
            .map(str::to_owned)
            .collect();
        self.listed = vms;
        for vm in fresh {
            self.apply_leaving(LeavingNotice { vm }, "list");
        }
        self.rebuild();
    }
}

impl Handler<CompareStore> for ViewKeeper {
    type Result = ();

    fn handle(&mut self, message: CompareStore, _: &mut Context<Self>) {
        let stored = |hall: &str| {
            let found = message.halls.iter().find(|stored| stored.hall == hall);
            found.map_or(0, |stored| stored.version)
        };
        let halls: Vec<HallRecord> = self
            .halls
            .values()
            .filter(|record| record.version > stored(&record.hall))
            .cloned()
            .collect();
        let table_is_older = message.table < self.table.revision;
        if let Some(writer) = &self.writer
            && (table_is_older || !halls.is_empty())
        {
            let table = self.table.clone();
            writer.do_send(Reinstall { table, halls });
        }
        if message.registered {
            self.shared.set_registered(true);
        }
        self.shared.freshness.confirm(message.requested_at);
    }
}

impl Handler<PeerFrame> for ViewKeeper {
    type Result = ();

    fn handle(&mut self, message: PeerFrame, _: &mut Context<Self>) {
        self.apply_frame(&message.node, message.frame);
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

fn hall_version(hall: &str, version: u64) -> HallVersion {
    HallVersion {
        hall: hall.to_owned(),
        version,
    }
}

fn to_echo((node, sent_ms): (&String, &u64)) -> HeartbeatEcho {
    HeartbeatEcho {
        node: hash_node(node),
        sent_ms: *sent_ms,
    }
}

/// Key of an entry in heartbeats.
fn hash_node(node: &str) -> u32 {
    // CAST: the low half of the hash serves as the key.
    hash_name(node) as u32
}

fn leaving_names(listed: &[ListedVm]) -> impl Iterator<Item = &str> {
    listed
        .iter()
        .filter(|listed| listed.state == VmState::Leaving)
        .map(|listed| listed.vm.as_str())
}
