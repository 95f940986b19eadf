//! The order in which a pool's jobs are served.
//!
//! Jobs are ordered by paid priority, then long-running jobs first, then jobs that can still
//! meet their objective, then by latest start. A job that can't be in time any more earns
//! little, and goes last: otherwise, when there is too much work, all jobs would be a little
//! late.
//!
//! Under overload the order by latest start is the worst one: each job gets its turn when it
//! has no slack left, and any task that takes longer than the mean makes it late. So while
//! jobs pass their latest start without having begun, jobs that have not begun are served
//! newest first. The newest have slack, so that as many are in time as there is capacity for,
//! and the others are late as they would have been anyway. Jobs that have begun go before
//! them, because their work would be lost if they waited.
//!
//! Where useless work yields, jobs whose end is of no use any more come after all others, whatever
//! their priority, and start only in the room that [`crate::useless`] leaves them.

use std::collections::{
    BTreeSet,
    HashMap, //
};

use crate::{
    Millis,
    job::{
        JobEntry,
        JobKey, //
    },
    pool::PoolState,
    quota::TeamUsage, //
};

/// Time of a job besides that of its tasks, in milliseconds: records, orders, reports and the
/// caller's query.
pub(crate) const OVERHEAD_MS: Millis = 150;

/// Time after a job passed its latest start without having begun during which its priority
/// class counts as overloaded, in milliseconds. Rises of demand last several seconds, and jobs
/// arrive at some tens a second.
const OVERLOAD_WINDOW_MS: Millis = 1_000;

/// Sort key of a job; the smallest is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct JobRank {
    /// Whether its end is of no use any more, and it yields to other work.
    useless: bool,
    /// Paid priority.
    priority: u32,
    /// Whether the job ends by itself, that is, is not long-running.
    finite: bool,
    /// Whether it has not begun, and its team uses more than its share.
    beyond_share: bool,
    /// Whether it can't meet its objective any more.
    late: bool,
    /// Whether it has not begun, and its priority class is overloaded: newest first.
    newest_first: bool,
    turn: Millis,
}

impl PoolState {
    /// Active jobs in the order in which they are to be served, with whether each yields to the
    /// others because its end is of no use any more.
    pub(crate) fn plan_order(
        &self,
        usage: &HashMap<&str, TeamUsage>,
        now: Millis,
    ) -> Vec<(JobKey, bool)> {
        let jobs: Vec<(JobKey, &JobEntry, Millis)> = self
            .active
            .iter()
            .filter_map(|key| Some((*key, self.jobs.get(*key)?)))
            .filter(|(_, job)| !job.phase.is_final())
            .map(|(key, job)| (key, job, self.latest_start(job)))
            .collect();
        let passed = jobs.iter().filter(|(_, job, start)| {
            let lately = *start < now && now < *start + OVERLOAD_WINDOW_MS;
            lately && !job.spec.is_long_running() && !job.has_begun()
        });
        let overloaded: BTreeSet<u32> = passed.map(|(_, job, _)| job.policy.priority).collect();
        let beyond = self.teams_beyond_share(usage);
        let mut order: Vec<(JobRank, JobKey)> = jobs
            .iter()
            .map(|(key, job, start)| {
                let overload = overloaded.contains(&job.policy.priority);
                let beyond = beyond.contains(job.team.as_str());
                let rank = JobRank {
                    useless: self.yields_as_useless(job, now),
                    ..rank(job, *start, overload, beyond, now)
                };
                (rank, *key)
            })
            .collect();
        order.sort_by_key(|(rank, _)| *rank);
        let order = order.into_iter();
        order.map(|(rank, key)| (key, rank.useless)).collect()
    }

    /// When the remaining work of a job has to start for the job to be in time, given the mean
    /// task time of its queue.
    pub(crate) fn latest_start(&self, job: &JobEntry) -> Millis {
        let time = self.task_time(&job.queue);
        let left = job.spec.critical_path(|step| {
            let round = job.rounds_begun().saturating_sub(1);
            if job.remaining_tasks(round, step) > 0 {
                time
            } else {
                0
            }
        });
        self.due_at(job).saturating_sub(left + OVERHEAD_MS)
    }

    /// When a job has to be done to meet its objective.
    fn due_at(&self, job: &JobEntry) -> Millis {
        job.accepted_at + job.objective(self.task_time(&job.queue))
    }

    /// Whether a job that has not ended has passed its objective.
    pub(crate) fn has_missed_objective(&self, job: &JobEntry, now: Millis) -> bool {
        self.due_at(job) < now
    }
}

fn rank(
    job: &JobEntry,
    latest_start: Millis,
    overload: bool,
    beyond: bool,
    now: Millis,
) -> JobRank {
    let finite = !job.spec.is_long_running();
    let late = finite && latest_start < now;
    let newest_first = overload && finite && !late && !job.has_begun();
    JobRank {
        useless: false,
        priority: job.policy.priority,
        finite,
        beyond_share: beyond && finite && !job.has_begun(),
        late,
        newest_first,
        turn: if newest_first {
            Millis::MAX - latest_start
        } else {
            latest_start
        },
    }
}
