//! Decides when to download the configuration from a peer, and from which one.

use std::time::{Duration, Instant};

use super::{Part, PartRequest};
use crate::Context;
use crate::collections::Map;
use crate::leased::EntryVm;

/// Change of a download.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DownloadEvent {
    /// Nothing to do.
    Unchanged,
    /// The next part is to be requested.
    Request(PartRequest),
    /// The configuration is complete.
    Complete {
        /// Version of the configuration.
        version: u64,
        /// Content of the configuration.
        row: Vec<u8>,
        /// Duration of the download.
        took: Duration,
    },
}

/// Versions of the peers, and the download from one of them.
#[derive(Debug)]
pub struct ConfigDownload {
    own: EntryVm,
    peers: Map<EntryVm, PeerVersion>,
    lacking: Option<Lacking>,
    transfer: Option<Transfer>,
    /// Peer of the last download that failed; asked again only where no other peer can be.
    last_failed: Option<EntryVm>,
    /// Newest version that was downloaded whole; not downloaded again where it can't be used here.
    downloaded: u64,
    /// Number of downloads that were begun; spreads the attempts over the peers.
    attempts: usize,
}

#[derive(Debug, Clone, Copy)]
struct PeerVersion {
    version: u64,
    is_local: bool,
}

/// The version in force while a peer has a newer one.
#[derive(Debug, Clone, Copy)]
struct Lacking {
    own_version: u64,
    since: Instant,
}

#[derive(Debug)]
struct Transfer {
    from: EntryVm,
    /// 0 until the first part has arrived.
    version: u64,
    total: usize,
    data: Vec<u8>,
    started: Instant,
    last_progress: Instant,
}

impl ConfigDownload {
    /// Creates the state of a VM that knows no peer.
    pub fn new(own: EntryVm) -> Self {
        Self {
            own,
            peers: Map::default(),
            lacking: None,
            transfer: None,
            last_failed: None,
            downloaded: 0,
            attempts: 0,
        }
    }

    /// Records the version that a peer has in force, as of its last heartbeat.
    pub fn set_peer_version(&mut self, peer: EntryVm, version: u64, is_local: bool) {
        self.peers.insert(peer, PeerVersion { version, is_local });
    }

    /// Forgets a peer whose link is lost; a download from it is abandoned.
    pub fn remove_peer(&mut self, peer: EntryVm) {
        self.peers.remove(&peer);
        if self.transfer.as_ref().is_some_and(|t| t.from == peer) {
            self.abandon();
        }
    }

    /// Peer of the present download, and the number of bytes received.
    pub fn progress(&self) -> Option<(EntryVm, usize)> {
        self.transfer.as_ref().map(|t| (t.from, t.data.len()))
    }

    /// Begins a download where one is needed, and abandons one that has stalled. Returns the first
    /// request of a download.
    pub fn tick(
        &mut self,
        cx: &Context<'_>,
        own_version: u64,
        is_store_healthy: bool,
    ) -> Option<PartRequest> {
        let known = own_version.max(self.downloaded);
        let newest = self.peers.values().map(|p| p.version).max();
        if newest.is_none_or(|newest| newest <= known) {
            self.lacking = None;
            self.transfer = None;
            return None;
        }
        let lacking = match self.lacking {
            // Each version that the store provides starts the wait for it anew.
            Some(lacking) if lacking.own_version == own_version => lacking,
            _ => {
                let since = cx.now;
                *self.lacking.insert(Lacking { own_version, since })
            }
        };
        if let Some(transfer) = &self.transfer {
            let is_obsolete = transfer.version != 0 && transfer.version <= known;
            if !is_obsolete && !transfer.is_stalled(cx) {
                return None;
            }
            self.abandon();
        }
        let waited = cx.now.saturating_duration_since(lacking.since);
        if is_store_healthy && waited < cx.cfg.config_transfer.store_grace {
            return None;
        }
        let to = self.choose_peer(known)?;
        self.attempts = self.attempts.wrapping_add(1);
        self.transfer = Some(Transfer::new(to, cx.now));
        Some(PartRequest {
            to,
            version: 0,
            offset: 0,
        })
    }

    /// Adds a part to the download. A part that does not follow the one before ends the download.
    pub fn on_part(&mut self, cx: &Context<'_>, from: EntryVm, part: &Part) -> DownloadEvent {
        let Some(transfer) = self.transfer.as_mut().filter(|t| t.from == from) else {
            return DownloadEvent::Unchanged;
        };
        if part.version != transfer.version {
            // The first part, or the peer has put a newer version in force in the meantime.
            transfer.version = part.version;
            transfer.total = part.total;
            transfer.data.clear();
        }
        let max = cx.cfg.config_transfer.max_row_bytes;
        if !transfer.accepts(part, max) {
            self.abandon();
            return DownloadEvent::Unchanged;
        }
        transfer.data.extend_from_slice(&part.data);
        transfer.last_progress = cx.now;
        if transfer.data.len() < transfer.total {
            return DownloadEvent::Request(PartRequest {
                to: from,
                version: transfer.version,
                offset: transfer.data.len(),
            });
        }
        self.downloaded = self.downloaded.max(transfer.version);
        let event = DownloadEvent::Complete {
            version: transfer.version,
            row: std::mem::take(&mut transfer.data),
            took: cx.now.saturating_duration_since(transfer.started),
        };
        self.transfer = None;
        event
    }

    fn abandon(&mut self) {
        self.last_failed = self.transfer.take().map(|t| t.from);
    }

    /// Chooses a peer with a newer version, in this data centre if there is one; VMs that lack the
    /// same version choose different peers.
    fn choose_peer(&self, known: u64) -> Option<EntryVm> {
        let rank = |vm: EntryVm, peer: &PeerVersion| (self.last_failed == Some(vm), !peer.is_local);
        let newer = || self.peers.iter().filter(|(_, p)| p.version > known);
        let best = newer().map(|(&vm, peer)| rank(vm, peer)).min()?;
        let mut vms: Vec<EntryVm> = newer()
            .filter(|&(&vm, peer)| rank(vm, peer) == best)
            .map(|(&vm, _)| vm)
            .collect();
        vms.sort_unstable();
        let index = (self.own.0.to_bits() as usize).wrapping_add(self.attempts);
        vms.get(index % vms.len()).copied()
    }
}

impl Transfer {
    fn new(from: EntryVm, now: Instant) -> Self {
        Self {
            from,
            version: 0,
            total: 0,
            data: Vec::new(),
            started: now,
            last_progress: now,
        }
    }

    fn is_stalled(&self, cx: &Context<'_>) -> bool {
        let cfg = &cx.cfg.config_transfer;
        cx.now.saturating_duration_since(self.last_progress) >= cfg.stall_timeout
            || cx.now.saturating_duration_since(self.started) >= cfg.max_duration
    }

    fn accepts(&self, part: &Part, max_row_bytes: usize) -> bool {
        let end = part.offset.saturating_add(part.data.len());
        part.total == self.total
            && self.total <= max_row_bytes
            && part.offset == self.data.len()
            && !part.data.is_empty()
            && end <= self.total
    }
}
