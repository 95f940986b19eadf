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
    submitted, //
};

cases! {
    refusal_names_the_loss_of_the_store => refused_store_lost();
    refusal_names_the_error_of_the_writes => refused_writes();
    refusal_names_the_configuration_without_the_queue => refused_no_queue();
    refusal_names_the_age_of_the_configuration => refused_unconfirmed();
    unclear_answer_names_the_write => unclear_answer();
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
