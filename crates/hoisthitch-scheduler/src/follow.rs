//! Follows a part of the store: all of it first, then each change.

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

/// Time between two lines on a prefix that can't be followed, in milliseconds:
/// lines of some dozen nodes stay few, and an outage of seconds shows.
const TOLD_MS: Millis = 1_000;

/// What a follower is told.
#[derive(Clone, Debug)]
pub(crate) enum FollowEvent {
    /// Everything there is; what is not in it is gone.
    Snapshot(Vec<StoredValue>),
    /// A value was written.
    Put(StoredValue),
    /// A value was removed.
    Deleted(String),
    /// Nothing that was written before this time, of the node's clock, is left to
    /// tell of.
    Progress(Millis),
}

/// What is followed, and how.
#[derive(Clone, Debug)]
pub(crate) struct FollowOptions {
    /// Start of the keys.
    pub(crate) prefix: String,
    /// Pause between two waits for changes.
    pub(crate) pause: FollowPause,
    /// How soon to tell up to when what was told is complete.
    pub(crate) confirms: FollowProgress,
    /// Waits after calls that failed.
    pub(crate) retry: FollowRetry,
}

/// How soon a follower is told up to when what it was told is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FollowProgress {
    /// Never.
    Never,
    /// Soon after each change, and now and then.
    AfterChange,
    /// Several times a second.
    Often,
}

/// Waits after calls of a follower that failed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FollowRetry {
    /// Short ones, for what only a few nodes follow.
    Short,
    /// The longer, the more nodes there are: each of them follows.
    ByNodes,
}

/// Pause between two waits for changes, so that changes which come often share a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FollowPause {
    /// None: each change counts at once.
    None,
    /// So long.
    Fixed(Duration),
    /// The longer, the more nodes there are: each of them follows, and writes there.
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

/// Failures since a prefix could last be followed.
#[derive(Clone, Copy, Debug)]
struct FollowLoss {
    /// When the first came.
    since: Millis,
    /// When a line told of one.
    told: Millis,
    /// How many came.
    failures: u32,
}

/// Follows a part of the store until nobody listens.
pub(crate) async fn follow_prefix<S: StoreClient>(
    store: S,
    order: FollowOptions,
    shared: Arc<NodeShared>,
    events: mpsc::UnboundedSender<FollowEvent>,
) {
    let mut lost = None;
    while !events.is_closed() {
        let ended = follow_once(&store, &order, &shared, &events, &mut lost).await;
        if let Err(err) = ended {
            wait_after_loss(&mut lost, &order, &shared, &err).await;
        }
    }
}

async fn wait_after_loss(
    lost: &mut Option<FollowLoss>,
    order: &FollowOptions,
    shared: &NodeShared,
    err: &StoreError,
) {
    let now = shared.clock.now();
    shared.store.record_failure(now);
    let failures = note_loss(lost, &order.prefix, err, now);
    let wait = match order.retry {
        FollowRetry::Short => RETRY_WAIT,
        FollowRetry::ByNodes => shared.store.retry_wait(failures),
    };
    tokio::time::sleep(wait).await;
}

/// Counts a failure, and answers with how many there were in a row; tells of the first, and
/// of those that follow now and then.
fn note_loss(lost: &mut Option<FollowLoss>, prefix: &str, err: &StoreError, now: Millis) -> u32 {
    let Some(loss) = lost else {
        event!(Warn, "follow_lost", prefix = prefix, error = err);
        *lost = Some(FollowLoss {
            since: now,
            told: now,
            failures: 1,
        });
        return 1;
    };
    loss.failures = loss.failures.saturating_add(1);
    let failures = loss.failures;
    if now.saturating_sub(loss.told) < TOLD_MS {
        return failures;
    }
    loss.told = now;
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

/// Tells of the end of the failures, if there were any.
fn note_regained(lost: &mut Option<FollowLoss>, prefix: &str, change: &WatchEvent, now: Millis) {
    if let Some(loss) = lost.take() {
        // None where the watch goes on.
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

/// For how long the VM may have been suspended since a call of a watch was sent, whose time
/// is told by the steady clock.
struct AwakeMark {
    /// The last such call.
    call: Option<Instant>,
    /// Time slept before it, and before what was last taken in, in milliseconds.
    before_call: Millis,
    before_last: Millis,
}

impl AwakeMark {
    fn now(clock: &NodeClock) -> Self {
        let slept = clock.suspended_ms();
        Self {
            call: None,
            before_call: slept,
            before_last: slept,
        }
    }

    /// Time slept since the call that was sent at `at`, or a little before.
    fn slept_since(&mut self, at: Instant, clock: &NodeClock) -> Millis {
        let slept = clock.suspended_ms();
        if self.call != Some(at) {
            self.call = Some(at);
            self.before_call = self.before_last;
        }
        self.before_last = slept;
        slept - self.before_call
    }
}

async fn next_change<W: WatchStream>(
    watch: &mut W,
    confirms: FollowProgress,
) -> Option<Result<WatchEvent, StoreError>> {
    if confirms == FollowProgress::Often {
        watch.shorten_next_wait();
    }
    watch.next().await
}

async fn follow_once<S: StoreClient>(
    store: &S,
    order: &FollowOptions,
    shared: &NodeShared,
    events: &mpsc::UnboundedSender<FollowEvent>,
    lost: &mut Option<FollowLoss>,
) -> Result<(), StoreError> {
    let prefix = order.prefix.as_str();
    let mut awake = AwakeMark::now(&shared.clock);
    let mut watch = store.watch(prefix, StoreRevision::default()).await?;
    while let Some(change) = next_change(&mut watch, order.confirms).await {
        let change = match change {
            Err(err) if watch.can_resume_after(&err) => {
                wait_after_loss(lost, order, shared, &err).await;
                continue;
            }
            change => change?,
        };
        shared.store.record_success(shared.clock.now());
        let change = match change {
            WatchEvent::Created => WatchEvent::Snapshot(store.read_prefix(prefix).await?),
            change => change,
        };
        note_regained(lost, prefix, &change, shared.clock.now());
        let told = match change {
            WatchEvent::Snapshot(all) => events.send(FollowEvent::Snapshot(all)),
            WatchEvent::Put(stored) => {
                if order.confirms == FollowProgress::AfterChange {
                    watch.shorten_next_wait();
                }
                events.send(FollowEvent::Put(stored))
            }
            WatchEvent::Delete { key, .. } => events.send(FollowEvent::Deleted(key)),
            WatchEvent::Created | WatchEvent::Unchanged => Ok(()),
        };
        if told.is_err() {
            break;
        }
        if order.confirms != FollowProgress::Never
            && watch.is_buffer_empty()
            && let Some(at) = watch.complete_as_of()
        {
            let age = Millis::try_from(at.elapsed().as_millis()).unwrap_or(Millis::MAX);
            let slept = awake.slept_since(at, &shared.clock);
            let at = shared.clock.now().saturating_sub(age + slept);
            // Whoever listens no more is seen at the next change.
            let _ = events.send(FollowEvent::Progress(at));
        }
        let pause = order.pause.length(&shared.store);
        if !pause.is_zero() && watch.is_buffer_empty() && !watch.may_have_more() {
            tokio::time::sleep(pause).await;
        }
    }
    Ok(())
}
