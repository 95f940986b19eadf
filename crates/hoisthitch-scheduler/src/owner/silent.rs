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
    journal::RunnerNotes,
    platform::Platform,
    session::{
        MAX_RUN_AFTER_CONFIRMATION_MS,
        SessionEvent, //
    }, //
};

/// Time without a response after a failed heartbeat, in milliseconds, after which a runner is
/// recorded as silent: the next heartbeat is sent within it. This time and the wait of the next
/// owner together stay under the nine seconds that a long-running task may be unavailable.
const SILENT_AFTER_MS: Millis = 300;

/// Age at which the record of silent runners is written again, in milliseconds; the next owner
/// waits longer by up to this time.
const RECORD_AGE_MS: Millis = 500;

/// What the journal's head records of silent runners.
#[derive(Debug, Default)]
pub(super) struct SilenceTracker {
    /// Runners that the head names, or may name if a write is in progress.
    recorded: BTreeSet<String>,
    /// Runners that the write in progress names; none without such a write.
    writing: Option<BTreeSet<String>>,
    /// When the last write of them began.
    recorded_at: Millis,
    /// Runners whose silence was logged.
    logged: BTreeSet<String>,
    /// Runners that responded while the head named them, with the number of heartbeats that
    /// each missed so far.
    responded: BTreeMap<RunnerKey, u64>,
}

impl SilenceTracker {
    /// State of a new owner, whose head names the same runners as the previous owner's.
    pub(super) fn inherited(previous: &BTreeMap<String, Millis>) -> Self {
        Self {
            recorded: previous.keys().cloned().collect(),
            ..Self::default()
        }
    }
}

/// Ends of the runs that a new owner inherits, with the times that the previous owner recorded.
pub(super) fn inherited_runs(previous: &RunnerNotes, now: Millis) -> InheritedRuns {
    let ends = |times: &BTreeMap<String, Millis>| {
        let times = times.iter();
        times
            .map(|(runner, time)| (runner.clone(), now + time))
            .collect()
    };
    InheritedRuns {
        until: now + MAX_RUN_AFTER_CONFIRMATION_MS,
        silent: ends(&previous.silent),
        stray: ends(&previous.stray),
    }
}

impl<P: Platform> PoolOwner<P> {
    /// Determines which runners with tasks are silent, and logs the changes.
    pub(super) fn update_silent(&mut self, now: Millis) {
        if self.handing_over {
            self.silent = self.state.all_runs();
            return;
        }
        let since = now.saturating_sub(SILENT_AFTER_MS);
        let long_silent = self.state.silent_runs(self.owner_since, since);
        self.log_silences(&long_silent, now);
        // A runner that the head names stays in it until it responds; otherwise the end that
        // an earlier owner recorded would be lost.
        let mut silent = self.state.silent_runs(self.owner_since, now);
        let recorded = &self.silence.recorded;
        silent.retain(|runner, _| long_silent.contains_key(runner) || recorded.contains(runner));
        self.silent = silent;
    }

    /// Logs which silences began and which are over.
    fn log_silences(&mut self, long_silent: &BTreeMap<String, SilentRuns>, now: Millis) {
        for (runner, runs) in long_silent {
            if self.silence.logged.insert(runner.clone()) {
                self.log_silence(runner, *runs, now);
            }
        }
        self.silence.logged.retain(|runner| {
            let is_silent = long_silent.contains_key(runner);
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
    pub(super) fn needs_silence_write(&self, now: Millis) -> bool {
        let old = now >= self.silence.recorded_at + RECORD_AGE_MS;
        (old && !self.silent.is_empty()) || !self.is_silence_recorded()
    }

    /// Whether the journal's head names exactly the runners that are silent.
    pub(super) fn is_silence_recorded(&self) -> bool {
        self.silent.keys().eq(self.silence.recorded.iter())
    }

    /// Begins the handover of the pool: ends all sessions, so that no lease is extended any
    /// more and the ends of all runs are certain and can be recorded for the next owner. All
    /// runners are recorded, since a runner may just have been lost while its last heartbeat
    /// still waits for a response.
    pub(super) fn begin_handover(&mut self, events: &mut mpsc::UnboundedReceiver<SessionEvent>) {
        if self.handing_over {
            return;
        }
        self.handing_over = true;
        self.sessions.clear();
        self.instances.clear_waiting();
        self.state.cancel_planned_starts(self.now());
        // Leases that were granted until now; other events of the ended sessions are dropped.
        while let Ok(event) = events.try_recv() {
            if let SessionEvent::LeaseGranted { runner, until } = event {
                self.state.extend_lease(runner, until);
            }
        }
        self.update_silent(self.now());
        event!(
            Info,
            "pool_handed_on",
            pool = self.context.pool,
            epoch = self.epoch,
            runners = self.silent.len()
        );
    }

    /// Whether the handover is complete: the ends of all runs are recorded.
    pub(super) fn is_handed_over(&self) -> bool {
        self.handing_over && self.is_silence_recorded()
    }

    /// Begins a write of the silent runners; returns the time for which each may still run
    /// something, by name.
    pub(super) fn begin_silence_write(&mut self, now: Millis) -> BTreeMap<String, Millis> {
        self.update_silent(now);
        let silent = self.silent.iter();
        let times: BTreeMap<String, Millis> = silent
            .map(|(runner, runs)| (runner.clone(), runs.until.saturating_sub(now)))
            .collect();
        self.silence.writing = Some(times.keys().cloned().collect());
        self.silence.recorded.extend(times.keys().cloned());
        self.silence.recorded_at = now;
        times
    }

    /// Completes a write of the silent runners, if one was in progress: runners that the head
    /// does not name any more may have leases again.
    pub(super) fn finish_silence_write(&mut self) {
        let Some(written) = self.silence.writing.take() else {
            return;
        };
        self.silence.recorded = written;
        let responded = std::mem::take(&mut self.silence.responded);
        for (runner, misses) in responded {
            self.handle_response(runner, misses);
        }
    }

    /// Handles a response of a runner that missed that many heartbeats so far. It may have
    /// leases again at once if the head does not name it, otherwise after the next write.
    pub(super) fn handle_response(&mut self, key: RunnerKey, misses: u64) {
        let Some(session) = self.sessions.get(&key) else {
            return;
        };
        let name = self.state.runner(key).map(|runner| &runner.facts.name);
        if name.is_some_and(|name| self.silence.recorded.contains(name)) {
            self.silence.responded.insert(key, misses);
        } else {
            session.allow_leases(misses);
        }
    }
}
