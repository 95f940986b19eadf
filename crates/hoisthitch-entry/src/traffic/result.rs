//! How an exchange ended: a runner's answer, or why there is none.

use bytes::Bytes;
use hoisthitch_core::RequestOutcome;
use hyper::http::response::Parts;
use tokio::sync::mpsc;

/// How an exchange ended.
pub enum ExchangeResult {
    /// A runner answered.
    Answer(Box<RunnerAnswer>),
    /// No runner answered.
    Failure(ExchangeFailure),
}

/// Why no answer can be passed on.
#[derive(Clone, Debug)]
pub struct ExchangeFailure {
    /// What is known about the request.
    pub outcome: RequestOutcome,
    /// What happened.
    pub fault: String,
}

/// A runner's answer.
pub struct RunnerAnswer {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: AnswerBody,
}

/// Body of an answer.
pub enum AnswerBody {
    /// The whole body.
    Whole(Bytes),
    /// No body: the answer to a HEAD.
    Head {
        /// Length that the body would have, where the runner named it.
        length: Option<u64>,
    },
    /// A long body that is passed on as it comes.
    Stream {
        /// Length, where the runner named it.
        length: Option<u64>,
        /// The body; an error when it was cut short.
        pieces: mpsc::Receiver<Result<Bytes, AnswerCut>>,
    },
}

/// A runner's answer ended before its end.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the runner's answer was cut short")]
pub struct AnswerCut;
