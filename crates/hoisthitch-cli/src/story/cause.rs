//! Derives a job's outcome and the likeliest cause, by the three kinds of
//! failure that `docs/OPERATIONS.md` distinguishes.

use serde::Serialize;

use super::{
    delay::{
        JobDelay,
        find_owner_loss,
        wait_cause, //
    },
    event::{
        EventKind,
        RefusalFacts,
        StoryEvent,
        SubmitOutcome,
        format_time, //
    },
    runs::{
        LossCause,
        RunLoss,
        RunLosses, //
    },
    window::{
        is_picked_up,
        may_run, //
    }, //
};

/// Delay from which a job counts as late, in milliseconds: a lost owner is
/// replaced in less.
const LATE_MS: u64 = 2_000;

/// Number of runs of one task that ended by themselves from which the task, or
/// the runner that all of them ran on, is suspected as the cause.
const SUSPECT_RUNS: usize = 2;

/// Kind of failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureKind {
    /// The submission was refused, or its outcome is unknown.
    Refused,
    /// The job is late, or has not begun.
    Late,
    /// A long-running task was unavailable, or the job was shown as failed.
    Away,
}

impl FailureKind {
    /// Heading of the kind in the operators' page.
    pub fn title(self) -> &'static str {
        match self {
            Self::Refused => "1, a submission was refused or had no clear answer",
            Self::Late => "2, a job is late, or has not begun",
            Self::Away => "3, a lasting task was away, or a job was shown as failed",
        }
    }
}

/// Outcome of a job.
#[derive(Clone, Debug, Serialize)]
pub struct StoryEnd {
    /// Kind of the failure, if there is one.
    pub kind: Option<FailureKind>,
    /// The outcome, in a sentence.
    pub became: String,
    /// The likeliest cause, in a sentence.
    pub cause: String,
}

/// Derives a job's outcome and its cause; both lists are in order of time.
pub fn diagnose(id: &str, own: &[StoryEvent], related: &[StoryEvent]) -> StoryEnd {
    let losses = RunLosses::find(own, related);
    let delay = JobDelay::from_events(own);
    let became = describe_outcome(id, own, &losses);
    let (kind, cause) = if !is_picked_up(own) {
        diagnose_submission(own, related, &delay)
    } else if let Some(losses) = runners_lost_to_task(own) {
        (Some(FailureKind::Away), crashing_task_cause(losses))
    } else if !losses.losses.is_empty() {
        (Some(FailureKind::Away), loss_cause(&losses, related))
    } else if is_cancelled(own) {
        (None, "a cancel was handed in.".to_owned())
    } else if losses.started_tasks == 0 && was_restored(own) {
        (None, "it had begun before these lines.".to_owned())
    } else if losses.started_tasks == 0 || delay.total_ms() >= LATE_MS {
        (Some(FailureKind::Late), wait_cause(own, related, &delay))
    } else {
        (None, no_failure_cause(related))
    };
    StoryEnd {
        kind,
        became,
        cause,
    }
}

fn is_cancelled(own: &[StoryEvent]) -> bool {
    own.iter()
        .any(|event| event.kind == EventKind::JobCancelled)
}

/// Number of runners lost while they ran the task that was failed for crashing
/// them, if there is such a task.
fn runners_lost_to_task(own: &[StoryEvent]) -> Option<u64> {
    own.iter().find_map(|event| match event.kind {
        EventKind::TaskGivenUp { losses } => Some(losses),
        _ => None,
    })
}

fn crashing_task_cause(losses: u64) -> String {
    let runners = count(usize::try_from(losses).unwrap_or(usize::MAX), "runner");
    format!(
        "a task of it crashes the runners that start it ({runners} lost under it), and was given up; its run_lost lines name them."
    )
}

/// Whether an owner restored the job after it had begun under an earlier one.
fn was_restored(own: &[StoryEvent]) -> bool {
    let mut kinds = own.iter().map(|event| &event.kind);
    kinds.any(|kind| matches!(kind, EventKind::JobTaken { restored: true, .. }))
}

fn no_failure_cause(related: &[StoryEvent]) -> String {
    find_owner_loss(related).map_or_else(
        || "these lines show no failure.".to_owned(),
        |event| {
            format!(
                "these lines show no failure, but no owner of its pool after {}; add the logs of all nodes.",
                event.formatted_time()
            )
        },
    )
}

fn describe_outcome(id: &str, own: &[StoryEvent], losses: &RunLosses) -> String {
    if !may_run(own) {
        return "refused: it never ran.".to_owned();
    }
    let asked = format!("'hoisthitch job status {id}' tells its state");
    if is_cancelled(own) {
        return format!(
            "cancelled, with {}.",
            count(losses.started_tasks, "task started")
        );
    }
    if !is_picked_up(own) {
        let answer = match last_outcome(own) {
            Some((SubmitOutcome::Accepted | SubmitOutcome::Present, _)) => "accepted",
            Some(_) => "perhaps kept",
            None => "not known",
        };
        return format!("{answer}, and not taken in by an owner in these lines; {asked}.");
    }
    if losses.started_tasks == 0 && was_restored(own) {
        return format!("begun before these lines, and no task started in them; {asked}.");
    }
    if losses.started_tasks == 0 {
        return format!("taken in, and no task started in these lines; {asked}.");
    }
    let lost = losses.losses.len();
    let away = losses.losses.iter();
    let away = away.filter(|loss| loss.restarted_ms.is_none()).count();
    format!(
        "{}, {}, {away} of them not started again; {asked}.",
        count(losses.started_tasks, "task started"),
        count(lost, "run lost"),
    )
}

/// Formats a number with the thing it counts; the first word takes the plural.
fn count(number: usize, what: &str) -> String {
    match what.split_once(' ') {
        None if number != 1 => format!("{number} {what}s"),
        Some((noun, rest)) if number != 1 => format!("{number} {noun}s {rest}"),
        _ => format!("{number} {what}"),
    }
}

fn last_outcome(own: &[StoryEvent]) -> Option<(SubmitOutcome, &StoryEvent)> {
    own.iter().rev().find_map(|event| match &event.kind {
        EventKind::Submitted { outcome, .. } => Some((*outcome, event)),
        _ => None,
    })
}

fn diagnose_submission(
    own: &[StoryEvent],
    related: &[StoryEvent],
    delay: &JobDelay,
) -> (Option<FailureKind>, String) {
    let Some((outcome, event)) = last_outcome(own) else {
        let cause = "no line tells of its submission; add the logs of all nodes.";
        return (None, cause.to_owned());
    };
    let node = &event.node;
    let cause = match outcome {
        SubmitOutcome::Accepted | SubmitOutcome::Present => {
            return (Some(FailureKind::Late), wait_cause(own, related, delay));
        }
        SubmitOutcome::StoreLost => store_cause(node, related),
        SubmitOutcome::Refused => format!(
            "every write of {node} was answered with an error{}.",
            write_error(node, related)
        ),
        SubmitOutcome::Overloaded => overload_cause(own),
        SubmitOutcome::Cordoned => format!(
            "{node} knew all data halls as cordoned, so that nothing could be started, and refused at once; its hall_cordoned lines tell since when."
        ),
        SubmitOutcome::Foreign => {
            "a job of another team has this identifier; these lines do not show that job's."
                .to_owned()
        }
        SubmitOutcome::NoQueue => format!(
            "{node} knows no queue for it by its configuration ({}); compare policy_in_force of all nodes.",
            event.raw_fields
        ),
        SubmitOutcome::Unconfirmed => format!(
            "{node} could not confirm its configuration ({}), and refused at once.",
            event.raw_fields
        ),
        SubmitOutcome::Unknown => format!(
            "a write of {node} had no answer{}; the job may run.",
            write_error(node, related)
        ),
    };
    (Some(FailureKind::Refused), cause)
}

/// Explains the last refusal for want of room.
fn overload_cause(own: &[StoryEvent]) -> String {
    let refused = own.iter().rev().find_map(|event| match &event.kind {
        EventKind::JobRefused(facts) => Some((event, facts)),
        _ => None,
    });
    let Some((event, facts)) = refused else {
        return "it could not end in time; no job_refused line tells why.".to_owned();
    };
    let RefusalFacts { pool, team, .. } = facts;
    let whose = if facts.is_team_excess {
        format!(
            "team {team} had more work waiting in pool {pool} than its share or limit serves in time"
        )
    } else {
        format!("pool {pool} had more work waiting than it serves in time")
    };
    format!(
        "{whose}: {} expected a start after {} ms, and at most {} ms were of use; the caller was told to return after {} ms (report of the owner with epoch {}, {} ms old).",
        event.node,
        facts.wait_ms,
        facts.limit_ms,
        facts.retry_after_ms,
        facts.epoch,
        facts.report_age_ms
    )
}

fn store_cause(node: &str, related: &[StoryEvent]) -> String {
    let mut lost = related
        .iter()
        .filter(|event| event.node == node && matches!(event.kind, EventKind::StoreLost { .. }));
    let since = lost.next().map_or_else(
        || "; no line tells since when".to_owned(),
        |event| format!(" since {}", event.formatted_time()),
    );
    format!("{node} had no answer from the store{since}, and refused at once.")
}

fn write_error(node: &str, related: &[StoryEvent]) -> String {
    let error = related.iter().find_map(|event| match &event.kind {
        EventKind::CreateFailed { error } if event.node == node => Some(error),
        _ => None,
    });
    error.map_or_else(String::new, |error| format!(" ({error})"))
}

/// Explains the losses: by a task whose runs end by themselves, else by the
/// loss after which the task was unavailable longest.
fn loss_cause(losses: &RunLosses, related: &[StoryEvent]) -> String {
    if let Some(cause) = failing_cause(losses) {
        return cause;
    }
    // `max_by_key` returns the last maximum; reversed, that is the earliest loss.
    let longest = losses
        .losses
        .iter()
        .rev()
        .max_by_key(|loss| outage_ms(loss));
    longest.map_or_else(String::new, |loss| {
        format!(
            "{}{}; {}.",
            describe_loss(loss),
            owner_change(loss, related),
            describe_restart(loss)
        )
    })
}

fn outage_ms(loss: &RunLoss) -> u64 {
    loss.restarted_ms
        .map_or(u64::MAX, |again| again.saturating_sub(loss.first_sign_ms))
}

fn failing_cause(losses: &RunLosses) -> Option<String> {
    let ended = |loss: &&RunLoss| loss.cause == LossCause::Ended;
    let ended: Vec<&RunLoss> = losses.losses.iter().filter(ended).collect();
    let worst = ended.iter().max_by_key(|loss| {
        let same = ended.iter().filter(|other| other.run.task == loss.run.task);
        same.count()
    })?;
    let of_task = |loss: &&&RunLoss| loss.run.task == worst.run.task;
    let runs: Vec<&&RunLoss> = ended.iter().filter(of_task).collect();
    if runs.len() < SUSPECT_RUNS {
        return None;
    }
    let task = &worst.run.task;
    let number = runs.len();
    let first = &worst.run.runner;
    let same = runs.iter().all(|loss| loss.run.runner == *first);
    Some(if same {
        format!("{number} runs of task {task} ended by themselves, all on {first}: look at it.")
    } else {
        format!("{number} runs of task {task} ended on several runners: look at the job itself.")
    })
}

fn describe_loss(loss: &RunLoss) -> String {
    let task = &loss.run.task;
    let runner = &loss.run.runner;
    let at = format_time(loss.first_sign_ms);
    let what = match loss.cause {
        LossCause::Ended => return format!("a run of task {task} on {runner} ended by itself"),
        LossCause::Stopped => return format!("the owner stopped task {task} on {runner} at {at}"),
        LossCause::Unanswered => "gave no answer",
        LossCause::Silent => "fell silent, and its lease was waited for",
        LossCause::Stalled => "let the task stand still",
        LossCause::LeaseExpired => "gave no answer until its lease lapsed",
        LossCause::Restarted => "started again, and holds nothing of before",
        LossCause::RunnerRemoved(why) => describe_removal(why),
    };
    format!("runner {runner} of task {task} {what} (first sign at {at})")
}

fn describe_removal(why: &str) -> &'static str {
    match why {
        "down" => "went down with its VM, for maintenance or a move",
        "ended" => "ended, and a later life came on its VM",
        "silent" => "stayed silent until its lease was over",
        "replaced" => "was replaced by a later life at its address",
        _ => "was given up by the owner",
    }
}

/// Describes a change of owner between the loss and the next start, which
/// delays that start.
fn owner_change(loss: &RunLoss, related: &[StoryEvent]) -> String {
    let until = loss.restarted_ms.unwrap_or(u64::MAX);
    let mut takeovers = related.iter().filter(|event| {
        event.kind == EventKind::PoolTaken && (loss.first_sign_ms..=until).contains(&event.time_ms)
    });
    if let Some(event) = takeovers.next_back() {
        let (node, at) = (&event.node, event.formatted_time());
        return format!(", while the pool changed its owner ({node} took it at {at})");
    }
    match find_owner_loss(related) {
        Some(event) if loss.restarted_ms.is_none() => {
            format!(
                ", and no owner of its pool shows after {}",
                event.formatted_time()
            )
        }
        _ => String::new(),
    }
}

fn describe_restart(loss: &RunLoss) -> String {
    match loss.restarted_ms {
        Some(again) => format!(
            "the task was started again {} ms later",
            again.saturating_sub(loss.first_sign_ms)
        ),
        None => "no later start shows, so the task is away unless it was done before".to_owned(),
    }
}
