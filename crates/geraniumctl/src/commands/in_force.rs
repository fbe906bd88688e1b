//! Waits until a revision is in force in every data centre.

use std::collections::BTreeMap;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_wire::{EntryStatus, StatusReport};

use crate::client::Client;
use crate::commands::status::STATUS_PATH;
use crate::exit::{Exit, Failure};
use crate::table::Table;

/// Time between two status polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// State of a data centre while a revision comes into force.
#[derive(Debug, Clone, Default)]
struct Progress {
    /// Number of known entry VMs.
    entries: usize,
    /// Number of entry VMs that can be reached.
    reached: usize,
    /// Lowest revision in force at the reached entry VMs.
    revision: u64,
    /// Time until the revision was in force at all reached entry VMs; `None` until then.
    took: Option<Duration>,
}

impl Progress {
    fn state(&self, revision: u64) -> &'static str {
        if self.reached == 0 {
            "can't be reached"
        } else if self.revision < revision {
            "not yet in force"
        } else if self.reached < self.entries {
            "in force, some entry VMs can't be reached"
        } else {
            "in force"
        }
    }

    fn is_done(&self, revision: u64) -> bool {
        self.reached > 0 && self.revision >= revision
    }
}

/// Waits until `revision` is in force in every data centre, then prints a table of the data
/// centres.
///
/// # Errors
/// [`Exit::NotInForce`] after `timeout`, with the data centres where it is not in force.
pub(super) fn wait(
    client: &Client,
    revision: u64,
    timeout: Duration,
    out: &mut impl Write,
) -> Result<(), Failure> {
    let started = Instant::now();
    let mut progress: BTreeMap<String, Progress> = BTreeMap::new();
    loop {
        // Errors are ignored, as a later poll may succeed.
        if let Ok(report) = client.get_any::<StatusReport>(STATUS_PATH) {
            update(&mut progress, &report.entries, revision, started.elapsed());
        }
        let is_done = progress.values().all(|dc| dc.is_done(revision)) && !progress.is_empty();
        if is_done || started.elapsed() >= timeout {
            break;
        }
        thread::sleep(POLL_INTERVAL);
    }
    write!(out, "{}", table(&progress, revision))?;
    let missing: Vec<_> = progress
        .iter()
        .filter(|(_, dc)| !dc.is_done(revision))
        .map(|(name, dc)| format!("{name} ({})", dc.state(revision)))
        .collect();
    if missing.is_empty() && !progress.is_empty() {
        return Ok(());
    }
    let message = format!(
        "revision {revision} is accepted, but is not known to be in force in: {}\n\
         it comes into force there without another apply; check with geraniumctl status",
        if missing.is_empty() {
            "any data centre".to_owned()
        } else {
            missing.join(", ")
        }
    );
    Err(Failure::message(Exit::NotInForce, message))
}

fn update(
    progress: &mut BTreeMap<String, Progress>,
    entries: &[EntryStatus],
    revision: u64,
    elapsed: Duration,
) {
    let mut latest: BTreeMap<String, Progress> = BTreeMap::new();
    for entry in entries {
        let dc = latest.entry(entry.data_centre.clone()).or_default();
        dc.entries += 1;
        if entry.reached {
            let lowest = if dc.reached == 0 {
                u64::MAX
            } else {
                dc.revision
            };
            dc.revision = lowest.min(entry.revision);
            dc.reached += 1;
        }
    }
    for (name, dc) in &mut latest {
        let known = progress.get(name).and_then(|dc| dc.took);
        dc.took = known.or_else(|| dc.is_done(revision).then_some(elapsed));
    }
    *progress = latest;
}

fn table(progress: &BTreeMap<String, Progress>, revision: u64) -> Table {
    let mut table = Table::new(&["data centre", "revision", "entry VMs", "seconds", "state"]);
    for (name, dc) in progress {
        let took = dc.took.filter(|_| dc.is_done(revision));
        let seconds = took.map_or_else(
            || "-".to_owned(),
            |took| format!("{:.2}", took.as_secs_f64()),
        );
        table.push([
            name.clone(),
            if dc.reached == 0 {
                "?".to_owned()
            } else {
                dc.revision.to_string()
            },
            format!("{} of {}", dc.reached, dc.entries),
            seconds,
            dc.state(revision).to_owned(),
        ]);
    }
    table
}
