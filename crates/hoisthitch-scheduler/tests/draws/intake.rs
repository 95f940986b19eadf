//! Jobs of callers that return, at a pool that is under pressure and out of it, while owners are
//! restarted and frozen, the store fails and its answers are lost. A job that was accepted is
//! never refused after that and is completed; one whose answers all say that it never runs is
//! never started.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use hoisthitch_scheduler::{
    IntakeRules,
    SubmitAnswer, //
};
use hoisthitch_tests::world::{
    StoreFaults,
    refuse_short,
    report_waiting, //
};
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng,
    seq::IndexedRandom, //
};

use super::{
    check_invariants,
    restart_owner,
    run_seeds, //
};
use crate::world::{
    TestWorld,
    codec::queue,
    job,
    sleep_ms, //
};

/// Steps of a history; each injects a fault while callers submit jobs.
const STEPS: usize = 10;

/// Submissions in a step.
const CALLS: usize = 12;

/// Time within which jobs must be completed after the last fault, in milliseconds.
const COMPLETION_LIMIT_MS: u64 = 120_000;

/// What callers were told of a job.
#[derive(Debug, Default)]
struct JobAnswers {
    accepted: bool,
    /// Whether some call had no clear answer.
    unclear: bool,
    refusals: u32,
}

/// What callers were told, by job.
#[derive(Debug, Default)]
struct AnswerLog {
    jobs: BTreeMap<String, JobAnswers>,
}

#[test]
fn refused_jobs_never_run_and_accepted_ones_are_not_refused() -> Result<()> {
    run_seeds(history)
}

async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = TestWorld::start(0, 2).await?;
    world.terms.admission_control = true;
    world.intake_rules = IntakeRules {
        report: report_waiting,
        decide: refuse_short,
    };
    for number in 0..3 {
        world.start_node(&format!("node-{number}"))?;
    }
    sleep_ms(2_000).await;
    let mut log = AnswerLog::default();
    for _ in 0..STEPS {
        let mut calls = StdRng::seed_from_u64(rng.random());
        if rng.random_bool(0.3) {
            let (planned, down_ms) = (rng.random_bool(0.4), rng.random_range(50..1_500));
            restart_owner(&mut world, planned, down_ms).await?;
        }
        let submitted = submit_some(&world, &mut log, &mut calls);
        let (submitted, ()) = tokio::join!(submitted, inject_fault(&world, &mut rng));
        submitted?;
    }
    world.store.set_faults(StoreFaults::default());
    for (id, answers) in &log.jobs {
        if answers.accepted {
            world
                .wait_phase(id, JobPhase::Completed, COMPLETION_LIMIT_MS)
                .await?;
        } else if !answers.unclear {
            let phase = world.phase(id).await;
            let started = world.fleet.started_jobs().contains(id);
            ensure!(
                phase.is_none() && !started,
                "{id} was refused and is {phase:?}"
            );
        }
    }
    let refusals: u32 = log.jobs.values().map(|answers| answers.refusals).sum();
    ensure!(refusals > 0, "no job was refused");
    check_invariants(&world)
}

/// Submits new jobs and repeats earlier ones, one call after the other.
async fn submit_some(world: &TestWorld, log: &mut AnswerLog, rng: &mut StdRng) -> Result<()> {
    let queue = queue();
    for _ in 0..CALLS {
        let known: Vec<String> = log.jobs.keys().cloned().collect();
        let id = match known.choose(rng) {
            Some(id) if rng.random_bool(0.5) => id.clone(),
            _ => format!("j{}", known.len()),
        };
        let spec = job("work 900", &[6]);
        world.fleet.record_job(&id, &spec, false);
        let names: Vec<&String> = world.nodes.keys().collect();
        let Some(name) = names.choose(rng) else {
            continue;
        };
        let time_ms = rng.random_range(200..4_000);
        let submitted = world.nodes[*name].submit(&queue, &id, spec, time_ms);
        let limit = Duration::from_millis(time_ms + 200);
        let answer = tokio::time::timeout(limit, submitted).await;
        let answers = log.jobs.entry(id.clone()).or_default();
        match answer {
            Ok(SubmitAnswer::Accepted) => answers.accepted = true,
            Ok(SubmitAnswer::Overloaded(_)) => {
                ensure!(!answers.accepted, "{id} was accepted and is refused");
                answers.refusals += 1;
            }
            Ok(SubmitAnswer::Refused) => answers.refusals += 1,
            Ok(SubmitAnswer::Unknown) | Err(_) => answers.unclear = true,
            Ok(other) => eyre::bail!("{id}: {other:?}"),
        }
        sleep_ms(rng.random_range(0..300)).await;
    }
    Ok(())
}

/// Injects one random fault for some time.
async fn inject_fault(world: &TestWorld, rng: &mut StdRng) {
    let time_ms = rng.random_range(300..4_000);
    let nodes: Vec<&String> = world.nodes.keys().collect();
    let some = nodes.choose(rng).map(|name| (*name).clone());
    let some = some.into_iter().collect();
    let faults = match rng.random_range(0..7) {
        0 => {
            let owner = world.owner();
            if let Some(node) = world.nodes.get(&owner) {
                node.freeze(true);
                sleep_ms(time_ms).await;
                node.freeze(false);
            }
            return;
        }
        1 => StoreFaults {
            down: true,
            ..StoreFaults::default()
        },
        2 => StoreFaults {
            cut: some,
            ..StoreFaults::default()
        },
        3 => StoreFaults {
            unanswered: some,
            ..StoreFaults::default()
        },
        4 => StoreFaults {
            lose_every: rng.random_range(2..5),
            late: Duration::from_millis(rng.random_range(0..1_500)),
            ..StoreFaults::default()
        },
        5 => StoreFaults {
            silent_watches: "test/group/".to_owned(),
            ..StoreFaults::default()
        },
        _ => StoreFaults {
            delay: Duration::from_millis(rng.random_range(50..700)),
            ..StoreFaults::default()
        },
    };
    world.store.set_faults(faults);
    sleep_ms(time_ms).await;
    world.store.set_faults(StoreFaults::default());
}
