//! Control state of the entry: actors of the control thread.
//!
//! [`ViewKeeper`] holds the operators' table, the hall records, the rosters and the
//! VM list, as last received, and builds the route table from them. `follow` reads
//! them from the platform and [`MeshHub`] receives them from other entries.
//! [`TableWriter`] writes operators' changes to the store, and [`RosterKeeper`]
//! registers the entry.

mod follow;
mod followed;
mod freshness;
mod keeper;
mod mesh;
mod messages;
mod register;
mod routes;
mod shares;
mod writer;

pub use follow::{
    follow_store,
    follow_vms, //
};
pub use freshness::ViewFreshness;
pub use keeper::ViewKeeper;
pub use mesh::MeshHub;
pub use messages::{
    Connect,
    ReadView,
    ViewSummary, //
};
pub use register::RosterKeeper;
pub use routes::{
    DEFAULT_TEAM,
    RouteTable,
    TeamRoute, //
};
pub use writer::{
    AssignVm,
    ChangeWave,
    EditTable,
    MoveVm,
    OperatorError,
    ReadWaves,
    TableWriter, //
};
