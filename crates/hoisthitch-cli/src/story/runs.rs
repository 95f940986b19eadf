//! Runs of a job's tasks that were lost, and the cause of each loss.
//!
//! A run counts as lost if its task was started again, or if an event is strong
//! evidence of the loss.

use std::collections::BTreeMap;

use super::event::{
    EventKind,
    OrderOutcome,
    StoryEvent,
    TaskRun, //
};

/// Runs of a job's tasks that were lost.
#[derive(Debug)]
pub struct RunLosses<'a> {
    /// Number of tasks that were started.
    pub started_tasks: usize,
    /// The losses, in order of time.
    pub losses: Vec<RunLoss<'a>>,
}

/// A run that was lost.
#[derive(Debug)]
pub struct RunLoss<'a> {
    /// The run.
    pub run: &'a TaskRun,
    /// When the first sign of the loss was logged, in milliseconds since the epoch.
    pub first_sign_ms: u64,
    /// Cause of the loss.
    pub cause: LossCause<'a>,
    /// When the task was started again, in milliseconds since the epoch.
    pub restarted_ms: Option<u64>,
}

/// Cause of a lost run, ordered from the weakest evidence to the strongest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LossCause<'a> {
    /// No event shows a loss: the run ended by itself.
    Ended,
    /// The runner did not respond.
    Unanswered,
    /// The runner was unresponsive and might still run it.
    Silent,
    /// The owner stopped it.
    Stopped,
    /// The task made no progress.
    Stalled,
    /// The runner's lease expired.
    LeaseExpired,
    /// The runner restarted.
    Restarted,
    /// The owner removed the runner, for the logged reason.
    RunnerRemoved(&'a str),
}

/// A run that was started.
#[derive(Clone, Copy, Debug)]
struct StartedRun<'a> {
    run: &'a TaskRun,
    started_ms: u64,
}

impl<'a> RunLosses<'a> {
    /// Finds the losses; both lists are in order of time.
    pub fn find(own: &'a [StoryEvent], related: &'a [StoryEvent]) -> Self {
        let tasks = find_runs(own);
        let mut losses = Vec::new();
        for runs in tasks.values() {
            for (index, started) in runs.iter().enumerate() {
                let restarted_ms = runs.get(index + 1).map(|next| next.started_ms);
                losses.extend(find_loss(*started, restarted_ms, own, related));
            }
        }
        losses.sort_by_key(|loss| loss.first_sign_ms);
        Self {
            started_tasks: tasks.len(),
            losses,
        }
    }
}

/// Runs of each task; a start that is sent again counts as the same run.
fn find_runs(own: &[StoryEvent]) -> BTreeMap<&str, Vec<StartedRun<'_>>> {
    let mut tasks: BTreeMap<&str, Vec<StartedRun>> = BTreeMap::new();
    for event in own {
        let EventKind::TaskOrdered { run, outcome } = &event.kind else {
            continue;
        };
        let runs = tasks.entry(run.task.as_str()).or_default();
        let known = runs.iter().any(|known| known.run.number >= run.number);
        if *outcome == OrderOutcome::Started && !known {
            let started_ms = event.time_ms;
            runs.push(StartedRun { run, started_ms });
        }
    }
    tasks.retain(|_, runs| !runs.is_empty());
    tasks
}

/// Finds how a run was lost. Without a later start only certain signs count,
/// because a runner that leaves one request unanswered may continue.
fn find_loss<'a>(
    started: StartedRun<'a>,
    restarted_ms: Option<u64>,
    own: &'a [StoryEvent],
    related: &'a [StoryEvent],
) -> Option<RunLoss<'a>> {
    let until = restarted_ms.unwrap_or(u64::MAX);
    let events = own.iter().chain(related);
    let signs: Vec<(u64, LossCause)> = events
        .filter(|event| (started.started_ms..=until).contains(&event.time_ms))
        .filter_map(|event| Some((event.time_ms, loss_sign(event, started.run)?)))
        .collect();
    let first = signs.iter().map(|(at, _)| *at).min();
    let surest = signs.iter().map(|(_, cause)| *cause).max();
    let cause = surest.unwrap_or(LossCause::Ended);
    if restarted_ms.is_none() && cause < LossCause::Stalled {
        return None;
    }
    Some(RunLoss {
        run: started.run,
        first_sign_ms: first.or(restarted_ms)?,
        cause,
        restarted_ms,
    })
}

/// Cause that the event shows for a loss of the run, if any.
fn loss_sign<'a>(event: &'a StoryEvent, run: &TaskRun) -> Option<LossCause<'a>> {
    if let EventKind::TaskStopped { run: stopped, .. } = &event.kind {
        return (stopped == run).then_some(LossCause::Stopped);
    }
    if event.runner() != Some(&run.runner) {
        return None;
    }
    match &event.kind {
        EventKind::RunnerLost => Some(LossCause::Unanswered),
        EventKind::RunnerSilent => Some(LossCause::Silent),
        EventKind::TaskStalled => Some(LossCause::Stalled),
        EventKind::LeaseLapsed => Some(LossCause::LeaseExpired),
        EventKind::RunnerRestarted => Some(LossCause::Restarted),
        EventKind::RunnerGone { why } => Some(LossCause::RunnerRemoved(why)),
        _ => None,
    }
}
