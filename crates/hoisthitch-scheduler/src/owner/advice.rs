//! Requests to the adviser of queues that have one.
//!
//! An owner has one request in progress at a time, and so has a node. The tickets of a response
//! go to the pool's state, which plans by them.

use hoisthitch_jobs::{
    AdviceRequest,
    Millis, //
};
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::platform::{
    AdviceResponse,
    AdviceSource,
    Platform, //
};

/// A request to the adviser and its result.
pub(super) struct AdviceResult {
    request: AdviceRequest,
    answered_at: Millis,
    answer: Result<AdviceResponse, String>,
}

impl<P: Platform> PoolOwner<P> {
    /// Sends the next request to the adviser, if none is in progress.
    pub(super) fn request_advice(&mut self, now: Millis) {
        if self.advice_pending {
            return;
        }
        let Some(request) = self.state.next_advice_request(now) else {
            return;
        };
        self.advice_pending = true;
        let source = self.context.platform.advice().clone();
        let shared = self.context.shared.clone();
        let results = self.advice_results.clone();
        actix_rt::spawn(async move {
            let permit = shared.advice_permit.acquire().await;
            let answer = source.advise(&request).await;
            drop(permit);
            let result = AdviceResult {
                request,
                answered_at: shared.clock.now(),
                answer,
            };
            // The send fails only if the owner has ended.
            let _ = results.send(result);
        });
    }

    /// Records the adviser's response; its tickets are valid from the time at which it came.
    pub(super) fn apply_advice(&mut self, result: AdviceResult) {
        self.advice_pending = false;
        match result.answer {
            Ok(answer) => {
                event!(
                    Info,
                    "advice",
                    step = result.request.step,
                    asked = result.request.runners.len(),
                    good = answer.tickets.len(),
                    valid_ms = answer.valid_for.as_millis()
                );
                let valid = Millis::try_from(answer.valid_for.as_millis()).unwrap_or(0);
                let until = result.answered_at + valid;
                self.state
                    .record_advice(&result.request, answer.tickets, until);
            }
            Err(err) => {
                event!(
                    Warn,
                    "advice_missing",
                    step = result.request.step,
                    asked = result.request.runners.len(),
                    error = err
                );
                self.state.record_missing_advice(&result.request);
            }
        }
    }
}
