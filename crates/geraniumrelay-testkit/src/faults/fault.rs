//! Faults and the schedules that are drawn from a seed.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Entry processes of a round.
pub const ENTRIES: usize = 3;

/// Targets of a round.
pub const TARGETS: usize = 4;

/// Share of schedules in which two faults come at once.
const PAIR_SHARE: f64 = 0.5;

/// One fault, with what it strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Fault {
    /// An entry process dies and is started again at its addresses.
    #[display("kill({_0})")]
    Kill(usize),
    /// An entry process is frozen for longer than the silence.
    #[display("pause({_0})")]
    Pause(usize),
    /// The platform refuses every call.
    #[display("store-away")]
    StoreAway,
    /// The platform answers late.
    #[display("store-slow")]
    StoreSlow,
    /// A sheet is accepted and the replies to its write are lost.
    #[display("lost-reply")]
    LostReply,
    /// A target fails every task at once.
    #[display("fails-all({_0})")]
    FailsAll(usize),
    /// A target runs tasks many times slower.
    #[display("straggler({_0})")]
    Straggler(usize),
    /// Starts on a target hang before anything happens.
    #[display("hanging({_0})")]
    Hanging(usize),
    /// A target is marked as leaving in the platform's list.
    #[display("leaving({_0})")]
    Leaving(usize),
    /// Half of the jobs in flight are cancelled, several times.
    #[display("cancellations")]
    Cancellations,
    /// Each entry process in turn is stopped gracefully and started again.
    #[display("rolling")]
    Rolling,
}

impl Fault {
    /// Every fault, with what it strikes drawn from `rng`.
    fn all(rng: &mut StdRng) -> [Self; 11] {
        let mut entry = || rng.random_range(0..ENTRIES);
        let (killed, paused) = (entry(), entry());
        let mut target = || rng.random_range(0..TARGETS);
        [
            Self::Kill(killed),
            Self::Pause(paused),
            Self::StoreAway,
            Self::StoreSlow,
            Self::LostReply,
            Self::FailsAll(target()),
            Self::Straggler(target()),
            Self::Hanging(target()),
            Self::Leaving(target()),
            Self::Cancellations,
            Self::Rolling,
        ]
    }

    /// Whether it may cost callers the reply to a request.
    pub fn may_lose_replies(self) -> bool {
        matches!(self, Self::Kill(_) | Self::Pause(_))
    }

    /// Whether a job in flight may fail by it.
    pub fn may_fail_jobs(self) -> bool {
        !matches!(
            self,
            Self::Rolling | Self::StoreAway | Self::StoreSlow | Self::LostReply
        )
    }

    /// How long it lasts.
    pub fn time(self) -> Duration {
        match self {
            Self::Pause(_) | Self::StoreAway | Self::Leaving(_) => Duration::from_secs(5),
            Self::Rolling => Duration::ZERO,
            _ => Duration::from_secs(2),
        }
    }
}

/// Faults of one round, all at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Schedule {
    /// Everything of the round follows from it.
    pub seed: u64,
    /// The faults.
    pub faults: Vec<Fault>,
}

impl Schedule {
    /// The schedule of a seed: the seed chooses the first fault in turn, and chance a second one.
    pub fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = Fault::all(&mut rng);
        let first = usize::try_from(seed).unwrap_or(0) % all.len();
        let mut faults = vec![all[first]];
        if rng.random_bool(PAIR_SHARE) {
            let second = rng.random_range(1..all.len());
            faults.push(all[(first + second) % all.len()]);
        }
        Self { seed, faults }
    }

    /// Whether every request must have a reply.
    pub fn may_lose_replies(&self) -> bool {
        self.faults.iter().any(|fault| fault.may_lose_replies())
    }

    /// Whether a job in flight may fail.
    pub fn may_fail_jobs(&self) -> bool {
        self.faults.iter().any(|fault| fault.may_fail_jobs())
    }

    /// Time for which the longest of its faults lasts.
    pub fn time(&self) -> Duration {
        let times = self.faults.iter().map(|fault| fault.time());
        times.max().unwrap_or_default()
    }
}
