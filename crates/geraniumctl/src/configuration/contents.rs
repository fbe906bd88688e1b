//! Entries that can never match, and limits that contradict each other.

use std::collections::BTreeMap;

use super::finding::{Finding, Source, as_json};
use super::{Configuration, Route};

/// Checks the contents of a configuration.
pub fn check(cfg: &Configuration) -> Vec<Finding> {
    let mut out = Vec::new();
    if cfg.version == 0 {
        out.push(
            error("version".to_owned(), "version 0 never comes into force")
                .with_value(&cfg.version)
                .allowing("at least 1"),
        );
    }
    if cfg.routes.is_empty() {
        let message = "there is no route, so each request is refused";
        let place = "routes".to_owned();
        out.push(Finding::warning(Source::Checked, place, message));
    }
    check_routes(cfg, &mut out);
    check_services(cfg, &mut out);
    let limits = &cfg.limits;
    let mut positive = |name: &str, value: u64, message: &str| {
        if value == 0 {
            let finding = error(format!("limits.{name}"), message);
            out.push(finding.with_value(&value).allowing("at least 1"));
        }
    };
    let message = "no request with a body is accepted";
    positive("max_body_bytes", limits.max_body_bytes, message);
    let message = "each request times out before its headers are read";
    positive("header_timeout_ms", limits.header_timeout_ms, message);
    out
}

fn error(place: String, message: impl Into<String>) -> Finding {
    Finding::error(Source::Checked, place, message)
}

fn check_routes(cfg: &Configuration, out: &mut Vec<Finding>) {
    let mut by_match = BTreeMap::new();
    let mut by_name = BTreeMap::new();
    for (number, route) in cfg.routes.iter().enumerate() {
        let place = |field: &str| format!("routes[{number}].{field}");
        // The host of a request is compared without regard to case.
        let key = (route.host.to_ascii_lowercase(), &route.path_prefix);
        let first = *by_match.entry(key).or_insert(number);
        if first != number {
            let message = format!(
                "the route never matches, as routes[{first}] ({}) has the same host and prefix",
                as_json(&cfg.routes[first].name)
            );
            let allowed = "a prefix that no other route of the host has";
            let finding = error(place("path_prefix"), message).with_value(&route.path_prefix);
            out.push(finding.allowing(allowed));
        }
        let first = *by_name.entry(&route.name).or_insert(number);
        if first != number {
            let message = format!("routes[{first}] has the same name");
            let finding = Finding::warning(Source::Checked, place("name"), message);
            let allowed = "a name that no other route has";
            out.push(finding.with_value(&route.name).allowing(allowed));
        }
        if !cfg.services.iter().any(|s| s.name == route.service) {
            let finding = error(place("service"), "the service is not defined");
            let finding = finding.with_value(&route.service);
            out.push(finding.allowing("the name of an entry of services"));
        }
        check_match(route, &place, out);
        check_limits(route, &place, out);
    }
}

/// Finds hosts and prefixes that no request has.
fn check_match(route: &Route, place: &impl Fn(&str) -> String, out: &mut Vec<Finding>) {
    let is_host = |c: char| c.is_ascii_graphic() && !":/?#@".contains(c);
    if route.host.is_empty() || !route.host.chars().all(is_host) {
        let message = "the route never matches a request";
        let finding = error(place("host"), message).with_value(&route.host);
        out.push(finding.allowing("a host name without port"));
    }
    if !route.path_prefix.is_empty() && !route.path_prefix.starts_with('/') {
        let message = "the route never matches, as each path begins with /";
        let finding = error(place("path_prefix"), message).with_value(&route.path_prefix);
        out.push(finding.allowing("a prefix that begins with /, or none"));
    }
}

fn check_limits(route: &Route, place: &impl Fn(&str) -> String, out: &mut Vec<Finding>) {
    if route.max_attempts < 1 {
        let finding = error(place("max_attempts"), "a task runs at least once");
        out.push(
            finding
                .with_value(&route.max_attempts)
                .allowing("at least 1"),
        );
    }
    if route.stretch < 1.0 {
        let message = "the objective is below the expected run time";
        let finding = error(place("stretch"), message).with_value(&route.stretch);
        out.push(finding.allowing("at least 1"));
    }
    if route.target_latency_ms < 0.0 {
        let message = "the time beyond the run time is negative";
        let finding = error(place("target_latency_ms"), message);
        out.push(
            finding
                .with_value(&route.target_latency_ms)
                .allowing("at least 0"),
        );
    }
    let Some(timeout_ms) = route.timeout_ms else {
        return;
    };
    // A job that takes any time at all has an objective above `target_latency_ms`.
    #[expect(clippy::cast_precision_loss, reason = "time-outs are below 2^52 ms")]
    let is_below_objective = timeout_ms as f64 <= route.target_latency_ms;
    if timeout_ms == 0 || is_below_objective {
        let message = "the time-out is below the objective of each job";
        let finding = error(place("timeout_ms"), message).with_value(&timeout_ms);
        let allowed = format!(
            "more than target_latency_ms ({})",
            route.target_latency_ms.max(0.0)
        );
        out.push(finding.allowing(allowed));
    }
}

fn check_services(cfg: &Configuration, out: &mut Vec<Finding>) {
    let mut by_name = BTreeMap::new();
    for (number, service) in cfg.services.iter().enumerate() {
        let place = |field: &str| format!("services[{number}].{field}");
        let first = *by_name.entry(&service.name).or_insert(number);
        if first != number {
            let is_same = cfg.services[first].enforces_capacity == service.enforces_capacity;
            let allowed = "a name that no other service has";
            let finding = if is_same {
                let message = format!("services[{first}] defines the same service");
                Finding::warning(Source::Checked, place("name"), message)
            } else {
                let message = format!("services[{first}] defines the service in another way");
                error(place("name"), message)
            };
            out.push(finding.with_value(&service.name).allowing(allowed));
        } else if !cfg.routes.iter().any(|r| r.service == service.name) {
            let finding =
                Finding::warning(Source::Checked, place("name"), "no route uses this service");
            let allowed = "the service of an entry of routes";
            out.push(finding.with_value(&service.name).allowing(allowed));
        }
    }
}
