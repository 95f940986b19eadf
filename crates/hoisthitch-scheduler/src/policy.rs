//! The operators' configuration: queues, the pools that serve them, and limits.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use hoisthitch_jobs::QueuePolicy;

use crate::{
    index::QueueIndex,
    teams::{
        CallerError,
        CallerTeam,
        TeamTable, //
    }, //
};

/// Names of queues that a line on a change gives of each kind; the rest is counted.
const NAMES_TOLD: usize = 3;

/// A queue as the operators configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRoute {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the path that callers name.
    pub prefix: String,
    /// Pool that runs the queue's jobs.
    pub pool: String,
    /// Policy.
    pub policy: QueuePolicy,
    /// Whether anyone may call it, without a key.
    pub anonymous: bool,
}

/// A pool as the operators configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolPolicy {
    /// Name.
    pub name: String,
    /// Whether its VMs are off.
    pub spare: bool,
}

/// The operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetPolicy {
    /// Version; rises with each change.
    pub version: u64,
    /// Pools.
    pub pools: Vec<PoolPolicy>,
    /// Longest body of a request, in bytes.
    pub body_limit: usize,
    queues: Vec<QueueRoute>,
    index: QueueIndex,
    /// Teams of callers; none where callers are not told apart.
    teams: Option<TeamTable>,
}

impl FleetPolicy {
    /// A configuration.
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

    /// The same, with callers told apart by their teams' keys.
    pub fn with_teams(mut self, teams: TeamTable) -> Self {
        self.teams = Some(teams);
        self
    }

    /// Teams of callers; none where callers are not told apart.
    pub fn teams(&self) -> Option<&TeamTable> {
        self.teams.as_ref()
    }

    /// Tells who calls a queue with a key, or without one.
    ///
    /// # Errors
    ///
    /// Fails where the queue is for teams, and the key is of none.
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

    /// The queue that a request is for, with what follows the queue's prefix.
    pub fn find_queue<'a>(&self, host: &str, path: &'a str) -> Option<(&QueueRoute, &'a str)> {
        let (place, rest) = self.index.find(host, path)?;
        Some((self.queues.get(place)?, rest))
    }

    /// Policies by name of the queue.
    pub fn policies(&self) -> HashMap<String, QueuePolicy> {
        self.queues
            .iter()
            .map(|queue| (queue.name.clone(), queue.policy))
            .collect()
    }
}

/// What a configuration changes of an earlier one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct PolicyChange {
    /// Queues that are new, by name.
    pub(crate) added: Vec<String>,
    /// Queues that are gone.
    pub(crate) dropped: Vec<String>,
    /// Queues that are found elsewhere, or that another pool serves.
    pub(crate) moved: Vec<String>,
    /// Keys of teams that are new.
    pub(crate) keys_added: usize,
    /// Keys of teams that are gone.
    pub(crate) keys_dropped: usize,
}

impl PolicyChange {
    /// What `new` changes of `old`, which had no queues where there was none.
    pub(crate) fn between(old: Option<&FleetPolicy>, new: &FleetPolicy) -> Self {
        let none = TeamTable::default();
        let before = old.and_then(FleetPolicy::teams).unwrap_or(&none);
        let (keys_added, keys_dropped) = new.teams().unwrap_or(&none).key_changes(before);
        let old = old.map(queues_by_name).unwrap_or_default();
        let new = queues_by_name(new);
        let names = |names: Vec<&&str>| names.into_iter().map(|name| (*name).to_owned()).collect();
        let moved = new.iter().filter(|(name, queue)| {
            let before = old.get(*name);
            before.is_some_and(|before| place_of(before) != place_of(queue))
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

/// Where requests for a queue come in, and go to.
fn place_of(queue: &QueueRoute) -> [&str; 3] {
    [&queue.host, &queue.prefix, &queue.pool]
}

/// Count and first names, for a line.
pub(crate) fn format_names(names: &[String]) -> String {
    let told = names.iter().take(NAMES_TOLD).map(String::as_str);
    let told: Vec<&str> = told.collect();
    format!("{}:{}", names.len(), told.join(","))
}
