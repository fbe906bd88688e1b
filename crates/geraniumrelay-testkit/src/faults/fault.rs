//! Faults, and schedules generated from a seed.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of entry processes of a round.
pub const ENTRIES: usize = 3;

/// Number of targets of a round.
pub const TARGETS: usize = 4;

/// Probability that a schedule has two simultaneous faults.
const PAIR_PROBABILITY: f64 = 0.5;

/// A fault, with the index of the entry process or target that it affects.
///
/// The display texts are printed by the fault runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Fault {
    /// An entry process is killed and restarted on the same addresses.
    #[display("kill({_0})")]
    Kill(usize),
    /// An entry process is suspended for longer than the heartbeat time-out.
    #[display("pause({_0})")]
    Pause(usize),
    /// The platform answers every call with 503.
    #[display("store-away")]
    PlatformUnavailable,
    /// The platform delays every call.
    #[display("store-slow")]
    SlowPlatform,
    /// A sheet is stored and the replies to successful writes are lost.
    #[display("lost-reply")]
    LostReplies,
    /// A target fails every task as soon as it starts.
    #[display("fails-all({_0})")]
    FailingTarget(usize),
    /// A target runs tasks 20 times slower.
    #[display("straggler({_0})")]
    Straggler(usize),
    /// A target delays every start request.
    #[display("hanging({_0})")]
    DelayedStarts(usize),
    /// A target is marked as leaving in the platform's VM list.
    #[display("leaving({_0})")]
    LeavingTarget(usize),
    /// About half of the jobs in flight are cancelled, in several waves.
    #[display("cancellations")]
    Cancellations,
    /// Entry processes are stopped gracefully and restarted, one after another.
    #[display("rolling")]
    RollingRestart,
}

impl Fault {
    /// One fault of each kind, with the affected process or target drawn from `rng`.
    fn all(rng: &mut StdRng) -> [Self; 11] {
        let mut draw_entry = || rng.random_range(0..ENTRIES);
        let (killed, paused) = (draw_entry(), draw_entry());
        let mut draw_target = || rng.random_range(0..TARGETS);
        [
            Self::Kill(killed),
            Self::Pause(paused),
            Self::PlatformUnavailable,
            Self::SlowPlatform,
            Self::LostReplies,
            Self::FailingTarget(draw_target()),
            Self::Straggler(draw_target()),
            Self::DelayedStarts(draw_target()),
            Self::LeavingTarget(draw_target()),
            Self::Cancellations,
            Self::RollingRestart,
        ]
    }

    /// Whether a request on an established connection may get no reply because of the fault.
    pub fn may_lose_replies(self) -> bool {
        matches!(self, Self::Kill(_) | Self::Pause(_))
    }

    /// Whether a job in flight may fail because of the fault.
    pub fn may_fail_jobs(self) -> bool {
        !matches!(
            self,
            Self::RollingRestart
                | Self::PlatformUnavailable
                | Self::SlowPlatform
                | Self::LostReplies
        )
    }

    /// Time until the fault is cleared; zero for a rolling restart, which is not timed.
    pub fn duration(self) -> Duration {
        match self {
            Self::Pause(_) | Self::PlatformUnavailable | Self::LeavingTarget(_) => {
                Duration::from_secs(5)
            }
            Self::RollingRestart => Duration::ZERO,
            _ => Duration::from_secs(2),
        }
    }
}

/// Simultaneous faults of one round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// Seed of all random choices of the round.
    pub seed: u64,
    /// One or two faults.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// Generates the schedule of a seed. Consecutive seeds cycle through the first fault, so that a
    /// range of seeds covers all faults. About half of the schedules get a random second fault.
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = Fault::all(&mut rng);
        let first = usize::try_from(seed).unwrap_or(0) % all.len();
        let mut faults = vec![all[first]];
        if rng.random_bool(PAIR_PROBABILITY) {
            let second = rng.random_range(1..all.len());
            faults.push(all[(first + second) % all.len()]);
        }
        Self { seed, faults }
    }

    /// Whether a request on an established connection may get no reply because of a fault.
    pub fn may_lose_replies(&self) -> bool {
        self.faults.iter().any(|fault| fault.may_lose_replies())
    }

    /// Whether a job in flight may fail because of any of the faults.
    pub fn may_fail_jobs(&self) -> bool {
        self.faults.iter().any(|fault| fault.may_fail_jobs())
    }

    /// Duration of the longest fault.
    pub fn duration(&self) -> Duration {
        let durations = self.faults.iter().map(|fault| fault.duration());
        durations.max().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn display_texts_of_faults_are_stable() {
        let mut rng = StdRng::seed_from_u64(0);
        let texts = Fault::all(&mut rng).map(|fault| fault.to_string());
        let kinds = texts.each_ref().map(|text| text.split('(').next());
        let expected = [
            "kill",
            "pause",
            "store-away",
            "store-slow",
            "lost-reply",
            "fails-all",
            "straggler",
            "hanging",
            "leaving",
            "cancellations",
            "rolling",
        ];
        assert_eq!(kinds, expected.map(Some));
        assert_eq!(Fault::FailingTarget(3).to_string(), "fails-all(3)");
    }
}
