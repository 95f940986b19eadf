//! Writes of an owner to its pool's journal.
//!
//! One write at a time carries the changed progress of jobs, the queues' counts, the
//! deletions of old jobs and the list of silent runners. What depends on a record waits
//! for the write: starts are sent and ends are acknowledged only once it succeeded. An owner
//! with nothing to write reads the journal's head instead, to confirm its ownership.

use hoisthitch_jobs::{
    FlushPlan,
    Millis, //
};
use hoisthitch_store::{
    StoreRevision,
    SwapItem, //
};
use hoisthitch_telemetry::event;

use super::{
    JournalResult,
    PoolOwner, //
};
use crate::{
    journal::{
        BATCH_LIMIT,
        JournalError,
        PoolJournal,
        RunnerNotes,
        encode_record, //
    },
    platform::Platform, //
};

/// Minimum interval between two writes of the journal, in milliseconds, so that changes
/// share a write. Records beyond one write are written without the interval: with it, an
/// owner writes a thousand records a second at most, and the demand peaks of large pools
/// produce more, which cost 11 percent of the attainable value on a fleet of 1,100 VMs
/// (two simulated days, docs/MEASURED.md).
const WRITE_INTERVAL_MS: Millis = 25;

/// Maximum number of job records in one write; one more entry is left for the queues' counts.
const RECORDS_PER_WRITE: usize = BATCH_LIMIT - 1;

/// Time without a write after which the owner confirms its ownership by a read, in
/// milliseconds.
const CONFIRM_INTERVAL_MS: Millis = 500;

/// Minimum interval between two writes of the queues' counts, in milliseconds; readers may
/// see counts that are up to two seconds old.
const COUNTS_INTERVAL_MS: Millis = 600;

/// Time for which the records of an ended job are kept, in milliseconds; longer than the
/// required minimum.
const ENDED_JOB_KEPT_MS: Millis = 300_000;

/// Entries of a write that the deletion of one job takes.
const DELETION_ENTRIES: usize = 4;

impl<P: Platform> PoolOwner<P> {
    /// Earliest time of the next journal write.
    pub(super) fn next_write(&self) -> Millis {
        if self.state.is_behind(RECORDS_PER_WRITE) {
            return self.wrote_at;
        }
        self.wrote_at + WRITE_INTERVAL_MS
    }

    /// Whether no write is in progress and the next one is due.
    pub(super) fn may_write(&self, now: Millis) -> bool {
        let due = || now >= self.wrote_at + WRITE_INTERVAL_MS || now >= self.next_write();
        self.journal.is_some() && due()
    }

    /// Starts the next journal write, or a confirmation of ownership if there is nothing to
    /// write.
    pub(super) fn start_write(&mut self, now: Millis) {
        if !self.may_write(now) {
            return;
        }
        let Some(journal) = self.journal.take() else {
            return;
        };
        let plan = self.state.begin_flush(RECORDS_PER_WRITE);
        let mut items: Vec<SwapItem> = plan
            .records
            .iter()
            .map(|(id, progress)| {
                let key = self.context.keys.progress(&self.context.pool, id);
                put(key, encode_record(progress))
            })
            .collect();
        items.extend(self.counts_item(now));
        if items.len() < BATCH_LIMIT {
            items.extend(self.intake_item(now));
        }
        if items.len() < BATCH_LIMIT {
            items.extend(self.cordon_item(now));
        }
        self.add_deletions(&mut items, now);
        let unproven = self.unproven_instances();
        let notes_changed = unproven != self.recorded_unproven;
        if items.is_empty()
            && !self.needs_silence_write(now)
            && !self.instances.needs_token()
            && !notes_changed
        {
            self.start_confirmation(journal, now);
            return;
        }
        self.wrote_at = now;
        self.recorded_unproven.clone_from(&unproven);
        let stray = self.state.stray_leases(now).into_iter();
        let notes = RunnerNotes {
            stray: stray.map(|(name, until)| (name, until - now)).collect(),
            silent: self.begin_silence_write(now),
            unproven,
        };
        let results = self.journal_results.clone();
        let mut journal = journal;
        actix_rt::spawn(async move {
            let result = journal.write(items, notes).await;
            // The send fails only if the owner has ended.
            let _ = results.send((journal, plan, result));
        });
    }

    /// Reads the journal's head to confirm ownership, unless that was done recently. A failed
    /// read leaves the time of the last confirmation as it was.
    fn start_confirmation(&mut self, journal: PoolJournal<P::Store>, now: Millis) {
        if now < self.confirmed_at.get().max(self.wrote_at) + CONFIRM_INTERVAL_MS {
            self.journal = Some(journal);
            return;
        }
        self.wrote_at = now;
        let results = self.journal_results.clone();
        let known = self.confirmed_at.get();
        actix_rt::spawn(async move {
            let result = match journal.confirm().await {
                Ok(result) => result,
                Err(err) => {
                    event!(Warn, "owner_unconfirmed", error = err);
                    Ok(known)
                }
            };
            // The send fails only if the owner has ended.
            let _ = results.send((journal, FlushPlan::default(), result));
        });
    }

    /// Completes a journal write: sends the starts that waited for it and acknowledges the
    /// recorded ends to their runners.
    ///
    /// # Errors
    ///
    /// Fails when another node owns the pool.
    pub(super) fn finish_write(
        &mut self,
        result: JournalResult<P::Store>,
    ) -> Result<(), JournalError> {
        let (journal, plan, result) = result;
        let confirmed_at = result?;
        self.instances.tokens.raise(journal.token());
        self.journal = Some(journal);
        self.open_waiting();
        self.finish_silence_write();
        self.confirmed_at
            .set(self.confirmed_at.get().max(confirmed_at));
        let now = self.now();
        let starts = self.state.finish_flush(&plan, now);
        self.queue_starts(starts);
        for (runner, last_end) in &plan.acked_ends {
            if let Some(session) = self.sessions.get(runner) {
                session.acknowledge(*last_end);
            }
        }
        Ok(())
    }

    /// The entry with the counts of waiting jobs, if they changed and a write of them is due.
    fn counts_item(&mut self, now: Millis) -> Option<SwapItem> {
        if now < self.counts_written_at + COUNTS_INTERVAL_MS {
            return None;
        }
        let counts = self.state.waiting_jobs();
        if counts == self.waiting_counts {
            return None;
        }
        self.counts_written_at = now;
        self.waiting_counts.clone_from(&counts);
        let key = self.context.keys.counts(&self.context.pool);
        Some(put(key, encode_record(&counts)))
    }

    /// Adds deletions of the records of jobs that ended long ago, as far as the write has room.
    fn add_deletions(&mut self, items: &mut Vec<SwapItem>, now: Millis) {
        let room = BATCH_LIMIT.saturating_sub(items.len()) / DELETION_ENTRIES;
        if room == 0 || now < ENDED_JOB_KEPT_MS {
            return;
        }
        let old = self.state.ended_before(now - ENDED_JOB_KEPT_MS);
        let keys = &self.context.keys;
        let pool = &self.context.pool;
        for id in old.into_iter().take(room) {
            let deleted = [
                keys.submission(pool, &id),
                keys.cancel(pool, &id),
                keys.progress(pool, &id),
                keys.location(&id),
            ];
            items.extend(deleted.map(remove));
            self.state.forget_job(&id);
        }
    }
}

pub(super) fn put(key: String, value: Vec<u8>) -> SwapItem {
    SwapItem {
        key,
        expected: StoreRevision::ANY,
        value: Some(value),
        lease: None,
    }
}

fn remove(key: String) -> SwapItem {
    SwapItem {
        key,
        expected: StoreRevision::ANY,
        value: None,
        lease: None,
    }
}
