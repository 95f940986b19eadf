//! The operators' configuration: the queues, the pools that run their jobs, the teams of callers
//! and the limits.
//!
//! [`FleetPolicy`] is made from an operators' record and never changes. For each request it finds
//! the queue and the caller's team. [`PolicyChange`] compares two versions for the log.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use hoisthitch_jobs::{
    ColdStart,
    QueuePolicy, //
};

use crate::{
    index::QueueIndex,
    teams::{
        CallerError,
        CallerTeam,
        TeamTable, //
    }, //
};

/// Number of names that a log line on a change lists of each kind; the others are only counted.
const LOGGED_NAMES: usize = 3;

/// A queue as the operators configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Prefix of the path that callers name.
    pub prefix: String,
    /// Pool that runs the queue's jobs.
    pub pool: String,
    /// Policy of the queue's jobs.
    pub policy: QueuePolicy,
    /// Whether anyone may call it without a key.
    pub anonymous: bool,
}

/// A pool as the operators configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolPolicy {
    /// Name.
    pub name: String,
    /// Whether it is a spare pool, whose VMs are off.
    pub spare: bool,
    /// Slow start of its runners, if they have one.
    pub cold_start: Option<ColdStart>,
}

/// The operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetPolicy {
    /// Version; it increases with each change.
    pub version: u64,
    /// Pools.
    pub pools: Vec<PoolPolicy>,
    /// Longest body of a request, in bytes.
    pub body_limit: usize,
    queues: Vec<QueueRoute>,
    index: QueueIndex,
    /// Teams of callers; none where callers need no key.
    teams: Option<TeamTable>,
}

impl FleetPolicy {
    /// A configuration without teams of callers.
    pub fn new(
        version: u64,
        queues: Vec<QueueRoute>,
        pools: Vec<PoolPolicy>,
        body_limit: usize,
    ) -> Self {
        Self {
            version,
            pools,
            body_limit,
            index: QueueIndex::new(&queues),
            queues,
            teams: None,
        }
    }

    /// The same configuration, where callers are identified by their teams' keys.
    pub fn with_teams(mut self, teams: TeamTable) -> Self {
        self.teams = Some(teams);
        self
    }

    /// Teams of callers; none where callers need no key.
    pub fn teams(&self) -> Option<&TeamTable> {
        self.teams.as_ref()
    }

    /// Identifies the team that calls a queue by its key, if it has one.
    ///
    /// # Errors
    ///
    /// Fails if the queue needs a key of a team and there is none, or an unknown one.
    pub fn authenticate(
        &self,
        queue: &QueueRoute,
        key: Option<&str>,
    ) -> Result<CallerTeam, CallerError> {
        let Some(teams) = &self.teams else {
            return Ok(CallerTeam(None));
        };
        let team = key.and_then(|key| teams.find_by_key(key));
        match team {
            Some(team) => Ok(CallerTeam(Some(team.name.clone()))),
            None if queue.anonymous => Ok(CallerTeam(None)),
            None if key.is_some() => Err(CallerError::UnknownKey),
            None => Err(CallerError::NoKey),
        }
    }

    /// Queues.
    pub fn queues(&self) -> &[QueueRoute] {
        &self.queues
    }

    /// The queue that a request is for, and the rest of the path after the queue's prefix.
    pub fn find_queue<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueRoute, &'a str)> {
        let (position, rest) = self.index.find(host, path)?;
        Some((self.queues.get(position)?, rest))
    }

    /// Queue policies by name of the queue.
    pub fn policies(&self) -> HashMap<String, QueuePolicy> {
        self.queues
            .iter()
            .map(|queue| (queue.name.clone(), queue.policy))
            .collect()
    }
}

/// What a configuration changes compared with an earlier one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct PolicyChange {
    /// Names of queues that are new.
    pub(crate) added: Vec<String>,
    /// Names of queues that were removed.
    pub(crate) dropped: Vec<String>,
    /// Names of queues with another host, prefix or pool.
    pub(crate) moved: Vec<String>,
    /// Number of teams' keys that are new.
    pub(crate) keys_added: usize,
    /// Number of teams' keys that were removed.
    pub(crate) keys_dropped: usize,
}

impl PolicyChange {
    /// What `new` changes compared with `old`; without `old`, all queues and keys are new.
    pub(crate) fn between(old: Option<&FleetPolicy>, new: &FleetPolicy) -> Self {
        let none = TeamTable::default();
        let before = old.and_then(FleetPolicy::teams).unwrap_or(&none);
        let (keys_added, keys_dropped) = new.teams().unwrap_or(&none).key_changes(before);
        let old = old.map(queues_by_name).unwrap_or_default();
        let new = queues_by_name(new);
        let names = |names: Vec<&&str>| names.into_iter().map(|name| (*name).to_owned()).collect();
        let moved = new.iter().filter(|(name, queue)| {
            let before = old.get(*name);
            before.is_some_and(|before| endpoint_of(before) != endpoint_of(queue))
        });
        Self {
            added: names(new.keys().filter(|name| !old.contains_key(*name)).collect()),
            dropped: names(old.keys().filter(|name| !new.contains_key(*name)).collect()),
            moved: names(moved.map(|(name, _)| name).collect()),
            keys_added,
            keys_dropped,
        }
    }
}

fn queues_by_name(policy: &FleetPolicy) -> BTreeMap<&str, &QueueRoute> {
    let queues = policy.queues.iter();
    queues.map(|queue| (queue.name.as_str(), queue)).collect()
}

/// Host and path of the requests for a queue, and the pool that runs its jobs.
fn endpoint_of(queue: &QueueRoute) -> [&str; 3] {
    [&queue.host, &queue.prefix, &queue.pool]
}

/// Number of names and the first of them, for a log line.
pub(crate) fn format_names(names: &[String]) -> String {
    let first = names.iter().take(LOGGED_NAMES).map(String::as_str);
    let first: Vec<&str> = first.collect();
    format!("{}:{}", names.len(), first.join(","))
}
