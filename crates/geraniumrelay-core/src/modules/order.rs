//! Order of waiting jobs within one urgency class and team.

use std::fmt::Debug;

/// Inputs of the rank of a waiting job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobFacts {
    /// Arrival time in milliseconds since the start of the process.
    pub arrived_ms: u64,
    /// Number of tasks that have not started.
    pub tasks: u32,
    /// Declared run time of a task, in milliseconds.
    pub declared_ms: u64,
    /// Estimated run time of a task of its request kind, in milliseconds.
    pub estimated_ms: u64,
}

/// Ordering of waiting jobs.
pub trait Order: Debug + 'static {
    /// Rank of a job; lower ranks start first.
    fn rank(facts: &JobFacts) -> u64;
}

/// Shortest remaining job first, by the estimated run time of its request kind.
///
/// The arrival time is added to the remaining work, so that a job that has waited long precedes
/// newer and shorter jobs.
#[derive(Debug, Clone, Copy)]
pub struct EstimatedSize;

impl Order for EstimatedSize {
    fn rank(facts: &JobFacts) -> u64 {
        facts.estimated_ms * u64::from(facts.tasks) + facts.arrived_ms
    }
}
