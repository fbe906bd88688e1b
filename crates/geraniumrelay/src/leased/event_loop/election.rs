//! Elections: applies their transitions to the cells' schedulers in this process.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use geraniumrelay_core::Context;
use geraniumrelay_core::collections::Map;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::election::{Fitness, SchedulerStatus, Transition};
use geraniumrelay_core::leased::{Command, DeparturesKnown, FencingToken, Scheduler};
use log::{info, warn};

use super::EventLoop;
use super::confirmations::CALLER_READ_TIME;
use crate::leased::convert;

/// Time after a hand-over in which this VM hands no other cell over: its lag and the successor's
/// heartbeat show by then whether that is needed.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(500);

/// Delay of a hand-over for each cell of the data centre that precedes this one: a takeover and the
/// heartbeat after it.
const HAND_OVER_STAGGER: Duration = Duration::from_millis(150);

/// Number of heartbeat intervals after which an unresponsive VM is not a candidate for a takeover.
const FRESH_HEARTBEATS: u32 = 2;

impl EventLoop {
    /// Applies a transition of a cell's election, and sends the cell's pending jobs to its
    /// scheduler.
    pub(super) fn apply_transition(&mut self, name: &CellName, transition: Transition) {
        let Some(cell) = self.cells.get_mut(name) else {
            return;
        };
        match transition {
            Transition::Unchanged => return,
            Transition::TakeOver(token) => return self.take_over(name, token),
            Transition::RaiseToken(token) => return self.raise_token(name, token),
            Transition::StepDown(vm) => {
                info!(cell:% = name, to:% = vm, reason = "higher token"; "scheduling_ended");
                cell.drop_scheduler();
            }
            Transition::HandOver(vm) => {
                info!(cell:% = name, to:% = vm, reason = "handed over"; "scheduling_ended");
                cell.drop_scheduler();
                self.send_heartbeat(Some((name, vm)));
                let until = Instant::now() + HAND_OVER_PAUSE;
                for cell in self.cells.values_mut() {
                    cell.election.postpone_hand_over(until);
                }
            }
            Transition::Follow(vm, token) => {
                info!(cell:% = name, vm:% = vm, token:% = token; "scheduler_followed");
                self.next_confirmation = Instant::now();
                cell.drop_scheduler();
                self.components.metrics.set_token(token.0);
            }
            Transition::SchedulerLost => {
                info!(cell:% = name, open_jobs = self.pending_jobs.len(); "scheduler_lost");
                cell.drop_scheduler();
            }
        }
        self.pending_jobs.mark_unsent(name);
        self.send_unsent_jobs();
    }

    /// Creates the cell's scheduler here, with the known and the departed workers.
    pub(super) fn take_over(&mut self, name: &CellName, token: FencingToken) {
        let now = Instant::now();
        let workers = self.directory.workers_of(name);
        let departed = self.directory.departed_of(name, now);
        info!(
            cell:% = name, token:% = token, round = token.round(), workers = workers.len(),
            departed = departed.len(), open_jobs = self.pending_jobs.len();
            "scheduling_begun"
        );
        self.components.metrics.count_takeover();
        self.components.metrics.set_token(token.0);
        let data_centre = Arc::clone(&self.components.data_centre);
        let ttl = self.components.cfg.leased.predecessor_ttl;
        let Some(cell) = self.cells.get_mut(name) else {
            return;
        };
        let scheduler = Scheduler::new(token, data_centre)
            .with_estimates(cell.estimates.clone())
            .with_speeds(&cell.speeds)
            .with_departures_known(DeparturesKnown::None)
            .with_predecessors(cell.predecessors(now, ttl))
            .with_records(name.clone());
        cell.scheduler = Some(scheduler);
        cell.scheduling_since = Some(now);
        cell.epoch_lost = None;
        let evacuated = self.evacuations.evacuated().clone();
        self.handle_command(name, Command::Evacuated(evacuated));
        // A worker may have departed from one address and be listed at another one.
        for (entry, at) in departed {
            self.handle_command(name, Command::WorkerDeparted { entry, at });
        }
        for entry in workers {
            self.handle_command(name, Command::WorkerSeen(entry));
        }
        self.read_workers(name);
        // The tick sends the claim of the cell's row without delay.
        self.handle_command(name, Command::Tick);
        self.send_heartbeat(None);
        self.pending_jobs.mark_unsent(name);
        self.send_unsent_jobs();
    }

    /// Updates what the elections know about this VM, its lag and its peers.
    pub(super) fn set_fitness(&mut self, now: Instant) {
        let is_ineligible = !self.can_schedule();
        let has_store = self.store_health.has_store();
        let knows_departed = self.directory.departures_known(now) >= DeparturesKnown::Recent;
        let peer_fresh =
            self.follower_heartbeat_interval() * FRESH_HEARTBEATS + Duration::from_millis(50);
        let scheduled_cells = self
            .cells
            .values()
            .filter(|c| c.scheduler.is_some())
            .count();
        let mut preceding: Map<Option<Arc<str>>, u32> = Map::default();
        for cell in self.cells.values_mut() {
            let preceding = preceding
                .entry(cell.name.data_centre().map(Arc::from))
                .or_default();
            let scheduler = cell.scheduler.as_ref();
            let usable = scheduler.map_or(0, |s| s.snapshot(now).usable);
            cell.election.set_status(SchedulerStatus {
                has_jobs: scheduler.is_some_and(Scheduler::has_jobs),
                can_raise_token: scheduler.is_some_and(Scheduler::can_raise_token),
                usable_workers: u32::try_from(usable).unwrap_or(u32::MAX),
                hand_over_delay: HAND_OVER_STAGGER * *preceding,
            });
            *preceding += 1;
            let other_cells = scheduled_cells - usize::from(cell.scheduler.is_some());
            let fitness = Fitness {
                is_local: convert::is_local(&cell.name, &self.components.data_centre),
                cpu_tenths: self.components.cpu_tenths,
                other_cells: u32::try_from(other_cells).unwrap_or(u32::MAX),
            };
            cell.election.set_own(is_ineligible, has_store, now);
            cell.election.set_members(Arc::clone(&self.members));
            cell.election.set_lag(self.lag.mean(), now);
            cell.election.set_fitness(knows_departed, fitness);
            cell.election.set_peer_freshness(peer_fresh);
        }
    }

    /// Stops scheduling after a pause of this process that was long enough for a takeover by another VM,
    /// before anything that has arrived meanwhile is handled: messages may be as old as the pause, and
    /// permissions that end with time may have run out. `steady_pause` is the part that the steady clock has counted.
    pub(super) fn on_paused(&mut self, pause: Duration, steady_pause: Duration) {
        let cells = self
            .cells
            .values()
            .filter(|c| c.scheduler.is_some())
            .count();
        warn!(pause_ms = pause.as_millis(), cells; "process_paused");
        let now = Instant::now();
        self.holds_jobs_until = now + CALLER_READ_TIME;
        self.pending_jobs
            .suspended(pause.saturating_sub(steady_pause));
        for name in self.cell_names() {
            if let Some(cell) = self.cells.get_mut(&name) {
                let transition = cell.election.on_paused(now);
                self.apply_transition(&name, transition);
            }
        }
    }

    /// Raises the token of the cell's scheduler here, and announces it at once.
    fn raise_token(&mut self, name: &CellName, token: FencingToken) {
        let cx = Context::new(Instant::now(), &self.components.cfg);
        let Some(cell) = self.cells.get_mut(name) else {
            return;
        };
        let Some(scheduler) = &mut cell.scheduler else {
            return;
        };
        cell.epoch_lost = None;
        info!(cell:% = name, former:% = scheduler.token(), token:% = token; "token_raised");
        let mut out = Vec::new();
        scheduler.raise_token(&cx, token, &mut out);
        for effect in out {
            self.execute(name, token, effect);
        }
        self.components.metrics.set_token(token.0);
        self.send_heartbeat(None);
        // Answers with the new token count only for jobs that were sent with it.
        self.pending_jobs.mark_unsent(name);
        self.send_unsent_jobs();
    }

    /// Runs the timers of a cell's election and of its scheduler.
    pub(super) fn tick_cell(&mut self, name: &CellName, now: Instant) {
        let Some(cell) = self.cells.get_mut(name) else {
            return;
        };
        cell.note_scheduler(now, self.components.cfg.leased.predecessor_ttl);
        let transition = match cell.outrank_holder(now) {
            Some(transition) => transition,
            None => cell.election.tick(now, SystemTime::now()),
        };
        let followed_since = cell.election.followed_since(now);
        let timed_out = cell.election.timed_out_peers(now);
        let has_scheduler = cell.scheduler.is_some();
        if transition != Transition::Unchanged {
            self.apply_transition(name, transition);
            self.set_fitness(now);
        }
        let cell = self.cells.get_mut(name);
        if let Some(token) = cell.and_then(|c| c.token_to_raise(now)) {
            self.raise_token(name, token);
        }
        if has_scheduler {
            for (vm, since) in timed_out {
                self.handle_command(name, Command::EntrySilent { vm, since });
            }
            if let Some(since) = followed_since {
                self.handle_command(name, Command::Followed { since });
            }
            self.handle_command(name, Command::Tick);
        }
    }
}
