//! A fake of admission control, whose decisions are simple to foresee: a pool with more than
//! [`FEW_WAITING`] waiting jobs is under pressure, and refuses short jobs of callers that wait less
//! than [`PATIENT_MS`].

use hoisthitch_jobs::{
    IntakeDecision,
    IntakeRefusal,
    IntakeReport,
    IntakeRequest,
    Millis,
    PoolState,
    RefusalReason,
    TeamLoad, //
};

/// Waiting jobs up to which the pool is not under pressure.
pub const FEW_WAITING: u32 = 2;

/// Time from which on a caller waits long enough to be admitted, in milliseconds.
pub const PATIENT_MS: Millis = 2_500;

/// Wait until the first start, as the fake estimates it for each job, in milliseconds.
pub const ESTIMATE_MS: Millis = 4_000;

/// The fake's report. Its capacity shows the number of VMs on their way.
pub fn report_waiting(state: &PoolState, coming: u32, _now: Millis) -> IntakeReport {
    let waiting: u32 = state.waiting_jobs().values().sum();
    let mut report = IntakeReport {
        capacity: 1_000 + u64::from(coming),
        ..IntakeReport::default()
    };
    if waiting > FEW_WAITING {
        let load = TeamLoad {
            work: u64::from(waiting) * 1_000_000,
            weight: 1.0,
            ..TeamLoad::default()
        };
        let teams = report.loads.entry(0).or_default();
        teams.insert(String::new(), load);
    }
    report
}

/// The fake's decision.
pub fn refuse_short(
    report: &IntakeReport,
    request: &IntakeRequest<'_>,
    _age: Millis,
) -> IntakeDecision {
    let is_long_running = request.spec.steps.iter().any(|step| step.long_running);
    let is_patient = request.remaining_ms >= PATIENT_MS;
    if report.loads.is_empty() || is_long_running || is_patient {
        return IntakeDecision::Admit {
            wait_ms: Some(ESTIMATE_MS),
        };
    }
    IntakeDecision::Refuse(IntakeRefusal {
        reason: RefusalReason::PoolFull,
        wait_ms: ESTIMATE_MS,
        limit_ms: 600,
        retry_after_ms: 1_200,
    })
}
