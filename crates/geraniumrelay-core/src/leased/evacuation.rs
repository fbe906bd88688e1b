//! Evacuated data centres: nothing more starts there until the operators withdraw the request.
//!
//! The set as of a higher revision of the store replaces the known set as a whole, so the end of an evacuation is
//! learnt like its begin. A process that can't read the store takes the set from its peers' heartbeats, and keeps
//! what it knows until a newer set arrives.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::context::Context;

/// Evacuated data centres, and since when each evacuation is known to any process.
pub type EvacuatedSince = BTreeMap<Arc<str>, Instant>;

/// A row of the store that requests an evacuation, or no longer does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRow {
    /// Data centre to evacuate.
    pub data_centre: Arc<str>,
    /// `false` if the row was removed.
    pub is_requested: bool,
    /// Revision of the store that last changed the row.
    pub version: u64,
}

/// A change of the known set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centre concerned.
    pub data_centre: Arc<str>,
    /// Whether its evacuation is requested now; `false` if it was withdrawn.
    pub is_requested: bool,
    /// Time for which the request has been known to any process.
    pub age: Duration,
}

/// The evacuated data centres as of a revision of the store.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// `None` until the set has been read from the store or received from a peer.
    revision: Option<u64>,
    since: EvacuatedSince,
}

impl Evacuations {
    /// Whether the set is known. A VM that does not know it must not start tasks anywhere.
    pub fn is_known(&self) -> bool {
        self.revision.is_some()
    }

    /// Revision of the store that the set is known as of; 0 while it is unknown.
    pub fn revision(&self) -> u64 {
        self.revision.unwrap_or(0)
    }

    /// The evacuated data centres.
    pub fn evacuated(&self) -> &EvacuatedSince {
        &self.since
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.since.contains_key(data_centre)
    }

    /// Applies all rows as of `revision` with `is_snapshot`, or else those that have changed up to it. What is not
    /// newer than the known set is ignored, as a read may arrive after newer news from a peer.
    pub fn apply_rows(
        &mut self,
        cx: &Context<'_>,
        is_snapshot: bool,
        rows: &[EvacuationRow],
        revision: u64,
    ) -> Vec<EvacuationChange> {
        if self.revision.is_some_and(|known| revision <= known) {
            return Vec::new();
        }
        let known = self.revision();
        let requested = rows.iter().filter(|r| r.is_requested);
        let names = if is_snapshot {
            requested.map(|r| Arc::clone(&r.data_centre)).collect()
        } else {
            let mut names: Vec<Arc<str>> = self.since.keys().cloned().collect();
            let newer = rows.iter().filter(|r| r.version > known);
            for row in newer {
                names.retain(|n| *n != row.data_centre);
                if row.is_requested {
                    names.push(Arc::clone(&row.data_centre));
                }
            }
            names
        };
        // A process that has just started can't tell how old a request is: no grace is left for it.
        let first_seen = if self.is_known() {
            cx.now
        } else {
            let grace = cx.cfg.leased.evacuation_grace;
            cx.now.checked_sub(grace).unwrap_or(cx.now)
        };
        let set = names.into_iter().map(|name| (name, first_seen));
        self.replace(cx, set.collect(), revision)
    }

    /// Takes over the set of a peer if it is of a higher revision; `ages` tells for how long each evacuation has been
    /// known. A revision of 0 says that the peer knows no set.
    pub fn merge(
        &mut self,
        cx: &Context<'_>,
        revision: u64,
        ages: &[(Arc<str>, Duration)],
    ) -> Vec<EvacuationChange> {
        if revision <= self.revision() {
            return Vec::new();
        }
        let since = |age| cx.now.checked_sub(age).unwrap_or(cx.now);
        let set = ages
            .iter()
            .map(|(name, age)| (Arc::clone(name), since(*age)));
        self.replace(cx, set.collect(), revision)
    }

    fn replace(
        &mut self,
        cx: &Context<'_>,
        mut set: EvacuatedSince,
        revision: u64,
    ) -> Vec<EvacuationChange> {
        for (name, since) in &mut set {
            if let Some(&known) = self.since.get(name) {
                *since = known.min(*since);
            }
        }
        let change = |name: &Arc<str>, since: Instant, is_requested| EvacuationChange {
            data_centre: Arc::clone(name),
            is_requested,
            age: cx.now.saturating_duration_since(since),
        };
        let begun = set.iter().filter(|(n, _)| !self.contains(n));
        let ended = self.since.iter().filter(|(n, _)| !set.contains_key(*n));
        let begun = begun.map(|(n, &since)| change(n, since, true));
        let ended = ended.map(|(n, &since)| change(n, since, false));
        let changes = begun.chain(ended).collect();
        self.since = set;
        self.revision = Some(revision);
        changes
    }
}
