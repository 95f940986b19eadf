//! Result of an exchange: a runner's response, or the reason why there is none.

use bytes::Bytes;
use hoisthitch_core::RequestOutcome;
use hyper::http::response::Parts;
use tokio::sync::mpsc;

/// Result of an exchange.
pub enum ExchangeResult {
    /// A runner responded.
    Response(Box<RunnerResponse>),
    /// There is no response to forward.
    Failure(ExchangeFailure),
}

/// Why there is no response to forward.
#[derive(Clone, Debug)]
pub struct ExchangeFailure {
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Description of the failure.
    pub fault: String,
}

/// A runner's response.
pub struct RunnerResponse {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: ResponseBody,
}

/// Body of a runner's response.
pub enum ResponseBody {
    /// The whole body, in memory.
    Whole(Bytes),
    /// No body: the response to a HEAD request.
    Head {
        /// Content length in bytes, if the runner sent one.
        length: Option<u64>,
    },
    /// A long body, streamed to the caller.
    Stream {
        /// Content length in bytes, if the runner sent one.
        length: Option<u64>,
        /// Chunks of the body; an error if it was truncated.
        chunks: mpsc::Receiver<Result<Bytes, ResponseTruncated>>,
    },
}

/// A runner's response was truncated.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the runner's answer was cut short")]
pub struct ResponseTruncated;
