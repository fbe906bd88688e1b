//! Decision logic of the dispatcher, without sockets, threads or clocks.
//!
//! [`Dispatcher`] takes a [`Command`] and a [`Context`] with the current time, and pushes
//! [`Effect`]s for the host to carry out. The same code runs in the entry process and, in virtual
//! time, in the policy benchmark.

pub mod collections;
pub mod command;
pub mod configs;
pub mod context;
pub mod dispatcher;
pub mod effect;
pub mod leased;
pub mod modules;
pub mod names;
pub mod query;
pub mod reason;
pub mod ticket;
pub mod verdict;

pub use command::{Command, JobSpec, Origin, TaskOutcome, TaskSpec, Waiter};
pub use configs::Config;
pub use context::{Clock, Context};
pub use dispatcher::{Dispatcher, Identity};
pub use effect::{Answer, Effect, PeerCall, Rejection, Reply, TaskId, TaskResult};
pub use query::{JobProgress, Query, Report, ReportQuery};
pub use reason::Reason;
pub use ticket::{Incarnation, Ticket, TicketKey, TicketMint};
pub use verdict::Verdict;
