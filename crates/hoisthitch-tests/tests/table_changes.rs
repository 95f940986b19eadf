//! Changes of the table, while operators race, responses are lost, watches get no events, and the
//! store is unavailable or is restored from an older backup.

use std::time::Duration;

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_core::RowEdit;
use hoisthitch_tests::{
    Fleet,
    FleetPlan,
    PoolPlan,
    TestRequest,
    cases,
    wait_until, //
};
use serde_json::json;
use tokio::time::Instant;

/// Port of the proxy in front of the store.
const PROXY_PORT: u16 = 9_600;

/// Unused ports that entries advertise as mesh addresses, so that they don't find one another.
const UNUSED_PORT: u16 = 9_700;

/// Time within which an accepted change must be in effect in every entry.
const EFFECT_LIMIT: Duration = Duration::from_secs(9);

cases! {
    second_edit_of_a_row_is_refused_with_both_versions => same_row();
    edits_of_two_rows_merge => two_rows();
    lost_answer_of_an_edit_is_recognised => lost_answer();
    edit_while_the_store_is_out_changes_nothing => store_out();
    entry_cut_off_from_the_store_hears_from_peers => cut_off();
    dead_watches_delay_a_change_by_seconds_only => dead_watches();
    entry_born_in_an_outage_has_the_table_and_refuses_work => born_in_outage();
    store_that_comes_back_older_is_put_right => older_store();
    edit_on_an_older_store_keeps_what_was_accepted => edit_on_older_store();
    edit_that_breaks_a_rule_names_row_and_column => bad_edit();
    many_racing_edits_converge => racing();
    malformed_table_in_the_store_is_not_applied => malformed_table();
}

async fn fleet_of(entries: usize) -> Result<Fleet> {
    Fleet::start(FleetPlan {
        entries,
        pools: vec![PoolPlan::new("quotes", 1), PoolPlan::new("picking", 1)],
        ..FleetPlan::default()
    })
    .await
}

async fn same_row() -> Result<()> {
    let fleet = fleet_of(2).await?;
    let table = fleet.table(0).await?;
    let row = table.pool("quotes").ok_or_eyre("row")?;
    let mine = RowEdit::PutPool(row.with_cell("queue_limit", "11")?);
    let theirs = RowEdit::PutPool(row.with_cell("queue_limit", "22")?);
    let first = actix_rt::spawn(fleet_edit(&fleet, 0, mine));
    let second = fleet_edit(&fleet, 1, theirs).await?;
    let first = first.await??;
    let mut statuses = [first.status, second.status];
    statuses.sort_unstable();
    ensure!(statuses == [200, 409], "{statuses:?}");
    let refused = if first.status == 409 { first } else { second };
    let text = refused.text();
    ensure!(text.contains("yours") && text.contains("theirs"), "{text}");
    ensure!(text.contains("11") && text.contains("22"), "{text}");
    Ok(())
}

fn fleet_edit(
    fleet: &Fleet,
    entry: usize,
    edit: RowEdit,
) -> impl Future<Output = Result<hoisthitch_tests::TestResponse>> + use<> {
    fleet.edit_call(entry, vec![edit])
}

async fn two_rows() -> Result<()> {
    let fleet = fleet_of(2).await?;
    let table = fleet.table(0).await?;
    let quotes = table.pool("quotes").ok_or_eyre("row")?;
    let picking = table.pool("picking").ok_or_eyre("row")?;
    let quotes = RowEdit::PutPool(quotes.with_cell("queue_limit", "11")?);
    let picking = RowEdit::PutPool(picking.with_cell("queue_limit", "22")?);
    let first = actix_rt::spawn(fleet_edit(&fleet, 0, quotes));
    let second = fleet_edit(&fleet, 1, picking).await?;
    ensure!(first.await??.status == 200 && second.status == 200);
    let table = fleet.stored_table().await?;
    ensure!(
        table
            .pool("quotes")
            .is_some_and(|row| row.queue_limit == 11)
    );
    ensure!(
        table
            .pool("picking")
            .is_some_and(|row| row.queue_limit == 22)
    );
    Ok(())
}

async fn lost_answer() -> Result<()> {
    let fleet = fleet_of(2).await?;
    let before = fleet.stored_table().await?.revision;
    fleet.set_faults(json!({"lose_answers": 1})).await?;
    let response = fleet.set_cell(0, "quotes", "queue_limit", "33").await?;
    ensure!(response.status == 200, "{}", response.text());
    let table = fleet.stored_table().await?;
    ensure!(table.revision == before + 1, "revision {}", table.revision);
    fleet.wait_for_revision(1, table.revision).await
}

async fn store_out() -> Result<()> {
    let fleet = fleet_of(2).await?;
    let before = fleet.table(0).await?;
    fleet.set_faults(json!({"outage": true})).await?;
    let response = fleet.set_cell(0, "quotes", "queue_limit", "33").await?;
    ensure!(response.status >= 500, "{}", response.text());
    for entry in 0..2 {
        ensure!(fleet.table(entry).await? == before);
        let url = fleet.caller_url(entry, "/quotes/1");
        ensure!(TestRequest::get(&url).send().await?.status == 200);
    }
    fleet.set_faults(json!({})).await?;
    ensure!(fleet.stored_table().await? == before);
    Ok(())
}

async fn cut_off() -> Result<()> {
    let mut fleet = fleet_of(2).await?;
    let platform = fleet.own_address(2_379);
    let _proxy = fleet.start_proxy(PROXY_PORT, platform).await?;
    let store = format!("http://{}", fleet.own_address(PROXY_PORT));
    let vms = fleet.platform_url("");
    fleet.start_entry_at(1, &store, &vms)?;
    fleet.wait_for_routes().await?;
    fleet.set_proxy(PROXY_PORT, json!({"cut": true})).await?;
    let started = Instant::now();
    let response = fleet.set_cell(0, "quotes", "queue_limit", "44").await?;
    ensure!(response.status == 200, "{}", response.text());
    let revision = fleet.table(0).await?.revision;
    fleet.wait_for_revision(1, revision).await?;
    ensure!(
        started.elapsed() < EFFECT_LIMIT,
        "took {:?}",
        started.elapsed()
    );
    println!("in force by peers alone after {:?}", started.elapsed());
    Ok(())
}

/// With neither watches nor peers, entries learn of the change only by their regular reads of the
/// store.
async fn dead_watches() -> Result<()> {
    let fleet = Fleet::start(FleetPlan {
        mesh_proxy_port: UNUSED_PORT,
        ..FleetPlan::default()
    })
    .await?;
    fleet.set_faults(json!({"silent_watches": true})).await?;
    let before = fleet.table(1).await?.revision;
    let started = Instant::now();
    let response = fleet.set_cell(0, "quotes", "queue_limit", "55").await?;
    ensure!(response.status == 200, "{}", response.text());
    fleet.wait_for_revision(1, before + 1).await?;
    ensure!(
        started.elapsed() < EFFECT_LIMIT,
        "took {:?}",
        started.elapsed()
    );
    Ok(())
}

async fn born_in_outage() -> Result<()> {
    let mut fleet = fleet_of(1).await?;
    let table = fleet.table(0).await?;
    fleet.set_faults(json!({"outage": true})).await?;
    fleet.start_entry(1)?;
    wait_until("the table from a peer", || async {
        (fleet.table(1).await.ok()? == table).then_some(())
    })
    .await?;
    let url = fleet.caller_url(1, "/quotes/1");
    let response = TestRequest::get(&url).send().await?;
    ensure!(response.status == 503 && response.outcome() == "not-run");
    ensure!(response.header("retry-after").is_some());
    fleet.set_faults(json!({})).await?;
    fleet.wait_for_routes().await?;
    ensure!(TestRequest::get(&url).send().await?.status == 200);
    Ok(())
}

async fn older_store() -> Result<()> {
    let fleet = fleet_of(2).await?;
    post_platform(&fleet, "/standin/save").await?;
    let response = fleet.set_cell(0, "quotes", "queue_limit", "66").await?;
    ensure!(response.status == 200);
    let accepted = fleet.table(0).await?;
    post_platform(&fleet, "/standin/restore").await?;
    ensure!(fleet.stored_table().await?.revision < accepted.revision);
    wait_until("the accepted table in the store", || async {
        let stored = fleet.stored_table().await.ok()?;
        (stored.pools == accepted.pools).then_some(())
    })
    .await?;
    for entry in 0..2 {
        ensure!(fleet.table(entry).await?.pools == accepted.pools);
    }
    Ok(())
}

async fn edit_on_older_store() -> Result<()> {
    let fleet = fleet_of(2).await?;
    post_platform(&fleet, "/standin/save").await?;
    fleet.set_cell(0, "quotes", "queue_limit", "66").await?;
    post_platform(&fleet, "/standin/restore").await?;
    let response = fleet.set_cell(0, "picking", "queue_limit", "77").await?;
    ensure!(response.status == 200, "{}", response.text());
    let table = fleet.stored_table().await?;
    ensure!(
        table
            .pool("quotes")
            .is_some_and(|row| row.queue_limit == 66)
    );
    ensure!(
        table
            .pool("picking")
            .is_some_and(|row| row.queue_limit == 77)
    );
    fleet.wait_for_revision(1, table.revision).await
}

async fn post_platform(fleet: &Fleet, path: &str) -> Result<()> {
    let response = TestRequest::post(&fleet.platform_url(path), b"")
        .send()
        .await?;
    ensure!(response.status == 204, "{path}: {}", response.status);
    Ok(())
}

async fn bad_edit() -> Result<()> {
    let fleet = fleet_of(1).await?;
    let before = fleet.table(0).await?;
    let response = fleet.set_cell(0, "quotes", "slots_per_runner", "0").await?;
    ensure!(response.status == 422);
    let text = response.text();
    ensure!(
        text.contains("quotes") && text.contains("slots_per_runner"),
        "{text}"
    );
    let response = fleet.set_cell(0, "quotes", "path", "picking").await?;
    ensure!(response.status == 422 && response.text().contains("two rows"));
    ensure!(fleet.table(0).await? == before);
    Ok(())
}

async fn racing() -> Result<()> {
    const EDITS: u32 = 20;
    let fleet = fleet_of(3).await?;
    let mut accepted = 0;
    for round in 0..EDITS {
        let mut calls = Vec::new();
        for (entry, pool) in [(0, "quotes"), (1, "quotes"), (2, "picking")] {
            let table = fleet.table(entry).await?;
            let row = table.pool(pool).ok_or_eyre("row")?;
            let row = row.with_cell("queue_limit", &(100 + round).to_string())?;
            calls.push(fleet.edit_call(entry, vec![RowEdit::PutPool(row)]));
        }
        for call in calls.into_iter().map(actix_rt::spawn).collect::<Vec<_>>() {
            let status = call.await??.status;
            ensure!(status == 200 || status == 409, "status {status}");
            accepted += u64::from(status == 200);
        }
    }
    let stored = fleet.stored_table().await?;
    ensure!(
        stored.revision == accepted + 1,
        "{} for {accepted}",
        stored.revision
    );
    for entry in 0..3 {
        fleet.wait_for_revision(entry, stored.revision).await?;
        ensure!(fleet.table(entry).await? == stored);
    }
    Ok(())
}

async fn malformed_table() -> Result<()> {
    let fleet = fleet_of(2).await?;
    let before = fleet.table(0).await?;
    fleet
        .overwrite_table(b"{\"revision\": 99, \"pools\": 7}")
        .await?;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for entry in 0..2 {
        ensure!(fleet.table(entry).await? == before);
        let url = fleet.caller_url(entry, "/quotes/1");
        ensure!(TestRequest::get(&url).send().await?.status == 200);
    }
    Ok(())
}
