//! The job service of a node.
//!
//! Every node accepts jobs and answers queries for their state, which it reads from the store. Each
//! pool has one owner among the nodes. The owner places the pool's tasks, sends orders to its
//! runners and maintains its VMs in waves. Owners are elected by compare-and-swap. The revision of
//! an owner's election is its first fencing token, and the later ones are revisions of its own
//! writes, so that the orders of a later owner always carry higher tokens.
//!
//! The platform is accessed through the traits of [`platform`].

mod clock;
mod cordons;
mod create;
mod fleet;
mod follow;
mod group;
mod group_halls;
mod http;
mod identity;
mod index;
mod intake;
mod journal;
mod keys;
mod location;
mod metrics;
mod node;
mod operators;
mod owner;
pub mod platform;
mod policy;
mod service;
mod session;
mod shared;
mod takeover;
mod teams;
mod terms;
mod vms;

pub use clock::NodeClock;
pub use cordons::HallCordons;
pub use http::job_routes;
pub use identity::NodeIdentity;
pub use intake::{
    IntakeRules,
    IntakeView,
    retry_after_s, //
};
pub use keys::JobKeys;
pub use location::CallScope;
pub use metrics::NodeMetrics;
pub use node::run_node;
pub use service::{
    CancelAnswer,
    JobService,
    StatusAnswer,
    SubmitAnswer, //
};
pub use shared::{
    NodeShared,
    PolicyStatus,
    StalenessLimits,
    StoreHealth, //
};
pub use teams::{
    CallerError,
    CallerTeam, //
};
pub use terms::{
    DeploymentTerms,
    TermsError, //
};
