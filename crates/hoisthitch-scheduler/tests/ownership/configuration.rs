//! The configuration that a node applies to requests: the newest one, until the node ends, and
//! none that may be out of date.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_scheduler::PolicyStatus;
use hoisthitch_tests::world::StoreFaults;

use super::{
    check_invariants,
    world::{
        TestNode,
        TestWorld,
        play,
        sleep_ms, //
    }, //
};

/// Time after which a node no longer applies a configuration that it can't confirm, with a
/// margin, in milliseconds.
const STALE_AFTER_MS: u64 = 3_100;

/// Time in which a node that reaches the store again has confirmed its configuration, in
/// milliseconds: the pause between two attempts, and the rest of one.
const CONFIRMED_AFTER_MS: u64 = 1_500;

cases! {
    policy_is_in_force_everywhere_and_never_goes_back => changes_policy();
    stopped_node_hears_of_changes_to_its_end => changes_after_stop();
    cut_off_node_answers_by_no_old_configuration => cuts_node();
    frozen_node_answers_by_no_old_configuration => freezes_node();
    quiet_store_confirms_the_configuration_for_good => stays_quiet();
}

/// The first node by name.
fn first(world: &TestWorld) -> Result<&TestNode> {
    world.nodes.values().next().ok_or_eyre("there are nodes")
}

/// Version of the configuration that a node applies; none while it refuses requests.
fn applied_version(node: &TestNode) -> Option<u64> {
    match node.shared.policy_status() {
        PolicyStatus::Current(policy) => Some(policy.version),
        PolicyStatus::Missing | PolicyStatus::Unconfirmed { .. } => None,
    }
}

async fn changes_policy() -> Result<()> {
    let world = TestWorld::start(3, 2).await?;
    let cut = world.nodes.keys().next().cloned();
    world.store.set_faults(StoreFaults {
        cut: cut.clone().into_iter().collect(),
        ..StoreFaults::default()
    });
    let versions = |world: &TestWorld| -> Vec<u64> {
        let nodes = world.nodes.values();
        let policies = nodes.map(|node| node.shared.policy.load_full());
        policies
            .map(|now| now.map_or(0, |now| now.version))
            .collect()
    };
    world.store.put("op/policy", Some(b"7"), 0);
    sleep_ms(1_000).await;
    ensure!(versions(&world) == [1, 7, 7], "{:?}", versions(&world));
    // An older version that is written late changes nothing, nor does reading all records again.
    world.store.put("op/policy", Some(b"3"), 0);
    sleep_ms(1_000).await;
    ensure!(versions(&world) == [1, 7, 7], "{:?}", versions(&world));
    world.store.put("op/policy", Some(b"9"), 0);
    world.store.set_faults(StoreFaults::default());
    sleep_ms(2_000).await;
    ensure!(versions(&world) == [9, 9, 9], "{:?}", versions(&world));
    check_invariants(&world)
}

/// A node that is shutting down no longer owns pools, but still answers requests.
async fn changes_after_stop() -> Result<()> {
    let world = TestWorld::start(2, 2).await?;
    let node = first(&world)?;
    node.stop();
    for version in 2..8_u64 {
        sleep_ms(1_000).await;
        let text = version.to_string();
        world.store.put("op/policy", Some(text.as_bytes()), 0);
        sleep_ms(200).await;
        let version_now = applied_version(node);
        ensure!(
            version_now == Some(version),
            "{version_now:?} after version {version}"
        );
    }
    check_invariants(&world)
}

async fn cuts_node() -> Result<()> {
    let world = TestWorld::start(2, 2).await?;
    let cut = world.nodes.keys().next().cloned();
    let node = first(&world)?;
    world.store.set_faults(StoreFaults {
        cut: cut.into_iter().collect(),
        ..StoreFaults::default()
    });
    world.store.put("op/policy", Some(b"2"), 0);
    sleep_ms(STALE_AFTER_MS).await;
    ensure!(
        applied_version(node).is_none(),
        "{:?}",
        applied_version(node)
    );
    ensure!(!node.shared.is_ready());
    world.store.set_faults(StoreFaults::default());
    sleep_ms(CONFIRMED_AFTER_MS).await;
    ensure!(
        applied_version(node) == Some(2),
        "{:?}",
        applied_version(node)
    );
    ensure!(node.shared.is_ready());
    check_invariants(&world)
}

/// When a frozen node resumes, what it knew before is judged by its age.
async fn freezes_node() -> Result<()> {
    let world = TestWorld::start(2, 2).await?;
    let node = first(&world)?;
    node.freeze(true);
    world.store.put("op/policy", Some(b"2"), 0);
    sleep_ms(STALE_AFTER_MS).await;
    ensure!(
        applied_version(node).is_none(),
        "{:?}",
        applied_version(node)
    );
    node.freeze(false);
    sleep_ms(CONFIRMED_AFTER_MS).await;
    ensure!(
        applied_version(node) == Some(2),
        "{:?}",
        applied_version(node)
    );
    check_invariants(&world)
}

/// Without any change, responses of the watch confirm the configuration.
async fn stays_quiet() -> Result<()> {
    let world = TestWorld::start(2, 2).await?;
    for _ in 0..200 {
        sleep_ms(100).await;
        for node in world.nodes.values() {
            ensure!(
                applied_version(node) == Some(1),
                "{:?}",
                applied_version(node)
            );
        }
    }
    check_invariants(&world)
}
