//! Start and stop of the entry process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use anyhow::Context as _;
use flume::Receiver;
use geraniumrelay_core::{
    Clock, Command, Config, Context, Dispatcher, Identity, Incarnation, TicketKey, TicketMint,
};
use geraniumrelay_platform::{PlatformClient, PlatformConfig};
use log::{error, info, warn};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::certificate;
use crate::clock::SystemClock;
use crate::credentials::Credentials;
use crate::decision::{DecisionThread, Outlets};
use crate::dispatch::DispatchTx;
use crate::durable::Durable;
use crate::http::{BodyReader, HttpServer, Intake};
use crate::journal::JournalTx;
use crate::limits;
use crate::metrics::Metrics;
use crate::operator::{self, OperatorDesk};
use crate::peer_server::PeerServer;
use crate::peer_tls::PeerTls;
use crate::peers::{self, PeerJob, PeerTx};
use crate::platform_contact::PlatformContact;
use crate::poller::Poller;
use crate::requests::DecisionTx;
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
        let clock = SystemClock;
        let cfg = Config::default();
        let metrics = Arc::new(Metrics::new()?);
        let identity = identity(settings);
        let key = TicketKey(rand::random());
        let mint = TicketMint::new(identity.data_centre, identity.incarnation, key);
        let tls = PeerTls::read(&settings.ca, &settings.cert, &settings.key)?;

        let certificate_expiry = certificate::expiry(&settings.cert)?;
        metrics.set_certificate_expiry(certificate_expiry);

        let (decision, decision_rx) = DecisionTx::ring();
        let (peers, peer_rx) = PeerTx::ring();
        let (drained_tx, drained) = flume::bounded(1);
        let dispatch = DispatchTx::spawn(settings.dispatch_threads, &decision)?;
        let durable = Durable::start(clock, settings, identity, &cfg, &metrics)?;
        let outlets = Outlets {
            dispatch,
            journal: durable.journal.clone(),
            peers: peers.clone(),
            drained: drained_tx,
        };

        let dispatcher = Dispatcher::new(&Context::new(clock.now(), &cfg), identity, mint.clone());
        let ticket_ttl = cfg.claims.ticket_ttl;
        let thread = DecisionThread::new(clock, cfg, dispatcher, outlets, Arc::clone(&metrics));
        spawn("decision", move || thread.run(&decision_rx))?;

        let sheets = Arc::new(SheetCache::default());
        let (listen, decision_tx) = (settings.peer_listen, decision.clone());
        let (peer_sheets, peer_metrics) = (Arc::clone(&sheets), Arc::clone(metrics.peers()));
        spawn("peers", move || {
            let server = PeerServer::new(decision_tx, peer_sheets, peer_metrics);
            if let Err(e) = peers::run(listen, tls, &peer_rx, server) {
                error!(error = e.to_string().as_str(); "peer_transport_failed");
            }
        })?;

        let contact = Arc::new(PlatformContact::default());
        let platform = PlatformConfig::new(settings.platform.clone());
        let (own_sheets, own_contact) = (Arc::clone(&sheets), Arc::clone(&contact));
        let client = PlatformClient::new(platform.clone());
        let poller = Poller::new(
            clock,
            client,
            identity,
            decision.clone(),
            own_sheets,
            own_contact,
        );
        spawn("poller", move || poller.run())?;

        if let Some(listen) = settings.operator_listen {
            let desk = OperatorDesk {
                clock,
                vm: settings.vm,
                operators: Credentials::new(settings.operators.clone()),
                decision: decision.clone(),
                platform,
                sheets,
                contact,
                certificate_expiry,
            };
            operator::start(listen, desk)?;
        }

        let is_stopping = Arc::new(AtomicBool::new(false));
        let intake = Intake {
            clock,
            decision: decision.clone(),
            teams: Credentials::new(settings.teams.clone()),
            mint,
            keys: durable.keys,
            journal: durable.reader,
            ticket_ttl,
            bodies: BodyReader::new(settings.max_body, settings.body_timeout),
            head_timeout: settings.head_timeout,
            metrics,
            is_stopping: Arc::clone(&is_stopping),
        };
        let http = HttpServer::start(settings.listen, intake)?;
        info!(
            vm:% = settings.vm, data_centre:% = settings.data_centre,
            incarnation:% = identity.incarnation, listen:% = settings.listen;
            "started"
        );
        Ok(Self {
            decision,
            journal: durable.journal,
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
        self.decision.tell(Command::Drain);
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
        self.peers.send(PeerJob::Close { tx });
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
