//! Schedule of the heartbeats to peers.
//!
//! A heartbeat and its reply carry the status of both sides, so a peer of the own data centre that
//! has sent one within the interval gets none. Of another data centre only one representative gets
//! heartbeats and answers for all its entry VMs. So the traffic of a VM grows with the size of its
//! data centre and with the number of data centres, not with the total number of VMs.

use std::hash::BuildHasher;
use std::time::Instant;

use rustc_hash::FxBuildHasher;

use crate::collections::Map;
use crate::context::Context;
use crate::modules::membership::PeerStatus;
use crate::names::{DataCentre, VmName};

/// Heartbeats to one peer.
#[derive(Debug, Clone, Copy, Default)]
struct HeartbeatState {
    /// Time of the last heartbeat in either direction; `None` makes the next one due at once.
    sent_at: Option<Instant>,
    /// Heartbeats sent since the last one from the peer.
    misses: u32,
}

/// Heartbeats to all peers, with their last times and misses.
#[derive(Debug, Default)]
pub struct HeartbeatSchedule {
    states: Map<VmName, HeartbeatState>,
    /// Time of the last heartbeat to each other data centre.
    remote_sent_at: Map<DataCentre, Instant>,
}

impl HeartbeatSchedule {
    /// Records a heartbeat exchange with a peer and resets its misses.
    pub fn on_heartbeat(&mut self, cx: &Context<'_>, vm: VmName) {
        let state = HeartbeatState {
            sent_at: Some(cx.now),
            misses: 0,
        };
        self.states.insert(vm, state);
    }

    /// Removes the peers for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&VmName) -> bool) {
        self.states.retain(|vm, _| is_known(vm));
    }

    /// Makes the heartbeats to all peers due at once.
    pub fn make_all_due(&mut self) {
        for state in self.states.values_mut() {
            state.sent_at = None;
        }
        self.remote_sent_at.clear();
    }

    /// Peers to send heartbeats to: all of the own data centre and one representative of each other.
    pub fn recipients<'a>(
        &self,
        own: DataCentre,
        seed: u64,
        peers: impl Iterator<Item = &'a PeerStatus>,
    ) -> Vec<VmName> {
        let mut local = Vec::new();
        let mut representatives: Map<DataCentre, Representative> = Map::default();
        for peer in peers {
            if peer.data_centre == own {
                local.push(peer.vm);
                continue;
            }
            let representative = self.representative(seed, peer);
            let best = representatives
                .entry(peer.data_centre)
                .or_insert(representative);
            *best = representative.min(*best);
        }
        local.extend(
            representatives
                .into_values()
                .map(|representative| representative.vm),
        );
        local
    }

    /// Ranks a peer by its misses, then by a hash that differs between senders.
    fn representative(&self, seed: u64, peer: &PeerStatus) -> Representative {
        let misses = self.states.get(&peer.vm).map_or(0, |state| state.misses);
        Representative {
            misses,
            rank: FxBuildHasher.hash_one((seed, peer.vm)),
            vm: peer.vm,
        }
    }

    /// Returns whether a heartbeat to a peer is due, and if so records it as sent.
    ///
    /// In the own data centre the interval grows with the misses, up to `max_backoff` intervals.
    pub fn take_due(&mut self, cx: &Context<'_>, peer: &PeerStatus, is_local: bool) -> bool {
        let cfg = &cx.cfg.membership;
        let state = self.states.entry(peer.vm).or_default();
        let (sent_at, interval) = if is_local {
            let backoff = state.misses.clamp(1, cfg.max_backoff);
            (state.sent_at, cfg.heartbeat_interval * backoff)
        } else {
            let sent_at = self.remote_sent_at.get(&peer.data_centre).copied();
            (sent_at, cfg.remote_heartbeat_interval)
        };
        if sent_at.is_some_and(|at| cx.now < at + interval) {
            return false;
        }
        state.sent_at = Some(cx.now);
        state.misses = state.misses.saturating_add(1);
        if !is_local {
            self.remote_sent_at.insert(peer.data_centre, cx.now);
        }
        true
    }
}

/// Candidate for the representative of a data centre; the smallest one is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Representative {
    misses: u32,
    rank: u64,
    vm: VmName,
}
