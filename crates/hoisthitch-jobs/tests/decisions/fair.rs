//! Tests of fair shares: one team sends far more than its share to a pool that is too small
//! for all.
//!
//! Ten teams of equal weight send a job a second each to a pool that can do sixteen jobs a
//! second; one of them sends twenty a second for eight seconds. Before teams had shares, all
//! jobs waited in one order, and those of the other teams were late along with the flood.

use std::collections::HashMap;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::cases;

use crate::{
    load::{
        ComingJob,
        PASS_MS,
        START_MS,
        in_time,
        run_jobs,
        submit, //
    },
    pool_of,
    start_all, //
};

/// Time in which jobs arrive, in milliseconds.
const LOAD_MS: u64 = 8_000;

/// Number of teams beside the flooding one, each with a job a second.
const OTHER_TEAMS: u64 = 9;

/// Time between two jobs of the flooding team in the flood, and without one, in milliseconds.
const FLOOD_GAP_MS: u64 = 50;
const USUAL_GAP_MS: u64 = 1_000;

cases! {
    flood_of_one_team_leaves_the_others_in_time => floods();
    share_that_others_leave_is_used => uses_what_is_left();
}

/// The jobs of all teams; the flooding team sends one each `gap_ms`.
fn coming_jobs(gap_ms: u64) -> Vec<ComingJob> {
    let mut jobs = Vec::new();
    for at in (0..LOAD_MS).step_by(usize::try_from(gap_ms).unwrap_or(1)) {
        jobs.push(ComingJob {
            id: format!("flood{at}"),
            team: "flood".to_owned(),
            at,
        });
    }
    for team in 0..OTHER_TEAMS {
        // Spread over each second.
        for at in (team * 100..LOAD_MS).step_by(1_000) {
            jobs.push(ComingJob {
                id: format!("team{team}x{at}"),
                team: format!("team{team}"),
                at,
            });
        }
    }
    jobs
}

/// Simulates the load; returns the sorted times of the jobs of the flooding team and of the
/// others, in milliseconds. Without `weighted`, teams have no shares.
fn simulate(gap_ms: u64, weighted: bool) -> (Vec<u64>, Vec<u64>) {
    let mut state = pool_of(8, 32);
    if weighted {
        let teams = (0..OTHER_TEAMS).map(|team| (format!("team{team}"), 1.0));
        let mut weights: HashMap<String, f64> = teams.collect();
        weights.insert("flood".to_owned(), 1.0);
        state.set_weights(weights);
    }
    let jobs = coming_jobs(gap_ms);
    let times = run_jobs(&mut state, &jobs, 4 * LOAD_MS / PASS_MS);
    let of = |flood: bool| {
        let some = jobs.iter().filter(|job| (job.team == "flood") == flood);
        let mut times: Vec<u64> = some.filter_map(|job| times.get(&job.id).copied()).collect();
        times.sort_unstable();
        times
    };
    (of(true), of(false))
}

fn print_times(what: &str, times: &[u64]) {
    let at = |part: usize| times.get(times.len() * part / 100).copied();
    println!(
        "{what}: {} of {} in time, p50 {:?} ms, p99 {:?} ms",
        in_time(times),
        times.len(),
        at(50),
        at(99)
    );
}

/// With shares, the other teams have at most two jobs fewer in time than without the flood, and
/// more than in the flood without shares.
async fn floods() -> Result<()> {
    let (_, calm) = simulate(USUAL_GAP_MS, true);
    let (_, unshared) = simulate(FLOOD_GAP_MS, false);
    let (flood, shared) = simulate(FLOOD_GAP_MS, true);
    print_times("others, no flood", &calm);
    print_times("others, a flood and no shares", &unshared);
    print_times("others, a flood and shares", &shared);
    print_times("the flood, with shares", &flood);
    ensure!(
        in_time(&shared) + 2 >= in_time(&calm),
        "the other teams are late"
    );
    ensure!(
        in_time(&shared) > in_time(&unshared),
        "shares change nothing"
    );
    ensure!(!flood.is_empty(), "the flooding team starves");
    Ok(())
}

/// The only team with jobs gets the whole pool, whatever its weight.
async fn uses_what_is_left() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.set_weights(HashMap::from([
        ("flood".to_owned(), 1.0),
        ("team0".to_owned(), 9.0),
    ]));
    for number in 0..8 {
        let job = ComingJob {
            id: format!("f{number}"),
            team: "flood".to_owned(),
            at: 0,
        };
        submit(&mut state, &job, START_MS);
    }
    let started = start_all(&mut state, START_MS).len();
    ensure!(started == 4, "{started} tasks of four cores on sixteen");
    Ok(())
}
