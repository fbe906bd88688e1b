//! Unit tests of the private modules.

mod archive;
mod call_retry;
mod cancels;
mod cell;
mod convert;
mod copies;
mod directory;
mod evacuation;
mod event_loop;
mod event_loop_crossings;
mod late_submissions;
mod links;
mod metrics;
mod pending_jobs;
mod speeds;
mod store_health;
mod suspended;
mod table_watch;
mod unread_callers;
mod withdrawals;

use std::time::Duration;

use geraniumrelay_core::leased::{JobId, JobSpec, Resources, StepSpec};
use tokio::task::LocalSet;

const MS: Duration = Duration::from_millis(1);

/// Runs a test with tasks that stay on its thread.
fn block_on<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// A durable job with one step of two tasks.
fn spec(id: u64) -> JobSpec {
    JobSpec {
        id: JobId(id),
        queue: "queue".into(),
        service: "service".into(),
        priority: 1,
        max_attempts: 3,
        stretch: 1.6,
        target_latency: 60 * MS,
        payload: "payload".into(),
        enforces_capacity: true,
        is_durable: true,
        steps: vec![StepSpec {
            count: 2,
            size: Resources {
                cpu_milli: 27_000,
                memory_mb: 64,
                gpus: 0,
            },
            estimate: 200 * MS,
            after: Vec::new(),
            required_label: Some("b".into()),
            preferred_rack: None,
            max_per_worker: Some(1),
        }],
    }
}
