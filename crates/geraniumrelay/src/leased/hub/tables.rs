//! Rows of the platform's store: configuration, workers, entry VMs, cells.

use std::rc::Rc;
use std::time::{Duration, Instant};

use geraniumrelay_adapter::store::configuration;
use geraniumrelay_adapter::{Change, Table};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{Command, EntryVm, FencingToken};
use geraniumrelay_wire::leased::Configuration;
use geraniumrelay_wire::leased::peer_message::Body;
use log::{info, warn};
use tokio::task::spawn_local;

use super::EventLoop;
use crate::leased::cell::Cell;
use crate::leased::input::Input;
use crate::leased::links::Link;
use crate::leased::roster::{PLAN_KEY, WorkerChange};

/// Time for which the number of workers must not change before the cells are planned; workers of
/// a deployment that starts enter themselves within one heartbeat.
const PLAN_STEADY: Duration = Duration::from_millis(1_600);

/// Pause before another attempt to set the plan of cells.
const PLAN_PAUSE: Duration = Duration::from_secs(2);

/// Time between two copies of the configuration to the same peer.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(500);

impl EventLoop {
    pub(super) fn take_rows(
        &mut self,
        table: Table,
        is_whole: bool,
        rows: &[Change],
        revision: u64,
    ) {
        if is_whole {
            info!(table:% = table, revision, rows = rows.len(); "table_read");
        }
        let now = Instant::now();
        match table {
            Table::Configuration => {
                for change in rows {
                    self.take_configuration(change.clone(), "store");
                }
            }
            Table::Workers => {
                for news in self.roster.apply_worker_rows(is_whole, rows, now) {
                    self.take_worker_news(news);
                }
            }
            Table::DurableJobs => {
                self.knows_kept_jobs = true;
                self.take_records(rows);
            }
            // Read where a cell is claimed, or a job is asked for.
            Table::Epochs | Table::EndedJobs => {}
            Table::EntryVms => {
                if self.roster.apply_member_rows(is_whole, rows) {
                    self.make_cells(now);
                }
                self.link_to_peers();
            }
        }
    }

    pub(super) fn take_worker_news(&mut self, news: WorkerChange) {
        match news {
            WorkerChange::Seen(entry) => {
                let cell = self.roster.cell_of(&entry);
                self.command(&cell, Command::WorkerSeen(entry));
            }
            WorkerChange::Gone(entry) => {
                let cell = self.roster.cell_of(&entry);
                self.command(&cell, Command::WorkerGone(entry.name));
            }
        }
    }

    /// Reads the workers anew for a new scheduler: a VM that only stands by reads them rarely, and
    /// the scheduler before it may have used one that is not known here yet.
    pub(super) fn read_workers(&self, cell: &CellName, token: FencingToken, knows_departed: bool) {
        let (store, tx, cell) = (
            self.parts.store.clone(),
            self.parts.tx.clone(),
            cell.clone(),
        );
        spawn_local(async move {
            let listing = match store.list(Table::Workers).await {
                Ok(listing) => listing,
                Err(e) => {
                    // Jobs of the scheduler before wait until its leases have lapsed.
                    warn!(cell:% = cell, reason:% = e; "workers_not_read");
                    return;
                }
            };
            tx.send(Input::Rows {
                table: Table::Workers,
                is_whole: true,
                rows: listing.rows,
                revision: listing.revision,
            })
            .await;
            let command = Command::WorkersKnown { knows_departed };
            tx.reply(cell, token, command).await;
        });
    }

    /// Starts anew with the cells of the present plan; what runs is found again by takeover.
    pub(super) fn make_cells(&mut self, now: Instant) {
        for name in self.names() {
            self.desk.mark_unsent(&name);
        }
        let vm = self.parts.vm;
        let names = self.roster.cells();
        info!(cells = names.len(); "cells_made");
        let cell = |name: CellName| (name.clone(), Cell::new(name, vm, now));
        self.cells = names.into_iter().map(cell).collect();
    }

    /// Sets the plan of cells, where there are too many workers for one cell and no plan yet.
    pub(super) fn propose_plan(&mut self, now: Instant) {
        let is_leader = self.own_token(&CellName::single()).is_some();
        if !is_leader || now < self.next_plan {
            return;
        }
        let Some(plan) = self.roster.proposed_plan(now, PLAN_STEADY) else {
            return;
        };
        self.next_plan = now + PLAN_PAUSE;
        let (store, text) = (self.parts.store.clone(), plan.text());
        info!(cells = plan.names().len(), workers = self.roster.worker_count(); "plan_of_cells_proposed");
        spawn_local(async move {
            let set = store.create(Table::EntryVms, PLAN_KEY, text.as_bytes());
            if let Err(e) = set.await {
                warn!(reason:% = e; "plan_of_cells_not_set");
            }
        });
    }

    pub(super) fn take_configuration(&mut self, change: Change, source: &str) {
        let routes = match configuration(&change) {
            Some(Ok(routes)) => routes,
            Some(Err(e)) => {
                warn!(reason:% = e, source; "configuration_refused");
                return;
            }
            None => return,
        };
        let known = self.config_version();
        if routes.version <= known {
            return;
        }
        info!(version = routes.version, previous = known, routes = routes.len(), source; "configuration_in_force");
        self.parts.metrics.set_configuration(routes.version);
        self.configuration = change;
        *self.parts.routes.borrow_mut() = Some(Rc::new(routes));
    }

    pub(super) fn pass_configuration_on(&mut self, to: EntryVm, version: u64) {
        if version >= self.config_version() {
            return;
        }
        let now = Instant::now();
        let last = self.sent_configuration.get(&to);
        if last.is_some_and(|&at| now.saturating_duration_since(at) < CONFIGURATION_PAUSE) {
            return;
        }
        self.sent_configuration.insert(to, now);
        let row = self.configuration.value.clone().unwrap_or_default();
        self.send(to, Body::Configuration(Configuration { row }));
    }

    pub(super) fn link_to_peers(&mut self) {
        let peers = self.roster.peers(self.parts.vm);
        self.links.retain(|vm, _| peers.contains_key(vm));
        self.members = peers.keys().copied().collect();
        let (own, incarnation) = (self.parts.vm, self.parts.incarnation);
        for (vm, address) in peers {
            let tx = self.parts.tx.clone();
            self.links
                .entry(vm)
                .or_insert_with(|| Link::start(own, incarnation, (vm, address), tx));
        }
    }

    pub(super) fn store_health(&mut self, table: Table, is_healthy: bool) {
        let name = match table {
            Table::Configuration => "configuration",
            Table::Workers => "workers",
            Table::EntryVms => "entry-vms",
            Table::DurableJobs => "kept-jobs",
            Table::EndedJobs => "ended-jobs",
            Table::Epochs => "cell-epochs",
        };
        if is_healthy {
            self.sick_tables.remove(name);
        } else {
            self.parts.metrics.count_store_error(name);
            self.sick_tables.insert(name);
        }
        info!(table = name, is_healthy; "store_health_changed");
    }
}
