//! Quota allocations: the parts of teams' limits that a pool holds.
//!
//! Each team with a limit has a record in the store with the allocations of all pools. The
//! owner changes its pool's allocations by compare-and-swap, all that are due in one write. A
//! larger allocation takes effect once it is written, a smaller one before its write is sent.
//! If the response to a write is lost, the lower of the two is in effect until the record has
//! been written again, so that the sum of allocations in use never exceeds the limit.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use hoisthitch_jobs::{
    Millis,
    QuotaAllocations,
    TeamUsage, //
};
use hoisthitch_store::{
    BatchOutcome,
    StoreClient,
    StoreError,
    StoreRevision,
    StoredValue,
    SwapItem, //
};
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::{
    journal::encode_record,
    platform::{
        Platform,
        TeamPolicy,
        TeamTable, //
    }, //
};

/// Interval between comparisons of the teams' usage with their allocations, in milliseconds.
const CHECK_INTERVAL_MS: Millis = 100;

/// The same while a limit holds work back, in milliseconds.
const HELD_BACK_CHECK_INTERVAL_MS: Millis = 25;

/// Minimum interval between two reads of all records while a team's allocation is too small,
/// in milliseconds.
const READ_INTERVAL_MS: Millis = 200;

/// Maximum number of teams in one write: each takes two of its entries, the value and its
/// condition.
const TEAMS_PER_WRITE: usize = 15;

/// A team's record, as last written or found.
#[derive(Clone, Debug, Default)]
struct TeamRecord {
    allocations: QuotaAllocations,
    revision: StoreRevision,
    /// Whether the outcome of the last write is unknown, or the record can't be read.
    uncertain: bool,
}

/// Result of a write or a read of the records.
pub(super) struct QuotaResult {
    /// Allocations of the write, by team; empty for a read.
    written: BTreeMap<String, QuotaAllocations>,
    outcome: Result<QuotaOutcome, StoreError>,
}

enum QuotaOutcome {
    /// All records.
    Read(Vec<StoredValue>),
    Swapped(BatchOutcome),
}

/// The quota allocations that a pool holds, and the records that they are in.
#[derive(Debug, Default)]
pub(super) struct QuotaLedger {
    records: HashMap<String, TeamRecord>,
    /// Whether a write or read is in progress.
    busy: bool,
    checked_at: Millis,
    read_at: Millis,
    /// Whether a team's allocation is too small, or a record is uncertain.
    is_short: bool,
    /// Version of the configuration whose limits are applied.
    version: Option<u64>,
}

impl QuotaLedger {
    /// The allocations to write, by team, at most [`TEAMS_PER_WRITE`].
    fn changes(
        &mut self,
        pool: &str,
        teams: &TeamTable,
        usage: &HashMap<&str, TeamUsage>,
    ) -> BTreeMap<String, QuotaAllocations> {
        let mut changes = BTreeMap::new();
        self.is_short = false;
        for team in limited(teams) {
            let team_usage = usage.get(&*team.name).copied().unwrap_or_default();
            let record = self.records.entry(team.name.to_string()).or_default();
            let allocation = record
                .allocations
                .next_allocation(pool, team.limit, team_usage);
            let requested = team_usage.used.plus(team_usage.waiting);
            self.is_short |= !allocation.is_enough(team.limit, requested);
            if allocation != record.allocations.allocation(pool) && !record.uncertain {
                let mut allocations = record.allocations.clone();
                allocations.set(pool, allocation);
                changes.insert(team.name.to_string(), allocations);
            }
            self.is_short |= record.uncertain;
            if changes.len() == TEAMS_PER_WRITE {
                break;
            }
        }
        changes
    }

    /// Applies a record that was read. A write without a response may still be carried out and
    /// lower the allocation that is read here, so that the lower one stays in effect until the
    /// record is written again.
    fn apply_record(&mut self, pool: &str, team: &str, stored: Option<&StoredValue>) {
        let record = self.records.entry(team.to_owned()).or_default();
        let lower = record
            .uncertain
            .then(|| record.allocations.allocation(pool));
        record.uncertain = false;
        let Some(stored) = stored else {
            *record = TeamRecord::default();
            return;
        };
        match serde_json::from_slice::<QuotaAllocations>(&stored.value) {
            Ok(allocations) => {
                let allocation = allocations.allocation(pool);
                record.allocations = allocations;
                record.allocations.set(
                    pool,
                    lower.map_or(allocation, |lower| allocation.least(lower)),
                );
                record.revision = stored.revision;
            }
            // No task is started under a record that can't be read.
            Err(err) => {
                record.allocations = QuotaAllocations::default();
                record.uncertain = true;
                event!(Error, "quota_unreadable", team = team, error = err);
            }
        }
    }
}

fn limited(teams: &TeamTable) -> impl Iterator<Item = &TeamPolicy> {
    let teams = teams.teams().iter();
    teams.filter(|team| team.has_limit())
}

impl<P: Platform> PoolOwner<P> {
    /// Adapts the pool's allocations to the usage of its teams, when that is due.
    pub(super) fn update_quotas(&mut self, now: Millis) {
        let policy = self.context.shared.policy.load_full();
        let Some(policy) = policy else {
            return;
        };
        let Some(teams) = policy.teams() else {
            return;
        };
        if self.quotas.version != Some(policy.version) {
            self.quotas.version = Some(policy.version);
            self.apply_limits(teams);
        }
        let is_work_held_back = !self.state.tasks_over_quota().is_empty();
        let wait = if is_work_held_back {
            HELD_BACK_CHECK_INTERVAL_MS
        } else {
            CHECK_INTERVAL_MS
        };
        if self.quotas.busy || now < self.quotas.checked_at + wait {
            return;
        }
        self.quotas.checked_at = now;
        let usage = self.state.servable_usage();
        let written = self.quotas.changes(&self.context.pool, teams, &usage);
        if !written.is_empty() {
            self.write_allocations(written);
        } else if self.quotas.is_short && now >= self.quotas.read_at + READ_INTERVAL_MS {
            self.quotas.read_at = now;
            self.read_records();
        }
    }

    fn write_allocations(&mut self, written: BTreeMap<String, QuotaAllocations>) {
        let pool = &self.context.pool;
        let mut items = Vec::new();
        for (team, allocations) in &written {
            let record = self.quotas.records.entry(team.clone()).or_default();
            items.push(SwapItem {
                key: self.context.keys.quota(team),
                expected: record.revision,
                value: Some(encode_record(allocations)),
                lease: None,
            });
            // What is released is not used any more, whatever the outcome of the write.
            let lower = record
                .allocations
                .allocation(pool)
                .least(allocations.allocation(pool));
            record.allocations.set(pool, lower);
        }
        self.apply_allocations();
        self.quotas.busy = true;
        let store = self.context.platform.store().clone();
        let results = self.quota_results.clone();
        actix_rt::spawn(async move {
            let outcome = store.swap_all(items).await.map(QuotaOutcome::Swapped);
            // The send fails only if the owner has ended.
            let _ = results.send(QuotaResult { written, outcome });
        });
    }

    fn read_records(&mut self) {
        self.quotas.busy = true;
        let store = self.context.platform.store().clone();
        let prefix = self.context.keys.quotas_prefix();
        let results = self.quota_results.clone();
        actix_rt::spawn(async move {
            let outcome = store.read_prefix(&prefix).await.map(QuotaOutcome::Read);
            // The send fails only if the owner has ended.
            let _ = results.send(QuotaResult {
                written: BTreeMap::new(),
                outcome,
            });
        });
    }

    /// Applies the result of a write or a read of the records.
    pub(super) fn apply_quota_result(&mut self, result: QuotaResult) {
        self.quotas.busy = false;
        match result.outcome {
            Ok(QuotaOutcome::Swapped(BatchOutcome::Written(revision))) => {
                for (team, allocations) in result.written {
                    event!(
                        Info,
                        "quota_part",
                        team = team,
                        pool = self.context.pool,
                        cpu_milli = allocations.allocation(&self.context.pool).cpu_milli,
                        memory_mb = allocations.allocation(&self.context.pool).memory_mb
                    );
                    let record = self.quotas.records.entry(team).or_default();
                    record.allocations = allocations;
                    record.revision = revision;
                }
            }
            Ok(QuotaOutcome::Swapped(BatchOutcome::Conflict(found))) => {
                for (team, stored) in result.written.keys().zip(&found) {
                    self.quotas
                        .apply_record(&self.context.pool, team, stored.as_ref());
                }
                // The changes of other pools are known now; the write is due again at once.
                self.quotas.checked_at = 0;
            }
            Ok(QuotaOutcome::Read(values)) => self.apply_records(&values),
            Err(err) => {
                event!(
                    Warn,
                    "quota_unknown",
                    pool = self.context.pool,
                    teams = result.written.len(),
                    error = err
                );
                for team in result.written.keys() {
                    if let Some(record) = self.quotas.records.get_mut(team) {
                        record.uncertain = true;
                    }
                }
            }
        }
        self.apply_allocations();
    }

    fn apply_records(&mut self, values: &[StoredValue]) {
        let keys = &self.context.keys;
        let by_team: HashMap<&str, &StoredValue> = values
            .iter()
            .filter_map(|value| Some((keys.quota_of(&value.key)?, value)))
            .collect();
        let known: Vec<String> = self.quotas.records.keys().cloned().collect();
        for team in known {
            let stored = by_team.get(team.as_str()).copied();
            self.quotas.apply_record(&self.context.pool, &team, stored);
        }
    }

    /// Applies the limits and weights of a configuration's teams; other teams have no limit.
    fn apply_limits(&mut self, teams: &TeamTable) {
        let is_limited = |name: &str| teams.find(name).is_some_and(TeamPolicy::has_limit);
        self.quotas.records.retain(|team, _| is_limited(team));
        for team in limited(teams) {
            self.quotas
                .records
                .entry(team.name.to_string())
                .or_default();
        }
        self.state.retain_quota_allocations(is_limited);
        let weights = teams.teams().iter();
        let weights = weights.map(|team| (team.name.to_string(), team.weight));
        self.state.set_weights(weights.collect());
        self.apply_allocations();
    }

    /// Passes the allocations in effect to the pool's state, which plans by them.
    fn apply_allocations(&mut self) {
        let Some(policy) = self.context.shared.policy.load_full() else {
            return;
        };
        for (team, record) in &self.quotas.records {
            let limit = policy.teams().and_then(|teams| teams.find(team));
            if let Some(team) = limit {
                let allowed = record.allocations.allowed(&self.context.pool, team.limit);
                self.state.set_quota_allocation(&team.name, allowed);
                let reachable = record.allocations.reachable(&self.context.pool, team.limit);
                self.state.set_reachable_quota(&team.name, reachable);
            }
        }
    }
}
