//! Identifiers of jobs, tasks, workers and entry VMs, and fencing tokens.

use std::net::Ipv4Addr;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::{Display, Error, From};

/// Number of digits of a job's id.
const ID_DIGITS: usize = 16;

/// Number of low bits of a fencing token that hold the low bits of the entry VM's address.
const VM_BITS: u32 = 24;

/// Rounds above that of a scheduler's token that no other scheduler takes, so that the scheduler can raise its token
/// at single workers.
pub(super) const RESERVED_ROUNDS: u64 = 3;

/// A job's id, chosen by its caller: 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

/// A name that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// The text is not 16 lower-case hexadecimal digits.
    #[display("a job's id has 16 lower-case hexadecimal digits")]
    JobId,
    /// The text has not the form `ID.OCCURRENCE.STEP.INDEX`.
    #[display("a task's name has the form ID.OCCURRENCE.STEP.INDEX")]
    TaskName,
}

impl FromStr for JobId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let is_digit = |c: u8| matches!(c, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != ID_DIGITS || !text.bytes().all(is_digit) {
            return Err(NameError::JobId);
        }
        let id = u64::from_str_radix(text, 16).map_err(|_| NameError::JobId)?;
        Ok(Self(id))
    }
}

/// Name of a task, unique among all jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskName {
    /// Job of the task.
    pub job: JobId,
    /// Repetition of the job, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// Step of the task in the job, from 0.
    pub step: u16,
    /// Index of the task in the step, from 0.
    pub index: u16,
}

impl FromStr for TaskName {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(NameError::TaskName);
        let name = Self {
            job: next()?.parse()?,
            occurrence: next()?.parse().map_err(|_| NameError::TaskName)?,
            step: next()?.parse().map_err(|_| NameError::TaskName)?,
            index: next()?.parse().map_err(|_| NameError::TaskName)?,
        };
        if parts.next().is_some() {
            return Err(NameError::TaskName);
        }
        Ok(name)
    }
}

/// Name of a worker, as its entry in the platform's store has it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct WorkerName(pub Arc<str>);

/// An entry VM, identified by its IPv4 address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
pub struct EntryVm(pub Ipv4Addr);

/// An attempt of an entry VM to have a job admitted, unique among those of the VM. It begins with a caller's request,
/// and anew when the job is offered to another cell; it ends with the answer to its last copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From)]
#[display("{_0:016x}")]
pub struct AttemptId(pub u64);

/// Names one copy of a submission. The entry VM sends a further copy after each link that is set up anew, each raised
/// token and each takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{attempt}/{copy}")]
pub struct SubmissionId {
    /// Attempt that all copies belong to.
    pub attempt: AttemptId,
    /// Number of the copy, from 1.
    pub copy: u32,
}

/// Fencing token of a scheduler: workers reject orders with a lower token than the highest received.
///
/// The high bits are a round that increases with each takeover, the low bits those of the entry VM's
/// address, so that two simultaneous takeovers never use the same token. The value stays below 2^53,
/// up to which JSON numbers are exact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Token of `vm` in `round`.
    pub fn new(round: u64, vm: EntryVm) -> Self {
        let vm_part = u64::from(u32::from(vm.0)) & ((1 << VM_BITS) - 1);
        Self((round << VM_BITS) | vm_part)
    }

    /// Whether both tokens are of the same VM.
    pub fn is_of_same_vm(self, other: Self) -> bool {
        (self.0 ^ other.0) & ((1 << VM_BITS) - 1) == 0
    }

    /// The token that is `rounds` higher.
    pub(super) fn raised_by(self, rounds: u64) -> Self {
        Self(self.0 + (rounds << VM_BITS))
    }

    /// Round of the takeover.
    pub fn round(self) -> u64 {
        self.0 >> VM_BITS
    }
}
