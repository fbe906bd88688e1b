//! The operators' configuration: routes of requests to services, priorities and limits.

use std::sync::Arc;
use std::time::Duration;

/// A route: the requests of one host and path prefix, which share a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route and of its queue.
    pub name: Arc<str>,
    /// Host of the requests, without a port; compared without regard to case.
    pub host: String,
    /// Prefix of the paths of the requests.
    pub path_prefix: String,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Whether the workers of the service refuse what does not fit into their capacity.
    pub enforces_capacity: bool,
    /// Priority of the jobs; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of failed runs of a task, with which the job fails.
    pub max_attempts: u32,
    /// Objective of the response time: multiple of the expected run time.
    pub stretch: f64,
    /// Objective of the response time: time added to the multiple.
    pub target_latency: Duration,
    /// Maximum wait of a caller for the answer; `None` if the route sets no limit.
    pub timeout: Option<Duration>,
}

/// Limits of incoming requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a body, in bytes.
    pub max_body: usize,
    /// Maximum time for the head of a request to arrive.
    pub head_timeout: Duration,
}

/// All routes and limits of one configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTable {
    /// Version of the configuration; increases with each change.
    pub version: u64,
    routes: Vec<Route>,
    /// Limits of incoming requests on all routes.
    pub limits: RequestLimits,
}

impl RouteTable {
    /// Makes a configuration, in which the route with the longest matching prefix applies.
    pub fn new(version: u64, mut routes: Vec<Route>, limits: RequestLimits) -> Self {
        routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        Self {
            version,
            routes,
            limits,
        }
    }

    /// The route of a request, and its path without the prefix; `None` if no route matches.
    pub fn find<'a, 'p>(&'a self, host: &str, path: &'p str) -> Option<(&'a Route, &'p str)> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|r| r.host.eq_ignore_ascii_case(host))
            .find_map(|r| Some((r, path.strip_prefix(r.path_prefix.as_str())?)))
    }

    /// Number of configured routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether no route is configured.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}
