//! Scheduling and fleet decisions of hoisthitch, without I/O.
//!
//! The caller passes in the time and the records, and sends and stores the
//! results. Each decision can therefore be tested against a simple reference
//! model.

mod budget;
mod edit;
mod fleet;
mod hall;
mod keys;
mod ledger;
mod limit;
mod outcome;
mod permit;
mod queue;
mod rank;
mod roster;
mod scheduler;
mod share;
mod table;
mod transition;
mod wave;

pub use budget::RetryBudget;
pub use edit::{
    EditError,
    RowEdit, //
};
pub use fleet::{
    FleetAction,
    FleetSnapshot,
    ObservedVm,
    VmTarget,
    lost_vms,
    plan_pool, //
};
pub use hall::{
    AssignmentState,
    HallError,
    HallRecord,
    MaintainStep,
    VmAssignment,
    VmTask, //
};
pub use keys::{
    PoolKey,
    RunnerKey,
    TeamKey, //
};
pub use ledger::{
    RunnerHealth,
    RunnerSlots,
    SlotLedger, //
};
pub use limit::RateLimiter;
pub use outcome::{
    OUTCOME_HEADER,
    RequestOutcome, //
};
pub use permit::{
    AbsencePermit,
    PermitError,
    PermitLedger, //
};
pub use queue::{
    QueueLimits,
    QueueRefusal,
    WorkQueue,
    WorkTicket,
    WorkUnit, //
};
pub use rank::{
    hash_bytes,
    hash_name,
    rendezvous_order, //
};
pub use roster::{
    RosterEntry,
    RosterRecord,
    mesh_neighbours, //
};
pub use scheduler::{
    PoolScheduler,
    RefusalReason,
    WorkAdmission,
    WorkGrant,
    WorkRefusal,
    WorkResult, //
};
pub use share::{
    EntryShare,
    SharePolicy, //
};
pub use table::{
    CellError,
    PaidPriority,
    PolicyTable,
    PoolRow,
    RetryRule,
    TeamRow,
    WriterStamp, //
};
pub use transition::TransitionError;
pub use wave::{
    WaveCandidate,
    WaveProgress,
    WaveRecord,
    WaveState,
    wave_candidates, //
};
