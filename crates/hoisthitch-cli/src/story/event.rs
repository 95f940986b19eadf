//! Parses log lines into the events that can belong to a job's story.
//!
//! Most variants of [`EventKind`] are named after their log event. A change of an
//! event's name or keys where it is logged needs the same change here.

use std::time::{
    Duration,
    UNIX_EPOCH, //
};

use humantime::format_rfc3339_millis;

use super::line::LogLine;

/// An event of a log, parsed.
#[derive(Clone, Debug)]
pub struct StoryEvent {
    /// Time since the epoch, in milliseconds.
    pub time_ms: u64,
    /// Node that logged it.
    pub node: String,
    /// What the event is about.
    pub subject: EventSubject,
    /// What happened.
    pub kind: EventKind,
    /// The fields, as logged.
    pub raw_fields: String,
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
    /// A node responded to a submission.
    Submitted {
        /// Queue that the submission names; empty if the call was refused before
        /// its queue was known.
        queue: String,
        /// Outcome of the submission.
        outcome: SubmitOutcome,
        /// How long it took, in milliseconds.
        took_ms: u64,
    },
    /// A node decided that the job could not end in time.
    JobRefused(RefusalFacts),
    /// A node responded to a cancellation.
    CancelAnswered,
    /// The outcome of a cancellation is unknown.
    CancelUnknown,
    /// The job's state could not be read.
    StatusUnknown,
    /// The pool's owner picked the job up.
    JobTaken {
        /// Queue of the job.
        queue: String,
        /// Pool that runs it.
        pool: String,
        /// Time since it was accepted, in milliseconds.
        age_ms: u64,
        /// Whether it had begun under an earlier owner.
        restored: bool,
    },
    /// The owner applied a cancellation.
    JobCancelled,
    /// The job ended; the fields show where its time went.
    JobEnded,
    /// The owner can't read a record of the job.
    JobUnreadable,
    /// A start was sent to a runner.
    TaskOrdered {
        /// The run.
        run: TaskRun,
        /// The runner's response.
        outcome: OrderOutcome,
    },
    /// A start was dropped because it was not allowed any more when its turn came.
    StartDropped,
    /// A stop was sent to a runner.
    TaskStopped {
        /// The run.
        run: TaskRun,
        /// Whether the runner stopped it.
        done: bool,
    },
    /// A task was throttled.
    TaskPaced,
    /// A run was lost with its runner.
    RunLost,
    /// A run may have been lost with its runner.
    RunSuspected,
    /// A run that counted as lost was reported by its runner.
    RunNotLost,
    /// A task was failed as the cause of its runners' crashes.
    TaskGivenUp {
        /// Number of runners lost while they ran it.
        losses: u64,
    },
    /// A node became the pool's owner.
    PoolTaken,
    /// A node ceased to be the pool's owner.
    PoolLeft {
        /// Whether another node owned the pool already.
        deposed: bool,
    },
    /// Another node took the pool first.
    PoolNotTaken,
    /// The owner handed its knowledge of the runners over to the next owner.
    PoolHandedOn,
    /// The owner offered the pool to a node with more processor time.
    PoolOffered,
    /// The owner released the pool for another node to take.
    PoolReleased,
    /// It is unknown whether the node became the owner.
    TakeoverUnclear,
    /// A runner has seen the fencing token of a later owner.
    RunnerFenced,
    /// The owner's work on the pool's VMs stalled.
    VmWorkStalled,
    /// A data hall was cordoned, in which the pool has runners.
    HallCordoned {
        /// Data hall.
        hall: String,
    },
    /// The cordon of a data hall is over.
    HallReleased {
        /// Data hall.
        hall: String,
    },
    /// The owner told all nodes that more work waits than the pool can do in time, or that this is
    /// over.
    PoolPressure {
        /// Whether it is over.
        over: bool,
    },
    /// The pool published how many VMs it wants and has.
    PoolNeeds {
        /// VMs that it wants.
        want: u64,
        /// VMs that it has.
        has: u64,
    },
    /// The owner reached a runner.
    RunnerTaken,
    /// A runner did not respond.
    RunnerLost,
    /// A runner did not respond until its lease expired.
    LeaseLapsed,
    /// A runner is unresponsive and may still run its tasks.
    RunnerSilent,
    /// A runner is no longer reported as unresponsive.
    RunnerSilenceOver,
    /// Connections to a runner were refused: it was lost, or cut off.
    RunnerSuspected,
    /// A runner that was silent responded again.
    RunnerRegained,
    /// The owner removed the runner.
    RunnerGone {
        /// Reason.
        why: String,
    },
    /// A later instance replaced the runner.
    RunnerLifeOver,
    /// The runner restarted under its name.
    RunnerRestarted,
    /// The runner is no longer listed.
    RunnerUnlisted,
    /// A task on the runner made no progress.
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
    /// Another node is lost.
    NodeGone,
    /// The node has started.
    NodeStarted,
    /// The node is shutting down.
    NodeStopping,
    /// The node has stopped.
    NodeStopped,
    /// The node can't follow keys of the store, as it does not respond.
    StoreLost {
        /// Keys that are followed there.
        prefix: String,
    },
    /// The node follows these keys again.
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
    /// Full name of the task, with its job's identifier.
    pub task: String,
    /// Number of the run.
    pub number: u64,
    /// Runner that the order was sent to.
    pub runner: String,
}

/// Why a job was refused for want of room.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalFacts {
    /// Pool of its queue.
    pub pool: String,
    /// Its team; empty for none.
    pub team: String,
    /// Whether its team alone had too much waiting, and not the pool.
    pub is_team_excess: bool,
    /// Estimated time until its first task would have started, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait at which it would have been admitted, in milliseconds.
    pub limit_ms: u64,
    /// Time after which its caller was told to return, in milliseconds.
    pub retry_after_ms: u64,
    /// Age of the report that the decision was based on, in milliseconds.
    pub report_age_ms: u64,
    /// Epoch of the owner that made the report.
    pub epoch: u64,
}

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// Stored.
    Accepted,
    /// Stored by an earlier submission.
    Present,
    /// Refused because the store was lost.
    StoreLost,
    /// Refused because all writes failed.
    Refused,
    /// Refused because the job could not end in time.
    Overloaded,
    /// Refused because all data halls were cordoned.
    Cordoned,
    /// Refused because another team's job has the identifier.
    Foreign,
    /// Refused because the node's configuration has no such queue.
    NoQueue,
    /// Refused because a newer configuration may be in effect.
    Unconfirmed,
    /// Unknown: a write had no response.
    Unknown,
}

/// A runner's response to a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The run was started.
    Started,
    /// The runner has no free capacity.
    NoRoom,
    /// The runner refused the start.
    Refused,
    /// The outcome is unknown: there was no response.
    Unclear,
    /// The runner has seen a later owner, or is another instance.
    Superseded,
}

/// Result of parsing a line.
#[derive(Clone, Debug)]
pub enum ParsedLine {
    /// An event that can belong to a story.
    Known(StoryEvent),
    /// Any other event.
    Unknown,
    /// Not a complete log line.
    Broken,
}

impl StoryEvent {
    /// Parses a line.
    pub fn parse(text: &str) -> ParsedLine {
        let Some(line) = LogLine::parse(text) else {
            return ParsedLine::Broken;
        };
        let kind = match parse_kind(&line) {
            ParsedKind::Known(kind) => kind,
            ParsedKind::Unknown => return ParsedLine::Unknown,
            ParsedKind::Broken => return ParsedLine::Broken,
        };
        let Some(subject) = parse_subject(&line) else {
            return ParsedLine::Broken;
        };
        ParsedLine::Known(Self {
            time_ms: line.time_ms,
            node: line.process.clone(),
            subject,
            kind,
            raw_fields: line.raw_fields.to_owned(),
        })
    }

    /// The event's time, as logged.
    pub fn formatted_time(&self) -> String {
        format_time(self.time_ms)
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

/// Formats a time since the epoch as in the logs.
pub fn format_time(time_ms: u64) -> String {
    // Can't overflow: the time was parsed from a line of the same format.
    let time = UNIX_EPOCH + Duration::from_millis(time_ms);
    format_rfc3339_millis(time).to_string()
}

enum ParsedKind {
    Known(EventKind),
    Unknown,
    Broken,
}

fn parse_kind(line: &LogLine) -> ParsedKind {
    let simple = match line.event.as_str() {
        "job_call" => return parse_call(line),
        "queue_unknown" => return parse_refused_call(line, SubmitOutcome::NoQueue),
        "policy_unconfirmed" => return parse_refused_call(line, SubmitOutcome::Unconfirmed),
        "job_refused" => return known_or_broken(parse_refused(line)),
        "intake_pressure" => return parse_pressure(line),
        "job_taken" => return known_or_broken(parse_taken(line)),
        "task_ordered" => return known_or_broken(parse_ordered(line)),
        "task_given_up" => return known_or_broken(parse_given_up(line)),
        "task_stopped" => return known_or_broken(parse_stopped(line)),
        "pool_needs" => return known_or_broken(parse_needs(line)),
        "hall_cordon_in_force" => {
            let hall = line.owned("hall");
            return known_or_broken(hall.map(|hall| EventKind::HallCordoned { hall }));
        }
        "hall_cordon_over" => {
            let hall = line.owned("hall");
            return known_or_broken(hall.map(|hall| EventKind::HallReleased { hall }));
        }
        "pool_left" => return known_or_broken(parse_left(line)),
        "runner_gone" => return known_or_broken(parse_gone(line)),
        "upkeep_waits" => return known_or_broken(parse_waits(line)),
        "vm_moved" => return known_or_broken(parse_moved(line)),
        "follow_lost" => return known_or_broken(parse_store_lost(line)),
        "follow_regained" => return known_or_broken(parse_store_regained(line)),
        "create_failed" => return known_or_broken(parse_failed(line)),
        name => kind_without_fields(name),
    };
    simple.map_or(ParsedKind::Unknown, ParsedKind::Known)
}

fn known_or_broken(kind: Option<EventKind>) -> ParsedKind {
    kind.map_or(ParsedKind::Broken, ParsedKind::Known)
}

/// Kinds that don't depend on the event's fields.
fn kind_without_fields(name: &str) -> Option<EventKind> {
    Some(match name {
        "cancel_unknown" => EventKind::CancelUnknown,
        "status_unknown" => EventKind::StatusUnknown,
        "job_cancelled" => EventKind::JobCancelled,
        "job_ended" => EventKind::JobEnded,
        "job_unreadable" | "progress_unreadable" => EventKind::JobUnreadable,
        "start_not_sent" => EventKind::StartDropped,
        "task_paced" => EventKind::TaskPaced,
        "run_lost" => EventKind::RunLost,
        "run_suspected" => EventKind::RunSuspected,
        "run_not_lost" => EventKind::RunNotLost,
        "pool_taken" => EventKind::PoolTaken,
        "pool_not_taken" => EventKind::PoolNotTaken,
        "pool_handed_on" => EventKind::PoolHandedOn,
        "pool_offered" => EventKind::PoolOffered,
        "pool_released" => EventKind::PoolReleased,
        "takeover_unclear" => EventKind::TakeoverUnclear,
        "runner_fenced" => EventKind::RunnerFenced,
        "vm_work_stalled" => EventKind::VmWorkStalled,
        "runner_taken" => EventKind::RunnerTaken,
        "runner_lost" => EventKind::RunnerLost,
        "lease_lapsed" => EventKind::LeaseLapsed,
        "runner_silent" => EventKind::RunnerSilent,
        "runner_silence_over" => EventKind::RunnerSilenceOver,
        "runner_suspected" => EventKind::RunnerSuspected,
        "runner_regained" => EventKind::RunnerRegained,
        "runner_life_over" => EventKind::RunnerLifeOver,
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

fn parse_subject(line: &LogLine) -> Option<EventSubject> {
    Some(match line.event.as_str() {
        "job_call"
        | "cancel_unknown"
        | "status_unknown"
        | "job_refused"
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
        | "run_suspected" | "run_not_lost" | "task_given_up" => {
            let (job, _) = line.text("task")?.split_once('.')?;
            EventSubject::Job(job.to_owned())
        }
        "pool_taken"
        | "pool_left"
        | "pool_not_taken"
        | "pool_handed_on"
        | "pool_offered"
        | "pool_released"
        | "takeover_unclear"
        | "runner_fenced"
        | "vm_work_stalled"
        | "pool_needs"
        | "intake_pressure"
        | "hall_cordon_in_force"
        | "hall_cordon_over" => EventSubject::Pool(line.owned("pool")?),
        "runner_taken"
        | "runner_lost"
        | "lease_lapsed"
        | "runner_silent"
        | "runner_silence_over"
        | "runner_suspected"
        | "runner_regained"
        | "runner_gone"
        | "runner_life_over"
        | "runner_unlisted"
        | "runner_failing"
        | "runner_sound"
        | "task_stalled" => EventSubject::Runner(line.owned("runner")?),
        // Its runs were ordered from the instance before.
        "runner_answers_anew" => EventSubject::Runner(line.owned("before")?),
        "upkeep_waits" | "upkeep_ordered" | "vm_moved" => EventSubject::Vm(line.owned("vm")?),
        "node_gone" => EventSubject::Node(line.owned("node")?),
        _ => EventSubject::Node(line.process.clone()),
    })
}

fn parse_call(line: &LogLine) -> ParsedKind {
    match line.text("call") {
        Some("submit") => known_or_broken(parse_submit(line)),
        Some("cancel") => ParsedKind::Known(EventKind::CancelAnswered),
        Some(_) => ParsedKind::Unknown,
        None => ParsedKind::Broken,
    }
}

fn parse_submit(line: &LogLine) -> Option<EventKind> {
    let outcome = match line.text("outcome")? {
        "accepted" => SubmitOutcome::Accepted,
        "present" => SubmitOutcome::Present,
        "store_lost" => SubmitOutcome::StoreLost,
        "refused" => SubmitOutcome::Refused,
        "overloaded" => SubmitOutcome::Overloaded,
        "halls_cordoned" => SubmitOutcome::Cordoned,
        "foreign" => SubmitOutcome::Foreign,
        "unknown" => SubmitOutcome::Unknown,
        _ => return None,
    };
    Some(EventKind::Submitted {
        queue: line.owned("queue")?,
        outcome,
        took_ms: line.number("took_ms")?,
    })
}

/// Parses a call that was refused before its queue was known; only a submission
/// shows the outcome of a job.
fn parse_refused_call(line: &LogLine, outcome: SubmitOutcome) -> ParsedKind {
    match line.text("method") {
        Some("POST") => ParsedKind::Known(EventKind::Submitted {
            queue: String::new(),
            outcome,
            took_ms: 0,
        }),
        Some(_) => ParsedKind::Unknown,
        None => ParsedKind::Broken,
    }
}

fn parse_refused(line: &LogLine) -> Option<EventKind> {
    Some(EventKind::JobRefused(RefusalFacts {
        pool: line.owned("pool")?,
        team: line.owned("team")?,
        is_team_excess: match line.text("reason")? {
            "team_excess" => true,
            "pool_full" => false,
            _ => return None,
        },
        wait_ms: line.number("wait_ms")?,
        limit_ms: line.number("limit_ms")?,
        retry_after_ms: line.number("retry_after_ms")?,
        report_age_ms: line.number("report_age_ms")?,
        epoch: line.number("epoch")?,
    }))
}

/// Parses the begin or the end of a pool's pressure; the lines in between add nothing.
fn parse_pressure(line: &LogLine) -> ParsedKind {
    match line.text("state") {
        Some("begins") => ParsedKind::Known(EventKind::PoolPressure { over: false }),
        Some("ends") => ParsedKind::Known(EventKind::PoolPressure { over: true }),
        Some(_) => ParsedKind::Unknown,
        None => ParsedKind::Broken,
    }
}

fn parse_taken(line: &LogLine) -> Option<EventKind> {
    Some(EventKind::JobTaken {
        queue: line.owned("queue")?,
        pool: line.owned("pool")?,
        age_ms: line.number("age_ms")?,
        restored: line.text("restored")? == "true",
    })
}

fn parse_run(line: &LogLine) -> Option<TaskRun> {
    Some(TaskRun {
        task: line.owned("task")?,
        number: line.number("run")?,
        runner: line.owned("runner")?,
    })
}

fn parse_ordered(line: &LogLine) -> Option<EventKind> {
    let outcome = match line.text("outcome")? {
        "Started" => OrderOutcome::Started,
        "NoRoom" => OrderOutcome::NoRoom,
        "Refused" | "NoTicket" => OrderOutcome::Refused,
        "Unclear" => OrderOutcome::Unclear,
        "Fenced" | "WrongLife" | "Old" => OrderOutcome::Superseded,
        _ => return None,
    };
    let run = parse_run(line)?;
    Some(EventKind::TaskOrdered { run, outcome })
}

fn parse_stopped(line: &LogLine) -> Option<EventKind> {
    let done = line.text("outcome")? == "done";
    let run = parse_run(line)?;
    Some(EventKind::TaskStopped { run, done })
}

fn parse_given_up(line: &LogLine) -> Option<EventKind> {
    let losses = line.number("losses")?;
    Some(EventKind::TaskGivenUp { losses })
}

fn parse_needs(line: &LogLine) -> Option<EventKind> {
    Some(EventKind::PoolNeeds {
        want: line.number("want")?,
        has: line.number("has")?,
    })
}

fn parse_left(line: &LogLine) -> Option<EventKind> {
    let deposed = line.text("end")? == "Deposed";
    Some(EventKind::PoolLeft { deposed })
}

fn parse_gone(line: &LogLine) -> Option<EventKind> {
    let why = line.owned("why")?;
    Some(EventKind::RunnerGone { why })
}

fn parse_waits(line: &LogLine) -> Option<EventKind> {
    let runner = line.owned("runner")?;
    Some(EventKind::UpkeepWaits { runner })
}

fn parse_moved(line: &LogLine) -> Option<EventKind> {
    let to = line.owned("to")?;
    Some(EventKind::VmMoved { to })
}

fn parse_failed(line: &LogLine) -> Option<EventKind> {
    let error = line.owned("error")?;
    Some(EventKind::CreateFailed { error })
}

fn parse_store_lost(line: &LogLine) -> Option<EventKind> {
    let prefix = line.owned("prefix")?;
    Some(EventKind::StoreLost { prefix })
}

fn parse_store_regained(line: &LogLine) -> Option<EventKind> {
    let prefix = line.owned("prefix")?;
    Some(EventKind::StoreRegained { prefix })
}
