//! Order in which waiting tasks get slots.

use std::collections::VecDeque;

use crate::modules::sheet::Urgency;
use crate::modules::targets::TaskKey;

/// Tasks of one service that wait for a slot, urgent ones first.
#[derive(Debug, Default)]
pub struct Queue {
    classes: [VecDeque<TaskKey>; Urgency::COUNT],
}

impl Queue {
    /// Adds a task behind those of its class.
    pub fn push(&mut self, urgency: Urgency, task: TaskKey) {
        self.classes[urgency as usize].push_back(task);
    }

    /// Puts a task that did not start back before those of its class.
    pub fn push_front(&mut self, urgency: Urgency, task: TaskKey) {
        self.classes[urgency as usize].push_front(task);
    }

    /// Takes the task that is next.
    pub fn pop(&mut self) -> Option<TaskKey> {
        self.classes.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Number of entries, those of ended tasks among them.
    pub fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(VecDeque::is_empty)
    }
}
