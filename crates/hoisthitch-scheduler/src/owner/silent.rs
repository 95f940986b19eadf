//! Runners of an owned pool that do not answer.
//!
//! What such a runner was told to run ends with its lease, which only the owner
//! that gave it knows. The owner therefore records when that is, in the head of
//! the pool's journal, so that the next owner goes on with the same wait: alone
//! it would have to wait for the longest lease there can be, from its own
//! election on, and a task would stay away for as long as owners change.
//!
//! A recorded end has to stay true. A runner that was silent gets its next lease
//! only after it was heard and no record names it any more.

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

/// Time without an answer after which a runner's silence is recorded, in
/// milliseconds: a hold that failed and the next one. The wait of a next owner
/// and this together stay under the nine seconds that a lasting task may be away.
const SILENT_MS: Millis = 300;

/// Time after which what is recorded of silent runners is written anew, in
/// milliseconds: by so much longer the next owner waits.
const NOTE_AGE_MS: Millis = 500;

/// What the journal's head says of silent runners.
#[derive(Debug, Default)]
pub(super) struct SilenceNotes {
    /// Runners that it names, or may name by a write under way.
    noted: BTreeSet<String>,
    /// Runners that the write under way names; none without one.
    writing: Option<BTreeSet<String>>,
    /// When it was last written.
    noted_at: Millis,
    /// Runners whose silence was logged.
    logged: BTreeSet<String>,
    /// Runners that were heard while they were named, with their silences.
    heard: BTreeMap<RunnerKey, u64>,
}

impl SilenceNotes {
    /// Notes of a new owner, whose head names the runners that the last one's did.
    pub(super) fn inherited(left: &BTreeMap<String, Millis>) -> Self {
        Self {
            noted: left.keys().cloned().collect(),
            ..Self::default()
        }
    }
}

/// What a new owner inherits, from the word that the last one left.
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
    /// Looks which runners with tasks are silent, and says what is new.
    pub(super) fn look_for_silence(&mut self, now: Millis) {
        if self.leaving {
            self.silent = self.state.all_runs();
            return;
        }
        let since = now.saturating_sub(SILENT_MS);
        let long = self.state.silent_runs(self.owned_since, since);
        self.log_silences(&long, now);
        // One that is named stays so until it is heard, or what an earlier owner
        // recorded would be lost.
        let mut silent = self.state.silent_runs(self.owned_since, now);
        let noted = &self.notes.noted;
        silent.retain(|runner, _| long.contains_key(runner) || noted.contains(runner));
        self.silent = silent;
    }

    /// Logs which silences began, and which are over.
    fn log_silences(&mut self, long: &BTreeMap<String, SilentRuns>, now: Millis) {
        for (runner, runs) in long {
            if self.notes.logged.insert(runner.clone()) {
                self.log_silence(runner, *runs, now);
            }
        }
        self.notes.logged.retain(|runner| {
            let goes_on = long.contains_key(runner);
            if !goes_on {
                event!(
                    Info,
                    "runner_silence_over",
                    runner = self.state.instance_by_name(runner)
                );
            }
            goes_on
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

    /// Whether the journal's head has to be written for the silent runners.
    pub(super) fn needs_note(&self, now: Millis) -> bool {
        let old = now >= self.notes.noted_at + NOTE_AGE_MS;
        (old && !self.silent.is_empty()) || !self.is_noted()
    }

    /// Whether the journal's head names the runners that are silent, and no
    /// others.
    pub(super) fn is_noted(&self) -> bool {
        self.silent.keys().eq(self.notes.noted.iter())
    }

    /// Stops giving leases, so that the ends of all runs are certain and can be
    /// recorded for the next owner: of a runner that was just lost nobody may know
    /// yet, for its last hold waits for an answer.
    pub(super) fn begin_leaving(&mut self, events: &mut mpsc::UnboundedReceiver<SessionEvent>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.sessions.clear();
        self.instances.drop_waiting();
        self.state.cancel_planned_starts(self.now());
        // Leases that were given until now.
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

    /// Whether the next owner knows when all runs end.
    pub(super) fn has_left_word(&self) -> bool {
        self.leaving && self.is_noted()
    }

    /// What to write of the silent runners now, with the time that each may still
    /// run something.
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

    /// Takes in that the head was written, if it was: runners that it names no more
    /// may have leases again.
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

    /// Takes in that a runner was heard after that many silences.
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
