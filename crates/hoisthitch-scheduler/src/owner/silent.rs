//! Runners of an owned pool that do not respond ("silent" runners).
//!
//! The runs on such a runner end with its lease, whose end only the owner that granted it
//! knows. The owner therefore records that end in the head of the pool's journal, so that the
//! next owner continues the same wait. Without the record, the next owner would have to wait
//! for the longest possible lease from its own election on, and a task would stay unavailable
//! for as long as the pool keeps changing owners.
//!
//! A recorded end must stay valid: a silent runner gets its next lease only after it has
//! responded and the journal's head does not name it any more.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use hoisthitch_jobs::{
    InheritedRuns,
    Millis,
    RunnerKey,
    SilentRuns, //
};
use hoisthitch_telemetry::event;
use tokio::sync::mpsc;

use super::PoolOwner;
use crate::{
    platform::Platform,
    session::{
        LAST_RUN_MS,
        SessionEvent, //
    }, //
};

/// Time without a response after which a runner is recorded as silent, in milliseconds: one
/// failed heartbeat and the next one. This time and the wait of the next owner together stay
/// under the nine seconds that a long-running task may be unavailable.
const SILENT_AFTER_MS: Millis = 300;

/// Age at which the record of silent runners is written again, in milliseconds; the next owner
/// waits longer by up to this time.
const RECORD_AGE_MS: Millis = 500;

/// What the journal's head records of silent runners.
#[derive(Debug, Default)]
pub(super) struct SilenceNotes {
    /// Runners that the head names, or may name if a write is in progress.
    noted: BTreeSet<String>,
    /// Runners that the write in progress names; none without such a write.
    writing: Option<BTreeSet<String>>,
    /// When the last write of them began.
    noted_at: Millis,
    /// Runners whose silence was logged.
    logged: BTreeSet<String>,
    /// Runners that responded while the head named them, with the number of heartbeats that
    /// each missed so far.
    heard: BTreeMap<RunnerKey, u64>,
}

impl SilenceNotes {
    /// State of a new owner, whose head names the same runners as the previous owner's.
    pub(super) fn inherited(left: &BTreeMap<String, Millis>) -> Self {
        Self {
            noted: left.keys().cloned().collect(),
            ..Self::default()
        }
    }
}

/// Ends of the runs that a new owner inherits, with the times that the previous owner recorded
/// for silent runners.
pub(super) fn inherited_runs(left: &BTreeMap<String, Millis>, now: Millis) -> InheritedRuns {
    InheritedRuns {
        until: now + LAST_RUN_MS,
        silent: left
            .iter()
            .map(|(runner, time)| (runner.clone(), now + time))
            .collect(),
    }
}

impl<P: Platform> PoolOwner<P> {
    /// Determines which runners with tasks are silent, and logs the changes.
    pub(super) fn look_for_silence(&mut self, now: Millis) {
        if self.leaving {
            self.silent = self.state.all_runs();
            return;
        }
        let since = now.saturating_sub(SILENT_AFTER_MS);
        let long = self.state.silent_runs(self.owned_since, since);
        self.log_silences(&long, now);
        // A runner that the head names stays in it until it responds; otherwise the end that
        // an earlier owner recorded would be lost.
        let mut silent = self.state.silent_runs(self.owned_since, now);
        let noted = &self.notes.noted;
        silent.retain(|runner, _| long.contains_key(runner) || noted.contains(runner));
        self.silent = silent;
    }

    /// Logs which silences began and which are over.
    fn log_silences(&mut self, long: &BTreeMap<String, SilentRuns>, now: Millis) {
        for (runner, runs) in long {
            if self.notes.logged.insert(runner.clone()) {
                self.log_silence(runner, *runs, now);
            }
        }
        self.notes.logged.retain(|runner| {
            let is_silent = long.contains_key(runner);
            if !is_silent {
                event!(
                    Info,
                    "runner_silence_over",
                    runner = self.state.instance_by_name(runner)
                );
            }
            is_silent
        });
    }

    fn log_silence(&self, runner: &str, runs: SilentRuns, now: Millis) {
        event!(
            Warn,
            "runner_silent",
            pool = self.context.pool,
            epoch = self.epoch,
            runner = self.state.instance_by_name(runner),
            tasks = runs.tasks,
            wait_ms = runs.until.saturating_sub(now)
        );
    }

    /// Whether the journal's head has to be written because of silent runners.
    pub(super) fn needs_note(&self, now: Millis) -> bool {
        let old = now >= self.notes.noted_at + RECORD_AGE_MS;
        (old && !self.silent.is_empty()) || !self.is_noted()
    }

    /// Whether the journal's head names exactly the runners that are silent.
    pub(super) fn is_noted(&self) -> bool {
        self.silent.keys().eq(self.notes.noted.iter())
    }

    /// Begins the handover of the pool: ends all sessions, so that no lease is extended any
    /// more and the ends of all runs are certain and can be recorded for the next owner. All
    /// runners are recorded, since a runner may just have been lost while its last heartbeat
    /// still waits for a response.
    pub(super) fn begin_leaving(&mut self, events: &mut mpsc::UnboundedReceiver<SessionEvent>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.sessions.clear();
        self.instances.drop_waiting();
        self.state.cancel_planned_starts(self.now());
        // Leases that were granted until now.
        while let Ok(event) = events.try_recv() {
            if let SessionEvent::Extended { runner, until } = event {
                self.state.extend_lease(runner, until);
            }
        }
        self.look_for_silence(self.now());
        event!(
            Info,
            "pool_handed_on",
            pool = self.context.pool,
            epoch = self.epoch,
            runners = self.silent.len()
        );
    }

    /// Whether the handover is complete: the ends of all runs are recorded.
    pub(super) fn has_left_word(&self) -> bool {
        self.leaving && self.is_noted()
    }

    /// Begins a write of the silent runners; returns the time for which each may still run
    /// something, by name.
    pub(super) fn begin_note(&mut self, now: Millis) -> BTreeMap<String, Millis> {
        self.look_for_silence(now);
        let silent = self.silent.iter();
        let note: BTreeMap<String, Millis> = silent
            .map(|(runner, runs)| (runner.clone(), runs.until.saturating_sub(now)))
            .collect();
        self.notes.writing = Some(note.keys().cloned().collect());
        self.notes.noted.extend(note.keys().cloned());
        self.notes.noted_at = now;
        note
    }

    /// Completes a write of the silent runners, if one was in progress: runners that the head
    /// does not name any more may have leases again.
    pub(super) fn finish_note(&mut self) {
        let Some(written) = self.notes.writing.take() else {
            return;
        };
        self.notes.noted = written;
        let heard = std::mem::take(&mut self.notes.heard);
        for (runner, silences) in heard {
            self.take_answer(runner, silences);
        }
    }

    /// Handles a response of a runner that missed that many heartbeats so far. It may have
    /// leases again at once if the head does not name it, otherwise after the next write.
    pub(super) fn take_answer(&mut self, key: RunnerKey, silences: u64) {
        let Some(session) = self.sessions.get(&key) else {
            return;
        };
        let name = self.state.runner(key).map(|runner| &runner.facts.name);
        if name.is_some_and(|name| self.notes.noted.contains(name)) {
            self.notes.heard.insert(key, silences);
        } else {
            session.settle(silences);
        }
    }
}
