//! Follows a part of the store: all of it first, then each change.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use hoisthitch_store::{
    StoreClient,
    StoreError,
    StoreRevision,
    StoredValue,
    WatchEvent,
    WatchStream, //
};
use hoisthitch_telemetry::event;
use tokio::sync::mpsc;

use crate::shared::NodeShared;

/// Wait after the store could not be followed.
const RETRY_WAIT: Duration = Duration::from_millis(150);

/// What a follower is told.
#[derive(Clone, Debug)]
pub(crate) enum FollowEvent {
    /// Everything there is; what is not in it is gone.
    All(Vec<StoredValue>),
    /// A value was written.
    Put(StoredValue),
    /// A value was removed.
    Gone(String),
}

/// Follows the keys that start with `prefix` until nobody listens. Between two
/// waits for changes it pauses, so that changes which come often share a call.
pub(crate) async fn follow_prefix<S: StoreClient>(
    store: S,
    prefix: String,
    pause: Duration,
    shared: Arc<NodeShared>,
    events: mpsc::UnboundedSender<FollowEvent>,
) {
    let prefix = Rc::new(prefix);
    let mut lost = false;
    while !events.is_closed() {
        let ended = follow_once(&store, &prefix, pause, &shared, &events, &mut lost).await;
        if let Err(err) = ended {
            shared.store.note_failure(shared.clock.now());
            if !lost {
                event!(Warn, "follow_lost", prefix = prefix, error = err);
            }
            lost = true;
            tokio::time::sleep(RETRY_WAIT).await;
        }
    }
}

async fn follow_once<S: StoreClient>(
    store: &S,
    prefix: &str,
    pause: Duration,
    shared: &NodeShared,
    events: &mpsc::UnboundedSender<FollowEvent>,
    lost: &mut bool,
) -> Result<(), StoreError> {
    let mut watch = store.watch(prefix, StoreRevision::default()).await?;
    while let Some(change) = watch.next().await {
        let change = change?;
        shared.store.note_success(shared.clock.now());
        let told = match change {
            WatchEvent::Opened => {
                let all = store.read_prefix(prefix).await?;
                if *lost {
                    event!(Info, "follow_regained", prefix = prefix, values = all.len());
                    *lost = false;
                }
                events.send(FollowEvent::All(all))
            }
            WatchEvent::Put(stored) => events.send(FollowEvent::Put(stored)),
            WatchEvent::Delete { key, .. } => events.send(FollowEvent::Gone(key)),
            WatchEvent::Quiet => Ok(()),
        };
        if !pause.is_zero() && watch.is_drained() {
            tokio::time::sleep(pause).await;
        }
        if told.is_err() {
            break;
        }
    }
    Ok(())
}
