//! Directory of the workers, the entry VMs and the plan of cells, from the platform's store.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_adapter::Change;
use geraniumrelay_adapter::worker_entry::worker_entry;
use geraniumrelay_core::collections::{Map, Set};
use geraniumrelay_core::configs::leased::LeasedConfig;
use geraniumrelay_core::leased::cells::{CellName, CellPlan};
use geraniumrelay_core::leased::{DeparturesKnown, EntryVm, WorkerEntry, WorkerName, WorkerState};
use log::{info, warn};

/// Key of the plan of cells in the entry VMs' table.
pub(super) const PLAN_KEY: &str = "cells";

/// A change of the list of workers: an entry was added or changed (`Seen`), or removed (`Gone`).
#[derive(Debug)]
pub(super) enum WorkerChange {
    Seen(WorkerEntry),
    Gone(WorkerEntry),
}

/// A worker's entry with the version of its row.
#[derive(Debug)]
struct ListedWorker {
    entry: WorkerEntry,
    version: u64,
}

/// The workers and entry VMs that the store lists.
#[derive(Debug)]
pub(super) struct Directory {
    workers: Map<WorkerName, ListedWorker>,
    /// Number of listed workers with each label, by data centre.
    labels: Map<Arc<str>, BTreeMap<Arc<str>, usize>>,
    /// Version of the store up to which all changes of the workers' entries have been applied.
    workers_version: u64,
    /// Time of the first read of the workers' entries, and time of the last change of their number.
    workers_since: Option<(Instant, Instant)>,
    /// Workers that may still run tasks although the store does not list them at this address, and
    /// the time of their departure: the entry was removed in the state `Ready`, or names another
    /// address.
    departed: Map<(WorkerName, SocketAddr), (WorkerEntry, Instant)>,
    /// Time for which departed workers are polled.
    departed_ttl: Duration,
    /// Time for which they are remembered after that.
    absent_ttl: Duration,
    is_first_start: bool,
    members: BTreeMap<String, SocketAddr>,
    knows_members: bool,
    plan: Option<CellPlan>,
}

impl Directory {
    pub(super) fn new(cfg: &LeasedConfig, is_first_start: bool) -> Self {
        Self {
            workers: Map::default(),
            labels: Map::default(),
            workers_version: 0,
            workers_since: None,
            departed: Map::default(),
            departed_ttl: cfg.departed_ttl,
            absent_ttl: cfg.absent_ttl,
            is_first_start,
            members: BTreeMap::new(),
            knows_members: false,
            plan: None,
        }
    }

    /// Whether workers and entry VMs are known, so that this VM can schedule.
    pub(super) fn can_schedule(&self) -> bool {
        !self.workers.is_empty() && self.knows_members
    }

    /// Which workers are known that may still run a task although they have departed, by the time of watching; all at
    /// once where no entry process has run before.
    pub(super) fn departures_known(&self, now: Instant) -> DeparturesKnown {
        let Some((since, _)) = self.workers_since else {
            return DeparturesKnown::None;
        };
        let watched = now.saturating_duration_since(since);
        if self.is_first_start || watched >= self.departed_ttl + self.absent_ttl {
            DeparturesKnown::All
        } else if watched >= self.departed_ttl {
            DeparturesKnown::Recent
        } else {
            DeparturesKnown::None
        }
    }

    /// Number of listed workers of all cells.
    pub(super) fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Whether any listed worker is in a data centre.
    pub(super) fn has_workers_in(&self, data_centre: &str) -> bool {
        let mut workers = self.workers.values();
        workers.any(|w| *w.entry.data_centre == *data_centre)
    }

    /// Data centre of a rack; `None` unless all workers with this label are in the same one.
    pub(super) fn data_centre_of_rack(&self, rack: &str) -> Option<&Arc<str>> {
        let mut data_centres = self.labels.get(rack)?.keys();
        data_centres
            .next()
            .filter(|_| data_centres.next().is_none())
    }

    /// Data centre in which the most tasks of a job have their data, by the number of tasks that prefer each
    /// rack.
    pub(super) fn data_centre_of_data(&self, racks: &[(Arc<str>, u32)]) -> Option<&Arc<str>> {
        let mut tasks: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        for (rack, count) in racks {
            if let Some(data_centre) = self.data_centre_of_rack(rack) {
                *tasks.entry(data_centre).or_default() += u64::from(*count);
            }
        }
        let most = tasks.into_iter().max_by_key(|&(_, count)| count);
        most.map(|(data_centre, _)| data_centre)
    }

    fn add_labels(&mut self, entry: &WorkerEntry) {
        for label in &entry.labels {
            let data_centres = self.labels.entry(Arc::clone(label)).or_default();
            let data_centre = Arc::clone(&entry.data_centre);
            *data_centres.entry(data_centre).or_default() += 1;
        }
    }

    fn remove_labels(&mut self, entry: &WorkerEntry) {
        for label in &entry.labels {
            let Some(data_centres) = self.labels.get_mut(label) else {
                continue;
            };
            if let Some(count) = data_centres.get_mut(&entry.data_centre) {
                *count -= 1;
                if *count == 0 {
                    data_centres.remove(&entry.data_centre);
                }
            }
            if data_centres.is_empty() {
                self.labels.remove(label);
            }
        }
    }

    /// Listed workers that belong to a cell by the present plan.
    pub(super) fn workers_of(&self, cell: &CellName) -> Vec<WorkerEntry> {
        let workers = self.workers.values().map(|w| &w.entry);
        workers
            .filter(|w| self.cell_of(w) == *cell)
            .cloned()
            .collect()
    }

    /// Workers of a cell that have departed and may still run a task, and when each departed; drops the others.
    pub(super) fn departed_of(
        &mut self,
        cell: &CellName,
        now: Instant,
    ) -> Vec<(WorkerEntry, Instant)> {
        let ttl = self.departed_ttl + self.absent_ttl;
        self.departed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < ttl);
        let departed = self.departed.values();
        departed
            .filter(|(w, _)| self.cell_of(w) == *cell)
            .cloned()
            .collect()
    }

    /// The cell of a worker; the single cell where there is no plan.
    pub(super) fn cell_of(&self, worker: &WorkerEntry) -> CellName {
        let plan = self.plan.as_ref();
        plan.map_or_else(CellName::single, |plan| {
            plan.cell_of(&worker.name, &worker.data_centre)
        })
    }

    /// All cells of the present plan.
    pub(super) fn cells(&self) -> Vec<CellName> {
        self.plan.clone().unwrap_or_default().names()
    }

    /// The plan of cells for the present workers; `None` where there is a plan already, or the
    /// number of workers has changed within `stable_for`.
    pub(super) fn proposed_plan(&self, now: Instant, stable_for: Duration) -> Option<CellPlan> {
        let (_, changed) = self.workers_since?;
        let is_stable = now.saturating_duration_since(changed) >= stable_for;
        if self.plan.is_some() || !self.knows_members || !is_stable {
            return None;
        }
        let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for worker in self.workers.values() {
            let data_centre = Arc::clone(&worker.entry.data_centre);
            *counts.entry(data_centre).or_insert(0) += 1;
        }
        CellPlan::for_workers(&counts)
    }

    /// Applies rows of the workers' table as of `version`, and returns the changes. Ignores what is
    /// older than the known rows, as a snapshot for a takeover is read beside the changes. An entry
    /// that can't be read counts as removed.
    pub(super) fn apply_worker_rows(
        &mut self,
        is_snapshot: bool,
        rows: &[Change],
        version: u64,
        now: Instant,
    ) -> Vec<WorkerChange> {
        let count = self.workers.len();
        let mut worker_changes = Vec::new();
        let mut listed: Set<WorkerName> = Set::default();
        for change in rows {
            let name = WorkerName(change.key.as_str().into());
            listed.insert(name.clone());
            if self.is_outdated(&name, change.version) {
                continue;
            }
            match change
                .value
                .as_deref()
                .map(|v| worker_entry(&change.key, v))
            {
                Some(Ok(entry)) => {
                    worker_changes.extend(self.worker_seen(entry, change.version, now));
                }
                Some(Err(e)) => {
                    warn!(worker = change.key.as_str(), reason:% = e; "worker_entry_refused");
                    worker_changes.extend(self.worker_gone(&name, now));
                }
                None => worker_changes.extend(self.worker_gone(&name, now)),
            }
        }
        if is_snapshot {
            let workers = self.workers.iter();
            let gone = workers.filter(|(name, w)| !listed.contains(*name) && w.version <= version);
            let gone: Vec<_> = gone.map(|(name, _)| name.clone()).collect();
            for name in gone {
                worker_changes.extend(self.worker_gone(&name, now));
            }
        }
        self.workers_version = self.workers_version.max(version);
        let (since, changed) = self.workers_since.unwrap_or((now, now));
        let is_changed = count != self.workers.len();
        self.workers_since = Some((since, if is_changed { now } else { changed }));
        worker_changes
    }

    /// Whether a row of this version is known already, or a newer one of the same worker. The later
    /// pages of a snapshot may be newer than its version.
    fn is_outdated(&self, name: &WorkerName, version: u64) -> bool {
        let known = self.workers.get(name).map_or(0, |w| w.version);
        version <= known.max(self.workers_version)
    }

    fn worker_seen(
        &mut self,
        entry: WorkerEntry,
        version: u64,
        now: Instant,
    ) -> Option<WorkerChange> {
        let known = self.workers.get_mut(&entry.name);
        if let Some(known) = known.filter(|w| w.entry == entry) {
            known.version = version;
            return None;
        }
        info!(worker:% = entry.name, state:% = entry.state, address:% = entry.address, born = entry.instance_started_unix_ms.unwrap_or(0); "worker_seen");
        let (name, address) = (entry.name.clone(), entry.address);
        self.departed.remove(&(name.clone(), address));
        let worker = ListedWorker {
            entry: entry.clone(),
            version,
        };
        let former = self.workers.insert(name, worker).map(|w| w.entry);
        self.add_labels(&entry);
        if let Some(former) = &former {
            self.remove_labels(former);
        }
        if let Some(former) = former.filter(|f| f.address != address) {
            self.add_departed(former, now);
        }
        Some(WorkerChange::Seen(entry))
    }

    fn worker_gone(&mut self, name: &WorkerName, now: Instant) -> Option<WorkerChange> {
        let ListedWorker { entry, .. } = self.workers.remove(name)?;
        self.remove_labels(&entry);
        info!(worker:% = name, state:% = entry.state; "worker_gone");
        if entry.state == WorkerState::Ready {
            self.add_departed(entry.clone(), now);
        }
        Some(WorkerChange::Gone(entry))
    }

    fn add_departed(&mut self, entry: WorkerEntry, now: Instant) {
        let key = (entry.name.clone(), entry.address);
        self.departed.insert(key, (entry, now));
    }

    /// Applies rows of the entry VMs' table; `true` where the plan of cells has changed.
    pub(super) fn apply_member_rows(&mut self, is_snapshot: bool, rows: &[Change]) -> bool {
        if is_snapshot {
            self.members.clear();
            self.knows_members = true;
        }
        let before = self.plan.clone();
        for change in rows {
            let text = change.value.as_deref().map(String::from_utf8_lossy);
            if change.key == PLAN_KEY {
                self.apply_plan(text.as_deref());
                continue;
            }
            match text.map(|t| t.parse::<SocketAddr>()) {
                Some(Ok(address)) => {
                    self.members.insert(change.key.clone(), address);
                }
                Some(Err(e)) => {
                    warn!(vm = change.key.as_str(), reason:% = e; "member_refused");
                }
                None => {
                    self.members.remove(&change.key);
                }
            }
        }
        self.plan != before
    }

    /// Applies a plan of cells; an unreadable plan is refused, and the plan in force stays.
    fn apply_plan(&mut self, text: Option<&str>) {
        match text.map(CellPlan::parse) {
            Some(Ok(plan)) => {
                info!(cells = plan.names().len(); "plan_of_cells");
                self.plan = Some(plan);
            }
            Some(Err(e)) => warn!(reason:% = e; "plan_of_cells_refused"),
            None => {}
        }
    }

    /// The other entry VMs with their peer addresses.
    pub(super) fn peers(&self, own: EntryVm) -> Map<EntryVm, SocketAddr> {
        let mut peers = Map::default();
        for &address in self.members.values() {
            if let IpAddr::V4(ip) = address.ip()
                && EntryVm(ip) != own
            {
                peers.insert(EntryVm(ip), address);
            }
        }
        peers
    }
}
