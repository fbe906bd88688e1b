//! `geraniumctl apply`: from a sheet file to force in every data centre.

use std::io::{self, BufRead, IsTerminal, Write};
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_wire::{ApplyOutcome, ApplySheet, AuditEntry, SheetText};

use crate::cli::{ApplyArgs, Session};
use crate::client::{Client, RequestError};
use crate::commands::plan::{self, Planned, SHEET_PATH};
use crate::commands::{check, in_force};
use crate::exit::{Exit, Failure};

/// Wait before a repeat.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Applies a sheet.
///
/// # Errors
/// Any [`Failure`]; its exit code says whether anything changed.
pub fn run(session: &Session, args: &ApplyArgs, out: &mut impl Write) -> Result<(), Failure> {
    let sheet = check::read(&args.sheet)?;
    let client = Client::new(session)?;
    let planned = plan::prepare(&client, sheet)?;
    plan::print(out, &planned)?;
    if planned.changes.is_empty() {
        return in_force::wait(&client, planned.base, args.timeout, out);
    }
    confirm(args.yes, out)?;
    let req = ApplySheet {
        base: planned.base,
        apply_id: format!("{:032x}", rand::random::<u128>()),
        sheet: planned.sheet.text.clone(),
    };
    let outcome = accept(&client, &req, args.timeout)?;
    if !outcome.accepted {
        return Err(overtaken(&client, &planned, &outcome.entries));
    }
    writeln!(
        out,
        "accepted as revision {}, apply id {}",
        outcome.revision, req.apply_id
    )?;
    in_force::wait(&client, outcome.revision, args.timeout, out)
}

fn confirm(is_sure: bool, out: &mut impl Write) -> Result<(), Failure> {
    if is_sure {
        return Ok(());
    }
    if !io::stdin().is_terminal() {
        let message = "there is no terminal to ask on; look at the plan and add --yes";
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

/// Repeats the request until its outcome is known. The apply id makes repeats harmless.
fn accept(client: &Client, req: &ApplySheet, timeout: Duration) -> Result<ApplyOutcome, Failure> {
    let until = Instant::now() + timeout;
    let mut may_have_run = false;
    let mut entries = client.entries().iter().cycle();
    loop {
        let entry = *entries.next().unwrap_or(&client.entries()[0]);
        let e = match client.post(entry, SHEET_PATH, req) {
            Ok(outcome) => return Ok(outcome),
            Err(e) => e,
        };
        may_have_run |= matches!(e, RequestError::Unknown { .. });
        if may_have_run && !e.is_retryable() {
            return Err(unknown(req, &e));
        }
        if !e.is_retryable() {
            return Err(e.into());
        }
        if Instant::now() >= until {
            return Err(if may_have_run {
                unknown(req, &e)
            } else {
                e.into()
            });
        }
        thread::sleep(REPEAT_INTERVAL);
    }
}

fn unknown(req: &ApplySheet, e: &RequestError) -> Failure {
    let message = format!(
        "not known whether the sheet was accepted as revision {} (apply id {}): {e}\n\
         run the same apply again: it finds out, and applies nothing twice",
        req.base + 1,
        req.apply_id
    );
    Failure::message(Exit::Unknown, message)
}

/// Tells whose change came first and what still differs.
fn overtaken(client: &Client, planned: &Planned, firsts: &[AuditEntry]) -> Failure {
    let mut lines = vec!["another change came first; nothing of this sheet took effect".to_owned()];
    for entry in firsts {
        lines.push(format!(
            "revision {} by {} at {}:",
            entry.revision, entry.who, entry.at
        ));
        lines.extend(entry.changes.iter().map(|change| format!("  {change}")));
    }
    let current = client.get_any::<SheetText>(SHEET_PATH);
    let rest = current
        .map_err(Failure::from)
        .and_then(|current| plan::difference(&current, &planned.sheet));
    match rest {
        Ok(rest) if rest.is_empty() => {
            lines.push("your sheet has the same rows as the one accepted now".to_owned());
        }
        Ok(rest) => {
            lines.push("your sheet still differs from the one accepted now:".to_owned());
            lines.extend(rest.iter().map(|change| format!("  {change}")));
            lines.push("talk to them, then run plan again".to_owned());
        }
        Err(e) => lines.push(format!("on top of the one accepted now: {e}")),
    }
    Failure::message(Exit::Overtaken, lines.join("\n"))
}
