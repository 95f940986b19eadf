//! The operators' table: pools and teams with their weights and limits.
//!
//! The table is one value in the store and has its own revision. Each row holds
//! the table revision that last changed it, so that edits of different rows by
//! two operators don't conflict. [`PolicyTable::check`] validates a table; a table
//! that fails it must not be written.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

/// Priority of requests, which a team pays for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PaidPriority {
    /// Served before background requests.
    Urgent,
    /// Served in order of deadlines.
    #[default]
    Background,
}

impl PaidPriority {
    /// Name in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Background => "background",
        }
    }
}

/// Which requests of a pool may be retried after they were sent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryRule {
    /// Requests with an idempotent method (RFC 9110, section 9.2.2).
    #[default]
    Method,
    /// All requests.
    Always,
    /// No request.
    Never,
}

impl RetryRule {
    /// Whether a request with `method` may be retried.
    pub fn allows(self, method: &str) -> bool {
        match self {
            Self::Always => true,
            Self::Never => false,
            Self::Method => matches!(
                method,
                "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
            ),
        }
    }
}

/// Identifies the writer of a record and the write operation.
///
/// If the outcome of a write is unknown, the writer reads the record again and
/// recognises its own write by this stamp.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriterStamp {
    /// Name of the writing process or operator.
    pub writer: String,
    /// Random identifier of the operation.
    pub operation: u64,
}

/// The operators' table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyTable {
    /// Revision of the table; each accepted change increments it by one.
    pub revision: u64,
    /// Who wrote this revision.
    #[serde(default)]
    pub stamp: WriterStamp,
    /// Writers of the revisions before this one, latest first.
    #[serde(default)]
    pub recent: Vec<WriterStamp>,
    /// Pools, ordered by name.
    #[serde(default)]
    pub pools: Vec<PoolRow>,
    /// Teams, ordered by name.
    #[serde(default)]
    pub teams: Vec<TeamRow>,
}

/// Row of a pool of VMs in the operators' table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRow {
    /// Name of the pool; unique.
    pub name: String,
    /// Table revision that last changed the row.
    #[serde(default)]
    pub revision: u64,
    /// First path segment of the pool's requests.
    pub path: String,
    /// Number of concurrent requests that a runner serves.
    pub slots_per_runner: u32,
    /// Number of connections that a runner accepts from all entries together.
    pub connections_per_runner: u32,
    /// Largest number of requests that wait in one entry.
    pub queue_limit: u32,
    /// Largest number of the pool's requests from one entry at runners.
    pub in_flight_limit: u32,
    /// Requests per second that one entry admits.
    pub rate_limit: u32,
    /// Default deadline of urgent requests, in milliseconds.
    pub urgent_deadline_ms: u32,
    /// Default deadline of background requests, in milliseconds.
    pub background_deadline_ms: u32,
    /// Share of the slots above which no background request is sent, in percent.
    pub background_percent: u32,
    /// Allowed retries, in percent of first attempts.
    pub retry_percent: u32,
    /// Which requests may be retried after they were sent.
    pub repeat: RetryRule,
    /// Least number of VMs that the pool holds; VMs are not moved away below it.
    pub min_vms: u32,
    /// Largest number of VMs that may be absent at a time: the availability
    /// budget.
    pub max_absent: u32,
}

/// Row of a team of callers in the operators' table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamRow {
    /// Name of the team; unique.
    pub name: String,
    /// Table revision that last changed the row.
    #[serde(default)]
    pub revision: u64,
    /// Highest priority that the team pays for.
    pub priority: PaidPriority,
    /// Weight relative to the other teams of the same priority.
    pub weight: u32,
    /// Requests of the team per second and pool that one entry admits.
    pub rate_limit: u32,
    /// Largest number of the team's requests per pool that one entry holds.
    pub in_flight_limit: u32,
}

/// A cell, row or total of the table that violates a rule.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("row {row}, column {column}: {fault}; {help}")]
pub struct CellError {
    /// Name of the row.
    pub row: String,
    /// Name of the column.
    pub column: &'static str,
    /// What is wrong.
    pub fault: String,
    /// What to do about it.
    pub help: String,
}

/// Longest name of a row or path.
const NAME_LIMIT_BYTES: usize = 64;

/// Number of earlier writer stamps that a record keeps.
const RECENT_STAMPS_LIMIT: usize = 32;

/// Largest number of rows of one kind; it keeps the table well below the store's
/// limit of 1 MB for a value.
const ROW_LIMIT: usize = 1_000;

/// Longest deadline: one day.
const DEADLINE_LIMIT_MS: u32 = 86_400_000;

impl PolicyTable {
    /// Checks every row and the totals across rows.
    ///
    /// # Errors
    ///
    /// Returns all faults, not only the first one.
    pub fn check(&self) -> Result<(), Vec<CellError>> {
        let mut faults = Vec::new();
        self.check_row_counts(&mut faults);
        self.check_pool_names(&mut faults);
        self.check_team_names(&mut faults);
        for row in &self.pools {
            row.check(&mut faults);
        }
        for row in &self.teams {
            row.check(&mut faults);
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }

    /// Sets the revision and stamps it with its writer.
    pub fn sign(&mut self, revision: u64, stamp: WriterStamp) {
        self.revision = revision;
        sign(&mut self.stamp, &mut self.recent, stamp);
    }

    /// Finds a pool's row by name.
    pub fn pool(&self, name: &str) -> Option<&PoolRow> {
        self.pools.iter().find(|row| row.name == name)
    }

    /// Finds a team's row by name.
    pub fn team(&self, name: &str) -> Option<&TeamRow> {
        self.teams.iter().find(|row| row.name == name)
    }

    fn check_row_counts(&self, faults: &mut Vec<CellError>) {
        let counts = [("pools", self.pools.len()), ("teams", self.teams.len())];
        for (kind, count) in counts {
            if count > ROW_LIMIT {
                faults.push(CellError {
                    row: kind.to_owned(),
                    column: "name",
                    fault: format!("{count} rows"),
                    help: format!("keep at most {ROW_LIMIT} rows"),
                });
            }
        }
    }

    fn check_pool_names(&self, faults: &mut Vec<CellError>) {
        let mut names = BTreeSet::new();
        let mut paths = BTreeSet::new();
        for row in &self.pools {
            check_unique(&row.name, "name", &row.name, &mut names, faults);
            check_unique(&row.name, "path", &row.path, &mut paths, faults);
        }
    }

    fn check_team_names(&self, faults: &mut Vec<CellError>) {
        let mut names = BTreeSet::new();
        for row in &self.teams {
            check_unique(&row.name, "name", &row.name, &mut names, faults);
        }
    }
}

/// Replaces a record's stamp and keeps the previous one in `recent`.
pub(crate) fn sign(stamp: &mut WriterStamp, recent: &mut Vec<WriterStamp>, new: WriterStamp) {
    let last = std::mem::replace(stamp, new);
    recent.insert(0, last);
    recent.truncate(RECENT_STAMPS_LIMIT);
}

impl PoolRow {
    /// Default deadline of requests of the priority, in milliseconds.
    pub fn deadline_ms(&self, priority: PaidPriority) -> u32 {
        match priority {
            PaidPriority::Urgent => self.urgent_deadline_ms,
            PaidPriority::Background => self.background_deadline_ms,
        }
    }

    fn check(&self, faults: &mut Vec<CellError>) {
        check_name(&self.name, "name", &self.name, faults);
        check_name(&self.name, "path", &self.path, faults);
        let ranges = [
            ("slots_per_runner", self.slots_per_runner, 1, 1_024),
            (
                "connections_per_runner",
                self.connections_per_runner,
                1,
                65_535,
            ),
            ("queue_limit", self.queue_limit, 0, 100_000),
            ("in_flight_limit", self.in_flight_limit, 0, 100_000),
            ("rate_limit", self.rate_limit, 0, 1_000_000),
            (
                "urgent_deadline_ms",
                self.urgent_deadline_ms,
                1,
                DEADLINE_LIMIT_MS,
            ),
            (
                "background_deadline_ms",
                self.background_deadline_ms,
                1,
                DEADLINE_LIMIT_MS,
            ),
            ("background_percent", self.background_percent, 1, 100),
            ("retry_percent", self.retry_percent, 0, 100),
            ("min_vms", self.min_vms, 0, 100_000),
            ("max_absent", self.max_absent, 0, 100_000),
        ];
        for (column, value, low, high) in ranges {
            check_range(&self.name, column, value, low, high, faults);
        }
        if self.connections_per_runner < self.slots_per_runner {
            faults.push(CellError {
                row: self.name.clone(),
                column: "connections_per_runner",
                fault: format!(
                    "{} connections for {} slots",
                    self.connections_per_runner, self.slots_per_runner
                ),
                help: "give each slot a connection".to_owned(),
            });
        }
    }
}

impl TeamRow {
    fn check(&self, faults: &mut Vec<CellError>) {
        check_name(&self.name, "name", &self.name, faults);
        let ranges = [
            ("weight", self.weight, 1, 10_000),
            ("rate_limit", self.rate_limit, 0, 1_000_000),
            ("in_flight_limit", self.in_flight_limit, 0, 100_000),
        ];
        for (column, value, low, high) in ranges {
            check_range(&self.name, column, value, low, high, faults);
        }
    }
}

fn check_unique<'a>(
    row: &str,
    column: &'static str,
    value: &'a str,
    seen: &mut BTreeSet<&'a str>,
    faults: &mut Vec<CellError>,
) {
    if seen.insert(value) {
        return;
    }
    faults.push(CellError {
        row: row.to_owned(),
        column,
        fault: format!("'{value}' stands in two rows"),
        help: "give each row its own".to_owned(),
    });
}

fn check_name(row: &str, column: &'static str, value: &str, faults: &mut Vec<CellError>) {
    let plain = value
        .bytes()
        .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-');
    if plain && !value.is_empty() && value.len() <= NAME_LIMIT_BYTES {
        return;
    }
    faults.push(CellError {
        row: row.to_owned(),
        column,
        fault: format!("'{value}' is not a plain name"),
        help: format!("use 1 to {NAME_LIMIT_BYTES} of a-z, 0-9 and '-'"),
    });
}

fn check_range(
    row: &str,
    column: &'static str,
    value: u32,
    low: u32,
    high: u32,
    faults: &mut Vec<CellError>,
) {
    if (low..=high).contains(&value) {
        return;
    }
    faults.push(CellError {
        row: row.to_owned(),
        column,
        fault: format!("{value} is out of range"),
        help: format!("use {low} to {high}"),
    });
}
