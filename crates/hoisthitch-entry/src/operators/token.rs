//! Checks the bearer token of operators' calls.

use actix_web::{
    Error,
    HttpResponse,
    body::{
        BoxBody,
        EitherBody,
        MessageBody, //
    },
    dev::{
        ServiceRequest,
        ServiceResponse, //
    },
    http::header,
    middleware::Next,
    web, //
};
use hoisthitch_telemetry::event;

use crate::state::SharedState;

/// Paths that the load balancer and the metrics collector read without a token.
const OPEN_PATHS: [&str; 2] = ["/ready", "/metrics"];

/// Refuses calls without the token.
///
/// # Errors
///
/// Fails if the next handler fails.
pub async fn require_token<B: MessageBody + 'static>(
    request: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<EitherBody<B, BoxBody>>, Error> {
    if OPEN_PATHS.contains(&request.path()) || has_token(&request) {
        let response = next.call(request).await?;
        return Ok(response.map_into_left_body());
    }
    event!(Warn, "operator_refused", path = request.path());
    let response = HttpResponse::Unauthorized().body("the operators' token is missing or wrong");
    Ok(request.into_response(response).map_into_right_body())
}

fn has_token(request: &ServiceRequest) -> bool {
    let Some(shared) = request.app_data::<web::Data<SharedState>>() else {
        return false;
    };
    let Some(value) = request.headers().get(header::AUTHORIZATION) else {
        return false;
    };
    let expected = format!("Bearer {}", shared.settings.operators.token);
    equal_in_constant_time(value.as_bytes(), expected.as_bytes())
}

/// Compares in constant time for inputs of the same length.
fn equal_in_constant_time(left: &[u8], right: &[u8]) -> bool {
    let differing = left
        .iter()
        .zip(right)
        .fold(0, |differing, (left, right)| differing | (left ^ right));
    left.len() == right.len() && differing == 0
}
