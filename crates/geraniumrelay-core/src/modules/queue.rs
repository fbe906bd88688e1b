//! Waiting jobs of one service, by urgency class, then fair shares of teams, then the order of the
//! policy.

use std::collections::BTreeSet;
use std::marker::PhantomData;
use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::collections::Map;
use crate::context::Context;
use crate::modules::jobs::JobKey;
use crate::modules::order::{JobFacts, Order};
use crate::modules::shares::Shares;
use crate::modules::sheet::Urgency;
use crate::names::TeamName;

/// Interval at which the set of teams limited to their share is recomputed.
const SHARES_REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of bulk jobs examined in the search for one that may be displaced.
const MAX_DISPLACEMENT_CANDIDATES: usize = 16;

/// Urgency classes in serving order.
pub const CLASSES: [Urgency; Urgency::COUNT] = [Urgency::Urgent, Urgency::Normal, Urgency::Bulk];

/// A job to enqueue.
#[derive(Debug, Clone, Copy)]
pub struct WaitingJob {
    /// Urgency class of the job.
    pub urgency: Urgency,
    /// Team of the job; `None` if the submission names none.
    pub team: Option<TeamName>,
    /// Inputs of the rank.
    pub facts: JobFacts,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    waiting: WaitingJob,
    rank: u64,
}

impl Entry {
    fn work_ms(&self) -> u64 {
        self.waiting.facts.estimated_ms * u64::from(self.waiting.facts.tasks)
    }
}

/// First job of its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Next {
    /// Key of the job.
    pub job: JobKey,
    /// Whether the team of the job is over its share.
    pub is_over_share: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct TeamTotals {
    tasks: usize,
    work_ms: u64,
}

type TeamJobs = Map<Option<TeamName>, BTreeSet<(u64, JobKey)>>;

/// First job of each team that waits in one class, as (deprioritized, rank, job).
type Heads = BTreeSet<(bool, u64, JobKey)>;

/// Waiting jobs of one service.
#[derive(Debug)]
pub struct Queue<O> {
    entries: SecondaryMap<JobKey, Entry>,
    teams: [TeamJobs; Urgency::COUNT],
    heads: [Heads; Urgency::COUNT],
    tasks: [usize; Urgency::COUNT],
    work_ms: [u64; Urgency::COUNT],
    team_totals: [Map<Option<TeamName>, TeamTotals>; Urgency::COUNT],
    shares: Shares,
    shares_refreshed_at: Option<Instant>,
    order: PhantomData<O>,
}

impl<O: Order> Default for Queue<O> {
    fn default() -> Self {
        Self {
            entries: SecondaryMap::new(),
            teams: Default::default(),
            heads: Default::default(),
            tasks: [0; Urgency::COUNT],
            work_ms: [0; Urgency::COUNT],
            team_totals: Default::default(),
            shares: Shares::default(),
            shares_refreshed_at: None,
            order: PhantomData,
        }
    }
}

impl<O: Order> Queue<O> {
    /// Inserts a job, or updates the number of its waiting tasks; zero tasks remove the job.
    pub fn upsert(&mut self, job: JobKey, waiting: WaitingJob) {
        self.remove(job);
        if waiting.facts.tasks == 0 {
            return;
        }
        let class = waiting.urgency as usize;
        let entry = Entry {
            waiting,
            rank: O::rank(&waiting.facts),
        };
        self.tasks[class] += waiting.facts.tasks as usize;
        self.work_ms[class] += entry.work_ms();
        let sum = self.team_totals[class].entry(waiting.team).or_default();
        sum.tasks += waiting.facts.tasks as usize;
        sum.work_ms += entry.work_ms();
        self.remove_head(waiting.urgency, waiting.team);
        let jobs = self.teams[class].entry(waiting.team).or_default();
        jobs.insert((entry.rank, job));
        self.entries.insert(job, entry);
        self.insert_head(waiting.urgency, waiting.team);
    }

    /// Removes a job with all its waiting tasks.
    pub fn remove(&mut self, job: JobKey) {
        let Some(entry) = self.entries.remove(job) else {
            return;
        };
        let WaitingJob {
            urgency,
            team,
            facts,
        } = entry.waiting;
        let class = urgency as usize;
        self.remove_head(urgency, team);
        if let Some(jobs) = self.teams[class].get_mut(&team) {
            jobs.remove(&(entry.rank, job));
            if jobs.is_empty() {
                self.teams[class].remove(&team);
            }
        }
        self.insert_head(urgency, team);
        self.tasks[class] -= facts.tasks as usize;
        self.work_ms[class] -= entry.work_ms();
        if let Some(sum) = self.team_totals[class].get_mut(&team) {
            sum.tasks -= facts.tasks as usize;
            sum.work_ms -= entry.work_ms();
        }
    }

    fn first_of(&self, urgency: Urgency, team: Option<TeamName>) -> Option<(bool, u64, JobKey)> {
        let jobs = self.teams[urgency as usize].get(&team)?;
        let (rank, job) = *jobs.first()?;
        Some((self.shares.is_deprioritized(team), rank, job))
    }

    fn insert_head(&mut self, urgency: Urgency, team: Option<TeamName>) {
        if let Some(first) = self.first_of(urgency, team) {
            self.heads[urgency as usize].insert(first);
        }
    }

    fn remove_head(&mut self, urgency: Urgency, team: Option<TeamName>) {
        if let Some(first) = self.first_of(urgency, team) {
            self.heads[urgency as usize].remove(&first);
        }
    }

    /// Sets the shares of the teams from the sheet.
    pub fn set_shares(&mut self, cx: &Context<'_>, shares: &Map<TeamName, u32>) {
        self.shares.set(cx.now, &cx.cfg.shares, shares);
        self.shares_refreshed_at = None;
    }

    /// Adds demand of a team, in seconds of slot time.
    pub fn add_demand(&mut self, cx: &Context<'_>, team: Option<TeamName>, run_s: f64) {
        self.shares.add_demand(cx.now, &cx.cfg.shares, team, run_s);
    }

    /// Records that a team occupies one more slot.
    pub fn start(&mut self, team: Option<TeamName>) {
        self.update_team(team, |shares| shares.start(team));
    }

    /// Records that a team released a slot.
    pub fn end(&mut self, team: Option<TeamName>) {
        self.update_team(team, |shares| shares.end(team));
    }

    fn update_team(&mut self, team: Option<TeamName>, f: impl FnOnce(&mut Shares)) {
        for urgency in CLASSES {
            self.remove_head(urgency, team);
        }
        f(&mut self.shares);
        for urgency in CLASSES {
            self.insert_head(urgency, team);
        }
    }

    /// Recomputes which teams are limited to their share of `slots`, at most once per
    /// `SHARES_REFRESH_INTERVAL`.
    pub fn refresh_shares(&mut self, cx: &Context<'_>, slots: u32) {
        if self
            .shares_refreshed_at
            .is_some_and(|at| cx.now < at + SHARES_REFRESH_INTERVAL)
        {
            return;
        }
        self.shares_refreshed_at = Some(cx.now);
        self.shares.refresh(cx.now, &cx.cfg.shares, slots);
        for urgency in CLASSES {
            self.heads[urgency as usize].clear();
            let teams: Vec<_> = self.teams[urgency as usize].keys().copied().collect();
            for team in teams {
                self.insert_head(urgency, team);
            }
        }
    }

    /// The first job of a class; `None` if no job of the class waits.
    pub fn next(&self, urgency: Urgency) -> Option<Next> {
        let (_, _, job) = *self.heads[urgency as usize].first()?;
        let team = self.entries.get(job)?.waiting.team;
        Some(Next {
            job,
            is_over_share: self.shares.is_over(team),
        })
    }

    /// Whether a team is limited to its share and has used it up.
    pub fn is_over_share(&self, team: Option<TeamName>) -> bool {
        self.shares.is_over(team)
    }

    /// Slots of a team's share; `None` unless the team is limited to them.
    pub fn quota(&self, team: Option<TeamName>) -> Option<u32> {
        self.shares.quota(team)
    }

    /// Number of teams that are limited to their share.
    pub fn limited_teams(&self) -> usize {
        self.shares.limited().count()
    }

    /// A bulk job among the last in order for which `may_displace` holds.
    pub fn last_bulk(&self, may_displace: impl Fn(JobKey) -> bool) -> Option<JobKey> {
        let head = self.heads[Urgency::Bulk as usize].last()?;
        let team = self.entries.get(head.2)?.waiting.team;
        let jobs = self.teams[Urgency::Bulk as usize].get(&team)?;
        let mut last = jobs
            .iter()
            .rev()
            .take(MAX_DISPLACEMENT_CANDIDATES)
            .map(|(_, job)| *job);
        last.find(|job| may_displace(*job))
    }

    /// Number of waiting tasks of a class.
    pub fn tasks(&self, urgency: Urgency) -> usize {
        self.tasks[urgency as usize]
    }

    /// Number of waiting tasks of a class, without those of teams limited to their share.
    pub fn fair_tasks(&self, urgency: Urgency) -> usize {
        let sums = &self.team_totals[urgency as usize];
        let limited = self.shares.limited().filter_map(|team| sums.get(&team));
        let limited: usize = limited.map(|sum| sum.tasks).sum();
        self.tasks(urgency) - limited
    }

    /// Estimated work ahead of a new job of a class, in milliseconds of one slot.
    pub fn work_before_ms(&self, urgency: Urgency) -> u64 {
        self.work_ms[..=urgency as usize].iter().sum()
    }

    /// Estimated work of a team ahead of a new job of a class, in milliseconds of one slot.
    pub fn team_work_before_ms(&self, urgency: Urgency, team: Option<TeamName>) -> u64 {
        let classes = self.team_totals[..=urgency as usize].iter();
        let sums = classes.filter_map(|sums| sums.get(&team));
        sums.map(|sum| sum.work_ms).sum()
    }

    /// Number of waiting tasks of all classes.
    pub fn len(&self) -> usize {
        self.tasks.iter().sum()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use slotmap::SlotMap;

    use super::*;
    use crate::modules::order::EstimatedSize;

    struct Builder {
        keys: SlotMap<JobKey, ()>,
        queue: Queue<EstimatedSize>,
    }

    impl Builder {
        fn new() -> Self {
            Self {
                keys: SlotMap::with_key(),
                queue: Queue::default(),
            }
        }

        fn with(&mut self, urgency: Urgency, tasks: u32, arrived_ms: u64) -> JobKey {
            let job = self.keys.insert(());
            let facts = JobFacts {
                arrived_ms,
                tasks,
                declared_ms: 0,
                estimated_ms: 100,
            };
            let waiting = WaitingJob {
                urgency,
                team: None,
                facts,
            };
            self.queue.upsert(job, waiting);
            job
        }
    }

    #[test]
    fn the_shortest_job_precedes_longer_and_much_newer_ones() {
        let mut builder = Builder::new();
        let long = builder.with(Urgency::Bulk, 50, 0);
        let short = builder.with(Urgency::Bulk, 2, 0);
        builder.with(Urgency::Bulk, 1, 10_000);
        let next = |queue: &Queue<EstimatedSize>| queue.next(Urgency::Bulk).map(|next| next.job);
        assert_eq!(next(&builder.queue), Some(short));
        builder.queue.remove(short);
        assert_eq!(next(&builder.queue), Some(long));
    }

    #[test]
    fn totals_match_the_waiting_jobs() {
        let mut builder = Builder::new();
        let urgent = builder.with(Urgency::Urgent, 3, 0);
        let bulk = builder.with(Urgency::Bulk, 5, 0);
        assert_eq!(builder.queue.work_before_ms(Urgency::Urgent), 300);
        assert_eq!(builder.queue.work_before_ms(Urgency::Bulk), 800);
        assert_eq!(builder.queue.last_bulk(|_| true), Some(bulk));
        builder.queue.remove(urgent);
        builder.queue.remove(bulk);
        assert!(builder.queue.is_empty());
        assert_eq!(builder.queue.len(), 0);
    }
}
