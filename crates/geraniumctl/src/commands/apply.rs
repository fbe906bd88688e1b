//! `geraniumctl apply`: applies a sheet and waits until it is in force in every data centre.

use std::io::{self, BufRead, IsTerminal, Write};
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_wire::{ApplyOutcome, ApplySheet, AuditEntry, SheetText};

use crate::cli::{ApplyArgs, Session};
use crate::client::{Client, RequestError};
use crate::commands::plan::{self, SHEET_PATH, SheetPlan};
use crate::commands::{check, in_force};
use crate::exit::{Exit, Failure};

/// Wait before a retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Applies a sheet.
///
/// # Errors
/// Any [`Failure`]; the exit code shows whether anything changed.
pub fn run(session: &Session, args: &ApplyArgs, out: &mut impl Write) -> Result<(), Failure> {
    let sheet = check::read(&args.sheet)?;
    let client = Client::new(session)?;
    let plan = plan::prepare(&client, sheet)?;
    plan::print(out, &plan)?;
    if plan.changes.is_empty() {
        return in_force::wait(&client, plan.base, args.timeout, out);
    }
    confirm(args.yes, out)?;
    let req = ApplySheet {
        base: plan.base,
        apply_id: format!("{:032x}", rand::random::<u128>()),
        sheet: plan.sheet.text.clone(),
    };
    let outcome = accept(&client, &req, args.timeout)?;
    if !outcome.accepted {
        return Err(conflict(&client, &plan, &outcome.entries));
    }
    writeln!(
        out,
        "accepted as revision {}, apply id {}",
        outcome.revision, req.apply_id
    )?;
    in_force::wait(&client, outcome.revision, args.timeout, out)
}

fn confirm(is_confirmed: bool, out: &mut impl Write) -> Result<(), Failure> {
    if is_confirmed {
        return Ok(());
    }
    if !io::stdin().is_terminal() {
        let message = "standard input is not a terminal; check the plan and confirm with --yes";
        return Err(Failure::message(Exit::Usage, message));
    }
    write!(out, "apply? [y/N] ")?;
    out.flush()?;
    let mut answer = String::new();
    io::stdin().lock().read_line(&mut answer)?;
    if matches!(answer.trim(), "y" | "yes") {
        return Ok(());
    }
    Err(Failure::message(
        Exit::NotConfirmed,
        "not applied; nothing changed",
    ))
}

/// Retries the request until its outcome is known or `timeout` has passed. The apply id makes the
/// request idempotent.
fn accept(client: &Client, req: &ApplySheet, timeout: Duration) -> Result<ApplyOutcome, Failure> {
    let deadline = Instant::now() + timeout;
    let mut may_have_taken_effect = false;
    let mut entries = client.entries().iter().cycle();
    loop {
        let entry = *entries.next().unwrap_or(&client.entries()[0]);
        let e = match client.post(entry, SHEET_PATH, req) {
            Ok(outcome) => return Ok(outcome),
            Err(e) => e,
        };
        may_have_taken_effect |= matches!(e, RequestError::Unknown { .. });
        if may_have_taken_effect && !e.is_retryable() {
            return Err(outcome_unknown(req, &e));
        }
        if !e.is_retryable() {
            return Err(e.into());
        }
        if Instant::now() >= deadline {
            return Err(if may_have_taken_effect {
                outcome_unknown(req, &e)
            } else {
                e.into()
            });
        }
        thread::sleep(RETRY_INTERVAL);
    }
}

fn outcome_unknown(req: &ApplySheet, e: &RequestError) -> Failure {
    let message = format!(
        "not known whether the sheet was accepted as revision {} (apply id {}): {e}\n\
         run the same apply again; the change is not applied twice",
        req.base + 1,
        req.apply_id
    );
    Failure::message(Exit::Unknown, message)
}

/// Lists the changes that were accepted first and the remaining differences.
fn conflict(client: &Client, plan: &SheetPlan, earlier: &[AuditEntry]) -> Failure {
    let mut lines =
        vec!["another change was accepted first; nothing of this sheet took effect".to_owned()];
    for entry in earlier {
        lines.push(format!(
            "revision {} by {} at {}:",
            entry.revision, entry.who, entry.at
        ));
        lines.extend(entry.changes.iter().map(|change| format!("  {change}")));
    }
    let current = client.get_any::<SheetText>(SHEET_PATH);
    let remaining = current
        .map_err(Failure::from)
        .and_then(|current| plan::difference(&current, &plan.sheet));
    match remaining {
        Ok(changes) if changes.is_empty() => {
            lines.push("the accepted sheet has the same rows as this one".to_owned());
        }
        Ok(changes) => {
            lines.push("this sheet would still change the accepted one:".to_owned());
            lines.extend(changes.iter().map(|change| format!("  {change}")));
            lines.push("coordinate with the operators named above, then run plan again".to_owned());
        }
        Err(e) => lines.push(format!("planning against the accepted sheet failed: {e}")),
    }
    Failure::message(Exit::Conflict, lines.join("\n"))
}
