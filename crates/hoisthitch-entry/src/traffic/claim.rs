//! Claims of keyed requests: what an `Idempotency-Key` header asks for.

use std::time::Duration;

use actix_web::{
    HttpRequest,
    HttpResponse,
    http::StatusCode, //
};
use hoisthitch_core::{
    OUTCOME_HEADER,
    RequestOutcome,
    hash_bytes, //
};
use hoisthitch_store::{
    ClaimAnswer,
    ClaimClient,
    ClaimOutcome,
    ClaimRecord,
    ClaimResolution,
    ClaimTicket,
    KeySpace, //
};
use hoisthitch_telemetry::event;
use rand::Rng;
use tokio::time::Instant;

use crate::{
    state::SharedState,
    traffic::{
        answer::ProblemAnswer,
        body::RequestBody, //
    }, //
};

/// Header that names a request for all its tries.
const KEY_HEADER: &str = "idempotency-key";

/// Header of an answer that was kept from another try.
const REPLAY_HEADER: &str = "hoisthitch-replayed";

/// Longest key, in bytes.
const KEY_LIMIT: usize = 128;

/// Longest time that a request waits for its claim.
const CLAIM_WAIT: Duration = Duration::from_millis(500);

/// When a caller may come back after a claim could not be made.
const CLAIM_RETRY: Duration = Duration::from_secs(1);

/// Whose request a claim is for.
pub struct ClaimScope<'a> {
    /// Pool that serves the request.
    pub pool: &'a str,
    /// Team that sent it.
    pub team: &'a str,
    /// When the request is of no more use.
    pub deadline: Instant,
}

/// The claim of a request that was not handed to a runner's exchange yet; the key
/// is freed when it is dropped, be it because the caller hung up.
pub struct ClaimGuard {
    client: ClaimClient,
    ticket: Option<ClaimTicket>,
}

impl ClaimGuard {
    fn new(client: &ClaimClient, ticket: ClaimTicket) -> Self {
        Self {
            client: client.clone(),
            ticket: Some(ticket),
        }
    }

    /// Hands the claim on.
    pub fn into_ticket(mut self) -> Option<ClaimTicket> {
        self.ticket.take()
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.client.end(ticket, ClaimResolution::NotRun);
        }
    }
}

/// What a keyed request is to do.
pub enum ClaimResult {
    /// Go on, with the claim if the request carries a key.
    Send(Option<ClaimGuard>),
    /// Pass this answer on.
    Answer(HttpResponse),
}

/// Claims the key of a request that carries one.
///
/// # Errors
///
/// Fails with the answer for a request that must not be sent.
pub async fn claim_key(
    shared: &SharedState,
    request: &HttpRequest,
    body: &RequestBody,
    scope: ClaimScope<'_>,
) -> Result<ClaimResult, Box<ProblemAnswer>> {
    let Some(key) = read_key(request)? else {
        return Ok(ClaimResult::Send(None));
    };
    let keys = KeySpace::new(&shared.settings.platform.root);
    let record = ClaimRecord {
        entry: shared.settings.name.clone(),
        operation: rand::rng().random(),
        fingerprint: fingerprint(request, body),
        answer: None,
    };
    let deadline = scope.deadline.min(Instant::now() + CLAIM_WAIT);
    let key = keys.claim(scope.pool, scope.team, &key);
    let outcome = shared.claims.claim(key, record, deadline).await;
    log_verdict(&scope, &outcome);
    judge(&shared.claims, outcome)
}

fn judge(client: &ClaimClient, outcome: ClaimOutcome) -> Result<ClaimResult, Box<ProblemAnswer>> {
    let problem = match outcome {
        ClaimOutcome::Granted(ticket) => {
            return Ok(ClaimResult::Send(Some(ClaimGuard::new(client, ticket))));
        }
        ClaimOutcome::Answered(answer) => return Ok(ClaimResult::Answer(replay(answer))),
        ClaimOutcome::InProgress => ProblemAnswer::new(
            StatusCode::CONFLICT,
            RequestOutcome::Unknown,
            "in-progress",
            "another try under this key was sent and has no answer yet",
        )
        .retry_after(CLAIM_RETRY),
        ClaimOutcome::Mismatch => ProblemAnswer::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            RequestOutcome::NotRun,
            "key-reused",
            "the key was used for another request",
        ),
        ClaimOutcome::Unavailable => ProblemAnswer::unavailable(
            "no-claim",
            "the key can't be claimed while the platform's store fails",
            CLAIM_RETRY,
        ),
    };
    Err(Box::new(problem))
}

/// The answer that was kept from the try that ran.
fn replay(answer: ClaimAnswer) -> HttpResponse {
    let Some(body) = answer.body else {
        let problem = ProblemAnswer::new(
            StatusCode::CONFLICT,
            RequestOutcome::Ran,
            "answer-not-kept",
            format!("the request ran with status {}", answer.status),
        );
        return problem.into_response();
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    builder.insert_header((OUTCOME_HEADER, RequestOutcome::Ran.as_str()));
    builder.insert_header((REPLAY_HEADER, "true"));
    if !answer.content_type.is_empty() {
        builder.content_type(answer.content_type);
    }
    builder.body(body.bytes)
}

fn read_key(request: &HttpRequest) -> Result<Option<String>, Box<ProblemAnswer>> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    let plain = |byte: &u8| byte.is_ascii_graphic() && *byte != b'/';
    let bytes = value.as_bytes();
    let fits = !bytes.is_empty() && bytes.len() <= KEY_LIMIT;
    match value.to_str() {
        Ok(text) if fits && bytes.iter().all(plain) => Ok(Some(text.to_owned())),
        _ => Err(Box::new(ProblemAnswer::new(
            StatusCode::BAD_REQUEST,
            RequestOutcome::NotRun,
            "bad-header",
            format!("header {KEY_HEADER}: use 1 to {KEY_LIMIT} visible characters without '/'"),
        ))),
    }
}

/// Hash of the request; of a long body, the part that was read ahead.
fn fingerprint(request: &HttpRequest, body: &RequestBody) -> u64 {
    let mut bytes = format!("{} {}\n", request.method(), request.uri()).into_bytes();
    match body {
        RequestBody::Whole(whole) => bytes.extend_from_slice(whole),
        RequestBody::Stream(stream) => bytes.extend(stream.first.iter().flatten()),
    }
    hash_bytes(&bytes)
}

fn log_verdict(scope: &ClaimScope<'_>, outcome: &ClaimOutcome) {
    let outcome = match outcome {
        ClaimOutcome::Granted(_) => "granted",
        ClaimOutcome::InProgress => "in-progress",
        ClaimOutcome::Answered(_) => "answered",
        ClaimOutcome::Mismatch => "mismatch",
        ClaimOutcome::Unavailable => "unavailable",
    };
    event!(
        Info,
        "claim",
        pool = scope.pool,
        team = scope.team,
        verdict = outcome,
    );
}
