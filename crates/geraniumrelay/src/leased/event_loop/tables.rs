//! Applies rows of the platform's store: configuration, workers, entry VMs, plan of cells.

use std::time::{Duration, Instant};

use geraniumrelay_adapter::{Change, Table};
use geraniumrelay_core::leased::Command;
use geraniumrelay_core::leased::cells::CellName;
use log::{info, warn};
use tokio::task::spawn_local;

use super::EventLoop;
use crate::leased::cell::Cell;
use crate::leased::directory::{PLAN_KEY, WorkerChange};
use crate::leased::input::Input;
use crate::leased::links::Link;

/// Time for which the number of workers must be unchanged before a plan of cells is proposed; the
/// workers of a starting deployment register within one heartbeat.
const PLAN_STABLE_TIME: Duration = Duration::from_millis(1_600);

/// Pause before the plan of cells is proposed again.
const PLAN_RETRY_PAUSE: Duration = Duration::from_secs(2);

impl EventLoop {
    /// Applies rows of one table: a snapshot, or the changes since the last read.
    pub(super) fn apply_rows(
        &mut self,
        table: Table,
        is_snapshot: bool,
        rows: &[Change],
        (revision, as_of): (u64, Instant),
    ) {
        if is_snapshot {
            info!(table:% = table, revision, rows = rows.len(); "table_read");
        }
        let now = Instant::now();
        match table {
            Table::Configuration => {
                for change in rows {
                    self.apply_configuration(change.clone(), None);
                }
                self.apply_evacuation_rows(is_snapshot, rows, revision);
            }
            Table::Workers => {
                let changes = self
                    .directory
                    .apply_worker_rows(is_snapshot, rows, revision, now);
                for change in changes {
                    self.on_worker_change(change);
                }
                self.on_workers_listed(as_of, now);
            }
            Table::DurableJobs => {
                self.store_health.records_read();
                self.apply_record_rows(rows);
            }
            // These tables are not watched: their rows are read on a claim or a query of a job.
            Table::Epochs | Table::EndedJobs => {}
            Table::EntryVms => {
                if self.directory.apply_member_rows(is_snapshot, rows) {
                    self.reset_cells(now);
                }
                self.update_links();
            }
        }
    }

    /// Tells the schedulers here that all entries of workers as of a time after their start are known.
    fn on_workers_listed(&mut self, as_of: Instant, now: Instant) {
        let departures = self.directory.departures_known(now);
        for name in self.cell_names() {
            let since = self.cells.get(&name).and_then(|c| c.scheduling_since);
            if since.is_some_and(|since| since <= as_of) {
                self.handle_command(&name, Command::WorkersListed { as_of, departures });
            }
        }
    }

    /// Passes a changed or removed worker to the scheduler of its cell, if it runs here.
    pub(super) fn on_worker_change(&mut self, change: WorkerChange) {
        match change {
            WorkerChange::Seen(entry) => {
                let cell = self.directory.cell_of(&entry);
                self.handle_command(&cell, Command::WorkerSeen(entry));
            }
            WorkerChange::Gone(entry) => {
                let cell = self.directory.cell_of(&entry);
                self.handle_command(&cell, Command::WorkerGone(entry.name));
            }
        }
    }

    /// Reads a snapshot of the workers for a new scheduler: a standby VM reads them rarely, and the
    /// previous scheduler may have used a worker that is not known here yet.
    pub(super) fn read_workers(&self, cell: &CellName) {
        let (store, tx) = (self.components.store.clone(), self.components.tx.clone());
        let cell = cell.clone();
        spawn_local(async move {
            let as_of = Instant::now();
            let listing = match store.list(Table::Workers).await {
                Ok(listing) => listing,
                Err(e) => {
                    // Jobs of the previous scheduler wait until its leases have expired, or the watch has read the table.
                    warn!(cell:% = cell, reason:% = e; "workers_not_read");
                    return;
                }
            };
            tx.send(Input::Rows {
                as_of,
                table: Table::Workers,
                is_snapshot: true,
                rows: listing.rows,
                revision: listing.revision,
            })
            .await;
        });
    }

    /// Replaces all cells by those of the present plan, with new elections; running tasks are found
    /// again by the takeovers that follow.
    pub(super) fn reset_cells(&mut self, now: Instant) {
        for name in self.cell_names() {
            self.pending_jobs.mark_unsent(&name);
        }
        let vm = self.components.vm;
        let names = self.directory.cells();
        info!(cells = names.len(); "cells_made");
        let cell = |name: CellName| (name.clone(), Cell::new(name, vm, now));
        self.cells = names.into_iter().map(cell).collect();
        // The other VMs rank themselves by the heartbeats that they have received for the new cells.
        self.next_heartbeat = now;
    }

    /// Stores a plan of cells where there is none and the workers are too many for one cell. Only
    /// the scheduler of the single cell does so.
    pub(super) fn propose_plan(&mut self, now: Instant) {
        let schedules_single_cell = self.own_token(&CellName::single()).is_some();
        if !schedules_single_cell || now < self.next_plan {
            return;
        }
        let Some(plan) = self.directory.proposed_plan(now, PLAN_STABLE_TIME) else {
            return;
        };
        self.next_plan = now + PLAN_RETRY_PAUSE;
        let (store, text) = (self.components.store.clone(), plan.text());
        info!(cells = plan.names().len(), workers = self.directory.worker_count(); "plan_of_cells_proposed");
        spawn_local(async move {
            let set = store.create(Table::EntryVms, PLAN_KEY, text.as_bytes());
            if let Err(e) = set.await {
                warn!(reason:% = e; "plan_of_cells_not_set");
            }
        });
    }

    /// Starts links to new entry VMs, and drops the links to removed ones and to former addresses.
    pub(super) fn update_links(&mut self) {
        let peers = self.directory.peers(self.components.vm);
        let config_download = &mut self.config_download;
        self.links.retain(|vm, link| {
            let is_listed = peers.get(vm) == Some(&link.address());
            if !is_listed {
                config_download.remove_peer(*vm);
            }
            is_listed
        });
        self.members = peers.keys().copied().collect();
        let (own, incarnation) = (self.components.vm, self.components.incarnation);
        for (vm, address) in peers {
            let (total, tx) = (self.link_load.clone(), self.components.tx.clone());
            self.links
                .entry(vm)
                .or_insert_with(|| Link::start(own, incarnation, (vm, address), total, tx));
        }
    }

    /// Records whether reads of a table succeed.
    pub(super) fn on_store_health(&mut self, table: Table, is_healthy: bool) {
        let had_store = self.store_health.has_store();
        self.store_health.set(table, is_healthy);
        if self.store_health.has_store() != had_store {
            // The elections rank the VMs by it.
            self.next_heartbeat = Instant::now();
        }
        if !is_healthy {
            self.components
                .metrics
                .count_store_error(&table.to_string());
        }
        info!(table:% = table, is_healthy; "store_health_changed");
    }
}
