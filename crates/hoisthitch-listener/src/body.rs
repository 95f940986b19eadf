//! Reads the bodies of requests in memory that is bounded, and in time.

use std::time::Duration;

use actix_web::{
    error::PayloadError,
    web::Payload, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use thiserror::Error;
use tokio::time::{
    Instant,
    timeout_at, //
};

/// Least memory by which the buffer of a body grows, in bytes.
const MIN_GROWTH_BYTES: usize = 4 << 10;

/// Part of its length by which the buffer of a body grows. A buffer that doubles would hold up
/// to twice the body.
const GROWTH_DIVISOR: usize = 4;

/// Longest body of a refused request that is read to its end, in bytes.
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// Why a body is not read.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is longer than the limit, in bytes.
    #[error("the body is too long; {0} bytes are allowed")]
    TooLong(usize),
    /// It did not end before the deadline.
    #[error("the body did not come in time")]
    Timeout,
    /// The memory of the listener's clients is used up.
    #[error("too many requests send long bodies")]
    NoMemory,
    /// The connection failed or the body is malformed.
    #[error("{0}")]
    Malformed(PayloadError),
}

/// Reads a body of up to `limit` bytes until `deadline`.
///
/// # Errors
///
/// Fails when the body is longer or later, or there is no memory for it.
pub async fn read_body(
    payload: &mut Payload,
    limit: usize,
    deadline: Instant,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    loop {
        let chunk = timeout_at(deadline, payload.next())
            .await
            .map_err(|_| BodyError::Timeout)?;
        match chunk {
            None => return Ok(body.freeze()),
            Some(Ok(chunk)) if body.len() + chunk.len() > limit => {
                return Err(BodyError::TooLong(limit));
            }
            Some(Ok(chunk)) => {
                if body.capacity() - body.len() < chunk.len() {
                    let growth = (body.len() / GROWTH_DIVISOR).max(MIN_GROWTH_BYTES);
                    body.reserve(growth.max(chunk.len()));
                }
                body.extend_from_slice(&chunk);
            }
            Some(Err(PayloadError::Overflow)) => return Err(BodyError::NoMemory),
            Some(Err(err)) => return Err(BodyError::Malformed(err)),
        }
    }
}

/// Reads and drops the body of a refused request for up to `limit`, so that its connection can
/// be used again. A connection that is closed with a part of the body unread is reset, and its
/// client may lose the response.
pub async fn discard_body(payload: &mut Payload, limit: Duration) {
    let deadline = Instant::now() + limit;
    let mut left = MAX_DISCARDED_BYTES;
    while let Ok(Some(Ok(chunk))) = timeout_at(deadline, payload.next()).await {
        if chunk.len() > left {
            return;
        }
        left -= chunk.len();
    }
}
