//! A team's limit: what it has running never passes it, whoever owns the pool, and others
//! go on beside it.
//!
//! Seen: a team had up to 42 starts beyond its limit in a day of a grown fleet.
//! Cause: nothing read the limits.
//! What proved it: the same cases on the code before, where all of a team's tasks run at once.

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

/// Limit of the team, in cores; its tasks take one each.
const LIMIT: usize = 6;

/// Tasks beyond the limit that the users allow: a tenth, and one more.
const BEYOND: usize = LIMIT / 10 + 1;

/// Puts a configuration in force by which each team may have so many cores running.
fn limit_choirs(world: &TestWorld, version: u64, cores: usize) {
    let text = format!("{version}{LIMITED}{cores}");
    world.store.put("op/policy", Some(text.as_bytes()), 0);
}

/// Hands a job of a team in.
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

async fn start(nodes: usize) -> Result<TestWorld> {
    let world = TestWorld::start(nodes, 4).await?;
    limit_choirs(&world, 2, LIMIT);
    sleep_ms(500).await;
    Ok(world)
}

/// Hands in more than the team may have running, and some of no team beside it.
async fn hand_in(world: &TestWorld) -> Result<Vec<String>> {
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

/// Follows the jobs to their end; answers with the most that the team had running.
async fn follow(world: &TestWorld, ids: &[String], most: usize) -> Result<usize> {
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
    let ids = hand_in(&world).await?;
    let seen = follow(&world, &ids, LIMIT + BEYOND).await?;
    ensure!(seen == LIMIT, "the limit is used: {seen}");
    Ok(())
}

async fn owners_in_turn() -> Result<()> {
    let mut world = start(3).await?;
    let ids = hand_in(&world).await?;
    for _ in 0..3 {
        for _ in 0..100 {
            let now = running(&world);
            ensure!(now <= LIMIT + BEYOND, "{now} tasks of the team run");
            sleep_ms(10).await;
        }
        let owner = world.owner();
        if let Some(node) = world.nodes.get(&owner) {
            node.kill();
        }
        world.start_node(&owner)?;
    }
    follow(&world, &ids, LIMIT + BEYOND).await?;
    Ok(())
}

async fn loses_answers() -> Result<()> {
    let world = start(1).await?;
    world.store.set_faults(StoreFaults {
        lose_every: 4,
        late: Duration::from_millis(700),
        ..StoreFaults::default()
    });
    let ids = hand_in(&world).await?;
    follow(&world, &ids, LIMIT + BEYOND).await?;
    Ok(())
}

async fn lowers() -> Result<()> {
    let world = start(1).await?;
    let ids = hand_in(&world).await?;
    sleep_ms(600).await;
    limit_choirs(&world, 3, 2);
    sleep_ms(1_500).await;
    let seen = follow(&world, &ids, 3).await?;
    ensure!(seen == 2, "the lower limit is used: {seen}");
    Ok(())
}

async fn raises() -> Result<()> {
    let world = start(1).await?;
    let ids = hand_in(&world).await?;
    sleep_ms(600).await;
    limit_choirs(&world, 3, 12);
    let seen = follow(&world, &ids, 14).await?;
    ensure!(seen == 12, "the higher limit is used: {seen}");
    Ok(())
}

/// A new owner finds jobs of so many teams that one write of the store does not take the
/// changes of all their parts.
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
