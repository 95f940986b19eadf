//! Clients of the platform's services: its key-value store and its list of VMs.
//!
//! [`StoreClient`] is the only interface between hoisthitch and the platform's
//! store. [`EtcdClient`] implements it for the etcd v3 JSON gateway; another
//! platform needs another small adapter.

mod calls;
mod claim;
mod client;
mod error;
mod etcd;
mod keyspace;
pub mod message;
mod vms;
mod writer;

pub use calls::{
    CallCounter,
    CallCounts, //
};
pub use claim::{
    ClaimAnswer,
    ClaimBody,
    ClaimClient,
    ClaimOutcome,
    ClaimRecord,
    ClaimResolution,
    ClaimTicket,
    ClaimWriter, //
};
pub use client::{
    BatchOutcome,
    KeyRevision,
    LeaseId,
    StoreClient,
    StoreRevision,
    StoredValue,
    SwapItem,
    SwapOutcome,
    WatchEvent,
    WatchStream, //
};
pub use error::StoreError;
pub use etcd::EtcdClient;
pub use keyspace::KeySpace;
pub use vms::{
    ListedVm,
    RebootRequest,
    VmLister,
    VmListing,
    VmState, //
};
pub use writer::{
    RecordWriter,
    StampedRecord,
    WriteError, //
};
