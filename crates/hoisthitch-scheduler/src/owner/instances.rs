//! Instances of an owned pool's runners: which one is current, and which have ended.
//!
//! A runner that restarts may keep its name and its address, so that orders for the previous
//! instance reach the next one, also seconds later. Two rules keep instances apart:
//!
//! - The response of a runner shows which instance is current. A record in the store is only a
//!   hint, for it may have been written late, and a VM's time of day may have been set back.
//! - Each session with a runner of a name has a higher fencing token than the sessions before.
//!   The first response of the next instance shows what it was ordered until then, and it
//!   refuses everything else of an earlier session. The tokens are revisions of the owner's
//!   own writes, so that those of the next owner are higher still.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap,
        HashSet, //
    },
    net::SocketAddr, //
};

use hoisthitch_jobs::{
    HeartbeatReport,
    Millis,
    RunnerInstance,
    RunnerKey, //
};
use hoisthitch_telemetry::event;

use super::{
    PoolOwner,
    runners::RemovalReason, //
};
use crate::{
    platform::{
        Platform,
        RunnerAddress,
        RunnerRecord, //
    },
    session::{
        MAX_RUN_MS,
        MAX_STRAY_RUN_MS,
        RunnerSession,
        SessionContext, //
    }, //
};

/// Greatest time by which a runner's clock is believed to be ahead of this node's, in
/// milliseconds: a day.
const MAX_START_AHEAD_MS: u64 = 86_400_000;

/// Age up to which a successful heartbeat proves that its runner still runs, in milliseconds:
/// longer than a heartbeat waits, shorter than a VM takes to come back with another runner.
const LIVENESS_PROOF_MS: Millis = 1_200;

/// Time for which the token and unanswered acknowledgements of a runner's last session are
/// kept, in milliseconds: longer than any call of that session may be in transit.
const TOKEN_KEPT_MS: Millis = 60_000;

/// Time from the restart of a runner until its record is listed, in milliseconds; most take
/// less.
const LISTING_MS: Millis = 2_000;

/// Number of tokens from which on old ones are removed.
const TOKENS_KEPT_MAX: usize = 4_096;

/// Source of the fencing tokens of an owner's sessions.
#[derive(Debug, Default)]
pub(super) struct TokenSource {
    /// The highest token that may be used: the journal's last revision.
    last: u64,
    /// Token and opening time of the last session with each runner, by the runner's name.
    used: HashMap<String, (u64, Millis)>,
}

impl TokenSource {
    /// Tokens of a new owner; the first is the revision of its election.
    pub(super) fn new(epoch: u64) -> Self {
        Self {
            last: epoch,
            used: HashMap::new(),
        }
    }

    /// Makes the revision of a journal write available as a token.
    pub(super) fn raise(&mut self, token: u64) {
        self.last = self.last.max(token);
    }

    /// The token for the next session with a runner of that name; none if the journal was not
    /// written since the last session with it.
    fn next(&mut self, name: &str, now: Millis) -> Option<u64> {
        if self.used.get(name).is_some_and(|used| used.0 >= self.last) {
            return None;
        }
        if self.used.len() >= TOKENS_KEPT_MAX {
            self.used.retain(|_, used| used.1 + TOKEN_KEPT_MS > now);
        }
        self.used.insert(name.to_owned(), (self.last, now));
        Some(self.last)
    }
}

/// What an owner knows of the instances of its runners.
#[derive(Debug, Default)]
pub(super) struct InstanceTracker {
    /// Instances that have ended, though they may still be listed.
    ended: HashSet<RunnerInstance>,
    /// Runners that were checked for conflicting instances since the list last changed.
    conflicts_checked: HashSet<RunnerKey>,
    pub(super) tokens: TokenSource,
    /// Instances to which an acknowledgement of ends may still be in transit, by the runner's
    /// name, and since when.
    unanswered_acks: HashMap<String, (RunnerInstance, Millis)>,
    /// Instances that may drop ends unread, as the previous owner recorded them, and with which
    /// there was no session yet.
    inherited_unproven: BTreeSet<RunnerInstance>,
    /// Runners whose sessions wait for a higher token, with their addresses.
    waiting: BTreeMap<RunnerKey, SocketAddr>,
}

impl InstanceTracker {
    /// State of a new owner.
    pub(super) fn new(epoch: u64, unproven: &BTreeSet<String>) -> Self {
        let unproven = unproven.iter().map(|text| RunnerInstance::parse(text));
        Self {
            tokens: TokenSource::new(epoch),
            inherited_unproven: unproven.collect(),
            ..Self::default()
        }
    }

    /// Whether an instance is known to have ended.
    pub(super) fn has_ended(&self, instance: &RunnerInstance) -> bool {
        self.ended.contains(instance)
    }

    /// Whether sessions wait for the journal to be written.
    pub(super) fn needs_token(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Handles a change of the list of runners.
    pub(super) fn handle_list_change(&mut self) {
        self.conflicts_checked.clear();
    }

    /// Removes all waiting sessions.
    pub(super) fn clear_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Records that an acknowledgement of ends may still be in transit to an instance.
    fn record_unanswered_ack(&mut self, instance: RunnerInstance, now: Millis) {
        if self.unanswered_acks.len() >= TOKENS_KEPT_MAX {
            let since = now.saturating_sub(TOKEN_KEPT_MS);
            self.unanswered_acks.retain(|_, sent| sent.1 > since);
        }
        let name = instance.name.clone();
        self.unanswered_acks.insert(name, (instance, now));
    }

    /// Whether an acknowledgement for an earlier instance may have reached this one, or may
    /// still reach it.
    fn may_get_stray_ack(&mut self, instance: &RunnerInstance, now: Millis) -> bool {
        let sent = self.unanswered_acks.get(&instance.name);
        self.inherited_unproven.remove(instance)
            || sent.is_some_and(|(before, at)| before != instance && at + TOKEN_KEPT_MS > now)
    }

    /// Removes everything that is known by a runner's key.
    pub(super) fn remove_key(&mut self, key: RunnerKey) {
        self.conflicts_checked.remove(&key);
        self.waiting.remove(&key);
    }
}

impl<P: Platform> PoolOwner<P> {
    /// Handles the first response of a runner to this owner, and no later one: from then on the
    /// runner refuses what earlier owners and sessions ordered.
    ///
    /// Orders for a previous instance carry leases by that instance's clock, so that what the
    /// current one runs may run as long as the longest possible lease. A node that became the
    /// owner since then recognises such a runner by its own record and by those of the jobs.
    pub(super) fn handle_first_response(&mut self, key: RunnerKey, now: Millis) {
        let Some(runner) = self.state.runner(key).filter(|runner| !runner.fenced) else {
            return;
        };
        let restarted_at = self.context.fleet.borrow().restarted_at(&runner.facts.name);
        // Jobs' records show a restart that this node did not see, and not when it was.
        let is_unrecorded = self.state.has_unrecorded_restart(key);
        let restarted_lately =
            is_unrecorded || restarted_at.is_some_and(|at| at + MAX_STRAY_RUN_MS > now);
        let max_run_ms = if runner.restarted || restarted_lately {
            MAX_STRAY_RUN_MS
        } else {
            MAX_RUN_MS
        };
        // What an earlier owner acknowledged to the instance before is not known.
        let is_restarted = runner.restarted;
        let was_earlier_owner =
            is_unrecorded || restarted_at.is_some_and(|at| at < self.owner_since + LISTING_MS);
        if restarted_lately && was_earlier_owner && !is_restarted {
            self.doubt_end_listing(key);
        }
        if restarted_lately || is_restarted {
            self.state.record_stray_leases(key, now + max_run_ms);
        }
        self.state.fence_runner(key, now + max_run_ms);
    }

    /// Marks a runner's instance as ended.
    pub(super) fn mark_ended(&mut self, key: RunnerKey) {
        self.instances.ended.extend(self.state.instance_of(key));
    }

    /// Applies the record of one of the pool's runners.
    pub(super) fn apply_runner_record(&mut self, record: &RunnerRecord, since: Millis) {
        let instance = record.facts.instance();
        if self.instances.has_ended(&instance) {
            return;
        }
        match self.state.runner_key(&instance.name) {
            Some(key) if self.state.key_of_instance(&instance).is_none() => {
                self.apply_other_instance(key, record, since);
            }
            _ => self.apply_current_record(record, since),
        }
    }

    /// Applies the record of the current instance, or of the first one that is known.
    fn apply_current_record(&mut self, record: &RunnerRecord, since: Millis) {
        let key = self.state.set_runner(record.facts.clone(), since);
        if !self.sessions.contains_key(&key) {
            self.open_session(key, record.address);
        }
    }

    /// Whether a start time is so far ahead of this node's time of day that no instance has it. It
    /// would be later than those of all instances that follow.
    fn is_far_ahead(&self, started_at: Option<u64>) -> bool {
        let limit = self.context.shared.clock.unix_ms() + MAX_START_AHEAD_MS;
        started_at.is_some_and(|started_at| started_at > limit)
    }

    /// Applies the record of another instance than the known one.
    ///
    /// If the runner's responses report its start time, a heartbeat finds out which instance
    /// is current. If they don't, or if the address changed, the later start time wins.
    fn apply_other_instance(&mut self, key: RunnerKey, record: &RunnerRecord, since: Millis) {
        let Some(runner) = self.state.runner(key) else {
            return;
        };
        let known = runner.facts.started_at;
        let is_earlier = record.facts.started_at < known && !self.is_far_ahead(known);
        if is_earlier || self.is_far_ahead(record.facts.started_at) {
            return;
        }
        let session = self.sessions.get(&key);
        let has_moved = session.is_none_or(|session| session.address != record.address);
        if runner.reports_start_time && !has_moved {
            session.inspect(|session| session.check_instance());
            return;
        }
        let Some(started_at) = record.facts.started_at else {
            return;
        };
        self.replace_instance(key, started_at, record.address);
        self.apply_current_record(record, since);
    }

    /// Handles a response that came from another instance than the known one.
    pub(super) fn handle_restart(&mut self, key: RunnerKey, started_at: u64) {
        let known = self.sessions.get(&key).zip(self.state.instance_of(key));
        let Some((session, before)) = known else {
            return;
        };
        self.replace_instance(key, started_at, session.address);
        self.apply_listed_record(&before.name);
    }

    /// Handles refused connections to a runner: its process may have ended, or it is cut off
    /// and goes on. What it runs stays there until its lease is over or its end is known.
    pub(super) fn handle_suspected_loss(&mut self, key: RunnerKey, now: Millis) {
        self.state.suspect_loss(key, now);
        let Some(runner) = self.state.runner(key) else {
            return;
        };
        self.count_event("runner_suspected");
        event!(
            Warn,
            "runner_suspected",
            pool = self.context.pool,
            runner = runner.facts.instance(),
            tasks = runner.tasks.len(),
            wait_ms = runner.lease_until.saturating_sub(now)
        );
    }

    /// Logs the response of a runner that was silent. The same instance shows that it was cut
    /// off, whatever its connections looked like meanwhile.
    pub(super) fn log_regained(&self, key: RunnerKey, report: &HeartbeatReport, now: Millis) {
        let Some(runner) = self.state.runner(key) else {
            return;
        };
        let responded_before = runner.last_heartbeat_at.is_some();
        let Some(since) = runner.silent_since.filter(|_| responded_before) else {
            return;
        };
        self.count_event("runner_regained");
        event!(
            Info,
            "runner_regained",
            pool = self.context.pool,
            runner = runner.facts.instance(),
            silent_ms = now.saturating_sub(since),
            shown_by = runner.silence_detection(),
            lease_left_ms = runner.lease_until.saturating_sub(now),
            running = report.running.len()
        );
    }

    /// Replaces an instance that has ended by the next one, and opens a session with that.
    fn replace_instance(&mut self, key: RunnerKey, started_at: u64, address: SocketAddr) {
        let now = self.now();
        let before = self.instance_text(key);
        self.mark_ended(key);
        let responded = self.state.runner(key).is_some_and(|runner| runner.fenced);
        if let Some(before) = self.state.instance_of(key).filter(|_| !responded) {
            // An earlier owner may have acknowledged ends to it.
            self.instances.record_unanswered_ack(before, now);
        }
        self.end_session(key, true);
        self.instances.remove_key(key);
        self.publish_session_count();
        let until = now + MAX_STRAY_RUN_MS;
        let Some(restarted) = self
            .state
            .replace_restarted_runner(key, started_at, until, now)
        else {
            return;
        };
        self.state.record_stray_leases(restarted.key, until);
        let Some(instance) = self.state.instance_of(restarted.key) else {
            return;
        };
        self.instances.ended.remove(&instance);
        self.count_event("runner_renewed");
        event!(
            Warn,
            "runner_answers_anew",
            pool = self.context.pool,
            runner = instance,
            before = before,
            ended = restarted.ended,
            doubtful = restarted.unconfirmed
        );
        self.open_session(restarted.key, address);
    }

    /// Applies the record that is listed under a name now.
    pub(super) fn apply_listed_record(&mut self, name: &str) {
        let fleet = self.context.fleet.borrow().clone();
        let record = fleet.runners.get(name);
        if let Some(record) = record.filter(|record| record.pool == self.context.pool) {
            self.apply_runner_record(record, self.now());
        }
    }

    /// Handles the response to a heartbeat that was sent at `sent_at`: instances of other
    /// runners that were listed at the same address or VM before that have ended.
    pub(super) fn end_conflicting_instances(&mut self, key: RunnerKey, sent_at: Millis) {
        let now = self.now();
        // A response that was queued here for long proves nothing about the present.
        if sent_at + LIVENESS_PROOF_MS < now || self.instances.conflicts_checked.contains(&key) {
            return;
        }
        let Some(instance) = self.state.instance_of(key) else {
            return;
        };
        let conflicting = self
            .context
            .fleet
            .borrow()
            .conflicting_instances(&instance.name);
        let (before, later): (Vec<_>, Vec<_>) = conflicting
            .into_iter()
            .partition(|conflict| conflict.listed_at <= sent_at);
        if later.is_empty() {
            self.instances.conflicts_checked.insert(key);
        }
        for conflict in before {
            self.end_conflicting_instance(conflict.instance, &instance, now);
        }
    }

    /// Marks a conflicting instance as ended, and removes its runner.
    fn end_conflicting_instance(
        &mut self,
        conflict: RunnerInstance,
        by: &RunnerInstance,
        now: Millis,
    ) {
        if !self.instances.ended.insert(conflict.clone()) {
            return;
        }
        event!(Info, "runner_life_over", runner = conflict, by = by);
        if let Some(key) = self.state.key_of_instance(&conflict) {
            self.remove_runner(key, RemovalReason::Ended);
        } else if self.state.runner_key(&conflict.name).is_some() {
            // Its runs may be those of the instance that is current under that name.
            return;
        }
        self.state.record_unlisted_loss(&conflict.name, now);
    }

    /// Ends the session with a runner; `delayed` is whether its calls may still be in transit.
    pub(super) fn end_session(&mut self, key: RunnerKey, delayed: bool) {
        let ended = self.sessions.remove(&key).filter(|_| delayed);
        if ended.is_some_and(|session| session.has_unanswered_acks())
            && let Some(instance) = self.state.instance_of(key)
        {
            self.instances.record_unanswered_ack(instance, self.now());
        }
    }

    /// Instances that may drop ends unread, for the journal.
    pub(super) fn unproven_instances(&self) -> BTreeSet<String> {
        let unproven = self
            .state
            .runners()
            .filter(|(_, runner)| runner.is_unproven());
        let unproven = unproven.map(|(_, runner)| runner.facts.instance());
        let inherited = self.instances.inherited_unproven.iter().cloned();
        let unproven = unproven.chain(inherited);
        unproven.map(|instance| instance.to_string()).collect()
    }

    /// Records that a runner may drop ends unread, since acknowledgements for an earlier
    /// instance may have reached it.
    fn doubt_end_listing(&mut self, key: RunnerKey) {
        self.state.doubt_end_listing(key);
        event!(
            Info,
            "runner_ends_doubted",
            pool = self.context.pool,
            runner = self.instance_text(key)
        );
    }

    /// Opens a session with a runner, or queues it until there is a token for it.
    fn open_session(&mut self, key: RunnerKey, address: SocketAddr) {
        let Some(instance) = self.state.instance_of(key).filter(|_| !self.handing_over) else {
            return;
        };
        let now = self.now();
        let Some(token) = self.instances.tokens.next(&instance.name, now) else {
            self.instances.waiting.insert(key, address);
            return;
        };
        if self.instances.may_get_stray_ack(&instance, now) {
            self.doubt_end_listing(key);
        }
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
            confirmed_at: self.confirmed_at.clone(),
            session_count: self.session_count.clone(),
            lost_halls: self.halls.lost.clone(),
            key,
            address: RunnerAddress { instance, address },
            events: self.events.clone(),
        };
        self.sessions.insert(key, RunnerSession::open(context));
        self.publish_session_count();
    }

    /// Opens the sessions that waited for the journal to be written.
    pub(super) fn open_waiting(&mut self) {
        for (key, address) in std::mem::take(&mut self.instances.waiting) {
            self.open_session(key, address);
        }
    }
}
