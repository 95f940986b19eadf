//! Small `Copy` keys of the slot maps of a process.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a pool in a route table.
    pub struct PoolKey;

    /// Key of a runner in a slot ledger.
    pub struct RunnerKey;

    /// Key of a team in a route table.
    pub struct TeamKey;
}
