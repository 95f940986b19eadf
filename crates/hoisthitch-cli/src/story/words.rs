//! Texts of the timeline: one phrase for each kind of event.

use super::event::{
    EventKind,
    OrderOutcome,
    SubmitOutcome, //
};

/// Phrase for an event in the timeline.
pub fn describe_event(kind: &EventKind) -> &'static str {
    match kind {
        EventKind::Submitted { outcome, .. } => submitted(*outcome),
        EventKind::JobRefused(_) => "no room in time: not stored",
        EventKind::CancelAnswered => "cancel answered",
        EventKind::CancelUnknown => "cancel without a clear answer",
        EventKind::StatusUnknown => "state could not be read",
        EventKind::JobTaken { .. } => "taken in by the pool's owner",
        EventKind::JobCancelled => "cancelled by the pool's owner",
        EventKind::JobEnded => "ended; this is where its time went",
        EventKind::JobUnreadable => "record could not be read",
        EventKind::TaskOrdered { outcome, .. } => ordered(*outcome),
        EventKind::StartDropped => "start not sent: not allowed any more when its turn came",
        EventKind::TaskStopped { done: true, .. } => "task stopped",
        EventKind::TaskStopped { done: false, .. } => "task not stopped: the order failed",
        EventKind::TaskPaced => "task throttled",
        EventKind::RunLost => "run lost with its runner",
        EventKind::RunSuspected => "run may be lost with its runner",
        EventKind::RunNotLost => "run not lost: its runner reports it",
        EventKind::TaskGivenUp { .. } => {
            "task given up, and its job with it: runners crash under it"
        }
        EventKind::RunnerTaken => "runner reached by the owner",
        EventKind::RunnerLost => "runner gave no answer",
        EventKind::LeaseLapsed => "runner's lease lapsed",
        EventKind::RunnerSilent => "runner silent: it may still run tasks",
        EventKind::RunnerSilenceOver => "runner's silence is over",
        EventKind::RunnerSuspected => "connections to the runner refused: lost or cut off",
        EventKind::RunnerRegained => "runner answers again",
        EventKind::RunnerGone { .. } => "runner given up",
        EventKind::RunnerLifeOver => "runner replaced by a later life",
        EventKind::RunnerRestarted => "runner started again under its name",
        EventKind::RunnerUnlisted => "runner no longer listed",
        EventKind::TaskStalled => "a task stood still on the runner",
        EventKind::PoolTaken => "pool taken: this node owns it now",
        EventKind::PoolLeft { deposed: true } => "pool left: another node owned it already",
        EventKind::PoolLeft { deposed: false } => "pool left by its owner",
        EventKind::PoolNotTaken => "pool not taken: another node was first",
        EventKind::PoolHandedOn => "pool handed on to the next owner",
        EventKind::PoolOffered => "pool offered to a node with more processor time",
        EventKind::PoolReleased => "pool released for another node to take",
        EventKind::TakeoverUnclear => "takeover of the pool without a clear answer",
        EventKind::RunnerFenced => "runners obey a later owner",
        EventKind::VmWorkStalled => "work on the pool's VMs stalled",
        EventKind::HallCordoned { .. } => "data hall cordoned: no starts there",
        EventKind::HallReleased { .. } => "data hall no longer cordoned",
        EventKind::PoolPressure { over: false } => "pool under pressure: jobs may be refused",
        EventKind::PoolPressure { over: true } => "pool no longer under pressure",
        EventKind::PoolNeeds { .. } => "pool published its needs",
        EventKind::UpkeepWaits { .. } => "maintenance of the VM waits",
        EventKind::UpkeepOrdered => "VM taken down for maintenance",
        EventKind::VmMoved { .. } => "VM moved to another pool",
        EventKind::NodeGone => "another node is gone",
        EventKind::NodeStarted => "node started",
        EventKind::NodeStopping => "node stopping",
        EventKind::NodeStopped => "node stopped",
        EventKind::StoreLost { .. } => "store lost",
        EventKind::StoreRegained { .. } => "store regained",
        EventKind::MemberNotRenewed => "membership not renewed",
        EventKind::CreateFailed { .. } => "records not written",
        EventKind::JournalUnclear => "journal not written",
        EventKind::OwnerUnconfirmed => "ownership not confirmed",
    }
}

fn submitted(outcome: SubmitOutcome) -> &'static str {
    match outcome {
        SubmitOutcome::Accepted => "submission accepted",
        SubmitOutcome::Present => "submission accepted: it was kept before",
        SubmitOutcome::StoreLost => "submission refused: the store was lost",
        SubmitOutcome::Refused => "submission refused: the writes failed",
        SubmitOutcome::Overloaded => "submission refused: the job could not end in time",
        SubmitOutcome::Cordoned => "submission refused: all data halls were cordoned",
        SubmitOutcome::Foreign => "submission refused: another team's job has the identifier",
        SubmitOutcome::NoQueue => "submission refused: no such queue",
        SubmitOutcome::Unconfirmed => "submission refused: the configuration is not confirmed",
        SubmitOutcome::Unknown => "submission without a clear answer",
    }
}

fn ordered(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Started => "task started",
        OrderOutcome::NoRoom => "start refused: the runner has no room",
        OrderOutcome::Refused => "start refused by the runner",
        OrderOutcome::Unclear => "start without an answer",
        OrderOutcome::Superseded => "start refused: another owner or life",
    }
}
