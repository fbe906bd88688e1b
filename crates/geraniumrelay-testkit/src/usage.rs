//! Processor time and memory of an entry process, from `/proc`.

use std::collections::BTreeMap;
use std::time::Duration;

use procfs::process::{Process, Stat};

/// What a process has used since its start.
#[derive(Debug, Clone, Default)]
pub struct ProcessUsage {
    /// Processor time of all threads, ended ones among them.
    pub cpu: Duration,
    /// Processor time of the living threads by name, digits left out.
    pub cpu_by_thread: BTreeMap<String, Duration>,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    /// A process that is gone or can't be read.
    pub fn read(pid: u32) -> anyhow::Result<Self> {
        let process = Process::new(i32::try_from(pid)?)?;
        let stat = process.stat()?;
        let mut cpu_by_thread = BTreeMap::new();
        for task in process.tasks()?.flatten() {
            // A thread may have ended since it was listed.
            let Ok(stat) = task.stat() else { continue };
            let name = stat.comm.trim_end_matches(|c: char| c.is_ascii_digit());
            *cpu_by_thread.entry(name.to_owned()).or_default() += cpu_of(&stat);
        }
        Ok(Self {
            cpu: cpu_of(&stat),
            cpu_by_thread,
            resident_bytes: stat.rss * procfs::page_size(),
        })
    }

    /// Processor time used since `earlier`.
    pub fn cpu_since(&self, earlier: &Self) -> Duration {
        self.cpu.saturating_sub(earlier.cpu)
    }

    /// Processor time of the threads of a name since `earlier`.
    pub fn thread_cpu_since(&self, earlier: &Self, name: &str) -> Duration {
        let of = |usage: &Self| usage.cpu_by_thread.get(name).copied().unwrap_or_default();
        of(self).saturating_sub(of(earlier))
    }
}

fn cpu_of(stat: &Stat) -> Duration {
    let ticks = stat.utime + stat.stime;
    let tick = Duration::from_secs(1) / u32::try_from(procfs::ticks_per_second()).unwrap_or(100);
    tick * u32::try_from(ticks).unwrap_or(u32::MAX)
}
