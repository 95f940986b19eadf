//! Lives of an owned pool's runners: which one is there, and which are over.
//!
//! A runner that starts again may keep its name and its address, so that orders for the
//! life before reach the next one, also seconds later. Two rules keep them apart:
//!
//! - An answer tells which life is there; a record only hints at it, for it may have been
//!   written late, and a VM's time of day may have been set back.
//! - Each session with a runner of a name has a higher fencing token than the ones before.
//!   What the next life was told by then shows in its first answer, and it refuses the
//!   rest. The tokens are revisions of the owner's own writes, so that those of the next
//!   owner are higher still.

use std::{
    collections::{
        HashMap,
        HashSet, //
    },
    net::SocketAddr, //
};

use hoisthitch_jobs::{
    Millis,
    RunnerInstance,
    RunnerKey, //
};
use hoisthitch_telemetry::event;

use super::{
    PoolOwner,
    runners::GoneReason, //
};
use crate::{
    platform::{
        Platform,
        RunnerAddress,
        RunnerRecord, //
    },
    session::{
        FULL_RUN_MS,
        RunnerSession,
        STRAY_RUN_MS,
        SessionContext, //
    }, //
};

/// Age up to which an answered hold proves that its runner lives, in
/// milliseconds: longer than a hold waits, shorter than a VM takes to come back
/// with another runner.
const PROOF_MS: Millis = 1_200;

/// Time for which the token of a runner's last session is kept, in milliseconds: longer
/// than any order of it may be under way.
const TOKEN_KEPT_MS: Millis = 60_000;

/// Tokens kept before old ones are let go.
const TOKENS_KEPT: usize = 4_096;

/// Fencing tokens of an owner's sessions.
#[derive(Debug, Default)]
pub(super) struct TokenSource {
    /// The highest that may be given: the journal's last revision.
    last: u64,
    /// Those of the last sessions by the runner's name, and when they were opened.
    given: HashMap<String, (u64, Millis)>,
}

impl TokenSource {
    /// Tokens of a new owner, whose election is the first.
    pub(super) fn new(epoch: u64) -> Self {
        Self {
            last: epoch,
            given: HashMap::new(),
        }
    }

    /// Takes in a write of the journal.
    pub(super) fn raise(&mut self, token: u64) {
        self.last = self.last.max(token);
    }

    /// A token for the next session with a runner of the name; none until the journal was
    /// written again.
    fn next(&mut self, name: &str, now: Millis) -> Option<u64> {
        if self
            .given
            .get(name)
            .is_some_and(|given| given.0 >= self.last)
        {
            return None;
        }
        if self.given.len() >= TOKENS_KEPT {
            self.given.retain(|_, given| given.1 + TOKEN_KEPT_MS > now);
        }
        self.given.insert(name.to_owned(), (self.last, now));
        Some(self.last)
    }
}

/// What an owner knows of the lives of its runners.
#[derive(Debug, Default)]
pub(super) struct LifeNotes {
    /// Lives that are over, though they may be listed still.
    over: HashSet<RunnerInstance>,
    /// Runners at whose place other lives were looked for since the list last changed.
    rivals_sought: HashSet<RunnerKey>,
    pub(super) tokens: TokenSource,
    /// Runners whose sessions wait for a higher token.
    waiting: HashMap<RunnerKey, SocketAddr>,
}

impl LifeNotes {
    /// Notes of a new owner.
    pub(super) fn new(epoch: u64) -> Self {
        Self {
            tokens: TokenSource::new(epoch),
            ..Self::default()
        }
    }

    /// Whether a life is over.
    pub(super) fn is_over(&self, instance: &RunnerInstance) -> bool {
        self.over.contains(instance)
    }

    /// Whether sessions wait for the journal to be written.
    pub(super) fn wants_token(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes in that the list of runners changed.
    pub(super) fn take_list(&mut self) {
        self.rivals_sought.clear();
    }

    /// Forgets sessions that wait.
    pub(super) fn drop_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Forgets a runner's key.
    pub(super) fn drop_key(&mut self, key: RunnerKey) {
        self.rivals_sought.remove(&key);
        self.waiting.remove(&key);
    }
}

impl<P: Platform> PoolOwner<P> {
    /// Takes in that a runner answered this owner, and so refuses what was ordered before.
    ///
    /// What was ordered of a life before gives leases by a clock that is not the runner's,
    /// so that what it has may run as long as any lease; a node that took the pool since
    /// knows such a runner by the records.
    pub(super) fn fence(&mut self, key: RunnerKey, now: Millis) {
        let Some(runner) = self.state.runner(key).filter(|runner| !runner.fenced) else {
            return;
        };
        let restarted_at = self.context.fleet.borrow().restarted_at(&runner.facts.name);
        let is_young = restarted_at.is_some_and(|at| at + STRAY_RUN_MS > now);
        let longest = if runner.restarted || is_young {
            STRAY_RUN_MS
        } else {
            FULL_RUN_MS
        };
        self.state.fence_runner(key, now + longest);
    }

    /// Notes that a runner's life is over.
    pub(super) fn note_over(&mut self, key: RunnerKey) {
        self.instances.over.extend(self.state.instance_of(key));
    }

    /// Takes in the record of one of the pool's runners.
    pub(super) fn take_record(&mut self, record: &RunnerRecord, since: Millis) {
        let instance = record.facts.instance();
        if self.instances.is_over(&instance) {
            return;
        }
        match self.state.runner_key(&instance.name) {
            Some(key) if self.state.key_of_instance(&instance).is_none() => {
                self.take_other_life(key, record, since);
            }
            _ => self.list_life(record, since),
        }
    }

    /// Takes in the record of the life that is there, or that is the first to be known.
    fn list_life(&mut self, record: &RunnerRecord, since: Millis) {
        let key = self.state.set_runner(record.facts.clone(), since);
        if !self.sessions.contains_key(&key) {
            self.open_session(key, record.address);
        }
    }

    /// Takes in the record of another life than the one that is known.
    ///
    /// The runner itself is asked which one is there, where its answers tell. Where they
    /// don't, or it listens elsewhere now, the later birth counts.
    fn take_other_life(&mut self, key: RunnerKey, record: &RunnerRecord, since: Millis) {
        let Some(runner) = self.state.runner(key) else {
            return;
        };
        if record.facts.started_at < runner.facts.started_at {
            return;
        }
        let session = self.sessions.get(&key);
        let moved = session.is_none_or(|session| session.address != record.address);
        if runner.reports_start_time && !moved {
            session.inspect(|session| session.ask_life());
            return;
        }
        let Some(started_at) = record.facts.started_at else {
            return;
        };
        self.begin_life(key, started_at, record.address);
        self.list_life(record, since);
    }

    /// Takes in that a runner answered with another life.
    pub(super) fn take_renewed(&mut self, key: RunnerKey, started_at: u64) {
        let known = self.sessions.get(&key).zip(self.state.instance_of(key));
        let Some((session, before)) = known else {
            return;
        };
        self.begin_life(key, started_at, session.address);
        self.take_listed(&before.name);
    }

    /// Takes in that a runner's process has ended, and that none is in its place yet.
    pub(super) fn take_ended(&mut self, key: RunnerKey, now: Millis) {
        let ended = self.state.record_process_exit(key, now);
        self.count("runner_ended");
        event!(
            Warn,
            "runner_ended",
            pool = self.context.pool,
            runner = self.life_text(key),
            ended = ended
        );
    }

    /// Lets go of a life that is over, and goes on with the next one.
    fn begin_life(&mut self, key: RunnerKey, started_at: u64, address: SocketAddr) {
        let now = self.now();
        let before = self.life_text(key);
        self.note_over(key);
        self.sessions.remove(&key);
        self.instances.drop_key(key);
        self.count_sessions();
        let until = now + STRAY_RUN_MS;
        let Some(renewed) = self
            .state
            .replace_restarted_runner(key, started_at, until, now)
        else {
            return;
        };
        let Some(instance) = self.state.instance_of(renewed.key) else {
            return;
        };
        self.instances.over.remove(&instance);
        self.count("runner_renewed");
        event!(
            Warn,
            "runner_answers_anew",
            pool = self.context.pool,
            runner = instance,
            before = before,
            ended = renewed.ended,
            doubtful = renewed.unconfirmed
        );
        self.open_session(renewed.key, address);
    }

    /// Takes in what is listed under a name now.
    pub(super) fn take_listed(&mut self, name: &str) {
        let fleet = self.context.fleet.borrow().clone();
        let record = fleet.runners.get(name);
        if let Some(record) = record.filter(|record| record.pool == self.context.pool) {
            self.take_record(record, self.now());
        }
    }

    /// Takes in that a runner answered a hold sent at `asked_at`: other runners' lives
    /// that were listed at its place before are over.
    pub(super) fn end_rivals(&mut self, key: RunnerKey, asked_at: Millis) {
        let now = self.now();
        // An answer that waited long here proves nothing about now.
        if asked_at + PROOF_MS < now || self.instances.rivals_sought.contains(&key) {
            return;
        }
        let Some(instance) = self.state.instance_of(key) else {
            return;
        };
        let rivals = self
            .context
            .fleet
            .borrow()
            .conflicting_instances(&instance.name);
        let (before, later): (Vec<_>, Vec<_>) = rivals
            .into_iter()
            .partition(|rival| rival.listed_at <= asked_at);
        if later.is_empty() {
            self.instances.rivals_sought.insert(key);
        }
        for rival in before {
            self.end_rival(rival.instance, &instance, now);
        }
    }

    fn end_rival(&mut self, rival: RunnerInstance, by: &RunnerInstance, now: Millis) {
        if !self.instances.over.insert(rival.clone()) {
            return;
        }
        event!(Info, "runner_life_over", runner = rival, by = by);
        if let Some(key) = self.state.key_of_instance(&rival) {
            self.drop_runner(key, GoneReason::Ended);
        } else if self.state.runner_key(&rival.name).is_some() {
            // Its runs may be those of the life that is there now.
            return;
        }
        self.state.record_unlisted_loss(&rival.name, now);
    }

    /// Opens a session with a runner, once there is a token for it.
    fn open_session(&mut self, key: RunnerKey, address: SocketAddr) {
        let Some(instance) = self.state.instance_of(key).filter(|_| !self.leaving) else {
            return;
        };
        let now = self.now();
        let Some(token) = self.instances.tokens.next(&instance.name, now) else {
            self.instances.waiting.insert(key, address);
            return;
        };
        event!(
            Info,
            "runner_taken",
            runner = instance,
            address = address,
            pool = self.context.pool,
            epoch = self.epoch,
            token = token
        );
        let context = SessionContext {
            runners: self.context.platform.runners().clone(),
            shared: self.context.shared.clone(),
            fleet: self.context.fleet.clone(),
            token,
            confirmed: self.confirmed.clone(),
            sessions: self.open_sessions.clone(),
            key,
            address: RunnerAddress { instance, address },
            events: self.events.clone(),
        };
        self.sessions.insert(key, RunnerSession::open(context));
        self.count_sessions();
    }

    /// Opens the sessions that waited for the journal to be written.
    pub(super) fn open_waiting(&mut self) {
        for (key, address) in std::mem::take(&mut self.instances.waiting) {
            self.open_session(key, address);
        }
    }
}
