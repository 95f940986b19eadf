//! Waves over pools of one VM to three, whose room is taken by the VMs of other pools for random
//! times. Short jobs come all the time; none may wait beside an idle runner for longer than the
//! platform allows, and the wave must be completed.

use std::collections::BTreeMap;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::JobPhase;
use rand::{
    Rng,
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    check_invariants,
    run_seeds, //
};
use crate::world::{
    TestWorld,
    job,
    sleep_ms, //
};

/// Longest time for which a job may wait while a runner that runs nothing has room for it, in
/// milliseconds; the platform's limit.
const IDLE_LIMIT_MS: u64 = 3_000;

/// Time from the start of a runner until it counts, in milliseconds: by then it is listed and has
/// responded.
const LISTED_MS: u64 = 1_500;

/// Time between two checks, in milliseconds.
const CHECK_MS: u64 = 100;

/// VMs of other pools in the wave, and the longest time that one of them is down, in milliseconds.
const OTHER_VMS: usize = 6;
const MAX_DOWN_MS: u64 = 7_000;

/// Time within which the wave must be completed, in milliseconds.
const COMPLETION_LIMIT_MS: u64 = 90_000;

#[test]
fn waves_over_small_pools_leave_no_job_beside_an_idle_vm() -> Result<()> {
    run_seeds(history)
}

async fn history(seed: u64) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let vms = rng.random_range(1..4);
    let world = TestWorld::start(2, vms).await?;
    sleep_ms(3_000).await;
    let own = (0..vms).map(|vm| format!("vm-{vm}"));
    let others: Vec<String> = (0..OTHER_VMS).map(|vm| format!("other-{vm}")).collect();
    let all: Vec<String> = own.chain(others.iter().cloned()).collect();
    let limit = rng.random_range(1..3);
    let order = format!("{limit}:{}", all.join(","));
    world.store.put("op/wave/1", Some(order.as_bytes()), 0);
    let mut others = others.into_iter();
    let mut down: Option<(String, u64)> = None;
    let mut waiting: Option<String> = None;
    let mut jobs = OpenJobs::default();
    for now in (0..COMPLETION_LIMIT_MS).step_by(CHECK_MS as usize) {
        if world.store.get("status/wave/1").as_deref() == Some(b"completed") {
            return check_invariants(&world);
        }
        if let Some((vm, _)) = down.take_if(|(_, until)| *until <= now) {
            change_record(&world, |record| {
                remove(&mut record["down"], &vm);
                push(&mut record["done"], &vm);
            })?;
        }
        let is_due = down.is_none() && rng.random_bool(0.3);
        let next = || waiting.take().or_else(|| others.next());
        if let Some(vm) = is_due.then(next).flatten() {
            let until = now + rng.random_range(500..MAX_DOWN_MS);
            let taken = change_record(&world, |record| {
                let most = record["down"].as_object().map_or(0, |down| down.len());
                if most < limit {
                    record["down"][&vm] = "".into();
                    push(&mut record["begun"], &vm);
                }
            })?;
            if taken {
                down = Some((vm, until));
            } else {
                waiting = Some(vm);
            }
        }
        jobs.submit_some(&world, &mut rng, now).await?;
        sleep_ms(CHECK_MS).await;
        world.revive();
        jobs.check_idle(&world, now).await?;
    }
    eyre::bail!("the wave is not completed")
}

/// Jobs that were submitted and are not completed.
#[derive(Default)]
struct OpenJobs {
    submitted: u64,
    open: Vec<String>,
    /// Since when each runner has been up, and since when it has run nothing while a job waits.
    runners: BTreeMap<String, (u64, Option<u64>)>,
}

impl OpenJobs {
    async fn submit_some(&mut self, world: &TestWorld, rng: &mut StdRng, now: u64) -> Result<()> {
        if !now.is_multiple_of(500) || rng.random_bool(0.3) {
            return Ok(());
        }
        self.submitted += 1;
        let id = format!("s{}", self.submitted);
        let work = format!("work {}", rng.random_range(50..1_200));
        world.submit(&id, job(&work, &[1])).await?;
        self.open.push(id);
        Ok(())
    }

    /// Fails if a job has waited beside an idle runner for too long.
    async fn check_idle(&mut self, world: &TestWorld, now: u64) -> Result<()> {
        let mut waiting = Vec::new();
        let mut open = Vec::new();
        for id in std::mem::take(&mut self.open) {
            let phase = world.phase(&id).await;
            if phase == Some(JobPhase::Queued) {
                waiting.push(id.clone());
            }
            if phase != Some(JobPhase::Completed) {
                open.push(id);
            }
        }
        self.open = open;
        let tasks = world.fleet.tasks();
        self.runners
            .retain(|name, _| tasks.iter().any(|(other, _)| other == name));
        for (name, running) in tasks {
            let (up_since, idle_since) = self.runners.entry(name.clone()).or_insert((now, None));
            let is_idle = running.is_empty() && !waiting.is_empty();
            if !is_idle || *up_since + LISTED_MS > now {
                *idle_since = None;
                continue;
            }
            let idle_ms = now - *idle_since.get_or_insert(now);
            ensure!(
                idle_ms <= IDLE_LIMIT_MS,
                "{name} runs nothing for {idle_ms} ms at {now} ms, and {waiting:?} wait"
            );
        }
        Ok(())
    }
}

/// Changes the wave's record as the owner of another pool does; returns whether there is one.
fn change_record(world: &TestWorld, change: impl FnOnce(&mut serde_json::Value)) -> Result<bool> {
    let Some(stored) = world.store.get("test/wave/1") else {
        let mut record = serde_json::json!({"down": {}, "begun": [], "done": []});
        change(&mut record);
        let record = serde_json::to_vec(&record)?;
        world.store.put("test/wave/1", Some(&record), 0);
        return Ok(true);
    };
    let mut record: serde_json::Value = serde_json::from_slice(&stored)?;
    let before = record.clone();
    change(&mut record);
    world
        .store
        .put("test/wave/1", Some(&serde_json::to_vec(&record)?), 0);
    Ok(before != record)
}

fn remove(object: &mut serde_json::Value, name: &str) {
    if let Some(object) = object.as_object_mut() {
        object.remove(name);
    }
}

fn push(list: &mut serde_json::Value, name: &str) {
    if let Some(list) = list.as_array_mut() {
        list.push(name.into());
    }
}
