//! Detection of pauses of the process: a VM that was suspended, a stopped process, or no processor time.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time between two passes of the event loop from which the process counts as paused: the other VMs
/// consider its schedulers lost after the same time without a heartbeat.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Time since the start of the VM, which also goes on while the VM is suspended.
pub(super) fn boot_clock() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = Duration::from_secs(time.tv_sec.unsigned_abs());
    seconds + Duration::from_nanos(time.tv_nsec.unsigned_abs())
}

/// Finds the pauses between passes of the event loop.
#[derive(Debug)]
pub(super) struct PauseDetector {
    last_pass: Duration,
}

impl PauseDetector {
    /// A detector at the time `now` of the boot clock.
    pub(super) fn new(now: Duration) -> Self {
        Self { last_pass: now }
    }

    /// Records a pass at the time `now` of the boot clock. Returns the time since the last one if the
    /// process was paused.
    pub(super) fn observe(&mut self, now: Duration) -> Option<Duration> {
        let pause = now.saturating_sub(self.last_pass);
        self.last_pass = now;
        (pause >= MIN_PAUSE).then_some(pause)
    }
}
