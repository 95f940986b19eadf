//! Handlers of the etcd v3 JSON gateway, with the injected faults.

use std::{
    convert::Infallible,
    time::Duration, //
};

use actix_web::{
    HttpResponse,
    web, //
};
use bytes::Bytes;
use futures_util::stream;
use hoisthitch_store::message::{
    KeepAliveResponse,
    LeaseGrantRequest,
    LeaseRequest,
    PutRequest,
    RangeRequest,
    ResponseHeader,
    TxnRequest,
    WatchLine,
    WatchRequest,
    WatchResponse, //
};
use serde::Serialize;

use crate::platform::{
    PlatformState,
    faults::{
        CallKind,
        CallOutcome, //
    }, //
};

type State = web::Data<PlatformState>;

/// Time after which a waiting watch checks for an outage, which ends it.
const OUTAGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Registers the handlers.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v3/kv/range", web::post().to(range))
        .route("/v3/kv/put", web::post().to(put))
        .route("/v3/kv/txn", web::post().to(txn))
        .route("/v3/lease/grant", web::post().to(grant))
        .route("/v3/lease/keepalive", web::post().to(keep_alive))
        .route("/v3/lease/revoke", web::post().to(revoke))
        .route("/v3/watch", web::post().to(watch));
}

async fn range(state: State, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<RangeRequest>(&body) else {
        return malformed();
    };
    match state.faults.begin_call(CallKind::Read).await {
        CallOutcome::Respond => HttpResponse::Ok().json(state.values.range(&request)),
        CallOutcome::Fail | CallOutcome::LoseResponse => outage(),
    }
}

async fn put(state: State, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<PutRequest>(&body) else {
        return malformed();
    };
    write(&state, || state.values.put(request)).await
}

async fn txn(state: State, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<TxnRequest>(&body) else {
        return malformed();
    };
    write(&state, || state.values.txn(request)).await
}

async fn grant(state: State, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<LeaseGrantRequest>(&body) else {
        return malformed();
    };
    write(&state, || {
        Ok::<_, Infallible>(state.values.grant(request.ttl))
    })
    .await
}

async fn keep_alive(state: State, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<LeaseRequest>(&body) else {
        return malformed();
    };
    write(&state, || {
        let result = state.values.keep_alive(request.id);
        Ok::<_, Infallible>(KeepAliveResponse { result })
    })
    .await
}

async fn revoke(state: State, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<LeaseRequest>(&body) else {
        return malformed();
    };
    write(&state, || {
        state.values.revoke(request.id);
        Ok::<_, Infallible>(ResponseHeader {
            revision: state.values.revision(),
        })
    })
    .await
}

/// Runs a write with the injected faults; a refused write gets status 413.
async fn write<R, E>(state: &State, run: impl FnOnce() -> Result<R, E>) -> HttpResponse
where
    R: Serialize,
{
    match state.faults.begin_call(CallKind::Write).await {
        CallOutcome::Fail => outage(),
        CallOutcome::Respond => match run() {
            Ok(response) => HttpResponse::Ok().json(response),
            Err(_) => HttpResponse::PayloadTooLarge().finish(),
        },
        CallOutcome::LoseResponse => {
            let _ = run();
            outage()
        }
    }
}

async fn watch(state: State, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<WatchRequest>(&body) else {
        return malformed();
    };
    if let CallOutcome::Fail | CallOutcome::LoseResponse =
        state.faults.begin_call(CallKind::Watch).await
    {
        return outage();
    }
    let request = request.create_request;
    let revision = state.values.revision();
    let cursor = WatchCursor {
        range: RangeRequest {
            key: request.key,
            range_end: request.range_end,
            keys_only: false,
        },
        next_revision: if request.start_revision > 0 {
            request.start_revision
        } else {
            revision + 1
        },
        confirmed: false,
        changed: state.values.subscribe(),
        state,
    };
    HttpResponse::Ok()
        .content_type("application/json")
        .streaming(stream::unfold(cursor, |mut cursor| async move {
            let line = cursor.next_line().await?;
            Some((Ok::<_, Infallible>(line), cursor))
        }))
}

/// Position of one watch in the changes of its range.
struct WatchCursor {
    range: RangeRequest,
    /// Revision from which changes are still to be sent.
    next_revision: i64,
    /// Whether the line that confirms the watch was sent.
    confirmed: bool,
    changed: tokio::sync::watch::Receiver<i64>,
    state: State,
}

impl WatchCursor {
    /// Waits for the next line; returns `None` if an outage ends the watch.
    async fn next_line(&mut self) -> Option<Bytes> {
        if !self.confirmed {
            self.confirmed = true;
            return Some(self.line(true, Vec::new()));
        }
        loop {
            let plan = self.state.faults.plan();
            if plan.outage {
                return None;
            }
            if !plan.silent_watches {
                let (events, revision) = self.state.values.changes(&self.range, self.next_revision);
                self.next_revision = self.next_revision.max(revision + 1);
                if !events.is_empty() {
                    return Some(self.line(false, events));
                }
            }
            let _ = tokio::time::timeout(OUTAGE_CHECK_INTERVAL, self.changed.changed()).await;
        }
    }

    fn line(&self, created: bool, events: Vec<hoisthitch_store::message::Event>) -> Bytes {
        let line = WatchLine {
            result: WatchResponse {
                header: ResponseHeader {
                    revision: self.state.values.revision(),
                },
                created,
                events,
            },
        };
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        Bytes::from(text)
    }
}

fn outage() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}

fn malformed() -> HttpResponse {
    HttpResponse::BadRequest().finish()
}
