//! Error responses of the entry itself: problem details (RFC 9457) with the
//! outcome of the request.

use std::time::Duration;

use actix_web::{
    HttpResponse,
    http::{
        StatusCode,
        header, //
    }, //
};
use hoisthitch_core::{
    OUTCOME_HEADER,
    RefusalReason,
    RequestOutcome,
    WorkRefusal, //
};
use serde::Serialize;

/// Media type of problem details.
const PROBLEM_TYPE: &str = "application/problem+json";

/// Default `Retry-After` of an entry that can't send requests at the moment.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Error response for a request, boxed to keep `Result`s small.
pub type BoxedProblem = Box<ProblemResponse>;

/// Problem details of a response.
#[derive(Clone, Debug, Serialize)]
pub struct ProblemResponse {
    /// Type of the problem: a URI reference, relative to the documentation.
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: String,
    /// Outcome of the request.
    outcome: &'static str,
    #[serde(skip)]
    retry_after: Option<Duration>,
}

impl ProblemResponse {
    /// Creates a problem of the type `/problems/{code}`.
    pub fn new(
        status: StatusCode,
        outcome: RequestOutcome,
        code: &str,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            kind: format!("/problems/{code}"),
            title: status.canonical_reason().unwrap_or("Error"),
            status: status.as_u16(),
            detail: detail.into(),
            outcome: outcome.as_str(),
            retry_after: None,
        }
    }

    /// Problem of a request that its scheduler refused.
    pub fn refused(refusal: WorkRefusal) -> Self {
        let status = match refusal.reason {
            RefusalReason::PoolRate | RefusalReason::TeamRate | RefusalReason::TeamInFlight => {
                StatusCode::TOO_MANY_REQUESTS
            }
            RefusalReason::QueueFull
            | RefusalReason::Deadline
            | RefusalReason::NoRunner
            | RefusalReason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        };
        let code = refusal.reason.to_string();
        let detail = format!("refused by the rule '{code}'");
        Self::new(status, RequestOutcome::NotRun, &code, detail).retry_after(refusal.retry_after)
    }

    /// Problem of a request that can't be served now.
    pub fn unavailable(code: &str, detail: &str, retry_after: Duration) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self::new(status, RequestOutcome::NotRun, code, detail).retry_after(retry_after)
    }

    /// Problem of a request that can't be sent since the entry's view of the fleet
    /// is stale.
    pub fn stale_view() -> Self {
        Self::unavailable(
            "stale-view",
            "this entry is not on the roster, or has not heard from the platform or another entry",
            DEFAULT_RETRY_AFTER,
        )
    }

    /// Sets the `Retry-After` header.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Builds the HTTP response.
    pub fn into_response(self) -> HttpResponse {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut builder = HttpResponse::build(status);
        builder.insert_header((OUTCOME_HEADER, self.outcome));
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs_f64().ceil().max(1.0);
            builder.insert_header((header::RETRY_AFTER, format!("{seconds}")));
        }
        let body = serde_json::to_vec(&self).unwrap_or_default();
        builder.content_type(PROBLEM_TYPE).body(body)
    }
}
