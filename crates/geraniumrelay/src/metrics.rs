//! Metrics of the entry process in the Prometheus text format.

use std::sync::Arc;
use std::time::SystemTime;

use geraniumrelay_core::Verdict;
use prometheus::{Encoder, Histogram, IntCounter, IntCounterVec, IntGauge, Registry, TextEncoder};

use crate::durable_metrics::DurableMetrics;
use crate::intake::IntakeMetrics;
use crate::load_metrics::LoadMetrics;
use crate::peer_metrics::PeerMetrics;
use crate::registrar::Registrar;

/// Upper bounds of the response time histogram's buckets, in seconds.
const RESPONSE_BUCKETS_S: [f64; 10] = [0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0];

/// All metrics of one entry process, with their registry.
#[derive(Debug)]
pub struct Metrics {
    /// Metrics of load, slot loans and target ejections.
    pub load: LoadMetrics,
    registry: Registry,
    task_starts: IntCounter,
    forwards: IntCounter,
    replies: IntCounterVec,
    refusals: IntCounterVec,
    response_time: Histogram,
    jobs_in_flight: IntGauge,
    sheet_revision: IntGauge,
    live_peers: IntGauge,
    membership_stable: IntGauge,
    targets: IntGauge,
    peers: Arc<PeerMetrics>,
    /// Metrics of the reads and writes of rows in the platform's table.
    pub durable: DurableMetrics,
    certificate_expiry: IntGauge,
    intake: IntakeMetrics,
}

impl Metrics {
    /// Metrics of what callers' connections hold.
    pub(crate) fn intake(&self) -> IntakeMetrics {
        self.intake.clone()
    }

    /// Registers all metrics.
    ///
    /// # Errors
    /// A metric of the same name is registered already.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let registrar = Registrar::new(&registry);
        Ok(Self {
            intake: IntakeMetrics::new(&registry, "geraniumrelay_")?,
            load: LoadMetrics::new(registrar)?,
            task_starts: registrar
                .counter("geraniumrelay_task_starts_total", "Starts sent to targets")?,
            forwards: registrar.counter(
                "geraniumrelay_forwards_total",
                "Requests passed on to their owner",
            )?,
            replies: registrar.counters(
                "geraniumrelay_replies_total",
                "Answers to callers by verdict",
                "verdict",
            )?,
            refusals: registrar.counters(
                "geraniumrelay_refusals_total",
                "Refusals to callers by reason",
                "reason",
            )?,
            response_time: registrar.histogram(
                "geraniumrelay_response_seconds",
                "Time from request to answer",
                &RESPONSE_BUCKETS_S,
            )?,
            jobs_in_flight: registrar.gauge(
                "geraniumrelay_jobs_in_flight",
                "Jobs queued or running here",
            )?,
            sheet_revision: registrar
                .gauge("geraniumrelay_sheet_revision", "Sheet revision in force")?,
            live_peers: registrar.gauge(
                "geraniumrelay_peers_heard",
                "Entry VMs heard within the silence",
            )?,
            membership_stable: registrar.gauge(
                "geraniumrelay_settled",
                "1 once every known entry VM was heard or had the time to be",
            )?,
            targets: registrar.gauge("geraniumrelay_targets", "Targets known")?,
            peers: Arc::new(PeerMetrics::new(registrar)?),
            durable: DurableMetrics::new(registrar)?,
            certificate_expiry: registrar.gauge(
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

    /// Counts a task start sent to a target.
    pub fn count_start(&self) {
        self.task_starts.inc();
    }

    /// Counts a request forwarded to the owner of its ticket.
    pub fn count_forward(&self) {
        self.forwards.inc();
    }

    /// Counts an answer to a caller, `seconds` after its request.
    pub fn count_answer(&self, verdict: Verdict, seconds: f64) {
        self.replies
            .with_label_values(&[&verdict.to_string()])
            .inc();
        self.response_time.observe(seconds);
    }

    /// Counts a refusal to a caller under the label `reason`.
    pub fn count_refusal(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Sets the number of jobs that are queued or running here.
    pub fn set_jobs_in_flight(&self, jobs: usize) {
        self.jobs_in_flight
            .set(i64::try_from(jobs).unwrap_or(i64::MAX));
    }

    /// Sets the number of live peers, whose last heartbeat is within the heartbeat time-out.
    pub fn set_live_peers(&self, peers: usize) {
        self.live_peers
            .set(i64::try_from(peers).unwrap_or(i64::MAX));
    }

    /// Sets whether the membership is stable: every known peer is live or has been known for longer
    /// than the heartbeat time-out.
    pub fn set_membership_stable(&self, is_membership_stable: bool) {
        self.membership_stable.set(is_membership_stable.into());
    }

    /// Whether the membership was stable when it was last set; `false` before that.
    pub fn is_membership_stable(&self) -> bool {
        self.membership_stable.get() != 0
    }

    /// Sets the number of known targets.
    pub fn set_targets(&self, targets: usize) {
        self.targets.set(i64::try_from(targets).unwrap_or(i64::MAX));
    }

    /// Sets the expiry time of the certificate of this process.
    pub fn set_certificate_expiry(&self, at: SystemTime) {
        let at = at.duration_since(SystemTime::UNIX_EPOCH);
        let seconds = at.map_or(0, |at| at.as_secs());
        self.certificate_expiry
            .set(i64::try_from(seconds).unwrap_or(i64::MAX));
    }

    /// Sets the sheet revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.sheet_revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    /// Sheet revision in force; 0 before the first sheet.
    pub fn revision(&self) -> i64 {
        self.sheet_revision.get()
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// A metric that can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(buf)
    }
}
