//! Teams' keys: who is let in, which tables are refused, and that no key shows.

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
    callers_are_told_apart_by_their_keys => tells_apart();
    open_queues_need_no_key => opens();
    tables_without_teams_let_all_in => lets_in();
    bad_tables_are_refused => refuses();
    keys_are_not_shown => hides();
    large_tables_are_looked_up => looks_up();
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

fn choirs() -> Result<TeamTable> {
    let teams = vec![entry("choir", &["k1", "k2"]), entry("band", &["k3"])];
    Ok(TeamTable::new(teams)?)
}

async fn tells_apart() -> Result<()> {
    let policy = policy(choirs()?);
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

async fn opens() -> Result<()> {
    let policy = policy(choirs()?);
    let queue = queue(true);
    ensure!(policy.authenticate(&queue, None) == Ok(CallerTeam(None)));
    ensure!(policy.authenticate(&queue, Some("no key")) == Ok(CallerTeam(None)));
    ensure!(policy.authenticate(&queue, Some("k3")) == Ok(CallerTeam(Some("band".into()))));
    Ok(())
}

async fn lets_in() -> Result<()> {
    let policy = FleetPolicy::new(1, Vec::new(), Vec::new(), 1_000);
    ensure!(policy.authenticate(&queue(false), None) == Ok(CallerTeam(None)));
    Ok(())
}

async fn refuses() -> Result<()> {
    let twice = || vec![entry("choir", &["k1", "k1"])];
    let shared = || vec![entry("choir", &["k1"]), entry("band", &["k2", "k1"])];
    let doubled = |team: &str, index| TeamError::DuplicateKey {
        team: team.to_owned(),
        index,
    };
    ensure!(TeamTable::new(twice()) == Err(doubled("choir", 1)));
    ensure!(TeamTable::new(shared()) == Err(doubled("band", 1)));
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

async fn hides() -> Result<()> {
    let secret = "pqk8bdk9eevyxq2yyaza";
    let entry = entry("choir", &[secret]);
    let told = format!("{entry:?}");
    ensure!(!told.contains(secret), "{told}");
    let policy = policy(TeamTable::new(vec![entry])?);
    let told = format!("{policy:?}");
    ensure!(!told.contains(secret), "{told}");
    ensure!(told.contains("hidden"), "{told}");
    let doubled = TeamError::DuplicateKey {
        team: "choir".to_owned(),
        index: 0,
    };
    ensure!(!doubled.to_string().contains(secret));
    Ok(())
}

/// Ten thousand teams with ten keys each; the times are printed, not judged.
async fn looks_up() -> Result<()> {
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
    /// The table lets in whom a plain map of keys lets in, or is refused where that map
    /// would hide a key.
    fn table_agrees_with_a_map(teams: Vec<Vec<String>>, asked: Vec<String>) -> bool {
        let mut map = HashMap::new();
        let mut whole = true;
        for (team, keys) in teams.iter().enumerate() {
            for key in keys {
                whole &= !key.is_empty() && map.insert(key.clone(), team.to_string()).is_none();
            }
        }
        let entries = teams.iter().enumerate().map(|(team, keys)| {
            let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
            entry(&team.to_string(), &keys)
        });
        let table = TeamTable::new(entries.collect());
        let Ok(table) = table else {
            return !whole;
        };
        whole && asked.iter().chain(map.keys()).all(|key| {
            table.find_by_key(key).map(|team| team.name.to_string()) == map.get(key).cloned()
        })
    }
}
