//! How many VMs a pool will want when a move that is ordered now is made.

use crate::{
    Millis,
    demand::WantedVms, //
};

/// Time over which a rise of what is wanted is looked at, in milliseconds.
const TREND_MS: Millis = 1_000;

/// How far a rise is carried on: a move takes about twice the time over which
/// the rise is looked at, from the decision to the first task.
const RISE_FACTOR: u32 = 2;

/// What a pool wants of VMs, now and in a moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmForecast {
    /// VMs wanted when a move ordered now is made.
    pub want: u32,
    /// VMs wanted for what comes in all the time.
    pub keep: u32,
}

/// What a pool wanted in the last second.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    steady: Vec<(Millis, u32)>,
}

impl DemandHistory {
    /// Takes in what is wanted now; answers with what will be.
    pub fn forecast(&mut self, want: WantedVms, now: Millis) -> VmForecast {
        self.steady.retain(|(at, _)| at + TREND_MS > now);
        self.steady.push((now, want.steady));
        VmForecast {
            want: want.now.saturating_add(self.rise(want.steady)),
            keep: want.steady,
        }
    }

    /// VMs that will be wanted beyond those of now, if the want goes on rising.
    fn rise(&self, steady: u32) -> u32 {
        let before = self.steady.first().map_or(steady, |(_, before)| *before);
        steady.saturating_sub(before) * RISE_FACTOR
    }
}
