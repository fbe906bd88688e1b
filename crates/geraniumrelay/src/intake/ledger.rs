//! Decides which connections may hold how much, and which are closed to make room.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use super::limits::IntakeLimits;

/// Bytes that a connection holds at least: its buffers and its task.
pub(super) const CONNECTION_BYTES: usize = 20 << 10;

new_key_type! {
    /// A client's connection.
    pub(super) struct ConnectionKey;
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Idle, or its client has yet to send the rest of a request or to read an answer.
    WaitsForClient,
    /// Its client waits for an answer.
    Answering(Work),
    /// It is being closed to make room.
    Evicted,
}

/// What a client waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Work {
    /// The answer to a query, which changes nothing and can be asked again.
    Query,
    /// The answer to any other request.
    Command,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    /// Begin of the present request, or of the wait for the next one.
    since: Instant,
    phase: Phase,
    /// Number of requests that have been answered.
    answers: u64,
}

/// Answer to a request for more memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Growth {
    /// The bytes are accounted for.
    Granted,
    /// There is room as soon as the evicted connections are closed.
    Wait,
    /// There is no room for this connection.
    Refused,
}

/// What all connections hold.
#[derive(Debug)]
pub(super) struct Ledger {
    limits: IntakeLimits,
    entries: SlotMap<ConnectionKey, Entry>,
    bytes: usize,
    /// Part of `bytes` that evicted connections hold, and their number.
    evicted_bytes: usize,
    evicted: usize,
}

impl Ledger {
    pub(super) fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            entries: SlotMap::with_key(),
            bytes: 0,
            evicted_bytes: 0,
            evicted: 0,
        }
    }

    /// Bytes that all connections hold.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of open connections, with those that are being closed.
    pub(super) fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Opens a connection; `None` if there is no room, as all others wait for answers to commands. The connections in
    /// `evicted` are to be closed.
    pub(super) fn open(
        &mut self,
        now: Instant,
        evicted: &mut Vec<ConnectionKey>,
    ) -> Option<ConnectionKey> {
        while self.entries.len() - self.evicted >= self.limits.connections {
            let idle = self.longest_idle(now);
            evicted.push(self.evict(idle.or_else(|| self.most_queries())?));
        }
        while !self.has_room(CONNECTION_BYTES) {
            evicted.push(self.evict(self.largest(now, None)?));
        }
        self.bytes += CONNECTION_BYTES;
        Some(self.entries.insert(Entry {
            bytes: CONNECTION_BYTES,
            since: now,
            phase: Phase::WaitsForClient,
            answers: 0,
        }))
    }

    /// Accounts for more bytes of a connection. The connections in `evicted` are to be closed.
    pub(super) fn grow(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        now: Instant,
        evicted: &mut Vec<ConnectionKey>,
    ) -> Growth {
        if self.is_evicted(key) {
            return Growth::Refused;
        }
        while !self.has_room(bytes) {
            match self.largest(now, Some((key, bytes))) {
                Some(victim) if victim != key => evicted.push(self.evict(victim)),
                _ => return Growth::Refused,
            }
        }
        if self.bytes + bytes > self.limits.memory {
            return Growth::Wait;
        }
        self.bytes += bytes;
        self.entries[key].bytes += bytes;
        Growth::Granted
    }

    /// Records that the client has begun a request.
    pub(super) fn begin_request(&mut self, key: ConnectionKey, now: Instant) {
        self.entries[key].since = now;
    }

    /// Records that the whole request has arrived. The connection is not evicted before its answer, except for one
    /// that asks queries without pause while there is no room for others.
    pub(super) fn begin_answer(&mut self, key: ConnectionKey, work: Work) {
        let entry = &mut self.entries[key];
        if entry.phase == Phase::WaitsForClient {
            entry.phase = Phase::Answering(work);
        }
    }

    /// Records that an answer of this size is ready; all else that the connection held is free.
    pub(super) fn end_request(&mut self, key: ConnectionKey, answer_bytes: usize, now: Instant) {
        let entry = &mut self.entries[key];
        let bytes = CONNECTION_BYTES + answer_bytes;
        self.bytes = self.bytes - entry.bytes + bytes;
        if entry.phase == Phase::Evicted {
            self.evicted_bytes = self.evicted_bytes - entry.bytes + bytes;
        } else {
            entry.phase = Phase::WaitsForClient;
        }
        entry.bytes = bytes;
        entry.since = now;
        entry.answers += 1;
    }

    pub(super) fn is_evicted(&self, key: ConnectionKey) -> bool {
        self.entries[key].phase == Phase::Evicted
    }

    pub(super) fn close(&mut self, key: ConnectionKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.bytes -= entry.bytes;
        if entry.phase == Phase::Evicted {
            self.evicted_bytes -= entry.bytes;
            self.evicted -= 1;
        }
    }

    /// Whether there is room for more bytes once the evicted connections are closed.
    fn has_room(&self, bytes: usize) -> bool {
        self.bytes - self.evicted_bytes + bytes <= self.limits.memory
    }

    /// The connection that has held most for longest while it waits for its client, with `growing` as it would be.
    fn largest(
        &self,
        now: Instant,
        growing: Option<(ConnectionKey, usize)>,
    ) -> Option<ConnectionKey> {
        let rank = |(key, entry): &(ConnectionKey, &Entry)| {
            let more = growing
                .filter(|(k, _)| k == key)
                .map_or(0, |(_, more)| more);
            let excess = entry.bytes + more - CONNECTION_BYTES;
            let age = now.saturating_duration_since(entry.since).max(MIN_AGE);
            (excess as u128 * age.as_millis(), age)
        };
        self.waiting().max_by_key(rank).map(|(key, _)| key)
    }

    /// The connection that has waited for its client for longest; one that has had an answer comes after the others.
    fn longest_idle(&self, now: Instant) -> Option<ConnectionKey> {
        let rank = |(_, entry): &(ConnectionKey, &Entry)| {
            let age = now.saturating_duration_since(entry.since);
            (Reverse(entry.answers > 0), age)
        };
        self.waiting().max_by_key(rank).map(|(key, _)| key)
    }

    /// The connection that has asked most queries, and waits for the answer to another one.
    fn most_queries(&self) -> Option<ConnectionKey> {
        let entries = self.entries.iter();
        let asking = entries.filter(|(_, e)| e.phase == Phase::Answering(Work::Query));
        asking.max_by_key(|(_, e)| e.answers).map(|(key, _)| key)
    }

    fn waiting(&self) -> impl Iterator<Item = (ConnectionKey, &Entry)> {
        let entries = self.entries.iter();
        entries.filter(|(_, e)| e.phase == Phase::WaitsForClient)
    }

    fn evict(&mut self, key: ConnectionKey) -> ConnectionKey {
        let entry = &mut self.entries[key];
        entry.phase = Phase::Evicted;
        self.evicted_bytes += entry.bytes;
        self.evicted += 1;
        key
    }
}

/// Age that a connection counts with at least, so that size decides among new ones.
const MIN_AGE: Duration = Duration::from_millis(1);
