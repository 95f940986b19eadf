//! What an owner writes to its pool's journal, and what it may do then.

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
    JournalReturn,
    PoolOwner, //
};
use crate::{
    journal::{
        BATCH_LIMIT,
        JournalError,
        PoolJournal,
        encode_record, //
    },
    platform::Platform, //
};

/// Least time between two writes of the journal, in milliseconds: what comes
/// meanwhile shares a write. What one write does not take goes into the next at once:
/// with the gap, an owner writes a thousand records a second at most, and the turns of
/// large pools bring more: 11 in 100 of what is owed on a fleet of 1,100 VMs (two plays,
/// docs/MEASURED.md).
const WRITE_GAP_MS: Millis = 25;

/// Jobs whose records go into one write.
const FLUSH_LIMIT: usize = BATCH_LIMIT - 1;

/// Time without a write after which the owner makes sure that it is the owner,
/// in milliseconds.
const CONFIRM_MS: Millis = 500;

/// Least time between two writes of the queues' counts, in milliseconds; they
/// may be two seconds old.
const COUNT_GAP_MS: Millis = 600;

/// Time that ended jobs are kept, beyond the bound in force, in milliseconds.
const KEPT_MS: Millis = 300_000;

/// Entries that the forgetting of a job takes in a write.
const FORGET_ENTRIES: usize = 4;

impl<P: Platform> PoolOwner<P> {
    /// When the journal may be written again.
    pub(super) fn next_write(&self) -> Millis {
        if self.state.is_behind(FLUSH_LIMIT) {
            return self.wrote_at;
        }
        self.wrote_at + WRITE_GAP_MS
    }

    /// Whether the journal may be written now.
    pub(super) fn may_write(&self, now: Millis) -> bool {
        let due = || now >= self.wrote_at + WRITE_GAP_MS || now >= self.next_write();
        self.journal.is_some() && due()
    }

    pub(super) fn write(&mut self, now: Millis) {
        if !self.may_write(now) {
            return;
        }
        let Some(journal) = self.journal.take() else {
            return;
        };
        let plan = self.state.begin_flush(FLUSH_LIMIT);
        let mut items: Vec<SwapItem> = plan
            .records
            .iter()
            .map(|(id, progress)| {
                let key = self.context.keys.progress(&self.context.pool, id);
                put(key, encode_record(progress))
            })
            .collect();
        items.extend(self.count_item(now));
        self.add_forgotten(&mut items, now);
        if items.is_empty() && !self.needs_note(now) && !self.instances.wants_token() {
            self.confirm(journal, now);
            return;
        }
        self.wrote_at = now;
        let silent = self.begin_note(now);
        let returns = self.returns.clone();
        let mut journal = journal;
        actix_rt::spawn(async move {
            let result = journal.write(items, silent).await;
            // An owner that is gone needs no journal.
            let _ = returns.send((journal, plan, result));
        });
    }

    fn confirm(&mut self, journal: PoolJournal<P::Store>, now: Millis) {
        if now < self.confirmed.get().max(self.wrote_at) + CONFIRM_MS {
            self.journal = Some(journal);
            return;
        }
        self.wrote_at = now;
        let returns = self.returns.clone();
        let known = self.confirmed.get();
        actix_rt::spawn(async move {
            let result = match journal.confirm().await {
                Ok(result) => result,
                Err(err) => {
                    event!(Warn, "owner_unconfirmed", error = err);
                    Ok(known)
                }
            };
            // An owner that is gone needs no journal.
            let _ = returns.send((journal, FlushPlan::default(), result));
        });
    }

    pub(super) fn take_journal(
        &mut self,
        back: JournalReturn<P::Store>,
    ) -> Result<(), JournalError> {
        let (journal, plan, result) = back;
        let confirmed = result?;
        self.instances.tokens.raise(journal.token());
        self.journal = Some(journal);
        self.open_waiting();
        self.finish_note();
        self.confirmed.set(self.confirmed.get().max(confirmed));
        let now = self.now();
        let starts = self.state.finish_flush(&plan, now);
        self.start_all(starts);
        for (runner, seen) in &plan.acked_ends {
            if let Some(session) = self.sessions.get(runner) {
                session.set_recorded(*seen);
            }
        }
        Ok(())
    }

    /// The counts of waiting jobs, if they changed.
    fn count_item(&mut self, now: Millis) -> Option<SwapItem> {
        if now < self.counted_at + COUNT_GAP_MS {
            return None;
        }
        let counts = self.state.waiting_jobs();
        if counts == self.counts {
            return None;
        }
        self.counted_at = now;
        self.counts.clone_from(&counts);
        let key = self.context.keys.counts(&self.context.pool);
        Some(put(key, encode_record(&counts)))
    }

    /// Removes the records of jobs that ended long ago.
    fn add_forgotten(&mut self, items: &mut Vec<SwapItem>, now: Millis) {
        let room = BATCH_LIMIT.saturating_sub(items.len()) / FORGET_ENTRIES;
        if room == 0 || now < KEPT_MS {
            return;
        }
        let old = self.state.ended_before(now - KEPT_MS);
        let keys = &self.context.keys;
        let pool = &self.context.pool;
        for id in old.into_iter().take(room) {
            let gone = [
                keys.submission(pool, &id),
                keys.cancel(pool, &id),
                keys.progress(pool, &id),
                keys.location(&id),
            ];
            items.extend(gone.map(remove));
            self.state.forget_job(&id);
        }
    }
}

fn put(key: String, value: Vec<u8>) -> SwapItem {
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
