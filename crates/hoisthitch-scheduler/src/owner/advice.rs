//! Asks the adviser of queues that have one.

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

/// A question, when it was asked, and what came of it.
pub(super) struct AdviceReturn {
    request: AdviceRequest,
    answered_at: Millis,
    answer: Result<AdviceResponse, String>,
}

impl<P: Platform> PoolOwner<P> {
    /// Asks the next question, if none is open.
    pub(super) fn ask_advice(&mut self, now: Millis) {
        if self.asking {
            return;
        }
        let Some(request) = self.state.next_advice_request(now) else {
            return;
        };
        self.asking = true;
        let source = self.context.platform.advice().clone();
        let shared = self.context.shared.clone();
        let returns = self.advice.clone();
        actix_rt::spawn(async move {
            let turn = shared.advice_permit.acquire().await;
            let answer = source.advise(&request).await;
            drop(turn);
            let back = AdviceReturn {
                request,
                answered_at: shared.clock.now(),
                answer,
            };
            // An owner that is gone needs no advice.
            let _ = returns.send(back);
        });
    }

    /// Takes in what the adviser said.
    pub(super) fn take_advice(&mut self, back: AdviceReturn) {
        self.asking = false;
        match back.answer {
            Ok(answer) => {
                event!(
                    Info,
                    "advice",
                    step = back.request.step,
                    asked = back.request.runners.len(),
                    good = answer.tickets.len(),
                    valid_ms = answer.valid_for.as_millis()
                );
                let valid = Millis::try_from(answer.valid_for.as_millis()).unwrap_or(0);
                let until = back.answered_at + valid;
                self.state
                    .record_advice(back.request.task, answer.tickets, until);
            }
            Err(err) => event!(
                Warn,
                "advice_missing",
                step = back.request.step,
                error = err
            ),
        }
    }
}
