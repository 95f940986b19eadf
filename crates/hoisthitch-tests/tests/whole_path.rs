//! The path from end to end: a request is served through an entry by a runner, and a change of
//! the table comes into effect in every entry.

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
        let response = TestRequest::post(&url, b"milk").send().await?;
        ensure!(response.status == 200, "status {}", response.status);
        ensure!(response.body == b"milk");
        ensure!(response.outcome() == "ran");
        let response = TestRequest::get(&url).send().await?;
        ensure!(response.status == 200);
        ensure!(response.outcome() == "ran");
    }
    Ok(())
}

async fn change_limit() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    let table = fleet.table(0).await?;
    let row = table.pool("quotes").ok_or_eyre("row")?;
    let row = row.with_cell("in_flight_limit", "5")?;
    let response = fleet.edit(0, vec![RowEdit::PutPool(row)]).await?;
    ensure!(response.status == 200, "{}", response.text());
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
    let response = TestRequest::get(&fleet.operator_url(0, "/table"))
        .send()
        .await?;
    ensure!(response.status == 401);
    let response = TestRequest::get(&fleet.caller_url(0, "/table"))
        .send()
        .await?;
    ensure!(response.status == 404);
    Ok(())
}

async fn unknown_names() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    let response = TestRequest::get(&fleet.caller_url(0, "/nothing"))
        .send()
        .await?;
    ensure!(response.status == 404 && response.outcome() == "not-run");
    let request = TestRequest::get(&fleet.caller_url(0, "/quotes/1"));
    let response = request.header("hoisthitch-team", "nobody").send().await?;
    ensure!(response.status == 403 && response.outcome() == "not-run");
    Ok(())
}
