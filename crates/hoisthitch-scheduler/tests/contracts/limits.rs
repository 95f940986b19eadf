//! A team's limit: its running tasks never exceed it, whoever owns the pool, and other teams'
//! tasks go on beside them.
//!
//! The failure: a team had up to 42 starts beyond its limit in a simulated day of a grown
//! fleet, as nothing read the limits. On the code before the fix, all of a team's tasks run at
//! once in these cases.

use std::time::Duration;

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    JobPhase,
    JobSpec, //
};
use hoisthitch_scheduler::{
    CallScope,
    CallerTeam,
    SubmitAnswer, //
};
use hoisthitch_tests::world::StoreFaults;

use crate::{
    check_invariants,
    world::{
        TestNode,
        TestWorld,
        codec::{
            CHOIRS,
            LIMITED,
            queue, //
        },
        job,
        play,
        sleep_ms, //
    }, //
};

cases! {
    team_keeps_to_its_limit => keeps();
    team_keeps_to_its_limit_under_owners_in_turn => owners_in_turn();
    team_keeps_to_its_limit_while_answers_are_lost => loses_answers();
    limit_that_is_lowered_is_kept_to => lowers();
    limit_that_is_raised_is_used => raises();
    many_teams_that_come_at_once_are_served => many_teams();
}

/// Limit of the team, in cores; each of its tasks requests one.
const LIMIT: usize = 6;

/// Tasks beyond the limit that the users allow: a tenth of it, and one more.
const TOLERANCE: usize = LIMIT / 10 + 1;

/// Writes a configuration that limits each team to `cores`.
fn limit_teams(world: &TestWorld, version: u64, cores: usize) {
    let text = format!("{version}{LIMITED}{cores}");
    world.store.put("op/policy", Some(text.as_bytes()), 0);
}

/// Submits a team's job.
async fn submit_for(world: &TestWorld, team: &str, id: &str, spec: JobSpec) -> Result<()> {
    let node = world.nodes.values().next();
    submit_by(node.ok_or_eyre("there is no node")?, team, id, spec).await
}

async fn submit_by(node: &TestNode, team: &str, id: &str, spec: JobSpec) -> Result<()> {
    let (queue, team) = (queue(), CallerTeam(Some(team.into())));
    let scope = CallScope::Caller {
        queue: &queue,
        team: &team,
    };
    let answer = node.submit_in(scope, &queue, id, spec, 3_000).await;
    ensure!(answer == SubmitAnswer::Accepted, "{id}: {answer:?}");
    Ok(())
}

/// Starts a simulated cluster with four runners and the limit in effect.
async fn start(nodes: usize) -> Result<TestWorld> {
    let world = TestWorld::start(nodes, 4).await?;
    limit_teams(&world, 2, LIMIT);
    sleep_ms(500).await;
    Ok(world)
}

/// Submits more of one team's tasks than its limit allows, and jobs without a team beside them.
async fn submit_jobs(world: &TestWorld) -> Result<Vec<String>> {
    let mut ids = Vec::new();
    for number in 0..6 {
        let id = format!("choir{number}");
        submit_for(world, "choir0", &id, job("work 900", &[5])).await?;
        ids.push(id);
        let id = format!("other{number}");
        world.submit(&id, job("work 300", &[2])).await?;
        ids.push(id);
    }
    Ok(ids)
}

fn running(world: &TestWorld) -> usize {
    let running = world.fleet.running();
    running
        .iter()
        .filter(|task| task.starts_with("choir"))
        .count()
}

/// Waits until the jobs are completed, and returns the most tasks that the team had running.
async fn wait_within(world: &TestWorld, ids: &[String], most: usize) -> Result<usize> {
    let mut seen = 0;
    for _ in 0..3_000 {
        let now = running(world);
        ensure!(
            now <= most,
            "{now} tasks of the team run, {most} are allowed"
        );
        seen = seen.max(now);
        sleep_ms(10).await;
        if world.fleet.done() >= 6 * 7 {
            break;
        }
    }
    for id in ids {
        world.wait_phase(id, JobPhase::Completed, 5_000).await?;
    }
    check_invariants(world)?;
    Ok(seen)
}

async fn keeps() -> Result<()> {
    let world = start(1).await?;
    let ids = submit_jobs(&world).await?;
    let seen = wait_within(&world, &ids, LIMIT + TOLERANCE).await?;
    ensure!(seen == LIMIT, "the limit is used: {seen}");
    Ok(())
}

async fn owners_in_turn() -> Result<()> {
    let mut world = start(3).await?;
    let ids = submit_jobs(&world).await?;
    for _ in 0..3 {
        for _ in 0..100 {
            let now = running(&world);
            ensure!(now <= LIMIT + TOLERANCE, "{now} tasks of the team run");
            sleep_ms(10).await;
        }
        let owner = world.owner();
        if let Some(node) = world.nodes.get(&owner) {
            node.kill();
        }
        world.start_node(&owner)?;
    }
    wait_within(&world, &ids, LIMIT + TOLERANCE).await?;
    Ok(())
}

async fn loses_answers() -> Result<()> {
    let world = start(1).await?;
    world.store.set_faults(StoreFaults {
        lose_every: 4,
        late: Duration::from_millis(700),
        ..StoreFaults::default()
    });
    let ids = submit_jobs(&world).await?;
    wait_within(&world, &ids, LIMIT + TOLERANCE).await?;
    Ok(())
}

async fn lowers() -> Result<()> {
    let world = start(1).await?;
    let ids = submit_jobs(&world).await?;
    sleep_ms(600).await;
    limit_teams(&world, 3, 2);
    sleep_ms(1_500).await;
    let seen = wait_within(&world, &ids, 3).await?;
    ensure!(seen == 2, "the lower limit is used: {seen}");
    Ok(())
}

async fn raises() -> Result<()> {
    let world = start(1).await?;
    let ids = submit_jobs(&world).await?;
    sleep_ms(600).await;
    limit_teams(&world, 3, 12);
    let seen = wait_within(&world, &ids, 14).await?;
    ensure!(seen == 12, "the higher limit is used: {seen}");
    Ok(())
}

/// A new owner finds jobs of so many teams that the changes of all their quota allocations do
/// not fit into one write to the store.
async fn many_teams() -> Result<()> {
    let world = start(2).await?;
    let owner = world.owner();
    world.nodes[&owner].kill();
    let (_, left) = world
        .nodes
        .iter()
        .find(|(name, _)| **name != owner)
        .ok_or_eyre("no node is left")?;
    for number in 0..CHOIRS {
        let team = format!("choir{number}");
        submit_by(left, &team, &format!("j{number}"), job("work 200", &[1])).await?;
    }
    for number in 0..CHOIRS {
        let id = format!("j{number}");
        world.wait_phase(&id, JobPhase::Completed, 5_000).await?;
    }
    check_invariants(&world)
}
