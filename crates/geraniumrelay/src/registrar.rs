//! Creates and registers metrics in one step.

use prometheus::core::Collector;
use prometheus::{
    Error, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

/// Creates metrics in one registry; each method fails if the name is invalid or registered already.
#[derive(Debug, Clone, Copy)]
pub struct Registrar<'a>(&'a Registry);

impl<'a> Registrar<'a> {
    /// Wraps the registry that gets the metrics.
    pub fn new(registry: &'a Registry) -> Self {
        Self(registry)
    }

    /// Creates and registers a counter.
    pub fn counter(self, name: &str, help: &str) -> Result<IntCounter, Error> {
        self.register(IntCounter::new(name, help)?)
    }

    /// Creates and registers a family of counters with one label.
    pub fn counters(self, name: &str, help: &str, label: &str) -> Result<IntCounterVec, Error> {
        self.register(IntCounterVec::new(Opts::new(name, help), &[label])?)
    }

    /// Creates and registers a gauge.
    pub fn gauge(self, name: &str, help: &str) -> Result<IntGauge, Error> {
        self.register(IntGauge::new(name, help)?)
    }

    /// Creates and registers a family of gauges with one label.
    pub fn gauges(self, name: &str, help: &str, label: &str) -> Result<IntGaugeVec, Error> {
        self.register(IntGaugeVec::new(Opts::new(name, help), &[label])?)
    }

    /// Creates and registers a histogram; `bounds` are the upper bounds of its buckets.
    pub fn histogram(self, name: &str, help: &str, bounds: &[f64]) -> Result<Histogram, Error> {
        let opts = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        self.register(Histogram::with_opts(opts)?)
    }

    fn register<M: Collector + Clone + 'static>(self, metric: M) -> Result<M, Error> {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}
