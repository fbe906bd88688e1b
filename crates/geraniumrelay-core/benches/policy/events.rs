//! Event queue in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// One event that is due, in the order of its time and then of its making.
#[derive(Debug)]
struct Due<E> {
    at: Duration,
    seq: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// Events still to come.
#[derive(Debug)]
pub struct Events<E> {
    heap: BinaryHeap<Reverse<Due<E>>>,
    seq: u64,
}

impl<E> Events<E> {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            seq: 0,
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Duration, event: E) {
        self.seq += 1;
        let seq = self.seq;
        self.heap.push(Reverse(Due { at, seq, event }));
    }

    /// Takes the next event and its time.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        let Reverse(due) = self.heap.pop()?;
        Some((due.at, due.event))
    }
}
