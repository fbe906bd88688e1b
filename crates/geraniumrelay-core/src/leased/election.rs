//! Which entry VM schedules.
//!
//! Two that believe it of themselves do no harm, as workers obey the higher fencing token alone, so
//! no agreement is needed: the choice works while the platform's store is away, and on both sides
//! of a partition. Load pattern: the scheduler's VM dies, freezes or is cut off while jobs wait for
//! tens of milliseconds at most.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use super::names::{EntryVm, FencingToken};
use crate::collections::Map;

/// Fencing rounds start at the seconds since this time (2020-01-01), so that they grow across a
/// restart of all entry VMs.
const ROUND_EPOCH: Duration = Duration::from_hours(438_288);

/// Lag of the scheduler over that of its successor from which it hands over.
const LAG_RATIO: u32 = 3;

/// Rounds skipped when workers turn out to have seen a higher token than anybody here knows.
const FENCED_STEP: u64 = 2;

/// Times of the election.
#[derive(Debug, Clone)]
pub struct ElectionConfig {
    /// Silence after which the scheduler is taken for gone; five of its beats.
    pub scheduler_timeout: Duration,
    /// Silence after which another entry VM is taken for gone.
    pub peer_timeout: Duration,
    /// Silence after which another entry VM is passed over when one takes over; two of its beats.
    pub peer_freshness: Duration,
    /// Time in which a scheduler may make itself heard, from when a process could take over itself.
    pub start_grace: Duration,
    /// The same where half of the entry VMs know of none: in which they hear of each other.
    pub cluster_start_grace: Duration,
    /// Head start of each entry VM over the next in line; covers a takeover and one beat.
    pub rank_delay: Duration,
    /// Time without the platform's store after which the scheduler hands over to a VM that has it.
    pub store_timeout: Duration,
    /// Time for which a VM that was cut off waits to hear of the scheduler that others follow; entry
    /// VMs connect again within 0.4 s.
    pub rejoin_wait: Duration,
    /// Time for which a scheduler that workers have fenced leaves them to the other one: it will hear
    /// of it, where the links between them work again.
    pub fenced_pause: Duration,
    /// Lag from which a VM counts as overloaded.
    pub lag_limit: Duration,
    /// Time for which the scheduler must lag before it hands over; longer than a pause that ends a
    /// used-up share of a core.
    pub min_lag_duration: Duration,
    /// Time for which a scheduler does not hand over for its lag: where the load is too much for any
    /// VM, each change would only add to it.
    pub min_tenure: Duration,
}

impl ElectionConfig {
    /// The usual `lag_limit`: a job passes through some six turns of its scheduler, which has 60 ms
    /// beside the run time. A sound VM is 1 ms late, one that is five times slower 8 to 11 ms.
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
            rejoin_wait: Duration::from_millis(700),
            fenced_pause: Duration::from_millis(200),
            lag_limit: Self::LAG_LIMIT,
            min_lag_duration: Duration::from_millis(200),
            min_tenure: Duration::from_millis(1_500),
        }
    }
}

/// What an entry VM says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// Its token, where it schedules.
    pub token: Option<FencingToken>,
    /// Whether the platform's store answers it.
    pub has_store: bool,
    /// Whether it can't take over: it is stopping, or knows no workers.
    pub is_ineligible: bool,
    /// Who is to take over from it.
    pub successor: Option<EntryVm>,
    /// Token of the scheduler that it follows, which may be itself.
    pub follows: Option<FencingToken>,
    /// Whether it knows the workers that have departed lately.
    pub knows_departed: bool,
    /// How much later than planned it gets to its work, smoothed.
    pub lag: Duration,
    /// How well its VM suits.
    pub fitness: Fitness,
}

/// How well a VM suits as the scheduler of a cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fitness {
    /// Whether it is in the cell's data centre, where the cell has one.
    pub is_local: bool,
    /// Its processor, in tenths of a core.
    pub cpu_tenths: u32,
    /// Other cells that it schedules.
    pub other_cells: u32,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    heard: Instant,
    beat: Heartbeat,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// Nothing has changed.
    Unchanged,
    /// Start to schedule with this token.
    TakeOver(FencingToken),
    /// Stop scheduling: the other VM has a higher token.
    StepDown(EntryVm),
    /// Stop scheduling and name a successor.
    HandOver(EntryVm),
    /// Pass jobs to another scheduler.
    Follow(EntryVm, FencingToken),
    /// There is no scheduler for now.
    SchedulerLost,
}

/// The state of the election in one process.
#[derive(Debug)]
pub struct Election {
    vm: EntryVm,
    cfg: ElectionConfig,
    started: Instant,
    peers: Map<EntryVm, Peer>,
    /// All other entry VMs that have entered themselves.
    members: Arc<[EntryVm]>,
    highest: FencingToken,
    /// The scheduler that is followed, or this one.
    current: Option<(EntryVm, FencingToken)>,
    /// Since when there is none.
    lost_at: Instant,
    /// Until when it leaves the workers to the scheduler that has fenced it.
    fenced_until: Option<Instant>,
    /// When this process last took over.
    took_over_at: Instant,
    store_lost_at: Option<Instant>,
    lag: Duration,
    /// Since when it lags.
    lagging_since: Option<Instant>,
    is_ineligible: bool,
    knows_departed: bool,
    fitness: Fitness,
    named: bool,
}

impl Election {
    /// The state of a process that starts at `now`.
    pub fn new(cfg: ElectionConfig, vm: EntryVm, now: Instant) -> Self {
        Self {
            vm,
            cfg,
            started: now,
            peers: Map::default(),
            members: Arc::default(),
            highest: FencingToken::default(),
            current: None,
            lost_at: now,
            fenced_until: None,
            took_over_at: now,
            store_lost_at: Some(now),
            lag: Duration::ZERO,
            lagging_since: None,
            is_ineligible: true,
            knows_departed: false,
            fitness: Fitness::default(),
            named: false,
        }
    }

    /// The scheduler that is known.
    pub fn current(&self) -> Option<(EntryVm, FencingToken)> {
        self.current
    }

    /// Whether this process schedules.
    pub fn is_scheduler(&self) -> bool {
        self.current.is_some_and(|(vm, _)| vm == self.vm)
    }

    /// Notes whether this process may take over, and whether the store answers it.
    pub fn set_own(&mut self, is_ineligible: bool, has_store: bool, now: Instant) {
        if self.is_ineligible && !is_ineligible {
            // From now on the scheduler has time to make itself heard: before, this process knew
            // nobody who could connect to it.
            self.started = now;
        }
        self.is_ineligible = is_ineligible;
        if has_store {
            self.store_lost_at = None;
        } else if self.store_lost_at.is_none() {
            self.store_lost_at = Some(now);
        }
    }

    /// Sets the other entry VMs that have entered themselves.
    pub fn set_members(&mut self, members: Arc<[EntryVm]>) {
        self.members = members;
    }

    /// Notes how much later than planned this process gets to its work.
    pub fn set_lag(&mut self, lag: Duration, now: Instant) {
        self.lag = lag;
        if lag < self.cfg.lag_limit {
            self.lagging_since = None;
        } else {
            self.lagging_since.get_or_insert(now);
        }
    }

    /// Notes whether this process knows the workers that have departed lately, and how well its VM
    /// suits.
    pub fn set_fitness(&mut self, knows_departed: bool, fitness: Fitness) {
        self.knows_departed = knows_departed;
        self.fitness = fitness;
    }

    /// Entry VMs that have not been heard for too long to be taken for alive.
    pub fn timed_out_peers(&self, now: Instant) -> Vec<EntryVm> {
        let limit = self.cfg.peer_timeout;
        let is_silent = |p: &Peer| now.saturating_duration_since(p.heard) >= limit;
        let peers = self.peers.iter().filter(|(_, p)| is_silent(p));
        peers.map(|(&vm, _)| vm).collect()
    }

    /// Since when all other entry VMs have been heard to follow this scheduler; `None` where one of
    /// them has not.
    pub fn followed_since(&self, now: Instant) -> Option<Instant> {
        let (_, token) = self.current.filter(|c| c.0 == self.vm)?;
        let mut since = now;
        for vm in self.members.iter() {
            let peer = self.peers.get(vm)?;
            if peer.beat.follows != Some(token) {
                return None;
            }
            since = since.min(peer.heard);
        }
        Some(since)
    }

    /// Whether half of the other entry VMs are heard, and none of them knows of a scheduler, as after
    /// a start of all: those that are missing start as well, or will follow.
    fn is_nobody_leading(&self, now: Instant) -> bool {
        let mut heard = 0;
        for vm in self.members.iter() {
            let Some(peer) = self.peers.get(vm) else {
                continue;
            };
            let is_fresh = now.saturating_duration_since(peer.heard) < self.cfg.peer_freshness;
            if peer.beat.follows.is_some() || peer.beat.token.is_some() {
                return false;
            }
            heard += usize::from(is_fresh);
        }
        heard > 0 && heard * 2 >= self.members.len()
    }

    /// Whether a scheduler with `token`, or a VM that follows it, has been heard on a link that stands.
    pub fn is_announced(&self, token: FencingToken) -> bool {
        let mut peers = self.peers.values();
        peers.any(|p| p.beat.token == Some(token) || p.beat.follows == Some(token))
    }

    /// Stops scheduling, so as to take over with a higher token than `token`.
    pub fn outrank(&mut self, token: FencingToken, now: Instant) -> Transition {
        self.highest = self.highest.max(token);
        self.lose(now)
    }

    /// Sets the silence after which another entry VM is passed over.
    pub fn set_peer_freshness(&mut self, peer_freshness: Duration) {
        self.cfg.peer_freshness = peer_freshness;
    }

    /// What this process says of itself.
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

    /// Takes a beat of another entry VM.
    pub fn on_heartbeat(&mut self, from: EntryVm, beat: Heartbeat, now: Instant) -> Transition {
        self.peers.insert(from, Peer { heard: now, beat });
        if beat.successor == Some(self.vm) && !self.is_scheduler() && !self.is_ineligible {
            self.named = true;
        }
        let Some(token) = beat.token else {
            if self.current.is_some_and(|(vm, _)| vm == from) {
                return self.lose(now);
            }
            return Transition::Unchanged;
        };
        self.highest = self.highest.max(token);
        match self.current {
            Some((vm, known)) if token > known => {
                self.current = Some((from, token));
                if vm == self.vm {
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

    /// Takes note that the connection to another entry VM has broken.
    pub fn link_lost(&mut self, vm: EntryVm, now: Instant) -> Transition {
        self.peers.remove(&vm);
        if self.current.is_some_and(|(current, _)| current == vm) {
            return self.lose(now);
        }
        Transition::Unchanged
    }

    /// Takes note that workers have seen a higher token than this scheduler's.
    pub fn on_fenced(&mut self, now: Instant) -> Transition {
        self.highest = FencingToken::new(self.highest.round() + FENCED_STEP, self.vm);
        self.fenced_until = Some(now + self.cfg.fenced_pause);
        self.lose(now)
    }

    /// Decides by the time that has passed; `wall` is the time of day.
    pub fn tick(&mut self, now: Instant, wall: SystemTime) -> Transition {
        match self.current {
            Some((vm, _)) if vm == self.vm => self.check_own(now),
            Some((vm, _)) => {
                let heard = self.peers.get(&vm).map(|p| p.heard);
                let silence = |h| now.saturating_duration_since(h);
                if heard.is_none_or(|h| silence(h) >= self.cfg.scheduler_timeout) {
                    return self.lose(now);
                }
                Transition::Unchanged
            }
            None => self.claim(now, wall),
        }
    }

    /// Names the VM that takes over when this one stops.
    pub fn successor(&self, now: Instant) -> Option<EntryVm> {
        let live = self.live_peers(now);
        live.min_by_key(|&(vm, peer)| order(vm, &peer.beat, self.cfg.lag_limit))
            .map(|(vm, _)| vm)
    }

    /// Stops scheduling on purpose.
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
        self.lost_at = now;
        Transition::SchedulerLost
    }

    fn check_own(&mut self, now: Instant) -> Transition {
        let since = self.store_lost_at;
        let is_long =
            since.is_some_and(|at| now.saturating_duration_since(at) >= self.cfg.store_timeout);
        let successor = self.successor(now);
        let has_store = |vm: &EntryVm| self.peers.get(vm).is_some_and(|p| p.beat.has_store);
        if is_long && successor.as_ref().is_some_and(has_store) {
            return self.resign(now);
        }
        if successor.is_some_and(|vm| self.is_outpaced_by(vm, now)) {
            return self.resign(now);
        }
        Transition::Unchanged
    }

    /// Whether this scheduler has been lagging for a while and `vm` does not. Load pattern: the
    /// scheduler's VM turns several times slower, so that all answers of all workers wait there.
    fn is_outpaced_by(&self, vm: EntryVm, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        let is_lagging = self
            .lagging_since
            .is_some_and(|at| age(at) >= self.cfg.min_lag_duration);
        let is_lagging = is_lagging && age(self.took_over_at) >= self.cfg.min_tenure;
        let peer = self.peers.get(&vm).map(|p| p.beat);
        let is_better = |beat: Heartbeat| {
            beat.lag * LAG_RATIO < self.lag && (beat.has_store || self.store_lost_at.is_some())
        };
        is_lagging && peer.is_some_and(is_better)
    }

    fn claim(&mut self, now: Instant, wall: SystemTime) -> Transition {
        if self.is_ineligible || self.fenced_until.is_some_and(|until| now < until) {
            return Transition::Unchanged;
        }
        if self.is_led_elsewhere(now) {
            return Transition::Unchanged;
        }
        let limit = self.cfg.lag_limit;
        let own = order(self.vm, &self.own_heartbeat(None), limit);
        let before = self
            .live_peers(now)
            .filter(|&(vm, peer)| order(vm, &peer.beat, limit) < own)
            .count();
        let turns = u32::try_from(before).unwrap_or(u32::MAX);
        let grace = if self.is_nobody_leading(now) {
            self.cfg.cluster_start_grace
        } else {
            self.cfg.start_grace
        };
        let start = (self.started + grace).max(self.lost_at);
        if !self.named && now < start + self.cfg.rank_delay * turns {
            return Transition::Unchanged;
        }
        self.named = false;
        let since_epoch = wall.duration_since(SystemTime::UNIX_EPOCH + ROUND_EPOCH);
        let by_clock = since_epoch.unwrap_or_default().as_secs();
        let round = by_clock.max(self.highest.round() + 1);
        let token = FencingToken::new(round, self.vm);
        self.highest = token;
        self.current = Some((self.vm, token));
        self.took_over_at = now;
        Transition::TakeOver(token)
    }

    /// Whether this VM is about to hear of a scheduler: it has been cut off from the store, and a VM
    /// that was not follows one.
    fn is_led_elsewhere(&self, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        let is_led = |(_, p): (EntryVm, &Peer)| p.beat.has_store && p.beat.follows.is_some();
        self.store_lost_at.is_some()
            && age(self.lost_at) < self.cfg.rejoin_wait
            && self.live_peers(now).any(is_led)
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = (EntryVm, &Peer)> {
        let limit = self.cfg.peer_freshness;
        self.peers
            .iter()
            .filter(move |(_, p)| {
                now.saturating_duration_since(p.heard) < limit && !p.beat.is_ineligible
            })
            .map(|(&vm, p)| (vm, p))
    }
}

/// Order in which entry VMs take over: those first that the store answers, that do not lag and that
/// know the workers, then near and large ones that schedule nothing else.
fn order(vm: EntryVm, beat: &Heartbeat, lag_limit: Duration) -> impl Ord + use<> {
    let Fitness {
        is_local,
        cpu_tenths,
        other_cells,
    } = beat.fitness;
    let is_lagging = beat.lag >= lag_limit;
    let is_weak = (!beat.has_store, is_lagging, !beat.knows_departed, !is_local);
    (is_weak, Reverse(cpu_tenths), other_cells, vm)
}
