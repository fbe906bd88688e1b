//! Decides which peers may download the configuration from this VM, and cuts it into parts.

use std::rc::Rc;
use std::time::Instant;

use super::{Part, PartRequest};
use crate::Context;
use crate::leased::EntryVm;

/// Peers that download the configuration from this VM.
#[derive(Debug, Default)]
pub struct ConfigUploads {
    /// The oldest first.
    uploads: Vec<Upload>,
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
    /// The part that a peer requests; an empty part of an empty row if too many other peers are
    /// downloading. The configuration in force is `current`. A peer that asks for a version that
    /// this VM does not have gets the beginning of the current one.
    pub fn part(
        &mut self,
        cx: &Context<'_>,
        peer: EntryVm,
        current: (u64, &Rc<[u8]>),
        request: &PartRequest,
    ) -> Part {
        let begun = self.take(cx, peer).filter(|u| u.serves(request));
        let timeout = cx.cfg.config_transfer.stall_timeout;
        let is_active = |u: &&Upload| cx.now.saturating_duration_since(u.last_request) < timeout;
        if self.uploads.iter().filter(is_active).count() >= cx.cfg.config_transfer.max_uploads {
            return Part {
                version: current.0,
                total: 0,
                offset: 0,
                data: Vec::new(),
            };
        }
        let mut upload = begun.unwrap_or_else(|| Upload {
            peer,
            last_request: cx.now,
            version: current.0,
            row: Rc::clone(current.1),
        });
        let is_continued = upload.version == request.version;
        if is_continued {
            upload.last_request = cx.now;
        }
        let part = upload.part(cx, if is_continued { request.offset } else { 0 });
        if part.offset + part.data.len() < part.total {
            self.uploads.push(upload);
        }
        part
    }

    /// Removes the upload to a peer, and those that were abandoned. An upload is kept for as long as
    /// the peer may wait for a part.
    fn take(&mut self, cx: &Context<'_>, peer: EntryVm) -> Option<Upload> {
        let cfg = &cx.cfg.config_transfer;
        self.uploads.retain(|u| {
            cx.now.saturating_duration_since(u.last_request) <= 2 * cfg.max_stall_timeout
        });
        let excess = self.uploads.len().saturating_sub(2 * cfg.max_uploads);
        self.uploads.drain(..excess);
        let index = self.uploads.iter().position(|u| u.peer == peer)?;
        Some(self.uploads.remove(index))
    }
}

impl Upload {
    /// Whether a request continues this upload, or repeats its beginning.
    fn serves(&self, request: &PartRequest) -> bool {
        request.version == self.version || (request.version == 0 && self.version > request.known)
    }

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
