//! Forecasts how many VMs a pool will need when a move that is ordered now is finished.

use crate::{
    Millis,
    demand::WantedVms, //
};

/// Window over which a rise of the need is measured, in milliseconds.
const TREND_WINDOW_MS: Millis = 1_000;

/// Factor by which a measured rise is extrapolated: from the decision to the first task a move
/// takes about twice the window.
const RISE_FACTOR: u32 = 2;

/// VMs that a pool needs, now and when a move is finished.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmForecast {
    /// VMs needed when a move that is ordered now is finished.
    pub want: u32,
    /// VMs needed for the work that arrives and runs all the time.
    pub keep: u32,
}

/// What a pool needed within the last second.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    steady: Vec<(Millis, u32)>,
}

impl DemandHistory {
    /// Records what is needed now; returns the forecast.
    pub fn forecast(&mut self, want: WantedVms, now: Millis) -> VmForecast {
        self.steady.retain(|(at, _)| at + TREND_WINDOW_MS > now);
        self.steady.push((now, want.steady));
        VmForecast {
            want: want.now.saturating_add(self.rise(want.steady)),
            keep: want.steady,
        }
    }

    /// VMs that will be needed beyond those of now, if the need goes on rising at the measured
    /// rate.
    fn rise(&self, steady: u32) -> u32 {
        let before = self.steady.first().map_or(steady, |(_, before)| *before);
        steady.saturating_sub(before) * RISE_FACTOR
    }
}
