//! Asks the adviser of queues that have one.

use hoisthitch_jobs::{
    AdviceAsk,
    Millis, //
};
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::platform::{
    AdviceAnswer,
    AdviceSource,
    Platform, //
};

/// A question, when it was asked, and what came of it.
pub(super) struct AdviceReturn {
    ask: AdviceAsk,
    answered_at: Millis,
    answer: Result<AdviceAnswer, String>,
}

impl<P: Platform> PoolOwner<P> {
    /// Asks the next question, if none is open.
    pub(super) fn ask_advice(&mut self, now: Millis) {
        if self.asking {
            return;
        }
        let Some(ask) = self.state.ask_advice(now) else {
            return;
        };
        self.asking = true;
        let source = self.context.platform.advice().clone();
        let shared = self.context.shared.clone();
        let returns = self.advice.clone();
        actix_rt::spawn(async move {
            let turn = shared.advice_turn.acquire().await;
            let answer = source.advise(&ask).await;
            drop(turn);
            let back = AdviceReturn {
                ask,
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
                    step = back.ask.step,
                    asked = back.ask.runners.len(),
                    good = answer.tickets.len(),
                    valid_ms = answer.valid.as_millis()
                );
                let valid = Millis::try_from(answer.valid.as_millis()).unwrap_or(0);
                let until = back.answered_at + valid;
                self.state.take_advice(back.ask.task, answer.tickets, until);
            }
            Err(err) => event!(Warn, "advice_missing", step = back.ask.step, error = err),
        }
    }
}
