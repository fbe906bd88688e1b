//! Start and graceful stop of the entry process.

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
use crate::http::{BodyLimits, CallerApi, HttpServer};
use crate::intake::IntakeLimits;
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

/// Maximum wait for the peer connections to close at the end of the process.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs the process until SIGTERM or SIGINT, then stops it gracefully: jobs in flight get up to the
/// stop time-out to end.
///
/// # Errors
/// Invalid settings, addresses that can't be listened on, certificates that can't be read.
pub fn run(settings: &Settings) -> anyhow::Result<()> {
    crate::logging::init();
    settings.check()?;
    limits::raise_open_file_limit();
    let process = EntryProcess::start(settings)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).context("installing signal handlers")?;
    let signal = signals.forever().next();
    info!(signal:? = signal; "stopping");
    process.stop(settings);
    Ok(())
}

/// Values from which the threads are started.
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
        cfg.claim_table.ticket_ttl = settings.ticket_ttl;
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

    fn start_decision_thread(&self, rx: Receiver<Input>, outputs: Outputs) -> std::io::Result<()> {
        let cfg = self.cfg.clone();
        let cx = Context::new(SystemClock.now(), &cfg);
        let dispatcher = Dispatcher::new(&cx, self.identity, self.mint.clone());
        let metrics = Arc::clone(&self.metrics);
        let thread = DecisionThread::new(SystemClock, cfg, dispatcher, outputs, metrics);
        spawn("decision", move || thread.run(&rx))
    }

    fn start_peer_transport(
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

    fn start_operator_api(
        &self,
        decision: &DecisionTx,
        certificate_expiry: SystemTime,
    ) -> anyhow::Result<()> {
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
            certificate_expiry,
        };
        operator::start(listen, api)
    }

    fn start_caller_api(
        &self,
        decision: &DecisionTx,
        durable: &DurableStorage,
        is_stopping: &Arc<AtomicBool>,
    ) -> anyhow::Result<HttpServer> {
        let settings = self.settings;
        let api = CallerApi {
            clock: SystemClock,
            decision: decision.clone(),
            teams: Credentials::new(settings.teams.clone()),
            mint: self.mint.clone(),
            keys: durable.keys.clone(),
            journal: durable.reader.clone(),
            ticket_ttl: self.cfg.claim_table.ticket_ttl,
            body_limits: BodyLimits {
                max_bytes: settings.max_body,
                timeout: settings.body_timeout,
            },
            head_timeout: settings.head_timeout,
            metrics: Arc::clone(&self.metrics),
            is_stopping: Arc::clone(is_stopping),
        };
        let limits = IntakeLimits::new(settings.client_memory_mb, settings.max_connections);
        let limits = limits.with_largest_request(settings.max_body);
        HttpServer::start(settings.listen, api, limits)
    }
}

/// Handles of the running threads.
#[derive(Debug)]
struct EntryProcess {
    decision: DecisionTx,
    journal: JournalTx,
    peers: PeerTx,
    drained: Receiver<()>,
    http: HttpServer,
    is_stopping: Arc<AtomicBool>,
}

impl EntryProcess {
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

        starter.start_decision_thread(decision_rx, outputs)?;
        starter.start_peer_transport(tls, peer_rx, &decision)?;
        starter.start_poller(&decision)?;
        starter.start_operator_api(&decision, certificate_expiry)?;
        let is_stopping = Arc::default();
        let http = starter.start_caller_api(&decision, &durable, &is_stopping)?;
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
        let stopping_since = SystemClock.now();
        let deadline = stopping_since + settings.stop_timeout;
        self.decision.send(Command::Drain);
        let has_drained = self.drained.recv_deadline(deadline).is_ok();
        let linger_until = stopping_since + settings.stop_linger;
        thread::sleep(linger_until.saturating_duration_since(SystemClock.now()));
        let is_idle = self.http.close(deadline);
        let is_journaled = self.journal.close(deadline);
        self.close_peers();
        if has_drained && is_idle && is_journaled {
            info!("stopped");
        } else {
            warn!(has_drained, is_idle, is_journaled; "stopped_with_work_in_flight");
        }
    }

    /// Closes the peer connections, so that peers don't wait for replies from an ended process.
    fn close_peers(&self) {
        let (tx, rx) = flume::bounded(1);
        self.peers.send(PeerCommand::Close { tx });
        // If closing takes longer, peers detect the end of the process by their own time-outs.
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

/// Starts a detached thread with a name, which appears in panic messages.
pub(crate) fn spawn(name: &str, f: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .map(drop)
}
