//! Caches the newest sheet known to this process, with the deltas that led to it, so that peers can
//! fetch deltas instead of the full sheet.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error, From};
use geraniumrelay_core::modules::sheet::{Sheet, SheetDelta, SheetError, parse_sheet};
use geraniumrelay_wire::{SheetDelta as WireDelta, SheetUpdate};
use log::warn;

/// Maximum number of deltas retained for peers.
const RETAINED_DELTAS: usize = 64;

/// Error of an update that can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum UpdateError {
    /// The deltas don't start from the revision of the cached sheet, or don't apply to its text.
    #[display("the differences do not fit the sheet here")]
    #[from(skip)]
    BaseMismatch,
    /// The new sheet is invalid.
    #[display("the sheet has faults: {_0}")]
    InvalidSheet(SheetError),
}

/// Sheet cache shared by the threads that receive sheets; its revision never decreases.
#[derive(Debug, Default)]
pub struct SheetCache {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    sheet: Option<Arc<Sheet>>,
    /// Deltas of consecutive revisions; the last one leads to the sheet.
    deltas: VecDeque<SheetDelta>,
    /// Newest revision that was invalid, so that its fault is logged only once; 0 before the first.
    invalid_revision: u64,
}

impl SheetCache {
    /// Revision of the cached sheet; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.lock().revision()
    }

    /// Update for a peer that has the revision `base`, 0 for none; `None` if the peer is up to date
    /// or no sheet is cached.
    ///
    /// The update has the deltas if they are all retained and smaller than the sheet, otherwise the
    /// full sheet.
    pub fn update_since(&self, base: u64) -> Option<SheetUpdate> {
        let state = self.lock();
        let sheet = state.sheet.as_ref()?;
        if base >= sheet.revision {
            return None;
        }
        let mut update = SheetUpdate {
            revision: sheet.revision,
            ..SheetUpdate::default()
        };
        let deltas = state.deltas.iter().filter(|delta| delta.revision > base);
        let size: usize = deltas.clone().map(SheetDelta::len).sum();
        let has_all_deltas = state.deltas.front().is_some_and(|d| d.revision <= base + 1);
        if base > 0 && has_all_deltas && size < sheet.text.len() {
            update.deltas = deltas.map(write_delta).collect();
        } else {
            update.sheet.clone_from(&sheet.text);
        }
        Some(update)
    }

    /// Applies an update; returns the new sheet, or `None` if the update is not newer than the cached
    /// sheet.
    ///
    /// # Errors
    /// Any [`UpdateError`]; the cached sheet stays.
    pub fn apply(&self, update: SheetUpdate) -> Result<Option<Arc<Sheet>>, UpdateError> {
        let mut state = self.lock();
        if update.revision <= state.revision() {
            return Ok(None);
        }
        let revision = update.revision;
        state.apply(update).inspect_err(|e| {
            if matches!(e, UpdateError::InvalidSheet(_)) && state.invalid_revision < revision {
                state.invalid_revision = revision;
                let error = e.to_string();
                warn!(revision, error = error.as_str(); "sheet_unreadable");
            }
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn revision(&self) -> u64 {
        self.sheet.as_ref().map_or(0, |sheet| sheet.revision)
    }

    fn apply(&mut self, update: SheetUpdate) -> Result<Option<Arc<Sheet>>, UpdateError> {
        let (text, deltas) = if update.sheet.is_empty() {
            self.apply_deltas(update.deltas)?
        } else {
            let delta = self.delta_to(update.revision, &update.sheet);
            (update.sheet, delta.into_iter().collect())
        };
        let sheet = Arc::new(parse_sheet(update.revision, &text)?);
        self.retain_deltas(deltas);
        self.sheet = Some(Arc::clone(&sheet));
        Ok(Some(sheet))
    }

    /// Applies the deltas that are newer than the cached sheet; returns the resulting text and the
    /// applied deltas.
    fn apply_deltas(
        &self,
        deltas: Vec<WireDelta>,
    ) -> Result<(String, Vec<SheetDelta>), UpdateError> {
        let mut text = self
            .sheet
            .as_ref()
            .ok_or(UpdateError::BaseMismatch)?
            .text
            .clone();
        let mut revision = self.revision();
        let mut applied = Vec::new();
        for delta in deltas.into_iter().map(read_delta) {
            if delta.revision <= revision {
                continue;
            }
            if delta.revision != revision + 1 {
                return Err(UpdateError::BaseMismatch);
            }
            text = delta.apply(&text).ok_or(UpdateError::BaseMismatch)?;
            revision = delta.revision;
            applied.push(delta);
        }
        Ok((text, applied))
    }

    /// Delta from the cached sheet to a full sheet; `None` unless it is the next revision.
    fn delta_to(&self, revision: u64, text: &str) -> Option<SheetDelta> {
        let base = self.sheet.as_ref()?;
        if base.revision + 1 != revision {
            return None;
        }
        SheetDelta::between(revision, &base.text, text)
    }

    /// Retains the newest [`RETAINED_DELTAS`]. An empty list means that the deltas from the last sheet
    /// are unknown, so the deltas before it are dropped.
    fn retain_deltas(&mut self, deltas: Vec<SheetDelta>) {
        if deltas.is_empty() {
            self.deltas.clear();
        }
        self.deltas.extend(deltas);
        while self.deltas.len() > RETAINED_DELTAS {
            self.deltas.pop_front();
        }
    }
}

/// Converts a delta to its wire form.
pub fn write_delta(delta: &SheetDelta) -> WireDelta {
    WireDelta {
        revision: delta.revision,
        removed: delta.removed.clone(),
        added: delta.added.clone(),
    }
}

fn read_delta(delta: WireDelta) -> SheetDelta {
    SheetDelta {
        revision: delta.revision,
        removed: delta.removed,
        added: delta.added,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEADER: &str = "service,data_centre,workers,slots,connections,request_kind,urgency,\
                          idempotent,deadline_ms,state,team,team_share\n";

    /// Sheet in which one line depends on `workers`; three constant lines keep a delta smaller than
    /// the sheet.
    fn sheet_text(workers: u32) -> String {
        let rest = ["gyor", "pecs", "sopron"].map(|data_centre| {
            format!("pont,{data_centre},9,8,64,score,urgent,no,2000,active,,\n")
        });
        let changing = format!("pont,szeged,{workers},8,64,score,urgent,no,2000,active,,\n");
        format!("{HEADER}{}{changing}", rest.concat())
    }

    fn full_update(revision: u64, workers: u32) -> SheetUpdate {
        SheetUpdate {
            revision,
            sheet: sheet_text(workers),
            ..SheetUpdate::default()
        }
    }

    #[test]
    fn a_peer_gets_deltas_if_they_are_retained() {
        let source = SheetCache::default();
        for revision in 1..=3 {
            source
                .apply(full_update(revision, 10 + u32::try_from(revision).unwrap()))
                .unwrap();
        }
        let receiver = SheetCache::default();
        let first = source.update_since(0).unwrap();
        assert!(first.deltas.is_empty());
        receiver.apply(full_update(1, 11)).unwrap();
        let update = source.update_since(1).unwrap();
        assert_eq!((update.sheet.as_str(), update.deltas.len()), ("", 2));
        assert_eq!(
            receiver.apply(update).unwrap().unwrap().text,
            sheet_text(13)
        );
        assert_eq!(source.update_since(3), None);
    }

    #[test]
    fn stale_and_faulty_updates_leave_the_cached_sheet() {
        let cache = SheetCache::default();
        cache.apply(full_update(2, 10)).unwrap();
        assert_eq!(cache.apply(full_update(1, 9)), Ok(None));
        let invalid = SheetUpdate {
            revision: 3,
            sheet: "broken".to_owned(),
            ..SheetUpdate::default()
        };
        assert!(matches!(
            cache.apply(invalid),
            Err(UpdateError::InvalidSheet(_))
        ));
        let with_gap = SheetUpdate {
            revision: 9,
            deltas: vec![WireDelta {
                revision: 9,
                ..WireDelta::default()
            }],
            ..SheetUpdate::default()
        };
        assert_eq!(cache.apply(with_gap), Err(UpdateError::BaseMismatch));
        assert_eq!(cache.revision(), 2);
    }
}
