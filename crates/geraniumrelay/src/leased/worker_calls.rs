//! Sends the scheduler's calls to workers, each in an async task of its own, and returns the
//! replies to the event loop.

use std::sync::Arc;
use std::time::Instant;

use geraniumrelay_adapter::WorkerClient;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{Command, PollCall, PollReply, StartCall, StartReply, StopCall};
use log::{debug, info};
use tokio::task::spawn_local;

use super::call_retry;
use super::input::InputTx;
use super::metrics::LeasedMetrics;

/// Sends start, stop and poll calls to workers.
#[derive(Debug, Clone)]
pub(super) struct WorkerCalls {
    pub(super) workers: WorkerClient,
    pub(super) tx: InputTx,
    pub(super) metrics: Arc<LeasedMetrics>,
}

impl WorkerCalls {
    /// Sends a start call for the scheduler of `cell`.
    pub(super) fn start(&self, cell: CellName, start_call: StartCall) {
        debug!(task:% = start_call.task, run = start_call.run, worker:% = start_call.name, lease_until:% = start_call.lease_until; "start_ordered");
        let this = self.clone();
        spawn_local(async move {
            let (worker, task, run, token) = (
                start_call.worker,
                start_call.task,
                start_call.run,
                start_call.token,
            );
            let name = start_call.name.clone();
            let sent = Instant::now();
            let (reply, clock) = call_retry::start(&this.workers, start_call).await;
            this.metrics
                .observe_start(start_reply_label(reply), sent.elapsed());
            if reply != StartReply::Accepted {
                info!(task:% = task, run, worker:% = name, reply:% = reply; "start_not_accepted");
            }
            let command = Command::StartReplied {
                worker,
                task,
                run,
                reply,
                clock,
            };
            this.tx.reply(cell, token, command).await;
        });
    }

    /// Sends a stop call for the scheduler of `cell`.
    pub(super) fn stop(&self, cell: CellName, stop_call: StopCall) {
        debug!(task:% = stop_call.task, run = stop_call.run, worker:% = stop_call.name; "stop_ordered");
        let this = self.clone();
        spawn_local(async move {
            let (worker, task, run, token) = (
                stop_call.worker,
                stop_call.task,
                stop_call.run,
                stop_call.token,
            );
            let reply = this.workers.stop(stop_call).await;
            let command = Command::StopReplied {
                worker,
                task,
                run,
                reply,
            };
            this.tx.reply(cell, token, command).await;
        });
    }

    /// Polls a worker for the scheduler of `cell`.
    pub(super) fn poll(&self, cell: CellName, poll_call: PollCall) {
        let this = self.clone();
        spawn_local(async move {
            let (worker, number, token) = (poll_call.worker, poll_call.number, poll_call.token);
            let sent = Instant::now();
            let reply = call_retry::poll(&this.workers, poll_call).await;
            this.metrics.count_poll(poll_reply_label(&reply));
            let command = Command::PollReplied {
                worker,
                number,
                sent,
                reply,
            };
            this.tx.reply(cell, token, command).await;
        });
    }
}

fn start_reply_label(reply: StartReply) -> &'static str {
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

fn poll_reply_label(reply: &PollReply) -> &'static str {
    match reply {
        PollReply::Report(_) => "report",
        PollReply::Fenced => "fenced",
        PollReply::OtherInstance => "other-life",
        PollReply::Unanswered => "unanswered",
    }
}
