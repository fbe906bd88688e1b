//! Who schedules the cells.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::election::{Fitness, Transition};
use geraniumrelay_core::leased::{Command, FencingToken, Scheduler};
use log::info;

use super::EventLoop;
use crate::leased::convert;

/// Beats after whose absence a VM is passed over when one takes over.
const FRESH_BEATS: u32 = 2;

impl EventLoop {
    /// Does what the election of a cell decided.
    pub(super) fn follow(&mut self, name: &CellName, step: Transition) {
        let Some(cell) = self.cells.get_mut(name) else {
            return;
        };
        match step {
            Transition::Unchanged => return,
            Transition::TakeOver(token) => return self.take_over(name, token),
            Transition::StepDown(vm) => {
                info!(cell:% = name, to:% = vm, reason = "higher token"; "scheduling_ended");
                cell.drop_scheduler();
            }
            Transition::HandOver(vm) => {
                info!(cell:% = name, to:% = vm, reason = "handed over"; "scheduling_ended");
                cell.drop_scheduler();
                self.beat(Some((name, vm)));
            }
            Transition::Follow(vm, token) => {
                info!(cell:% = name, vm:% = vm, token:% = token; "scheduler_followed");
                cell.drop_scheduler();
                self.parts.metrics.set_token(token.0);
            }
            Transition::SchedulerLost => {
                info!(cell:% = name, open_jobs = self.desk.len(); "scheduler_lost");
                cell.drop_scheduler();
            }
        }
        self.desk.mark_unsent(name);
        self.pass_jobs_on();
    }

    pub(super) fn take_over(&mut self, name: &CellName, token: FencingToken) {
        let now = Instant::now();
        let workers = self.roster.workers_of(name);
        let departed = self.roster.departed_of(name, now);
        info!(
            cell:% = name, token:% = token, round = token.round(), workers = workers.len(),
            departed = departed.len(), open_jobs = self.desk.len();
            "scheduling_begun"
        );
        self.parts.metrics.count_takeover();
        self.parts.metrics.set_token(token.0);
        let knows_departed = self.roster.knows_departed(now);
        let data_centre = Arc::clone(&self.parts.data_centre);
        let Some(cell) = self.cells.get_mut(name) else {
            return;
        };
        let scheduler = Scheduler::new(token, data_centre)
            .with_estimates(cell.estimates.clone())
            .with_departed_known(false);
        let must_read_records = self.has_kept_jobs || !self.knows_kept_jobs;
        let scheduler = if must_read_records {
            scheduler.with_records(name.clone())
        } else {
            scheduler.with_cell(name.clone())
        };
        cell.scheduler = Some(scheduler);
        cell.epoch_lost = None;
        for entry in workers {
            self.command(name, Command::WorkerSeen(entry));
        }
        for entry in departed {
            let worker = entry.name.clone();
            self.command(name, Command::WorkerSeen(entry));
            self.command(name, Command::WorkerGone(worker));
        }
        self.read_workers(name, token, knows_departed);
        // The claim of its cell is sent at once.
        self.command(name, Command::Tick);
        self.beat(None);
        self.desk.mark_unsent(name);
        self.pass_jobs_on();
    }

    pub(super) fn set_fitness(&mut self, now: Instant) {
        let is_barred = self.is_stopping || !self.roster.is_known();
        let has_store = self.sick_tables.is_empty();
        let knows_departed = self.roster.knows_departed(now);
        let peer_fresh = self.follower_beat() * FRESH_BEATS + Duration::from_millis(50);
        let led = self
            .cells
            .values()
            .filter(|c| c.scheduler.is_some())
            .count();
        for cell in self.cells.values_mut() {
            let other_cells = led - usize::from(cell.scheduler.is_some());
            let fitness = Fitness {
                is_local: convert::is_local(&cell.name, &self.parts.data_centre),
                cpu_tenths: self.parts.cpu_tenths,
                other_cells: u32::try_from(other_cells).unwrap_or(u32::MAX),
            };
            cell.election.set_own(is_barred, has_store, now);
            cell.election.set_members(Arc::clone(&self.members));
            cell.election.set_lag(self.lag.mean(), now);
            cell.election.set_fitness(knows_departed, fitness);
            cell.election.set_peer_freshness(peer_fresh);
        }
    }

    pub(super) fn tick_cell(&mut self, name: &CellName, now: Instant) {
        let Some(cell) = self.cells.get_mut(name) else {
            return;
        };
        let step = match cell.outrank_holder(now) {
            Some(step) => step,
            None => cell.election.tick(now, SystemTime::now()),
        };
        let followed = cell.election.followed_since(now);
        let silent = cell.election.timed_out_peers(now);
        let has_scheduler = cell.scheduler.is_some();
        if step != Transition::Unchanged {
            self.follow(name, step);
            self.set_fitness(now);
        }
        if has_scheduler {
            for vm in silent {
                self.command(name, Command::EntryLeft(vm));
            }
            if let Some(since) = followed {
                self.command(name, Command::Followed { since });
            }
            self.command(name, Command::Tick);
        }
    }
}
