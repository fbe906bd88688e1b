//! Decides which peers may download the configuration from this VM, and cuts it into parts.

use std::time::Instant;

use super::Part;
use crate::Context;
use crate::leased::EntryVm;

/// Peers that download the configuration from this VM.
#[derive(Debug, Default)]
pub struct ConfigUploads {
    /// Each peer with the time of its last request.
    active: Vec<(EntryVm, Instant)>,
}

impl ConfigUploads {
    /// Number of peers that were downloading at the last request.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Whether no peer was downloading at the last request.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// The part that a peer requests of the configuration `row`; `None` if too many other peers are
    /// downloading. A peer that asks for another version gets the beginning of this one.
    pub fn part(
        &mut self,
        cx: &Context<'_>,
        peer: EntryVm,
        (version, row): (u64, &[u8]),
        requested: (u64, usize),
    ) -> Option<Part> {
        if !self.admit(cx, peer) {
            return None;
        }
        let (requested_version, offset) = requested;
        let offset = if requested_version == version {
            offset.min(row.len())
        } else {
            0
        };
        let end = row
            .len()
            .min(offset.saturating_add(cx.cfg.config_transfer.part_bytes));
        if end == row.len() {
            self.active.retain(|&(vm, _)| vm != peer);
        }
        Some(Part {
            version,
            total: row.len(),
            offset,
            data: row[offset..end].to_vec(),
        })
    }

    fn admit(&mut self, cx: &Context<'_>, peer: EntryVm) -> bool {
        let cfg = &cx.cfg.config_transfer;
        let is_active = |at: Instant| cx.now.saturating_duration_since(at) < cfg.stall_timeout;
        self.active.retain(|&(vm, at)| vm != peer && is_active(at));
        if self.active.len() >= cfg.max_uploads {
            return false;
        }
        self.active.push((peer, cx.now));
        true
    }
}
