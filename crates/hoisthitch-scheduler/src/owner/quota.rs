//! An owner's parts of what teams may have running.
//!
//! Each limited team has a record of the parts that pools hold of its limit. The owner
//! changes its pool's parts by compare-and-swap, all that are due in one write. A part that
//! grows counts once it is written, one that shrinks from before its write on; where the
//! answer was lost, the lower of the two counts until the record is written again.

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

/// Time between two looks at what teams need, in milliseconds.
const LOOK_MS: Millis = 100;

/// The same while work is held back.
const HELD_LOOK_MS: Millis = 25;

/// Time between two readings of all records while teams lack room, in milliseconds.
const READ_MS: Millis = 200;

/// Teams whose parts go into one write: each takes two entries, the value and its condition.
const BATCH: usize = 15;

/// A team's record, as last written or found.
#[derive(Clone, Debug, Default)]
struct TeamRecord {
    parts: QuotaAllocations,
    revision: StoreRevision,
    /// Whether the last write's outcome is not known.
    doubtful: bool,
}

/// What came of a look.
pub(super) struct QuotaReturn {
    /// What was to be written, by team.
    written: BTreeMap<String, QuotaAllocations>,
    outcome: Result<QuotaOutcome, StoreError>,
}

enum QuotaOutcome {
    /// All records, as they were read.
    Read(Vec<StoredValue>),
    Swapped(BatchOutcome),
}

/// Parts of a pool, and their records.
#[derive(Debug, Default)]
pub(super) struct QuotaLedger {
    records: HashMap<String, TeamRecord>,
    asking: bool,
    looked_at: Millis,
    read_at: Millis,
    /// Teams that would take more than is free.
    short: bool,
    /// Version of the configuration whose limits were last put in force.
    version: Option<u64>,
}

impl QuotaLedger {
    /// Parts to be written, by team.
    fn changes(
        &mut self,
        pool: &str,
        teams: &TeamTable,
        uses: &HashMap<&str, TeamUsage>,
    ) -> BTreeMap<String, QuotaAllocations> {
        let mut changes = BTreeMap::new();
        self.short = false;
        for team in limited(teams) {
            let needs = uses.get(&*team.name).copied().unwrap_or_default();
            let record = self.records.entry(team.name.to_string()).or_default();
            let part = record.parts.next_allocation(pool, team.limit, needs);
            let asked = needs.used.plus(needs.waiting);
            self.short |= !part.is_enough(team.limit, asked);
            if part != record.parts.allocation(pool) && !record.doubtful {
                let mut parts = record.parts.clone();
                parts.set(pool, part);
                changes.insert(team.name.to_string(), parts);
            }
            self.short |= record.doubtful;
            if changes.len() == BATCH {
                break;
            }
        }
        changes
    }

    /// Takes a record in. A write without an answer may be made yet, and give back what is
    /// told here; so the lower part goes on to count until the record is written again.
    fn take(&mut self, pool: &str, team: &str, stored: Option<&StoredValue>) {
        let record = self.records.entry(team.to_owned()).or_default();
        let lower = record.doubtful.then(|| record.parts.allocation(pool));
        record.doubtful = false;
        let Some(stored) = stored else {
            *record = TeamRecord::default();
            return;
        };
        match serde_json::from_slice::<QuotaAllocations>(&stored.value) {
            Ok(parts) => {
                let part = parts.allocation(pool);
                record.parts = parts;
                record
                    .parts
                    .set(pool, lower.map_or(part, |lower| part.least(lower)));
                record.revision = stored.revision;
            }
            // Nothing is started by a record that can't be read.
            Err(err) => {
                record.parts = QuotaAllocations::default();
                record.doubtful = true;
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
    /// Has the pool's parts follow what its teams need.
    pub(super) fn look_at_quotas(&mut self, now: Millis) {
        let policy = self.context.shared.policy.load_full();
        let Some(policy) = policy else {
            return;
        };
        let Some(teams) = policy.teams() else {
            return;
        };
        if self.quotas.version != Some(policy.version) {
            self.quotas.version = Some(policy.version);
            self.put_in_force(teams);
        }
        let held = !self.state.tasks_over_quota().is_empty();
        let wait = if held { HELD_LOOK_MS } else { LOOK_MS };
        if self.quotas.asking || now < self.quotas.looked_at + wait {
            return;
        }
        self.quotas.looked_at = now;
        let uses = self.state.team_usage();
        let written = self.quotas.changes(&self.context.pool, teams, &uses);
        if !written.is_empty() {
            self.write_parts(written);
        } else if self.quotas.short && now >= self.quotas.read_at + READ_MS {
            self.quotas.read_at = now;
            self.read_parts();
        }
    }

    fn write_parts(&mut self, written: BTreeMap<String, QuotaAllocations>) {
        let pool = &self.context.pool;
        let mut items = Vec::new();
        for (team, parts) in &written {
            let record = self.quotas.records.entry(team.clone()).or_default();
            items.push(SwapItem {
                key: self.context.keys.quota(team),
                expected: record.revision,
                value: Some(encode_record(parts)),
                lease: None,
            });
            // What is given back is not used any more, whatever becomes of the write.
            let lower = record.parts.allocation(pool).least(parts.allocation(pool));
            record.parts.set(pool, lower);
        }
        self.apply_allowances();
        self.quotas.asking = true;
        let store = self.context.platform.store().clone();
        let returns = self.quota_returns.clone();
        actix_rt::spawn(async move {
            let outcome = store.swap_all(items).await.map(QuotaOutcome::Swapped);
            // An owner that is gone needs no parts.
            let _ = returns.send(QuotaReturn { written, outcome });
        });
    }

    fn read_parts(&mut self) {
        self.quotas.asking = true;
        let store = self.context.platform.store().clone();
        let prefix = self.context.keys.quotas_prefix();
        let returns = self.quota_returns.clone();
        actix_rt::spawn(async move {
            let outcome = store.read_prefix(&prefix).await.map(QuotaOutcome::Read);
            // An owner that is gone needs no parts.
            let _ = returns.send(QuotaReturn {
                written: BTreeMap::new(),
                outcome,
            });
        });
    }

    /// Takes in what came of a look.
    pub(super) fn take_quotas(&mut self, back: QuotaReturn) {
        self.quotas.asking = false;
        match back.outcome {
            Ok(QuotaOutcome::Swapped(BatchOutcome::Written(revision))) => {
                for (team, parts) in back.written {
                    event!(
                        Info,
                        "quota_part",
                        team = team,
                        pool = self.context.pool,
                        cpu_milli = parts.allocation(&self.context.pool).cpu_milli,
                        memory_mb = parts.allocation(&self.context.pool).memory_mb
                    );
                    let record = self.quotas.records.entry(team).or_default();
                    record.parts = parts;
                    record.revision = revision;
                }
            }
            Ok(QuotaOutcome::Swapped(BatchOutcome::Conflict(found))) => {
                for (team, stored) in back.written.keys().zip(&found) {
                    self.quotas.take(&self.context.pool, team, stored.as_ref());
                }
                // What others changed is known now, and the write due at once.
                self.quotas.looked_at = 0;
            }
            Ok(QuotaOutcome::Read(values)) => self.take_all(&values),
            Err(err) => {
                event!(
                    Warn,
                    "quota_unknown",
                    pool = self.context.pool,
                    teams = back.written.len(),
                    error = err
                );
                for team in back.written.keys() {
                    if let Some(record) = self.quotas.records.get_mut(team) {
                        record.doubtful = true;
                    }
                }
            }
        }
        self.apply_allowances();
    }

    fn take_all(&mut self, values: &[StoredValue]) {
        let keys = &self.context.keys;
        let by_team: HashMap<&str, &StoredValue> = values
            .iter()
            .filter_map(|value| Some((keys.quota_of(&value.key)?, value)))
            .collect();
        let known: Vec<String> = self.quotas.records.keys().cloned().collect();
        for team in known {
            let stored = by_team.get(team.as_str()).copied();
            self.quotas.take(&self.context.pool, &team, stored);
        }
    }

    /// Limits the teams of a configuration, and no others.
    fn put_in_force(&mut self, teams: &TeamTable) {
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
        self.apply_allowances();
    }

    /// Lets the pool's plans go by the parts that it holds.
    fn apply_allowances(&mut self) {
        let Some(policy) = self.context.shared.policy.load_full() else {
            return;
        };
        for (team, record) in &self.quotas.records {
            let limit = policy.teams().and_then(|teams| teams.find(team));
            if let Some(team) = limit {
                let allowed = record.parts.allowed(&self.context.pool, team.limit);
                self.state.set_quota_allocation(&team.name, allowed);
            }
        }
    }
}
