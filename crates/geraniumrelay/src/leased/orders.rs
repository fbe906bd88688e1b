//! Carries orders to workers out, each in a task of its own.

use std::sync::Arc;
use std::time::Instant;

use geraniumrelay_adapter::WorkerClient;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{Command, PollCall, PollReply, StartCall, StartReply, StopCall};
use log::{debug, info};
use tokio::task::spawn_local;

use super::input::InputTx;
use super::metrics::LeasedMetrics;
use super::repeat;

/// Where orders are carried out.
#[derive(Debug, Clone)]
pub(super) struct WorkerCalls {
    pub(super) workers: WorkerClient,
    pub(super) tx: InputTx,
    pub(super) metrics: Arc<LeasedMetrics>,
}

impl WorkerCalls {
    pub(super) fn start(&self, cell: CellName, order: StartCall) {
        debug!(task:% = order.task, run = order.run, worker:% = order.name, lease_until:% = order.lease_until; "start_ordered");
        let orders = self.clone();
        spawn_local(async move {
            let (worker, task, run, token) = (order.worker, order.task, order.run, order.token);
            let name = order.name.clone();
            let sent = Instant::now();
            let (reply, clock) = repeat::start(&orders.workers, order).await;
            orders
                .metrics
                .note_start(start_label(reply), sent.elapsed());
            if reply != StartReply::Accepted {
                info!(task:% = task, run, worker:% = name, reply:? = reply; "start_not_accepted");
            }
            let command = Command::StartReplied {
                worker,
                task,
                run,
                reply,
                clock,
            };
            orders.tx.reply(cell, token, command).await;
        });
    }

    pub(super) fn stop(&self, cell: CellName, order: StopCall) {
        debug!(task:% = order.task, run = order.run, worker:% = order.name; "stop_ordered");
        let orders = self.clone();
        spawn_local(async move {
            let (worker, task, run, token) = (order.worker, order.task, order.run, order.token);
            let reply = orders.workers.stop(order).await;
            let command = Command::StopReplied {
                worker,
                task,
                run,
                reply,
            };
            orders.tx.reply(cell, token, command).await;
        });
    }

    pub(super) fn poll(&self, cell: CellName, order: PollCall) {
        let orders = self.clone();
        spawn_local(async move {
            let (worker, token, sent) = (order.worker, order.token, Instant::now());
            let reply = repeat::poll(&orders.workers, order).await;
            orders.metrics.note_look(look_label(&reply));
            let command = Command::PollReplied {
                worker,
                sent,
                reply,
            };
            orders.tx.reply(cell, token, command).await;
        });
    }
}

fn start_label(reply: StartReply) -> &'static str {
    match reply {
        StartReply::Accepted => "accepted",
        StartReply::Fenced => "fenced",
        StartReply::Outdated => "outdated",
        StartReply::TooLate => "too-late",
        StartReply::NoRoom => "no-room",
        StartReply::Refused => "refused",
        StartReply::OtherInstance => "other-life",
        StartReply::NotSent => "not-sent",
        StartReply::Unanswered => "unanswered",
    }
}

fn look_label(reply: &PollReply) -> &'static str {
    match reply {
        PollReply::Report(_) => "report",
        PollReply::Fenced => "fenced",
        PollReply::OtherInstance => "other-life",
        PollReply::Unanswered => "unanswered",
    }
}
