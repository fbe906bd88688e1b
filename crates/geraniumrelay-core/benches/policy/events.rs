//! Event queue in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Event with its time, ordered by time and then by insertion.
#[derive(Debug)]
struct ScheduledEvent<E> {
    at: Duration,
    seq: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// Pending events in order of time; events of the same time keep their order of insertion.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    seq: u64,
}

impl<E> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            seq: 0,
        }
    }

    /// Schedules an event at a time of the simulation.
    pub fn push(&mut self, at: Duration, event: E) {
        self.seq += 1;
        let seq = self.seq;
        self.heap.push(Reverse(ScheduledEvent { at, seq, event }));
    }

    /// Removes and returns the next event and its time; `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        let Reverse(due) = self.heap.pop()?;
        Some((due.at, due.event))
    }
}
