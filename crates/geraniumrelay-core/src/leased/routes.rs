//! The operators' configuration: which requests go to which service, and how they rank.

use std::sync::Arc;
use std::time::Duration;

/// A route: requests that go to one queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of its queue.
    pub name: Arc<str>,
    /// Host that requests name.
    pub host: String,
    /// Start of their paths.
    pub path_prefix: String,
    /// Service whose workers run its tasks.
    pub service: Arc<str>,
    /// 0 comes first.
    pub priority: u8,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// Objective of the response time, as a multiple of the run time.
    pub stretch: f64,
    /// Allowance of the objective beside the multiple.
    pub target_latency: Duration,
    /// Longest time that a caller's request may take.
    pub timeout: Option<Duration>,
}

/// Bounds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest body, in bytes.
    pub max_body: usize,
    /// Longest time for the head of a request to arrive.
    pub head_timeout: Duration,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Its version; only grows.
    pub version: u64,
    routes: Vec<Route>,
    /// Bounds of requests.
    pub limits: RequestLimits,
}

impl RouteTable {
    /// A configuration; the longest prefix wins.
    pub fn new(version: u64, mut routes: Vec<Route>, limits: RequestLimits) -> Self {
        routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        Self {
            version,
            routes,
            limits,
        }
    }

    /// The route of a request, with the rest of its path.
    pub fn find<'a, 'p>(&'a self, host: &str, path: &'p str) -> Option<(&'a Route, &'p str)> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host))
            .find_map(|r| Some((r, path.strip_prefix(r.path_prefix.as_str())?)))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
