//! Start of the threads that keep rows in the platform's table.

use std::sync::Arc;
use std::time::Duration;

use geraniumrelay_core::{Clock, Config, Identity};
use geraniumrelay_platform::{PlatformClient, PlatformConfig};

use crate::journal::{Journal, JournalSettings, JournalTx};
use crate::journal_reader::JournalReaderTx;
use crate::key_binder::{KeyBinder, KeyBinderTx};
use crate::metrics::Metrics;
use crate::process::spawn;
use crate::settings::Settings;
use crate::sweeper;

/// Ways to what is kept in the platform's table.
#[derive(Debug)]
pub struct DurableStorage {
    /// Ring to the thread that binds idempotency keys.
    pub keys: KeyBinderTx,
    /// Ring to the journal's thread.
    pub journal: JournalTx,
    /// Ring to the threads that read the journal.
    pub reader: JournalReaderTx,
}

impl DurableStorage {
    /// Starts the threads.
    ///
    /// # Errors
    /// Threads that can't be started.
    pub fn start<C: Clock + Copy + 'static>(
        clock: C,
        settings: &Settings,
        identity: Identity,
        cfg: &Config,
        metrics: &Arc<Metrics>,
    ) -> std::io::Result<Self> {
        let platform = PlatformConfig::new(settings.platform.clone());
        let client = || PlatformClient::new(platform.clone());

        let (keys, rx) = KeyBinderTx::ring();
        let interval = Duration::from_secs(1) / settings.key_commits;
        let binder = KeyBinder::new(clock, client(), settings.key_ttl, interval);
        let shared = Arc::clone(metrics);
        spawn("keys", move || binder.run(&rx, &shared))?;

        let (journal, rx) = JournalTx::ring();
        let journal_settings = JournalSettings {
            cfg: cfg.journal.clone(),
            ttl: settings.journal_ttl,
            commit_interval: Duration::from_secs(1) / settings.journal_commits,
        };
        let thread = Journal::new(clock, client(), identity, journal_settings, journal.clone());
        let shared = Arc::clone(metrics);
        spawn("journal", move || thread.run(&rx, &shared))?;

        let (sweeper_client, shared) = (client(), Arc::clone(metrics));
        spawn("sweeper", move || {
            sweeper::run(&clock, &sweeper_client, &shared);
        })?;

        let reader = JournalReaderTx::spawn(&platform)?;
        Ok(Self {
            keys,
            journal,
            reader,
        })
    }
}
