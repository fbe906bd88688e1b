//! Metrics of the entry process, served in the Prometheus text format.

use std::convert::Infallible;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geraniumrelay_core::leased::{JobOutcome, LogEvent, Snapshot};
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use prometheus::proto::{MetricFamily, MetricType};
use prometheus::{
    CounterVec, Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use tokio::task::spawn_local;

use super::crossing_reason::CrossingReason;
use super::decision_metrics::DecisionMetrics;
use super::run_metrics::RunMetrics;
use super::server;
use crate::intake::IntakeMetrics;

/// Port of the metrics endpoint; the same as in `deploy/system.toml`.
const PORT: u16 = 9464;

/// Bucket bounds of the latency histograms: the objectives lie between 0.1 and 1.5 s.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.7, 1.0, 1.5,
];

/// Metrics that tell apart why runs ended, in the order in which they are served.
const DECISION_METRICS: [&str; 9] = [
    "unsuccessful_runs_total",
    "worker_instance_changes_total",
    "unclaimed_runs_total",
    "unanswered_stops_total",
    "entry_jobs_dropped_total",
    "withdrawals_not_sent_total",
    "starts_total",
    "looks_total",
    "takeovers_total",
];

/// Metrics of the entry process and the registry that serves them.
#[derive(Debug)]
pub(super) struct LeasedMetrics {
    registry: Registry,
    requests: IntCounterVec,
    latency: Histogram,
    start_latency: Histogram,
    commit_latency: Histogram,
    lag: IntGauge,
    starts: IntCounterVec,
    polls: IntCounterVec,
    runs: RunMetrics,
    takeovers: IntCounter,
    dropped_inputs: IntCounter,
    state: IntGaugeVec,
    configuration: IntGauge,
    token: IntGauge,
    decisions: DecisionMetrics,
    store_errors: IntCounterVec,
    store_reads: IntCounterVec,
    store_read_seconds: CounterVec,
    store_read_bytes: IntCounterVec,
    link_bytes: IntCounterVec,
    link_queued: IntGauge,
    link_dropped: IntCounter,
    resident: IntGauge,
    intake: IntakeMetrics,
}

impl LeasedMetrics {
    pub(super) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counters_by =
            |name: &str, help: &str, labels: &[&str]| -> prometheus::Result<IntCounterVec> {
                let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
                registry.register(Box::new(counter.clone()))?;
                Ok(counter)
            };
        let counters = |name: &str, help: &str, label: &str| counters_by(name, help, &[label]);
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let histogram = |name: &str, help: &str| -> prometheus::Result<Histogram> {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS_S.to_vec());
            let histogram = Histogram::with_opts(opts)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let latency = histogram("request_seconds", "Time from a job's arrival to its answer")?;
        let state = IntGaugeVec::new(Opts::new("scheduler", "Figures of the scheduler"), &["of"])?;
        registry.register(Box::new(state.clone()))?;
        let store_read_seconds = CounterVec::new(
            Opts::new(
                "store_read_seconds_total",
                "Time of reads by table and result, with the wait for changes",
            ),
            &["table", "result"],
        )?;
        registry.register(Box::new(store_read_seconds.clone()))?;
        Ok(Self {
            store_reads: counters_by(
                "store_reads_total",
                "Reads of the watched tables by result",
                &["table", "result"],
            )?,
            store_read_bytes: counters(
                "store_read_bytes_total",
                "Bytes of the rows read, by table; without failed reads",
                "table",
            )?,
            store_read_seconds,
            link_bytes: counters_by(
                "link_bytes_total",
                "Bytes received on links (in) or queued for them (out), by kind of message",
                &["direction", "kind"],
            )?,
            link_queued: gauge(
                "link_queued_bytes",
                "Bytes for all links that the kernel has not taken yet",
            )?,
            link_dropped: counter(
                "link_messages_dropped_total",
                "Messages refused as the queue of a link was full",
            )?,
            resident: gauge("resident_bytes", "Resident memory; 0 if unknown")?,
            intake: IntakeMetrics::new(&registry, "")?,
            requests: counters("requests_total", "Jobs by outcome", "outcome")?,
            starts: counters("starts_total", "Orders to start by reply", "reply")?,
            polls: counters("looks_total", "Looks at workers by reply", "reply")?,
            runs: RunMetrics::new(&registry)?,
            takeovers: counter("takeovers_total", "Times that this VM began to schedule")?,
            dropped_inputs: counter(
                "ring_full_total",
                "Inputs dropped as the hub's ring was full",
            )?,
            configuration: gauge("configuration_version", "Version of the configuration")?,
            token: gauge(
                "scheduler_token",
                "Fencing token of the scheduler that is followed",
            )?,
            decisions: DecisionMetrics::new(&registry)?,
            store_errors: counters("store_errors_total", "Failed reads by table", "table")?,
            start_latency: histogram("start_seconds", "Time from an order to start to its reply")?,
            commit_latency: histogram("commit_seconds", "Time to store a change of a kept job")?,
            lag: gauge(
                "lag_microseconds",
                "How much later than planned work is done",
            )?,
            latency,
            state,
            registry,
        })
    }

    /// Metrics of what clients' connections hold.
    pub(super) fn intake(&self) -> IntakeMetrics {
        self.intake.clone()
    }

    pub(super) fn count_request(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }

    pub(super) fn observe_answer(&self, outcome: JobOutcome, took: Duration) {
        self.latency.observe(took.as_secs_f64());
        match outcome {
            JobOutcome::Completed => self.count_request("completed"),
            JobOutcome::Failed => self.count_request("failed"),
            JobOutcome::Refused { reason, .. } => {
                self.count_request(&format!("refused-{reason}"));
            }
            JobOutcome::TimedOut => self.count_request("timed-out"),
            JobOutcome::Cancelled => self.count_request("cancelled"),
            JobOutcome::Accepted => self.count_request("accepted"),
        }
    }

    pub(super) fn set_evacuated(&self, data_centres: usize) {
        self.decisions.set_evacuated(data_centres);
    }

    pub(super) fn count_crossing(&self, reason: CrossingReason) {
        self.decisions.count_crossing(reason);
    }

    pub(super) fn observe_commit(&self, took: Duration) {
        self.commit_latency.observe(took.as_secs_f64());
    }

    pub(super) fn set_lag(&self, lag: Duration) {
        let lag = i64::try_from(lag.as_micros()).unwrap_or(i64::MAX);
        self.lag.set(lag);
    }

    pub(super) fn observe_start(&self, reply: &str, took: Duration) {
        self.start_latency.observe(took.as_secs_f64());
        self.starts.with_label_values(&[reply]).inc();
    }

    pub(super) fn count_poll(&self, reply: &str) {
        self.polls.with_label_values(&[reply]).inc();
    }

    /// Counts the events of a scheduler that tell of its decisions, and how runs have ended.
    pub(super) fn count_event(&self, event: &LogEvent) {
        self.decisions.count_event(event);
        self.runs.count_event(event);
    }

    /// Counts a withdrawal that no scheduler gets, by the reason.
    pub(super) fn count_unsent_withdrawal(&self, reason: &str) {
        self.runs.count_unsent_withdrawal(reason);
    }

    pub(super) fn count_takeover(&self) {
        self.takeovers.inc();
    }

    pub(super) fn count_dropped_input(&self) {
        self.dropped_inputs.inc();
    }

    pub(super) fn count_store_error(&self, table: &str) {
        self.store_errors.with_label_values(&[table]).inc();
    }

    /// Counts a read of a watched table: its result, its time, and the bytes of its rows.
    pub(super) fn observe_store_read(&self, table: &str, result: &str, took: Duration, bytes: u64) {
        let labels = [table, result];
        self.store_reads.with_label_values(&labels).inc();
        let seconds = self.store_read_seconds.with_label_values(&labels);
        seconds.inc_by(took.as_secs_f64());
        self.store_read_bytes
            .with_label_values(&[table])
            .inc_by(bytes);
    }

    /// Counts bytes of messages by direction (`in`, `out`) and kind.
    pub(super) fn count_link_bytes(&self, direction: &str, kind: &str, bytes: usize) {
        let counter = self.link_bytes.with_label_values(&[direction, kind]);
        counter.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    pub(super) fn add_link_queued(&self, bytes: usize) {
        self.link_queued.add(i64::try_from(bytes).unwrap_or(0));
    }

    pub(super) fn sub_link_queued(&self, bytes: usize) {
        self.link_queued.sub(i64::try_from(bytes).unwrap_or(0));
    }

    pub(super) fn count_link_message_dropped(&self) {
        self.link_dropped.inc();
    }

    pub(super) fn set_configuration(&self, version: u64) {
        self.configuration
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    pub(super) fn set_token(&self, token: u64) {
        self.token.set(i64::try_from(token).unwrap_or(i64::MAX));
    }

    pub(super) fn set_snapshot(&self, s: &Snapshot) {
        let gauges = [
            ("workers", s.workers),
            ("usable", s.usable),
            ("paused", s.paused),
            ("jobs", s.jobs),
            ("waiting", s.waiting),
            ("runs", s.runs),
        ];
        for (name, value) in gauges {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            self.state.with_label_values(&[name]).set(value);
        }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        self.resident.set(resident_bytes().unwrap_or(0));
        let mut families = self.registry.gather();
        // Monitoring may cut the text off.
        families.sort_by_key(encoding_rank);
        let mut text = Vec::new();
        // Encoding into a `Vec` does not fail.
        let _ = TextEncoder::new().encode(&families, &mut text);
        text
    }
}

/// Position of a metric in the text: decisions first, histograms last.
fn encoding_rank(family: &MetricFamily) -> usize {
    let position = DECISION_METRICS.iter().position(|&n| n == family.name());
    position.unwrap_or(match family.get_field_type() {
        MetricType::HISTOGRAM => usize::MAX,
        _ => DECISION_METRICS.len(),
    })
}

/// Resident memory of this process; `None` where the kernel's file can't be read.
fn resident_bytes() -> Option<i64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: i64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kib * 1_024)
}

/// Binds the metrics port of `address` and serves the metrics under every path.
pub(super) fn start(address: Ipv4Addr, metrics: Arc<LeasedMetrics>) -> std::io::Result<()> {
    let listener = server::bind(SocketAddr::new(IpAddr::V4(address), PORT))?;
    spawn_local(async move {
        while let Some(stream) = server::accept(&listener).await {
            let metrics = Arc::clone(&metrics);
            spawn_local(async move {
                let service = service_fn(|_| {
                    let body = Full::new(Bytes::from(metrics.encode()));
                    std::future::ready(Ok::<_, Infallible>(Response::new(body)))
                });
                // The scraper repeats a scrape whose connection breaks.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(())
}
