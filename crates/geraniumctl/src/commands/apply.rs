//! `geraniumctl apply`: accepts a sheet.

use std::path::Path;
use std::time::SystemTime;

use anyhow::bail;
use geraniumrelay_core::modules::sheet::parse_sheet;
use geraniumrelay_platform::{
    Acceptance, AuditEntry, PlatformClient, PlatformConfig, SheetRecord, SheetStore,
};

use crate::cli::Cli;
use crate::commands::check;

/// Accepts a sheet on top of the one in force.
///
/// # Errors
/// Faults of the sheet, a platform that can't be reached, or a change that came first.
pub fn run(cli: &Cli, path: &Path) -> anyhow::Result<String> {
    let text = check::read(path)?;
    parse_sheet(0, &text)?;
    let client = PlatformClient::new(PlatformConfig::new(cli.platform.clone()));
    let store = SheetStore::new(&client);
    let base = store.current()?.revision;
    let revision = base + 1;
    let apply_id = format!("{:032x}", rand::random::<u128>());
    let record = SheetRecord {
        revision,
        apply_id: apply_id.clone(),
        sheet: text,
    };
    let audit = AuditEntry {
        revision,
        apply_id,
        who: cli.who.clone(),
        at: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
        changes: Vec::new(),
    };
    match store.accept(base, &record, &audit)? {
        Acceptance::Accepted { revision } => Ok(format!("accepted as revision {revision}")),
        Acceptance::Overtaken { current } => {
            bail!(
                "revision {} came first; nothing of this sheet took effect",
                current.revision
            )
        }
    }
}
