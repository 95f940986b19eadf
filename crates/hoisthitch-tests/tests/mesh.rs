//! The mesh between entries.
//!
//! Peers with unknown keys, other versions and malformed frames must be refused and logged. Neither
//! they nor lost, late and duplicated datagrams may affect the service of the entries.

use std::{
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

use eyre::{
    Result,
    ensure,
    eyre, //
};
use hoisthitch_tests::{
    ChildProcess,
    Fleet,
    FleetPlan,
    TestRequest,
    cases,
    wait_until, //
};
use hoisthitch_wire::MeshKeys;
use quinn::Endpoint;
use serde_json::json;

/// Port of the proxy in front of the first entry's mesh address.
const PROXY_PORT: u16 = 9_700;

cases! {
    stranger_is_refused => stranger();
    old_version_is_refused => bytes_refused(&[0, 2, 0, 0, 0, 1, 2], "version 0");
    later_version_is_refused => bytes_refused(&[9, 2, 0, 0, 0, 1, 2], "version 9");
    oversize_frame_is_refused => bytes_refused(&[1, 255, 255, 255, 127, 0], "2147483647");
    garbage_is_refused => bytes_refused(&[1, 4, 0, 0, 0, 99, 99, 99, 99], "frame");
    first_frame_must_be_a_hello => bytes_refused(&[1, 1, 0, 0, 0, 3], "hello");
    delayed_and_doubled_datagrams_do_no_harm => rough_network();
    cut_mesh_heals => cut_and_healed();
}

async fn stranger() -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    let other = fleet.folder().join("other");
    let args: Vec<String> = ["keys", "--out", &other.display().to_string(), "entry-1"]
        .iter()
        .map(|part| (*part).to_owned())
        .collect();
    let mut child = ChildProcess::start("hoisthitch", &args, &fleet.folder().join("other.log"))?;
    ensure!(child.ended().await?.success());
    let sent = send_bytes(&fleet, &other, &[1, 0, 0, 0, 0]).await;
    wait_for_log(&fleet, "event=peer_refused").await?;
    drop(sent);
    serves(&fleet).await
}

async fn bytes_refused(bytes: &[u8], reason: &str) -> Result<()> {
    let fleet = Fleet::start(FleetPlan::default()).await?;
    let keys = fleet.folder().join("keys");
    let _connection = send_bytes(&fleet, &keys, bytes).await?;
    wait_for_log(&fleet, "event=peer_refused").await?;
    let log = fleet.entries[0].log()?;
    let line = log.lines().find(|line| line.contains("event=peer_refused"));
    ensure!(line.is_some_and(|line| line.contains(reason)), "{line:?}");
    serves(&fleet).await
}

/// Connects to the first entry with the keys in a folder, and sends raw bytes.
async fn send_bytes(
    fleet: &Fleet,
    keys: &Path,
    bytes: &[u8],
) -> Result<(Endpoint, quinn::Connection)> {
    let keys = MeshKeys::load(
        &keys.join("entry-1.pem"),
        &keys.join("entry-1.key"),
        &fleet.folder().join("keys/authority.pem"),
    )?;
    let mut endpoint = Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    endpoint.set_default_client_config(keys.client()?);
    let connection = endpoint.connect(fleet.mesh_address(0), "entry-1")?.await?;
    let mut stream = connection.open_uni().await?;
    stream.write_all(bytes).await?;
    stream.finish().map_err(|err| eyre!("{err}"))?;
    Ok((endpoint, connection))
}

async fn wait_for_log(fleet: &Fleet, text: &str) -> Result<()> {
    wait_until(text, || async {
        let log = fleet.entries[0].log().ok()?;
        log.contains(text).then_some(())
    })
    .await
}

/// Checks that both entries serve, and that a change of the table at one reaches the other.
async fn serves(fleet: &Fleet) -> Result<()> {
    for entry in 0..2 {
        let url = fleet.caller_url(entry, "/quotes/1");
        ensure!(TestRequest::get(&url).send().await?.status == 200);
    }
    let response = fleet.set_cell(0, "quotes", "queue_limit", "77").await?;
    ensure!(response.status == 200);
    let revision = fleet.table(0).await?.revision;
    fleet.wait_for_revision(1, revision).await
}

async fn proxied() -> Result<(Fleet, Vec<ChildProcess>)> {
    let fleet = Fleet::start(FleetPlan {
        mesh_proxy_port: PROXY_PORT,
        ..FleetPlan::default()
    })
    .await?;
    let mut proxies = Vec::new();
    for entry in 0..2 {
        let port = PROXY_PORT + 2 * entry;
        let to = fleet.mesh_address(usize::from(entry));
        proxies.push(fleet.start_udp_proxy(port, to).await?);
    }
    Ok((fleet, proxies))
}

/// The store and the list of VMs are unavailable, so that only the mesh can confirm the entries'
/// view, while datagrams are late and duplicated.
async fn rough_network() -> Result<()> {
    let (fleet, _proxies) = proxied().await?;
    for entry in 0..2 {
        let plan = json!({"delay_ms": 80, "double": true});
        fleet.set_proxy(PROXY_PORT + 2 * entry, plan).await?;
    }
    wait_for_log(&fleet, "event=peer_connected").await?;
    fleet.set_faults(json!({"outage": true})).await?;
    fleet.set_list(json!({"outage": true})).await?;
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(400)).await;
        for entry in 0..2 {
            let url = fleet.caller_url(entry, "/quotes/1");
            let response = TestRequest::get(&url).send().await?;
            ensure!(response.status == 200, "{}", response.text());
        }
    }
    Ok(())
}

async fn cut_and_healed() -> Result<()> {
    let (fleet, _proxies) = proxied().await?;
    wait_for_links(&fleet, |links| links > 0).await?;
    for entry in 0..2 {
        let plan = json!({"hold_forward": true, "hold_back": entry == 0});
        fleet.set_proxy(PROXY_PORT + 2 * entry, plan).await?;
    }
    // All links must go down: one that survives the cut would recover unnoticed.
    wait_for_links(&fleet, |links| links == 0).await?;
    serves(&fleet).await?;
    for entry in 0..2 {
        fleet.set_proxy(PROXY_PORT + 2 * entry, json!({})).await?;
    }
    wait_for_links(&fleet, |links| links > 0).await?;
    serves(&fleet).await
}

/// Waits until the number of mesh connections of each entry satisfies `wanted`.
async fn wait_for_links(fleet: &Fleet, wanted: impl Fn(u64) -> bool) -> Result<()> {
    for entry in 0..2 {
        wait_until("the mesh connections", || async {
            let metrics = TestRequest::get(&fleet.operator_url(entry, "/metrics"))
                .send()
                .await;
            let metrics = metrics.ok()?.text();
            let mut lines = metrics.lines();
            let links = lines.find_map(|line| line.strip_prefix("hoisthitch_mesh_links "))?;
            wanted(links.parse().ok()?).then_some(())
        })
        .await?;
    }
    Ok(())
}
