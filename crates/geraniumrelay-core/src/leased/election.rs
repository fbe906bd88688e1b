//! Election of the entry VM that schedules a cell, by heartbeats.
//!
//! Two schedulers at a time do no harm, as workers obey only the highest fencing token. Thus no
//! consensus is needed, and the election works while the platform's store is unavailable, and on
//! both sides of a partition. Load pattern: the scheduler's VM dies, freezes or is cut off while
//! jobs wait for tens of milliseconds at most.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

pub use super::fitness::Fitness;
use super::fitness::preference;
use super::names::{EntryVm, FencingToken};
use crate::collections::Map;

/// Fencing rounds start at the seconds since this time (2020-01-01 as a Unix time), so that they
/// increase across a restart of all entry VMs.
const ROUND_ZERO_TIME: Duration = Duration::from_hours(438_288);

/// Ratio of the scheduler's lag to its successor's from which the scheduler hands over.
const LAG_RATIO: u32 = 3;

/// Ratio of the successor's share of processor to the scheduler's from which an idle scheduler hands
/// over.
const IDLE_SHARE_RATIO: u32 = 2;

/// Same for a scheduler with open jobs, which are delayed by the hand-over.
const BUSY_SHARE_RATIO: u32 = 4;

/// Rounds skipped when a worker has received a higher token than any that this process knows.
const FENCED_ROUND_SKIP: u64 = 2;

/// Time-outs and limits of the election.
#[derive(Debug, Clone)]
pub struct ElectionConfig {
    /// Time without a heartbeat after which the scheduler counts as lost; five of its heartbeats.
    pub scheduler_timeout: Duration,
    /// Time without a heartbeat after which another entry VM counts as lost.
    pub peer_timeout: Duration,
    /// Time without a heartbeat after which another entry VM is not considered for a takeover; two of
    /// its heartbeats.
    pub peer_freshness: Duration,
    /// Time in which an existing scheduler's heartbeat may arrive, from when this process becomes
    /// eligible.
    pub start_grace: Duration,
    /// The time that replaces `start_grace` if half of the other entry VMs are heard and know of no
    /// scheduler; their heartbeats arrive within it.
    pub cluster_start_grace: Duration,
    /// Delay of a takeover for each preferred entry VM; covers a takeover and one heartbeat.
    pub rank_delay: Duration,
    /// Time without the platform's store after which the scheduler hands over to a VM that reaches it.
    pub store_timeout: Duration,
    /// Time in which the store answers all VMs again and their heartbeats say so: the pause between two
    /// reads and the interval between two heartbeats.
    pub store_return_time: Duration,
    /// Time for which a VM that was cut off waits for a heartbeat of the scheduler that others follow;
    /// entry VMs connect again within 0.4 s.
    pub rejoin_wait: Duration,
    /// Time for which a fenced scheduler leaves its workers to the other one, whose heartbeat arrives
    /// in this time if the connection between the two works again.
    pub fenced_pause: Duration,
    /// Minimum time between two tokens of a scheduler that is fenced by single workers; the workers are
    /// polled with the last one within it.
    pub token_raise_interval: Duration,
    /// Smoothed lag from which a VM counts as overloaded.
    pub lag_limit: Duration,
    /// Time for which the scheduler must lag before it hands over; longer than the throttling of a VM
    /// that has used up its share of a core.
    pub min_lag_duration: Duration,
    /// Time after a takeover in which the scheduler does not hand over for its lag: if the load is too
    /// high for any VM, each hand-over only adds to it.
    pub min_tenure: Duration,
    /// Time after a takeover in which the scheduler does not hand over to a VM with a larger share of
    /// processor: the heartbeats of the other VMs that are starting arrive within it.
    pub min_share_tenure: Duration,
}

impl ElectionConfig {
    /// Default `lag_limit`: a job takes about six passes through its scheduler, within a budget of 60 ms
    /// beside the run time. A healthy VM lags by 1 ms, one that is five times slower by 8 to 11 ms.
    pub const LAG_LIMIT: Duration = Duration::from_millis(6);
}

impl Default for ElectionConfig {
    fn default() -> Self {
        Self {
            scheduler_timeout: Duration::from_millis(300),
            peer_timeout: Duration::from_millis(700),
            peer_freshness: Duration::from_millis(350),
            start_grace: Duration::from_millis(300),
            cluster_start_grace: Duration::from_millis(40),
            rank_delay: Duration::from_millis(150),
            store_timeout: Duration::from_millis(1_500),
            store_return_time: Duration::from_millis(900),
            rejoin_wait: Duration::from_millis(700),
            fenced_pause: Duration::from_millis(200),
            token_raise_interval: Duration::from_millis(500),
            lag_limit: Self::LAG_LIMIT,
            min_lag_duration: Duration::from_millis(200),
            min_tenure: Duration::from_millis(1_500),
            min_share_tenure: Duration::from_millis(500),
        }
    }
}

/// Heartbeat of an entry VM to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// Fencing token of the sender; `None` if it does not schedule.
    pub token: Option<FencingToken>,
    /// Whether the platform's store answers the sender.
    pub has_store: bool,
    /// Whether the sender can't take over, as it is stopping or knows no workers.
    pub is_ineligible: bool,
    /// Entry VM that is to take over from the sender.
    pub successor: Option<EntryVm>,
    /// Fencing token of the scheduler that the sender follows, which may be the sender.
    pub follows: Option<FencingToken>,
    /// Whether the sender knows the workers that have departed lately.
    pub knows_departed: bool,
    /// Smoothed delay of the sender's work behind its schedule.
    pub lag: Duration,
    /// Suitability of the sender's VM.
    pub fitness: Fitness,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    last_heartbeat_at: Instant,
    heartbeat: Heartbeat,
    /// When the store answered the peer again; `None` if it has not been without since it is known.
    store_back_at: Option<Instant>,
}

/// State transition that the host has to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The scheduler is the same as before.
    Unchanged,
    /// Start to schedule with this token.
    TakeOver(FencingToken),
    /// Go on scheduling with this token, above that of another scheduler.
    RaiseToken(FencingToken),
    /// Stop scheduling: the other VM has a higher token.
    StepDown(EntryVm),
    /// Stop scheduling and announce this VM as the successor.
    HandOver(EntryVm),
    /// Pass jobs to the scheduler on this VM, which has this token.
    Follow(EntryVm, FencingToken),
    /// Stop scheduling or following: the scheduler is unknown for now.
    SchedulerLost,
}

/// State of the election of one cell in one process.
#[derive(Debug)]
pub struct Election {
    vm: EntryVm,
    cfg: ElectionConfig,
    /// When the process started, or became eligible after that.
    grace_started_at: Instant,
    peers: Map<EntryVm, Peer>,
    /// All other entry VMs in the list of entry VMs.
    members: Arc<[EntryVm]>,
    /// Highest token known.
    highest: FencingToken,
    /// The scheduler, which may be this VM; `None` if it is unknown.
    current: Option<(EntryVm, FencingToken)>,
    /// When the last scheduler was lost.
    lost_at: Instant,
    /// Until when this process does not take over, after a higher token has fenced it.
    fenced_until: Option<Instant>,
    /// When this process last took over.
    took_over_at: Instant,
    /// Since when the platform's store has not answered; `None` while it answers.
    store_lost_at: Option<Instant>,
    /// When the store answered again.
    store_back_at: Option<Instant>,
    lag: Duration,
    /// Since when `lag` has been at or above the limit.
    lagging_since: Option<Instant>,
    is_ineligible: bool,
    knows_departed: bool,
    fitness: Fitness,
    /// Until when the successor that the former scheduler has named may take over before others.
    successor_grace_until: Instant,
    /// When the former scheduler last named this VM as its successor.
    named_successor_at: Option<Instant>,
    /// Time for which a hand-over waits for those of other cells.
    hand_over_delay: Duration,
    /// Whether the scheduler has open jobs.
    has_jobs: bool,
    /// Whether the scheduler may raise its token: no claim in the store names it.
    can_raise_token: bool,
    /// Whether the scheduler must raise its token above the highest one.
    has_to_outrank: bool,
    /// When this scheduler last raised its token.
    token_raised_at: Instant,
    /// Until when this VM leaves the cell to its scheduler, whatever its time-outs and lag say.
    no_hand_over_until: Instant,
}

impl Election {
    /// State of a process that starts at `now`; it is ineligible until [`Self::set_own`] says otherwise.
    pub fn new(cfg: ElectionConfig, vm: EntryVm, now: Instant) -> Self {
        Self {
            vm,
            cfg,
            grace_started_at: now,
            peers: Map::default(),
            members: Arc::default(),
            highest: FencingToken::default(),
            current: None,
            lost_at: now,
            fenced_until: None,
            took_over_at: now,
            store_lost_at: Some(now),
            store_back_at: None,
            lag: Duration::ZERO,
            lagging_since: None,
            is_ineligible: true,
            knows_departed: false,
            fitness: Fitness::default(),
            successor_grace_until: now,
            named_successor_at: None,
            hand_over_delay: Duration::ZERO,
            has_jobs: false,
            can_raise_token: false,
            has_to_outrank: false,
            token_raised_at: now,
            no_hand_over_until: now,
        }
    }

    /// The scheduler's VM and token; `None` if the scheduler is unknown.
    pub fn current(&self) -> Option<(EntryVm, FencingToken)> {
        self.current
    }

    /// Whether this process is the scheduler.
    pub fn is_scheduler(&self) -> bool {
        self.current.is_some_and(|(vm, _)| vm == self.vm)
    }

    /// Sets whether this process is ineligible for a takeover, and whether the store answers it.
    pub fn set_own(&mut self, is_ineligible: bool, has_store: bool, now: Instant) {
        if self.is_ineligible && !is_ineligible {
            // The grace period starts now: before, this process knew no entry VM that could connect to
            // it, so no heartbeat of a scheduler could arrive.
            self.grace_started_at = now;
        }
        self.is_ineligible = is_ineligible;
        if has_store {
            if self.store_lost_at.take().is_some() {
                self.store_back_at = Some(now);
            }
        } else if self.store_lost_at.is_none() {
            self.store_lost_at = Some(now);
        }
    }

    /// Sets the other entry VMs in the list of entry VMs.
    pub fn set_members(&mut self, members: Arc<[EntryVm]>) {
        self.members = members;
    }

    /// Sets the smoothed delay of this process's work behind its schedule.
    pub fn set_lag(&mut self, lag: Duration, now: Instant) {
        self.lag = lag;
        if lag < self.cfg.lag_limit {
            self.lagging_since = None;
        } else {
            self.lagging_since.get_or_insert(now);
        }
    }

    /// Sets whether this process knows the workers that have departed lately, and the suitability of
    /// its VM.
    pub fn set_fitness(&mut self, knows_departed: bool, fitness: Fitness) {
        self.knows_departed = knows_departed;
        self.fitness = fitness;
    }

    /// Sets whether the scheduler may raise its token, as no claim in the store names it.
    pub fn set_can_raise_token(&mut self, can_raise_token: bool) {
        self.can_raise_token = can_raise_token;
    }

    /// Sets whether the scheduler has open jobs, and for how long its hand-over waits for those of
    /// other cells. Load pattern: the schedulers of all cells lose the store at the same moment, and
    /// all name the fittest VM.
    pub fn set_load(&mut self, has_jobs: bool, hand_over_delay: Duration) {
        self.has_jobs = has_jobs;
        self.hand_over_delay = hand_over_delay;
    }

    /// Postpones a hand-over, as this VM has handed over another cell, which may be enough.
    pub fn postpone_hand_over(&mut self, until: Instant) {
        self.no_hand_over_until = until;
    }

    /// A higher token for this scheduler, which single workers have fenced, if no other VM can be
    /// scheduling: half of the other entry VMs are heard, and all of them follow this scheduler. Load
    /// pattern: as a partition heals, the scheduler of the smaller side gives up, but its workers still
    /// follow its token, which is higher.
    pub fn raise_token(&mut self, now: Instant, wall: SystemTime) -> Option<FencingToken> {
        let (_, token) = self.current.filter(|c| c.0 == self.vm)?;
        let is_early =
            now.saturating_duration_since(self.token_raised_at) < self.cfg.token_raise_interval;
        if is_early || !self.is_followed_by_all_heard(token, now) {
            return None;
        }
        let raised = self.next_token(wall, FENCED_ROUND_SKIP);
        self.token_raised_at = now;
        self.current = Some((self.vm, raised));
        Some(raised)
    }

    fn is_followed_by_all_heard(&self, token: FencingToken, now: Instant) -> bool {
        let limit = self.cfg.peer_freshness;
        let is_fresh = |p: &&Peer| now.saturating_duration_since(p.last_heartbeat_at) < limit;
        let mut fresh = self.peers.values().filter(is_fresh);
        let heard = fresh.clone().count();
        let follows = |p: &Peer| p.heartbeat.follows == Some(token) && p.heartbeat.token.is_none();
        heard * 2 >= self.members.len() && fresh.all(follows)
    }

    /// The next token of this VM, at least `skip` rounds above all that are known.
    fn next_token(&mut self, wall: SystemTime, skip: u64) -> FencingToken {
        let since_round_zero = wall.duration_since(SystemTime::UNIX_EPOCH + ROUND_ZERO_TIME);
        let by_clock = since_round_zero.unwrap_or_default().as_secs();
        let round = by_clock.max(self.highest.round() + skip);
        self.highest = FencingToken::new(round, self.vm);
        self.highest
    }

    /// Handles a pause of this process that was long enough for a takeover by another VM: it stops
    /// scheduling, and waits for the heartbeats that arrived meanwhile.
    pub fn on_paused(&mut self, now: Instant) -> Transition {
        self.grace_started_at = now;
        self.named_successor_at = None;
        if self.is_scheduler() {
            return self.lose(now);
        }
        Transition::Unchanged
    }

    /// Connected entry VMs without a heartbeat within `peer_timeout`.
    pub fn timed_out_peers(&self, now: Instant) -> Vec<EntryVm> {
        let limit = self.cfg.peer_timeout;
        let is_timed_out = |p: &Peer| now.saturating_duration_since(p.last_heartbeat_at) >= limit;
        let peers = self.peers.iter().filter(|(_, p)| is_timed_out(p));
        peers.map(|(&vm, _)| vm).collect()
    }

    /// Oldest of the last heartbeats of all other entry VMs, if all of them follow this scheduler;
    /// `None` otherwise.
    pub fn followed_since(&self, now: Instant) -> Option<Instant> {
        let (_, token) = self.current.filter(|c| c.0 == self.vm)?;
        let mut since = now;
        for vm in self.members.iter() {
            let peer = self.peers.get(vm)?;
            if peer.heartbeat.follows != Some(token) {
                return None;
            }
            since = since.min(peer.last_heartbeat_at);
        }
        Some(since)
    }

    /// Whether fresh heartbeats come from half of the other entry VMs, and none of them knows a
    /// scheduler, as after a start of the whole cluster. The missing VMs are starting as well, or will
    /// follow.
    fn is_cluster_start(&self, now: Instant) -> bool {
        let mut fresh_peers = 0;
        for vm in self.members.iter() {
            let Some(peer) = self.peers.get(vm) else {
                continue;
            };
            let is_fresh =
                now.saturating_duration_since(peer.last_heartbeat_at) < self.cfg.peer_freshness;
            if peer.heartbeat.follows.is_some() || peer.heartbeat.token.is_some() {
                return false;
            }
            fresh_peers += usize::from(is_fresh);
        }
        fresh_peers > 0 && fresh_peers * 2 >= self.members.len()
    }

    /// Whether a connected entry VM schedules with `token`, or follows a scheduler with `token`.
    pub fn is_announced(&self, token: FencingToken) -> bool {
        let mut peers = self.peers.values();
        peers.any(|p| p.heartbeat.token == Some(token) || p.heartbeat.follows == Some(token))
    }

    /// Gives the scheduling up, in order to take over again with a token above `token`.
    pub fn outrank(&mut self, token: FencingToken, now: Instant) -> Transition {
        self.highest = self.highest.max(token);
        self.lose(now)
    }

    /// Sets [`ElectionConfig::peer_freshness`], as heartbeats are rarer with many entry VMs.
    pub fn set_peer_freshness(&mut self, peer_freshness: Duration) {
        self.cfg.peer_freshness = peer_freshness;
    }

    /// The heartbeat to send, with `successor` as the VM that is to take over.
    pub fn own_heartbeat(&self, successor: Option<EntryVm>) -> Heartbeat {
        Heartbeat {
            token: self.current.filter(|c| c.0 == self.vm).map(|c| c.1),
            has_store: self.store_lost_at.is_none(),
            is_ineligible: self.is_ineligible,
            successor,
            follows: self.current.map(|c| c.1),
            knows_departed: self.knows_departed,
            lag: self.lag,
            fitness: self.fitness,
        }
    }

    /// Handles a heartbeat of another entry VM.
    pub fn on_heartbeat(
        &mut self,
        from: EntryVm,
        heartbeat: Heartbeat,
        now: Instant,
    ) -> Transition {
        let known = self.peers.get(&from);
        let store_back_at = match known {
            Some(p) if heartbeat.has_store && !p.heartbeat.has_store => Some(now),
            known => known.and_then(|p| p.store_back_at),
        };
        self.peers.insert(
            from,
            Peer {
                last_heartbeat_at: now,
                heartbeat,
                store_back_at,
            },
        );
        if heartbeat.successor == Some(self.vm) && !self.is_scheduler() && !self.is_ineligible {
            self.named_successor_at = Some(now);
        }
        let Some(token) = heartbeat.token else {
            if self.current.is_some_and(|(vm, _)| vm == from) {
                if heartbeat.successor.is_some() {
                    self.successor_grace_until = now + self.cfg.rank_delay;
                }
                return self.lose(now);
            }
            return Transition::Unchanged;
        };
        self.highest = self.highest.max(token);
        match self.current {
            Some((vm, known)) if token > known => {
                if vm == self.vm && self.must_outrank(&heartbeat) {
                    self.has_to_outrank = true;
                    return Transition::Unchanged;
                }
                self.current = Some((from, token));
                if vm == self.vm {
                    self.has_to_outrank = false;
                    Transition::StepDown(from)
                } else {
                    Transition::Follow(from, token)
                }
            }
            Some(_) => Transition::Unchanged,
            None => {
                self.current = Some((from, token));
                Transition::Follow(from, token)
            }
        }
    }

    /// Whether this scheduler goes on, with a higher token, beside one that is announced by
    /// `heartbeat`: only this one has the store. Load pattern: as a partition heals, the scheduler of
    /// the side without the store has the higher token, and would hand over right away.
    fn must_outrank(&self, heartbeat: &Heartbeat) -> bool {
        self.can_raise_token && self.store_lost_at.is_none() && !heartbeat.has_store
    }

    /// Handles a broken connection to another entry VM.
    pub fn link_lost(&mut self, vm: EntryVm, now: Instant) -> Transition {
        self.peers.remove(&vm);
        if self.current.is_some_and(|(current, _)| current == vm) {
            return self.lose(now);
        }
        Transition::Unchanged
    }

    /// Handles the refusal of this scheduler's token by a worker that has received a higher one.
    pub fn on_fenced(&mut self, now: Instant) -> Transition {
        self.highest = FencingToken::new(self.highest.round() + FENCED_ROUND_SKIP, self.vm);
        self.fenced_until = Some(now + self.cfg.fenced_pause);
        self.lose(now)
    }

    /// Checks time-outs and delays. `wall` is the time of day, from which new tokens derive.
    pub fn tick(&mut self, now: Instant, wall: SystemTime) -> Transition {
        match self.current {
            Some((vm, _)) if vm == self.vm && self.has_to_outrank => {
                self.has_to_outrank = false;
                let raised = self.next_token(wall, 1);
                self.current = Some((vm, raised));
                Transition::RaiseToken(raised)
            }
            Some((vm, _)) if vm == self.vm => self.check_own(now),
            Some((vm, _)) => {
                let heard_at = self.peers.get(&vm).map(|p| p.last_heartbeat_at);
                let age = |at| now.saturating_duration_since(at);
                if heard_at.is_none_or(|at| age(at) >= self.cfg.scheduler_timeout) {
                    return self.lose(now);
                }
                Transition::Unchanged
            }
            None => self.try_take_over(now, wall),
        }
    }

    /// The preferred VM for a takeover from this one; `None` without an eligible peer.
    pub fn successor(&self, now: Instant) -> Option<EntryVm> {
        let peers = self.live_peers(now);
        peers
            .min_by_key(|&(vm, peer)| preference(vm, &peer.heartbeat, self.cfg.lag_limit))
            .map(|(vm, _)| vm)
    }

    /// Hands the scheduling over, if a successor is available.
    pub fn resign(&mut self, now: Instant) -> Transition {
        match self.successor(now) {
            Some(vm) => {
                self.lose(now);
                Transition::HandOver(vm)
            }
            None => Transition::Unchanged,
        }
    }

    fn lose(&mut self, now: Instant) -> Transition {
        self.current = None;
        self.has_to_outrank = false;
        self.lost_at = now;
        Transition::SchedulerLost
    }

    fn check_own(&mut self, now: Instant) -> Transition {
        let Some(successor) = self.successor(now) else {
            return Transition::Unchanged;
        };
        let is_due = now >= self.no_hand_over_until
            && (self.must_leave_to_vm_with_store(successor, now)
                || self.is_outpaced_by(successor, now)
                || self.is_outclassed_by(successor, now));
        if is_due {
            return self.resign(now);
        }
        Transition::Unchanged
    }

    /// Whether the store has not answered for `store_timeout`, and answers `vm`, which learns of new
    /// and of leaving workers. Load pattern: the store is down for all VMs, and answers some of them a
    /// moment before the others as it returns.
    fn must_leave_to_vm_with_store(&self, vm: EntryVm, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        let timeout = self.cfg.store_timeout + self.hand_over_delay;
        let is_lost = self.store_lost_at.is_some_and(|at| age(at) >= timeout);
        let has_store = |p: &Peer| {
            let is_settled = |at| age(at) >= self.cfg.store_return_time;
            p.heartbeat.has_store && p.store_back_at.is_none_or(is_settled)
        };
        is_lost && self.peers.get(&vm).is_some_and(has_store)
    }

    /// Whether `vm` has a much larger share of processor for this cell. Load pattern: the first VM
    /// that is up schedules several cells, and larger VMs start after it.
    fn is_outclassed_by(&self, vm: EntryVm, now: Instant) -> bool {
        let Some(peer) = self.peers.get(&vm) else {
            return false;
        };
        let tenure = now.saturating_duration_since(self.took_over_at);
        let ratio = if self.has_jobs {
            BUSY_SHARE_RATIO
        } else {
            IDLE_SHARE_RATIO
        };
        let own = self.own_heartbeat(None);
        let (share, peer_share) = (self.fitness.share(), peer.heartbeat.fitness.share());
        tenure >= self.cfg.min_share_tenure + self.hand_over_delay
            && !peer.heartbeat.is_weaker_than(&own, self.cfg.lag_limit)
            && peer_share > share
            && peer_share >= share * ratio
    }

    /// Whether this scheduler has lagged for `min_lag_duration` and `vm` does not. Load pattern: the
    /// scheduler's VM becomes several times slower, so that the replies of all workers queue there.
    fn is_outpaced_by(&self, vm: EntryVm, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        let is_lagging = self
            .lagging_since
            .is_some_and(|at| age(at) >= self.cfg.min_lag_duration);
        let is_lagging = is_lagging && age(self.took_over_at) >= self.cfg.min_tenure;
        let peer = self.peers.get(&vm).map(|p| p.heartbeat);
        let is_better = |heartbeat: Heartbeat| {
            heartbeat.lag * LAG_RATIO < self.lag
                && (heartbeat.has_store || self.store_lost_at.is_some())
        };
        is_lagging && peer.is_some_and(is_better)
    }

    /// Takes over if this VM is eligible, and no preferred VM has done so in the time left to it.
    fn try_take_over(&mut self, now: Instant, wall: SystemTime) -> Transition {
        if self.is_ineligible || self.fenced_until.is_some_and(|until| now < until) {
            return Transition::Unchanged;
        }
        if self.expects_scheduler(now) {
            return Transition::Unchanged;
        }
        let limit = self.cfg.lag_limit;
        // The last heartbeats of the others may be older than the return of the store.
        let is_back = |at| now.saturating_duration_since(at) < self.cfg.store_return_time;
        let ignores_store = self.store_back_at.is_some_and(is_back);
        let rank_of = |vm, heartbeat: Heartbeat| {
            let has_store = heartbeat.has_store || ignores_store;
            let heartbeat = Heartbeat {
                has_store,
                ..heartbeat
            };
            preference(vm, &heartbeat, limit)
        };
        let own = rank_of(self.vm, self.own_heartbeat(None));
        let preferred = self
            .live_peers(now)
            .filter(|&(vm, peer)| rank_of(vm, peer.heartbeat) < own)
            .count();
        let rank = u32::try_from(preferred).unwrap_or(u32::MAX);
        let grace = if self.is_cluster_start(now) {
            self.cfg.cluster_start_grace
        } else {
            self.cfg.start_grace
        };
        let start = (self.grace_started_at + grace)
            .max(self.lost_at)
            .max(self.successor_grace_until);
        if !self.is_named_successor(now) && now < start + self.cfg.rank_delay * rank {
            return Transition::Unchanged;
        }
        self.named_successor_at = None;
        let token = self.next_token(wall, 1);
        self.current = Some((self.vm, token));
        self.took_over_at = now;
        Transition::TakeOver(token)
    }

    /// Whether the former scheduler has named this VM a moment ago.
    fn is_named_successor(&self, now: Instant) -> bool {
        let validity = self.cfg.scheduler_timeout;
        self.named_successor_at
            .is_some_and(|at| now.saturating_duration_since(at) < validity)
    }

    /// Whether a heartbeat of an existing scheduler is likely to arrive soon: the store does not answer
    /// this VM, and another VM that reaches the store follows a scheduler.
    fn expects_scheduler(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        let follows_scheduler =
            |(_, p): (EntryVm, &Peer)| p.heartbeat.has_store && p.heartbeat.follows.is_some();
        self.store_lost_at.is_some()
            && age(self.lost_at) < self.cfg.rejoin_wait
            && self.live_peers(now).any(follows_scheduler)
    }

    /// Eligible entry VMs with a fresh heartbeat.
    fn live_peers(&self, now: Instant) -> impl Iterator<Item = (EntryVm, &Peer)> {
        let limit = self.cfg.peer_freshness;
        self.peers
            .iter()
            .filter(move |(_, p)| {
                now.saturating_duration_since(p.last_heartbeat_at) < limit
                    && !p.heartbeat.is_ineligible
            })
            .map(|(&vm, p)| (vm, p))
    }
}
