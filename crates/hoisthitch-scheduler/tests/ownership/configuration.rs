//! By which configuration a node answers: the newest, to its end, and none that may be
//! too old.

use eyre::{
    OptionExt,
    Result,
    ensure, //
};
use hoisthitch_scheduler::PolicyStatus;
use hoisthitch_tests::world::StoreFaults;

use super::{
    kept,
    world::{
        TestNode,
        TestWorld,
        play,
        sleep_ms, //
    }, //
};

/// Time for which a node answers by a configuration that it can't confirm, and a
/// little more, in milliseconds.
const HELD_MS: u64 = 3_100;

/// Time in which a node that reaches the store again has confirmed it: a pause
/// between two tries, and the rest of one, in milliseconds.
const CONFIRMED_MS: u64 = 1_500;

cases! {
    policy_is_in_force_everywhere_and_never_goes_back => changes_policy();
    stopped_node_hears_of_changes_to_its_end => changes_after_stop();
    cut_off_node_answers_by_no_old_configuration => cuts_node();
    frozen_node_answers_by_no_old_configuration => freezes_node();
    quiet_store_confirms_the_configuration_for_good => stays_quiet();
}

fn first(world: &TestWorld) -> Result<&TestNode> {
    world.nodes.values().next().ok_or_eyre("there are nodes")
}

/// Version by which a node answers; none where it refuses.
fn answers_by(node: &TestNode) -> Option<u64> {
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
    // An older one, written late, changes nothing; nor does a new look at all.
    world.store.put("op/policy", Some(b"3"), 0);
    sleep_ms(1_000).await;
    ensure!(versions(&world) == [1, 7, 7], "{:?}", versions(&world));
    world.store.put("op/policy", Some(b"9"), 0);
    world.store.set_faults(StoreFaults::default());
    sleep_ms(2_000).await;
    ensure!(versions(&world) == [9, 9, 9], "{:?}", versions(&world));
    kept(&world)
}

/// The order to stop ends a node's part in owning pools, not its answers.
async fn changes_after_stop() -> Result<()> {
    let world = TestWorld::start(2, 2).await?;
    let node = first(&world)?;
    node.stop();
    for version in 2..8_u64 {
        sleep_ms(1_000).await;
        let text = version.to_string();
        world.store.put("op/policy", Some(text.as_bytes()), 0);
        sleep_ms(200).await;
        let shown = answers_by(node);
        ensure!(shown == Some(version), "{shown:?} after version {version}");
    }
    kept(&world)
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
    sleep_ms(HELD_MS).await;
    ensure!(answers_by(node).is_none(), "{:?}", answers_by(node));
    ensure!(!node.shared.is_ready());
    world.store.set_faults(StoreFaults::default());
    sleep_ms(CONFIRMED_MS).await;
    ensure!(answers_by(node) == Some(2), "{:?}", answers_by(node));
    ensure!(node.shared.is_ready());
    kept(&world)
}

/// What a node knew before it stood still is judged by its age when it wakes.
async fn freezes_node() -> Result<()> {
    let world = TestWorld::start(2, 2).await?;
    let node = first(&world)?;
    node.freeze(true);
    world.store.put("op/policy", Some(b"2"), 0);
    sleep_ms(HELD_MS).await;
    ensure!(answers_by(node).is_none(), "{:?}", answers_by(node));
    node.freeze(false);
    sleep_ms(CONFIRMED_MS).await;
    ensure!(answers_by(node) == Some(2), "{:?}", answers_by(node));
    kept(&world)
}

/// Without any change, answers of the watch confirm what there is.
async fn stays_quiet() -> Result<()> {
    let world = TestWorld::start(2, 2).await?;
    for _ in 0..200 {
        sleep_ms(100).await;
        for node in world.nodes.values() {
            ensure!(answers_by(node) == Some(1), "{:?}", answers_by(node));
        }
    }
    kept(&world)
}
