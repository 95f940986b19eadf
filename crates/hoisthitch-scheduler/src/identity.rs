//! Identity of a node, and the record of a pool's owner.

use serde::{
    Deserialize,
    Serialize, //
};

/// Identity of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeIdentity {
    /// Name of the node.
    pub node: String,
    /// Random number of this instance of the process.
    pub instance: u64,
    /// Data hall of the node.
    pub hall: String,
    /// Processor time that it has, in thousandths of a core.
    pub cpu_milli: u64,
}

/// Record of the owner of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OwnerRecord {
    /// Name of the node.
    pub(crate) node: String,
    /// Instance of the node.
    #[serde(rename = "life")]
    pub(crate) instance: u64,
    /// Number of the ownership; it counts the owners of the pool.
    pub(crate) term: u64,
    /// Data hall of the node; empty where halls may not be lost.
    #[serde(default)]
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) hall: String,
}
