//! Checker of runs that began after an earlier run of their task had ended done, where that end is
//! acknowledged later. The start alone does not show it: whether the end counts is known only
//! once it is acknowledged.

use hoisthitch_jobs::EndedTask;
use tokio::time::Instant;

use super::runners::FleetState;

impl FleetState {
    /// Records a violation if a later run of the task began after this run was done, which is
    /// acknowledged now.
    pub(super) fn check_repeat(&mut self, end: &EndedTask, done_at: Option<Instant>) {
        let last_start = self.last_starts.get(&end.name).copied();
        let Some(((run, began), done_at)) = last_start.zip(done_at) else {
            return;
        };
        if run > end.run && began > done_at {
            let (task, done) = (&end.name, end.run);
            let violation = format!("{task} run {run} began after run {done} was done");
            self.violations.push(violation);
        }
    }
}
