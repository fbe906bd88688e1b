//! Start and stop of the entry process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, SystemTime};

use anyhow::Context as _;
use flume::Receiver;
use geraniumrelay_core::{
    Clock, Command, Config, Context, Dispatcher, Identity, Incarnation, TicketKey, TicketMint,
};
use geraniumrelay_platform::{PlatformClient, PlatformConfig};
use log::{info, warn};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::certificate;
use crate::clock::SystemClock;
use crate::credentials::Credentials;
use crate::decision::{DecisionThread, Outputs};
use crate::dispatch::DispatchTx;
use crate::durable::DurableStorage;
use crate::http::{BodyReader, CallerApi, HttpServer};
use crate::journal::JournalTx;
use crate::limits;
use crate::metrics::Metrics;
use crate::operator::{self, OperatorApi};
use crate::peer_server::PeerServer;
use crate::peer_tls::PeerTls;
use crate::peers::{self, PeerCommand, PeerTx};
use crate::platform_contact::PlatformContact;
use crate::poller::Poller;
use crate::requests::{DecisionTx, Input};
use crate::settings::Settings;
use crate::sheet_cache::SheetCache;

/// Longest wait until the peers are told of the end.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs the process until it is told to stop and everything in flight has ended.
///
/// # Errors
/// Settings that are not usable, addresses that can't be listened on, certificates that can't be
/// read.
pub fn run(settings: &Settings) -> anyhow::Result<()> {
    crate::logging::init();
    settings.check()?;
    limits::raise_open_files();
    let entry = Entry::start(settings)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("signals")?;
    let signal = signals.forever().next();
    info!(signal:? = signal; "stopping");
    entry.stop(settings);
    Ok(())
}

/// What every thread is started with.
struct Starter<'a> {
    settings: &'a Settings,
    cfg: Config,
    identity: Identity,
    mint: TicketMint,
    metrics: Arc<Metrics>,
    sheets: Arc<SheetCache>,
    contact: Arc<PlatformContact>,
    platform: PlatformConfig,
}

impl<'a> Starter<'a> {
    fn new(settings: &'a Settings) -> anyhow::Result<Self> {
        let identity = identity(settings);
        let key = TicketKey(rand::random());
        let mut cfg = Config::default();
        cfg.claims.ticket_ttl = settings.ticket_ttl;
        Ok(Self {
            settings,
            cfg,
            identity,
            mint: TicketMint::new(identity.data_centre, identity.incarnation, key),
            metrics: Arc::new(Metrics::new()?),
            sheets: Arc::default(),
            contact: Arc::default(),
            platform: PlatformConfig::new(settings.platform.clone()),
        })
    }

    fn start_decision(&self, rx: Receiver<Input>, outputs: Outputs) -> std::io::Result<()> {
        let cfg = self.cfg.clone();
        let cx = Context::new(SystemClock.now(), &cfg);
        let dispatcher = Dispatcher::new(&cx, self.identity, self.mint.clone());
        let metrics = Arc::clone(&self.metrics);
        let thread = DecisionThread::new(SystemClock, cfg, dispatcher, outputs, metrics);
        spawn("decision", move || thread.run(&rx))
    }

    fn start_peers(
        &self,
        tls: PeerTls,
        rx: Receiver<PeerCommand>,
        decision: &DecisionTx,
    ) -> anyhow::Result<()> {
        let (sheets, metrics) = (Arc::clone(&self.sheets), Arc::clone(self.metrics.peers()));
        let server = PeerServer::new(decision.clone(), sheets, metrics);
        peers::start(self.settings.peer_listen, tls, rx, server)
    }

    fn start_poller(&self, decision: &DecisionTx) -> std::io::Result<()> {
        let poller = Poller::new(
            SystemClock,
            PlatformClient::new(self.platform.clone()),
            self.identity,
            decision.clone(),
            Arc::clone(&self.sheets),
            Arc::clone(&self.contact),
        );
        spawn("poller", move || poller.run())
    }

    fn start_operators(&self, decision: &DecisionTx, expiry: SystemTime) -> anyhow::Result<()> {
        let Some(listen) = self.settings.operator_listen else {
            return Ok(());
        };
        let api = OperatorApi {
            clock: SystemClock,
            vm: self.settings.vm,
            operators: Credentials::new(self.settings.operators.clone()),
            decision: decision.clone(),
            platform: self.platform.clone(),
            sheets: Arc::clone(&self.sheets),
            contact: Arc::clone(&self.contact),
            certificate_expiry: expiry,
        };
        operator::start(listen, api)
    }

    fn start_intake(
        &self,
        decision: &DecisionTx,
        durable: &DurableStorage,
        is_stopping: &Arc<AtomicBool>,
    ) -> anyhow::Result<HttpServer> {
        let settings = self.settings;
        let intake = CallerApi {
            clock: SystemClock,
            decision: decision.clone(),
            teams: Credentials::new(settings.teams.clone()),
            mint: self.mint.clone(),
            keys: durable.keys.clone(),
            journal: durable.reader.clone(),
            ticket_ttl: self.cfg.claims.ticket_ttl,
            body_reader: BodyReader::new(settings.max_body, settings.body_timeout),
            head_timeout: settings.head_timeout,
            metrics: Arc::clone(&self.metrics),
            is_stopping: Arc::clone(is_stopping),
        };
        HttpServer::start(settings.listen, intake)
    }
}

/// The running threads.
#[derive(Debug)]
struct Entry {
    decision: DecisionTx,
    journal: JournalTx,
    peers: PeerTx,
    drained: Receiver<()>,
    http: HttpServer,
    is_stopping: Arc<AtomicBool>,
}

impl Entry {
    fn start(settings: &Settings) -> anyhow::Result<Self> {
        let starter = Starter::new(settings)?;
        let Starter {
            cfg,
            identity,
            metrics,
            ..
        } = &starter;
        let tls = PeerTls::read(&settings.ca, &settings.cert, &settings.key)?;
        let certificate_expiry = certificate::expiry(&settings.cert)?;
        metrics.set_certificate_expiry(certificate_expiry);

        let (decision, decision_rx) = DecisionTx::channel();
        let (peers, peer_rx) = PeerTx::channel();
        let (drained_tx, drained) = flume::bounded(1);
        let durable = DurableStorage::start(SystemClock, settings, *identity, cfg, metrics)?;
        let outputs = Outputs {
            dispatch: DispatchTx::spawn(settings.dispatch_threads, &decision)?,
            journal: durable.journal.clone(),
            peers: peers.clone(),
            drained: drained_tx,
        };

        starter.start_decision(decision_rx, outputs)?;
        starter.start_peers(tls, peer_rx, &decision)?;
        starter.start_poller(&decision)?;
        starter.start_operators(&decision, certificate_expiry)?;
        let is_stopping = Arc::default();
        let http = starter.start_intake(&decision, &durable, &is_stopping)?;
        info!(
            vm:% = settings.vm, data_centre:% = settings.data_centre,
            incarnation:% = identity.incarnation, listen:% = settings.listen;
            "started"
        );
        let journal = durable.journal;
        Ok(Self {
            decision,
            journal,
            peers,
            drained,
            http,
            is_stopping,
        })
    }

    fn stop(&self, settings: &Settings) {
        self.is_stopping.store(true, Ordering::SeqCst);
        let started = SystemClock.now();
        let until = started + settings.stop_timeout;
        self.decision.send(Command::Drain);
        let has_drained = self.drained.recv_deadline(until).is_ok();
        let linger = started + settings.stop_linger;
        thread::sleep(linger.saturating_duration_since(SystemClock.now()));
        let is_idle = self.http.close(until);
        let is_journaled = self.journal.close(until);
        self.close_peers();
        if has_drained && is_idle && is_journaled {
            info!("stopped");
        } else {
            warn!(has_drained, is_idle, is_journaled; "stopped_with_work_in_flight");
        }
    }

    /// Tells the peers, so that they don't wait for replies of a process that has ended.
    fn close_peers(&self) {
        let (tx, rx) = flume::bounded(1);
        self.peers.send(PeerCommand::Close { tx });
        // Peers notice by themselves where this takes too long.
        let _ = rx.recv_timeout(CLOSE_TIMEOUT);
    }
}

fn identity(settings: &Settings) -> Identity {
    Identity {
        vm: settings.vm,
        data_centre: settings.data_centre,
        peer_address: settings.peer_advertise.unwrap_or(settings.peer_listen),
        incarnation: Incarnation(rand::random()),
    }
}

/// Starts a named thread.
pub(crate) fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .map(drop)
}
