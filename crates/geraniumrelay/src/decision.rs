//! Decision thread: the only owner of the dispatcher, so that decisions need no locks. It takes
//! inputs from a bounded channel and passes the resulting effects to the other threads.

use std::sync::Arc;
use std::time::{Duration, Instant};

use flume::{Receiver, RecvTimeoutError, Sender};
use geraniumrelay_core::collections::Set;
use geraniumrelay_core::modules::membership::PeerChange;
use geraniumrelay_core::{Clock, Command, Config, Context, Dispatcher, Effect, Reply, Waiter};
use log::{info, warn};
use slotmap::{KeyData, SlotMap, new_key_type};

use crate::dispatch::{DispatchTx, TaskStartCall};
use crate::journal::JournalTx;
use crate::metrics::Metrics;
use crate::peers::{PeerCommand, PeerTx};
use crate::requests::{Call, Input, OwnStatus, Requester};

/// Maximum time between two ticks of the dispatcher.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Inputs taken from the channel without waiting, between two checks for a due tick.
const MAX_BATCH: usize = 256;

/// Time between two checks for waiters that have disconnected.
const WAITER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

new_key_type! {
    struct WaiterKey;
}

/// Channels to the threads that carry out effects.
#[derive(Debug)]
pub struct Outputs {
    /// Channels to the dispatch threads, which call targets.
    pub dispatch: DispatchTx,
    /// Channel to the journal thread.
    pub journal: JournalTx,
    /// Channel to the peer transport.
    pub peers: PeerTx,
    /// Receives one message when the graceful stop after [`Command::Drain`] is complete.
    pub drained: Sender<()>,
}

/// State of the decision thread.
#[derive(Debug)]
pub struct DecisionThread<C> {
    clock: C,
    cfg: Config,
    dispatcher: Dispatcher,
    outputs: Outputs,
    metrics: Arc<Metrics>,
    waiters: SlotMap<WaiterKey, Sender<Reply>>,
    waiters_checked_at: Instant,
    effects: Vec<Effect>,
}

impl<C: Clock> DecisionThread<C> {
    /// Creates the state of the thread; [`Self::run`] is its main loop.
    pub fn new(
        clock: C,
        cfg: Config,
        dispatcher: Dispatcher,
        outputs: Outputs,
        metrics: Arc<Metrics>,
    ) -> Self {
        let waiters_checked_at = clock.now();
        let (waiters, effects) = (SlotMap::with_key(), Vec::new());
        Self {
            clock,
            cfg,
            dispatcher,
            outputs,
            metrics,
            waiters,
            waiters_checked_at,
            effects,
        }
    }

    /// Handles inputs until all senders are dropped.
    pub fn run(mut self, rx: &Receiver<Input>) {
        let mut next_tick = self.clock.now();
        loop {
            match rx.recv_deadline(self.tick_deadline(next_tick)) {
                Ok(input) => self.handle_batch(input, rx),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = self.clock.now();
            if now >= self.tick_deadline(next_tick) {
                next_tick = now + TICK_INTERVAL;
                self.handle_command(now, Command::Tick);
                let cx = Context::new(now, &self.cfg);
                self.metrics.set_live_peers(self.dispatcher.live_peers(&cx));
                self.metrics
                    .set_membership_stable(self.dispatcher.is_membership_stable(&cx));
                self.metrics.set_targets(self.dispatcher.target_count());
                self.drop_disconnected_waiters(now);
                self.metrics.load.set(&self.dispatcher.load());
            }
        }
    }

    /// Time of the next tick: `next_tick`, or earlier where the dispatcher has something due.
    fn tick_deadline(&self, next_tick: Instant) -> Instant {
        self.dispatcher
            .next_wake()
            .map_or(next_tick, |at| at.min(next_tick))
    }

    fn handle_batch(&mut self, first: Input, rx: &Receiver<Input>) {
        let now = self.clock.now();
        self.handle_input(now, first);
        for input in rx.try_iter().take(MAX_BATCH) {
            self.handle_input(now, input);
        }
    }

    fn handle_input(&mut self, now: Instant, input: Input) {
        match input {
            Input::Call { call, tx } => {
                let waiter = Waiter(self.waiters.insert(tx).0.as_ffi());
                self.handle_command(now, command_from_call(call, waiter));
            }
            Input::LendSlots { req, tx } => {
                let waiter = Waiter(self.waiters.insert(tx).0.as_ffi());
                self.handle_command(now, Command::LendSlots { req, waiter });
            }
            Input::HandOver { message, tx } => {
                let waiter = Waiter(self.waiters.insert(tx).0.as_ffi());
                self.handle_command(now, Command::ReceiveHandOver { message, waiter });
            }
            Input::Command(cmd) => self.handle_command(now, cmd),
            Input::QueryTargets { tx } => {
                // The requester may have timed out.
                let _ = tx.send(self.dispatcher.target_infos());
            }
            Input::QueryStatus { requester, tx } => {
                // The requester may have timed out.
                let _ = tx.send(self.own_status(now, requester));
            }
            Input::QueryReport { query, tx } => {
                let cx = Context::new(now, &self.cfg);
                // The requester may have timed out.
                let _ = tx.send(self.dispatcher.report(&cx, query));
            }
            Input::Query { query, tx } => {
                // The requester may have timed out.
                let _ = tx.send(self.dispatcher.query(query));
            }
        }
    }

    fn handle_command(&mut self, now: Instant, cmd: Command) {
        let mut effects = std::mem::take(&mut self.effects);
        let cx = Context::new(now, &self.cfg);
        self.dispatcher.handle(&cx, cmd, &mut effects);
        for effect in effects.drain(..) {
            self.apply_effect(now, effect);
        }
        self.effects = effects;
        self.metrics
            .set_jobs_in_flight(self.dispatcher.jobs_in_flight());
    }

    fn apply_effect(&mut self, now: Instant, effect: Effect) {
        match effect {
            Effect::Start {
                task,
                id,
                address,
                payload,
                lease,
            } => {
                self.metrics.count_start();
                let start = TaskStartCall {
                    task,
                    id,
                    address,
                    payload,
                    lease,
                };
                if let Some(not_started) = self.outputs.dispatch.start(start) {
                    self.handle_command(now, not_started);
                }
            }
            Effect::Stop { id, address } => self.outputs.dispatch.stop(id, address),
            Effect::Reply { waiter, reply } => {
                if let Some(tx) = self.take_waiter(waiter) {
                    // The waiter may have disconnected.
                    let _ = tx.try_send(reply);
                }
            }
            Effect::Journal(entry) => self.outputs.journal.record(entry),
            Effect::Forward {
                waiter,
                address,
                call,
                timeout,
            } => {
                self.metrics.count_forward();
                if let Some(tx) = self.take_waiter(waiter) {
                    self.outputs.peers.send(PeerCommand::Forward {
                        address,
                        call,
                        timeout,
                        tx,
                    });
                }
            }
            Effect::HandOver { address, message } => {
                self.outputs
                    .peers
                    .send(PeerCommand::HandOver { address, message });
            }
            Effect::ReportHandOver { owner, stage } => {
                self.metrics.peers().count_hand_over(stage);
                info!(owner:%, stage:%; "hand_over");
            }
            Effect::Heartbeat {
                address,
                status,
                known_digest,
            } => self.outputs.peers.send(PeerCommand::Heartbeat {
                address,
                status,
                known_digest,
            }),
            Effect::ReportPeerChange(change) => log_peer_change(&change),
            Effect::FetchTargets { address } => {
                self.outputs
                    .peers
                    .send(PeerCommand::FetchTargets { address });
            }
            Effect::FetchSheet { address } => {
                self.outputs.peers.send(PeerCommand::FetchSheet { address });
            }
            Effect::Borrow { address, req } => {
                self.metrics.load.count_borrow_request();
                self.outputs
                    .peers
                    .send(PeerCommand::Borrow { address, req });
            }
            Effect::Return(slot_return) => {
                self.outputs.peers.send(PeerCommand::Return(slot_return));
            }
            Effect::TargetEjected { vm } => {
                self.metrics.load.count_ejection();
                warn!(target:% = vm; "target_ejected");
            }
            Effect::SheetInForce { revision } => {
                self.metrics.set_revision(revision);
                info!(revision; "sheet_in_force");
            }
            Effect::Drained => {
                // The process may already be ending.
                let _ = self.outputs.drained.send(());
            }
        }
    }

    /// Drops waiters that have disconnected, so that they no longer count as waiters of their jobs.
    fn drop_disconnected_waiters(&mut self, now: Instant) {
        if now < self.waiters_checked_at + WAITER_CHECK_INTERVAL {
            return;
        }
        self.waiters_checked_at = now;
        let disconnected = self.waiters.iter().filter(|(_, tx)| tx.is_disconnected());
        let disconnected: Set<Waiter> = disconnected
            .map(|(key, _)| Waiter(key.0.as_ffi()))
            .collect();
        if disconnected.is_empty() {
            return;
        }
        self.waiters
            .retain(|key, _| !disconnected.contains(&Waiter(key.0.as_ffi())));
        self.handle_command(now, Command::DropWaiters(disconnected));
    }

    fn own_status(&self, now: Instant, requester: Requester) -> OwnStatus {
        let cx = Context::new(now, &self.cfg);
        let Requester {
            data_centre,
            known_digest,
        } = requester;
        OwnStatus {
            status: self.dispatcher.own_status(),
            digest: self
                .dispatcher
                .peer_digest_for(&cx, data_centre, known_digest),
        }
    }

    fn take_waiter(&mut self, waiter: Waiter) -> Option<Sender<Reply>> {
        self.waiters
            .remove(WaiterKey::from(KeyData::from_ffi(waiter.0)))
    }
}

fn log_peer_change(change: &PeerChange) {
    let incarnation = change
        .incarnation
        .map(|incarnation| incarnation.to_string());
    let incarnation = incarnation.unwrap_or_default();
    let incarnation = incarnation.as_str();
    if change.is_live {
        info!(vm:% = change.vm, incarnation; "peer_heard");
    } else {
        warn!(vm:% = change.vm, incarnation; "peer_silent");
    }
}

fn command_from_call(call: Call, waiter: Waiter) -> Command {
    match call {
        Call::Submit {
            ticket,
            digest,
            job,
            origin,
        } => Command::Submit {
            ticket,
            digest,
            job,
            waiter,
            origin,
        },
        Call::Watch {
            ticket,
            wait,
            origin,
        } => {
            let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            Command::Watch {
                ticket,
                wait_ms,
                waiter,
                origin,
            }
        }
        Call::Cancel { ticket, origin } => Command::Cancel {
            ticket,
            waiter,
            origin,
        },
    }
}
