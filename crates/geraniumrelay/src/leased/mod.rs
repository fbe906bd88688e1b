//! Entry process of the VMs whose workers run tasks under leases.
//!
//! One thread runs everything but the log writer: the VMs have one core, and a thread switch costs
//! more than the decision on a request. The event loop alone makes decisions; request handlers,
//! links, table watches and worker calls are async tasks that send to it through one bounded queue.

mod archive;
mod call_retry;
mod cancellations;
mod cell;
mod convert;
mod crossing_reason;
mod decision_log;
mod decision_metrics;
mod directory;
mod durable_jobs;
mod event_loop;
mod input;
mod lag;
mod link_load;
mod links;
mod metrics;
mod pause;
mod pending_jobs;
mod readiness;
mod request_handler;
mod run_metrics;
mod server;
mod store_health;
mod table_watch;
#[cfg(test)]
mod tests;
mod worker_calls;

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use geraniumrelay_adapter::{HttpClient, NodeSettings, StoreClient, WorkerClient};
use geraniumrelay_core::leased::EntryVm;
use geraniumrelay_core::leased::routes::RouteTable;
use log::{error, info};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

use archive::Archive;
use durable_jobs::DurableJobStore;
use event_loop::EventLoop;
use input::{Input, InputTx};
use metrics::LeasedMetrics;
use request_handler::RequestHandler;
use worker_calls::WorkerCalls;

use crate::intake::{Intake, IntakeLimits};

/// Largest part of the grace period, from the stop signal until the process is killed, that a stop
/// uses.
const STOP_GRACE_SHARE: f64 = 0.85;

/// Shortest time for which a stopping VM still accepts connections: the load balancer stops sending
/// new ones after two failed checks, a second apart.
const STOP_LINGER: Duration = Duration::from_millis(2_300);

/// Routes of the configuration in force; `None` until a configuration is known.
type Routes = Rc<RefCell<Option<Rc<RouteTable>>>>;

/// Checks the settings file that [`run`] would read, and prints its path if it is valid.
///
/// # Errors
/// The settings can't be read or are invalid; the error lists every fault.
pub fn check() -> anyhow::Result<()> {
    let path = NodeSettings::path()?;
    NodeSettings::read(&path)?;
    println!("{}: settings are usable", path.display());
    Ok(())
}

/// Runs the process until SIGTERM, and then until everything in flight has ended or the grace
/// period is almost over.
///
/// # Errors
/// The settings can't be read or are invalid, or an address can't be bound.
pub fn run() -> anyhow::Result<()> {
    let logs = crate::logging::init_with_writer();
    let path = NodeSettings::path()?;
    let settings = match NodeSettings::read(&path) {
        Ok(settings) => settings,
        Err(e) => {
            error!(reason = format!("{e:#}").as_str(); "settings_refused");
            logs.flush();
            return Err(e);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("runtime")?;
    let result = LocalSet::new().block_on(&runtime, serve(path, settings));
    info!("stopped");
    logs.flush();
    result
}

async fn serve(path: PathBuf, settings: NodeSettings) -> anyhow::Result<()> {
    let vm = EntryVm(settings.address);
    let http = Rc::new(HttpClient::new());
    let store = StoreClient::new(Rc::clone(&http), settings.store);
    let workers = WorkerClient::new(http);
    let routes = Routes::default();
    let metrics = Arc::new(LeasedMetrics::new()?);
    let (tx, rx) = input::channel(Arc::clone(&metrics));
    let worker_calls = WorkerCalls {
        workers,
        tx: tx.clone(),
        metrics: Arc::clone(&metrics),
    };
    let readiness = Rc::new(readiness::Readiness::default());

    let listener = links::listen(settings.peer_listen()).context("peer_listen")?;
    spawn_local(links::accept_all(listener, tx.clone()));
    let durable_jobs = DurableJobStore::start(store.clone());
    let handler = Rc::new(RequestHandler::new(
        durable_jobs.clone(),
        Rc::clone(&routes),
        Rc::clone(&readiness),
        tx.clone(),
        Arc::clone(&metrics),
    ));
    let limits = IntakeLimits::new(settings.client_memory_mb, settings.max_connections);
    let intake = Intake::new(limits, metrics.intake());
    let server = server::Server::start(settings.listen, &handler, intake).context("listen")?;
    readiness::start(settings.readiness_listen, Rc::clone(&readiness))
        .context("readiness_listen")?;
    metrics::start(settings.address, Arc::clone(&metrics)).context("metrics")?;
    let is_scheduler = Rc::new(Cell::new(false));
    table_watch::start(&store, &settings, &is_scheduler, &tx);
    spawn_local(watch_settings(path, settings.clone()));
    info!(
        vm = settings.vm.as_str(), data_centre = settings.data_centre.as_str(),
        listen:% = settings.listen, peers:% = settings.peer_listen(), store:% = settings.store;
        "started"
    );
    let is_archiving = Rc::clone(&is_scheduler);
    let archive = Archive::start(store.clone(), move || is_archiving.get());
    let event_loop = EventLoop::new(event_loop::Components {
        vm,
        incarnation: rand::random(),
        is_first_start: settings.is_first_start,
        data_centre: settings.data_centre.as_str().into(),
        cpu_tenths: settings.cpu_tenths(),
        cfg: leased_config(&settings),
        store: store.clone(),
        durable_jobs,
        archive,
        worker_calls,
        routes,
        readiness: Rc::clone(&readiness),
        is_scheduler,
        tx: tx.clone(),
        metrics,
        boot_clock: pause::boot_clock,
    });
    let event_loop = spawn_local(event_loop.run(rx));

    let mut terminate = signal(SignalKind::terminate()).context("signals")?;
    terminate.recv().await;
    stop(&settings, &tx, &readiness, &store, server).await;
    event_loop.abort();
    Ok(())
}

/// Reports this VM as unready, hands the scheduler role over, and waits for the requests in flight.
async fn stop(
    settings: &NodeSettings,
    tx: &InputTx,
    readiness: &readiness::Readiness,
    store: &StoreClient,
    server: server::Server,
) {
    let started = Instant::now();
    let until = started + settings.stop_grace().mul_f64(STOP_GRACE_SHARE);
    info!(grace_s = settings.stop_grace_s; "stopping");
    readiness.stop(until);
    tx.try_send(Input::Stop);
    let linger = (started + STOP_LINGER).min(until);
    tokio::time::sleep_until(linger.into()).await;
    server.close(until).await;
    // The schedulers' answers come over links to this VM's entry, which must exist until here.
    table_watch::deregister(store, settings).await;
}

/// Reads the settings again on each SIGHUP and logs whether they differ. A change applies at the
/// next start.
async fn watch_settings(path: PathBuf, mut current: NodeSettings) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        error!("no_reload_signal");
        return;
    };
    while hangups.recv().await.is_some() {
        match NodeSettings::read(&path) {
            Ok(settings) => {
                let is_changed = settings != current;
                info!(is_changed, applies = "at the next start"; "reloaded");
                current = settings;
            }
            Err(e) => error!(reason = format!("{e:#}").as_str(); "reload_refused"),
        }
    }
}

/// The configuration that follows from the settings.
fn leased_config(settings: &NodeSettings) -> geraniumrelay_core::Config {
    let mut cfg = geraniumrelay_core::Config::default();
    let max_lease = Duration::from_millis(settings.max_lease_ms);
    let resend_delay = Duration::from_millis(settings.resend_ms);
    cfg.leased = cfg.leased.with_times(max_lease, resend_delay);
    cfg.leased.locality.remote_factor = settings.remote_factor;
    cfg
}
