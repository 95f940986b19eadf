//! Admission of jobs by the reports of pools' owners.
//!
//! The failure: a pool accepted with 200 what it could not run in time, and the accepted work
//! delayed the ordinary work of the seconds after. A refusal brings failures of its own: a job
//! that is refused although it runs, and refusals by the report of an owner that is not there.
//!
//! Reports and decisions are the fakes of `hoisthitch-tests`: a pool with some waiting jobs is under
//! pressure, and refuses short jobs of callers that wait less than [`PATIENT_MS`].

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    JobPhase,
    RefusalReason, //
};
use hoisthitch_scheduler::{
    CallScope,
    CallerTeam,
    IntakeRules,
    SubmitAnswer,
    retry_after_s, //
};
use hoisthitch_tests::world::{
    PATIENT_MS,
    StoreFaults,
    refuse_short,
    report_waiting, //
};
use serde_json::{
    Value,
    json, //
};

use super::{
    check_invariants,
    world::{
        TestNode,
        TestWorld,
        codec::queue,
        job,
        lasting,
        play,
        sleep_ms, //
    }, //
};

/// Time of a caller that is refused under pressure, in milliseconds.
const SHORT_MS: u64 = 1_500;

/// Time within which a report is used, in milliseconds.
const REPORT_VALID_MS: u64 = 2_500;

/// Longest time from a report until a node has received it, in milliseconds.
const DELIVERY_MS: u64 = 300;

/// Key of the pool's report.
const REPORT_KEY: &str = "test/group/intake/halls";

cases! {
    job_is_refused_under_pressure_and_admitted_after_it => refuses();
    no_report_is_written_where_the_term_is_off => term_off();
    accepted_job_is_never_refused => repeats();
    repeat_of_a_job_that_is_being_stored_is_not_refused => repeats_in_flight();
    repeat_that_can_t_wait_for_the_first_write_is_unknown => repeats_in_haste();
    id_of_another_team_is_foreign_under_pressure => foreign();
    report_of_a_killed_owner_expires => loses_owner(Loss::Killed);
    report_of_a_frozen_owner_expires => loses_owner(Loss::Frozen);
    report_of_an_owner_without_the_store_expires => loses_owner(Loss::Cut);
    report_that_is_not_followed_any_more_expires => unfollowed();
    report_of_an_earlier_owner_is_dropped => earlier_owner();
    deleted_and_unreadable_reports_admit => deleted();
    node_that_starts_ignores_an_old_report => restarts_all();
    node_that_starts_under_pressure_refuses => restarts_one();
    node_whose_clock_is_off_admits => clock_off();
    refusal_that_can_t_be_checked_is_unknown => unchecked(Check::Down);
    refusal_whose_check_gets_no_answer_is_unknown => unchecked(Check::Unanswered);
    report_counts_the_vms_that_are_on_their_way => coming();
    next_owner_takes_the_report_back => taken_back();
    wait_is_compared_with_its_estimate => estimates();
    reports_change_no_owner => keeps_owner();
    time_to_return_is_within_the_caller_s_time => retry_after();
}

/// Starts nodes and one runner of eight cores, with admission control and the fakes.
async fn start(nodes: usize) -> Result<TestWorld> {
    let mut world = TestWorld::start(0, 1).await?;
    world.terms.admission_control = true;
    world.intake_rules = IntakeRules {
        report: report_waiting,
        decide: refuse_short,
    };
    for number in 0..nodes {
        world.start_node(&format!("node-{number}"))?;
    }
    sleep_ms(2_000).await;
    Ok(world)
}

/// Starts nodes and puts the pool under pressure until [`relieve`].
async fn start_pressed(nodes: usize) -> Result<TestWorld> {
    let world = start(nodes).await?;
    press(&world).await?;
    Ok(world)
}

async fn press(world: &TestWorld) -> Result<()> {
    for number in 0..6 {
        let spec = job("work 120000", &[8]);
        world.submit(&format!("p{number}"), spec).await?;
    }
    sleep_ms(1_500).await;
    for node in world.nodes.values() {
        let answer = short(node, "probe").await;
        ensure!(is_refused(answer), "{answer:?}");
    }
    Ok(())
}

async fn relieve(world: &TestWorld) -> Result<()> {
    for number in 0..6 {
        world.cancel(&format!("p{number}")).await?;
    }
    sleep_ms(1_500).await;
    Ok(())
}

/// Submits a job of a caller that is refused under pressure.
async fn short(node: &TestNode, id: &str) -> SubmitAnswer {
    node.submit(&queue(), id, job("work 100", &[1]), SHORT_MS)
        .await
}

fn is_refused(answer: SubmitAnswer) -> bool {
    matches!(answer, SubmitAnswer::Overloaded(_))
}

fn report(world: &TestWorld) -> Result<Value> {
    let record = world.store.get(REPORT_KEY).ok_or_eyre("no report")?;
    Ok(serde_json::from_slice(&record)?)
}

fn number(record: &Value, field: &str) -> u64 {
    record[field].as_u64().unwrap_or_default()
}

fn put_report(world: &TestWorld, epoch: u64, made_ms: u64, loads: &Value) {
    let report = json!({ "capacity": 1_000, "task_times": {}, "loads": loads });
    let record = json!({ "epoch": epoch, "made_ms": made_ms, "report": report });
    let bytes = record.to_string().into_bytes();
    world.store.put(REPORT_KEY, Some(&bytes), 0);
}

/// Loads of a pool under pressure.
fn pressed_loads() -> Value {
    json!({ "0": { "": { "work": 9_000, "arriving": 0, "weight": 1.0, "allowed": null } } })
}

async fn refuses() -> Result<()> {
    let world = start_pressed(3).await?;
    for node in world.nodes.values() {
        let answer = short(node, "late").await;
        let SubmitAnswer::Overloaded(refusal) = answer else {
            eyre::bail!("{answer:?}");
        };
        ensure!(refusal.reason == RefusalReason::PoolFull && refusal.retry_after_ms == 1_200);
        ensure!(
            node.shared
                .metrics
                .refusals
                .with_label_values(&["pool_full"])
                .get()
                > 0
        );
    }
    ensure!(
        world.phase("late").await.is_none(),
        "a refused job was kept"
    );
    world.submit("long", lasting(1, 0)).await?;
    world.cancel("p5").await?;
    ensure!(world.phase("p0").await == Some(JobPhase::Running));
    world.wait_phase("p5", JobPhase::Cancelled, 2_000).await?;
    relieve(&world).await?;
    ensure!(report(&world)?["report"]["loads"] == json!({}));
    let revision = world.store.get(REPORT_KEY);
    for node in world.nodes.values() {
        let answer = short(node, "late").await;
        ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    }
    world.wait_phase("late", JobPhase::Completed, 5_000).await?;
    sleep_ms(3_000).await;
    ensure!(
        world.store.get(REPORT_KEY) == revision,
        "written without pressure"
    );
    ensure!(world.fleet.starts("late.0.0.0") == 1);
    check_invariants(&world)
}

async fn term_off() -> Result<()> {
    let mut world = start(0).await?;
    world.terms.admission_control = false;
    world.start_node("node-0")?;
    world.start_node("node-1")?;
    sleep_ms(1_500).await;
    for number in 0..8 {
        let spec = job("work 3000", &[8]);
        world.submit(&format!("j{number}"), spec).await?;
    }
    put_report(&world, u64::MAX, world.fleet.unix_ms(), &pressed_loads());
    let before = world.store.get(REPORT_KEY);
    for step in 0..30 {
        sleep_ms(100).await;
        for (name, node) in &world.nodes {
            let answer = short(node, &format!("s{step}{name}").replace('-', "")).await;
            ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
        }
    }
    ensure!(
        world.store.get(REPORT_KEY) == before,
        "a report was written"
    );
    check_invariants(&world)
}

/// Repeats of accepted jobs, at all nodes, while the owner is killed and the next one is under
/// pressure as well.
async fn repeats() -> Result<()> {
    let mut world = start_pressed(3).await?;
    let owner = world.owner();
    world.nodes[&owner].kill();
    world.nodes.remove(&owner);
    for _ in 0..80 {
        sleep_ms(100).await;
        for node in world.nodes.values() {
            let answer = short(node, "p3").await;
            ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
        }
    }
    // A node without a memory of the job.
    world.start_node(&owner)?;
    sleep_ms(1_500).await;
    let node = &world.nodes[&owner];
    let answer = short(node, "unseen").await;
    ensure!(is_refused(answer), "{answer:?}");
    let answer = short(node, "p3").await;
    ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    check_invariants(&world)
}

/// A patient attempt is being written when its repeat comes, which would be refused.
async fn repeats_in_flight() -> Result<()> {
    let world = start_pressed(1).await?;
    let node = world.nodes.values().next().ok_or_eyre("no node")?;
    world.store.set_faults(StoreFaults {
        delay: Duration::from_millis(300),
        ..StoreFaults::default()
    });
    let queue = queue();
    let spec = job("work 100", &[1]);
    let first = node.submit(&queue, "j", spec, PATIENT_MS + 500);
    let repeat = async {
        for after_ms in [0, 50, 250] {
            sleep_ms(after_ms).await;
            let answer = short(node, "j").await;
            ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
        }
        let other = short(node, "other").await;
        ensure!(is_refused(other), "{other:?}");
        Ok(())
    };
    let (first, repeat) = tokio::join!(first, repeat);
    ensure!(first == SubmitAnswer::Accepted, "{first:?}");
    repeat?;
    world.store.set_faults(StoreFaults::default());
    check_invariants(&world)
}

/// The caller of the repeat has less time than the first attempt's write takes. It was told that
/// the job never runs, which the first attempt stored.
async fn repeats_in_haste() -> Result<()> {
    let world = start_pressed(1).await?;
    let node = world.nodes.values().next().ok_or_eyre("no node")?;
    world.store.set_faults(StoreFaults {
        delay: Duration::from_millis(800),
        ..StoreFaults::default()
    });
    let queue = queue();
    let spec = job("work 100", &[1]);
    let first = node.submit(&queue, "j", spec.clone(), PATIENT_MS + 500);
    let repeat = async {
        sleep_ms(50).await;
        node.submit(&queue, "j", spec.clone(), 300).await
    };
    let (first, repeat) = tokio::join!(first, repeat);
    ensure!(first == SubmitAnswer::Accepted, "{first:?}");
    ensure!(
        repeat != SubmitAnswer::Refused && !is_refused(repeat),
        "{repeat:?}"
    );
    world.store.set_faults(StoreFaults::default());
    check_invariants(&world)
}

async fn foreign() -> Result<()> {
    let world = start(2).await?;
    let (queue, own) = (queue(), CallerTeam(Some("choir1".into())));
    let own = CallScope::Caller {
        queue: &queue,
        team: &own,
    };
    let other = CallerTeam(Some("choir2".into()));
    let other = CallScope::Caller {
        queue: &queue,
        team: &other,
    };
    let spec = job("work 100", &[1]);
    let first = world.nodes["node-0"].submit_in(own, &queue, "j", spec.clone(), SHORT_MS);
    ensure!(first.await == SubmitAnswer::Accepted);
    press(&world).await?;
    for node in world.nodes.values() {
        let answer = node.submit_in(other, &queue, "j", spec.clone(), SHORT_MS);
        let answer = answer.await;
        ensure!(answer == SubmitAnswer::Foreign, "{answer:?}");
        let answer = node.submit_in(own, &queue, "j", spec.clone(), SHORT_MS);
        let answer = answer.await;
        ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    }
    check_invariants(&world)
}

/// What happens to the owner.
#[derive(Clone, Copy)]
enum Loss {
    Killed,
    Frozen,
    Cut,
}

/// The other nodes refuse by the last report only while it is recent, and then by that of the next
/// owner. What the owner before writes late does not count.
async fn loses_owner(loss: Loss) -> Result<()> {
    let world = start_pressed(3).await?;
    let owner = world.owner();
    let before = number(&report(&world)?, "epoch");
    match loss {
        Loss::Killed => world.nodes[&owner].kill(),
        Loss::Frozen => world.nodes[&owner].freeze(true),
        Loss::Cut => world.store.set_faults(StoreFaults {
            cut: BTreeSet::from([owner.clone()]),
            ..StoreFaults::default()
        }),
    }
    let others = || world.nodes.iter().filter(|(name, _)| **name != owner);
    for _ in 0..80 {
        sleep_ms(100).await;
        let age = world.fleet.unix_ms() - number(&report(&world)?, "made_ms");
        for (_, node) in others() {
            let answer = short(node, "probe").await;
            let is_recent = age <= REPORT_VALID_MS + DELIVERY_MS;
            ensure!(is_recent || !is_refused(answer), "refused at {age} ms");
            if answer == SubmitAnswer::Accepted {
                world.cancel("probe").await?;
                return next_owner(&world, &owner, before).await;
            }
        }
    }
    next_owner(&world, &owner, before).await
}

async fn next_owner(world: &TestWorld, owner: &str, before: u64) -> Result<()> {
    sleep_ms(8_000).await;
    let record = report(world)?;
    ensure!(world.owner() != owner && number(&record, "epoch") > before);
    world.nodes[owner].freeze(false);
    world.store.set_faults(StoreFaults::default());
    for step in 0..20 {
        sleep_ms(100).await;
        ensure!(number(&report(world)?, "epoch") > before);
        for (_, node) in world.nodes.iter().filter(|(name, _)| *name != owner) {
            let answer = short(node, &format!("n{step}")).await;
            ensure!(is_refused(answer), "{answer:?}");
        }
    }
    check_invariants(world)
}

async fn unfollowed() -> Result<()> {
    let world = start_pressed(2).await?;
    world.store.set_faults(StoreFaults {
        silent_watches: "test/group/".to_owned(),
        ..StoreFaults::default()
    });
    sleep_ms(REPORT_VALID_MS + DELIVERY_MS + 200).await;
    for (name, node) in &world.nodes {
        let answer = short(node, &name.replace('-', "")).await;
        ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    }
    world.store.set_faults(StoreFaults::default());
    check_invariants(&world)
}

async fn earlier_owner() -> Result<()> {
    let world = start_pressed(2).await?;
    relieve(&world).await?;
    let epoch = number(&report(&world)?, "epoch");
    let now = world.fleet.unix_ms();
    put_report(&world, epoch - 1, now, &pressed_loads());
    sleep_ms(DELIVERY_MS).await;
    let node = &world.nodes["node-0"];
    let answer = short(node, "j0").await;
    ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    put_report(&world, epoch, now, &pressed_loads());
    sleep_ms(DELIVERY_MS).await;
    let answer = short(node, "j1").await;
    ensure!(is_refused(answer), "{answer:?}");
    check_invariants(&world)
}

async fn deleted() -> Result<()> {
    let world = start(1).await?;
    let node = &world.nodes["node-0"];
    for (number, bytes) in [None, Some(&b"no json"[..])].into_iter().enumerate() {
        put_report(&world, 1 << 40, world.fleet.unix_ms(), &pressed_loads());
        sleep_ms(DELIVERY_MS).await;
        ensure!(is_refused(short(node, "probe").await));
        world.store.put(REPORT_KEY, bytes, 0);
        sleep_ms(DELIVERY_MS).await;
        let answer = short(node, &format!("j{number}")).await;
        ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    }
    // The key is gone from the complete list that a node reads after it lost the store.
    put_report(&world, 1 << 40, world.fleet.unix_ms(), &pressed_loads());
    sleep_ms(DELIVERY_MS).await;
    world.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    world.store.put(REPORT_KEY, None, 0);
    sleep_ms(300).await;
    world.store.set_faults(StoreFaults::default());
    sleep_ms(1_500).await;
    let answer = short(node, "j9").await;
    ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    check_invariants(&world)
}

/// All nodes end under pressure, and a new one finds the report of the owner before.
async fn restarts_all() -> Result<()> {
    let mut world = start_pressed(2).await?;
    for node in world.nodes.values() {
        node.kill();
    }
    // More than the time for which a report counts, and the difference of clocks.
    sleep_ms(REPORT_VALID_MS + 1_500).await;
    world.nodes.clear();
    world.start_node("node-9")?;
    sleep_ms(DELIVERY_MS).await;
    let answer = short(&world.nodes["node-9"], "j").await;
    ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    check_invariants(&world)
}

async fn restarts_one() -> Result<()> {
    let mut world = start_pressed(3).await?;
    let owner = world.owner();
    let mut names = world.nodes.keys();
    let name = names.rfind(|name| **name != owner);
    let name = name.ok_or_eyre("no other node")?.clone();
    world.nodes[&name].kill();
    world.ahead.insert(name.clone(), 400);
    world.start_node(&name)?;
    sleep_ms(1_200).await;
    let answer = short(&world.nodes[&name], "j").await;
    ensure!(is_refused(answer), "{answer:?}");
    check_invariants(&world)
}

/// The age of a report can't be told by a clock that is seconds off: the node admits.
async fn clock_off() -> Result<()> {
    for ahead in [-3_000, 5_000] {
        let mut world = start_pressed(2).await?;
        world.ahead.insert("node-8".to_owned(), ahead);
        world.start_node("node-8")?;
        sleep_ms(1_500).await;
        let answer = short(&world.nodes["node-8"], "j").await;
        ensure!(answer == SubmitAnswer::Accepted, "{ahead}: {answer:?}");
        check_invariants(&world)?;
    }
    Ok(())
}

/// What happens to the read before a refusal.
#[derive(Clone, Copy)]
enum Check {
    Down,
    Unanswered,
}

async fn unchecked(check: Check) -> Result<()> {
    let world = start_pressed(2).await?;
    let faults = match check {
        Check::Down => StoreFaults {
            down: true,
            ..StoreFaults::default()
        },
        Check::Unanswered => StoreFaults {
            unanswered: world.nodes.keys().cloned().collect(),
            ..StoreFaults::default()
        },
    };
    world.store.set_faults(faults);
    for node in world.nodes.values() {
        let answer = short(node, "j").await;
        ensure!(answer == SubmitAnswer::Unknown, "{answer:?}");
    }
    world.store.set_faults(StoreFaults::default());
    check_invariants(&world)
}

/// Another pool has sent three VMs here, one of which has arrived, and one elsewhere.
async fn coming() -> Result<()> {
    let world = start_pressed(2).await?;
    let sent = json!({ "vm-0": "halls", "vm-91": "halls", "vm-92": "halls", "vm-93": "else" });
    let balance = json!({ "want": 0, "keep": 0, "vms": [], "sent": sent, "spare": false });
    let record = json!({ "epoch": 1, "sequence": 1, "share": balance });
    let bytes = record.to_string().into_bytes();
    world.store.put("test/share/other", Some(&bytes), 0);
    sleep_ms(3_000).await;
    let record = report(&world)?;
    ensure!(record["report"]["capacity"] == json!(1_002), "{record}");
    check_invariants(&world)
}

/// The pressure ends while there is no owner.
async fn taken_back() -> Result<()> {
    let mut world = start_pressed(2).await?;
    for node in world.nodes.values() {
        node.kill();
    }
    world.nodes.clear();
    for number in 0..6 {
        let key = format!("test/in/halls/cancel-p{number}");
        world.store.put(&key, Some(b""), 0);
        world.fleet.record_cancel(&format!("p{number}"));
    }
    world.start_node("node-9")?;
    sleep_ms(8_000).await;
    ensure!(report(&world)?["report"]["loads"] == json!({}));
    Ok(())
}

async fn estimates() -> Result<()> {
    let world = start_pressed(1).await?;
    let node = &world.nodes["node-0"];
    let spec = job("work 100", &[1]);
    let answer = node.submit(&queue(), "j", spec, PATIENT_MS).await;
    ensure!(answer == SubmitAnswer::Accepted, "{answer:?}");
    let metrics = &node.shared.metrics;
    ensure!(metrics.expected_wait.get_sample_count() == 1);
    let errors = metrics.expected_wait_error.get_sample_count();
    relieve(&world).await?;
    world.wait_phase("j", JobPhase::Completed, 5_000).await?;
    ensure!(metrics.expected_wait_error.get_sample_count() == errors + 1);
    let worst = metrics.expected_wait_error.get_sample_sum();
    ensure!(worst > 0.0 && worst < 4.0, "{worst}");
    check_invariants(&world)
}

/// A report counts as no change of the group: two nodes keep their pool and their membership.
async fn keeps_owner() -> Result<()> {
    let world = start_pressed(3).await?;
    let owner = world.owner();
    let visited = |world: &TestWorld| -> u64 {
        let nodes = world.nodes.values();
        nodes
            .map(|node| node.shared.metrics.members_visited.get())
            .sum()
    };
    sleep_ms(4_000).await;
    let before = visited(&world);
    let record = report(&world)?;
    sleep_ms(10_000).await;
    ensure!(report(&world)? != record, "the report was not refreshed");
    // The check for a handover, of the owner alone, visits the members ten times a second.
    let added = visited(&world) - before;
    ensure!(added <= 10 * 10 * 6, "{added} members visited");
    ensure!(world.owner() == owner);
    check_invariants(&world)
}

async fn retry_after() -> Result<()> {
    for (retry_after_ms, remaining, wanted) in [
        (0, 3_000, 1),
        (1, 3_000, 1),
        (1_000, 3_000, 1),
        (1_001, 3_000, 2),
        (9_000, 3_000, 3),
        (9_000, 2_999, 2),
        (9_000, 1_000, 1),
        (9_000, 999, 1),
        (
            u64::MAX,
            u64::MAX,
            u64::MAX.div_ceil(1_000).min(u64::MAX / 1_000),
        ),
    ] {
        let wait = retry_after_s(retry_after_ms, remaining);
        ensure!(wait == wanted, "{retry_after_ms} {remaining}: {wait}");
    }
    Ok(())
}
