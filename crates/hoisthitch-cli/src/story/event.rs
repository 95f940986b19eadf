//! Events that can belong to a job's story: one rule for each kind.

use std::time::{
    Duration,
    UNIX_EPOCH, //
};

use humantime::format_rfc3339_millis;

use super::line::LogLine;

/// An event of a log.
#[derive(Clone, Debug)]
pub struct StoryEvent {
    /// Time since the epoch, in milliseconds.
    pub time_ms: u64,
    /// Node that logged it.
    pub node: String,
    /// What it is about.
    pub subject: EventSubject,
    /// What happened.
    pub kind: EventKind,
    /// The fields, as logged.
    pub inputs: String,
}

/// What an event is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EventSubject {
    /// A job.
    Job(String),
    /// A runner.
    Runner(String),
    /// A pool.
    Pool(String),
    /// A VM.
    Vm(String),
    /// A node, itself or as seen by another one.
    Node(String),
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// A submission was answered.
    Submitted {
        /// Queue that was asked for.
        queue: String,
        /// The answer.
        outcome: SubmitOutcome,
        /// How long it took, in milliseconds.
        took_ms: u64,
    },
    /// A cancel was answered.
    CancelAnswered,
    /// A cancel could not be answered.
    CancelUnknown,
    /// A state could not be read.
    StatusUnknown,
    /// The pool's owner took the job in.
    Taken {
        /// Queue of the job.
        queue: String,
        /// Pool that runs it.
        pool: String,
        /// Time since it was accepted, in milliseconds.
        age_ms: u64,
        /// Whether it had begun under an earlier owner.
        restored: bool,
    },
    /// The owner took a cancel in.
    Cancelled,
    /// A job ended, and where its time went.
    Ended,
    /// The owner can't read the job.
    Unreadable,
    /// A start was sent to a runner.
    Ordered {
        /// The run.
        run: TaskRun,
        /// The runner's answer.
        outcome: OrderOutcome,
    },
    /// A start was not sent in time.
    StartDropped,
    /// A stop was sent to a runner.
    Stopped {
        /// The run.
        run: TaskRun,
        /// Whether the runner stopped it.
        done: bool,
    },
    /// A task was throttled.
    Paced,
    /// A run was lost with its runner.
    RunLost,
    /// A task was given up, for its runners crashed under it.
    GivenUp {
        /// Runners that were lost under it.
        losses: u64,
    },
    /// A node became the pool's owner.
    PoolTaken,
    /// A node ceased to be the owner.
    PoolLeft {
        /// Whether another owner was there already.
        deposed: bool,
    },
    /// Another node was faster.
    PoolNotTaken,
    /// The owner told the next one what it knows of the runners.
    PoolHandedOn,
    /// The owner hands the pool to a node with more processor time.
    PoolOffered,
    /// The owner gave the pool back for another node to take.
    PoolReleased,
    /// Whether a node became the owner is not known.
    TakeoverUnclear,
    /// A runner obeys a later owner.
    Fenced,
    /// The owner can't work on the pool's VMs.
    VmWorkStalled,
    /// What the pool lacks.
    PoolNeeds {
        /// VMs that it wants.
        want: u64,
        /// VMs that it has.
        has: u64,
    },
    /// The owner reaches a runner.
    RunnerTaken,
    /// A runner gave no answer.
    RunnerLost,
    /// A runner gave no answer for the time of its lease.
    LeaseLapsed,
    /// A runner may still run what it was told.
    RunnerSilent,
    /// That is over.
    SilenceOver,
    /// The owner gave the runner up.
    RunnerGone {
        /// Reason.
        why: String,
    },
    /// A later life runs in the runner's place.
    LifeOver,
    /// The runner started again under its name.
    RunnerRestarted,
    /// The runner is off the list.
    RunnerUnlisted,
    /// A task stood still there.
    TaskStalled,
    /// A VM's maintenance waits.
    UpkeepWaits {
        /// Runner on the VM.
        runner: String,
    },
    /// A VM was taken down for maintenance.
    UpkeepOrdered,
    /// A VM was moved to another pool.
    VmMoved {
        /// The other pool.
        to: String,
    },
    /// Another node is gone.
    NodeGone,
    /// The node has started.
    NodeStarted,
    /// The node is to stop.
    NodeStopping,
    /// The node has stopped.
    NodeStopped,
    /// The store gives no answer.
    StoreLost {
        /// Keys that are followed there.
        prefix: String,
    },
    /// The store answers again.
    StoreRegained {
        /// Keys that are followed there.
        prefix: String,
    },
    /// The node could not renew its membership.
    MemberNotRenewed,
    /// Records could not be written.
    CreateFailed {
        /// What the store or the connection reported.
        error: String,
    },
    /// The owner could not write its journal.
    JournalUnclear,
    /// The owner could not confirm that it is the owner.
    OwnerUnconfirmed,
}

/// A run of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskRun {
    /// Task, by its whole name.
    pub task: String,
    /// Number of the run.
    pub number: u64,
    /// Runner that was told.
    pub runner: String,
}

/// Answer to a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// Kept.
    Accepted,
    /// Kept before.
    Present,
    /// Refused, as the store was lost.
    StoreLost,
    /// Refused, as all writes failed.
    Refused,
    /// Refused, as no queue is there by the node's configuration.
    NoQueue,
    /// Refused, as a newer configuration might be in force.
    Unconfirmed,
    /// Not known.
    Unknown,
}

/// A runner's answer to a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It has the run.
    Started,
    /// It has no room.
    NoRoom,
    /// It would not.
    Refused,
    /// There was no answer.
    Unclear,
    /// It obeys another owner, or is another life.
    Superseded,
}

/// What a line is, once parsed.
#[derive(Clone, Debug)]
pub enum ReadLine {
    /// An event with a rule.
    Known(StoryEvent),
    /// An event without one.
    Unknown,
    /// Not a whole log line.
    Broken,
}

impl StoryEvent {
    /// Reads a line.
    pub fn read(text: &str) -> ReadLine {
        let Some(line) = LogLine::parse(text) else {
            return ReadLine::Broken;
        };
        let kind = match read_kind(&line) {
            KindRead::Known(kind) => kind,
            KindRead::Unknown => return ReadLine::Unknown,
            KindRead::Broken => return ReadLine::Broken,
        };
        let Some(subject) = read_subject(&line) else {
            return ReadLine::Broken;
        };
        ReadLine::Known(Self {
            time_ms: line.time_ms,
            node: line.process.clone(),
            subject,
            kind,
            inputs: line.inputs.to_owned(),
        })
    }

    /// The event's time, as logged.
    pub fn clock(&self) -> String {
        show_time(self.time_ms)
    }

    /// The pool's name, if the event is about a pool.
    pub fn pool(&self) -> Option<&str> {
        match &self.subject {
            EventSubject::Pool(name) => Some(name),
            _ => None,
        }
    }

    /// The runner's name, if the event is about a runner.
    pub fn runner(&self) -> Option<&str> {
        match &self.subject {
            EventSubject::Runner(name) => Some(name),
            _ => None,
        }
    }
}

/// A time since the epoch, as logs show it.
pub fn show_time(time_ms: u64) -> String {
    // The time came from a line of that form.
    let time = UNIX_EPOCH + Duration::from_millis(time_ms);
    format_rfc3339_millis(time).to_string()
}

enum KindRead {
    Known(EventKind),
    Unknown,
    Broken,
}

fn read_kind(line: &LogLine) -> KindRead {
    let simple = match line.event.as_str() {
        "job_call" => return read_call(line),
        "queue_unknown" => return read_turned_away(line, SubmitOutcome::NoQueue),
        "policy_unconfirmed" => return read_turned_away(line, SubmitOutcome::Unconfirmed),
        "job_taken" => return whole(read_taken(line)),
        "task_ordered" => return whole(read_ordered(line)),
        "task_given_up" => return whole(read_given_up(line)),
        "task_stopped" => return whole(read_stopped(line)),
        "pool_needs" => return whole(read_needs(line)),
        "pool_left" => return whole(read_left(line)),
        "runner_gone" => return whole(read_gone(line)),
        "upkeep_waits" => return whole(read_waits(line)),
        "vm_moved" => return whole(read_moved(line)),
        "follow_lost" => return whole(read_store_lost(line)),
        "follow_regained" => return whole(read_store_regained(line)),
        "create_failed" => return whole(read_failed(line)),
        name => simple_kind(name),
    };
    simple.map_or(KindRead::Unknown, KindRead::Known)
}

fn whole(kind: Option<EventKind>) -> KindRead {
    kind.map_or(KindRead::Broken, KindRead::Known)
}

/// Kinds that decide nothing by their fields.
fn simple_kind(name: &str) -> Option<EventKind> {
    Some(match name {
        "cancel_unknown" => EventKind::CancelUnknown,
        "status_unknown" => EventKind::StatusUnknown,
        "job_cancelled" => EventKind::Cancelled,
        "job_ended" => EventKind::Ended,
        "job_unreadable" | "progress_unreadable" => EventKind::Unreadable,
        "start_not_sent" => EventKind::StartDropped,
        "task_paced" => EventKind::Paced,
        "run_lost" => EventKind::RunLost,
        "pool_taken" => EventKind::PoolTaken,
        "pool_not_taken" => EventKind::PoolNotTaken,
        "pool_handed_on" => EventKind::PoolHandedOn,
        "pool_offered" => EventKind::PoolOffered,
        "pool_released" => EventKind::PoolReleased,
        "takeover_unclear" => EventKind::TakeoverUnclear,
        "runner_fenced" => EventKind::Fenced,
        "vm_work_stalled" => EventKind::VmWorkStalled,
        "runner_taken" => EventKind::RunnerTaken,
        "runner_lost" => EventKind::RunnerLost,
        "lease_lapsed" => EventKind::LeaseLapsed,
        "runner_silent" => EventKind::RunnerSilent,
        "runner_silence_over" => EventKind::SilenceOver,
        "runner_life_over" => EventKind::LifeOver,
        "runner_answers_anew" => EventKind::RunnerRestarted,
        "runner_unlisted" => EventKind::RunnerUnlisted,
        "task_stalled" => EventKind::TaskStalled,
        "upkeep_ordered" => EventKind::UpkeepOrdered,
        "node_gone" => EventKind::NodeGone,
        "node_started" => EventKind::NodeStarted,
        "node_stopping" => EventKind::NodeStopping,
        "node_stopped" => EventKind::NodeStopped,
        "member_not_renewed" => EventKind::MemberNotRenewed,
        "journal_unclear" => EventKind::JournalUnclear,
        "owner_unconfirmed" => EventKind::OwnerUnconfirmed,
        _ => return None,
    })
}

fn read_subject(line: &LogLine) -> Option<EventSubject> {
    Some(match line.event.as_str() {
        "job_call"
        | "cancel_unknown"
        | "status_unknown"
        | "job_taken"
        | "job_cancelled"
        | "job_ended"
        | "job_unreadable"
        | "progress_unreadable" => EventSubject::Job(line.owned("job")?),
        "queue_unknown" | "policy_unconfirmed" => {
            let id = line.text("path")?.rsplit('/').next()?;
            EventSubject::Job(id.to_owned())
        }
        "task_ordered" | "task_stopped" | "task_paced" | "start_not_sent" | "run_lost"
        | "task_given_up" => {
            let (job, _) = line.text("task")?.split_once('.')?;
            EventSubject::Job(job.to_owned())
        }
        "pool_taken" | "pool_left" | "pool_not_taken" | "pool_handed_on" | "pool_offered"
        | "pool_released" | "takeover_unclear" | "runner_fenced" | "vm_work_stalled"
        | "pool_needs" => EventSubject::Pool(line.owned("pool")?),
        "runner_taken"
        | "runner_lost"
        | "lease_lapsed"
        | "runner_silent"
        | "runner_silence_over"
        | "runner_gone"
        | "runner_life_over"
        | "runner_unlisted"
        | "task_stalled" => EventSubject::Runner(line.owned("runner")?),
        // What ran there was ordered of the life before.
        "runner_answers_anew" => EventSubject::Runner(line.owned("before")?),
        "upkeep_waits" | "upkeep_ordered" | "vm_moved" => EventSubject::Vm(line.owned("vm")?),
        "node_gone" => EventSubject::Node(line.owned("node")?),
        _ => EventSubject::Node(line.process.clone()),
    })
}

fn read_call(line: &LogLine) -> KindRead {
    match line.text("call") {
        Some("submit") => whole(read_submit(line)),
        Some("cancel") => KindRead::Known(EventKind::CancelAnswered),
        Some(_) => KindRead::Unknown,
        None => KindRead::Broken,
    }
}

fn read_submit(line: &LogLine) -> Option<EventKind> {
    let outcome = match line.text("outcome")? {
        "accepted" => SubmitOutcome::Accepted,
        "present" => SubmitOutcome::Present,
        "store_lost" => SubmitOutcome::StoreLost,
        "refused" => SubmitOutcome::Refused,
        "unknown" => SubmitOutcome::Unknown,
        _ => return None,
    };
    Some(EventKind::Submitted {
        queue: line.owned("queue")?,
        outcome,
        took_ms: line.number("took_ms")?,
    })
}

/// A call that was refused before its queue was known; only submissions tell of what
/// became of a job.
fn read_turned_away(line: &LogLine, outcome: SubmitOutcome) -> KindRead {
    match line.text("method") {
        Some("POST") => KindRead::Known(EventKind::Submitted {
            queue: String::new(),
            outcome,
            took_ms: 0,
        }),
        Some(_) => KindRead::Unknown,
        None => KindRead::Broken,
    }
}

fn read_taken(line: &LogLine) -> Option<EventKind> {
    Some(EventKind::Taken {
        queue: line.owned("queue")?,
        pool: line.owned("pool")?,
        age_ms: line.number("age_ms")?,
        restored: line.text("restored")? == "true",
    })
}

fn read_run(line: &LogLine) -> Option<TaskRun> {
    Some(TaskRun {
        task: line.owned("task")?,
        number: line.number("run")?,
        runner: line.owned("runner")?,
    })
}

fn read_ordered(line: &LogLine) -> Option<EventKind> {
    let outcome = match line.text("outcome")? {
        "Started" => OrderOutcome::Started,
        "NoRoom" => OrderOutcome::NoRoom,
        "Refused" | "NoTicket" => OrderOutcome::Refused,
        "Unclear" => OrderOutcome::Unclear,
        "Fenced" | "WrongLife" | "Old" => OrderOutcome::Superseded,
        _ => return None,
    };
    let run = read_run(line)?;
    Some(EventKind::Ordered { run, outcome })
}

fn read_stopped(line: &LogLine) -> Option<EventKind> {
    let done = line.text("outcome")? == "done";
    let run = read_run(line)?;
    Some(EventKind::Stopped { run, done })
}

fn read_given_up(line: &LogLine) -> Option<EventKind> {
    let losses = line.number("losses")?;
    Some(EventKind::GivenUp { losses })
}

fn read_needs(line: &LogLine) -> Option<EventKind> {
    Some(EventKind::PoolNeeds {
        want: line.number("want")?,
        has: line.number("has")?,
    })
}

fn read_left(line: &LogLine) -> Option<EventKind> {
    let deposed = line.text("end")? == "Deposed";
    Some(EventKind::PoolLeft { deposed })
}

fn read_gone(line: &LogLine) -> Option<EventKind> {
    let why = line.owned("why")?;
    Some(EventKind::RunnerGone { why })
}

fn read_waits(line: &LogLine) -> Option<EventKind> {
    let runner = line.owned("runner")?;
    Some(EventKind::UpkeepWaits { runner })
}

fn read_moved(line: &LogLine) -> Option<EventKind> {
    let to = line.owned("to")?;
    Some(EventKind::VmMoved { to })
}

fn read_failed(line: &LogLine) -> Option<EventKind> {
    let error = line.owned("error")?;
    Some(EventKind::CreateFailed { error })
}

fn read_store_lost(line: &LogLine) -> Option<EventKind> {
    let prefix = line.owned("prefix")?;
    Some(EventKind::StoreLost { prefix })
}

fn read_store_regained(line: &LogLine) -> Option<EventKind> {
    let prefix = line.owned("prefix")?;
    Some(EventKind::StoreRegained { prefix })
}
