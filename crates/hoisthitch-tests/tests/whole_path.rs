//! The whole path: a request is served from one end to the other, and a change
//! of the table comes into force in every entry.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_core::RowEdit;
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    TestRequest,
    cases,
    wait_until, //
};

cases! {
    post_and_get_come_back => post_and_get();
    change_of_a_limit_reaches_both_entries => change_limit();
    operators_calls_need_the_token => token_needed();
    unknown_path_and_team_are_not_run => unknown_names();
}

async fn post_and_get() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    for entry in 0..2 {
        let url = fleet.caller_url(entry, "/quotes/basket?week=3");
        let answer = TestRequest::post(&url, b"milk").send().await?;
        ensure!(answer.status == 200, "status {}", answer.status);
        ensure!(answer.body == b"milk");
        ensure!(answer.outcome() == "ran");
        let answer = TestRequest::get(&url).send().await?;
        ensure!(answer.status == 200);
        ensure!(answer.outcome() == "ran");
    }
    Ok(())
}

async fn change_limit() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    let table = fleet.table(0).await?;
    let row = table.pool("quotes").ok_or_eyre("row")?;
    let row = row.with_cell("in_flight_limit", "5")?;
    let answer = fleet.edit(0, vec![RowEdit::PutPool(row)]).await?;
    ensure!(answer.status == 200, "{}", answer.text());
    for entry in 0..2 {
        wait_until("the limit in force", || async {
            let status = fleet.status(entry).await.ok()?;
            (status.pools[0].in_flight_limit == 5).then_some(())
        })
        .await?;
    }
    Ok(())
}

async fn token_needed() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    let answer = TestRequest::get(&fleet.operator_url(0, "/table"))
        .send()
        .await?;
    ensure!(answer.status == 401);
    let answer = TestRequest::get(&fleet.caller_url(0, "/table"))
        .send()
        .await?;
    ensure!(answer.status == 404);
    Ok(())
}

async fn unknown_names() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    let answer = TestRequest::get(&fleet.caller_url(0, "/nothing"))
        .send()
        .await?;
    ensure!(answer.status == 404 && answer.outcome() == "not-run");
    let request = TestRequest::get(&fleet.caller_url(0, "/quotes/1"));
    let answer = request.header("hoisthitch-team", "nobody").send().await?;
    ensure!(answer.status == 403 && answer.outcome() == "not-run");
    Ok(())
}
