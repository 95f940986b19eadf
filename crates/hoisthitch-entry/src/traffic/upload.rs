//! Reads a caller's body: a short one whole, a long one as a stream.

use actix_web::{
    HttpRequest,
    error::PayloadError,
    http::{
        StatusCode,
        header::{
            self,
            HeaderMap, //
        }, //
    },
    web, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use hoisthitch_core::RequestOutcome;
use tokio::{
    sync::mpsc,
    time::Instant, //
};

use crate::{
    state::SharedState,
    traffic::{
        body::{
            BodyStream,
            BodyTruncated,
            RequestBody, //
        },
        problem::{
            BoxedProblem,
            DEFAULT_RETRY_AFTER,
            ProblemResponse, //
        }, //
    }, //
};

/// Longest body that is read whole, before the request waits for a slot, so that a
/// slow caller does not occupy a slot.
const WHOLE_BODY_MAX_BYTES: usize = 64 << 10;

/// Chunks of a streamed body that may wait for the runner.
const STREAM_CHUNKS: usize = 4;

/// Reads a body whole, or the first part of a body that will be streamed.
///
/// # Errors
///
/// Fails with the response for a body that is truncated, too long, or not read by
/// the deadline.
pub async fn read_body(
    shared: &SharedState,
    request: &HttpRequest,
    mut payload: web::Payload,
    deadline: Instant,
) -> Result<RequestBody, BoxedProblem> {
    let limit = shared.settings.callers.body_limit;
    let length = content_length(request.headers());
    if length.is_some_and(|length| length > limit as u64) {
        return Err(too_large(limit));
    }
    let mut first = BytesMut::new();
    while first.len() <= WHOLE_BODY_MAX_BYTES {
        let chunk = tokio::time::timeout_at(deadline, payload.next())
            .await
            .map_err(|_| truncated_body("it did not come before the deadline"))?;
        match chunk {
            None => return Ok(RequestBody::Whole(first.freeze())),
            Some(Ok(chunk)) => first.extend_from_slice(&chunk),
            Some(Err(PayloadError::Overflow)) => return Err(no_memory()),
            Some(Err(err)) => return Err(truncated_body(&err.to_string())),
        }
        if first.len() > limit {
            return Err(too_large(limit));
        }
    }
    let left = limit - first.len();
    let (sender, rest) = mpsc::channel(STREAM_CHUNKS);
    actix_web::rt::spawn(stream_body(payload, left, sender));
    Ok(RequestBody::Stream(BodyStream {
        length,
        first: Some(first.freeze()),
        rest,
    }))
}

/// Streams the rest of a body, as fast as the receiver takes it, until the body ends or the
/// receiver is gone.
async fn stream_body(
    mut payload: web::Payload,
    mut left: usize,
    sender: mpsc::Sender<Result<Bytes, BodyTruncated>>,
) {
    loop {
        // A caller that stops to send would otherwise keep the body, and its connection, after
        // its request has been refused.
        let chunk = tokio::select! {
            chunk = payload.next() => chunk,
            () = sender.closed() => return,
        };
        let Some(chunk) = chunk else {
            return;
        };
        let chunk = match chunk {
            Ok(chunk) if chunk.len() <= left => chunk,
            _ => {
                let _ = sender.send(Err(BodyTruncated)).await;
                return;
            }
        };
        left -= chunk.len();
        if sender.send(Ok(chunk)).await.is_err() {
            return;
        }
    }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn too_large(limit: usize) -> BoxedProblem {
    Box::new(ProblemResponse::new(
        StatusCode::PAYLOAD_TOO_LARGE,
        RequestOutcome::NotRun,
        "body-too-large",
        format!("a body may have {limit} bytes"),
    ))
}

fn no_memory() -> BoxedProblem {
    Box::new(ProblemResponse::unavailable(
        "body-memory",
        "the body did not come in time, or too many requests send long bodies",
        DEFAULT_RETRY_AFTER,
    ))
}

fn truncated_body(fault: &str) -> BoxedProblem {
    Box::new(ProblemResponse::new(
        StatusCode::BAD_REQUEST,
        RequestOutcome::NotRun,
        "body-cut",
        format!("the body was cut short: {fault}"),
    ))
}
