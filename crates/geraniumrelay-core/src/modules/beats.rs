//! Which peers are due for a heartbeat.
//!
//! Every peer of the own data centre gets one in each interval, unless it sent one itself, as a
//! heartbeat and its reply tell both sides. Of another data centre only one contact gets any; it
//! answers for the whole data centre. So the traffic of a VM grows with the size of its own data
//! centre and with the number of data centres, not with the number of all VMs.

use std::hash::BuildHasher;
use std::time::Instant;

use rustc_hash::FxBuildHasher;

use crate::collections::Map;
use crate::context::Context;
use crate::modules::membership::PeerNews;
use crate::names::{DataCentre, VmName};

/// Heartbeats of one peer.
#[derive(Debug, Clone, Copy, Default)]
struct HeartbeatState {
    sent_at: Option<Instant>,
    /// Heartbeats sent since the peer was last heard.
    misses: u32,
}

/// Heartbeats of all peers.
#[derive(Debug, Default)]
pub struct HeartbeatSchedule {
    beats: Map<VmName, HeartbeatState>,
    /// When the last heartbeat went to another data centre.
    remote: Map<DataCentre, Instant>,
}

impl HeartbeatSchedule {
    /// Notes that a peer was heard, and has heard of this VM with it.
    pub fn on_heartbeat(&mut self, cx: &Context<'_>, vm: VmName) {
        let beat = HeartbeatState {
            sent_at: Some(cx.now),
            misses: 0,
        };
        self.beats.insert(vm, beat);
    }

    /// Forgets the peers that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&VmName) -> bool) {
        self.beats.retain(|vm, _| is_known(vm));
    }

    /// Makes all heartbeats due.
    pub fn make_all_due(&mut self) {
        for beat in self.beats.values_mut() {
            beat.sent_at = None;
        }
        self.remote.clear();
    }

    /// Peers that heartbeats go to: those of the own data centre and the contacts elsewhere.
    pub fn recipients<'a>(
        &self,
        own: DataCentre,
        seed: u64,
        peers: impl Iterator<Item = &'a PeerNews>,
    ) -> Vec<VmName> {
        let mut near = Vec::new();
        let mut contacts: Map<DataCentre, Contact> = Map::default();
        for news in peers {
            if news.data_centre == own {
                near.push(news.vm);
                continue;
            }
            let contact = self.contact(seed, news);
            let best = contacts.entry(news.data_centre).or_insert(contact);
            *best = contact.min(*best);
        }
        near.extend(contacts.into_values().map(|contact| contact.vm));
        near
    }

    /// The VM that missed least; among equals each VM prefers another one.
    fn contact(&self, seed: u64, news: &PeerNews) -> Contact {
        let misses = self.beats.get(&news.vm).map_or(0, |beat| beat.misses);
        Contact {
            misses,
            rank: FxBuildHasher.hash_one((seed, news.vm)),
            vm: news.vm,
        }
    }

    /// Whether a heartbeat to a peer is due; if so it counts as sent.
    pub fn take_due(&mut self, cx: &Context<'_>, news: &PeerNews, is_near: bool) -> bool {
        let cfg = &cx.cfg.membership;
        let beat = self.beats.entry(news.vm).or_default();
        let (sent_at, interval) = if is_near {
            let backoff = beat.misses.clamp(1, cfg.max_backoff);
            (beat.sent_at, cfg.heartbeat_interval * backoff)
        } else {
            let sent_at = self.remote.get(&news.data_centre).copied();
            (sent_at, cfg.remote_interval)
        };
        if sent_at.is_some_and(|at| cx.now < at + interval) {
            return false;
        }
        beat.sent_at = Some(cx.now);
        beat.misses = beat.misses.saturating_add(1);
        if !is_near {
            self.remote.insert(news.data_centre, cx.now);
        }
        true
    }
}

/// A candidate for the contact in a data centre, in order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Contact {
    misses: u32,
    rank: u64,
    vm: VmName,
}
