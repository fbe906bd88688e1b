//! CPU time and memory of an entry process, read from `/proc`.

use std::collections::BTreeMap;
use std::time::Duration;

use procfs::process::{Process, Stat};

/// CPU time since the start of a process, and its current memory.
#[derive(Debug, Clone, Default)]
pub struct ProcessUsage {
    /// User and system CPU time of all threads, including ended ones.
    pub cpu: Duration,
    /// User and system CPU time of the running threads by name, without trailing digits.
    pub cpu_by_thread: BTreeMap<String, Duration>,
    /// Resident set size in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of the process with id `pid`.
    ///
    /// # Errors
    /// If the process has ended or its `/proc` entries can't be read.
    pub fn read(pid: u32) -> anyhow::Result<Self> {
        let process = Process::new(i32::try_from(pid)?)?;
        let stat = process.stat()?;
        let mut cpu_by_thread = BTreeMap::new();
        for task in process.tasks()?.flatten() {
            // A thread may have ended since the list was read.
            let Ok(stat) = task.stat() else { continue };
            let name = stat.comm.trim_end_matches(|c: char| c.is_ascii_digit());
            *cpu_by_thread.entry(name.to_owned()).or_default() += cpu_time(&stat);
        }
        Ok(Self {
            cpu: cpu_time(&stat),
            cpu_by_thread,
            resident_bytes: stat.rss * procfs::page_size(),
        })
    }

    /// CPU time used since `earlier`; zero if `earlier` is the later reading.
    pub fn cpu_since(&self, earlier: &Self) -> Duration {
        self.cpu.saturating_sub(earlier.cpu)
    }

    /// CPU time used since `earlier` by the threads named `name`, without trailing digits.
    pub fn thread_cpu_since(&self, earlier: &Self, name: &str) -> Duration {
        let of = |usage: &Self| usage.cpu_by_thread.get(name).copied().unwrap_or_default();
        of(self).saturating_sub(of(earlier))
    }
}

fn cpu_time(stat: &Stat) -> Duration {
    let ticks = stat.utime + stat.stime;
    let tick = Duration::from_secs(1) / u32::try_from(procfs::ticks_per_second()).unwrap_or(100);
    tick * u32::try_from(ticks).unwrap_or(u32::MAX)
}
