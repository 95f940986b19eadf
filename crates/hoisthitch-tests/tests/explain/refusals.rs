//! Stories of submissions that were refused, or whose outcome is unknown.

use eyre::{
    Result,
    ensure, //
};
use hoisthitch_tests::cases;

use crate::log::{
    JOB,
    check,
    line,
    started_job,
    submitted, //
};

cases! {
    refusal_names_the_loss_of_the_store => refused_store_lost();
    refusal_names_the_error_of_the_writes => refused_writes();
    refusal_names_the_configuration_without_the_queue => refused_no_queue();
    refusal_names_the_age_of_the_configuration => refused_unconfirmed();
    unclear_answer_names_the_write => unclear_answer();
    refusal_for_want_of_room_names_the_pool_and_the_waits => refused_pool_full();
    refusal_for_a_team_s_excess_names_the_team => refused_team_excess();
    refusal_while_all_halls_are_cordoned_names_the_node => refused_cordoned();
    refusal_of_another_team_s_identifier_says_so => refused_foreign();
    job_that_was_refused_while_halls_were_cordoned_and_ran_later_is_no_refusal => cordoned_then_accepted();
    job_that_another_team_asked_for_keeps_its_story => foreign_beside_own();
    job_that_was_refused_first_and_ran_later_is_no_refusal => refused_then_accepted();
}

async fn refused_store_lost() -> Result<()> {
    let log = [
        line(
            1_000,
            "node-1",
            "follow_lost prefix=jobs/ error=\"no answer within 1 s\"",
        ),
        line(
            1_100,
            "node-1",
            "follow_lost prefix=old/ error=\"no answer within 1 s\"",
        ),
        line(
            2_000,
            "node-1",
            "follow_regained prefix=old/ values=1 failures=2 lost_ms=900",
        ),
        line(
            2_500,
            "node-3",
            "follow_lost prefix=jobs/ error=\"another node's\"",
        ),
        line(
            3_000,
            "node-3",
            "follow_regained prefix=jobs/ values=1 failures=2 lost_ms=500",
        ),
        line(
            4_000,
            "node-1",
            "member_not_renewed node=node-1 error=\"no answer\"",
        ),
        submitted(5_000, "store_lost"),
        line(
            9_000,
            "node-1",
            "follow_regained prefix=jobs/ values=3 failures=8 lost_ms=8000",
        ),
    ]
    .concat();
    let text = check("store-lost", &log, &[]).await?;
    let story = "\
        2026-04-29T18:00:01.000Z  node-1  store lost  prefix=jobs/ error=\"no answer within 1 s\"\n\
        2026-04-29T18:00:04.000Z  node-1  membership not renewed  node=node-1 error=\"no answer\"\n\
        2026-04-29T18:00:05.000Z  node-1  submission refused: the store was lost  call=submit \
        job=65bd3cee1af65aae queue=q policy=4 took_ms=10 outcome=store_lost\n\
        2026-04-29T18:00:09.000Z  node-1  store regained  prefix=jobs/ values=3 failures=8 lost_ms=8000\n\
        \n\
        What became of it: refused: it never ran.\n\
        Kind of failure: 1, a submission was refused or had no clear answer.\n\
        Likeliest cause: node-1 had no answer from the store since 2026-04-29T18:00:01.000Z, and refused at once.\n\
        Lines read: 8, not log lines: 0, dropped for want of memory: 0.\n";
    ensure!(text == story, "{text}\ninstead of\n{story}");
    Ok(())
}

/// The line of the refusal was counted as no log line, and nothing told of the submission.
async fn refused_cordoned() -> Result<()> {
    let wanted = [
        "submission refused: all data halls were cordoned",
        "What became of it: refused: it never ran.",
        "Kind of failure: 1,",
        "node-1 knew all data halls as cordoned",
        "not log lines: 0",
    ];
    check("cordoned", &submitted(5_000, "halls_cordoned"), &wanted).await?;
    Ok(())
}

async fn refused_foreign() -> Result<()> {
    let wanted = [
        "submission refused: another team's job has the identifier",
        "What became of it: refused: it never ran.",
        "Kind of failure: 1,",
        "a job of another team has this identifier",
        "not log lines: 0",
    ];
    check("foreign", &submitted(5_000, "foreign"), &wanted).await?;
    Ok(())
}

async fn cordoned_then_accepted() -> Result<()> {
    let log = [submitted(1_000, "halls_cordoned"), started_job()].concat();
    let text = check("cordoned-then", &log, &["not log lines: 0"]).await?;
    ensure!(!text.contains("Kind of failure: 1"), "{text}");
    Ok(())
}

async fn foreign_beside_own() -> Result<()> {
    let log = [started_job(), submitted(9_000, "foreign")].concat();
    let text = check("foreign-beside", &log, &["not log lines: 0"]).await?;
    ensure!(!text.contains("Kind of failure: 1"), "{text}");
    Ok(())
}

async fn refused_writes() -> Result<()> {
    let log = [
        line(
            4_995,
            "node-1",
            "create_failed records=3 error=\"the store said 500\"",
        ),
        submitted(5_000, "refused"),
    ]
    .concat();
    let wanted = [
        "What became of it: refused: it never ran.",
        "Kind of failure: 1,",
        "every write of node-1 was answered with an error (the store said 500).",
    ];
    check("writes", &log, &wanted).await?;
    Ok(())
}

async fn unclear_answer() -> Result<()> {
    let log = [
        line(
            4_995,
            "node-1",
            "create_failed records=3 error=\"no answer within 900 ms\"",
        ),
        submitted(5_000, "unknown"),
    ]
    .concat();
    let wanted = [
        "What became of it: perhaps kept, and not taken in",
        "Kind of failure: 1,",
        "a write of node-1 had no answer (no answer within 900 ms); the job may run.",
    ];
    check("unclear", &log, &wanted).await?;
    Ok(())
}

async fn refused_no_queue() -> Result<()> {
    let call = |method: &str| {
        format!("queue_unknown method={method} host=h.example path=/q/{JOB} policy=4 queues=7")
    };
    // The GET asks only for the job's state, so that its refusal says nothing of the submission.
    let log = [
        line(4_000, "node-1", &call("POST")),
        line(4_100, "node-2", &call("GET")),
    ]
    .concat();
    let wanted = [
        "What became of it: refused: it never ran.",
        "Kind of failure: 1,",
        "submission refused: no such queue",
        "node-1 knows no queue for it by its configuration",
        "policy=4",
    ];
    check("no-queue", &log, &wanted).await?;
    Ok(())
}

async fn refused_unconfirmed() -> Result<()> {
    let event =
        format!("policy_unconfirmed method=POST host=h.example path=/q/{JOB} policy=4 age_ms=2100");
    let wanted = [
        "What became of it: refused: it never ran.",
        "Kind of failure: 1,",
        "node-1 could not confirm its configuration",
        "age_ms=2100",
    ];
    check("unconfirmed", &line(4_000, "node-1", &event), &wanted).await?;
    Ok(())
}

/// The line of a refusal for want of room.
fn no_room(reason: &str, team: &str) -> String {
    format!(
        "job_refused job={JOB} queue=q pool=p team={team} reason={reason} wait_ms=9000 limit_ms=2400 \
         retry_after_ms=1800 report_age_ms=320 epoch=11"
    )
}

async fn refused_pool_full() -> Result<()> {
    let log = [
        line(4_990, "node-1", &no_room("pool_full", "")),
        submitted(5_000, "overloaded"),
    ]
    .concat();
    let wanted = [
        "What became of it: refused: it never ran.",
        "Kind of failure: 1,",
        "submission refused: the job could not end in time",
        "pool p had more work waiting than it serves in time: node-1 expected a start after 9000 ms, \
         and at most 2400 ms were of use; the caller was told to return after 1800 ms (report of the \
         owner with epoch 11, 320 ms old).",
        "not log lines: 0",
    ];
    check("pool-full", &log, &wanted).await?;
    Ok(())
}

async fn refused_team_excess() -> Result<()> {
    let log = [
        line(4_990, "node-1", &no_room("team_excess", "choir")),
        submitted(5_000, "overloaded"),
    ]
    .concat();
    let wanted = ["team choir had more work waiting in pool p than its share or limit serves"];
    check("team-excess", &log, &wanted).await?;
    Ok(())
}

/// A caller that returned in time: the refusal is in the story, and is not its outcome. The line of
/// the pressure that lasts adds nothing to it.
async fn refused_then_accepted() -> Result<()> {
    let pressure =
        |state: &str| format!("intake_pressure pool=p epoch=11 state={state} wait_ms=9000");
    let log = [
        line(2_000, "node-1", &no_room("pool_full", "")),
        submitted(2_010, "overloaded"),
        line(3_000, "node-2", &pressure("lasts")),
        line(4_000, "node-2", &pressure("ends")),
        started_job(),
    ]
    .concat();
    let wanted = [
        "no room in time: not stored",
        "pool no longer under pressure",
        "1 task started",
        "these lines show no failure",
        "not log lines: 0",
    ];
    let story = check("refused-accepted", &log, &wanted).await?;
    ensure!(!story.contains("state=lasts"), "{story}");
    Ok(())
}
