//! Prometheus metrics of a node's job service.

use std::time::Duration;

use hoisthitch_jobs::Millis;
use prometheus::{
    Histogram,
    HistogramOpts,
    HistogramVec,
    IntCounter,
    IntCounterVec,
    IntGauge,
    IntGaugeVec,
    Opts,
    Registry, //
};

/// Counters, histograms and gauges of the job service.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    /// Registry that contains them.
    pub registry: Registry,
    /// Calls of clients, by kind and outcome.
    pub calls: IntCounterVec,
    /// Orders to runners, by kind and outcome.
    pub orders: IntCounterVec,
    /// Starts that were not sent when they were due, by reason.
    pub starts_not_sent: IntCounterVec,
    /// Events of this node's pools, by kind.
    pub events: IntCounterVec,
    /// Seconds from the acceptance of a job to the first start of a task.
    pub first_start: Histogram,
    /// Seconds from the decision on a run to the sending of a copy of its start.
    pub start_age: Histogram,
    /// Seconds since the list of runners was last confirmed, at the sending of a start.
    pub start_list_age: Histogram,
    /// Upper bound, in seconds, of the time that a change of the list of runners took to arrive.
    pub runner_change_age: Histogram,
    /// Seconds that a write of an owner's journal took.
    pub journal: Histogram,
    /// Seconds of a pass of an owner's loop, by loop.
    pub loop_seconds: HistogramVec,
    /// Calls to the platform and to runners, by purpose.
    pub platform_calls: IntCounterVec,
    /// Bytes of those calls' paths and bodies, by purpose and direction.
    pub platform_bytes: IntCounterVec,
    /// Version of the configuration in effect; zero before the first.
    pub policy_version: IntGauge,
    /// Members of the group that decisions about pools visited.
    pub members_visited: IntCounter,
    /// Number of data halls that are cordoned, as far as this node knows.
    pub cordoned_halls: IntGauge,
    /// Tasks that run in cordoned halls, by pool of this node and hall.
    pub cordoned_tasks: IntGaugeVec,
    /// Jobs that were refused for want of room, by reason.
    pub refusals: IntCounterVec,
    /// Estimated seconds, at a job's admission, until its first task starts.
    pub expected_wait: Histogram,
    /// Seconds by which that estimate was wrong.
    pub expected_wait_error: Histogram,
    /// Accepted work of pools of this node that are under pressure, in core-milliseconds.
    pub intake_work: IntGaugeVec,
    /// Capacity of pools of this node that are under pressure, in thousandths of a core.
    pub intake_capacity: IntGaugeVec,
    /// VMs of this node's pools by data hall, where halls are told apart.
    pub pool_vms: IntGaugeVec,
    /// Waiting tasks that the rate of cold runners holds back, by pool of this node.
    pub held_back_starts: IntGaugeVec,
    /// Data halls that count as lost, by pool of this node and hall: 1 or 0.
    pub lost_halls: IntGaugeVec,
}

impl NodeMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails when a metric is registered twice.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let timed = |name: &str, help: &str| {
            let buckets = vec![0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];
            HistogramOpts::new(name, help).buckets(buckets)
        };
        let histogram = |name: &str, help: &str| {
            let histogram = Histogram::with_opts(timed(name, help))?;
            registry.register(Box::new(histogram.clone()))?;
            prometheus::Result::Ok(histogram)
        };
        let loop_seconds = HistogramVec::new(
            timed(
                "hoisthitch_owner_look_seconds",
                "Time of a look of an owner's loop",
            ),
            &["loop"],
        )?;
        registry.register(Box::new(loop_seconds.clone()))?;
        let policy_version = IntGauge::new(
            "hoisthitch_policy_version",
            "Version of the configuration in force",
        )?;
        registry.register(Box::new(policy_version.clone()))?;
        let members_visited = IntCounter::new(
            "hoisthitch_group_members_visited_total",
            "Nodes that decisions about the owners of pools visited",
        )?;
        registry.register(Box::new(members_visited.clone()))?;
        let cordoned_halls = IntGauge::new(
            "hoisthitch_cordoned_halls",
            "Data halls that operators have cordoned",
        )?;
        registry.register(Box::new(cordoned_halls.clone()))?;
        let cordoned_tasks = IntGaugeVec::new(
            Opts::new(
                "hoisthitch_cordoned_tasks",
                "Tasks that run in cordoned data halls",
            ),
            &["pool", "hall"],
        )?;
        registry.register(Box::new(cordoned_tasks.clone()))?;
        let gauges = |name: &str, help: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &["pool"])?;
            registry.register(Box::new(gauges.clone()))?;
            prometheus::Result::Ok(gauges)
        };
        let pool_vms = IntGaugeVec::new(
            Opts::new("hoisthitch_pool_vms", "VMs of owned pools by data hall"),
            &["pool", "hall"],
        )?;
        registry.register(Box::new(pool_vms.clone()))?;
        let lost_halls = IntGaugeVec::new(
            Opts::new(
                "hoisthitch_lost_halls",
                "Data halls whose runners count as lost together",
            ),
            &["pool", "hall"],
        )?;
        registry.register(Box::new(lost_halls.clone()))?;
        Ok(Self {
            held_back_starts: gauges(
                "hoisthitch_starts_held_back",
                "Waiting tasks that the rate of cold runners holds back",
            )?,
            pool_vms,
            members_visited,
            refusals: counter(
                "hoisthitch_job_refusals_total",
                "Jobs refused for want of room",
                &["reason"],
            )?,
            expected_wait: histogram(
                "hoisthitch_job_expected_wait_seconds",
                "Time to the first start, as estimated when a job is admitted",
            )?,
            expected_wait_error: histogram(
                "hoisthitch_job_expected_wait_error_seconds",
                "Difference of that estimate and the time that it took",
            )?,
            intake_work: gauges(
                "hoisthitch_intake_work_core_milliseconds",
                "Accepted work of pools under pressure",
            )?,
            intake_capacity: gauges(
                "hoisthitch_intake_capacity_millicores",
                "Capacity of pools under pressure",
            )?,
            cordoned_halls,
            cordoned_tasks,
            lost_halls,
            loop_seconds,
            policy_version,
            platform_calls: counter(
                "hoisthitch_platform_calls_total",
                "Calls to the platform and to runners",
                &["purpose"],
            )?,
            platform_bytes: counter(
                "hoisthitch_platform_bytes_total",
                "Bytes of the paths and bodies of those calls",
                &["purpose", "direction"],
            )?,
            calls: counter(
                "hoisthitch_job_calls_total",
                "Calls of clients",
                &["call", "outcome"],
            )?,
            orders: counter(
                "hoisthitch_runner_orders_total",
                "Orders to runners",
                &["order", "outcome"],
            )?,
            starts_not_sent: counter(
                "hoisthitch_starts_not_sent_total",
                "Starts that were not sent when their turn came",
                &["reason"],
            )?,
            events: counter(
                "hoisthitch_pool_events_total",
                "Events of owned pools",
                &["event"],
            )?,
            first_start: histogram(
                "hoisthitch_job_first_start_seconds",
                "Time from acceptance to the first start",
            )?,
            start_age: histogram(
                "hoisthitch_start_age_seconds",
                "Time from the decision on a run to the sending of a copy of its start",
            )?,
            start_list_age: histogram(
                "hoisthitch_start_list_age_seconds",
                "Time since the list of runners was last confirmed, when a start is sent",
            )?,
            runner_change_age: histogram(
                "hoisthitch_runner_change_age_seconds",
                "Longest time that a change of the list of runners was under way",
            )?,
            journal: histogram(
                "hoisthitch_journal_write_seconds",
                "Time of a journal write",
            )?,
            registry,
        })
    }
}

/// Converts a time to seconds, the unit of the histograms.
pub(crate) fn seconds(time: Millis) -> f64 {
    Duration::from_millis(time).as_secs_f64()
}
