//! Acceptance of a sheet: checks and plans it again on this VM, then stores it in one transaction.

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

/// Maximum size of a request body: a sheet as a JSON string, which escapes line ends to two bytes.
const MAX_BODY_BYTES: u64 = 2 * MAX_SHEET_BYTES as u64;

/// Maximum length of an apply id.
const MAX_APPLY_ID_BYTES: usize = 64;

/// Maximum base revision; row keys hold the next revision in twelve digits.
const MAX_BASE_REVISION: u64 = 999_999_999_998;

/// Maximum number of audit entries that are listed as conflicting with a request.
const MAX_CONFLICTS: u32 = 100;

/// Maximum number of changes in an audit entry; one further line counts the omitted ones.
const MAX_AUDIT_CHANGES: usize = 1_000;

impl<C: Clock> OperatorApi<C> {
    /// `POST /v1/operator/sheet`
    pub(super) fn apply(
        &self,
        operator: OperatorName,
        req: &Request,
    ) -> Result<Response, OperatorProblem> {
        let apply = read_apply(req)?;
        let client = PlatformClient::new(self.platform.clone());
        let store = SheetStore::new(&client);
        let next = parse_next(&apply)?;
        let base = store.current()?;
        if base.revision != apply.base {
            return resolve_conflict(&store, &apply);
        }
        let changes = plan(parse_base(&base)?.as_ref(), &next)
            .map_err(|e| OperatorProblem::new(422, "plan-refused", e.to_string()))?;
        let record = SheetRecord {
            revision: next.revision,
            apply_id: apply.apply_id.clone(),
            sheet: canonical_text(&next.rows),
        };
        let audit = self.audit_entry(operator, &apply, describe(&changes));
        let delta = SheetDelta::between(next.revision, &base.sheet, &record.sheet);
        let delta = delta.as_ref().map(write_delta);
        let acceptance = store.accept_with_delta(base.revision, &record, &audit, delta.as_ref())?;
        if let AcceptOutcome::Conflict { .. } = acceptance {
            return resolve_conflict(&store, &apply);
        }
        let (revision, apply_id) = (record.revision, apply.apply_id.as_str());
        info!(revision, who:% = operator, apply_id; "sheet_accepted");
        self.apply_locally(record);
        Ok(accepted(audit))
    }

    fn audit_entry(
        &self,
        operator: OperatorName,
        apply: &ApplySheet,
        changes: Vec<String>,
    ) -> AuditEntry {
        AuditEntry {
            revision: apply.base + 1,
            apply_id: apply.apply_id.clone(),
            who: operator.to_string(),
            at: humantime::format_rfc3339_millis(self.clock.wall()).to_string(),
            changes,
            base: apply.base,
        }
    }

    /// Applies an accepted sheet on this VM at once, without waiting for the next poll of the
    /// platform.
    fn apply_locally(&self, record: SheetRecord) {
        let update = SheetUpdate {
            revision: record.revision,
            sheet: record.sheet,
            ..SheetUpdate::default()
        };
        if let Ok(Some(sheet)) = self.sheets.apply(update) {
            self.decision.send(Command::ApplySheet(sheet));
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

/// Looks up in the audit trail whether this request was accepted earlier; if not, responds with the
/// entries accepted since its base.
fn resolve_conflict(
    store: &SheetStore<'_>,
    apply: &ApplySheet,
) -> Result<Response, OperatorProblem> {
    let entries = store.audit(apply.base, MAX_CONFLICTS)?;
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
    let invalid_body = |detail: String| OperatorProblem::new(400, "body-unusable", detail);
    let mut buf = Vec::new();
    let body = req
        .data()
        .ok_or_else(|| invalid_body("no body".to_owned()))?;
    body.take(MAX_BODY_BYTES + 1)
        .read_to_end(&mut buf)
        .map_err(|e| invalid_body(e.to_string()))?;
    if buf.len() as u64 > MAX_BODY_BYTES {
        return Err(OperatorProblem::new(
            413,
            "body-unusable",
            "the body is too large",
        ));
    }
    let apply: ApplySheet =
        serde_json::from_slice(&buf).map_err(|e| invalid_body(e.to_string()))?;
    if !(1..=MAX_APPLY_ID_BYTES).contains(&apply.apply_id.len()) {
        return Err(invalid_body(format!(
            "apply_id has 1 to {MAX_APPLY_ID_BYTES} bytes"
        )));
    }
    if apply.base > MAX_BASE_REVISION {
        return Err(invalid_body(format!("base is at most {MAX_BASE_REVISION}")));
    }
    Ok(apply)
}

fn parse_next(apply: &ApplySheet) -> Result<Sheet, OperatorProblem> {
    parse_sheet(apply.base + 1, &apply.sheet)
        .map_err(|e| OperatorProblem::new(422, "sheet-faults", e.to_string()))
}

fn parse_base(base: &SheetRecord) -> Result<Option<Sheet>, OperatorProblem> {
    if base.revision == 0 {
        return Ok(None);
    }
    let sheet = parse_sheet(base.revision, &base.sheet).map_err(|e| {
        let detail = format!("revision {} can't be read here: {e}", base.revision);
        OperatorProblem::new(500, "base-unreadable", detail)
    })?;
    Ok(Some(sheet))
}

fn describe<T: ToString>(changes: &[T]) -> Vec<String> {
    let listed = changes.iter().take(MAX_AUDIT_CHANGES);
    let mut lines: Vec<_> = listed.map(ToString::to_string).collect();
    let omitted = changes.len() - lines.len();
    if omitted > 0 {
        lines.push(format!("and {omitted} more"));
    }
    lines
}
