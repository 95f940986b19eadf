//! Tests of the decisions of a pool's owner, made on a [`PoolState`] without a network or a
//! clock: each test passes in the time and the runners' responses and reports.
//!
//! This file checks the order of steps, retries, gangs, an adviser's tickets, stalled tasks,
//! the throttle of best-effort tasks and the validation of specs. It also contains the helpers
//! that the other modules use.

mod account;
mod admission;
mod advice;
mod cold_start;
mod cordons;
mod demand;
mod fair;
mod hall_loss;
mod halls;
mod health;
mod intake;
mod lives;
mod load;
mod order;
mod outcomes;
mod packing;
mod pools;
mod quota;
mod suspects;
mod useless;
mod waves;

use std::collections::BTreeMap;

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_jobs::{
    AdviceTicket,
    EndKind,
    EndedTask,
    HeartbeatReport,
    InheritedRuns,
    JobPhase,
    JobSchedule,
    JobSpec,
    JobSubmission,
    NewJob,
    PoolState,
    QueuePolicy,
    ResourceAmounts,
    RunnerFacts,
    RunnerKey,
    RunningTask,
    SpecError,
    StartOrder,
    StartOutcome,
    StepSpec,
    TaskState, //
};
use hoisthitch_tests::cases;
use quickcheck::quickcheck;

cases! {
    step_waits_for_the_one_before => step_order();
    failed_task_is_tried_elsewhere_within_its_budget => budget();
    gang_starts_whole_under_one_run => gang_starts();
    gang_waits_while_one_member_has_no_room => gang_waits();
    refused_member_stops_the_gang => gang_refused();
    one_member_done_stands_for_the_gang => gang_done();
    gang_prefers_one_rack => gang_rack();
    queue_with_an_adviser_starts_only_with_a_ticket => advised();
    refused_ticket_is_asked_for_again => ticket_refused();
    task_that_stands_still_is_started_elsewhere => stalls();
    runner_that_fails_everything_is_shunned_and_tried_again => backs_off();
    fillers_make_way_for_a_serving_task_and_come_back => paces();
    lasting_tasks_are_spread_and_keep_together => spread();
    bad_specs_are_refused => bad_specs();
}

/// A step of `count` tasks, each of one core and an estimated 500 ms.
fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        need: ResourceAmounts {
            cpu_milli: 1_000,
            memory_mb: 100,
            gpus: 0,
        },
        estimate_ms: 500,
        ..StepSpec::default()
    }
}

/// The same step as a gang: all of its tasks run at once, or none.
fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count)
    }
}

/// A job without a team, accepted at 1 s, with three attempts a task.
fn new_job(id: &str, steps: Vec<StepSpec>) -> NewJob {
    NewJob {
        id: id.to_owned(),
        submission: JobSubmission {
            team: String::new(),
            version: 0,
            queue: "hold".to_owned(),
            policy: QueuePolicy {
                priority: 0,
                max_attempts: 3,
                stretch: 2.0,
                target_latency_ms: 600,
                advised: false,
            },
            accepted_ms: 0,
            expected_wait_ms: None,
            spec: JobSpec {
                payload: "work".to_owned(),
                steps,
                schedule: None,
            },
        },
        progress: None,
        accepted_at: 1_000,
    }
}

/// A pool of ready runners of so many cores and 10,000 MB each, two to a rack, in two data halls by
/// turns, whose leases
/// end at 1,000 s.
fn pool_of(runners: u32, cores: u64) -> PoolState {
    let mut state = PoolState::new(InheritedRuns::default());
    for number in 0..runners {
        let key = state.set_runner(
            RunnerFacts {
                name: format!("i-{number}"),
                started_at: None,
                vm: format!("vm-{number}"),
                capacity: ResourceAmounts {
                    cpu_milli: cores * 1_000,
                    memory_mb: 10_000,
                    gpus: 0,
                },
                labels: Vec::new(),
                rack: format!("r-{}", number / 2),
                hall: format!("hall-{}", number % 2),
                draining: false,
            },
            0,
        );
        state.mark_runner_ready(key);
        state.extend_lease(key, 1_000_000);
    }
    state
}

/// Plans starts and has their records written; returns the orders to send.
fn decide(state: &mut PoolState, now: u64) -> Vec<StartOrder> {
    state.begin_due_rounds(now, 0);
    state.plan(now);
    let plan = state.begin_flush(100);
    state.finish_flush(&plan, now)
}

/// Plans starts, all of which succeed.
fn start_all(state: &mut PoolState, now: u64) -> Vec<StartOrder> {
    let orders = decide(state, now);
    for order in &orders {
        state.record_start_outcome(order, StartOutcome::Started, now);
    }
    orders
}

/// Reports that the runs of these starts ended, each on its runner, where all else runs on.
fn end_all(state: &mut PoolState, orders: &[StartOrder], kind: EndKind, now: u64) {
    for order in orders {
        let number = state
            .runner(order.runner)
            .map_or(0, |runner| runner.last_seen_end)
            + 1;
        let report = HeartbeatReport {
            started_at: None,
            clock_ms: now,
            running: running_on(state, order.runner, Some(order), 10),
            ended: vec![EndedTask {
                number,
                name: order.name.to_string(),
                run: order.run,
                kind,
                checkpoint: String::new(),
            }],
            more_ends: false,
        };
        state.record_heartbeat(order.runner, &report, now - 1, now);
    }
}

/// What a runner would report as running if it ran all that the state has there, but for the
/// task of `except`; each task is done to `percent`.
fn running_on(
    state: &PoolState,
    runner: RunnerKey,
    except: Option<&StartOrder>,
    percent: u32,
) -> Vec<RunningTask> {
    let Some(entry) = state.runner(runner) else {
        return Vec::new();
    };
    let tasks = entry
        .tasks
        .iter()
        .filter(|task| except.is_none_or(|o| o.task != **task));
    tasks
        .filter_map(|task| {
            let entry = state.task(*task)?;
            Some(RunningTask {
                name: state.name_of(*task)?.to_string(),
                run: entry.run,
                checkpoint: String::new(),
                percent,
                load: 0,
            })
        })
        .collect()
}

/// A step starts once all tasks of the step before it are done.
async fn step_order() -> Result<()> {
    let mut state = pool_of(2, 8);
    let after = StepSpec {
        after: vec![0],
        ..step(2)
    };
    state.add_job(new_job("a", vec![step(3), after]), 1_000);
    let first = start_all(&mut state, 1_000);
    ensure!(first.len() == 3);
    end_all(&mut state, &first[..2], EndKind::Done, 2_000);
    ensure!(decide(&mut state, 2_100).is_empty());
    end_all(&mut state, &first[2..], EndKind::Done, 2_200);
    let second = start_all(&mut state, 2_300);
    ensure!(second.iter().all(|order| order.name.step == 1) && second.len() == 2);
    end_all(&mut state, &second, EndKind::Done, 3_000);
    ensure!(state.job("a").map(|job| job.phase) == Some(JobPhase::Completed));
    Ok(())
}

/// A failed task is started on another runner, until its three attempts are used up and the job
/// fails.
async fn budget() -> Result<()> {
    let mut state = pool_of(3, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let mut runners = Vec::new();
    for now in [2_000, 3_000, 4_000] {
        let orders = start_all(&mut state, now);
        ensure!(orders.len() == 1, "at {now}");
        runners.push(orders[0].runner);
        end_all(&mut state, &orders, EndKind::Failed, now + 500);
    }
    ensure!(runners[0] != runners[1] && runners[1] != runners[2]);
    ensure!(start_all(&mut state, 9_000).is_empty());
    ensure!(state.job("a").map(|job| job.phase) == Some(JobPhase::Failed));
    Ok(())
}

/// All members of a gang start under one run number. When one fails, the others are stopped, and
/// the gang starts again under the next number once all have ended.
async fn gang_starts() -> Result<()> {
    let mut state = pool_of(4, 2);
    state.add_job(new_job("g", vec![gang(6)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    ensure!(orders.len() == 6 && orders.iter().all(|order| order.run == 1));
    end_all(&mut state, &orders[..1], EndKind::Failed, 2_000);
    ensure!(
        state.take_stop_orders().len() == 5,
        "the other members are not stopped"
    );
    ensure!(
        decide(&mut state, 2_100).is_empty(),
        "restarted before all members ended"
    );
    end_all(&mut state, &orders[1..], EndKind::GangBroken, 2_500);
    let again = start_all(&mut state, 3_000);
    ensure!(again.len() == 6 && again.iter().all(|order| order.run == 2));
    Ok(())
}

/// A gang that does not fit as a whole is not started, and other tasks use the free capacity.
async fn gang_waits() -> Result<()> {
    let mut state = pool_of(2, 2);
    state.add_job(new_job("g", vec![gang(5)]), 1_000);
    ensure!(decide(&mut state, 1_000).is_empty());
    state.add_job(new_job("a", vec![step(4)]), 1_000);
    ensure!(
        decide(&mut state, 1_100).len() == 4,
        "capacity is reserved for a gang that does not fit"
    );
    Ok(())
}

/// One member's start is refused: the members that started are stopped.
async fn gang_refused() -> Result<()> {
    let mut state = pool_of(4, 2);
    state.add_job(new_job("g", vec![gang(4)]), 1_000);
    let orders = decide(&mut state, 1_000);
    for order in &orders[1..] {
        state.record_start_outcome(order, StartOutcome::Started, 1_001);
    }
    state.record_start_outcome(&orders[0], StartOutcome::NoRoom, 1_002);
    ensure!(state.take_stop_orders().len() == 3);
    Ok(())
}

/// The job is completed as soon as one member of its gang is done.
async fn gang_done() -> Result<()> {
    let mut state = pool_of(4, 2);
    state.add_job(new_job("g", vec![gang(4)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    end_all(&mut state, &orders[2..3], EndKind::Done, 2_000);
    ensure!(state.job("g").map(|job| job.phase) == Some(JobPhase::Completed));
    end_all(&mut state, &orders[..1], EndKind::Done, 2_001);
    ensure!(state.job("g").map(|job| job.phase) == Some(JobPhase::Completed));
    Ok(())
}

/// A gang whose tasks are slower on more than one rack is started on one rack.
async fn gang_rack() -> Result<()> {
    let mut state = pool_of(6, 2);
    let together = StepSpec {
        same_rack: true,
        ..gang(4)
    };
    state.add_job(new_job("g", vec![together]), 1_000);
    let orders = start_all(&mut state, 1_000);
    ensure!(orders.len() == 4);
    let mut racks: Vec<String> = orders
        .iter()
        .filter_map(|order| state.runner(order.runner))
        .map(|runner| runner.facts.rack.clone())
        .collect();
    racks.dedup();
    ensure!(racks.len() == 1, "{racks:?}");
    Ok(())
}

/// On a queue with an adviser nothing starts before there is advice, and then only on the runner
/// of the ticket.
async fn advised() -> Result<()> {
    let mut state = pool_of(3, 8);
    let mut new = new_job("a", vec![step(2)]);
    new.submission.policy.advised = true;
    state.add_job(new, 1_000);
    ensure!(decide(&mut state, 1_000).is_empty());
    let request = state
        .next_advice_request(1_000)
        .ok_or_eyre("no advice was requested")?;
    ensure!(request.step == "a.0.0" && request.runners.len() == 3);
    ensure!(
        state.next_advice_request(1_010).is_none(),
        "advice was requested twice"
    );
    let ticket = AdviceTicket {
        runner: "i-1".to_owned(),
        ticket: "t-1".to_owned(),
    };
    state.record_advice(&request, vec![ticket], 3_000);
    let orders = decide(&mut state, 1_050);
    ensure!(orders.len() == 2);
    ensure!(orders.iter().all(|order| order.ticket == "t-1"));
    let only = state.runner_key("i-1");
    ensure!(orders.iter().all(|order| Some(order.runner) == only));
    Ok(())
}

/// The runner refuses a ticket: the task waits, and advice is requested again.
async fn ticket_refused() -> Result<()> {
    let mut state = pool_of(2, 8);
    let mut new = new_job("a", vec![step(1)]);
    new.submission.policy.advised = true;
    state.add_job(new, 1_000);
    state.begin_due_rounds(1_000, 0);
    let request = state
        .next_advice_request(1_000)
        .ok_or_eyre("no advice was requested")?;
    let ticket = AdviceTicket {
        runner: "i-0".to_owned(),
        ticket: "t".to_owned(),
    };
    state.record_advice(&request, vec![ticket], 9_000);
    let orders = decide(&mut state, 1_100);
    state.record_start_outcome(&orders[0], StartOutcome::NoTicket, 1_200);
    ensure!(decide(&mut state, 1_300).is_empty());
    ensure!(state.next_advice_request(1_300).is_some());
    Ok(())
}

/// A task whose progress stays the same in three reports is stopped in the end and started on
/// another runner.
async fn stalls() -> Result<()> {
    let mut state = pool_of(2, 8);
    state.add_job(new_job("a", vec![step(1)]), 1_000);
    let orders = start_all(&mut state, 1_000);
    let stuck = orders[0].runner;
    for now in [1_700, 2_400, 3_100] {
        let report = HeartbeatReport {
            started_at: None,
            clock_ms: now,
            running: running_on(&state, stuck, None, 40),
            ended: Vec::new(),
            more_ends: false,
        };
        state.record_heartbeat(stuck, &report, now - 1, now);
    }
    ensure!(state.stop_stalled(3_200).is_empty());
    ensure!(state.stop_stalled(4_000) == [stuck]);
    ensure!(state.take_stop_orders().len() == 1);
    end_all(&mut state, &orders, EndKind::Stopped, 4_100);
    let again = start_all(&mut state, 4_200);
    ensure!(again.len() == 1 && again[0].runner != stuck && again[0].run == 2);
    Ok(())
}

/// A runner on which every task fails gets no more tasks after two to four failed runs, and
/// later one task to see whether it works again.
async fn backs_off() -> Result<()> {
    let mut state = pool_of(2, 2);
    let broken = state.runner_key("i-0");
    for number in 0..8 {
        state.add_job(new_job(&format!("j{number}"), vec![step(1)]), 1_000);
    }
    let mut failures = 0;
    for now in (2_000..3_000).step_by(100) {
        let orders = start_all(&mut state, now);
        let (bad, good): (Vec<_>, Vec<_>) = orders
            .into_iter()
            .partition(|order| Some(order.runner) == broken);
        failures += bad.len();
        end_all(&mut state, &bad, EndKind::Failed, now + 50);
        end_all(&mut state, &good, EndKind::Done, now + 50);
    }
    ensure!((2..=4).contains(&failures), "{failures} runs failed");
    state.add_job(new_job("late", vec![step(4)]), 8_000);
    let orders = decide(&mut state, 8_000);
    let retried = orders.iter().filter(|order| Some(order.runner) == broken);
    ensure!(retried.count() == 1, "not just one task after the backoff");
    Ok(())
}

/// Two long-running steps of four tasks each, one of which may be unavailable: the tasks of each
/// are spread, and both steps share four runners.
async fn spread() -> Result<()> {
    let mut state = pool_of(6, 8);
    let long_running = StepSpec {
        long_running: true,
        max_unavailable: 1,
        ..step(4)
    };
    state.add_job(new_job("a", vec![long_running.clone()]), 1_000);
    state.add_job(new_job("b", vec![long_running]), 1_000);
    let orders = start_all(&mut state, 1_000);
    ensure!(orders.len() == 8);
    let mut runners: Vec<RunnerKey> = orders.iter().map(|order| order.runner).collect();
    runners.sort();
    runners.dedup();
    ensure!(runners.len() == 4, "{} runners", runners.len());
    Ok(())
}

/// Tail latency of a serving task above its target stops the best-effort task beside it
/// within two reports. Below the target, the best-effort task is let work again step by step.
async fn paces() -> Result<()> {
    let mut state = pool_of(1, 8);
    let serving = StepSpec {
        long_running: true,
        target_ms: 100,
        ..step(1)
    };
    let best_effort = StepSpec {
        best_effort: true,
        long_running: true,
        ..step(1)
    };
    state.add_job(new_job("a", vec![serving, best_effort]), 1_000);
    let orders = start_all(&mut state, 1_000);
    let runner = orders.first().ok_or_eyre("nothing was started")?.runner;
    let mut pace_at = |load: u64, now: u64| {
        let mut running = running_on(&state, runner, None, 100);
        running.iter_mut().for_each(|row| row.load = load);
        let report = HeartbeatReport {
            started_at: None,
            clock_ms: now,
            running,
            ended: Vec::new(),
            more_ends: false,
        };
        state.record_heartbeat(runner, &report, now - 1, now);
        let orders = state.pace(runner, now);
        orders.iter().map(|order| order.percent).collect::<Vec<_>>()
    };
    ensure!(
        pace_at(20, 2_000).is_empty(),
        "throttled though the latency is below the target"
    );
    ensure!(pace_at(150, 2_700) == [0], "not throttled to zero at once");
    ensure!(pace_at(150, 3_400).is_empty(), "throttled again at zero");
    let back: Vec<u32> = (0..20)
        .flat_map(|report| pace_at(20, 4_100 + report * 700))
        .collect();
    ensure!(back.is_sorted() && back.last() == Some(&100), "{back:?}");
    ensure!(back.first().is_some_and(|first| *first <= 50), "{back:?}");
    Ok(())
}

/// Specs that can't be run are refused, and so are numbers with which the sums over a job's tasks or
/// the times of its rounds would overflow.
async fn bad_specs() -> Result<()> {
    let spec = |steps: Vec<StepSpec>| JobSpec {
        payload: "x".to_owned(),
        steps,
        schedule: None,
    };
    let after = |after: Vec<u32>| StepSpec { after, ..step(1) };
    ensure!(spec(vec![]).check() == Err(SpecError::NoSteps));
    ensure!(spec(vec![step(0)]).check() == Err(SpecError::NoTasks(0)));
    let cyclic = Err(SpecError::BadOrder { step: 0, after: 0 });
    ensure!(spec(vec![after(vec![0])]).check() == cyclic);
    let dangling = Err(SpecError::BadOrder { step: 1, after: 7 });
    ensure!(spec(vec![step(1), after(vec![7])]).check() == dangling);
    let doubled = spec(vec![step(1), after(vec![0, 0])]);
    ensure!(doubled.check() == Err(SpecError::DoubledOrder(1)));
    ensure!(spec(vec![step(5_000)]).check() == Err(SpecError::TooManyTasks(5_000)));
    let long = JobSpec {
        payload: "x".repeat(4_001),
        ..spec(vec![step(1)])
    };
    ensure!(long.check() == Err(SpecError::PayloadTooLong(4_001)));
    let asking = |cpu_milli: u64, memory_mb: u64, gpus: u64, estimate_ms: u64| StepSpec {
        need: ResourceAmounts {
            cpu_milli,
            memory_mb,
            gpus,
        },
        estimate_ms,
        ..step(1)
    };
    for odd in [
        asking(u64::MAX, 0, 0, 0),
        asking(0, u64::MAX, 0, 0),
        asking(0, 0, u64::MAX, 0),
        asking(0, 0, 0, u64::MAX),
    ] {
        let refused = spec(vec![odd]).check();
        ensure!(
            matches!(refused, Err(SpecError::TooLarge { step: 0, .. })),
            "{refused:?}"
        );
    }
    for (first_ms, interval_ms) in [(u64::MAX, 1), (0, u64::MAX)] {
        let far = JobSpec {
            schedule: Some(JobSchedule {
                first_ms,
                interval_ms,
                repetitions: 2,
            }),
            ..spec(vec![step(1)])
        };
        let refused = far.check();
        ensure!(
            matches!(refused, Err(SpecError::TooLate { .. })),
            "{refused:?}"
        );
    }
    Ok(())
}

quickcheck! {
    /// No task waits while a runner has free capacity for it, whichever requests were
    /// found not to fit before it.
    fn nothing_waits_beside_room(needs: Vec<(u8, u8, bool)>) -> bool {
        let mut state = pool_of(3, 4);
        for (number, (cpu, memory, far)) in needs.iter().take(40).enumerate() {
            let wanted = StepSpec {
                need: ResourceAmounts {
                    cpu_milli: u64::from(cpu % 40) * 100,
                    memory_mb: u64::from(memory % 40) * 250,
                    gpus: 0,
                },
                data_rack: far.then(|| "r-1".to_owned()),
                ..step(2)
            };
            state.add_job(new_job(&format!("job-{number}"), vec![wanted]), 1_000);
        }
        state.begin_due_rounds(1_000, 0);
        state.plan(1_000);
        let jobs = (0..needs.len().min(40)).filter_map(|number| state.job(&format!("job-{number}")));
        jobs.flat_map(|job| (0..job.tasks.len()).map(move |slot| (job, slot)))
            .filter(|(job, slot)| job.tasks[*slot].state == TaskState::Waiting)
            .filter_map(|(job, slot)| job.step_of(slot))
            .all(|step| state.runners().all(|(_, runner)| !runner.fits(step)))
    }

    /// No runner is planned beyond its capacity, no task is planned twice, and the plan uses
    /// all the capacity that is needed.
    fn plans_keep_to_capacity(counts: Vec<u8>, runners: u8) -> bool {
        let mut state = pool_of(u32::from(runners % 6) + 1, 4);
        for (number, count) in counts.iter().take(12).enumerate() {
            let steps = vec![step(u32::from(count % 9) + 1)];
            state.add_job(new_job(&format!("j{number}"), steps), 1_000);
        }
        let orders = decide(&mut state, 1_000);
        let mut used = BTreeMap::new();
        let mut names = std::collections::BTreeSet::new();
        for order in &orders {
            *used.entry(order.runner).or_insert(0) += 1;
            names.insert(order.name.to_string());
        }
        let wanted: usize = counts.iter().take(12).map(|count| usize::from(count % 9) + 1).sum();
        let capacity = (usize::from(runners % 6) + 1) * 4;
        // The reference is a naive plan, which fills the pool in order of arrival.
        used.values().all(|used| *used <= 4)
            && names.len() == orders.len()
            && orders.len() == wanted.min(capacity)
    }
}
