//! Teams of callers: their keys, weights and limits.
//!
//! [`TeamTable`] is built from the operators' entries and finds the team of a caller's key.
//!
//! Keys are secrets: none is kept, returned or logged. The table keeps a keyed hash of each, under
//! a random secret of the process. A caller's key is hashed before it is looked up, so that a
//! known key and an unknown one take the same time, and the time of a refusal reveals nothing
//! about a key.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    fmt,
    sync::{
        Arc,
        OnceLock, //
    }, //
};

use hoisthitch_jobs::ResourceAmounts;
use thiserror::Error;

/// Length of a key's hash.
const HASH_BYTES: usize = 32;

/// A key that authenticates a team.
#[derive(Clone, Eq, PartialEq)]
pub struct TeamKey(String);

impl TeamKey {
    /// A key as the operators wrote it.
    pub fn new(text: String) -> Self {
        Self(text)
    }

    fn hash(&self) -> KeyHash {
        KeyHash::of(&self.0)
    }
}

impl fmt::Debug for TeamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TeamKey(hidden)")
    }
}

/// Hash of a key under the secret of this process.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    fn of(key: &str) -> Self {
        static SECRET: OnceLock<[u8; HASH_BYTES]> = OnceLock::new();
        let secret = SECRET.get_or_init(rand::random);
        Self(blake3::keyed_hash(secret, key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(hidden)")
    }
}

/// A team as the operators configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamPolicy {
    /// Name.
    pub name: Arc<str>,
    /// Weight of its share where the capacity is not enough for all teams.
    pub weight: f64,
    /// Resources that its running tasks may use on all runners together; zero for no limit.
    pub limit: ResourceAmounts,
    /// Number of its keys.
    pub keys: usize,
}

impl TeamPolicy {
    /// Whether any resource is limited.
    pub(crate) fn has_limit(&self) -> bool {
        self.limit != ResourceAmounts::default()
    }
}

/// A team and its keys, before they are checked.
#[derive(Clone, Debug)]
pub struct TeamEntry {
    /// The team.
    pub policy: TeamPolicy,
    /// Its keys, each of which authenticates it.
    pub keys: Vec<TeamKey>,
}

/// Why a table of teams is invalid. The messages contain no key.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TeamError {
    /// A team has no name.
    #[error("the team at index {0} has no name")]
    MissingName(usize),
    /// Two teams have the same name.
    #[error("team {0} is listed twice")]
    DuplicateName(String),
    /// A team has an empty key.
    #[error("team {0} has an empty key")]
    EmptyKey(String),
    /// A key is listed twice, for the same team or for two teams.
    #[error("key {index} of team {team} is listed before")]
    DuplicateKey {
        /// The team.
        team: String,
        /// Index of the key among the team's keys, from 0.
        index: usize,
    },
    /// A weight is negative, infinite or not a number.
    #[error("the weight of team {0} is not a finite number of at least zero")]
    BadWeight(String),
}

/// Teams, by name and by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamTable {
    teams: Vec<TeamPolicy>,
    names: HashMap<Arc<str>, usize>,
    keys: HashMap<KeyHash, usize>,
}

impl TeamTable {
    /// Checks teams and makes a table of them.
    ///
    /// # Errors
    ///
    /// Returns the first fault that is found.
    pub fn new(entries: Vec<TeamEntry>) -> Result<Self, TeamError> {
        let mut table = Self::default();
        for (index, entry) in entries.into_iter().enumerate() {
            table.add(index, entry)?;
        }
        Ok(table)
    }

    fn add(&mut self, index: usize, entry: TeamEntry) -> Result<(), TeamError> {
        let TeamEntry { mut policy, keys } = entry;
        policy.keys = keys.len();
        let name = policy.name.clone();
        if name.is_empty() {
            return Err(TeamError::MissingName(index));
        }
        if !policy.weight.is_finite() || policy.weight < 0.0 {
            return Err(TeamError::BadWeight(name.to_string()));
        }
        let team = self.teams.len();
        if self.names.insert(name.clone(), team).is_some() {
            return Err(TeamError::DuplicateName(name.to_string()));
        }
        for (index, key) in keys.iter().enumerate() {
            if key.0.is_empty() {
                return Err(TeamError::EmptyKey(name.to_string()));
            }
            if self.keys.insert(key.hash(), team).is_some() {
                let team = name.to_string();
                return Err(TeamError::DuplicateKey { team, index });
            }
        }
        self.teams.push(policy);
        Ok(())
    }

    /// The teams, in the order in which they were listed.
    pub fn teams(&self) -> &[TeamPolicy] {
        &self.teams
    }

    /// Number of keys of all teams.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// The team with a name.
    pub fn find(&self, name: &str) -> Option<&TeamPolicy> {
        self.teams.get(*self.names.get(name)?)
    }

    /// The team that a key belongs to.
    pub fn find_by_key(&self, key: &str) -> Option<&TeamPolicy> {
        self.teams.get(*self.keys.get(&KeyHash::of(key))?)
    }

    /// Number of keys that are in this table and not in an earlier one, and the other way round.
    pub(crate) fn key_changes(&self, before: &Self) -> (usize, usize) {
        let now: HashSet<&KeyHash> = self.keys.keys().collect();
        let old: HashSet<&KeyHash> = before.keys.keys().collect();
        (now.difference(&old).count(), old.difference(&now).count())
    }
}

/// Authenticated team of a caller; none for an anonymous caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerTeam(pub Option<Arc<str>>);

/// Why a caller is rejected.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallerError {
    /// It presents no key, or something that can't be one.
    #[error("a key of a team is needed")]
    NoKey,
    /// It presents a key of no team.
    #[error("the key is of no team")]
    UnknownKey,
}
