//! Election of the entry VM that schedules a cell, by heartbeats.
//!
//! Two schedulers at a time do no harm, as workers obey only the highest fencing token. Thus no
//! consensus is needed, and the election works while the platform's store is unavailable, and on
//! both sides of a partition. Load pattern: the scheduler's VM dies, freezes or is cut off while
//! jobs wait for tens of milliseconds at most.

mod config;
mod hand_over;

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

pub use self::config::ElectionConfig;
use self::hand_over::FENCED_ROUND_SKIP;
pub use super::fitness::Fitness;
use super::fitness::preference;
use super::names::{EntryVm, FencingToken, RESERVED_ROUNDS};
use crate::collections::{Map, Set};

/// Fencing rounds start at the seconds since this time (2020-01-01 as a Unix time), so that they
/// increase across a restart of all entry VMs.
const ROUND_ZERO_TIME: Duration = Duration::from_hours(438_288);

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
    /// Number of workers on which the sender can start tasks; 0 if it does not schedule.
    pub usable_workers: u32,
    /// Smoothed delay of the sender's work behind its schedule.
    pub lag: Duration,
    /// Suitability of the sender's VM.
    pub fitness: Fitness,
}

/// State of the scheduler in this process, as far as the election needs it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SchedulerStatus {
    /// Whether the scheduler has open jobs, which a hand-over delays.
    pub has_jobs: bool,
    /// Whether the scheduler may raise its token: no claim in the store names it.
    pub can_raise_token: bool,
    /// Number of workers on which the scheduler can start tasks.
    pub usable_workers: u32,
    /// Time for which a hand-over waits for those of other cells. Load pattern: the schedulers of all
    /// cells lose the store at the same moment, and all name the fittest VM.
    pub hand_over_delay: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    last_heartbeat_at: Instant,
    heartbeat: Heartbeat,
    /// Since when the peer is known to have the store; `None` if that has not changed, and the peer has
    /// not been lost, since it was first heard.
    has_store_since: Option<Instant>,
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
    /// Other entry VMs whose connections have broken.
    lost_peers: Set<EntryVm>,
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
    status: SchedulerStatus,
    /// Whether the scheduler must raise its token above the highest one.
    has_to_outrank: bool,
    /// When this scheduler last raised its token.
    token_raised_at: Instant,
    /// Until when this scheduler does not hand over.
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
            lost_peers: Set::default(),
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
            status: SchedulerStatus::default(),
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
        self.lost_peers.retain(|vm| members.contains(vm));
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

    /// Sets the state of the scheduler in this process.
    pub fn set_status(&mut self, status: SchedulerStatus) {
        self.status = status;
    }

    /// Postpones a hand-over, as this VM has handed over another cell, which may be enough.
    pub fn postpone_hand_over(&mut self, until: Instant) {
        self.no_hand_over_until = until;
    }

    /// The next token of this VM, at least `skip` rounds above all that may be in use as far as is known.
    fn next_token(&mut self, wall: SystemTime, skip: u64) -> FencingToken {
        let since_round_zero = wall.duration_since(SystemTime::UNIX_EPOCH + ROUND_ZERO_TIME);
        let by_clock = since_round_zero.unwrap_or_default().as_secs();
        let round = by_clock.max(self.highest.round() + RESERVED_ROUNDS + skip);
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

    /// Connected entry VMs without a heartbeat within `peer_timeout`, and when each sent the last one.
    pub fn timed_out_peers(&self, now: Instant) -> Vec<(EntryVm, Instant)> {
        let limit = self.cfg.peer_timeout;
        let is_timed_out = |p: &Peer| now.saturating_duration_since(p.last_heartbeat_at) >= limit;
        let peers = self.peers.iter().filter(|(_, p)| is_timed_out(p));
        peers.map(|(&vm, p)| (vm, p.last_heartbeat_at)).collect()
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

    /// Whether the scheduler starts tasks on listed workers only: its VM has had the store for so long that what
    /// it has started without it, as beyond a cut, is over or on listed workers.
    pub fn is_scheduler_up_to_date(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        let is_long_ago = |at| age(at) >= self.cfg.list_return_time;
        match self.current {
            Some((vm, _)) if vm == self.vm => {
                self.store_lost_at.is_none() && self.store_back_at.is_none_or(is_long_ago)
            }
            Some((vm, _)) => self.peers.get(&vm).is_some_and(|p| {
                p.heartbeat.has_store && p.has_store_since.is_none_or(is_long_ago)
            }),
            None => false,
        }
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
            usable_workers: self.status.usable_workers,
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
        let has_store_since = self.has_store_since(from, &heartbeat, now);
        self.peers.insert(
            from,
            Peer {
                last_heartbeat_at: now,
                heartbeat,
                has_store_since,
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
                if vm != self.vm && self.will_outrank(vm, &heartbeat, now) {
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

    /// Since when the sender of `heartbeat` is known to have the store.
    fn has_store_since(
        &self,
        from: EntryVm,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Option<Instant> {
        let Some(known) = self.peers.get(&from) else {
            return self.lost_peers.contains(&from).then_some(now);
        };
        let silence = now.saturating_duration_since(known.last_heartbeat_at);
        let is_back = heartbeat.has_store && !known.heartbeat.has_store;
        if is_back || silence >= self.cfg.peer_freshness {
            return Some(now);
        }
        known.has_store_since
    }

    /// Handles a broken connection to another entry VM.
    pub fn link_lost(&mut self, vm: EntryVm, now: Instant) -> Transition {
        self.peers.remove(&vm);
        self.lost_peers.insert(vm);
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
