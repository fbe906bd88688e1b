//! Entry process: threads, channels, HTTP and QUIC around the dispatcher of
//! [`geraniumrelay_core`].
//!
//! The decision thread is the only owner of the dispatcher. The HTTP server for callers, dispatch,
//! the peer transport and the platform poller run on their own threads and are connected to it by
//! bounded channels. The operator interface listens on a separate address.

#[cfg(test)]
mod border_tests;
mod certificate;
mod clock;
mod convert;
mod convert_loans;
mod credentials;
mod decision;
mod dispatch;
mod durable;
mod durable_metrics;
mod handover_wire;
mod http;
mod intake;
mod journal;
mod journal_reader;
mod key_binder;
mod leased;
mod limits;
mod load_metrics;
mod logging;
mod metrics;
mod operator;
mod peer_metrics;
mod peer_server;
mod peer_tls;
mod peers;
mod platform_contact;
mod poller;
mod process;
mod registrar;
mod requests;
mod settings;
mod sheet_cache;
mod sweeper;
mod vm_rows;

pub use leased::{check as check_leased, run as run_leased};
pub use process::run;
pub use settings::Settings;
