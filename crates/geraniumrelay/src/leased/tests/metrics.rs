//! Metrics as served.

use geraniumrelay_core::leased::{EndEvidence, EndKind, JobId, LogEvent, TaskName, WorkerName};

use crate::leased::metrics::LeasedMetrics;

#[test]
fn resident_memory_is_served_where_the_kernel_tells_it() {
    let metrics = LeasedMetrics::new().unwrap();
    let text = String::from_utf8(metrics.encode()).unwrap();
    let resident = text.lines().find_map(|l| l.strip_prefix("resident_bytes "));
    let resident: u64 = resident.unwrap().parse().unwrap();
    let is_known = std::fs::read_to_string("/proc/self/status").is_ok();
    assert_eq!(resident > 1 << 20, is_known, "{resident}");
}

/// Monitoring of an incident cut the text off after 4 kB, before the metrics that tell why runs ended.
#[test]
fn metrics_of_decisions_are_served_first() {
    let metrics = LeasedMetrics::new().unwrap();
    metrics.count_takeover();
    metrics.count_event(&LogEvent::RunEnded {
        task: TaskName {
            job: JobId(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        worker: WorkerName("w".into()),
        kind: EndKind::Lapsed,
        evidence: EndEvidence::LeaseLapsed,
        took: std::time::Duration::ZERO,
        expected: std::time::Duration::ZERO,
        percent: 0,
    });
    let text = String::from_utf8(metrics.encode()).unwrap();
    let names = text.lines().filter(|l| !l.starts_with('#'));
    let first = names.clone().next().unwrap();
    assert!(first.starts_with("unsuccessful_runs_total"), "{first}");
    let position = |name: &str| text.find(name).unwrap();
    assert!(position("takeovers_total") < 2_000);
    assert!(position("request_seconds_bucket") > position("resident_bytes"));
}
