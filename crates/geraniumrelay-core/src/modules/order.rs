//! Order of waiting jobs within one urgency class and team.

use std::fmt::Debug;

/// What is known of a waiting job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobFacts {
    /// Arrival, in milliseconds from the start of the process.
    pub arrived_ms: u64,
    /// Tasks that have not started.
    pub tasks: u32,
    /// Declared run time of a task, in milliseconds.
    pub declared_ms: u64,
    /// Learnt run time of a task of its kind, in milliseconds.
    pub estimated_ms: u64,
}

/// An order of waiting jobs.
pub trait Order: Debug + 'static {
    /// Rank of a job; lower ones go first.
    fn rank(facts: &JobFacts) -> u64;
}

/// Shortest remaining job by the learnt run time of its kind.
///
/// A job's arrival counts like work, so that one that has waited long goes before newer and
/// shorter ones.
#[derive(Debug, Clone, Copy)]
pub struct EstimatedSize;

impl Order for EstimatedSize {
    fn rank(facts: &JobFacts) -> u64 {
        facts.estimated_ms * u64::from(facts.tasks) + facts.arrived_ms
    }
}
