//! Metrics in the form that Prometheus scrapes.

use std::sync::Arc;
use std::time::SystemTime;

use geraniumrelay_core::Verdict;
use prometheus::{Encoder, Histogram, IntCounter, IntCounterVec, IntGauge, Registry, TextEncoder};

use crate::durable_metrics::DurableMetrics;
use crate::load_metrics::LoadMetrics;
use crate::peer_metrics::PeerMetrics;
use crate::registrar::Registrar;

/// Upper bounds of the response time buckets, in seconds.
const RESPONSE_BUCKETS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// Metrics of one entry process.
#[derive(Debug)]
pub struct Metrics {
    /// Decisions under load and faults.
    pub load: LoadMetrics,
    registry: Registry,
    starts: IntCounter,
    forwards: IntCounter,
    replies: IntCounterVec,
    refusals: IntCounterVec,
    response: Histogram,
    jobs_in_flight: IntGauge,
    revision: IntGauge,
    live_peers: IntGauge,
    membership_stable: IntGauge,
    targets: IntGauge,
    peers: Arc<PeerMetrics>,
    /// Metrics of what is kept in the platform's table.
    pub durable: DurableMetrics,
    certificate_expiry: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// A name that is registered twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let make = Registrar::new(&registry);
        Ok(Self {
            load: LoadMetrics::new(make)?,
            starts: make.counter("geraniumrelay_task_starts_total", "Starts sent to targets")?,
            forwards: make.counter(
                "geraniumrelay_forwards_total",
                "Requests passed on to their owner",
            )?,
            replies: make.counters(
                "geraniumrelay_replies_total",
                "Answers to callers by verdict",
                "verdict",
            )?,
            refusals: make.counters(
                "geraniumrelay_refusals_total",
                "Refusals to callers by reason",
                "reason",
            )?,
            response: make.histogram(
                "geraniumrelay_response_seconds",
                "Time from request to answer",
                &RESPONSE_BUCKETS_S,
            )?,
            jobs_in_flight: make.gauge(
                "geraniumrelay_jobs_in_flight",
                "Jobs queued or running here",
            )?,
            revision: make.gauge("geraniumrelay_sheet_revision", "Sheet revision in force")?,
            live_peers: make.gauge(
                "geraniumrelay_peers_heard",
                "Entry VMs heard within the silence",
            )?,
            membership_stable: make.gauge(
                "geraniumrelay_settled",
                "1 once every known entry VM was heard or had the time to be",
            )?,
            targets: make.gauge("geraniumrelay_targets", "Targets known")?,
            peers: Arc::new(PeerMetrics::new(make)?),
            durable: DurableMetrics::new(make)?,
            certificate_expiry: make.gauge(
                "geraniumrelay_certificate_expiry_seconds",
                "Unix time at which the certificate of this process expires",
            )?,
            registry,
        })
    }

    /// Metrics of the peer transport.
    pub fn peers(&self) -> &Arc<PeerMetrics> {
        &self.peers
    }

    /// Counts a start sent to a target.
    pub fn count_start(&self) {
        self.starts.inc();
    }

    /// Counts a request passed on to its owner.
    pub fn count_forward(&self) {
        self.forwards.inc();
    }

    /// Counts an answer to a caller.
    pub fn count_answer(&self, verdict: Verdict, seconds: f64) {
        self.replies
            .with_label_values(&[&verdict.to_string()])
            .inc();
        self.response.observe(seconds);
    }

    /// Counts a refusal to a caller.
    pub fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Sets the number of jobs in flight.
    pub fn set_jobs_in_flight(&self, jobs: usize) {
        self.jobs_in_flight
            .set(i64::try_from(jobs).unwrap_or(i64::MAX));
    }

    /// Sets the number of entry VMs heard within the silence.
    pub fn set_live_peers(&self, peers: usize) {
        self.live_peers
            .set(i64::try_from(peers).unwrap_or(i64::MAX));
    }

    /// Sets whether every known entry VM was heard or had the time to be.
    pub fn set_membership_stable(&self, is_membership_stable: bool) {
        self.membership_stable.set(is_membership_stable.into());
    }

    /// Whether every known entry VM was heard or had the time to be.
    pub fn is_membership_stable(&self) -> bool {
        self.membership_stable.get() != 0
    }

    /// Sets the number of targets known.
    pub fn set_targets(&self, targets: usize) {
        self.targets.set(i64::try_from(targets).unwrap_or(i64::MAX));
    }

    /// Sets when the certificate of this process expires.
    pub fn set_certificate_expiry(&self, at: SystemTime) {
        let at = at.duration_since(SystemTime::UNIX_EPOCH);
        let seconds = at.map_or(0, |at| at.as_secs());
        self.certificate_expiry
            .set(i64::try_from(seconds).unwrap_or(i64::MAX));
    }

    /// Sets the revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> i64 {
        self.revision.get()
    }

    /// All metrics in text form.
    ///
    /// # Errors
    /// A metric that can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
