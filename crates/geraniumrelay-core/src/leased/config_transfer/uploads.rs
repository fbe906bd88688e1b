//! Decides which peers may download the configuration from this VM, and cuts it into parts.

use std::rc::Rc;
use std::time::Instant;

use super::Part;
use crate::Context;
use crate::leased::EntryVm;

/// Peers that download the configuration from this VM.
#[derive(Debug, Default)]
pub struct ConfigUploads {
    active: Vec<Upload>,
}

#[derive(Debug)]
struct Upload {
    peer: EntryVm,
    last_request: Instant,
    version: u64,
    /// Kept until the end of the upload, so that it completes while newer versions come into force.
    row: Rc<[u8]>,
}

impl ConfigUploads {
    /// The part that a peer requests, by version and offset; an empty part of an empty row if too
    /// many other peers are downloading. The configuration in force is `current`. A peer that asks
    /// for a version that this VM does not have gets the beginning of the current one.
    pub fn part(
        &mut self,
        cx: &Context<'_>,
        peer: EntryVm,
        current: (u64, &Rc<[u8]>),
        requested: (u64, usize),
    ) -> Part {
        let (version, offset) = requested;
        let begun = self.take(cx, peer).filter(|u| u.version == version);
        if self.active.len() >= cx.cfg.config_transfer.max_uploads {
            return Part {
                version: current.0,
                total: 0,
                offset: 0,
                data: Vec::new(),
            };
        }
        let upload = begun.unwrap_or_else(|| Upload {
            peer,
            last_request: cx.now,
            version: current.0,
            row: Rc::clone(current.1),
        });
        let offset = if upload.version == version { offset } else { 0 };
        let part = upload.part(cx, offset);
        if offset.saturating_add(part.data.len()) < part.total {
            self.active.push(Upload {
                last_request: cx.now,
                ..upload
            });
        }
        part
    }

    /// Removes the upload to a peer, and those that were abandoned.
    fn take(&mut self, cx: &Context<'_>, peer: EntryVm) -> Option<Upload> {
        let timeout = cx.cfg.config_transfer.stall_timeout;
        self.active
            .retain(|u| cx.now.saturating_duration_since(u.last_request) < timeout);
        let index = self.active.iter().position(|u| u.peer == peer)?;
        Some(self.active.swap_remove(index))
    }
}

impl Upload {
    fn part(&self, cx: &Context<'_>, offset: usize) -> Part {
        let start = offset.min(self.row.len());
        let end = start.saturating_add(cx.cfg.config_transfer.part_bytes);
        Part {
            version: self.version,
            total: self.row.len(),
            offset: start,
            data: self.row[start..end.min(self.row.len())].to_vec(),
        }
    }
}
