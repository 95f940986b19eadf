//! Who a node is, and who owns a pool.

use serde::{
    Deserialize,
    Serialize, //
};

/// Who a node is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeIdentity {
    /// Name of the node.
    pub node: String,
    /// Random number of this life of the process.
    pub instance: u64,
    /// Data hall.
    pub hall: String,
    /// Processor time that it has, in thousandths of a core.
    pub cpu_milli: u64,
}

/// Owner of a pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct OwnerRecord {
    /// Node.
    pub(crate) node: String,
    /// Life of the node.
    #[serde(rename = "life")]
    pub(crate) instance: u64,
    /// Number of the ownership.
    pub(crate) term: u64,
}
