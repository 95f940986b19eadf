//! One team sends far more than its share to a pool that is too small for all.
//!
//! Pattern: ten teams of equal weight, each with a job a second, in a pool that can do
//! sixteen jobs a second; one of them sends twenty a second for eight seconds. Seen before
//! teams had shares: all waited alike, and the others' jobs were late with those of the one.

use std::collections::HashMap;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::cases;

use crate::{
    load::{
        ComingJob,
        LOOK_MS,
        START_MS,
        hand_in,
        in_time,
        play_jobs, //
    },
    pool_of,
    start_all, //
};

/// Time in which jobs come, and teams beside the one, each with a job a second.
const DAY_MS: u64 = 8_000;
const OTHERS: u64 = 9;

/// Time between two jobs of the one team, in milliseconds, in a flood and without.
const FLOOD_GAP_MS: u64 = 50;
const USUAL_GAP_MS: u64 = 1_000;

cases! {
    flood_of_one_team_leaves_the_others_in_time => floods();
    share_that_others_leave_is_used => uses_what_is_left();
}

fn coming(gap_ms: u64) -> Vec<ComingJob> {
    let mut jobs = Vec::new();
    for at in (0..DAY_MS).step_by(usize::try_from(gap_ms).unwrap_or(1)) {
        jobs.push(ComingJob {
            id: format!("flood{at}"),
            team: "flood".to_owned(),
            at,
        });
    }
    for team in 0..OTHERS {
        // Spread over each second.
        for at in (team * 100..DAY_MS).step_by(1_000) {
            jobs.push(ComingJob {
                id: format!("team{team}x{at}"),
                team: format!("team{team}"),
                at,
            });
        }
    }
    jobs
}

/// Plays the day; answers with the times of the jobs of the one team and of the others.
fn play(gap_ms: u64, weighted: bool) -> (Vec<u64>, Vec<u64>) {
    let mut state = pool_of(8, 32);
    if weighted {
        let teams = (0..OTHERS).map(|team| (format!("team{team}"), 1.0));
        let mut weights: HashMap<String, f64> = teams.collect();
        weights.insert("flood".to_owned(), 1.0);
        state.set_weights(weights);
    }
    let jobs = coming(gap_ms);
    let times = play_jobs(&mut state, &jobs, 4 * DAY_MS / LOOK_MS);
    let of = |flood: bool| {
        let some = jobs.iter().filter(|job| (job.team == "flood") == flood);
        let mut times: Vec<u64> = some.filter_map(|job| times.get(&job.id).copied()).collect();
        times.sort_unstable();
        times
    };
    (of(true), of(false))
}

fn tell(what: &str, times: &[u64]) {
    let at = |part: usize| times.get(times.len() * part / 100).copied();
    println!(
        "{what}: {} of {} in time, p50 {:?} ms, p99 {:?} ms",
        in_time(times),
        times.len(),
        at(50),
        at(99)
    );
}

async fn floods() -> Result<()> {
    let (_, calm) = play(USUAL_GAP_MS, true);
    let (_, unshared) = play(FLOOD_GAP_MS, false);
    let (flood, shared) = play(FLOOD_GAP_MS, true);
    tell("others, no flood", &calm);
    tell("others, a flood and no shares", &unshared);
    tell("others, a flood and shares", &shared);
    tell("the flood, with shares", &flood);
    ensure!(in_time(&shared) + 2 >= in_time(&calm), "others are late");
    ensure!(
        in_time(&shared) > in_time(&unshared),
        "shares change nothing"
    );
    ensure!(!flood.is_empty(), "the one team starves");
    Ok(())
}

/// A team alone in a pool gets all of it.
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
        hand_in(&mut state, &job, START_MS);
    }
    let started = start_all(&mut state, START_MS).len();
    ensure!(started == 4, "{started} tasks of four cores on sixteen");
    Ok(())
}
