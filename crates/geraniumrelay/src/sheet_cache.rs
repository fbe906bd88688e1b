//! The newest sheet that this process knows, with the differences that led to it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use derive_more::{Display, Error, From};
use geraniumrelay_core::modules::sheet::{Sheet, SheetDelta, SheetError, parse_sheet};
use geraniumrelay_wire::{SheetDelta as WireDelta, SheetUpdate};
use log::warn;

/// Differences that are kept for peers.
const RETAINED_DELTAS: usize = 64;

/// Why an update can't be taken.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, From)]
pub enum UpdateError {
    /// Its differences do not start from the sheet that is here.
    #[display("the differences do not fit the sheet here")]
    #[from(skip)]
    NotFitting,
    /// The sheet has faults.
    #[display("the sheet has faults: {_0}")]
    Unreadable(SheetError),
}

/// Shared by the threads that learn of sheets; it only moves forward.
#[derive(Debug, Default)]
pub struct SheetCache {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    sheet: Option<Arc<Sheet>>,
    /// Differences of consecutive revisions, the last of which leads to the sheet.
    deltas: VecDeque<SheetDelta>,
    /// Newest revision that could not be read, so that it is logged once.
    unreadable: u64,
}

impl SheetCache {
    /// Revision of the sheet; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.lock().revision()
    }

    /// What brings a peer that has revision `have` here; `None` where it needs nothing.
    pub fn update_since(&self, have: u64) -> Option<SheetUpdate> {
        let state = self.lock();
        let sheet = state.sheet.as_ref()?;
        if have >= sheet.revision {
            return None;
        }
        let mut update = SheetUpdate {
            revision: sheet.revision,
            ..SheetUpdate::default()
        };
        let deltas = state.deltas.iter().filter(|delta| delta.revision > have);
        let size: usize = deltas.clone().map(SheetDelta::len).sum();
        let is_known = state.deltas.front().is_some_and(|d| d.revision <= have + 1);
        if have > 0 && is_known && size < sheet.text.len() {
            update.deltas = deltas.map(write_delta).collect();
        } else {
            update.sheet.clone_from(&sheet.text);
        }
        Some(update)
    }

    /// Takes an update; returns the sheet where it is newer than the one here.
    ///
    /// # Errors
    /// Any [`UpdateError`]; the sheet here stays.
    pub fn take(&self, update: SheetUpdate) -> Result<Option<Arc<Sheet>>, UpdateError> {
        let mut state = self.lock();
        if update.revision <= state.revision() {
            return Ok(None);
        }
        let revision = update.revision;
        state.take(update).inspect_err(|e| {
            if matches!(e, UpdateError::Unreadable(_)) && state.unreadable < revision {
                state.unreadable = revision;
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

    fn take(&mut self, update: SheetUpdate) -> Result<Option<Arc<Sheet>>, UpdateError> {
        let (text, deltas) = if update.sheet.is_empty() {
            self.follow(update.deltas)?
        } else {
            let delta = self.delta_to(update.revision, &update.sheet);
            (update.sheet, delta.into_iter().collect())
        };
        let sheet = Arc::new(parse_sheet(update.revision, &text)?);
        self.keep(deltas);
        self.sheet = Some(Arc::clone(&sheet));
        Ok(Some(sheet))
    }

    /// Text after the differences beyond the sheet here.
    fn follow(&self, deltas: Vec<WireDelta>) -> Result<(String, Vec<SheetDelta>), UpdateError> {
        let mut sheet = self
            .sheet
            .as_ref()
            .ok_or(UpdateError::NotFitting)?
            .text
            .clone();
        let mut revision = self.revision();
        let mut followed = Vec::new();
        for delta in deltas.into_iter().map(read_delta) {
            if delta.revision <= revision {
                continue;
            }
            if delta.revision != revision + 1 {
                return Err(UpdateError::NotFitting);
            }
            sheet = delta.apply(&sheet).ok_or(UpdateError::NotFitting)?;
            revision = delta.revision;
            followed.push(delta);
        }
        Ok((sheet, followed))
    }

    /// Difference to a whole sheet, where that is of the next revision.
    fn delta_to(&self, revision: u64, text: &str) -> Option<SheetDelta> {
        let old = self.sheet.as_ref()?;
        if old.revision + 1 != revision {
            return None;
        }
        SheetDelta::between(revision, &old.text, text)
    }

    /// An empty list means that the way from the last sheet is not known.
    fn keep(&mut self, deltas: Vec<SheetDelta>) {
        if deltas.is_empty() {
            self.deltas.clear();
        }
        self.deltas.extend(deltas);
        while self.deltas.len() > RETAINED_DELTAS {
            self.deltas.pop_front();
        }
    }
}

/// Writes a difference.
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

    /// A sheet with one line that changes; differences must be smaller than the sheet.
    fn text(workers: u32) -> String {
        let rest = ["gyor", "pecs", "sopron"]
            .map(|place| format!("pont,{place},9,8,64,score,urgent,no,2000,active,,\n"));
        let changing = format!("pont,szeged,{workers},8,64,score,urgent,no,2000,active,,\n");
        format!("{HEADER}{}{changing}", rest.concat())
    }

    fn whole(revision: u64, workers: u32) -> SheetUpdate {
        SheetUpdate {
            revision,
            sheet: text(workers),
            ..SheetUpdate::default()
        }
    }

    #[test]
    fn a_peer_gets_differences_where_they_are_known() {
        let giver = SheetCache::default();
        for revision in 1..=3 {
            giver
                .take(whole(revision, 10 + u32::try_from(revision).unwrap()))
                .unwrap();
        }
        let taker = SheetCache::default();
        let first = giver.update_since(0).unwrap();
        assert!(first.deltas.is_empty());
        taker.take(whole(1, 11)).unwrap();
        let update = giver.update_since(1).unwrap();
        assert_eq!((update.sheet.as_str(), update.deltas.len()), ("", 2));
        assert_eq!(taker.take(update).unwrap().unwrap().text, text(13));
        assert_eq!(giver.update_since(3), None);
    }

    #[test]
    fn it_never_goes_back_and_keeps_what_it_has() {
        let cache = SheetCache::default();
        cache.take(whole(2, 10)).unwrap();
        assert_eq!(cache.take(whole(1, 9)), Ok(None));
        let broken = SheetUpdate {
            revision: 3,
            sheet: "broken".to_owned(),
            ..SheetUpdate::default()
        };
        assert!(matches!(
            cache.take(broken),
            Err(UpdateError::Unreadable(_))
        ));
        let gap = SheetUpdate {
            revision: 9,
            deltas: vec![WireDelta {
                revision: 9,
                ..WireDelta::default()
            }],
            ..SheetUpdate::default()
        };
        assert_eq!(cache.take(gap), Err(UpdateError::NotFitting));
        assert_eq!(cache.revision(), 2);
    }
}
