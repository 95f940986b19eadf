//! Request bodies, as sent to a runner.

use std::{
    pin::Pin,
    task::{
        Context,
        Poll, //
    }, //
};

use bytes::Bytes;
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use thiserror::Error;
use tokio::sync::mpsc;

/// The caller's body was truncated.
#[derive(Clone, Copy, Debug, Error)]
#[error("the caller's body was cut short")]
pub struct BodyTruncated;

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// The whole body, in memory; it can be sent again.
    Whole(Bytes),
    /// A long body, streamed to the runner; it can be sent only once.
    Stream(BodyStream),
}

/// A body that is streamed.
#[derive(Debug)]
pub struct BodyStream {
    /// Content length in bytes, if the caller sent one.
    pub length: Option<u64>,
    /// Part that was read before streaming began.
    pub first: Option<Bytes>,
    /// The rest. The channel is bounded, so that a slow runner slows the caller
    /// down (back pressure).
    pub rest: mpsc::Receiver<Result<Bytes, BodyTruncated>>,
}

impl RequestBody {
    /// Copies the body for another attempt; none for a streamed body.
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Whole(bytes) => Some(Self::Whole(bytes.clone())),
            Self::Stream(_) => None,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream(stream) => stream.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(stream) => stream
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}

impl BodyStream {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        self.rest
            .poll_recv(context)
            .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}
