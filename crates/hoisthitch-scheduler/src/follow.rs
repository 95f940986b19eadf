//! Follows the records below a prefix of the store: all of them first, then each change.
//!
//! [`follow_prefix`] is given a prefix and where to send events. It resumes after failures, and
//! sends all records again when a watch was opened anew. It may also confirm up to which time the
//! events are complete; that time must never be later than what the store has shown.

use std::{
    sync::Arc,
    time::Duration, //
};

use hoisthitch_jobs::Millis;
use hoisthitch_store::{
    StoreClient,
    StoreError,
    StoreRevision,
    StoredValue,
    WatchEvent,
    WatchStream, //
};
use hoisthitch_telemetry::event;
use tokio::{
    sync::mpsc,
    time::Instant, //
};

use crate::{
    clock::NodeClock,
    shared::{
        NodeShared,
        RETRY_WAIT,
        StoreHealth, //
    }, //
};

/// Time between two log lines on a prefix that can't be followed, in milliseconds. Some dozen
/// nodes then log few lines, and an outage of seconds is visible.
const LOG_INTERVAL_MS: Millis = 1_000;

/// What a follower reports.
#[derive(Clone, Debug)]
pub(crate) enum FollowEvent {
    /// All records below the prefix; a record that is not among them does not exist.
    Snapshot(Vec<StoredValue>),
    /// A value was written.
    Put(StoredValue),
    /// A value was removed.
    Deleted(String),
    /// All changes made before this time, by the node's clock, have been reported.
    Progress(Millis),
}

/// What to follow, and how.
#[derive(Clone, Debug)]
pub(crate) struct FollowOptions {
    /// Prefix of the keys.
    pub(crate) prefix: String,
    /// Pause between two waits for changes.
    pub(crate) pause: FollowPause,
    /// How soon to report up to when the events are complete.
    pub(crate) progress: FollowProgress,
    /// Waits after failed calls.
    pub(crate) retry: FollowRetry,
}

/// How soon a follower reports up to when its events are complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FollowProgress {
    /// Never.
    Never,
    /// Soon after each change, and occasionally without one.
    AfterChange,
    /// Several times a second.
    Often,
}

/// Waits of a follower after failed calls.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FollowRetry {
    /// Short waits, for records that only a few nodes follow.
    Short,
    /// Waits that grow with the number of nodes, for records that every node follows.
    ByNodes,
}

/// Pause between two waits for changes, so that frequent changes share a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FollowPause {
    /// No pause: each change is reported at once.
    None,
    /// A pause of this length.
    Fixed(Duration),
    /// A pause that grows with the number of nodes, for records that every node follows and
    /// writes.
    ByNodes,
}

impl FollowPause {
    fn length(self, store: &StoreHealth) -> Duration {
        match self {
            Self::None => Duration::ZERO,
            Self::Fixed(length) => length,
            Self::ByNodes => store.group_pause(),
        }
    }
}

/// Failures since the prefix was last followed without one.
#[derive(Clone, Copy, Debug)]
struct FollowLoss {
    /// Time of the first failure.
    since: Millis,
    /// Time of the last log line on them.
    logged_at: Millis,
    /// Number of failures.
    failures: u32,
}

/// Follows the records below a prefix until the receiver of the events is closed.
pub(crate) async fn follow_prefix<S: StoreClient>(
    store: S,
    options: FollowOptions,
    shared: Arc<NodeShared>,
    events: mpsc::UnboundedSender<FollowEvent>,
) {
    let mut lost = None;
    while !events.is_closed() {
        let ended = follow_once(&store, &options, &shared, &events, &mut lost).await;
        if let Err(err) = ended {
            wait_after_loss(&mut lost, &options, &shared, &err).await;
        }
    }
}

async fn wait_after_loss(
    lost: &mut Option<FollowLoss>,
    options: &FollowOptions,
    shared: &NodeShared,
    err: &StoreError,
) {
    let now = shared.clock.now();
    shared.store.record_failure(now);
    let failures = count_failure(lost, &options.prefix, err, now);
    let wait = match options.retry {
        FollowRetry::Short => RETRY_WAIT,
        FollowRetry::ByNodes => shared.store.retry_wait(failures),
    };
    tokio::time::sleep(wait).await;
}

/// Counts a failure and returns how many there were in a row. Logs the first, and further ones at
/// most once per [`LOG_INTERVAL_MS`].
fn count_failure(
    lost: &mut Option<FollowLoss>,
    prefix: &str,
    err: &StoreError,
    now: Millis,
) -> u32 {
    let Some(loss) = lost else {
        event!(Warn, "follow_lost", prefix = prefix, error = err);
        *lost = Some(FollowLoss {
            since: now,
            logged_at: now,
            failures: 1,
        });
        return 1;
    };
    loss.failures = loss.failures.saturating_add(1);
    let failures = loss.failures;
    if now.saturating_sub(loss.logged_at) < LOG_INTERVAL_MS {
        return failures;
    }
    loss.logged_at = now;
    event!(
        Warn,
        "follow_failing",
        prefix = prefix,
        failures = failures,
        lost_ms = now.saturating_sub(loss.since),
        error = err
    );
    failures
}

/// Logs the end of the failures, if there were any.
fn log_recovery(lost: &mut Option<FollowLoss>, prefix: &str, change: &WatchEvent, now: Millis) {
    if let Some(loss) = lost.take() {
        // A watch that was resumed has no list of all values.
        let values = match change {
            WatchEvent::Snapshot(all) => all.len(),
            _ => 0,
        };
        event!(
            Info,
            "follow_regained",
            prefix = prefix,
            values = values,
            failures = loss.failures,
            lost_ms = now.saturating_sub(loss.since)
        );
    }
}

/// Measures for how long this node's VM may have been suspended since a call of a watch was sent.
/// The time of the call is read from the monotonic clock, which stands still during a suspension.
struct SuspendMeter {
    /// Time of the last measured call.
    call: Option<Instant>,
    /// Total suspended time, in milliseconds, as measured before that call.
    before_call: Millis,
    /// Total suspended time, in milliseconds, at the last measurement.
    at_last: Millis,
}

impl SuspendMeter {
    fn start(clock: &NodeClock) -> Self {
        let suspended = clock.suspended_ms();
        Self {
            call: None,
            before_call: suspended,
            at_last: suspended,
        }
    }

    /// Time, in milliseconds, for which the VM was suspended since the call that was sent at `at`,
    /// or since a little before it.
    fn suspended_since(&mut self, at: Instant, clock: &NodeClock) -> Millis {
        let suspended = clock.suspended_ms();
        if self.call != Some(at) {
            self.call = Some(at);
            self.before_call = self.at_last;
        }
        self.at_last = suspended;
        suspended - self.before_call
    }
}

async fn next_change<W: WatchStream>(
    watch: &mut W,
    progress: FollowProgress,
) -> Option<Result<WatchEvent, StoreError>> {
    if progress == FollowProgress::Often {
        watch.shorten_next_wait();
    }
    watch.next().await
}

async fn follow_once<S: StoreClient>(
    store: &S,
    options: &FollowOptions,
    shared: &NodeShared,
    events: &mpsc::UnboundedSender<FollowEvent>,
    lost: &mut Option<FollowLoss>,
) -> Result<(), StoreError> {
    let prefix = options.prefix.as_str();
    let mut suspends = SuspendMeter::start(&shared.clock);
    let mut watch = store.watch(prefix, StoreRevision::default()).await?;
    while let Some(change) = next_change(&mut watch, options.progress).await {
        let change = match change {
            Err(err) if watch.can_resume_after(&err) => {
                wait_after_loss(lost, options, shared, &err).await;
                continue;
            }
            change => change?,
        };
        shared.store.record_success(shared.clock.now());
        let change = match change {
            WatchEvent::Created => WatchEvent::Snapshot(store.read_prefix(prefix).await?),
            change => change,
        };
        log_recovery(lost, prefix, &change, shared.clock.now());
        let sent = match change {
            WatchEvent::Snapshot(all) => events.send(FollowEvent::Snapshot(all)),
            WatchEvent::Put(stored) => {
                if options.progress == FollowProgress::AfterChange {
                    watch.shorten_next_wait();
                }
                events.send(FollowEvent::Put(stored))
            }
            WatchEvent::Delete { key, .. } => events.send(FollowEvent::Deleted(key)),
            WatchEvent::Created | WatchEvent::Unchanged => Ok(()),
        };
        if sent.is_err() {
            break;
        }
        if options.progress != FollowProgress::Never
            && watch.is_buffer_empty()
            && let Some(at) = watch.complete_as_of()
        {
            let age = Millis::try_from(at.elapsed().as_millis()).unwrap_or(Millis::MAX);
            let suspended = suspends.suspended_since(at, &shared.clock);
            let at = shared.clock.now().saturating_sub(age + suspended);
            // A closed receiver is noticed at the next change.
            let _ = events.send(FollowEvent::Progress(at));
        }
        let pause = options.pause.length(&shared.store);
        if !pause.is_zero() && watch.is_buffer_empty() && !watch.may_have_more() {
            tokio::time::sleep(pause).await;
        }
    }
    Ok(())
}
