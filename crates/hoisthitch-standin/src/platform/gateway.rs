//! Handlers of the etcd v3 JSON gateway.

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
        CallFate,
        CallKind, //
    }, //
};

type State = web::Data<PlatformState>;

/// How often a watch looks whether an outage should end it.
const WATCH_CHECK: Duration = Duration::from_millis(50);

/// Adds the handlers.
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
    match state.faults.meet(CallKind::Read).await {
        CallFate::Answer => HttpResponse::Ok().json(state.values.range(&request)),
        CallFate::Fail | CallFate::Lose => outage(),
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

async fn write<A, E>(state: &State, act: impl FnOnce() -> Result<A, E>) -> HttpResponse
where
    A: Serialize,
{
    match state.faults.meet(CallKind::Write).await {
        CallFate::Fail => outage(),
        CallFate::Answer => match act() {
            Ok(answer) => HttpResponse::Ok().json(answer),
            Err(_) => HttpResponse::PayloadTooLarge().finish(),
        },
        CallFate::Lose => {
            let _ = act();
            outage()
        }
    }
}

async fn watch(state: State, body: Bytes) -> HttpResponse {
    let Ok(request) = serde_json::from_slice::<WatchRequest>(&body) else {
        return malformed();
    };
    if let CallFate::Fail | CallFate::Lose = state.faults.meet(CallKind::Watch).await {
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
        next: if request.start_revision > 0 {
            request.start_revision
        } else {
            revision + 1
        },
        opened: false,
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

/// Where a watch stands.
struct WatchCursor {
    range: RangeRequest,
    next: i64,
    opened: bool,
    changed: tokio::sync::watch::Receiver<i64>,
    state: State,
}

impl WatchCursor {
    /// The next line; `None` when an outage ends the watch.
    async fn next_line(&mut self) -> Option<Bytes> {
        if !self.opened {
            self.opened = true;
            return Some(self.line(true, Vec::new()));
        }
        loop {
            let plan = self.state.faults.plan();
            if plan.outage {
                return None;
            }
            if !plan.silent_watches {
                let (events, revision) = self.state.values.changes(&self.range, self.next);
                self.next = self.next.max(revision + 1);
                if !events.is_empty() {
                    return Some(self.line(false, events));
                }
            }
            let _ = tokio::time::timeout(WATCH_CHECK, self.changed.changed()).await;
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
