//! A configuration that grows and changes often, and callers that watch which version is in force.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use geraniumrelay_adapter::http::{Call, Limits};
use geraniumrelay_adapter::{CallError, HttpClient};
use hyper::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::callers::PATIENCE;
use crate::life::Target;
use crate::platform::{HOST, Platform, route};

/// Maximum size of the row, in bytes.
pub(crate) const MAX_ROW_BYTES: usize = 2 << 20;

/// Room in the row for the routes of callers and of the watched versions.
const RESERVED_BYTES: usize = 128 * 1024;

/// Pause between two requests of a watcher.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Changes and watchers of the configuration.
pub(crate) struct Configurations {
    versions: Rc<RefCell<Vec<u64>>>,
    has_ended_changes: Rc<Cell<bool>>,
    is_stopping: Rc<Cell<bool>>,
    violations: Rc<RefCell<Vec<String>>>,
    /// Tasks that return how often they saw the newest version they knew in force again.
    watchers: JoinSet<u64>,
    writer: tokio::task::JoinHandle<usize>,
}

impl Configurations {
    /// Starts to change the configuration, and one watcher for each target.
    pub(crate) fn start(platform: &Rc<Platform>, targets: &[Target], seed: u64) -> Self {
        let versions = Rc::new(RefCell::new(vec![1]));
        let has_ended_changes = Rc::new(Cell::new(false));
        let is_stopping = Rc::new(Cell::new(false));
        let violations = Rc::new(RefCell::default());
        let mut watchers = JoinSet::new();
        for target in targets {
            let watcher = Watcher::new(target.clone(), &versions, &violations);
            watchers.spawn_local(watcher.run(Rc::clone(&is_stopping)));
        }
        let writer = Writer {
            rng: StdRng::seed_from_u64(seed + 700_000),
            platform: Rc::clone(platform),
            versions: Rc::clone(&versions),
            fillers: fillers(),
        };
        Self {
            writer: spawn_local(writer.run(Rc::clone(&has_ended_changes))),
            versions,
            has_ended_changes,
            is_stopping,
            violations,
            watchers,
        }
    }

    /// Ends the changes, and returns the number of versions and the largest number of routes.
    pub(crate) async fn end_changes(&mut self) -> (usize, usize) {
        self.has_ended_changes.set(true);
        let most_routes = (&mut self.writer).await.unwrap();
        (self.versions.borrow().len(), most_routes)
    }

    /// Waits until the newest version is in force everywhere; `false` after `limit`.
    pub(crate) async fn wait_until_in_force(&self, targets: &[Target], limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let newest = self.versions.borrow().last().copied().unwrap();
        for target in targets {
            let http = HttpClient::new();
            while is_in_force(&http, target, newest).await != Ok(Some(true)) {
                if Instant::now() >= until {
                    return false;
                }
                sleep(WATCH_INTERVAL).await;
            }
        }
        true
    }

    /// Ends the watchers, and returns what they found and how often they saw a version in force
    /// again.
    pub(crate) async fn stop(mut self) -> (Vec<String>, u64) {
        self.is_stopping.set(true);
        let mut confirmed = 0;
        while let Some(ended) = self.watchers.join_next().await {
            confirmed += ended.unwrap();
        }
        (self.violations.take(), confirmed)
    }
}

struct Writer {
    rng: StdRng,
    platform: Rc<Platform>,
    versions: Rc<RefCell<Vec<u64>>>,
    fillers: Vec<Value>,
}

impl Writer {
    /// Changes the configuration in series: it grows once, and small changes follow.
    async fn run(mut self, has_ended: Rc<Cell<bool>>) -> usize {
        let most = self.fillers.len();
        let mut count = 0;
        while !has_ended.get() {
            count = (count + self.rng.random_range(most / 8..most / 2)).min(most);
            self.write(count);
            for _ in 0..self.rng.random_range(0..6) {
                self.pause(50..700).await;
                self.write(count);
            }
            self.pause(200..2_500).await;
        }
        count
    }

    async fn pause(&mut self, ms: std::ops::Range<u64>) {
        sleep(Duration::from_millis(self.rng.random_range(ms))).await;
    }

    fn write(&mut self, count: usize) {
        let last = self.versions.borrow().last().copied().unwrap();
        let version = last + self.rng.random_range(1..40);
        self.versions.borrow_mut().push(version);
        let mut routes = self.fillers[..count].to_vec();
        let versions = self.versions.borrow();
        let watched = versions.iter().map(|v| route(HOST, &watched_path(*v)));
        routes.extend(watched);
        self.platform.set_configuration(version, routes);
    }
}

/// Routes that no caller uses, as many as fit into the row.
fn fillers() -> Vec<Value> {
    let filler = |number| {
        let host = format!("host-{number:06}.example");
        route(&host, &format!("/filler/{number:06}/"))
    };
    let bytes = filler(0).to_string().len() + 1;
    let count = (MAX_ROW_BYTES - RESERVED_BYTES) / bytes;
    (0..count).map(filler).collect()
}

/// Path prefix that each version has a route for, from the version in the path on.
fn watched_path(version: u64) -> String {
    format!("/since-{version}/")
}

/// Whether a version or a later one is in force; `None` if the process can't tell.
async fn is_in_force(
    http: &HttpClient,
    target: &Target,
    version: u64,
) -> Result<Option<bool>, CallError> {
    let call = Call {
        address: target.address,
        // No route accepts the method, but the process looks for the route first.
        method: Method::PUT,
        path: format!("http://{HOST}{}{:016x}", watched_path(version), 1),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        limits: Limits::whole(PATIENCE),
    };
    let res = http.call(call).await?;
    Ok(match res.status.as_u16() {
        404 => Some(false),
        405 => Some(true),
        _ => None,
    })
}

/// Checks that one process never goes back to an earlier version.
struct Watcher {
    target: Target,
    http: HttpClient,
    versions: Rc<RefCell<Vec<u64>>>,
    violations: Rc<RefCell<Vec<String>>>,
    /// Number of the process, and the newest version that was seen in force there.
    seen: (u64, u64),
    confirmed: u64,
}

impl Watcher {
    fn new(
        target: Target,
        versions: &Rc<RefCell<Vec<u64>>>,
        violations: &Rc<RefCell<Vec<String>>>,
    ) -> Self {
        Self {
            target,
            http: HttpClient::new(),
            versions: Rc::clone(versions),
            violations: Rc::clone(violations),
            seen: (0, 0),
            confirmed: 0,
        }
    }

    async fn run(mut self, is_stopping: Rc<Cell<bool>>) -> u64 {
        while !is_stopping.get() {
            let versions = self.versions.borrow().clone();
            // Most processes have one of the last versions; a new one may have none of them yet.
            for &version in versions.iter().rev().take(4).rev() {
                if version > self.seen.1 || self.target.life.number() != self.seen.0 {
                    self.check(version).await;
                }
            }
            if self.seen.1 > 0 {
                self.check(self.seen.1).await;
            }
            sleep(WATCH_INTERVAL).await;
        }
        self.confirmed
    }

    async fn check(&mut self, version: u64) {
        let life = Rc::clone(&self.target.life);
        let (number, moment) = (life.number(), life.now());
        let answer = is_in_force(&self.http, &self.target, version).await;
        if number != life.number() {
            return;
        }
        if self.seen.0 != number {
            self.seen = (number, 0);
        }
        let address = self.target.address;
        match answer {
            Ok(Some(true)) if version == self.seen.1 => self.confirmed += 1,
            Ok(Some(true)) => self.seen.1 = self.seen.1.max(version),
            Ok(Some(false)) if version <= self.seen.1 => {
                let seen = self.seen.1;
                self.report(format!("{address} went back from version {seen}"));
            }
            Err(CallError::Unanswered) if moment.is_some_and(|m| life.has_run_since(m)) => {
                self.report(format!("{address} gave no answer on version {version}"));
            }
            _ => {}
        }
    }

    fn report(&self, violation: String) {
        self.violations.borrow_mut().push(violation);
    }
}
