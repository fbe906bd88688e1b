//! Jobs whose tasks run on workers under leases and fencing tokens.
//!
//! The scheduler of a cell takes a [`Command`] and a [`Context`](crate::Context), and pushes
//! [`Effect`]s for its host to carry out. A deposed scheduler does no harm: workers reject a fencing
//! token lower than the highest they have received, and runs without renewal end with their lease.

pub mod admission;
pub mod attempt;
mod bulkhead;
pub mod cell_choice;
pub mod cells;
mod command;
pub mod config_transfer;
pub mod contention;
mod effect;
pub mod election;
mod epoch;
pub mod estimates;
pub mod evacuation;
mod fitness;
mod health;
mod job;
pub mod locality;
mod log_event;
mod losses;
mod names;
mod placement;
mod record;
mod report;
pub mod routes;
mod run_time;
mod scheduler;
mod spec;
mod speed;
mod unanswered_stop;
mod worker;
mod worker_clock;

pub use command::{Command, DeparturesKnown, PollReply, StartReply, StopReply, Submission};
pub use effect::{Effect, JobOutcome, PollCall, RefusalReason, StartCall, StopCall};
pub use epoch::EpochReply;
pub use job::JobState;
pub use log_event::{
    CopyHandling, EndEvidence, EntryLossCause, InstanceSource, LogEvent, NoRunsEvidence,
    SilenceCause, StopCause, WorkerCondition,
};
pub use losses::LostRun;
pub use names::{
    AttemptId, EntryVm, FencingToken, JobId, NameError, SubmissionId, TaskName, WorkerName,
};
pub use record::{ENDED_TTL, JobRecord, RecordReply, RecordState, TaskProgress};
pub use report::{EndKind, EndedRun, RunningTask, WorkerReport};
pub use scheduler::{Scheduler, Snapshot};
pub use spec::{JobSpec, Resources, StepSpec};
pub use worker::{PollNumber, WorkerEntry, WorkerKey, WorkerState};
pub use worker_clock::WorkerTime;
