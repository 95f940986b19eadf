//! Authentication by teams' keys: which callers are accepted, which tables are rejected, and
//! that keys do not appear in debug output or error texts.

use std::{
    collections::HashMap,
    time::Instant, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    QueuePolicy,
    ResourceAmounts, //
};
use hoisthitch_scheduler::{
    CallerError,
    CallerTeam,
    platform::{
        FleetPolicy,
        QueueRoute,
        TeamEntry,
        TeamError,
        TeamKey,
        TeamPolicy,
        TeamTable, //
    }, //
};
use hoisthitch_tests::cases;
use quickcheck::quickcheck;

cases! {
    callers_are_told_apart_by_their_keys => distinguishes_keys();
    open_queues_need_no_key => accepts_anonymous();
    tables_without_teams_let_all_in => accepts_all();
    bad_tables_are_refused => rejects_tables();
    keys_are_not_shown => hides_keys();
    large_tables_are_looked_up => looks_up_keys();
}

fn entry(name: &str, keys: &[&str]) -> TeamEntry {
    TeamEntry {
        policy: TeamPolicy {
            name: name.into(),
            weight: 1.0,
            limit: ResourceAmounts::default(),
            keys: 0,
        },
        keys: keys
            .iter()
            .map(|key| TeamKey::new((*key).to_owned()))
            .collect(),
    }
}

fn queue(anonymous: bool) -> QueueRoute {
    QueueRoute {
        name: "hold".to_owned(),
        host: "halls.example".to_owned(),
        prefix: "/hold/".to_owned(),
        pool: "halls".to_owned(),
        policy: QueuePolicy {
            priority: 0,
            max_attempts: 3,
            stretch: 1.6,
            target_latency_ms: 600,
            advised: false,
        },
        anonymous,
    }
}

fn policy(table: TeamTable) -> FleetPolicy {
    FleetPolicy::new(1, Vec::new(), Vec::new(), 1_000).with_teams(table)
}

fn two_teams() -> Result<TeamTable> {
    let teams = vec![entry("choir", &["k1", "k2"]), entry("band", &["k3"])];
    Ok(TeamTable::new(teams)?)
}

async fn distinguishes_keys() -> Result<()> {
    let policy = policy(two_teams()?);
    let queue = queue(false);
    for (key, team) in [("k1", "choir"), ("k2", "choir"), ("k3", "band")] {
        ensure!(policy.authenticate(&queue, Some(key)) == Ok(CallerTeam(Some(team.into()))));
    }
    for key in ["", "K1", "k1 ", " k1", "k1,k2", "k", "choir"] {
        ensure!(
            policy.authenticate(&queue, Some(key)) == Err(CallerError::UnknownKey),
            "{key:?}"
        );
    }
    ensure!(policy.authenticate(&queue, None) == Err(CallerError::NoKey));
    Ok(())
}

async fn accepts_anonymous() -> Result<()> {
    let policy = policy(two_teams()?);
    let queue = queue(true);
    ensure!(policy.authenticate(&queue, None) == Ok(CallerTeam(None)));
    ensure!(policy.authenticate(&queue, Some("no key")) == Ok(CallerTeam(None)));
    ensure!(policy.authenticate(&queue, Some("k3")) == Ok(CallerTeam(Some("band".into()))));
    Ok(())
}

async fn accepts_all() -> Result<()> {
    let policy = FleetPolicy::new(1, Vec::new(), Vec::new(), 1_000);
    ensure!(policy.authenticate(&queue(false), None) == Ok(CallerTeam(None)));
    Ok(())
}

async fn rejects_tables() -> Result<()> {
    let repeated = || vec![entry("choir", &["k1", "k1"])];
    let shared = || vec![entry("choir", &["k1"]), entry("band", &["k2", "k1"])];
    let duplicate = |team: &str, index| TeamError::DuplicateKey {
        team: team.to_owned(),
        index,
    };
    ensure!(TeamTable::new(repeated()) == Err(duplicate("choir", 1)));
    ensure!(TeamTable::new(shared()) == Err(duplicate("band", 1)));
    let unnamed = vec![entry("choir", &[]), entry("", &["k1"])];
    ensure!(TeamTable::new(unnamed) == Err(TeamError::MissingName(1)));
    let empty = vec![entry("choir", &[""])];
    ensure!(TeamTable::new(empty) == Err(TeamError::EmptyKey("choir".to_owned())));
    let named_twice = vec![entry("choir", &[]), entry("choir", &[])];
    ensure!(TeamTable::new(named_twice) == Err(TeamError::DuplicateName("choir".to_owned())));
    for weight in [f64::NAN, f64::INFINITY, -1.0] {
        let mut bad = entry("choir", &["k1"]);
        bad.policy.weight = weight;
        ensure!(TeamTable::new(vec![bad]) == Err(TeamError::BadWeight("choir".to_owned())));
    }
    Ok(())
}

async fn hides_keys() -> Result<()> {
    let secret = "pqk8bdk9eevyxq2yyaza";
    let entry = entry("choir", &[secret]);
    let text = format!("{entry:?}");
    ensure!(!text.contains(secret), "{text}");
    let policy = policy(TeamTable::new(vec![entry])?);
    let text = format!("{policy:?}");
    ensure!(!text.contains(secret), "{text}");
    ensure!(text.contains("hidden"), "{text}");
    let duplicate = TeamError::DuplicateKey {
        team: "choir".to_owned(),
        index: 0,
    };
    ensure!(!duplicate.to_string().contains(secret));
    Ok(())
}

/// Ten thousand teams with ten keys each; the times are printed, not checked.
async fn looks_up_keys() -> Result<()> {
    let keys = |team: usize| (0..10).map(move |key| format!("key-{team}-{key}"));
    let teams = (0..10_000).map(|team| {
        let mut entry = entry(&format!("team-{team}"), &[]);
        entry.keys = keys(team).map(TeamKey::new).collect();
        entry
    });
    let teams: Vec<TeamEntry> = teams.collect();
    let begun = Instant::now();
    let table = TeamTable::new(teams)?;
    println!("table of {} keys: {:?}", table.key_count(), begun.elapsed());
    for known in [true, false] {
        let begun = Instant::now();
        for team in 0..10_000 {
            let key = format!("key-{team}-{}", if known { 7 } else { 70 });
            let found = table.find_by_key(&key).map(|team| team.name.to_string());
            ensure!(found == known.then(|| format!("team-{team}")));
        }
        println!("10,000 look-ups, known {known}: {:?}", begun.elapsed());
    }
    Ok(())
}

quickcheck! {
    /// The table finds the same teams as a plain map of keys, or is rejected where keys are empty
    /// or occur twice.
    fn table_agrees_with_a_map(teams: Vec<Vec<String>>, requested: Vec<String>) -> bool {
        let mut map = HashMap::new();
        let mut valid = true;
        for (team, keys) in teams.iter().enumerate() {
            for key in keys {
                valid &= !key.is_empty() && map.insert(key.clone(), team.to_string()).is_none();
            }
        }
        let entries = teams.iter().enumerate().map(|(team, keys)| {
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            entry(&team.to_string(), &keys)
        });
        let table = TeamTable::new(entries.collect());
        let Ok(table) = table else {
            return !valid;
        };
        valid && requested.iter().chain(map.keys()).all(|key| {
            table.find_by_key(key).map(|team| team.name.to_string()) == map.get(key).cloned()
        })
    }
}
