//! The store: records of durable jobs, claims of the cell, and their delivery.

use geraniumrelay_core::leased::{Command, EpochReply, JobId, JobRecord, RecordReply};

use super::{Event, Host, MAX_FEED_DELAY, ONE_WAY_LATENCY, STORE_TIMEOUT, Simulation};

impl Simulation {
    pub(super) fn is_store_unavailable(&self, host: usize) -> bool {
        self.is_store_down || self.hosts[host].is_store_unreachable
    }

    pub(super) fn send_record(
        &mut self,
        host: usize,
        attempt: u32,
        record: JobRecord,
        (expected, epoch): (u64, u64),
    ) {
        let id = record.spec.id;
        let is_delayed = self.random() < self.delayed_write_share || self.draw_call_delayed();
        let is_reply_delivered = self.random() >= self.lost_store_reply_share
            && self.draw_reply_delivered()
            && !is_delayed;
        let is_unavailable = self.is_store_unavailable(host);
        if !is_reply_delivered || is_unavailable {
            let reply = RecordReply::Unanswered;
            let cmd = Command::RecordReplied { id, attempt, reply };
            self.schedule(self.now + STORE_TIMEOUT, Event::Deliver { host, cmd });
        }
        if !is_unavailable {
            let at = self.now + self.store_latency + self.delay(is_delayed);
            let event = Event::Record {
                host,
                attempt,
                record,
                expected,
                epoch,
                is_reply_delivered,
            };
            self.schedule(at, event);
        }
    }

    /// Stores a record if the stored version and the claim of the cell are the expected ones.
    pub(super) fn store_record(
        &mut self,
        host: usize,
        record: JobRecord,
        (expected, epoch): (u64, u64),
    ) -> RecordReply {
        let claim = self.epochs.get(&self.hosts[host].cell);
        if claim.map_or(0, |c| c.1) != epoch {
            return RecordReply::EpochOver;
        }
        let id = record.spec.id;
        let stored = self.records.get(&id);
        if stored.map_or(0, |s| s.1) != expected {
            let stored = stored.cloned();
            return RecordReply::Conflict { stored };
        }
        self.sequence += 1;
        let version = self.sequence;
        self.records.insert(id, (record, version));
        RecordReply::Stored { version }
    }

    /// Delivers the stored record of a job to all schedulers after a random delay, as the feed of
    /// changes does.
    pub(super) fn publish_record(&mut self, id: JobId) {
        let (record, version) = self.records[&id].clone();
        for host in 0..self.hosts.len() {
            if self.is_store_unavailable(host) {
                continue;
            }
            let record = record.clone();
            let cmd = Command::RecordSeen { record, version };
            let at = self.now + MAX_FEED_DELAY.mul_f64(self.random());
            self.schedule(at, Event::Deliver { host, cmd });
        }
    }

    pub(super) fn send_claim(&mut self, host: usize) {
        let sent = self.now;
        let is_reply_delivered = self.draw_reply_delivered();
        let is_unavailable = self.is_store_unavailable(host);
        if !is_reply_delivered || is_unavailable {
            let reply = EpochReply::Unanswered;
            let cmd = Command::EpochReplied { sent, reply };
            self.schedule(self.now + STORE_TIMEOUT, Event::Deliver { host, cmd });
        }
        if !is_unavailable {
            let event = Event::Claim {
                host,
                sent,
                is_reply_delivered,
            };
            self.schedule(self.now + self.store_latency, event);
        }
    }

    pub(super) fn claim_epoch(&mut self, host: usize) -> EpochReply {
        let Host { token, cell, .. } = self.hosts[host];
        let (holder, version) = self.epochs.get(&cell).copied().unwrap_or_default();
        if holder > token {
            return EpochReply::HeldByOther { token: holder };
        }
        if holder == token {
            return EpochReply::Held { version };
        }
        self.sequence += 1;
        self.epochs.insert(cell, (token, self.sequence));
        EpochReply::Held {
            version: self.sequence,
        }
    }

    /// Delivers all stored records to a scheduler.
    pub(super) fn deliver_records(&mut self, host: usize) {
        for (record, version) in self.records.clone().into_values() {
            self.handle_command(host, Command::RecordListed { record, version });
        }
        let version = self.sequence;
        self.handle_command(host, Command::RecordsKnown { version });
    }

    pub(super) fn send_store_reply(&mut self, host: usize, is_reply_delivered: bool, cmd: Command) {
        if is_reply_delivered {
            self.schedule(self.now + ONE_WAY_LATENCY, Event::Deliver { host, cmd });
        }
    }
}
