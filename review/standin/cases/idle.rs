//! Jobs that have nothing running although their turn has come and there is room, as the rule LOST has it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::workers::{State, Worker};

/// Time without a run for which the rule allows a job whose turn has come.
pub const MAX_IDLE: Duration = Duration::from_secs(3);

/// Watches open jobs with so many tasks of so much `cpu`, all of one step or each after the one before: as long as one
/// has not ended `done` and none runs, the turn of a task has come.
pub struct IdleJobs {
    tasks: usize,
    cpu: u64,
    since: BTreeMap<String, Instant>,
    pub longest: Duration,
}

impl IdleJobs {
    pub fn new(tasks: usize, cpu: u64) -> Self {
        Self { tasks, cpu, since: BTreeMap::new(), longest: Duration::ZERO }
    }

    /// Takes note of which of the open jobs run.
    pub fn observe(&mut self, state: &State, open: &[String]) {
        let has_room = has_room(state, self.cpu);
        self.since.retain(|id, _| open.contains(id));
        for id in open {
            let of_job = state.tasks.iter().filter(|(task, _)| task.starts_with(id.as_str()));
            let is_due = of_job.filter(|(_, seen)| seen.done > 0).count() < self.tasks;
            let is_running = state.workers.iter().any(|w| w.runs.iter().any(|r| r.task.starts_with(id.as_str())));
            if is_running || !is_due || !has_room {
                self.since.remove(id);
            } else {
                let since = *self.since.entry(id.clone()).or_insert_with(Instant::now);
                self.longest = self.longest.max(since.elapsed());
            }
        }
    }
}

/// Whether the workers have room for a task twice over, and under half of the capacity of all is in use.
fn has_room(state: &State, cpu: u64) -> bool {
    let up = || state.workers.iter().filter(|w| w.is_up);
    let used = |w: &Worker| w.runs.iter().map(|r| r.cpu).sum::<u64>();
    let places: u64 = up().map(|w| (w.cpu - used(w)) / cpu).sum();
    places >= 2 && up().map(used).sum::<u64>() * 2 < up().map(|w| w.cpu).sum()
}
