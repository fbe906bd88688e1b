//! Speed factors of workers, learnt from ends of runs.
//!
//! Load pattern: some kinds of workers take 1.7 times as long as others, and callers' estimates are wrong by a factor
//! that the tasks of a job share. Thus a run is compared with the other runs of its job. Workers of a kind share a
//! label, whose mean is the prior of each of them.
//!
//! The logarithm of a run time is modelled as the sum of one term for the job, one for the worker, and an error.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::{SecondaryMap, SlotMap};

use super::names::WorkerName;
use super::worker::{Worker, WorkerKey};
use crate::configs::speed::SpeedConfig;

/// Variance of a worker's factor (as a logarithm) where nothing is known of its labels; covers factors up to 3.
const UNKNOWN_VARIANCE: f64 = 0.25;

/// Least variance between workers of one label: some percent, by their age and temperature.
const LABEL_VARIANCE: f64 = 0.04 * 0.04;

/// Variance between workers of one label that a single other worker leaves open.
const SMALL_LABEL_VARIANCE: f64 = 0.15 * 0.15;

/// Variance of a label's factor that was taken over from an earlier scheduler.
const INHERITED_VARIANCE: f64 = 0.03 * 0.03;

/// Maximum number of workers that one log event names.
const MAX_NAMED: usize = 4;

/// Maximum number of labels whose factors are passed on, so that heartbeats stay small.
const MAX_PASSED_ON: usize = 16;

/// A successful run of a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunSample {
    pub(super) worker: WorkerKey,
    /// Step of the task; only tasks of one step are alike.
    pub(super) step: u16,
    /// Run time without the effect of the data's place.
    pub(super) took: Duration,
    /// Run time on a nominal worker by the estimate of the queue.
    pub(super) expected: Duration,
}

/// The run time of a task on a nominal worker, by what is known of the worker on which it ran.
#[derive(Debug, Clone, Copy)]
struct Work {
    worker: WorkerKey,
    step: u16,
    log: f64,
    /// Variance of the worker's factor.
    variance: f64,
}

/// A belief in a logarithm of a factor.
#[derive(Debug, Clone, Copy)]
struct Belief {
    mean: f64,
    variance: f64,
}

impl Belief {
    /// What two independent sources say together.
    fn combined(self, other: Self) -> Self {
        let (own, others) = (1.0 / self.variance, 1.0 / other.variance);
        Self {
            mean: (self.mean * own + other.mean * others) / (own + others),
            variance: 1.0 / (own + others),
        }
    }

    /// Whether the factor differs from 1, given whether it did so before.
    fn is_certain(self, cfg: &SpeedConfig, was_certain: bool) -> bool {
        let deviations = if was_certain {
            cfg.uncertain_deviations
        } else {
            cfg.certain_deviations
        };
        self.mean.abs() - deviations * self.variance.sqrt() > cfg.dead_band.ln()
    }
}

/// What the runs on one worker say, and the factor that follows.
#[derive(Debug, Clone, Copy)]
struct WorkerSpeed {
    /// Mean of the logarithms that its runs led to.
    measured: f64,
    /// Inverse of the variance of `measured`; 0 without runs.
    precision: f64,
    /// Measured and inherited factor together, centred.
    belief: Belief,
    is_certain: bool,
    /// Whether the worker differs from the others of its label.
    is_outlier: bool,
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self {
            measured: 0.0,
            precision: 0.0,
            belief: Belief {
                mean: 0.0,
                variance: UNKNOWN_VARIANCE,
            },
            is_certain: false,
            is_outlier: false,
        }
    }
}

/// Sums over the workers of a label that have runs.
#[derive(Debug, Clone, Copy, Default)]
struct LabelSums {
    count: f64,
    weight: f64,
    mean: f64,
    square: f64,
    /// Sum of the weighted variances of the single means.
    noise: f64,
}

impl LabelSums {
    /// Adds a worker, or with `sign` -1 takes it out.
    fn add(&mut self, speed: &WorkerSpeed, sign: f64) {
        if speed.precision <= 0.0 {
            return;
        }
        let variance = 1.0 / speed.precision;
        let weight = sign / (variance + SMALL_LABEL_VARIANCE);
        self.count += sign;
        self.weight += weight;
        self.mean += weight * speed.measured;
        self.square += weight * speed.measured * speed.measured;
        self.noise += weight * variance;
    }

    /// Mean of the label's workers, and the variance between them.
    fn belief(&self) -> Option<(Belief, f64)> {
        if self.count < 0.5 {
            return None;
        }
        let mean = self.mean / self.weight;
        let spread = (self.square / self.weight - mean * mean - self.noise / self.weight).max(0.0);
        let spread = spread + SMALL_LABEL_VARIANCE / self.count;
        let variance = (spread + self.noise / self.weight) / self.count;
        Some((Belief { mean, variance }, spread))
    }
}

/// Sums over the beliefs in all workers of a label, also in those without runs: runs on the fast workers of a rack
/// alone do not tell the factor of the rack.
#[derive(Debug, Clone, Copy, Default)]
struct LabelBeliefs {
    workers: usize,
    mean: f64,
    square: f64,
    variance: f64,
}

impl LabelBeliefs {
    fn add(&mut self, belief: Belief) {
        self.workers += 1;
        self.mean += belief.mean;
        self.square += belief.mean * belief.mean;
        self.variance += belief.variance;
    }

    /// Mean of the workers, less `centre`.
    #[expect(clippy::cast_precision_loss, reason = "a number of workers")]
    fn mean(&self, centre: f64) -> Belief {
        let count = self.workers as f64;
        let mean = self.mean / count;
        let spread = (self.square / count - mean * mean).max(0.0) + SMALL_LABEL_VARIANCE;
        Belief {
            mean: mean - centre,
            variance: (spread + self.variance / count) / count,
        }
    }
}

/// Factor of a label, as of the last refresh.
#[derive(Debug, Clone, Copy)]
struct LabelSpeed {
    factor: f64,
    workers: usize,
}

/// A factor that has become certain, or has ceased to be.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum SpeedChange {
    /// Factor of all workers of a label.
    Label {
        label: Arc<str>,
        factor: f64,
        /// Standard deviation of the factor's logarithm.
        deviation: f64,
        /// Number of the label's workers.
        workers: usize,
        is_certain: bool,
    },
    /// Factors of workers that differ from the others of their labels.
    Workers {
        /// Some of them, with their factors.
        named: Vec<(WorkerName, f64)>,
        /// Number of those that are not named.
        others: usize,
        is_certain: bool,
    },
}

/// Speed factors of the workers of a cell.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    workers: SecondaryMap<WorkerKey, WorkerSpeed>,
    /// Labels whose factors are certain.
    certain_labels: BTreeMap<Arc<str>, LabelSpeed>,
    /// Logarithms of the factors of labels, by an earlier scheduler.
    inherited: BTreeMap<Arc<str>, f64>,
    refreshed_at: Option<Instant>,
    /// Whether a factor of any worker is certain.
    has_differences: bool,
}

impl Speeds {
    /// Sets the factors of labels that an earlier scheduler has learnt.
    pub(super) fn inherit(&mut self, factors: &[(Arc<str>, f64)]) {
        let logs = factors.iter().filter(|(_, factor)| *factor > 0.0);
        self.inherited = logs
            .map(|(label, factor)| (Arc::clone(label), factor.ln()))
            .collect();
        self.refreshed_at = None;
    }

    /// Factors of the labels whose factors are certain, those with the most workers first.
    pub(super) fn by_label(&self) -> Vec<(Arc<str>, f64)> {
        let mut labels: Vec<_> = self.certain_labels.iter().collect();
        labels.sort_by_key(|(_, speed)| std::cmp::Reverse(speed.workers));
        let labels = labels.into_iter().take(MAX_PASSED_ON);
        labels
            .map(|(label, speed)| (Arc::clone(label), speed.factor))
            .collect()
    }

    /// Whether any worker's factor differs from 1.
    pub(super) fn has_differences(&self) -> bool {
        self.has_differences
    }

    /// Lets the factors be computed at the next refresh, as there is a new worker.
    pub(super) fn worker_added(&mut self) {
        self.refreshed_at = None;
    }

    /// Run time of a task of `step` on a nominal worker, by the runs of its job on workers other than `than`;
    /// `None` without such runs.
    pub(super) fn nominal_run(
        &self,
        samples: &[RunSample],
        step: u16,
        than: WorkerKey,
    ) -> Option<Duration> {
        let others = samples
            .iter()
            .filter(|s| s.step == step && s.worker != than);
        let (sum, count) = others.fold((0.0, 0.0), |(sum, count), s| {
            (sum + self.log_work(s), count + 1.0)
        });
        (count > 0.0).then(|| Duration::from_secs_f64((sum / count).exp()))
    }

    /// Longest run time of a task that the worker's speed and the error of `nominal`, its run time on a nominal
    /// worker, may explain: a new scheduler takes no slow kind for a fault. `is_estimate` tells that no other task
    /// of the job confirms `nominal`.
    pub(super) fn longest_run(
        &self,
        cfg: &SpeedConfig,
        (nominal, is_estimate): (Duration, bool),
        on: WorkerKey,
    ) -> Duration {
        let speed = self.workers.get(on).copied().unwrap_or_default();
        // A label may be known by its fast workers only, so that just the worker's own runs tell that it is fast.
        let own = UNKNOWN_VARIANCE.min(1.0 / speed.precision.max(f64::MIN_POSITIVE));
        let variance = speed.belief.variance.max(own);
        let error = if is_estimate {
            cfg.estimate_variance
        } else {
            cfg.job_variance
        };
        let deviation = (variance + error).sqrt();
        let log =
            speed.belief.mean.max(speed.measured).max(0.0) + cfg.certain_deviations * deviation;
        nominal.mul_f64(log.clamp(-cfg.max_log, cfg.max_log).exp())
    }

    /// Learns from the runs of one job. The cost is the square of their number.
    pub(super) fn add_job(&mut self, cfg: &SpeedConfig, samples: &[RunSample]) {
        let works: Vec<Work> = samples
            .iter()
            .map(|s| Work {
                worker: s.worker,
                step: s.step,
                log: self.log_work(s),
                variance: self.log_factor(s.worker).variance,
            })
            .collect();
        let updates: Vec<_> = samples
            .iter()
            .zip(&works)
            .map(|(sample, work)| (work.worker, self.measure(cfg, &works, sample, work)))
            .collect();
        for (worker, measured) in updates {
            let Some(entry) = self.workers.entry(worker) else {
                continue;
            };
            let speed = entry.or_default();
            let weight = 1.0 / measured.variance;
            speed.precision += weight;
            speed.measured += (measured.mean - speed.measured) * weight / speed.precision;
            speed.precision = speed.precision.min(cfg.max_precision);
        }
    }

    /// What one run says about its worker.
    #[expect(clippy::cast_precision_loss, reason = "a number of runs")]
    fn measure(&self, cfg: &SpeedConfig, works: &[Work], sample: &RunSample, own: &Work) -> Belief {
        let bounded = |deviation: f64| deviation.clamp(-cfg.max_deviation, cfg.max_deviation);
        let latency = cfg.latency.as_secs_f64() / sample.took.as_secs_f64().max(0.001);
        let latency = latency * latency;
        let known = self.log_factor(own.worker).mean;
        let (mut count, mut deviations, mut unknown) = (0_usize, 0.0, 0.0);
        for other in works {
            if other.step == own.step && other.worker != own.worker {
                count += 1;
                deviations += bounded(own.log - other.log);
                unknown += other.variance;
            }
        }
        if count == 0 {
            return Belief {
                mean: known + bounded(own.log - log_s(sample.expected)),
                variance: cfg.queue_variance + latency,
            };
        }
        let count = count as f64;
        Belief {
            mean: known + deviations / count,
            variance: cfg.job_variance * (1.0 + 1.0 / count) + unknown / (count * count) + latency,
        }
    }

    /// Logarithm of the run time on a nominal worker.
    fn log_work(&self, sample: &RunSample) -> f64 {
        log_s(sample.took) - self.log_factor(sample.worker).mean
    }

    fn log_factor(&self, worker: WorkerKey) -> Belief {
        let speed = self.workers.get(worker).copied().unwrap_or_default();
        speed.belief
    }

    /// Computes the factors of all workers, if that is due, and returns what has become certain or uncertain.
    pub(super) fn refresh(
        &mut self,
        now: Instant,
        cfg: &SpeedConfig,
        workers: &mut SlotMap<WorkerKey, Worker>,
    ) -> Vec<SpeedChange> {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= cfg.refresh;
        if !self.refreshed_at.is_none_or(is_due) {
            return Vec::new();
        }
        self.refreshed_at = Some(now);
        self.workers.retain(|key, _| workers.contains_key(key));
        let mut sums: BTreeMap<Arc<str>, LabelSums> = BTreeMap::new();
        for (key, worker) in workers.iter().filter(|(_, w)| w.is_listed) {
            let speed = self.workers.get(key).copied().unwrap_or_default();
            for label in &worker.entry.labels {
                sums.entry(Arc::clone(label)).or_default().add(&speed, 1.0);
            }
        }
        let mut priors: SecondaryMap<WorkerKey, Belief> = SecondaryMap::new();
        let (mut total, mut count) = (0.0, 0.0);
        for (key, worker) in workers.iter().filter(|(_, w)| w.is_listed) {
            let Some(entry) = self.workers.entry(key) else {
                continue;
            };
            let speed = entry.or_default();
            let prior = prior(&worker.entry.labels, speed, &sums, &self.inherited);
            speed.belief = if speed.precision > 0.0 {
                prior.combined(Belief {
                    mean: speed.measured,
                    variance: 1.0 / speed.precision,
                })
            } else {
                prior
            };
            priors.insert(key, prior);
            total += speed.belief.mean;
            count += 1.0;
        }
        let centre = if count > 0.0 { total / count } else { 0.0 };
        let mut beliefs: BTreeMap<Arc<str>, LabelBeliefs> = BTreeMap::new();
        for (key, worker) in workers.iter().filter(|(_, w)| w.is_listed) {
            let belief = self.log_factor(key);
            for label in &worker.entry.labels {
                beliefs.entry(Arc::clone(label)).or_default().add(belief);
            }
        }
        let mut changes = self.refresh_labels(cfg, &beliefs, centre);
        self.refresh_workers(cfg, workers, (&priors, centre), &mut changes);
        changes
    }

    /// Takes note which labels' factors are certain.
    fn refresh_labels(
        &mut self,
        cfg: &SpeedConfig,
        beliefs: &BTreeMap<Arc<str>, LabelBeliefs>,
        centre: f64,
    ) -> Vec<SpeedChange> {
        let mut changes = Vec::new();
        let mut certain = BTreeMap::new();
        for (label, beliefs) in beliefs {
            let belief = beliefs.mean(centre);
            let was_certain = self.certain_labels.contains_key(label);
            let is_certain = belief.is_certain(cfg, was_certain);
            let factor = belief.mean.exp();
            if is_certain {
                let speed = LabelSpeed {
                    factor,
                    workers: beliefs.workers,
                };
                certain.insert(Arc::clone(label), speed);
            }
            if is_certain != was_certain {
                changes.push(SpeedChange::Label {
                    label: Arc::clone(label),
                    factor,
                    deviation: belief.variance.sqrt(),
                    workers: beliefs.workers,
                    is_certain,
                });
            }
        }
        self.certain_labels = certain;
        changes
    }

    /// Centres the factors of the workers, and sets those that are certain.
    fn refresh_workers(
        &mut self,
        cfg: &SpeedConfig,
        workers: &mut SlotMap<WorkerKey, Worker>,
        (priors, centre): (&SecondaryMap<WorkerKey, Belief>, f64),
        changes: &mut Vec<SpeedChange>,
    ) {
        self.has_differences = false;
        let (mut begun, mut ended) = (Vec::new(), Vec::new());
        for (key, prior) in priors {
            let (Some(speed), Some(worker)) = (self.workers.get_mut(key), workers.get_mut(key))
            else {
                continue;
            };
            speed.belief.mean -= centre;
            speed.is_certain = speed.belief.is_certain(cfg, speed.is_certain);
            let log = speed.belief.mean.clamp(-cfg.max_log, cfg.max_log);
            worker.speed = if speed.is_certain { log.exp() } else { 1.0 };
            self.has_differences |= speed.is_certain;
            let from_label = Belief {
                mean: speed.belief.mean + centre - prior.mean,
                variance: speed.belief.variance,
            };
            let is_outlier = speed.is_certain && from_label.is_certain(cfg, speed.is_outlier);
            if is_outlier != speed.is_outlier {
                let list = if is_outlier { &mut begun } else { &mut ended };
                list.push((worker.entry.name.clone(), log.exp()));
                speed.is_outlier = is_outlier;
            }
        }
        for (mut named, is_certain) in [(begun, true), (ended, false)] {
            if named.is_empty() {
                continue;
            }
            let others = named.len().saturating_sub(MAX_NAMED);
            named.truncate(MAX_NAMED);
            changes.push(SpeedChange::Workers {
                named,
                others,
                is_certain,
            });
        }
    }
}

/// What is known of a worker without its own runs: the label whose workers are most alike.
fn prior(
    labels: &[Arc<str>],
    own: &WorkerSpeed,
    sums: &BTreeMap<Arc<str>, LabelSums>,
    inherited: &BTreeMap<Arc<str>, f64>,
) -> Belief {
    let unknown = Belief {
        mean: 0.0,
        variance: UNKNOWN_VARIANCE,
    };
    let of_label = |label: &Arc<str>| {
        let mut sums = sums.get(label).copied().unwrap_or_default();
        // The worker's own runs count once.
        sums.add(own, -1.0);
        let (belief, spread) = label_belief(&sums, inherited.get(label))?;
        Some(Belief {
            mean: belief.mean,
            variance: belief.variance + spread.max(LABEL_VARIANCE),
        })
    };
    let known = labels.iter().filter_map(of_label);
    known.fold(unknown, |best, belief| {
        if belief.variance < best.variance {
            belief
        } else {
            best
        }
    })
}

/// Mean of a label by its workers and by an earlier scheduler, and the variance between the workers.
fn label_belief(sums: &LabelSums, inherited: Option<&f64>) -> Option<(Belief, f64)> {
    let inherited = inherited.map(|&mean| Belief {
        mean,
        variance: INHERITED_VARIANCE,
    });
    match (sums.belief(), inherited) {
        (Some((belief, spread)), Some(inherited)) => Some((belief.combined(inherited), spread)),
        (Some(known), None) => Some(known),
        (None, Some(inherited)) => Some((inherited, LABEL_VARIANCE)),
        (None, None) => None,
    }
}

/// Logarithm of a run time in seconds, at least 1 ms.
fn log_s(run: Duration) -> f64 {
    run.as_secs_f64().max(0.001).ln()
}
