//! Claim of a scheduler to the durable jobs of its cell.
//!
//! The store has a row for each cell that names the scheduler in charge. The row is written by
//! compare-and-set, and each change of a record expects the row unchanged, so a replaced scheduler
//! can store nothing. Load pattern: both sides of a partition have a scheduler, and workers that the
//! other side can't reach.

use std::time::Instant;

use super::names::FencingToken;
use crate::configs::leased::LeasedConfig;

/// Reply of the store to the claim of a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EpochReply {
    /// The row names this scheduler.
    Held {
        /// Version of the row.
        version: u64,
    },
    /// The row names a scheduler with a higher token.
    HeldByOther {
        /// Fencing token of that scheduler.
        token: FencingToken,
    },
    /// Unknown: the store did not answer, or refused the call.
    Unanswered,
}

/// State of a scheduler's claim to its cell.
#[derive(Debug, Clone, Default)]
pub(super) struct Epoch {
    /// When the scheduler's token was raised, so that it claims the cell again; `None` for its first token.
    begun: Option<Instant>,
    /// Version of the cell's row when it last named this scheduler; `None` if it has to be read.
    version: Option<u64>,
    /// Latest time at which no other scheduler had claimed the cell.
    confirmed_at: Option<Instant>,
    is_lost: bool,
    /// When the claim was last sent to the store.
    claim_sent_at: Option<Instant>,
    /// Whether the store did not answer the last call.
    is_store_unresponsive: bool,
}

impl Epoch {
    /// Starts to claim the cell again, with a token that was raised at `now`.
    pub(super) fn begun_at(now: Instant) -> Self {
        Self {
            begun: Some(now),
            ..Self::default()
        }
    }

    /// Whether a claim sent at `sent` named a former token.
    pub(super) fn is_of_former_token(&self, sent: Instant) -> bool {
        self.begun.is_some_and(|begun| sent < begun)
    }

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

    /// Whether tasks of durable jobs may start and go on: no other scheduler has claimed the cell.
    pub(super) fn is_confirmed(&self, now: Instant, cfg: &LeasedConfig) -> bool {
        let is_fresh = |at| now.saturating_duration_since(at) < cfg.epoch_ttl;
        !self.is_lost && self.confirmed_at.is_some_and(is_fresh)
    }

    /// Whether the claim is to be sent to the store now; if so, records it as sent.
    pub(super) fn mark_claim_sent_if_due(
        &mut self,
        now: Instant,
        has_durable_jobs: bool,
        cfg: &LeasedConfig,
    ) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        let is_stale = self
            .confirmed_at
            .is_none_or(|at| age(at) >= cfg.epoch_refresh);
        let is_wanted =
            self.version.is_none() || self.is_store_unresponsive || has_durable_jobs && is_stale;
        let is_due = is_wanted
            && self
                .claim_sent_at
                .is_none_or(|at| age(at) >= cfg.epoch_repeat);
        if self.is_lost || !is_due {
            return false;
        }
        self.claim_sent_at = Some(now);
        true
    }

    /// Records that the row names this scheduler, by the reply to a call sent at `sent`. Returns `true`
    /// if the row's version was unknown.
    pub(super) fn hold(&mut self, version: u64, sent: Instant) -> bool {
        if self.is_lost {
            return false;
        }
        self.store_answered(sent);
        self.version.replace(version).is_none()
    }

    /// Records that the store answered a call sent at `sent` that expects the row unchanged.
    pub(super) fn store_answered(&mut self, sent: Instant) {
        self.is_store_unresponsive = false;
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// Records that the store did not answer a call.
    pub(super) fn store_unanswered(&mut self) {
        self.is_store_unresponsive = true;
    }

    /// Records that all entry VMs followed this scheduler at `at`, so that no other one had claimed the
    /// cell.
    pub(super) fn followed(&mut self, at: Instant) {
        if self.version.is_some() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records that the row is not as expected and has to be read again.
    pub(super) fn mark_unconfirmed(&mut self) {
        self.version = None;
        self.claim_sent_at = None;
    }

    pub(super) fn lose(&mut self) {
        self.is_lost = true;
        self.version = None;
    }
}
