//! Tests of the spread over data halls of which one may be lost: tasks of a step, VMs of a pool,
//! and maintenance.
//!
//! They guard against a step that a lost hall takes below its disruption budget although there was
//! room elsewhere, against a spread that sets a hard constraint aside, and against a rush of tasks
//! when a hall returns.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    EndKind,
    HALL_LOSS_WAIT_MAX_MS,
    HallLossWait,
    HeartbeatReport,
    InheritedRuns,
    JobPhase,
    JobProgress,
    NewJob,
    PoolState,
    PoolTerms,
    ResourceAmounts,
    RunnerFacts,
    SpareEase,
    SpareVm,
    StartOrder,
    StepSpec,
    TaskPhase,
    TaskProgress,
    VmBalance,
    choose_vms,
    worked_hall, //
};
use hoisthitch_tests::cases;
use quickcheck::quickcheck;

use crate::{
    end_all,
    gang,
    new_job,
    running_on,
    start_all,
    step, //
};

cases! {
    step_is_spread_evenly_over_equal_halls => spreads(24, 3, &[8, 8, 8]);
    step_that_can_keep_its_budget_keeps_it => spreads(9, 3, &[3, 3, 3]);
    step_that_does_not_divide_differs_by_one => spreads(7, 3, &[3, 2, 2]);
    halls_are_not_told_apart_without_the_term => without_the_term();
    full_hall_leaves_the_rest_to_the_others => full_hall();
    uneven_step_is_reported_once => reports_once();
    cordoned_hall_does_not_count => cordoned_hall();
    lost_hall_gets_nothing_and_its_return_moves_nothing => lost_and_back();
    step_that_refills_goes_to_the_hall_with_fewest => refills();
    new_owner_counts_what_it_has_not_confirmed => counts_unconfirmed();
    label_goes_before_an_even_spread => label_first();
    anti_affinity_goes_before_an_even_spread => anti_affinity_first();
    rack_of_a_gang_goes_before_an_even_spread => gang_first();
    rack_of_the_data_goes_before_an_even_spread => data_first();
    one_runner_takes_the_share_of_its_hall_within_the_budget => one_runner_share();
    budget_of_a_runner_goes_first_where_no_spread_keeps_that_of_the_step => runner_before_hall();
    short_tasks_are_spread_only_where_it_costs_nothing => short_tasks();
    vms_go_from_the_hall_of_the_surplus_to_that_of_the_lack => level_moves();
    empty_vms_are_given_before_the_hall_decides => empty_first();
    vms_on_their_way_count_in_their_hall => counts_sent_halls();
    vms_keep_their_order_without_counts_by_hall => keeps_order();
    spare_runners_come_from_the_halls_by_turns => spare_by_turns();
    records_of_the_old_build_have_no_counts_by_hall => reads_old_records();
    wave_waits_for_a_lost_hall_for_a_bounded_time => wave_waits();
    nothing_goes_down_beside_a_lost_hall_that_used_up_the_budget => beside_lost_hall();
    wave_works_on_in_the_hall_of_most_vms => wave_hall();
}

/// Facts of a runner of its own rack, with 10,000 MB.
fn facts(name: &str, hall: &str, cores: u64) -> RunnerFacts {
    RunnerFacts {
        name: name.to_owned(),
        started_at: None,
        vm: format!("vm-{name}"),
        capacity: ResourceAmounts {
            cpu_milli: cores * 1_000,
            memory_mb: 10_000,
            gpus: 0,
        },
        labels: Vec::new(),
        rack: format!("rack-{name}"),
        hall: hall.to_owned(),
        draining: false,
    }
}

fn add_runner(state: &mut PoolState, facts: RunnerFacts) {
    let key = state.set_runner(facts, 0);
    state.mark_runner_ready(key);
    state.extend_lease(key, 1_000_000);
}

/// A pool in which one hall may be lost, with runners of so many cores in halls `a`, `b` and `c`.
fn pool_over(halls: [&[u64]; 3]) -> PoolState {
    let mut state = PoolState::new(InheritedRuns::default());
    state.set_terms(PoolTerms {
        tolerated_halls: 1,
        ..PoolTerms::default()
    });
    for (hall, runners) in ["a", "b", "c"].iter().zip(halls) {
        for (number, cores) in runners.iter().enumerate() {
            add_runner(&mut state, facts(&format!("{hall}{number}"), hall, *cores));
        }
    }
    state
}

fn service(count: u32, max_unavailable: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable,
        ..step(count)
    }
}

/// Number of these starts by hall.
fn by_hall(state: &PoolState, orders: &[StartOrder]) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for order in orders {
        if let Some(runner) = state.runner(order.runner) {
            *counts.entry(runner.facts.hall.clone()).or_default() += 1;
        }
    }
    counts
}

/// Starts a job of one step in the pool.
fn start_step(state: &mut PoolState, id: &str, spec: StepSpec) -> Vec<StartOrder> {
    state.add_job(new_job(id, vec![spec]), 1_000);
    start_all(state, 1_000)
}

fn halls(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn counts(wanted: &[(&str, u32)]) -> BTreeMap<String, u32> {
    let wanted = wanted.iter();
    wanted
        .map(|(hall, count)| ((*hall).to_owned(), *count))
        .collect()
}

async fn spreads(count: u32, max_unavailable: u32, wanted: &[u32]) -> Result<()> {
    let mut state = pool_over([&[8; 4], &[8; 4], &[8; 4]]);
    let orders = start_step(&mut state, "s", service(count, max_unavailable));
    let mut found: Vec<u32> = by_hall(&state, &orders).into_values().collect();
    found.sort();
    found.reverse();
    ensure!(found == wanted, "{found:?}");
    ensure!(state.take_uneven_steps().is_empty());
    Ok(())
}

/// Larger runners in one hall have less load, so that most tasks go there.
async fn without_the_term() -> Result<()> {
    let mut state = pool_over([&[64; 4], &[8; 4], &[8; 4]]);
    state.set_terms(PoolTerms::default());
    let orders = start_step(&mut state, "s", service(9, 3));
    let found = by_hall(&state, &orders);
    ensure!(found["a"] > 3, "{found:?}");
    Ok(())
}

async fn full_hall() -> Result<()> {
    let mut state = pool_over([&[2], &[8; 4], &[8; 4]]);
    let orders = start_step(&mut state, "s", service(24, 3));
    let found = by_hall(&state, &orders);
    ensure!(
        found == counts(&[("a", 2), ("b", 11), ("c", 11)]),
        "{found:?}"
    );
    Ok(())
}

/// The step is uneven from its ninth task in one hall on; the owner logs that once.
async fn reports_once() -> Result<()> {
    let mut state = pool_over([&[2], &[8; 4], &[8; 4]]);
    start_step(&mut state, "s", service(24, 3));
    let uneven = state.take_uneven_steps();
    ensure!(uneven.len() == 1, "{uneven:?}");
    ensure!(
        uneven[0].job == "s" && uneven[0].tasks == 9 && uneven[0].even_share == 8,
        "{uneven:?}"
    );
    state.plan(1_100);
    ensure!(state.take_uneven_steps().is_empty(), "reported again");
    Ok(())
}

async fn cordoned_hall() -> Result<()> {
    let mut state = pool_over([&[8; 4], &[8; 4], &[8; 4]]);
    state.set_cordoned_halls(halls(&["a"]));
    let orders = start_step(&mut state, "s", service(24, 3));
    let found = by_hall(&state, &orders);
    ensure!(found == counts(&[("b", 12), ("c", 12)]), "{found:?}");
    ensure!(
        state.take_uneven_steps().is_empty(),
        "a cordoned hall counts for the even share"
    );
    Ok(())
}

/// A lost hall's tasks are placed in the others. When it returns, nothing is stopped or started;
/// the next step is spread over all three.
async fn lost_and_back() -> Result<()> {
    let mut state = pool_over([&[8; 6], &[8; 6], &[8; 6]]);
    state.set_lost_halls(halls(&["a"]));
    let orders = start_step(&mut state, "s", service(24, 3));
    let found = by_hall(&state, &orders);
    ensure!(found == counts(&[("b", 12), ("c", 12)]), "{found:?}");
    ensure!(state.take_uneven_steps().is_empty());
    state.set_lost_halls(halls(&[]));
    ensure!(start_all(&mut state, 2_000).is_empty());
    ensure!(
        state.take_stop_orders().is_empty(),
        "tasks are moved to the hall that returned"
    );
    let next = start_step(&mut state, "t", service(6, 3));
    let found = by_hall(&state, &next);
    ensure!(
        found == counts(&[("a", 2), ("b", 2), ("c", 2)]),
        "{found:?}"
    );
    Ok(())
}

/// Tasks of one hall end and start again; they go where the step has the fewest.
async fn refills() -> Result<()> {
    let mut state = pool_over([&[8; 4], &[8; 4], &[8; 4]]);
    let orders = start_step(&mut state, "s", service(9, 3));
    let in_b: Vec<StartOrder> = orders
        .into_iter()
        .filter(|order| {
            let runner = state.runner(order.runner);
            runner.is_some_and(|runner| runner.facts.hall == "b")
        })
        .collect();
    end_all(&mut state, &in_b[..2], EndKind::Stopped, 2_000);
    let again = start_all(&mut state, 2_100);
    ensure!(
        by_hall(&state, &again) == counts(&[("b", 2)]),
        "{:?}",
        by_hall(&state, &again)
    );
    Ok(())
}

/// An owner that has taken over knows four tasks of its first hall from the record; the other two
/// go elsewhere, though nothing has responded there yet either.
async fn counts_unconfirmed() -> Result<()> {
    let mut state = pool_over([&[8; 4], &[8; 4], &[8; 4]]);
    let ordered = |index: u32| TaskProgress {
        phase: TaskPhase::Ordered,
        run: 1,
        runner: format!("a{index}"),
        ..TaskProgress::default()
    };
    let mut tasks: Vec<TaskProgress> = (0..4).map(ordered).collect();
    tasks.resize(6, TaskProgress::default());
    let job = NewJob {
        progress: Some(JobProgress {
            phase: JobPhase::Running,
            tasks,
        }),
        ..new_job("s", vec![service(6, 2)])
    };
    state.add_job(job, 1_000);
    let orders = start_all(&mut state, 1_000);
    let found = by_hall(&state, &orders);
    ensure!(found == counts(&[("b", 1), ("c", 1)]), "{found:?}");
    Ok(())
}

async fn label_first() -> Result<()> {
    let mut state = pool_over([&[8; 2], &[8; 2], &[8; 2]]);
    let labelled = RunnerFacts {
        labels: vec!["ssd".to_owned()],
        ..facts("a9", "a", 16)
    };
    add_runner(&mut state, labelled);
    let spec = StepSpec {
        label: Some("ssd".to_owned()),
        ..service(6, 3)
    };
    let orders = start_step(&mut state, "s", spec);
    let found = by_hall(&state, &orders);
    ensure!(found == counts(&[("a", 6)]), "{found:?}");
    ensure!(
        state.take_uneven_steps().is_empty(),
        "halls without the label count for the even share"
    );
    Ok(())
}

async fn anti_affinity_first() -> Result<()> {
    let mut state = pool_over([&[8], &[8; 4], &[8; 4]]);
    let spec = StepSpec {
        max_per_runner: 1,
        ..service(9, 3)
    };
    let orders = start_step(&mut state, "s", spec);
    let found = by_hall(&state, &orders);
    ensure!(
        found == counts(&[("a", 1), ("b", 4), ("c", 4)]),
        "{found:?}"
    );
    Ok(())
}

/// A gang that is slower on several racks is placed on one, in one hall.
async fn gang_first() -> Result<()> {
    let mut state = pool_over([&[8; 2], &[8; 2], &[8; 2]]);
    let together = StepSpec {
        same_rack: true,
        long_running: true,
        ..gang(6)
    };
    let orders = start_step(&mut state, "g", together);
    ensure!(
        orders.len() == 6 && by_hall(&state, &orders).len() == 1,
        "{:?}",
        by_hall(&state, &orders)
    );
    Ok(())
}

async fn data_first() -> Result<()> {
    let mut state = pool_over([&[8; 2], &[8; 2], &[8; 2]]);
    let spec = StepSpec {
        data_rack: Some("rack-b0".to_owned()),
        ..service(6, 3)
    };
    let orders = start_step(&mut state, "s", spec);
    let found = by_hall(&state, &orders);
    ensure!(found == counts(&[("b", 6)]), "{found:?}");
    Ok(())
}

/// Six tasks of which two may be unavailable: a hall with one runner gets two of them all the same,
/// since a third one in another hall would be lost with that hall.
async fn one_runner_share() -> Result<()> {
    let mut state = pool_over([&[8], &[8; 4], &[8; 4]]);
    let orders = start_step(&mut state, "s", service(6, 2));
    let found = by_hall(&state, &orders);
    ensure!(
        found == counts(&[("a", 2), ("b", 2), ("c", 2)]),
        "{found:?}"
    );
    Ok(())
}

/// Twelve tasks of which one may be unavailable: four stand in each hall in any case, and a hall
/// with one runner gets just one of them while others have runners without any.
async fn runner_before_hall() -> Result<()> {
    let mut state = pool_over([&[8], &[8; 6], &[8; 6]]);
    let orders = start_step(&mut state, "s", service(12, 1));
    let found = by_hall(&state, &orders);
    ensure!(found["a"] == 1, "{found:?}");
    let runners: BTreeSet<_> = orders.iter().map(|order| order.runner).collect();
    ensure!(runners.len() == 12, "{} runners", runners.len());
    Ok(())
}

/// Eight tasks fit on one runner and stay together. Tasks that fill a runner each are spread.
async fn short_tasks() -> Result<()> {
    let mut state = pool_over([&[8; 3], &[8; 3], &[8; 3]]);
    let packed = start_step(&mut state, "p", step(8));
    let runners: BTreeSet<_> = packed.iter().map(|order| order.runner).collect();
    ensure!(runners.len() == 1, "{} runners", runners.len());
    let mut wide = step(6);
    wide.need.cpu_milli = 8_000;
    let orders = start_step(&mut state, "w", wide);
    let found = by_hall(&state, &orders);
    ensure!(
        found == counts(&[("a", 2), ("b", 2), ("c", 2)]),
        "{found:?}"
    );
    Ok(())
}

/// A balance with so many VMs in each hall, and these on their way.
fn balance(halls: &[(&str, u32)], sent: &[(&str, &str, &str)]) -> VmBalance {
    let pairs = |pick: fn(&(&str, &str, &str)) -> (String, String)| sent.iter().map(pick).collect();
    VmBalance {
        halls: counts(halls),
        sent: pairs(|(vm, to, _)| ((*vm).to_owned(), (*to).to_owned())),
        sent_halls: pairs(|(vm, _, hall)| ((*vm).to_owned(), (*hall).to_owned())),
        ..VmBalance::default()
    }
}

/// VMs to spare, named after their hall: `a0`, `a1` and so on.
fn spare(names: &[&str], ease: SpareEase) -> Vec<SpareVm> {
    let names = names.iter();
    names
        .map(|name| SpareVm {
            vm: (*name).to_owned(),
            hall: name[..1].to_owned(),
            ease,
            ..SpareVm::default()
        })
        .collect()
}

/// Names of the VMs that `from` gives to `to`, which gets so many.
fn chosen(from: &VmBalance, to: &VmBalance, spare: Vec<SpareVm>, count: usize) -> Vec<String> {
    let pools = BTreeMap::from([
        ("from".to_owned(), from.clone()),
        ("to".to_owned(), to.clone()),
    ]);
    let targets = vec!["to".to_owned(); count];
    let chosen = choose_vms(&pools, "from", spare, &targets);
    chosen.into_iter().map(|(spare, _)| spare.vm).collect()
}

/// The taker has VMs in one hall only, and gets those of the others, by turns.
async fn level_moves() -> Result<()> {
    let from = balance(&[("a", 4), ("b", 4), ("c", 4)], &[]);
    let to = balance(&[("a", 2)], &[]);
    let names = ["a0", "a1", "a2", "b0", "b1", "b2", "c0", "c1", "c2"];
    let vms = chosen(&from, &to, spare(&names, SpareEase::Empty), 4);
    ensure!(vms == ["b0", "c0", "b1", "c1"], "{vms:?}");
    Ok(())
}

/// A VM whose tasks must end first is given after the empty ones, whatever its hall; one that is
/// being evacuated goes on being so.
async fn empty_first() -> Result<()> {
    let from = balance(&[("a", 4), ("b", 4)], &[]);
    let to = balance(&[("a", 2)], &[]);
    let mut vms = spare(&["b0", "b1"], SpareEase::Busy);
    vms.extend(spare(&["a0"], SpareEase::Empty));
    vms.extend(spare(&["a1"], SpareEase::Evacuating));
    let vms = chosen(&from, &to, vms, 3);
    ensure!(vms == ["a1", "a0", "b0"], "{vms:?}");
    Ok(())
}

/// Two VMs of hall `b` are on their way to the taker, and are not listed there yet.
async fn counts_sent_halls() -> Result<()> {
    let sent = [("b8", "to", "b"), ("b9", "to", "b")];
    let from = balance(&[("a", 4), ("b", 4)], &sent);
    let to = balance(&[("a", 1)], &[]);
    let names = ["a0", "b0"];
    let vms = chosen(&from, &to, spare(&names, SpareEase::Empty), 1);
    ensure!(vms == ["a0"], "{vms:?}");
    Ok(())
}

async fn keeps_order() -> Result<()> {
    let names = ["c0", "a0", "b0"];
    let none = VmBalance::default();
    let vms = chosen(&none, &none, spare(&names, SpareEase::Busy), 2);
    ensure!(vms == ["c0", "a0"], "{vms:?}");
    Ok(())
}

/// Half of the pool's VMs are in one hall: three of the first four that it can spare are there,
/// so that what stays is level.
async fn spare_by_turns() -> Result<()> {
    let mut state = pool_over([&[8; 2], &[8; 2], &[8; 4]]);
    let vm_halls = state.vms_by_hall();
    ensure!(
        vm_halls == counts(&[("a", 2), ("b", 2), ("c", 4)]),
        "{vm_halls:?}"
    );
    let first = state.spare_runners(60_000, 5);
    let mut left = vm_halls;
    for key in first {
        let hall = state.runner(key).map(|runner| runner.facts.hall.clone());
        if let Some(count) = hall.and_then(|hall| left.get_mut(&hall)) {
            *count -= 1;
        }
    }
    ensure!(left == counts(&[("a", 1), ("b", 1), ("c", 1)]), "{left:?}");
    state.set_lost_halls(halls(&["c"]));
    let spare = state.spare_runners(60_000, 8);
    let lost = |key| state.runner(key).is_some_and(|runner| runner.hall_lost);
    ensure!(spare.len() == 4 && !spare.into_iter().any(lost));
    ensure!(state.vms().len() == 8, "a short loss is a lack of VMs");
    state.set_terms(PoolTerms::default());
    ensure!(state.vms_by_hall().is_empty());
    Ok(())
}

/// Nodes of both builds read each other's records, and a deployment without the term writes the
/// records of before.
async fn reads_old_records() -> Result<()> {
    let old = r#"{"want":1,"keep":1,"vms":["v"],"sent":{},"spare":false}"#;
    let read: VmBalance = serde_json::from_str(old)?;
    ensure!(read.halls.is_empty() && read.sent_halls.is_empty());
    ensure!(serde_json::to_string(&read)? == old);
    Ok(())
}

/// A hall is lost for 4 s, and returns; the next loss puts the wave off for the rest of its time.
async fn wave_waits() -> Result<()> {
    let mut wait = HallLossWait::default();
    ensure!(!wait.is_due(false, 1_000));
    for now in (2_000..=6_000).step_by(200) {
        ensure!(wait.is_due(true, now), "goes on at {now}");
    }
    ensure!(!wait.is_due(false, 6_200), "waits though no hall is lost");
    let left = HALL_LOSS_WAIT_MAX_MS - wait.waited();
    ensure!(wait.is_due(true, 20_000));
    ensure!(wait.is_due(true, 20_000 + left - 1), "goes on early");
    ensure!(!wait.is_due(true, 20_000 + left), "waits for too long");
    ensure!(!wait.is_due(true, 60_000));
    Ok(())
}

/// Three of nine tasks stand in the hall that is lost, and three may be unavailable. The runners
/// there still count as ready: the hall's loss is known before theirs.
async fn beside_lost_hall() -> Result<()> {
    let mut state = pool_over([&[8; 3], &[8; 3], &[8; 3]]);
    let orders = start_step(&mut state, "s", service(9, 3));
    for order in &orders {
        let report = HeartbeatReport {
            started_at: None,
            clock_ms: 2_000,
            running: running_on(&state, order.runner, None, 100),
            ended: Vec::new(),
            more_ends: false,
        };
        state.record_heartbeat(order.runner, &report, 1_999, 2_000);
    }
    let statuses = |state: &PoolState| -> BTreeSet<String> {
        let statuses = orders
            .iter()
            .map(|order| format!("{:?}", state.evacuation_status(order.runner)));
        statuses.collect()
    };
    ensure!(
        statuses(&state) == halls(&["Free"]),
        "{:?}",
        statuses(&state)
    );
    state.set_lost_halls(halls(&["a"]));
    ensure!(
        statuses(&state) == halls(&["Held"]),
        "{:?}",
        statuses(&state)
    );
    state.set_lost_halls(halls(&[]));
    ensure!(statuses(&state) == halls(&["Free"]));
    Ok(())
}

async fn wave_hall() -> Result<()> {
    ensure!(worked_hall([]).is_none());
    ensure!(worked_hall(["c", "b", "c"]) == Some("c"));
    ensure!(
        worked_hall(["c", "b"]) == Some("b"),
        "not the first by name"
    );
    Ok(())
}

quickcheck! {
    /// No placement breaks a label, an anti-affinity or a runner's room, or starts anything in a
    /// hall that is cordoned or lost; as many tasks are placed as without the term.
    fn hard_constraints_hold(
        runners: Vec<(u8, u8, bool)>,
        steps: Vec<(u8, u8, u8, u8)>,
        away: (u8, u8)
    ) -> bool {
        let place = |terms: PoolTerms| {
            let mut state = PoolState::new(InheritedRuns::default());
            state.set_terms(terms);
            for (number, (hall, cores, ssd)) in runners.iter().take(12).enumerate() {
                let hall = ["a", "b", "c"][usize::from(hall % 3)];
                let labels = if *ssd { vec!["ssd".to_owned()] } else { Vec::new() };
                let cores = u64::from(cores % 6) + 1;
                let facts = RunnerFacts { labels, ..facts(&format!("r{number}"), hall, cores) };
                add_runner(&mut state, facts);
            }
            let name = |draw: u8| ["a", "b", "c", "none"][usize::from(draw % 4)];
            state.set_cordoned_halls(halls(&[name(away.0)]));
            state.set_lost_halls(halls(&[name(away.1)]));
            let mut placed = Vec::new();
            for (number, (count, budget, per_runner, kind)) in steps.iter().take(4).enumerate() {
                let spec = StepSpec {
                    max_per_runner: u32::from(per_runner % 3),
                    label: (kind & 1 == 1).then(|| "ssd".to_owned()),
                    long_running: kind & 2 == 2,
                    max_unavailable: u32::from(budget % 4),
                    ..step(u32::from(count % 12) + 1)
                };
                placed.push(start_step(&mut state, &format!("j{number}"), spec.clone()).len());
                let job = state.job(&format!("j{number}"));
                let by_runner = job.map(|job| {
                    let mut counts: BTreeMap<_, u32> = BTreeMap::new();
                    for key in job.tasks.iter().filter_map(|task| task.runner()) {
                        *counts.entry(key).or_default() += 1;
                    }
                    counts
                });
                for (key, tasks) in by_runner.unwrap_or_default() {
                    let runner = state.runner(key)?;
                    let label = spec.label.as_ref().is_none_or(|l| runner.facts.labels.contains(l));
                    let apart = spec.max_per_runner == 0 || tasks <= spec.max_per_runner;
                    let room = runner.used.cpu_milli <= runner.facts.capacity.cpu_milli;
                    if !label || !apart || !room || runner.cordoned || runner.hall_lost {
                        return None;
                    }
                }
            }
            Some(placed)
        };
        let spread = place(PoolTerms { tolerated_halls: 1, ..PoolTerms::default() });
        // The first step finds the same room, however it is spread.
        let first = |placed: &Option<Vec<usize>>| {
            placed.as_ref().map(|placed| placed.first().copied())
        };
        spread.is_some() && first(&spread) == first(&place(PoolTerms::default()))
    }
}
