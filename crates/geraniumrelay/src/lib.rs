//! The entry process: threads, rings, HTTP and QUIC around the decisions of
//! [`geraniumrelay_core`].
//!
//! One decision thread alone owns the dispatcher. HTTP intake, dispatch, peer transport and the
//! platform poller are threads of their own, joined to it by bounded rings.

mod clock;
mod convert;
mod decision;
mod dispatch;
mod durable;
mod durable_metrics;
mod http;
mod journal;
mod journal_reader;
mod key_binder;
mod limits;
mod logging;
mod metrics;
mod peer_tls;
mod peers;
mod poller;
mod process;
mod requests;
mod settings;
mod sweeper;

pub use process::run;
pub use settings::Settings;
