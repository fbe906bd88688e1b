//! Transfers the configuration between entry VMs where the platform's store does not provide it.
//!
//! A VM that lacks a version downloads it in parts from one peer at a time, and nothing is sent
//! that was not requested. So a VM receives a configuration at the rate of its own link, and no
//! sender holds copies for slow receivers.

mod download;
mod uploads;

pub use download::{ConfigDownload, DownloadEvent, DownloadTick};
pub use uploads::ConfigUploads;

use super::EntryVm;

/// Request for the part of a configuration that begins at an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartRequest {
    /// Peer to ask.
    pub to: EntryVm,
    /// Version that is being downloaded; 0 for the peer's newest.
    pub version: u64,
    /// Offset of the part, in bytes.
    pub offset: usize,
    /// Newest version that the sender of the request has; it needs a newer one.
    pub known: u64,
}

/// Part of a configuration; empty if the sender uploads to other peers at present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Version of the configuration.
    pub version: u64,
    /// Size of the whole configuration, in bytes.
    pub total: usize,
    /// Offset of this part, in bytes.
    pub offset: usize,
    /// Content of this part.
    pub data: Vec<u8>,
}
