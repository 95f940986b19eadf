//! The owner's part in the loss of a data hall: asks the monitor, lets nothing be started in a
//! lost hall, and reports a hall that only this owner does not reach.
//!
//! The nodes of a hall are a second witness. Where they stay in the group while the hall's
//! runners are silent to the owner, the connections between two halls are cut, and a node in a
//! third hall may reach both. The node's control loop then hands the pool over.

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    rc::Rc, //
};

use hoisthitch_jobs::{
    HallChange,
    HallMonitor,
    HallReturn,
    Millis, //
};
use hoisthitch_telemetry::event;

use super::PoolOwner;
use crate::{
    identity::OwnerRecord,
    platform::Platform, //
};

/// Time for which a hall has to count as lost while its nodes are in the group before the pool is
/// offered to a node in a third hall, in milliseconds. A lost node stays a member for about as
/// long as it takes to notice the silence and this.
const CUT_AGE_MS: Millis = 1_000;

/// Least time between two handovers of a pool because of a cut, in milliseconds: the new owner
/// may be cut off from another hall.
const CUT_HANDOVER_INTERVAL_MS: Millis = 10_000;

/// Halls that count as lost, as an owner's sessions read them.
pub(crate) type LostHalls = Rc<RefCell<BTreeSet<String>>>;

/// What an owner and the control loop of its node agree on when the pool is to be handed over
/// because of a cut between halls.
#[derive(Debug, Default)]
pub(crate) struct CutHandover {
    /// Hall whose runners this owner does not reach, while its nodes are in the group.
    pub(crate) silent_hall: Option<String>,
    /// Record that replaces the owner's record when the pool is released, if a node was chosen.
    pub(crate) successor: Option<OwnerRecord>,
}

/// The halls that count as lost at an owner.
#[derive(Default)]
pub(super) struct HallWatch {
    monitor: HallMonitor,
    /// When each of them began to count as lost, and the number of its nodes then.
    begun: BTreeMap<String, (Millis, usize)>,
    /// What sessions read.
    pub(super) lost: LostHalls,
}

impl<P: Platform> PoolOwner<P> {
    /// Decides which halls count as lost.
    pub(super) fn update_lost_halls(&mut self, now: Millis) {
        let tolerated = self.context.shared.terms.tolerated_halls;
        if tolerated == 0 {
            return;
        }
        let silences = self.state.hall_silences(now);
        let changes = self.halls.monitor.update(&silences, tolerated, now);
        for change in &changes {
            self.apply_hall_change(change, now);
        }
        if !changes.is_empty() {
            let lost = self.halls.monitor.lost();
            self.halls.lost.replace(lost.clone());
            self.state.set_lost_halls(lost);
        }
        let silent_hall = self.cut_off_hall(now);
        self.context.cut.borrow_mut().silent_hall = silent_hall;
    }

    fn apply_hall_change(&mut self, change: &HallChange, now: Millis) {
        let nodes = self.context.shared.hall_nodes.load().count(&change.hall);
        let pool = &self.context.pool;
        let gauge = &self.context.shared.metrics.lost_halls;
        let gauge = gauge.with_label_values(&[pool, &change.hall]);
        let Some(back) = change.back else {
            self.halls.begun.insert(change.hall.clone(), (now, nodes));
            gauge.set(1);
            event!(
                Warn,
                "hall_lost",
                pool = pool,
                hall = change.hall,
                runners = change.silence.runners,
                silent = change.silence.silent,
                nodes = nodes,
                age_ms = change.age
            );
            self.count_event("hall_lost");
            return;
        };
        self.halls.begun.remove(&change.hall);
        gauge.set(0);
        let reason = match back {
            HallReturn::Responding if change.silence.runners == 0 => "no_runners",
            HallReturn::Responding => "responding",
            HallReturn::TooManySilent => "too_many_silent",
        };
        event!(
            Info,
            "hall_back",
            pool = pool,
            hall = change.hall,
            runners = change.silence.runners,
            silent = change.silence.silent,
            nodes = nodes,
            age_ms = change.age,
            reason = reason
        );
        self.count_event("hall_back");
    }

    /// A hall that has counted as lost for a while although its nodes are in the group, if the
    /// pool may be handed over because of that.
    fn cut_off_hall(&self, now: Millis) -> Option<String> {
        let rest = if self.context.offered {
            CUT_HANDOVER_INTERVAL_MS
        } else {
            CUT_AGE_MS
        };
        if self.handing_over || now < self.owner_since + rest {
            return None;
        }
        let nodes = self.context.shared.hall_nodes.load();
        let mut begun = self.halls.begun.iter();
        let cut = begun.find(|(hall, (since, nodes_before))| {
            let alive = nodes.count(hall);
            now >= since + CUT_AGE_MS && alive > 0 && alive * 2 >= *nodes_before
        });
        cut.map(|(hall, _)| hall.clone())
    }
}
