//! Runners of a pool and the room that is taken on them.

use std::{
    collections::HashSet,
    fmt::{
        self,
        Display, //
    }, //
};

use slotmap::new_key_type;

use crate::{
    Millis,
    resources::ResourceAmounts,
    spec::StepSpec,
    task::TaskRef, //
};

/// Failed runs in a row, of several jobs, after which a runner is shunned.
///
/// Tasks fail by their own fault in a few of a hundred runs, so that three in
/// a row mean a broken runner in all but one of ten thousand cases.
const FAILURE_STREAK: u32 = 3;

/// Time for which a runner that fails everything gets no tasks, before it is
/// tried again with one; troubles of runners last five seconds and more.
const SHUN_MS: Millis = 4_000;

/// Time for which a runner that refused twice in a row gets no tasks, in
/// milliseconds, doubled with each refusal that follows: a gang that is planned
/// anew once its other members have stopped would have a member there again.
const REFUSALS_SHUN_MS: Millis = 600;

/// Time for which a lease has to last when a start is decided on, in milliseconds: the
/// start is recorded and waits for its turn. A runner refuses starts under a lease that
/// is over, and an owner that goes on sending them has no time to renew any: of 2,500
/// starts a second that one sent so for seconds, none ran.
const START_TIME_MS: Millis = 1_000;

/// How often that time is doubled at most: up to 4.8 s, about the time that
/// troubles of runners last.
const REFUSALS_DOUBLED: u32 = 3;

new_key_type! {
    /// Key of a runner in a pool's state.
    pub struct RunnerKey;
}

/// One life of a runner: a runner that starts again may keep its name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunnerInstance {
    /// Name of the runner.
    pub name: String,
    /// When it started, by its VM's time of day in milliseconds since 1970; none where
    /// that is not told.
    pub started_at: Option<u64>,
}

impl RunnerInstance {
    /// A life of which no birth is known.
    pub fn without_start_time(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            started_at: None,
        }
    }

    /// Reads a life as [`Display`] writes it; a text without a birth is a name.
    pub fn parse(text: &str) -> Self {
        let told = text.rsplit_once('@');
        let told = told.and_then(|(name, started_at)| Some((name, started_at.parse().ok()?)));
        let (name, started_at) =
            told.map_or((text, None), |(name, started_at)| (name, Some(started_at)));
        Self {
            name: name.to_owned(),
            started_at,
        }
    }

    /// Whether both are one life, as far as their births tell.
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

/// What the platform tells of a runner.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunnerFacts {
    /// Name, which a runner may keep when it starts again.
    pub name: String,
    /// When this life of it started, as in [`RunnerInstance`].
    pub started_at: Option<u64>,
    /// VM that it runs on.
    pub vm: String,
    /// Room for tasks.
    pub capacity: ResourceAmounts,
    /// Labels.
    pub labels: Vec<String>,
    /// Rack.
    pub rack: String,
    /// Whether it is about to leave.
    pub draining: bool,
}

impl RunnerFacts {
    /// The life that the facts are of.
    pub fn instance(&self) -> RunnerInstance {
        RunnerInstance {
            name: self.name.clone(),
            started_at: self.started_at,
        }
    }
}

/// A runner as its pool's owner knows it.
#[derive(Clone, Debug)]
pub struct RunnerEntry {
    /// What the platform tells.
    pub facts: RunnerFacts,
    /// Whether it answers, and knows this owner.
    pub ready: bool,
    /// Whether it is listed no more: it may leave, or its record lapsed in an
    /// outage of the store.
    pub unlisted: bool,
    /// Whether it is to be emptied for an upkeep or a move.
    pub evacuating: bool,
    /// When everything on it has ended if no hold is answered any more.
    pub lease_until: Millis,
    /// Until when it has a lease of its owner for certain; none where it was never told.
    pub lease_confirmed_until: Option<Millis>,
    /// Until when a lasting task that was moved off it may take to work
    /// elsewhere.
    pub relocating_until: Millis,
    /// Whether it has answered this owner, and so refuses earlier ones.
    pub fenced: bool,
    /// Since when it has not answered; none while it does.
    pub silent_since: Option<Millis>,
    /// When the last hold was sent that it answered; none before the first.
    pub heard_at: Option<Millis>,
    /// Whether another life of it was known before: what was ordered of that one may have
    /// given this one leases by a clock that is not its own.
    pub renewed: bool,
    /// Whether its answers tell its birth.
    pub reports_start_time: bool,
    /// When it was first seen.
    pub known_since: Millis,
    /// Room taken.
    pub used: ResourceAmounts,
    /// Tasks that take room.
    pub tasks: HashSet<TaskRef>,
    /// Those of them that last. Counted here, for each choice of a runner asks it of all
    /// runners.
    lasting: u32,
    /// Number of the last end that was taken in.
    pub last_seen_end: u64,
    /// Whether its connections were reset when it was last lost: its process ended.
    pub(crate) was_reset: bool,
    /// Whether its loss was taken in, and it has not answered since.
    pub(crate) loss_noted: bool,
    /// A suspect that is tried here, and beside which nothing else is placed.
    pub(crate) trial: Option<TaskRef>,
    /// Until when it is kept free for a suspect.
    pub(crate) reserved_until: Millis,
    /// Runs in a row that failed.
    failures: u32,
    /// Starts in a row that it refused; those sent together count once.
    refusals: u32,
    /// Until when it gets no tasks.
    shunned_until: Millis,
}

impl RunnerEntry {
    /// A runner that has not answered yet; `lease_until` is when everything that
    /// earlier owners ordered there has ended.
    pub fn new(facts: RunnerFacts, lease_until: Millis, now: Millis) -> Self {
        Self {
            facts,
            ready: false,
            unlisted: false,
            evacuating: false,
            lease_until,
            lease_confirmed_until: None,
            relocating_until: 0,
            fenced: false,
            silent_since: Some(now),
            heard_at: None,
            renewed: false,
            reports_start_time: false,
            known_since: now,
            used: ResourceAmounts::default(),
            tasks: HashSet::new(),
            lasting: 0,
            last_seen_end: 0,
            was_reset: false,
            loss_noted: false,
            trial: None,
            reserved_until: 0,
            failures: 0,
            refusals: 0,
            shunned_until: 0,
        }
    }

    /// Whether it is about to leave, or is not listed and may be.
    pub fn is_departing(&self) -> bool {
        self.facts.draining || self.unlisted
    }

    /// Whether it answers, and neither leaves nor is emptied.
    pub fn is_staying(&self) -> bool {
        self.ready && !self.is_departing() && !self.evacuating
    }

    /// Whether it may get tasks: its lease has to outlast the record and the order of
    /// their starts.
    pub fn takes_tasks(&self, now: Millis) -> bool {
        let covered = self.lease_confirmed_until;
        let covered = covered.is_none_or(|until| until > now + START_TIME_MS);
        self.is_staying() && covered && self.shunned_until <= now
    }

    /// Whether it was shunned and is tried with one task.
    pub fn is_on_trial(&self) -> bool {
        self.failures >= FAILURE_STREAK
    }

    /// Whether a task of the step fits beside what it runs.
    pub fn fits(&self, step: &StepSpec) -> bool {
        self.facts.capacity.covers(self.used.plus(step.room()))
    }

    /// Whether a task of the step would fit if nothing else ran there.
    pub fn could_hold(&self, step: &StepSpec) -> bool {
        self.facts.capacity.covers(step.room())
    }

    /// Share of the processors taken once a task of the step is added.
    pub fn load_with(&self, step: &StepSpec) -> f64 {
        let taken = as_f64(self.used.cpu_milli + step.room().cpu_milli);
        taken / as_f64(self.facts.capacity.cpu_milli.max(1))
    }

    /// Whether it holds tasks that last.
    pub fn holds_lasting(&self) -> bool {
        self.lasting > 0
    }

    /// Takes room for a task.
    pub fn add(&mut self, task: TaskRef, step: &StepSpec) {
        if self.tasks.insert(task) {
            self.lasting += u32::from(step.long_running);
            self.used = self.used.plus(step.room());
        }
    }

    /// Gives room back.
    pub fn remove(&mut self, task: TaskRef, step: &StepSpec) {
        if self.tasks.remove(&task) {
            self.trial = self.trial.filter(|trial| *trial != task);
            self.lasting = self.lasting.saturating_sub(u32::from(step.long_running));
            self.used = self.used.minus(step.room());
        }
    }

    /// Takes in that a run is done.
    pub fn note_done(&mut self) {
        self.failures = 0;
        self.shunned_until = 0;
    }

    /// Takes in that a run failed; answers whether the runner is shunned now.
    pub fn note_failed(&mut self, now: Millis) -> bool {
        self.failures += 1;
        if self.failures >= FAILURE_STREAK {
            self.shunned_until = now + SHUN_MS;
        }
        self.failures >= FAILURE_STREAK
    }

    /// Takes in that it carried out a start.
    pub fn note_accepted(&mut self) {
        self.refusals = 0;
    }

    /// Takes in that it refused a start though it has room.
    pub fn note_refused(&mut self, now: Millis) {
        if self.shunned_until > now {
            return;
        }
        if let Some(doublings) = self.refusals.checked_sub(1) {
            let doublings = doublings.min(REFUSALS_DOUBLED);
            self.shun(now, REFUSALS_SHUN_MS << doublings);
        }
        self.refusals += 1;
    }

    /// Gives the runner no tasks for a while.
    pub fn shun(&mut self, now: Millis, time: Millis) {
        self.shunned_until = self.shunned_until.max(now + time);
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "capacities are far below 2^52 thousandths of a core"
)]
fn as_f64(value: u64) -> f64 {
    value as f64
}
