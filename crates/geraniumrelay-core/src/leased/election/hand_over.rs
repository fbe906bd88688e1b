//! When a scheduler gives its cell up, and when it goes on with a higher token.
//!
//! A hand-over delays all open jobs of the cell. It is worth it only where the present scheduler can't do
//! what callers need and the next one can.

use std::time::{Instant, SystemTime};

use super::{Election, Heartbeat, Peer, Transition};
use crate::leased::names::{EntryVm, FencingToken};

/// Ratio of the scheduler's lag to its successor's from which the scheduler hands over.
const LAG_RATIO: u32 = 3;

/// Ratio of the successor's share of processor to the scheduler's from which an idle scheduler hands
/// over.
const IDLE_SHARE_RATIO: u32 = 2;

/// Same for a scheduler with open jobs, which are delayed by the hand-over.
const BUSY_SHARE_RATIO: u32 = 4;

/// Rounds skipped when a worker has received a higher token than any that this process knows.
pub(super) const FENCED_ROUND_SKIP: u64 = 2;

impl Election {
    /// Hands over if the preferred successor can do what this scheduler can't.
    pub(super) fn check_own(&mut self, now: Instant) -> Transition {
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
    /// moment before the others as it returns; or a partition heals, and the others are heard before the
    /// store is read.
    fn must_leave_to_vm_with_store(&self, vm: EntryVm, now: Instant) -> bool {
        let age = |at| now.saturating_duration_since(at);
        let timeout = self.cfg.store_timeout + self.status.hand_over_delay;
        let is_lost = self.store_lost_at.is_some_and(|at| age(at) >= timeout);
        let has_store = |p: &Peer| {
            let is_settled = |at| age(at) >= self.cfg.store_return_time;
            p.heartbeat.has_store && p.has_store_since.is_none_or(is_settled)
        };
        is_lost && self.peers.get(&vm).is_some_and(has_store)
    }

    /// Whether `vm` has a much larger share of processor for this cell. Load pattern: the first VM
    /// that is up schedules several cells, and larger VMs start after it. A VM that was just heard again is
    /// not compared yet: behind a partition this one may have taken cells that it can't serve.
    fn is_outclassed_by(&self, vm: EntryVm, now: Instant) -> bool {
        let Some(peer) = self.peers.get(&vm) else {
            return false;
        };
        let tenure = now.saturating_duration_since(self.took_over_at);
        let ratio = if self.status.has_jobs {
            BUSY_SHARE_RATIO
        } else {
            IDLE_SHARE_RATIO
        };
        let own = self.own_heartbeat(None);
        let (share, peer_share) = (self.fitness.share(), peer.heartbeat.fitness.share());
        let is_settled = |at| now.saturating_duration_since(at) >= self.cfg.store_return_time;
        tenure >= self.cfg.min_share_tenure + self.status.hand_over_delay
            && !peer.heartbeat.is_weaker_than(&own, self.cfg.lag_limit)
            && peer.has_store_since.is_none_or(is_settled)
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

    /// Whether the scheduler on `vm`, which this process follows, will outrank the one that is announced by
    /// `heartbeat`. Load pattern: callers' jobs are sent to the other one, and back a moment later.
    pub(super) fn will_outrank(&self, vm: EntryVm, heartbeat: &Heartbeat, now: Instant) -> bool {
        let Some(peer) = self.peers.get(&vm) else {
            return false;
        };
        let silence = now.saturating_duration_since(peer.last_heartbeat_at);
        let has_store = peer.heartbeat.has_store && !heartbeat.has_store;
        silence < self.cfg.scheduler_timeout
            && has_store
            && peer.heartbeat.token.is_some()
            && peer.heartbeat.usable_workers >= heartbeat.usable_workers
    }

    /// Whether this scheduler goes on, with a higher token, beside one that is announced by
    /// `heartbeat`: only this one has the store, and it has no fewer workers. Load pattern: as a
    /// partition heals, the scheduler of the smaller side has the higher token, and has not read the
    /// store yet.
    pub(super) fn must_outrank(&self, heartbeat: &Heartbeat) -> bool {
        let has_store = self.store_lost_at.is_none() && !heartbeat.has_store;
        self.status.can_raise_token
            && has_store
            && self.status.usable_workers >= heartbeat.usable_workers
    }
}
