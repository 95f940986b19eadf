//! Sends a request to a runner, retries on another runner where that is allowed,
//! and returns the response.
//!
//! An exchange runs in a task of its own and is not cancelled when the caller
//! disconnects: a request that must not be repeated is followed to its end.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::{
    Bytes,
    BytesMut, //
};
use hoisthitch_core::RequestOutcome;
use hoisthitch_store::{
    ClaimAnswer,
    ClaimBody,
    ClaimResolution,
    ClaimTicket, //
};
use hoisthitch_telemetry::event;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    Uri,
    body::{
        Body,
        Incoming, //
    },
    header::{
        CONNECTION,
        CONTENT_LENGTH,
        CONTENT_TYPE,
        HeaderValue, //
    },
    http::response::Parts, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::Instant, //
};

use crate::{
    state::SharedState,
    traffic::{
        body::RequestBody,
        dispatcher::{
            PoolDispatcher,
            SlotPermit,
            TeamPermit, //
        },
        hop::{
            HopError,
            send_request, //
        },
        result::{
            ExchangeFailure,
            ExchangeResult,
            ResponseBody,
            ResponseTruncated,
            RunnerResponse, //
        }, //
    }, //
};

/// Longest response body that is read whole before it is forwarded.
const WHOLE_BODY_MAX_BYTES: usize = 64 << 10;

/// Longest response body that is stored with the claim of its request.
const STORED_BODY_MAX_BYTES: usize = 2 << 10;

/// Chunks of a streamed response that may wait for the caller.
const STREAM_CHUNKS: usize = 4;

/// How long after the request's deadline the runner's response is still awaited.
const ABANDON_LIMIT: Duration = Duration::from_secs(60);

/// How often a request that was not sent is reassigned to another runner.
const MAX_REASSIGNMENTS: usize = 3;

/// A request that has a slot, with all that is needed to send it.
pub struct RequestExchange {
    /// State of the process.
    pub shared: Arc<SharedState>,
    /// Dispatcher of the request's pool.
    pub dispatcher: Arc<PoolDispatcher>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: RequestBody,
    /// Whether the request may be sent again.
    pub repeatable: bool,
    /// Time at which the caller gets an error response.
    pub deadline: Instant,
    /// The request's part of its team's quota, held until the exchange ends.
    pub team_permit: TeamPermit,
    /// Claim of the request's idempotency key.
    pub claim: Option<ClaimTicket>,
}

/// Why one attempt failed.
enum AttemptError {
    Hop(HopError),
    /// The head was received, and the body was truncated before any of it was
    /// forwarded.
    Truncated {
        status: u16,
        fault: String,
    },
}

impl RequestExchange {
    /// Runs the exchange and sends its result to `reply`.
    ///
    /// At the deadline a failure is sent to `reply`. The exchange then continues
    /// until the runner responds or [`ABANDON_LIMIT`] is over, since the request
    /// still occupies the runner's slot.
    pub async fn run(mut self, permit: SlotPermit, reply: oneshot::Sender<ExchangeResult>) {
        let mut reply = ReplySender(Some(reply));
        let mut permit = permit;
        let mut reassigned = 0;
        loop {
            let copy = self.body.try_clone();
            let err = match self.attempt_until_deadline(&mut permit, &mut reply).await {
                Ok(response) => return self.forward(response, permit, reply).await,
                Err(err) => err,
            };
            permit.set_healthy(false);
            let was_sent = !matches!(err, AttemptError::Hop(HopError::Unsent(_)));
            let may_retry = if was_sent {
                self.repeatable
            } else {
                reassigned += 1;
                reassigned <= MAX_REASSIGNMENTS
            };
            let next = match copy {
                Some(body) if may_retry && Instant::now() < self.deadline => {
                    self.body = body;
                    self.dispatcher.acquire_other(&permit, was_sent)
                }
                _ => None,
            };
            let Some(next) = next else {
                self.end_claim_unanswered(&err);
                reply.send(ExchangeResult::Failure(err.into_failure()));
                return;
            };
            self.log_retry(&permit, &next, was_sent);
            permit = next;
        }
    }

    /// Makes one attempt; replies with a failure if the deadline passes meanwhile.
    async fn attempt_until_deadline(
        &mut self,
        permit: &mut SlotPermit,
        reply: &mut ReplySender,
    ) -> Result<(Parts, ReceivedBody), AttemptError> {
        let deadline = self.deadline;
        let limit = deadline.max(Instant::now()) + ABANDON_LIMIT;
        let mut attempt = std::pin::pin!(self.attempt(permit));
        if let Ok(result) = tokio::time::timeout_at(deadline, &mut attempt).await {
            return result;
        }
        let deadline_passed =
            || AttemptError::Hop(HopError::Sent("the deadline passed".to_owned()));
        reply.send(ExchangeResult::Failure(deadline_passed().into_failure()));
        let rest = tokio::time::timeout_at(limit, attempt).await;
        rest.unwrap_or_else(|_| Err(deadline_passed()))
    }

    async fn attempt(
        &mut self,
        permit: &mut SlotPermit,
    ) -> Result<(Parts, ReceivedBody), AttemptError> {
        let body = std::mem::replace(&mut self.body, RequestBody::Whole(Bytes::new()));
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        let may_send = || self.shared.may_send();
        let response = send_request(permit.address, request, self.deadline, may_send)
            .await
            .map_err(AttemptError::Hop)?;
        permit.set_healthy(!response.status().is_server_error());
        self.receive(response).await
    }

    /// Reads a short response whole, or the first part of one that is streamed.
    async fn receive(
        &self,
        response: Response<Incoming>,
    ) -> Result<(Parts, ReceivedBody), AttemptError> {
        let (head, mut body) = response.into_parts();
        if self.method == Method::HEAD {
            let length = content_length(&head);
            return Ok((head, ReceivedBody::Head { length }));
        }
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > WHOLE_BODY_MAX_BYTES as u64) {
            let received = ReceivedBody::Part {
                length,
                first: Bytes::new(),
                rest: body,
            };
            return Ok((head, received));
        }
        let mut whole = BytesMut::new();
        while whole.len() <= WHOLE_BODY_MAX_BYTES {
            match body.frame().await {
                None => return Ok((head, ReceivedBody::Whole(whole.freeze()))),
                Some(Err(err)) => return Err(truncated(&head, &err.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        whole.extend_from_slice(&data);
                    }
                }
            }
        }
        let received = ReceivedBody::Part {
            length,
            first: whole.freeze(),
            rest: body,
        };
        Ok((head, received))
    }

    async fn forward(
        mut self,
        (head, received): (Parts, ReceivedBody),
        permit: SlotPermit,
        mut reply: ReplySender,
    ) {
        self.end_claim_answered(&head, &received);
        let (body, rest) = match received {
            ReceivedBody::Whole(bytes) => (ResponseBody::Whole(bytes), None),
            ReceivedBody::Head { length } => (ResponseBody::Head { length }, None),
            ReceivedBody::Part {
                length,
                first,
                rest,
            } => {
                let (sender, chunks) = mpsc::channel(STREAM_CHUNKS);
                (
                    ResponseBody::Stream { length, chunks },
                    Some((first, rest, sender)),
                )
            }
        };
        let response = RunnerResponse { head, body };
        let sent = reply.send(ExchangeResult::Response(Box::new(response)));
        if let (true, Some((first, rest, sender))) = (sent, rest) {
            stream_body(first, rest, sender).await;
        }
        drop(permit);
        drop(self.team_permit);
    }

    /// Resolves the claim of a request without a response to forward.
    ///
    /// If the outcome is unknown, the key stays claimed until its lease expires.
    fn end_claim_unanswered(&mut self, err: &AttemptError) {
        let end = match err {
            AttemptError::Hop(HopError::Sent(_)) => return,
            AttemptError::Hop(HopError::Unsent(_)) => ClaimResolution::NotRun,
            AttemptError::Truncated { status, .. } => ClaimResolution::Ran(ClaimAnswer {
                status: *status,
                content_type: String::new(),
                body: None,
            }),
        };
        if let Some(ticket) = self.claim.take() {
            self.shared.claims.end(ticket, end);
        }
    }

    /// Resolves the claim of a request that ran, and stores a short response with it.
    fn end_claim_answered(&mut self, head: &Parts, body: &ReceivedBody) {
        let Some(ticket) = self.claim.take() else {
            return;
        };
        let content_type = head.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let body = match body {
            ReceivedBody::Whole(bytes) if bytes.len() <= STORED_BODY_MAX_BYTES => Some(ClaimBody {
                bytes: bytes.to_vec(),
            }),
            _ => None,
        };
        let answer = ClaimAnswer {
            status: head.status.as_u16(),
            content_type: content_type.unwrap_or_default().to_owned(),
            body,
        };
        self.shared.claims.end(ticket, ClaimResolution::Ran(answer));
    }

    fn log_retry(&self, failed: &SlotPermit, next: &SlotPermit, was_sent: bool) {
        self.shared.metrics.count_retry(self.dispatcher.name());
        event!(
            Info,
            "retry",
            pool = self.dispatcher.name(),
            failed = failed.vm,
            vm = next.vm,
            was_sent = was_sent,
        );
    }
}

/// Channel for the result of the exchange, of which the caller gets only one.
struct ReplySender(Option<oneshot::Sender<ExchangeResult>>);

impl ReplySender {
    /// Sends the result, unless one was sent already or the caller disconnected.
    /// Returns whether it was sent.
    fn send(&mut self, result: ExchangeResult) -> bool {
        let reply = self.0.take();
        reply.is_some_and(|reply| reply.send(result).is_ok())
    }
}

/// Body of a response, as far as it was read.
enum ReceivedBody {
    Whole(Bytes),
    Head {
        length: Option<u64>,
    },
    Part {
        length: Option<u64>,
        first: Bytes,
        rest: Incoming,
    },
}

fn truncated(head: &Parts, fault: &str) -> AttemptError {
    AttemptError::Truncated {
        status: head.status.as_u16(),
        fault: fault.to_owned(),
    }
}

fn content_length(head: &Parts) -> Option<u64> {
    head.headers
        .get(CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Streams a body until it ends or is truncated, or the caller disconnects.
async fn stream_body(
    first: Bytes,
    mut rest: Incoming,
    sender: mpsc::Sender<Result<Bytes, ResponseTruncated>>,
) {
    if !first.is_empty() && sender.send(Ok(first)).await.is_err() {
        return;
    }
    while let Some(frame) = rest.frame().await {
        let chunk = match frame {
            Ok(frame) => frame.into_data().ok(),
            Err(_) => {
                let _ = sender.send(Err(ResponseTruncated)).await;
                return;
            }
        };
        if let Some(chunk) = chunk
            && sender.send(Ok(chunk)).await.is_err()
        {
            return;
        }
    }
}

impl AttemptError {
    fn into_failure(self) -> ExchangeFailure {
        match self {
            Self::Hop(HopError::Unsent(fault)) => ExchangeFailure {
                outcome: RequestOutcome::NotRun,
                fault,
            },
            Self::Hop(HopError::Sent(fault)) => ExchangeFailure {
                outcome: RequestOutcome::Unknown,
                fault,
            },
            Self::Truncated { fault, .. } => ExchangeFailure {
                outcome: RequestOutcome::Ran,
                fault: format!("the answer was cut short: {fault}"),
            },
        }
    }
}
