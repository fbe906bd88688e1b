//! Acceptance of a sheet: checked and planned again here, then one transaction.

use std::io::Read;

use geraniumrelay_core::modules::sheet::{
    MAX_SHEET_BYTES, Sheet, SheetDelta, canonical_text, parse_sheet, plan,
};
use geraniumrelay_core::names::OperatorName;
use geraniumrelay_core::{Clock, Command};
use geraniumrelay_platform::{AcceptOutcome, PlatformClient, SheetRecord, SheetStore};
use geraniumrelay_wire::{ApplyOutcome, ApplySheet, AuditEntry, SheetText, SheetUpdate};
use log::info;
use rouille::{Request, Response};

use crate::operator::problem::OperatorProblem;
use crate::operator::server::OperatorApi;
use crate::sheet_cache::write_delta;

/// Largest request: a sheet in JSON, where line ends take two bytes.
const MAX_BODY: u64 = 2 * MAX_SHEET_BYTES as u64;

/// Longest apply id in bytes.
const MAX_APPLY_ID: usize = 64;

/// Largest base; row keys have twelve digits.
const MAX_REVISION: u64 = 999_999_999_998;

/// Most changes that came first to name.
const MAX_NAMED: u32 = 100;

/// Most lines of a difference that the audit trail keeps; a line more says how many are left out.
const MAX_CHANGES: usize = 1_000;

impl<C: Clock> OperatorApi<C> {
    /// `POST /v1/operator/sheet`
    pub(super) fn apply(
        &self,
        who: OperatorName,
        req: &Request,
    ) -> Result<Response, OperatorProblem> {
        let apply = read_apply(req)?;
        let client = PlatformClient::new(self.platform.clone());
        let store = SheetStore::new(&client);
        let next = read_next(&apply)?;
        let base = store.current()?;
        if base.revision != apply.base {
            return settle(&store, &apply);
        }
        let changes = plan(read_base(&base)?.as_ref(), &next)
            .map_err(|e| OperatorProblem::new(422, "plan-refused", e.to_string()))?;
        let record = SheetRecord {
            revision: next.revision,
            apply_id: apply.apply_id.clone(),
            sheet: canonical_text(&next.rows),
        };
        let audit = self.audit_entry(who, &apply, in_words(&changes));
        let delta = SheetDelta::between(next.revision, &base.sheet, &record.sheet);
        let delta = delta.as_ref().map(write_delta);
        let acceptance = store.accept_with_delta(base.revision, &record, &audit, delta.as_ref())?;
        if let AcceptOutcome::Conflict { .. } = acceptance {
            return settle(&store, &apply);
        }
        let (revision, apply_id) = (record.revision, apply.apply_id.as_str());
        info!(revision, who:% = who, apply_id; "sheet_accepted");
        self.put_in_force(record);
        Ok(accepted(audit))
    }

    fn audit_entry(
        &self,
        who: OperatorName,
        apply: &ApplySheet,
        changes: Vec<String>,
    ) -> AuditEntry {
        AuditEntry {
            revision: apply.base + 1,
            apply_id: apply.apply_id.clone(),
            who: who.to_string(),
            at: humantime::format_rfc3339_millis(self.clock.wall()).to_string(),
            changes,
            base: apply.base,
        }
    }

    /// Saves the wait for the next poll.
    fn put_in_force(&self, record: SheetRecord) {
        let update = SheetUpdate {
            revision: record.revision,
            sheet: record.sheet,
            ..SheetUpdate::default()
        };
        if let Ok(Some(sheet)) = self.sheets.take(update) {
            self.decision.tell(Command::ApplySheet(sheet));
        }
    }

    /// `GET /v1/operator/sheet`
    pub(super) fn sheet(&self) -> Result<Response, OperatorProblem> {
        let client = PlatformClient::new(self.platform.clone());
        let current = SheetStore::new(&client).current()?;
        Ok(Response::json(&SheetText {
            revision: current.revision,
            sheet: current.sheet,
        }))
    }
}

/// Tells from the audit trail whose change made the revision after the base.
fn settle(store: &SheetStore<'_>, apply: &ApplySheet) -> Result<Response, OperatorProblem> {
    let entries = store.audit(apply.base, MAX_NAMED)?;
    let own = entries
        .iter()
        .find(|entry| entry.apply_id == apply.apply_id);
    if let Some(own) = own {
        return Ok(accepted(own.clone()));
    }
    Ok(Response::json(&ApplyOutcome {
        accepted: false,
        revision: entries.last().map_or(0, |entry| entry.revision),
        entries,
    }))
}

fn accepted(audit: AuditEntry) -> Response {
    Response::json(&ApplyOutcome {
        accepted: true,
        revision: audit.revision,
        entries: vec![audit],
    })
}

fn read_apply(req: &Request) -> Result<ApplySheet, OperatorProblem> {
    let unusable = |detail: String| OperatorProblem::new(400, "body-unusable", detail);
    let mut buf = Vec::new();
    let body = req.data().ok_or_else(|| unusable("no body".to_owned()))?;
    body.take(MAX_BODY + 1)
        .read_to_end(&mut buf)
        .map_err(|e| unusable(e.to_string()))?;
    if buf.len() as u64 > MAX_BODY {
        return Err(OperatorProblem::new(
            413,
            "body-unusable",
            "the body is too large",
        ));
    }
    let apply: ApplySheet = serde_json::from_slice(&buf).map_err(|e| unusable(e.to_string()))?;
    if !(1..=MAX_APPLY_ID).contains(&apply.apply_id.len()) {
        return Err(unusable(format!("apply_id has 1 to {MAX_APPLY_ID} bytes")));
    }
    if apply.base > MAX_REVISION {
        return Err(unusable(format!("base is at most {MAX_REVISION}")));
    }
    Ok(apply)
}

fn read_next(apply: &ApplySheet) -> Result<Sheet, OperatorProblem> {
    parse_sheet(apply.base + 1, &apply.sheet)
        .map_err(|e| OperatorProblem::new(422, "sheet-faults", e.to_string()))
}

fn read_base(base: &SheetRecord) -> Result<Option<Sheet>, OperatorProblem> {
    if base.revision == 0 {
        return Ok(None);
    }
    let sheet = parse_sheet(base.revision, &base.sheet).map_err(|e| {
        let detail = format!("revision {} can't be read here: {e}", base.revision);
        OperatorProblem::new(500, "base-unreadable", detail)
    })?;
    Ok(Some(sheet))
}

fn in_words<T: ToString>(changes: &[T]) -> Vec<String> {
    let named = changes.iter().take(MAX_CHANGES);
    let mut words: Vec<_> = named.map(ToString::to_string).collect();
    let left_out = changes.len() - words.len();
    if left_out > 0 {
        words.push(format!("and {left_out} more"));
    }
    words
}
