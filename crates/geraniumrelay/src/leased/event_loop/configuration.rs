//! The configuration in force: from the platform's store, or in parts from another entry VM.

use std::rc::Rc;
use std::time::{Duration, Instant};

use geraniumrelay_adapter::store::configuration;
use geraniumrelay_adapter::{Change, Table};
use geraniumrelay_core::Context;
use geraniumrelay_core::leased::EntryVm;
use geraniumrelay_core::leased::config_transfer::{DownloadEvent, PartRequest};
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Beat, ConfigurationPart, FetchConfiguration};
use log::{info, warn};

use super::EventLoop;
use crate::leased::convert;

/// Minimum interval between two lines on refused uploads; all other VMs may ask at the same time.
const REFUSAL_LINE_INTERVAL: Duration = Duration::from_secs(1);

impl EventLoop {
    /// Puts a configuration in force if it is readable and newer. It is from a peer, or from the
    /// store for `None`.
    pub(super) fn apply_configuration(&mut self, change: Change, peer: Option<EntryVm>) {
        let source = if peer.is_some() { "peer" } else { "store" };
        let from = peer.map_or_else(|| "store".to_owned(), |vm| vm.to_string());
        let bytes = change.value.as_ref().map_or(0, Vec::len);
        let routes = match configuration(&change) {
            Some(Ok(routes)) => routes,
            Some(Err(e)) => {
                warn!(reason:% = e, source, from = from.as_str(), bytes; "configuration_refused");
                return;
            }
            None => return,
        };
        let known = self.config_version();
        if routes.version <= known {
            return;
        }
        info!(
            version = routes.version, previous = known, routes = routes.len(), source, from = from.as_str(), bytes;
            "configuration_in_force"
        );
        self.components.metrics.set_configuration(routes.version);
        self.configuration = change.value.unwrap_or_default().into();
        *self.components.routes.borrow_mut() = Some(Rc::new(routes));
    }

    /// Version of the configuration in force; 0 where there is none.
    pub(super) fn config_version(&self) -> u64 {
        let routes = self.components.routes.borrow();
        routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// Records the version that a peer has in force, if this VM can ask it.
    pub(super) fn on_peer_version(&mut self, from: EntryVm, heartbeat: &Beat) {
        if self.links.contains_key(&from) {
            let is_local = heartbeat.data_centre == *self.components.data_centre;
            self.config_download
                .set_peer_version(from, heartbeat.config_version, is_local);
        }
    }

    /// Requests a newer configuration from a peer where the store does not provide it.
    pub(super) fn tick_configuration(&mut self, now: Instant) {
        let cx = Context::new(now, &self.components.cfg);
        let version = self.config_version();
        let is_store_healthy = !self.store_health.is_failing(Table::Configuration);
        let tick = self.config_download.tick(&cx, version, is_store_healthy);
        if let Some((from, bytes)) = tick.stalled {
            warn!(from:% = from, bytes, version; "configuration_download_stalled");
        }
        if let Some(request) = tick.request {
            let offset = request.offset;
            info!(from:% = request.to, version, offset, is_store_healthy; "configuration_download_begun");
            self.request_part(request);
        }
    }

    /// Sends the requested part of the configuration, unless too many peers are downloading it.
    pub(super) fn on_part_request(&mut self, from: EntryVm, fetch: &FetchConfiguration) {
        let version = self.config_version();
        if version == 0 {
            return;
        }
        let now = Instant::now();
        let cx = Context::new(now, &self.components.cfg);
        let request = convert::part_request_from_wire(fetch, self.components.vm);
        let current = (version, &self.configuration);
        let part = self.config_uploads.part(&cx, from, current, &request);
        if part.total == 0 {
            self.log_refused_upload(from, now);
        } else if part.offset == 0 {
            info!(to:% = from, version = part.version, bytes = part.total; "configuration_upload_begun");
        }
        let part = convert::part_to_wire(part);
        self.send(from, Body::ConfigurationPart(part));
    }

    /// Logs a refused upload, at most one in an interval.
    fn log_refused_upload(&mut self, to: EntryVm, now: Instant) {
        if now >= self.next_upload_refusal_line {
            self.next_upload_refusal_line = now + REFUSAL_LINE_INTERVAL;
            info!(to:% = to, version = self.config_version(); "configuration_upload_refused");
        }
    }

    /// Adds a received part, and requests the next one or puts the configuration in force.
    pub(super) fn on_part(&mut self, from: EntryVm, part: ConfigurationPart) {
        let cx = Context::new(Instant::now(), &self.components.cfg);
        let part = convert::part_from_wire(part);
        match self.config_download.on_part(&cx, from, &part) {
            DownloadEvent::Unchanged => {}
            DownloadEvent::Request(request) => self.request_part(request),
            DownloadEvent::Complete { version, row, took } => {
                let took_ms = took.as_millis();
                info!(from:% = from, version, bytes = row.len(), took_ms; "configuration_downloaded");
                self.apply_configuration(convert::configuration_change(row), Some(from));
            }
        }
    }

    fn request_part(&self, request: PartRequest) {
        let fetch = convert::part_request_to_wire(request);
        self.send(request.to, Body::FetchConfiguration(fetch));
    }
}
