//! `hoisthitch explain`, on handwritten logs.

mod log;
mod refusals;

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::{
    cases,
    run_command,
    run_command_on, //
};

use crate::log::{
    JOB,
    NodeLog,
    check,
    explain,
    line,
    ordered,
    started_job,
    submitted,
    taken, //
};

cases! {
    unclear_answer_of_a_job_that_ran_is_no_failure => unclear_but_taken();
    late_job_names_the_new_owner => late_without_owner();
    job_of_an_ownerless_pool_is_not_taken => never_taken();
    pool_that_is_handed_over_shows_both_nodes => handed_over();
    job_that_waits_while_a_hall_is_cordoned => cordoned_hall();
    job_without_room_names_what_the_pool_lacked => no_room();
    starts_without_answer_explain_a_wait => unclear_starts();
    start_sent_again_is_one_run => start_sent_again();
    lasting_task_names_its_runner_and_the_owner => lasting_task_away();
    task_that_is_not_started_again_is_away => not_started_again();
    runner_that_missed_one_answer_is_no_loss => one_missed_answer();
    runs_that_fail_on_one_runner_point_at_it => failing_runner();
    runs_that_fail_on_several_runners_point_at_the_job => failing_job();
    runner_that_started_again_is_named => restarted_runner();
    task_that_was_given_up_is_named => given_up();
    cancelled_job_says_so => cancelled();
    ended_job_shows_where_its_time_went => ended();
    job_that_began_before_the_logs_is_not_late => begun_before();
    lines_of_others_stay_out => others_stay_out();
    lines_of_all_nodes_go_by_time => ordered_by_time();
    unknown_events_are_passed_over => unknown_events();
    broken_lines_are_counted => broken_lines();
    words_before_the_time_are_fine => words_before();
    standard_input_is_read => standard_input();
    empty_input_names_the_remedy => empty_input();
    unknown_id_ends_with_code_1 => unknown_id();
    missing_file_is_named => missing_file();
    no_log_ends_with_code_2 => no_log();
}

/// A job that ended late, after it had waited for free capacity.
async fn ended() -> Result<()> {
    let event = format!(
        "job_ended job={JOB} queue=q pool=p phase=Completed took_ms=4000 objective_ms=2000 \
         taking_ms=20 waiting_ms=3000 ordering_ms=30 running_ms=950 reruns=0"
    );
    let log = started_job() + &line(9_000, "node-2", &event);
    let wanted = ["ended; this is where its time went", "waiting_ms=3000"];
    check("ended", &log, &wanted).await?;
    Ok(())
}

/// The story names the runners that were lost under a task, and why its job failed.
async fn given_up() -> Result<()> {
    let lost = |ms, run: u64, runner: &str| {
        let event = format!(
            "run_lost task={JOB}.0.0.0 run={run} runner={runner} pool=p loss=crashed ran_ms=10 \
             beside=0 company=false losses={run} weight=100"
        );
        line(ms, "node-2", &event)
    };
    let event = format!("task_given_up task={JOB}.0.0.0 run=2 pool=p losses=2 weight=210");
    let log = [
        started_job(),
        lost(8_000, 1, "r-1"),
        ordered(8_010, 2, "r-2", "Started"),
        lost(11_000, 2, "r-2"),
        line(11_001, "node-2", &event),
    ];
    let wanted = [
        "run lost with its runner",
        "runner=r-1",
        "runner=r-2",
        "Kind of failure: 3, a lasting task was away, or a job was shown as failed",
        "crashes the runners that start it (2 runners lost under it), and was given up",
    ];
    check("given-up", &log.concat(), &wanted).await?;
    Ok(())
}

/// A runner restarted under its name while a task ran on it.
async fn restarted_runner() -> Result<()> {
    let event = "runner_answers_anew pool=p runner=r-1@1700000009000 before=r-1@1700000000000 \
                 ended=1 doubtful=0";
    let log = [
        started_job().replace("runner=r-1 ", "runner=r-1@1700000000000 "),
        line(9_300, "node-2", event),
        ordered(9_400, 2, "r-1@1700000009000", "Started"),
    ]
    .concat();
    let wanted = [
        "runner started again under its name",
        "started again, and holds nothing of before",
    ];
    check("restarted", &log, &wanted).await?;
    Ok(())
}

async fn unclear_but_taken() -> Result<()> {
    let log = started_job().replace("outcome=accepted", "outcome=unknown");
    let text = check(
        "unclear-taken",
        &log,
        &["1 task started", "show no failure"],
    )
    .await?;
    ensure!(!text.contains("Kind of failure"), "{text}");
    Ok(())
}

async fn late_without_owner() -> Result<()> {
    let log = [
        line(1_000, "node-2", "pool_taken pool=p term=1 epoch=11"),
        line(4_000, "node-2", "pool_left pool=p epoch=11 end=Stopped"),
        submitted(5_000, "accepted"),
        line(9_000, "node-3", "pool_taken pool=p term=2 epoch=20"),
        taken(9_010, "node-3", 4_020, false),
        ordered(9_020, 1, "r-1", "Started"),
    ]
    .concat();
    let wanted = [
        "Kind of failure: 2,",
        "it began 4030 ms after its submission: its pool had no owner until node-3 took it at \
         2026-04-29T18:00:09.000Z.",
    ];
    check("late", &log, &wanted).await?;
    Ok(())
}

async fn never_taken() -> Result<()> {
    let other = "job_taken job=other queue=q pool=p age_ms=5 restored=false";
    let log = [
        line(1_000, "node-2", "pool_taken pool=p term=1 epoch=11"),
        line(2_000, "node-2", other),
        submitted(5_000, "accepted"),
        line(66_500, "node-1", "node_gone node=node-2"),
    ]
    .concat();
    let wanted = [
        "another node is gone  node=node-2",
        "What became of it: accepted, and not taken in by an owner",
        "Kind of failure: 2,",
        "no owner of its pool shows after 2026-04-29T18:01:06.500Z.",
    ];
    check("never-taken", &log, &wanted).await?;
    Ok(())
}

async fn handed_over() -> Result<()> {
    let log = [
        started_job(),
        line(
            6_000,
            "node-2",
            "pool_offered pool=p strain=9 to=node-3 its_strain=2",
        ),
        line(6_010, "node-2", "pool_left pool=p epoch=11 end=Stopped"),
        line(6_020, "node-2", "pool_released pool=p outcome=Ok(())"),
        line(6_100, "node-3", "pool_taken pool=p term=2 epoch=20"),
    ]
    .concat();
    let wanted = [
        "node-2  pool offered to a node with more processor time  pool=p strain=9 to=node-3",
        "node-2  pool released for another node to take  pool=p",
        "node-3  pool taken: this node owns it now  pool=p term=2 epoch=20",
        "Likeliest cause: these lines show no failure.",
    ];
    check("handed-over", &log, &wanted).await?;
    Ok(())
}

async fn no_room() -> Result<()> {
    let log = [
        line(1_000, "node-2", "pool_taken pool=p term=1 epoch=11"),
        submitted(5_000, "accepted"),
        taken(5_010, "node-2", 20, false),
        line(
            5_500,
            "node-2",
            "pool_needs pool=p want=9 keep=2 hold=2 has=4 sent=0",
        ),
        line(
            5_600,
            "node-3",
            "pool_needs pool=other want=7 keep=2 hold=2 has=1 sent=0",
        ),
        line(
            6_000,
            "node-3",
            "vm_moved vm=vm-1 from=other to=p token=3 outcome=Ok(())",
        ),
    ]
    .concat();
    let wanted = [
        "VM moved to another pool  vm=vm-1",
        "taken in, and no task started",
        "Kind of failure: 2,",
        "its pool had no room: it wanted 9 VMs and had 4.",
    ];
    let text = check("no-room", &log, &wanted).await?;
    ensure!(!text.contains("pool=other"), "{text}");
    Ok(())
}

/// A hall was cordoned before the job was submitted, another one was released before it.
async fn cordoned_hall() -> Result<()> {
    let log = [
        line(1_000, "node-2", "pool_taken pool=p term=1 epoch=11"),
        line(
            2_000,
            "node-2",
            "hall_cordon_in_force pool=p hall=h-1 runners=4 tasks=2 age_ms=0",
        ),
        line(
            2_100,
            "node-2",
            "hall_cordon_in_force pool=p hall=h-2 runners=4 tasks=2 age_ms=0",
        ),
        line(3_000, "node-2", "hall_cordon_over pool=p hall=h-2"),
        submitted(5_000, "accepted"),
        taken(5_010, "node-2", 20, false),
    ]
    .concat();
    let wanted = [
        "data hall cordoned: no starts there  pool=p hall=h-1",
        "Kind of failure: 2,",
        "its pool has runners in cordoned data halls, which get no starts (h-1 since ",
    ];
    let text = check("cordoned", &log, &wanted).await?;
    ensure!(!text.contains("h-2 since"), "{text}");
    Ok(())
}

async fn unclear_starts() -> Result<()> {
    let log = [
        line(1_000, "node-2", "pool_taken pool=p term=1 epoch=11"),
        submitted(5_000, "accepted"),
        taken(5_010, "node-2", 20, false),
        ordered(7_000, 1, "r-1", "Unclear"),
        ordered(9_000, 1, "r-2", "Started"),
    ]
    .concat();
    let wanted = [
        "start without an answer",
        "Kind of failure: 2,",
        "it began 4010 ms after its submission: 1 of its starts had no answer from the runner.",
    ];
    check("unclear-starts", &log, &wanted).await?;
    Ok(())
}

async fn start_sent_again() -> Result<()> {
    let log = [started_job(), ordered(5_040, 1, "r-1", "Started")].concat();
    check("sent-again", &log, &["0 runs lost", "show no failure"]).await?;
    Ok(())
}

async fn lasting_task_away() -> Result<()> {
    let log = [
        started_job(),
        line(
            20_000,
            "node-2",
            "runner_lost runner=r-1 error=\"no answer\"",
        ),
        line(21_000, "node-2", "pool_left pool=p epoch=11 end=Deposed"),
        line(22_000, "node-3", "pool_taken pool=p term=2 epoch=20"),
        taken(22_010, "node-3", 17_020, true),
        line(
            22_020,
            "node-3",
            "runner_silent pool=p epoch=20 runner=r-1 tasks=1 wait_ms=8000",
        ),
        line(30_020, "node-3", "runner_gone runner=r-1 why=silent"),
        ordered(30_030, 2, "r-2", "Started"),
        line(30_040, "node-3", "runner_silence_over runner=r-1"),
    ]
    .concat();
    let wanted = [
        "node-2  runner gave no answer  runner=r-1 error=\"no answer\"",
        "node-2  pool left: another node owned it already  pool=p",
        "node-3  pool taken: this node owns it now  pool=p term=2 epoch=20",
        "node-3  runner silent: it may still run tasks  pool=p epoch=20 runner=r-1",
        "node-3  runner's silence is over  runner=r-1",
        "1 task started, 1 run lost, 0 of them not started again",
        "Kind of failure: 3,",
        "runner r-1 of task 65bd3cee1af65aae.0.0.0 stayed silent until its lease was over (first sign \
         at 2026-04-29T18:00:20.000Z), while the pool changed its owner (node-3 took it at \
         2026-04-29T18:00:22.000Z); the task was started again 10030 ms later.",
    ];
    check("lasting", &log, &wanted).await?;
    Ok(())
}

async fn not_started_again() -> Result<()> {
    let log = [
        started_job(),
        line(20_000, "node-2", "runner_gone runner=r-1 why=down"),
        line(21_000, "node-2", "runner_gone runner=r-9 why=down"),
    ]
    .concat();
    let wanted = [
        "1 run lost, 1 of them not started again",
        "Kind of failure: 3,",
        "went down with its VM, for maintenance or a move",
        "the task is away unless it was done before.",
    ];
    let text = check("not-again", &log, &wanted).await?;
    ensure!(!text.contains("r-9"), "another runner's line: {text}");
    Ok(())
}

async fn one_missed_answer() -> Result<()> {
    let lost = line(
        20_000,
        "node-2",
        "runner_lost runner=r-1 error=\"no answer\"",
    );
    let log = [started_job(), lost].concat();
    check("missed", &log, &["0 runs lost", "show no failure"]).await?;
    Ok(())
}

async fn failing_runner() -> Result<()> {
    let log = [
        started_job(),
        ordered(6_000, 2, "r-1", "Started"),
        ordered(7_000, 3, "r-1", "Started"),
    ]
    .concat();
    let wanted = [
        "Kind of failure: 3,",
        "2 runs of task 65bd3cee1af65aae.0.0.0 ended by themselves, all on r-1: look at it.",
    ];
    check("failing-runner", &log, &wanted).await?;
    Ok(())
}

async fn failing_job() -> Result<()> {
    let log = [
        started_job(),
        ordered(6_000, 2, "r-2", "Started"),
        ordered(7_000, 3, "r-3", "Started"),
    ]
    .concat();
    let wanted = ["Kind of failure: 3,", "look at the job itself."];
    check("failing-job", &log, &wanted).await?;
    Ok(())
}

async fn cancelled() -> Result<()> {
    let log = [
        started_job(),
        line(
            8_000,
            "node-2",
            &format!("job_cancelled job={JOB} key_revision=40"),
        ),
        line(
            8_010,
            "node-2",
            &format!("task_stopped task={JOB}.0.0.0 run=1 runner=r-1 outcome=done"),
        ),
    ]
    .concat();
    let wanted = [
        "What became of it: cancelled, with 1 task started.",
        "Likeliest cause: a cancel was handed in.",
    ];
    check("cancelled", &log, &wanted).await?;
    Ok(())
}

async fn begun_before() -> Result<()> {
    let log = taken(22_010, "node-3", 17_020, true);
    let text = check("before", &log, &["it had begun before these lines."]).await?;
    ensure!(!text.contains("Kind of failure"), "{text}");
    let next = ordered(22_020, 1, "r-1", "Started");
    check("before-next", &[log, next].concat(), &["show no failure"]).await?;
    Ok(())
}

async fn others_stay_out() -> Result<()> {
    let log = [
        started_job(),
        line(
            5_100,
            "node-2",
            "job_taken job=other queue=q pool=p age_ms=9000 restored=false",
        ),
        line(
            5_200,
            "node-2",
            "task_ordered task=other.0.0.0 run=1 runner=r-1 epoch=11 took_ms=2 outcome=Started",
        ),
        line(5_300, "node-3", "pool_left pool=p2 epoch=3 end=Stopped"),
        line(
            2_000,
            "node-2",
            "runner_lost runner=r-1 error=\"before the job\"",
        ),
        line(600_000, "node-3", "pool_taken pool=p term=9 epoch=90"),
    ]
    .concat();
    let text = check("others", &log, &["show no failure"]).await?;
    let rows = text.lines().take_while(|row| !row.is_empty()).count();
    ensure!(rows == 4, "{text}");
    Ok(())
}

async fn ordered_by_time() -> Result<()> {
    let lines = started_job();
    let mut lines: Vec<&str> = lines.lines().collect();
    lines.reverse();
    let first = NodeLog::write("time-1", &lines[..2].join("\n"))?;
    let second = NodeLog::write("time-2", &lines[2..].join("\n"))?;
    let (first, second) = (
        first.0.display().to_string(),
        second.0.display().to_string(),
    );
    let run = run_command(&["explain", JOB, "--log", &first, "--log", &second]).await?;
    let whole = check("time", &started_job(), &[]).await?;
    ensure!(run.text == whole, "{}\ninstead of\n{whole}", run.text);
    Ok(())
}

async fn unknown_events() -> Result<()> {
    let unknown = line(5_005, "node-2", &format!("new_event job={JOB} more=1"));
    let log = [started_job(), unknown].concat();
    let text = check("unknown", &log, &["Lines read: 5, not log lines: 0"]).await?;
    ensure!(!text.contains("more=1"), "{text}");
    Ok(())
}

async fn broken_lines() -> Result<()> {
    let long = format!("time={} \n", "x".repeat(200_000));
    let broken = [
        "no line at all\n",
        "time=yesterday level=INFO process=node-1 event=pool_taken pool=p\n",
        "time=2026-04-29T18:00:05.000Z level=INFO process=node-1\n",
        "time=2026-04-29T18:00:05.000Z level=INFO process=node-1 event=job_taken job=\"65bd3\n",
        "time=2026-04-29T18:00:05.000Z level=INFO process=node-1 event=task_ordered task=x run=1\n",
        "time=2026-04-29T18:00:05.000Z level=INFO process=node-1 event=runner_lost \u{fffd}\n",
        &long,
    ];
    let log = [broken.concat(), started_job()].concat();
    let wanted = ["show no failure", "Lines read: 11, not log lines: 7,"];
    check("broken", &log, &wanted).await?;
    Ok(())
}

async fn words_before() -> Result<()> {
    let plain = check("plain", &started_job(), &[]).await?;
    let prefixed: String = started_job()
        .lines()
        .map(|line| format!("  -4.95 node-9 {line}\n"))
        .collect();
    let text = check("prefixed", &prefixed, &[]).await?;
    ensure!(text == plain, "{text}\ninstead of\n{plain}");
    Ok(())
}

async fn standard_input() -> Result<()> {
    let plain = check("file", &started_job(), &[]).await?;
    let log = NodeLog::write("input", &started_job())?;
    let run = run_command_on(&["explain", JOB, "--log", "-"], &log.0).await?;
    ensure!(run.code == Some(0) && run.text == plain, "{}", run.text);
    Ok(())
}

async fn empty_input() -> Result<()> {
    let run = run_command(&["explain", JOB, "--log", "-"]).await?;
    ensure!(run.code == Some(1), "{:?} {}", run.code, run.text);
    ensure!(run.text.contains("0 lines read"), "{}", run.text);
    ensure!(
        run.text.contains("give the logs of all nodes"),
        "{}",
        run.text
    );
    Ok(())
}

async fn unknown_id() -> Result<()> {
    let log = started_job().replace(JOB, "another");
    let run = explain("unknown-id", &log).await?;
    ensure!(run.code == Some(1), "{:?} {}", run.code, run.text);
    let wanted = format!("no line names {JOB}, of 4 lines read, 0 of them not log lines");
    ensure!(run.text.contains(&wanted), "{}", run.text);
    Ok(())
}

async fn missing_file() -> Result<()> {
    let run = run_command(&["explain", JOB, "--log", "/nowhere/node.log"]).await?;
    ensure!(run.code == Some(1), "{:?} {}", run.code, run.text);
    ensure!(
        run.text.contains("/nowhere/node.log: can't be read"),
        "{}",
        run.text
    );
    Ok(())
}

async fn no_log() -> Result<()> {
    let run = run_command(&["explain", JOB]).await?;
    ensure!(run.code == Some(2), "{:?} {}", run.code, run.text);
    ensure!(run.text.contains("add --log FILE"), "{}", run.text);
    Ok(())
}
