//! Runners of a pool: what the platform reports of them, their state as the owner sees it, and
//! the resources that are reserved on them.
//!
//! A [`RunnerEntry`] represents one instance of a runner's process. Its failures and its counter
//! for refusals decide how long it is in backoff, that is, gets no tasks.

use std::{
    collections::BTreeSet,
    fmt::{
        self,
        Display, //
    }, //
};

use slotmap::new_key_type;

use crate::{
    Millis,
    cold_start::RunnerWarmth,
    health::RunnerHealth,
    resources::ResourceAmounts,
    spec::StepSpec,
    task::TaskRef, //
};

/// Backoff of a runner that refused two starts in a row, in milliseconds; it doubles with each
/// further refusal. Without it, a gang that is planned again after its other members have
/// stopped would get a member on that runner again.
const REFUSAL_BACKOFF_MS: Millis = 600;

/// Time that a lease must last when a start is decided on, in milliseconds: the start is
/// recorded first, and then waits for its turn to be sent. A runner refuses starts under an
/// expired lease, and an owner that keeps sending such starts has no time to renew any lease:
/// one owner sent 2,500 starts a second in this way for seconds, and none of them ran.
const START_LEASE_MIN_MS: Millis = 1_000;

/// Time for which a runner that dropped an end unread gets no short tasks, in milliseconds; it
/// doubles with each further end that is dropped.
const DROPPED_END_PAUSE_MS: Millis = 1_000;

/// How often that time is doubled at most: up to 64 s, as all runners of a pool may be affected.
const DROPPED_END_DOUBLINGS_MAX: u32 = 6;

/// How often the backoff after refusals is doubled at most: up to 4.8 s, about as long as
/// troubles of runners last.
const REFUSAL_DOUBLINGS_MAX: u32 = 3;

/// Whether the list of ended runs in a runner's responses can be relied on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EndListing {
    /// It contains all ends that were not acknowledged.
    #[default]
    Complete,
    /// Acknowledgements for an earlier instance may have reached this one, which then drops as
    /// many ends unread, until it has listed one.
    Unproven {
        /// Number of ends that it dropped.
        dropped: u32,
        /// Time until which it gets no short tasks.
        paused_until: Millis,
    },
}

new_key_type! {
    /// Key of a runner in the pool's state.
    pub struct RunnerKey;
}

/// One instance of a runner's process; a runner that restarts may keep its name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunnerInstance {
    /// Name of the runner.
    pub name: String,
    /// Start time of the process by its VM's clock, in milliseconds since 1970; none where it
    /// is not known.
    pub started_at: Option<u64>,
}

impl RunnerInstance {
    /// An instance whose start time is not known.
    pub fn without_start_time(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            started_at: None,
        }
    }

    /// Parses the text that [`Display`] writes; a text without a start time is a name alone.
    pub fn parse(text: &str) -> Self {
        let parsed = text.rsplit_once('@');
        let parsed = parsed.and_then(|(name, started_at)| Some((name, started_at.parse().ok()?)));
        let (name, started_at) =
            parsed.map_or((text, None), |(name, started_at)| (name, Some(started_at)));
        Self {
            name: name.to_owned(),
            started_at,
        }
    }

    /// Whether both may be the same instance: the names are equal, and so are the start times
    /// if both are known.
    pub fn may_be(&self, other: &Self) -> bool {
        let births = self.started_at.zip(other.started_at);
        self.name == other.name && births.is_none_or(|(one, other)| one == other)
    }
}

impl Display for RunnerInstance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)?;
        match self.started_at {
            Some(started_at) => write!(f, "@{started_at}"),
            None => Ok(()),
        }
    }
}

/// What the platform reports about a runner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunnerFacts {
    /// Name; a runner that restarts may keep it.
    pub name: String,
    /// Start time of this instance, as in [`RunnerInstance`].
    pub started_at: Option<u64>,
    /// VM that it runs on.
    pub vm: String,
    /// Total resources for tasks.
    pub capacity: ResourceAmounts,
    /// Labels.
    pub labels: Vec<String>,
    /// Rack that it is in.
    pub rack: String,
    /// Data hall that it is in; empty where that is not known.
    pub hall: String,
    /// Whether it has announced its shutdown.
    pub draining: bool,
}

impl RunnerFacts {
    /// The instance that the facts are about.
    pub fn instance(&self) -> RunnerInstance {
        RunnerInstance {
            name: self.name.clone(),
            started_at: self.started_at,
        }
    }
}

/// Evacuation of a runner, for maintenance or a move of its VM.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RunnerEvacuation {
    /// It is not evacuated.
    #[default]
    None,
    /// Its VM may not go down yet: it gets only tasks that fit nowhere else.
    Ahead,
    /// Its VM goes down as soon as it may: it gets no tasks.
    Emptying {
        /// When that was last requested.
        renewed_at: Millis,
    },
    /// Its VM may have been ordered to go down, so that its tasks may end at any moment.
    Cleared,
}

impl RunnerEvacuation {
    /// Whether the runner may get tasks.
    pub fn takes_tasks(self) -> bool {
        matches!(self, Self::None | Self::Ahead)
    }
}

/// A runner, as its pool's owner sees it.
#[derive(Clone, Debug)]
pub struct RunnerEntry {
    /// What the platform reports about it.
    pub facts: RunnerFacts,
    /// Whether it responds, and has a lease of this owner.
    pub ready: bool,
    /// Whether the platform no longer lists it: it may be shutting down, or its record lapsed
    /// during an outage of the store.
    pub unlisted: bool,
    /// Whether it is being evacuated for maintenance or a move of its VM.
    pub evacuation: RunnerEvacuation,
    /// Whether it is in a cordoned data hall.
    pub cordoned: bool,
    /// Whether its data hall counts as lost.
    pub hall_lost: bool,
    /// Number of its data hall in its pool.
    pub(crate) hall_number: usize,
    /// Whether it has not responded since its data hall was lost.
    pub(crate) lost_with_hall: bool,
    /// Whether it is cold.
    pub(crate) warmth: RunnerWarmth,
    /// Whether it was in a cordoned data hall when its warmth was last decided.
    pub(crate) cools_in_cordon: bool,
    /// Latest time at which its leases may end, and with them everything that runs on it, if
    /// it gets no further heartbeat.
    pub lease_until: Millis,
    /// Time until which it has a lease of this owner for certain; none before the first lease.
    pub lease_confirmed_until: Option<Millis>,
    /// Time until which no further long-running task is moved off it, because the last one may
    /// not be available elsewhere yet.
    pub relocating_until: Millis,
    /// Whether it has responded to this owner, and so refuses earlier ones.
    pub fenced: bool,
    /// Since when it has not responded; none while it does.
    pub silent_since: Option<Millis>,
    /// When the last heartbeat that it answered was sent; none before the first.
    pub last_heartbeat_at: Option<Millis>,
    /// Whether it follows an earlier instance under the same name. Orders meant for that one
    /// may have given this one leases that are based on a clock that is not its own.
    pub restarted: bool,
    /// Whether its responses contain its start time.
    pub reports_start_time: bool,
    /// When it was first seen.
    pub first_seen_at: Millis,
    /// Resources reserved by tasks.
    pub used: ResourceAmounts,
    /// Tasks that have resources reserved on it.
    pub tasks: BTreeSet<TaskRef>,
    /// Number of those tasks that are long-running. Kept as a counter because each choice of a
    /// runner reads it for all runners.
    long_running: u32,
    /// Number of the last end that was processed.
    pub last_seen_end: u64,
    /// Whether it lists all ends.
    pub end_listing: EndListing,
    /// When its last response came; none before the first.
    pub(crate) last_response_at: Option<Millis>,
    /// When the first heartbeat was sent that got no response since then.
    pub(crate) first_miss_sent_at: Option<Millis>,
    /// Whether its connections were reset or refused when it last fell silent.
    pub(crate) was_reset: bool,
    /// Whether its loss was recorded, and it has not responded since.
    pub(crate) loss_recorded: bool,
    /// Whether its loss is suspected, and it has not responded since.
    pub(crate) loss_suspected: bool,
    /// A suspect that runs here in isolation; nothing else is placed on the runner.
    pub(crate) isolated_task: Option<TaskRef>,
    /// Time until which it is reserved for the isolated run of a suspect.
    pub(crate) reserved_until: Millis,
    /// Its failures.
    pub(crate) health: RunnerHealth,
    /// Refused starts in a row; refusals of starts that were sent together count once.
    refusals: u32,
    /// Time until which it gets no tasks.
    backoff_until: Millis,
}

impl RunnerEntry {
    /// A runner that has not responded yet; `lease_until` is the time by which everything that
    /// earlier owners ordered there has ended.
    pub fn new(facts: RunnerFacts, lease_until: Millis, now: Millis) -> Self {
        Self {
            facts,
            ready: false,
            unlisted: false,
            evacuation: RunnerEvacuation::None,
            cordoned: false,
            hall_lost: false,
            hall_number: 0,
            lost_with_hall: false,
            warmth: RunnerWarmth::Unknown,
            cools_in_cordon: false,
            lease_until,
            lease_confirmed_until: None,
            relocating_until: 0,
            fenced: false,
            silent_since: Some(now),
            last_heartbeat_at: None,
            restarted: false,
            reports_start_time: false,
            first_seen_at: now,
            used: ResourceAmounts::default(),
            tasks: BTreeSet::new(),
            long_running: 0,
            last_seen_end: 0,
            end_listing: EndListing::Complete,
            last_response_at: None,
            first_miss_sent_at: None,
            was_reset: false,
            loss_recorded: false,
            loss_suspected: false,
            isolated_task: None,
            reserved_until: 0,
            health: RunnerHealth::default(),
            refusals: 0,
            backoff_until: 0,
        }
    }

    /// Whether it is about to shut down, or is not listed and may be.
    pub fn is_departing(&self) -> bool {
        self.facts.draining || self.unlisted
    }

    /// Whether it responds, and is neither departing nor being emptied nor in a data hall that is
    /// cordoned or lost.
    pub fn is_staying(&self) -> bool {
        let usable_hall = !self.cordoned && !self.hall_lost;
        let usable = self.evacuation.takes_tasks() && usable_hall;
        self.ready && !self.is_departing() && usable
    }

    /// Whether it may get tasks at `now`: its lease has to outlast the write of the record and
    /// the order of the start.
    pub fn takes_tasks(&self, now: Millis) -> bool {
        let lease = self.lease_confirmed_until;
        let has_lease = lease.is_none_or(|until| until > now + START_LEASE_MIN_MS);
        self.is_staying() && has_lease && self.backoff_until <= now && self.health.takes_task(now)
    }

    /// Whether it may drop ends unread.
    pub fn is_unproven(&self) -> bool {
        self.end_listing != EndListing::Complete
    }

    /// Whether its list of ends allows a task of the step. A long-running task does not end by
    /// itself; otherwise one task at a time is started and stopped, until an end is listed.
    pub fn lists_end_of(&self, step: &StepSpec, now: Millis) -> bool {
        match self.end_listing {
            EndListing::Complete => true,
            EndListing::Unproven { .. } if step.long_running => true,
            EndListing::Unproven { paused_until, .. } => {
                let only_long_running = self.tasks.len() == self.long_running as usize;
                !step.gang && only_long_running && paused_until <= now
            }
        }
    }

    /// Records that it may drop ends unread.
    pub fn doubt_end_listing(&mut self) {
        if self.end_listing == EndListing::Complete {
            self.end_listing = EndListing::Unproven {
                dropped: 0,
                paused_until: 0,
            };
        }
    }

    /// Records that a run on it has ended and is not listed.
    pub fn record_dropped_end(&mut self, now: Millis) {
        if let EndListing::Unproven {
            dropped,
            paused_until,
        } = &mut self.end_listing
        {
            let doublings = (*dropped).min(DROPPED_END_DOUBLINGS_MAX);
            *paused_until = now + (DROPPED_END_PAUSE_MS << doublings);
            *dropped += 1;
        }
    }

    /// Whether a task of the step fits beside what it runs.
    pub fn fits(&self, step: &StepSpec) -> bool {
        self.facts
            .capacity
            .covers(self.used.plus(step.reservation()))
    }

    /// Whether a task of the step would fit if nothing else ran there.
    pub fn could_fit(&self, step: &StepSpec) -> bool {
        self.facts.capacity.covers(step.reservation())
    }

    /// Share of its processors that is reserved once a task of the step is added.
    pub fn load_with(&self, step: &StepSpec) -> f64 {
        let taken = as_f64(self.used.cpu_milli + step.reservation().cpu_milli);
        taken / as_f64(self.facts.capacity.cpu_milli.max(1))
    }

    /// Whether it has long-running tasks.
    pub fn has_long_running(&self) -> bool {
        self.long_running > 0
    }

    /// Reserves resources for a task.
    pub fn add(&mut self, task: TaskRef, step: &StepSpec) {
        if self.tasks.insert(task) {
            self.long_running += u32::from(step.long_running);
            self.used = self.used.plus(step.reservation());
            self.health.add_task(task);
        }
    }

    /// Releases a task's resources.
    pub fn remove(&mut self, task: TaskRef, step: &StepSpec) {
        if self.tasks.remove(&task) {
            self.health.remove_task(task);
            self.isolated_task = self.isolated_task.filter(|isolated| *isolated != task);
            self.long_running = self
                .long_running
                .saturating_sub(u32::from(step.long_running));
            self.used = self.used.minus(step.reservation());
        }
    }

    /// Ends its backoff, after a run on it is done.
    pub(crate) fn end_backoff(&mut self) {
        self.backoff_until = 0;
    }

    /// Records that it accepted a start.
    pub fn record_acceptance(&mut self) {
        self.refusals = 0;
    }

    /// Records that it refused a start though it has free capacity.
    pub fn record_refusal(&mut self, now: Millis) {
        if self.backoff_until > now {
            return;
        }
        if let Some(doublings) = self.refusals.checked_sub(1) {
            let doublings = doublings.min(REFUSAL_DOUBLINGS_MAX);
            self.back_off(now, REFUSAL_BACKOFF_MS << doublings);
        }
        self.refusals += 1;
    }

    /// Gives the runner no tasks for at least `time`.
    pub fn back_off(&mut self, now: Millis, time: Millis) {
        self.backoff_until = self.backoff_until.max(now + time);
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "capacities are far below 2^52 thousandths of a core"
)]
fn as_f64(value: u64) -> f64 {
    value as f64
}
