//! The entry process on VMs whose workers run tasks under leases.
//!
//! One thread runs everything but the log writer: the VMs have one core, and a switch between
//! threads costs more than a request's decision. The hub alone owns the decisions; intake, links,
//! feeds and worker calls are tasks that reach it through one bounded ring.

mod archive;
mod balance;
mod cell;
mod convert;
mod desk;
mod feeds;
mod hub;
mod input;
mod intake;
mod kept;
mod lag;
mod links;
mod metrics;
mod notes;
mod orders;
mod repeat;
mod roster;
mod server;
#[cfg(test)]
mod tests;

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
use hub::EventLoop;
use input::{Input, InputTx};
use intake::RequestHandler;
use kept::DurableJobStore;
use metrics::LeasedMetrics;
use orders::WorkerCalls;

/// Part of the time between the signal to stop and the kill that is used at most.
const STOP_SHARE: f64 = 0.85;

/// Shortest time for which a stopping VM still takes connections: the balancer needs two checks a
/// second apart to turn away.
const STOP_LINGER: Duration = Duration::from_millis(2_300);

/// The configuration that the intake goes by.
type Routes = Rc<RefCell<Option<Rc<RouteTable>>>>;

/// Checks the settings that a process would start with.
///
/// # Errors
/// Settings that are not usable, with every fault.
pub fn check() -> anyhow::Result<()> {
    let path = NodeSettings::path()?;
    NodeSettings::read(&path)?;
    println!("{}: settings are usable", path.display());
    Ok(())
}

/// Runs the process until it is told to stop and everything in flight has ended.
///
/// # Errors
/// Settings that are not usable, addresses that can't be listened on.
pub fn run() -> anyhow::Result<()> {
    let logs = crate::logging::init_ring();
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
    let (tx, rx) = input::ring(Arc::clone(&metrics));
    let orders = WorkerCalls {
        workers,
        tx: tx.clone(),
        metrics: Arc::clone(&metrics),
    };
    let readiness = Rc::new(balance::Readiness::default());

    let listener = links::listen(settings.peer_listen()).context("peer_listen")?;
    spawn_local(links::accept_all(listener, tx.clone()));
    let kept = DurableJobStore::start(store.clone());
    let intake = Rc::new(RequestHandler::new(
        kept.clone(),
        Rc::clone(&routes),
        Rc::clone(&readiness),
        tx.clone(),
        Arc::clone(&metrics),
    ));
    let server = server::Server::start(settings.listen, &intake).context("listen")?;
    balance::start(settings.readiness_listen, Rc::clone(&readiness)).context("readiness_listen")?;
    metrics::start(settings.address, Arc::clone(&metrics)).context("metrics")?;
    let is_scheduler = Rc::new(Cell::new(false));
    feeds::start(&store, &settings, &is_scheduler, &tx);
    spawn_local(watch_settings(path, settings.clone()));
    info!(
        vm = settings.vm.as_str(), data_centre = settings.data_centre.as_str(),
        listen:% = settings.listen, peers:% = settings.peer_listen(), store:% = settings.store;
        "started"
    );
    let schedules = Rc::clone(&is_scheduler);
    let archive = Archive::start(store.clone(), move || schedules.get());
    let hub = EventLoop::new(hub::Components {
        vm,
        incarnation: rand::random(),
        is_first_start: settings.is_first_start,
        data_centre: settings.data_centre.as_str().into(),
        cpu_tenths: settings.cpu_tenths(),
        cfg: leased_config(&settings),
        store: store.clone(),
        kept,
        archive,
        orders,
        routes,
        readiness: Rc::clone(&readiness),
        is_scheduler,
        tx: tx.clone(),
        metrics,
    });
    let hub = spawn_local(hub.run(rx));

    let mut terminate = signal(SignalKind::terminate()).context("signals")?;
    terminate.recv().await;
    stop(&settings, &tx, &readiness, &store, server).await;
    hub.abort();
    Ok(())
}

/// Turns new callers away, hands the scheduler's part over and waits for what is in flight.
async fn stop(
    settings: &NodeSettings,
    tx: &InputTx,
    readiness: &balance::Readiness,
    store: &StoreClient,
    server: server::Server,
) {
    let started = Instant::now();
    let until = started + settings.stop_grace().mul_f64(STOP_SHARE);
    info!(grace_s = settings.stop_grace_s; "stopping");
    readiness.stop();
    tx.try_send(Input::Stop);
    let linger = (started + STOP_LINGER).min(until);
    tokio::time::sleep_until(linger.into()).await;
    server.close(until).await;
    // Until here answers of schedulers come over the links of the entry.
    feeds::deregister(store, settings).await;
}

/// Reads the settings again at each SIGHUP and says what has changed.
async fn watch_settings(path: PathBuf, mut known: NodeSettings) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else {
        error!("no_reload_signal");
        return;
    };
    while hangups.recv().await.is_some() {
        match NodeSettings::read(&path) {
            Ok(settings) => {
                let is_changed = settings != known;
                info!(is_changed, applies = "at the next start"; "reloaded");
                known = settings;
            }
            Err(e) => error!(reason = format!("{e:#}").as_str(); "reload_refused"),
        }
    }
}

fn leased_config(settings: &NodeSettings) -> geraniumrelay_core::Config {
    let mut cfg = geraniumrelay_core::Config::default();
    let longest = Duration::from_millis(settings.max_lease_ms);
    cfg.leased.lease = cfg.leased.lease.min(longest.mul_f64(0.95));
    cfg.leased.takeover_wait = longest.mul_f64(1.1);
    cfg
}
