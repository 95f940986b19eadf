//! Teams of callers: their keys, weights and limits.
//!
//! Keys are secrets. The table keeps a keyed hash of each, under a key that the process
//! draws at its start; a key that comes in is hashed before it is looked up, so that a
//! known key and an unknown one take the same time and nothing can be learnt of one from
//! how long its refusal took. No key is kept, told or logged.

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

/// Length of a key's hash, in bytes.
const HASH_LENGTH: usize = 32;

/// A key by which a team proves who it is.
#[derive(Clone, Eq, PartialEq)]
pub struct TeamKey(String);

impl TeamKey {
    /// A key as operators wrote it.
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

/// Hash of a key under this process's secret.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
struct KeyHash([u8; HASH_LENGTH]);

impl KeyHash {
    fn of(key: &str) -> Self {
        static SECRET: OnceLock<[u8; HASH_LENGTH]> = OnceLock::new();
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
    /// Its share where there is not enough for all.
    pub weight: f64,
    /// What it may have running on all runners; zero for no limit.
    pub limit: ResourceAmounts,
    /// Keys that stand for it.
    pub keys: usize,
}

impl TeamPolicy {
    /// Whether any amount of what it may have running is limited.
    pub(crate) fn has_limit(&self) -> bool {
        self.limit != ResourceAmounts::default()
    }
}

/// A team and its keys, before they are checked.
#[derive(Clone, Debug)]
pub struct TeamEntry {
    /// The team.
    pub policy: TeamPolicy,
    /// Keys, any of which stands for it.
    pub keys: Vec<TeamKey>,
}

/// Why a table of teams can't come into force. No key is told.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TeamError {
    /// A team has no name.
    #[error("team {0} of the table has no name")]
    MissingName(usize),
    /// Two teams have one name.
    #[error("team {0} stands twice in the table")]
    DuplicateName(String),
    /// A team has a key without a character.
    #[error("team {0} has an empty key")]
    EmptyKey(String),
    /// A key stands twice.
    #[error("key {place} of team {team} stands in the table before")]
    DuplicateKey {
        /// The team.
        team: String,
        /// Place of the key among the team's, from 0.
        place: usize,
    },
    /// A weight is below zero or no number.
    #[error("the weight of team {0} is not a number from zero on")]
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
    /// Says the first thing that is wrong.
    pub fn new(entries: Vec<TeamEntry>) -> Result<Self, TeamError> {
        let mut table = Self::default();
        for (place, entry) in entries.into_iter().enumerate() {
            table.add(place, entry)?;
        }
        Ok(table)
    }

    fn add(&mut self, place: usize, entry: TeamEntry) -> Result<(), TeamError> {
        let TeamEntry { mut policy, keys } = entry;
        policy.keys = keys.len();
        let name = policy.name.clone();
        if name.is_empty() {
            return Err(TeamError::MissingName(place));
        }
        if !policy.weight.is_finite() || policy.weight < 0.0 {
            return Err(TeamError::BadWeight(name.to_string()));
        }
        let team = self.teams.len();
        if self.names.insert(name.clone(), team).is_some() {
            return Err(TeamError::DuplicateName(name.to_string()));
        }
        for (place, key) in keys.iter().enumerate() {
            if key.0.is_empty() {
                return Err(TeamError::EmptyKey(name.to_string()));
            }
            if self.keys.insert(key.hash(), team).is_some() {
                let team = name.to_string();
                return Err(TeamError::DuplicateKey { team, place });
            }
        }
        self.teams.push(policy);
        Ok(())
    }

    /// Teams.
    pub fn teams(&self) -> &[TeamPolicy] {
        &self.teams
    }

    /// Keys of all teams.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// The team of a name.
    pub fn find(&self, name: &str) -> Option<&TeamPolicy> {
        self.teams.get(*self.names.get(name)?)
    }

    /// The team that a key stands for.
    pub fn find_by_key(&self, key: &str) -> Option<&TeamPolicy> {
        self.teams.get(*self.keys.get(&KeyHash::of(key))?)
    }

    /// Keys that are here and not in another table, and the other way round.
    pub(crate) fn key_changes(&self, before: &Self) -> (usize, usize) {
        let now: HashSet<&KeyHash> = self.keys.keys().collect();
        let old: HashSet<&KeyHash> = before.keys.keys().collect();
        (now.difference(&old).count(), old.difference(&now).count())
    }
}

/// Who calls, as far as that is proved.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerTeam(pub Option<Arc<str>>);

/// Why a caller is not let in.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum CallerError {
    /// It shows no key, or what it shows can't be one.
    #[error("a key of a team is needed")]
    NoKey,
    /// It shows a key of no team.
    #[error("the key is of no team")]
    UnknownKey,
}
