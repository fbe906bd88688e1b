//! Starts the threads that read, write and delete rows in the platform's table.

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

/// Handles of the threads that work on the platform's table.
#[derive(Debug)]
pub struct DurableStorage {
    /// Sends idempotency keys to the thread that binds them.
    pub keys: KeyBinderTx,
    /// Sends entries to the journal thread.
    pub journal: JournalTx,
    /// Sends read requests to the journal reader threads.
    pub reader: JournalReaderTx,
}

impl DurableStorage {
    /// Starts the key binder, journal, sweeper and journal reader threads.
    ///
    /// # Errors
    /// A thread can't be started.
    pub fn start<C: Clock + Copy + 'static>(
        clock: C,
        settings: &Settings,
        identity: Identity,
        cfg: &Config,
        metrics: &Arc<Metrics>,
    ) -> std::io::Result<Self> {
        let platform = PlatformConfig::new(settings.platform.clone());
        let client = || PlatformClient::new(platform.clone());

        let (keys, rx) = KeyBinderTx::channel();
        let commit_interval = Duration::from_secs(1) / settings.key_commits;
        let binder = KeyBinder::new(clock, client(), settings.key_ttl, commit_interval);
        let thread_metrics = Arc::clone(metrics);
        spawn("keys", move || binder.run(&rx, &thread_metrics))?;

        let (journal, rx) = JournalTx::channel();
        let journal_settings = JournalSettings {
            cfg: cfg.journal.clone(),
            ttl: settings.journal_ttl,
            commit_interval: Duration::from_secs(1) / settings.journal_commits,
        };
        let writer = Journal::new(clock, client(), identity, journal_settings, journal.clone());
        let thread_metrics = Arc::clone(metrics);
        spawn("journal", move || writer.run(&rx, &thread_metrics))?;

        let (sweeper_client, thread_metrics) = (client(), Arc::clone(metrics));
        spawn("sweeper", move || {
            sweeper::run(&clock, &sweeper_client, &thread_metrics);
        })?;

        let reader = JournalReaderTx::spawn(&platform)?;
        Ok(Self {
            keys,
            journal,
            reader,
        })
    }
}
