//! Configurations in the form of the row `op/config`, and what is wrong with them. Nothing here reads a file.

mod contents;
mod differences;
mod finding;
mod shape;

use serde::Deserialize;

pub use self::contents::check;
pub use self::differences::compare;
pub use self::finding::{Finding, Severity, Source};

/// A configuration. Fields that it may leave out have the values that the entry processes use in their place.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Configuration {
    /// Version; a configuration comes into force only if it is higher than the one in force.
    pub version: u64,
    /// Routes of the callers' requests.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Services that run the jobs.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Limits of all requests.
    pub limits: Limits,
}

/// A route of callers' requests to a service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Start of their paths.
    pub path_prefix: String,
    /// Service that runs the jobs.
    pub service: String,
    /// Time-out of a request, in milliseconds.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Part of the objective that is added to the stretched run time, in milliseconds.
    #[serde(default)]
    pub target_latency_ms: f64,
    /// Priority of the jobs; 0 is first.
    #[serde(default)]
    pub priority: u8,
    /// Maximum number of runs of a task.
    #[serde(default = "default_attempts")]
    pub max_attempts: u32,
    /// Objective of a job in expected run times.
    #[serde(default = "default_stretch")]
    pub stretch: f64,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Whether its workers refuse what does not fit.
    #[serde(default)]
    pub enforces_capacity: bool,
}

/// Limits of all requests.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Time-out for the headers of a request, in milliseconds.
    pub header_timeout_ms: u64,
}

fn default_attempts() -> u32 {
    1
}

fn default_stretch() -> f64 {
    1.0
}

/// Reads a configuration, or finds all fields that can't be read; warns of fields that no process reads.
///
/// # Errors
/// The text is not JSON; the error names line and column.
pub fn parse(
    text: &[u8],
    source: Source,
) -> Result<(Option<Configuration>, Vec<Finding>), serde_json::Error> {
    let value = serde_json::from_slice(text)?;
    let mut findings = shape::check(&value, source);
    if findings.iter().any(|f| f.severity == Severity::Error) {
        return Ok((None, findings));
    }
    match serde_json::from_slice(text) {
        Ok(configuration) => Ok((Some(configuration), findings)),
        // A field that stands there twice is not seen in the parsed value.
        Err(e) => {
            let place = format!("line {} column {}", e.line(), e.column());
            let message = e.to_string();
            let message = message.split(" at line ").next().unwrap_or_default();
            findings.push(Finding::error(source, place, message));
            Ok((None, findings))
        }
    }
}
