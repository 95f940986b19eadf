//! Forwards a runner's response to the caller.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    }, //
};

use actix_web::{
    HttpResponse,
    body::{
        BodySize,
        MessageBody, //
    },
    http::StatusCode, //
};
use bytes::Bytes;
use hoisthitch_core::{
    OUTCOME_HEADER,
    RequestOutcome, //
};
use tokio::sync::mpsc;

use crate::traffic::{
    headers::answer_headers,
    result::{
        AnswerBody,
        AnswerCut,
        RunnerAnswer, //
    }, //
};

/// Converts a runner's response into the caller's.
pub fn pass_answer(answer: RunnerAnswer) -> HttpResponse {
    let RunnerAnswer { head, body } = answer;
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in answer_headers(&head.headers) {
        builder.append_header((name, value));
    }
    builder.insert_header((OUTCOME_HEADER, RequestOutcome::Ran.as_str()));
    match body {
        AnswerBody::Whole(bytes) => builder.body(bytes),
        AnswerBody::Head { length } => builder.body(StreamedAnswer::without_body(length)),
        AnswerBody::Stream { length, pieces } => builder.body(StreamedAnswer { length, pieces }),
    }
}

/// Body of a streamed response.
struct StreamedAnswer {
    length: Option<u64>,
    pieces: mpsc::Receiver<Result<Bytes, AnswerCut>>,
}

impl StreamedAnswer {
    /// Body of the response to a HEAD request: no bytes, but a content length if
    /// the runner sent one.
    fn without_body(length: Option<u64>) -> Self {
        let (_, pieces) = mpsc::channel(1);
        Self { length, pieces }
    }
}

impl MessageBody for StreamedAnswer {
    type Error = AnswerCut;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, AnswerCut>>> {
        self.get_mut().pieces.poll_recv(context)
    }
}
