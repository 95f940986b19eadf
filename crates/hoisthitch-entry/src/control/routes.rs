//! Route table: maps paths to the pools' dispatchers, and names to teams.
//!
//! [`RouteBuilder`] builds it from the operators' table, the hall records, the
//! draining VMs and the shares. The traffic threads use one table until it is
//! replaced as a whole. The dispatchers are kept from table to table, so that
//! requests keep their slots and queue places.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    sync::Arc, //
};

use hoisthitch_core::{
    AssignmentState,
    EntryShare,
    HallRecord,
    PaidPriority,
    PolicyTable,
    PoolKey,
    PoolRow,
    PoolScheduler,
    RunnerSlots,
    TeamKey,
    TeamRow,
    VmAssignment, //
};
use slotmap::{
    SecondaryMap,
    SlotMap, //
};
use tokio::time::Instant;

use crate::{
    control::shares::SlotShares,
    traffic::PoolDispatcher, //
};

/// Name of the team of requests that name no team.
pub const DEFAULT_TEAM: &str = "default";

/// Weight of the default team if the table has no row for it.
const DEFAULT_WEIGHT: u32 = 1;

/// Rate limit and in-flight limit of the default team if the table has no row for
/// it.
const DEFAULT_LIMIT: u32 = 1_000_000;

/// Routes in effect.
#[derive(Clone, Default)]
pub struct RouteTable {
    /// Revision of the operators' table; zero before the first table.
    pub revision: u64,
    dispatchers: SlotMap<PoolKey, Arc<PoolDispatcher>>,
    paths: HashMap<String, PoolKey>,
    teams: HashMap<String, TeamRoute>,
}

/// Properties of a team that routing uses.
#[derive(Clone, Copy, Debug)]
pub struct TeamRoute {
    /// Key of the team.
    pub key: TeamKey,
    /// Highest priority that the team pays for.
    pub priority: PaidPriority,
    /// Weight of the team.
    pub weight: u32,
}

impl RouteTable {
    /// Dispatcher of the pool that serves a path.
    pub fn dispatcher(&self, path: &str) -> Option<&Arc<PoolDispatcher>> {
        let segment = path.trim_start_matches('/').split('/').next()?;
        let key = self.paths.get(segment)?;
        self.dispatchers.get(*key)
    }

    /// Finds a team.
    pub fn team(&self, name: &str) -> Option<TeamRoute> {
        self.teams.get(name).copied()
    }

    /// All dispatchers.
    pub fn dispatchers(&self) -> impl Iterator<Item = &Arc<PoolDispatcher>> {
        self.dispatchers.values()
    }
}

/// Builds route tables, and keeps the dispatchers and teams between them.
pub struct RouteBuilder {
    dispatchers: SlotMap<PoolKey, Arc<PoolDispatcher>>,
    teams: SlotMap<TeamKey, TeamRow>,
    /// Shares by which the dispatchers' limits were last set.
    shares: SecondaryMap<PoolKey, EntryShare>,
}

/// Inputs of a route table.
pub struct RouteInputs<'a> {
    /// The operators' table.
    pub table: &'a PolicyTable,
    /// Hall records by data hall.
    pub halls: &'a BTreeMap<String, HallRecord>,
    /// VMs that are draining according to the platform or another entry.
    pub leaving: &'a BTreeSet<String>,
    /// Shares of the pools' slots that this entry may use.
    pub shares: &'a SlotShares,
}

impl RouteBuilder {
    /// Creates a builder without dispatchers and teams.
    pub fn new() -> Self {
        Self {
            dispatchers: SlotMap::with_key(),
            teams: SlotMap::with_key(),
            shares: SecondaryMap::new(),
        }
    }

    /// Applies changed shares to the dispatchers, without building a new table.
    pub fn apply_shares(&mut self, shares: &SlotShares) {
        for (key, dispatcher) in &self.dispatchers {
            let slots = dispatcher.inspect(pool_slots);
            let share = shares.share_of(dispatcher.name(), slots);
            if self.shares.get(key) == Some(&share) {
                continue;
            }
            self.shares.insert(key, share);
            dispatcher.update(|scheduler| {
                let slots = scheduler.row().slots_per_runner;
                let limit = |runner: &RunnerSlots| share.slots_of(&runner.vm, slots);
                scheduler.ledger_mut().set_limits(limit);
            });
        }
    }

    /// Updates the dispatchers and teams, and builds the route table.
    pub fn build(&mut self, inputs: &RouteInputs<'_>) -> RouteTable {
        self.update_teams(inputs.table);
        self.update_dispatchers(inputs);
        self.apply_shares(inputs.shares);
        RouteTable {
            revision: inputs.table.revision,
            dispatchers: self.dispatchers.clone(),
            paths: self.paths(inputs.table),
            teams: self.team_routes(),
        }
    }

    fn update_teams(&mut self, table: &PolicyTable) {
        let default_row = default_team();
        let has_default = table.team(DEFAULT_TEAM).is_some();
        let rows = table
            .teams
            .iter()
            .chain((!has_default).then_some(&default_row));
        let rows: Vec<&TeamRow> = rows.collect();
        self.teams
            .retain(|_, team| rows.iter().any(|row| row.name == team.name));
        for row in rows {
            match self.teams.values_mut().find(|team| team.name == row.name) {
                Some(team) => *team = row.clone(),
                None => {
                    self.teams.insert(row.clone());
                }
            }
        }
    }

    fn update_dispatchers(&mut self, inputs: &RouteInputs<'_>) {
        self.dispatchers
            .retain(|_, dispatcher| inputs.table.pool(dispatcher.name()).is_some());
        for row in &inputs.table.pools {
            let dispatcher = self.dispatcher(row);
            self.update_dispatcher(&dispatcher, row, inputs);
        }
    }

    fn dispatcher(&mut self, row: &PoolRow) -> Arc<PoolDispatcher> {
        if let Some(dispatcher) = self
            .dispatchers
            .values()
            .find(|dispatcher| dispatcher.name() == row.name)
        {
            return dispatcher.clone();
        }
        let dispatcher = Arc::new(PoolDispatcher::new(row.clone()));
        self.dispatchers.insert(dispatcher.clone());
        dispatcher
    }

    fn update_dispatcher(
        &self,
        dispatcher: &Arc<PoolDispatcher>,
        row: &PoolRow,
        inputs: &RouteInputs<'_>,
    ) {
        let now = Instant::now().into_std();
        let assigned: Vec<&VmAssignment> = inputs
            .halls
            .values()
            .flat_map(|hall| &hall.vms)
            .filter(|assignment| assignment.pool == row.name)
            .collect();
        let known: BTreeSet<(&str, SocketAddr)> = assigned
            .iter()
            .map(|assignment| (assignment.vm.as_str(), assignment.address))
            .collect();
        dispatcher.update(|scheduler| {
            scheduler.set_row(row.clone(), now);
            for (key, team) in &self.teams {
                scheduler.set_team(key, team, now);
            }
            // CAST: a pool has far fewer runners than a `u32` holds.
            let slots = row.slots_per_runner * assigned.len() as u32;
            let share = inputs.shares.share_of(&row.name, slots);
            let ledger = scheduler.ledger_mut();
            for assignment in &assigned {
                let leaving = assignment.state == AssignmentState::Leaving
                    || inputs.leaving.contains(&assignment.vm);
                let limit = share.slots_of(&assignment.vm, row.slots_per_runner);
                ledger.put(&assignment.vm, assignment.address, limit, leaving);
            }
            ledger.retain(|runner| known.contains(&(&*runner.vm, runner.address)));
        });
    }

    fn paths(&self, table: &PolicyTable) -> HashMap<String, PoolKey> {
        let mut paths = HashMap::new();
        for (key, dispatcher) in &self.dispatchers {
            if let Some(row) = table.pool(dispatcher.name()) {
                paths.insert(row.path.clone(), key);
            }
        }
        paths
    }

    fn team_routes(&self) -> HashMap<String, TeamRoute> {
        let route = |key, row: &TeamRow| TeamRoute {
            key,
            priority: row.priority,
            weight: row.weight,
        };
        self.teams
            .iter()
            .map(|(key, row)| (row.name.clone(), route(key, row)))
            .collect()
    }
}

/// Total number of slots of a pool's runners.
fn pool_slots<T>(scheduler: &PoolScheduler<T>) -> u32 {
    let runners = scheduler.ledger().iter().count();
    // CAST: a pool has far fewer runners than a `u32` holds.
    scheduler.row().slots_per_runner * runners as u32
}

fn default_team() -> TeamRow {
    TeamRow {
        name: DEFAULT_TEAM.to_owned(),
        revision: 0,
        priority: PaidPriority::Urgent,
        weight: DEFAULT_WEIGHT,
        rate_limit: DEFAULT_LIMIT,
        in_flight_limit: DEFAULT_LIMIT,
    }
}
