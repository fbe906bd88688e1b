//! Run time estimates from completed tasks, by service and request kind.

use std::time::Duration;

use crate::collections::Map;
use crate::names::{KindName, ServiceName};

/// Number of samples over which the moving mean is taken.
const MAX_WEIGHT_SAMPLES: f64 = 64.0;

/// Estimate for a request kind with neither samples nor a declared run time.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
struct RunTimeMean {
    samples: f64,
    seconds: f64,
}

/// Mean run times of all request kinds.
#[derive(Debug, Default)]
pub struct RunTimeEstimates {
    kinds: Map<(ServiceName, KindName), RunTimeMean>,
}

impl RunTimeEstimates {
    /// Adds the run time of a completed task to the mean of its request kind.
    pub fn add_sample(&mut self, service: ServiceName, kind: KindName, run: Duration) {
        let seconds = run.as_secs_f64();
        let mean = self.kinds.entry((service, kind)).or_insert(RunTimeMean {
            samples: 0.0,
            seconds,
        });
        mean.samples = (mean.samples + 1.0).min(MAX_WEIGHT_SAMPLES);
        mean.seconds += (seconds - mean.seconds) / mean.samples;
    }

    /// Mean run time of a request kind; without samples `declared`, else `DEFAULT_RUN_TIME`.
    pub fn estimate(
        &self,
        service: ServiceName,
        kind: KindName,
        declared: Option<Duration>,
    ) -> Duration {
        match self.kinds.get(&(service, kind)) {
            Some(mean) => Duration::from_secs_f64(mean.seconds),
            None => declared.unwrap_or(DEFAULT_RUN_TIME),
        }
    }

    /// Whether the request kind has at least one sample.
    pub fn has_samples(&self, service: ServiceName, kind: KindName) -> bool {
        self.kinds.contains_key(&(service, kind))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn samples_take_precedence_over_the_declared_run_time() {
        let (service, kind) = ("till".parse().unwrap(), "hold".parse().unwrap());
        let mut times = RunTimeEstimates::default();
        let declared = Some(Duration::from_secs(9));
        assert_eq!(
            times.estimate(service, kind, declared),
            Duration::from_secs(9)
        );
        times.add_sample(service, kind, Duration::from_millis(100));
        times.add_sample(service, kind, Duration::from_millis(300));
        assert_eq!(
            times.estimate(service, kind, declared),
            Duration::from_millis(200)
        );
    }
}
