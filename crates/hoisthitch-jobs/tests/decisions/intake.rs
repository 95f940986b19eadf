//! Tests of the admission of new jobs to a pool under pressure.
//!
//! They guard against a pool that accepts everything: with one team at five times its usual, 544
//! of 2,140 jobs were accepted and shown too late for any caller, and the ordinary work after
//! the burst had to wait for them. They also guard against refusals of what could be in time: of
//! large jobs, of small teams, and of a pool whose VMs are on their way.

use std::collections::BTreeMap;

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    InheritedRuns,
    IntakeDecision,
    IntakeRefusal,
    IntakeReport,
    IntakeRequest,
    JobSchedule,
    JobSpec,
    NewJob,
    PoolState,
    QueuePolicy,
    RefusalReason,
    ResourceAmounts,
    StepSpec,
    TeamLoad, //
};
use hoisthitch_tests::cases;
use quickcheck::quickcheck;

use crate::{
    decide,
    new_job,
    pool_of,
    start_all,
    step, //
};

cases! {
    without_pressure_everything_is_admitted => calm();
    pressure_is_told_after_the_time_in_which_vms_arrive => pressed();
    limit_counts_as_far_as_the_pools_part_of_it_can_grow => reachable_limit();
    pressure_ends_only_well_below_where_it_begins => hysteresis();
    long_running_timed_and_best_effort_jobs_are_admitted => exempt();
    old_report_admits => old_report();
    flood_of_one_team_is_refused_for_its_own_excess => one_floods();
    pool_is_full_when_all_teams_are_over_their_shares => all_flood();
    limit_of_a_team_counts_as_room_that_is_not_there => own_limit();
    work_of_lower_priority_does_not_count => priorities();
    work_goes_on_while_the_report_ages => ages();
    useless_and_long_running_work_is_not_counted => counted();
    vms_on_their_way_count => coming();
    large_and_small_jobs_are_admitted_alike => sizes();
    caller_that_returns_comes_before_newer_ones => returns();
    late_work_is_not_ahead_of_a_job_that_can_be_in_time => late_work();
    late_job_waits_for_what_arrives_too => arriving_work();
}

const POLICY: QueuePolicy = QueuePolicy {
    priority: 1,
    max_attempts: 3,
    stretch: 2.0,
    target_latency_ms: 600,
    advised: false,
};

/// Time after which a job of one step of a second is of no use: three times 0.6 s and two
/// seconds; the longest wait leaves a second for its task, and some time for orders.
const USEFUL_MS: u64 = 3 * (600 + 2 * 1_000);

fn spec_of(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: String::new(),
        steps,
        schedule: None,
    }
}

/// A report of a pool of 100 cores, with the loads of priority 1 in core-seconds by team.
fn report_of(loads: &[(&str, u64)]) -> IntakeReport {
    let loads = loads.iter().map(|(team, core_seconds)| {
        let load = TeamLoad {
            work: core_seconds * 1_000_000,
            late: 0,
            arriving: 0,
            weight: 1.0,
            allowed: None,
        };
        ((*team).to_owned(), load)
    });
    IntakeReport {
        capacity: 100_000,
        task_times: BTreeMap::from([("hold".to_owned(), 1_000)]),
        loads: BTreeMap::from([(1, loads.collect())]),
    }
}

/// Decides on a job of one step; none for an admission.
fn refusal(
    report: &IntakeReport,
    id: &str,
    team: &str,
    remaining_ms: u64,
) -> Option<IntakeRefusal> {
    refusal_of(report, &spec_of(vec![step(1)]), id, team, remaining_ms, 0)
}

fn refusal_of(
    report: &IntakeReport,
    spec: &JobSpec,
    id: &str,
    team: &str,
    remaining_ms: u64,
    age: u64,
) -> Option<IntakeRefusal> {
    let request = IntakeRequest {
        id,
        queue: "hold",
        policy: &POLICY,
        team,
        spec,
        remaining_ms,
    };
    match report.decide(&request, age) {
        IntakeDecision::Admit { .. } => None,
        IntakeDecision::Refuse(refusal) => Some(refusal),
    }
}

/// Adds so many jobs of eight tasks of one core and a second.
fn add_jobs(state: &mut PoolState, team: &str, count: u32, accepted_at: u64, now: u64) {
    for number in 0..count {
        let mut job = NewJob {
            accepted_at,
            ..new_job(&format!("{team}-{accepted_at}-{number}"), vec![step(8)])
        };
        job.submission.team = team.to_owned();
        state.add_job(job, now);
    }
    state.begin_due_rounds(now, 0);
}

/// A pool of 32 cores with 0.75 s of work tells no loads.
async fn calm() -> Result<()> {
    let mut state = pool_of(4, 8);
    add_jobs(&mut state, "", 3, 1_000, 1_000);
    for now in [1_000, 3_000, 5_000] {
        let report = state.intake_report(0, now);
        ensure!(
            report.capacity == 32_000 && report.loads.is_empty(),
            "{report:?}"
        );
    }
    ensure!(refusal(&IntakeReport::default(), "j", "", 3_000).is_none());
    Ok(())
}

/// Ten seconds of work: told two seconds later, with the work and the rate of its arrival.
async fn pressed() -> Result<()> {
    let mut state = pool_of(4, 8);
    add_jobs(&mut state, "a", 40, 1_000, 1_000);
    for now in [1_000, 2_900] {
        let report = state.intake_report(0, now);
        ensure!(report.loads.is_empty(), "{now}: {report:?}");
    }
    add_jobs(&mut state, "a", 2, 3_000, 3_000);
    let report = state.intake_report(0, 3_000);
    let load = report.loads.get(&0).and_then(|teams| teams.get("a"));
    let load = load.ok_or_eyre("no load")?;
    ensure!(load.work == 42 * 8 * 1_000_000, "{load:?}");
    ensure!(load.arriving == 16_000, "{load:?}");
    Ok(())
}

/// A team's part of its limit had just been released and was zero, and its jobs were refused as
/// beyond a limit that was hardly used.
async fn reachable_limit() -> Result<()> {
    let mut state = pool_of(4, 8);
    state.set_quota_allocation("a", ResourceAmounts::default());
    let reachable = ResourceAmounts {
        cpu_milli: 24_000,
        memory_mb: u64::MAX,
        gpus: u64::MAX,
    };
    state.set_reachable_quota("a", reachable);
    add_jobs(&mut state, "a", 40, 1_000, 1_000);
    state.intake_report(0, 1_000);
    decide(&mut state, 1_000);
    let report = state.intake_report(0, 3_000);
    let load = report.loads.get(&0).and_then(|teams| teams.get("a"));
    let load = load.ok_or_eyre("no load")?;
    ensure!(
        load.allowed == Some(24_000),
        "{load:?}: the part of the limit has yet to follow the need"
    );
    Ok(())
}

/// Work for 1.6 s begins the pressure; it goes on at 1.0 s and ends at 0.5 s.
async fn hysteresis() -> Result<()> {
    let mut state = pool_of(4, 8);
    add_jobs(&mut state, "", 7, 3_000, 3_000);
    state.intake_report(0, 3_000);
    ensure!(!state.intake_report(0, 5_000).loads.is_empty());
    for id in 0..3 {
        state.cancel(&format!("-3000-{id}"), 5_000);
    }
    ensure!(
        !state.intake_report(0, 5_100).loads.is_empty(),
        "ended at 1.0 s"
    );
    for id in 3..5 {
        state.cancel(&format!("-3000-{id}"), 5_100);
    }
    ensure!(
        state.intake_report(0, 5_200).loads.is_empty(),
        "goes on at 0.5 s"
    );
    add_jobs(&mut state, "", 2, 5_300, 5_300);
    ensure!(
        state.intake_report(0, 7_400).loads.is_empty(),
        "begins at 1.0 s"
    );
    Ok(())
}

async fn exempt() -> Result<()> {
    let report = report_of(&[("", 100_000)]);
    ensure!(refusal(&report, "j", "", 3_000).is_some());
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    let best_effort = StepSpec {
        best_effort: true,
        ..step(1)
    };
    let mut timed = spec_of(vec![step(1)]);
    timed.schedule = Some(JobSchedule::default());
    for spec in [
        spec_of(vec![long_running]),
        spec_of(vec![best_effort]),
        timed,
    ] {
        let refused = refusal_of(&report, &spec, "j", "", 3_000, 0);
        ensure!(refused.is_none(), "{spec:?} {refused:?}");
    }
    Ok(())
}

async fn old_report() -> Result<()> {
    let report = report_of(&[("", 100_000)]);
    let spec = spec_of(vec![step(1)]);
    ensure!(refusal_of(&report, &spec, "j", "", 3_000, 500).is_some());
    ensure!(refusal_of(&report, &spec, "j", "", 3_000, 10_000).is_none());
    Ok(())
}

/// One team has 30 s of the pool's work and three others have little: only the one is refused.
async fn one_floods() -> Result<()> {
    let report = report_of(&[("flood", 3_000), ("a", 20), ("b", 20), ("c", 20)]);
    let refused = refusal(&report, "j", "flood", 3_000).ok_or_eyre("the flood is admitted")?;
    ensure!(refused.reason == RefusalReason::TeamExcess, "{refused:?}");
    for team in ["a", "b", "c", "new"] {
        ensure!(
            refusal(&report, "j", team, 3_000).is_none(),
            "{team} is refused"
        );
    }
    Ok(())
}

/// Where every team has more than its share, and where there is one team, the pool is full.
async fn all_flood() -> Result<()> {
    for loads in [&[("a", 2_000), ("b", 2_000)][..], &[("a", 2_000)][..]] {
        let refused = refusal(&report_of(loads), "j", "a", 3_000).ok_or_eyre("admitted")?;
        ensure!(refused.reason == RefusalReason::PoolFull, "{refused:?}");
    }
    Ok(())
}

/// The pool has room, and the team's limit leaves it a core for 20 s of work.
async fn own_limit() -> Result<()> {
    let mut report = report_of(&[("a", 20), ("b", 20)]);
    ensure!(refusal(&report, "j", "a", 3_000).is_none());
    let teams = report.loads.get_mut(&1).ok_or_eyre("no loads")?;
    teams.get_mut("a").ok_or_eyre("no load")?.allowed = Some(1_000);
    let refused = refusal(&report, "j", "a", 3_000).ok_or_eyre("admitted")?;
    ensure!(refused.reason == RefusalReason::TeamExcess, "{refused:?}");
    ensure!(refused.wait_ms == 20_000, "{refused:?}");
    ensure!(refusal(&report, "j", "b", 3_000).is_none());
    Ok(())
}

async fn priorities() -> Result<()> {
    let mut report = report_of(&[("", 100_000)]);
    let teams = report.loads.remove(&1).ok_or_eyre("no loads")?;
    report.loads.insert(2, teams.clone());
    ensure!(
        refusal(&report, "j", "", 3_000).is_none(),
        "lower work counts"
    );
    report.loads.insert(0, teams);
    ensure!(
        refusal(&report, "j", "", 3_000).is_some(),
        "higher work does not count"
    );
    Ok(())
}

/// Work for 9 s, of which 2 s are done after 2 s; unless as much arrives.
async fn ages() -> Result<()> {
    let mut report = report_of(&[("", 900)]);
    let spec = spec_of(vec![step(1)]);
    let refused_at =
        |report: &IntakeReport, age| refusal_of(report, &spec, "j", "", 3_000, age).is_some();
    ensure!(refused_at(&report, 0) && !refused_at(&report, 2_900));
    let teams = report.loads.get_mut(&1).ok_or_eyre("no loads")?;
    teams.get_mut("").ok_or_eyre("no load")?.arriving = 100_000;
    ensure!(refused_at(&report, 2_900), "arriving work does not count");
    Ok(())
}

/// Work that can't be of use any more is not counted. The capacity is without what long-running
/// tasks reserve.
async fn counted() -> Result<()> {
    let mut state = pool_of(4, 8);
    let serving = StepSpec {
        long_running: true,
        max_per_runner: 1,
        ..step(4)
    };
    state.add_job(new_job("serving", vec![serving]), 1_000);
    ensure!(start_all(&mut state, 1_000).len() == 4);
    add_jobs(&mut state, "old", 40, 1_000, 1_000);
    state.intake_report(0, 1_000);
    let now = 1_000 + USEFUL_MS;
    add_jobs(&mut state, "new", 40, now, now);
    let report = state.intake_report(0, now);
    ensure!(report.capacity == 28_000, "{report:?}");
    let teams = report.loads.get(&0).ok_or_eyre("no loads")?;
    ensure!(teams.keys().eq(["new"]), "{teams:?}");
    let useless = state.useless_work(now);
    ensure!(
        useless.tasks == 320 && useless.core_ms == 320_000,
        "{useless:?}"
    );
    Ok(())
}

/// A pool without VMs refuses what can't be in time once it is clear that none are coming, and
/// counts those that are.
async fn coming() -> Result<()> {
    let mut state = PoolState::new(InheritedRuns::default());
    add_jobs(&mut state, "", 10, 1_000, 1_000);
    ensure!(state.intake_report(0, 1_000).loads.is_empty());
    let late = state.intake_report(0, 3_000);
    ensure!(refusal(&late, "j", "", 3_000).is_some(), "{late:?}");
    let early = state.intake_report(1, 3_000);
    ensure!(early.capacity == 32_000, "{early:?}");
    ensure!(refusal(&early, "j", "", 3_000).is_none(), "{early:?}");
    Ok(())
}

/// A job of a hundred tasks in ten steps is admitted wherever one of a single task is.
async fn sizes() -> Result<()> {
    let after = |number: u32| StepSpec {
        after: number.checked_sub(1).into_iter().collect(),
        ..step(10)
    };
    let small = spec_of(vec![step(1)]);
    let wide = spec_of(vec![step(1_000)]);
    let long = spec_of((0..10).map(after).collect());
    for seconds in 0..200 {
        let report = report_of(&[("", seconds * 10)]);
        let admits = |spec| refusal_of(&report, spec, "j", "", 3_000, 0).is_none();
        ensure!(admits(&small) == admits(&wide), "{seconds}: a wide job");
        ensure!(admits(&long) || !admits(&small), "{seconds}: a long job");
    }
    Ok(())
}

/// Whatever the identifiers, a caller whose time is nearly over is admitted where any newer one
/// is.
async fn returns() -> Result<()> {
    for work in (500..1_000).step_by(10) {
        let report = report_of(&[("", work)]);
        let refused = |remaining| {
            let ids = (0..200).map(|number| format!("j{number}"));
            ids.filter(|id| refusal(&report, id, "", remaining).is_some())
                .count()
        };
        let (newer, returning) = (refused(3_000), refused(100));
        ensure!(
            returning == 0 || newer == 200,
            "{work}: {newer} and {returning}"
        );
    }
    Ok(())
}

/// A job that can be in time comes before late work, however much there is; one that can't waits
/// for all of it.
async fn late_work() -> Result<()> {
    let mut report = report_of(&[("", 100_000)]);
    let teams = report.loads.get_mut(&1).ok_or_eyre("no loads")?;
    let load = teams.get_mut("").ok_or_eyre("no load")?;
    load.late = load.work - 100_000_000;
    ensure!(
        refusal(&report, "j", "", 3_000).is_none(),
        "one second ahead"
    );
    let teams = report.loads.get_mut(&1).ok_or_eyre("no loads")?;
    let load = teams.get_mut("").ok_or_eyre("no load")?;
    load.late = load.work - 200_000_000;
    ensure!(
        refusal(&report, "j", "", 3_000).is_some(),
        "two seconds ahead"
    );
    Ok(())
}

/// Three seconds of work, which nothing follows, let a job end while that is of use. If as much
/// arrives as is done, they don't.
async fn arriving_work() -> Result<()> {
    let mut report = report_of(&[("", 300)]);
    ensure!(refusal(&report, "j", "", 3_000).is_none());
    let teams = report.loads.get_mut(&1).ok_or_eyre("no loads")?;
    teams.get_mut("").ok_or_eyre("no load")?.arriving = 100_000;
    ensure!(refusal(&report, "j", "", 3_000).is_some());
    Ok(())
}

quickcheck! {
    /// A job that is refused is refused as well with more work ahead, and more time of its caller.
    fn refusals_grow_with_the_work(works: Vec<u8>, more: u8, id: String, remaining: u16) -> bool {
        let loads = |extra: u64| {
            let teams = ["a", "b", "c", "d"];
            let loads: Vec<(&str, u64)> = teams
                .into_iter()
                .zip(works.iter().map(|work| u64::from(*work) * 20 + extra))
                .collect();
            report_of(&loads)
        };
        let remaining = u64::from(remaining);
        let before = refusal(&loads(0), &id, "a", remaining);
        let after = refusal(&loads(u64::from(more)), &id, "a", remaining);
        let with_less_time = refusal(&loads(0), &id, "a", remaining / 2);
        (before.is_none() || after.is_some()) && (before.is_some() || with_less_time.is_none())
    }

    /// Nodes decide alike, and nobody is asked to return after its time.
    fn equal_requests_get_equal_decisions(works: Vec<u8>, id: String, remaining: u16) -> bool {
        let teams = ["a", "b", "c", "d"];
        let loads: Vec<(&str, u64)> = teams
            .into_iter()
            .zip(works.iter().map(|work| u64::from(*work) * 20))
            .collect();
        let decide = || refusal(&report_of(&loads), &id, "a", u64::from(remaining));
        decide() == decide() && decide().is_none_or(|it| it.retry_after_ms <= u64::from(remaining))
    }

    /// What each team can use at most is enough for its work in time: nobody is refused.
    fn small_teams_are_admitted(works: Vec<u8>, flood: u16) -> bool {
        let names: Vec<String> = (0..works.len()).map(|number| format!("t{number}")).collect();
        let mut loads: Vec<(&str, u64)> = names
            .iter()
            .zip(&works)
            .map(|(name, work)| (name.as_str(), u64::from(*work) / 8))
            .take(10)
            .collect();
        loads.push(("flood", u64::from(flood)));
        let report = report_of(&loads);
        // Each of up to eleven teams has a share of nine cores at least.
        loads.iter().take(10).filter(|(team, _)| *team != "flood")
            .all(|(team, _)| refusal(&report, "j", team, 3_000).is_none())
    }
}
