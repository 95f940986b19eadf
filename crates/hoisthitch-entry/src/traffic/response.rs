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
    headers::response_headers,
    result::{
        ResponseBody,
        ResponseTruncated,
        RunnerResponse, //
    }, //
};

/// Converts a runner's response into the caller's.
pub fn forward_response(response: RunnerResponse) -> HttpResponse {
    let RunnerResponse { head, body } = response;
    let status = StatusCode::from_u16(head.status.as_u16()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in response_headers(&head.headers) {
        builder.append_header((name, value));
    }
    builder.insert_header((OUTCOME_HEADER, RequestOutcome::Ran.as_str()));
    match body {
        ResponseBody::Whole(bytes) => builder.body(bytes),
        ResponseBody::Head { length } => builder.body(StreamedBody::without_body(length)),
        ResponseBody::Stream { length, chunks } => builder.body(StreamedBody { length, chunks }),
    }
}

/// Body of a streamed response.
struct StreamedBody {
    length: Option<u64>,
    chunks: mpsc::Receiver<Result<Bytes, ResponseTruncated>>,
}

impl StreamedBody {
    /// Body of the response to a HEAD request: no bytes, but a content length if
    /// the runner sent one.
    fn without_body(length: Option<u64>) -> Self {
        let (_, chunks) = mpsc::channel(1);
        Self { length, chunks }
    }
}

impl MessageBody for StreamedBody {
    type Error = ResponseTruncated;

    fn size(&self) -> BodySize {
        self.length.map_or(BodySize::Stream, BodySize::Sized)
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ResponseTruncated>>> {
        self.get_mut().chunks.poll_recv(context)
    }
}
