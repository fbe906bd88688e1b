//! Which scheduler of a cell decides on jobs that must be kept.
//!
//! The platform's store has a row for each cell that names the scheduler whose decisions count. It
//! is set under a condition, and each change of a record expects it unchanged, so a scheduler that
//! has been replaced can store nothing. Load pattern: both sides of a partition have a scheduler,
//! and workers that the other side can't reach.

use std::time::Instant;

use super::names::FencingToken;
use crate::configs::leased::LeasedConfig;

/// Reply of the store to the claim of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochReply {
    /// The row names the scheduler that asked.
    Held {
        /// Version of the row.
        version: u64,
    },
    /// The row names a scheduler with a higher token.
    HeldByOther {
        /// Its token.
        token: FencingToken,
    },
    /// Not known: the store did not answer, or refused.
    Unanswered,
}

/// The claim of a scheduler to its cell.
#[derive(Debug, Clone, Default)]
pub(super) struct Epoch {
    /// Version of the cell's row, where it names this scheduler as far as is known.
    version: Option<u64>,
    /// Until when it was certain that nobody else had claimed the cell.
    confirmed: Option<Instant>,
    is_lost: bool,
    /// When the store was last asked.
    asked: Option<Instant>,
    /// Whether the store did not answer the last call.
    is_store_unresponsive: bool,
}

impl Epoch {
    pub(super) fn version(&self) -> Option<u64> {
        self.version
    }

    pub(super) fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Whether the store did not answer the last call.
    pub(super) fn is_store_unresponsive(&self) -> bool {
        self.is_store_unresponsive
    }

    /// Whether tasks of kept jobs may start and go on: nobody else decides on them.
    pub(super) fn is_confirmed(&self, now: Instant, cfg: &LeasedConfig) -> bool {
        let is_fresh = |at| now.saturating_duration_since(at) < cfg.epoch_ttl;
        !self.is_lost && self.confirmed.is_some_and(is_fresh)
    }

    /// Whether the store is to be asked now; takes note that it is.
    pub(super) fn ask(&mut self, now: Instant, has_kept_jobs: bool, cfg: &LeasedConfig) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_stale = self.confirmed.is_none_or(|at| age(at) >= cfg.epoch_refresh);
        let is_wanted =
            self.version.is_none() || self.is_store_unresponsive || has_kept_jobs && is_stale;
        let is_due = is_wanted && self.asked.is_none_or(|at| age(at) >= cfg.epoch_repeat);
        if self.is_lost || !is_due {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// Takes note that the row names this scheduler, by a reply to a call sent at `sent`; `true` where
    /// that was not known.
    pub(super) fn hold(&mut self, version: u64, sent: Instant) -> bool {
        if self.is_lost {
            return false;
        }
        self.store_answered(sent);
        self.version.replace(version).is_none()
    }

    /// Takes note that the store answered a call sent at `sent` that expects the row unchanged.
    pub(super) fn store_answered(&mut self, sent: Instant) {
        self.is_store_unresponsive = false;
        self.confirmed = self.confirmed.max(Some(sent));
    }

    pub(super) fn store_unanswered(&mut self) {
        self.is_store_unresponsive = true;
    }

    /// Takes note that all entry VMs followed this scheduler at `at`, so that nobody else had claimed
    /// the cell.
    pub(super) fn followed(&mut self, at: Instant) {
        if self.version.is_some() {
            self.confirmed = self.confirmed.max(Some(at));
        }
    }

    /// Takes note that the row is not as expected: it has to be read.
    pub(super) fn mark_unconfirmed(&mut self) {
        self.version = None;
        self.asked = None;
    }

    pub(super) fn lose(&mut self) {
        self.is_lost = true;
        self.version = None;
    }
}
