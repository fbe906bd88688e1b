//! Findings on configurations: fields, contents, differences.

use geraniumctl::configuration::{Configuration, Finding, Severity, Source, check, compare, parse};
use geraniumrelay_adapter::Change;
use geraniumrelay_adapter::store::{CONFIGURATION_KEY, configuration};
use serde_json::{Value, json};

fn route(name: &str, prefix: &str) -> Value {
    json!({
        "name": name, "host": "jobs.example", "path_prefix": prefix, "service": "s",
        "timeout_ms": 1_500, "target_latency_ms": 60, "priority": 1, "max_attempts": 3, "stretch": 1.6
    })
}

/// A configuration without findings.
fn valid() -> Value {
    json!({
        "version": 8,
        "routes": [route("a", "/a/"), route("b", "/b/")],
        "services": [{"name": "s", "enforces_capacity": true}],
        "limits": {"max_body_bytes": 65_536, "header_timeout_ms": 2_000}
    })
}

/// The valid configuration with another value at `pointer`; without the field for `None`.
fn with(pointer: &str, value: Option<Value>) -> Value {
    let mut cfg = valid();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    let parent = cfg.pointer_mut(parent).unwrap();
    match (parent, value) {
        (Value::Array(list), Some(value)) => list[field.parse::<usize>().unwrap()] = value,
        (Value::Object(object), Some(value)) => drop(object.insert(field.to_owned(), value)),
        (Value::Object(object), None) => drop(object.remove(field)),
        (parent, value) => panic!("{parent} {value:?}"),
    }
    cfg
}

fn parsed(cfg: &Value) -> (Option<Configuration>, Vec<Finding>) {
    parse(cfg.to_string().as_bytes(), Source::Checked).unwrap()
}

/// All findings of a single configuration, as text.
fn findings(cfg: &Value) -> Vec<String> {
    let (cfg, mut findings) = parsed(cfg);
    findings.extend(cfg.iter().flat_map(check));
    findings.iter().map(Finding::to_string).collect()
}

/// Whether an entry process can read a configuration.
fn is_read_by_entry_process(text: &str) -> bool {
    let row = Change {
        key: CONFIGURATION_KEY.to_owned(),
        value: Some(text.as_bytes().to_vec()),
        version: 1,
    };
    configuration(&row).unwrap().is_ok()
}

#[test]
fn a_valid_configuration_has_no_findings() {
    assert!(findings(&valid()).is_empty(), "{:?}", findings(&valid()));
    let least = json!({
        "version": 1,
        "routes": [{"name": "a", "host": "h", "path_prefix": "", "service": "s"}],
        "services": [{"name": "s"}],
        "limits": {"max_body_bytes": 1, "header_timeout_ms": 1}
    });
    assert!(findings(&least).is_empty(), "{:?}", findings(&least));
    let without_timeout = with("/routes/0/timeout_ms", Some(Value::Null));
    assert!(findings(&without_timeout).is_empty());
}

/// An operator who mistypes several fields must see them all at once, with what is allowed.
#[test]
fn each_field_that_cannot_be_read_is_named_with_its_value_and_what_is_allowed() {
    let mut cfg = valid();
    cfg["version"] = json!(-1);
    cfg["routes"][1]["stretch"] = json!("fast");
    cfg["routes"][1]["priority"] = json!(256);
    cfg["routes"][0]["max_attempts"] = json!(1.5);
    cfg["routes"][0].as_object_mut().unwrap().remove("host");
    cfg["services"] = json!({"name": "s"});
    cfg["limits"] = Value::Null;
    assert_eq!(
        findings(&cfg),
        [
            "version: error: the value can't be read; value: -1; allowed: a whole number from 0 to 18446744073709551615",
            "routes[0].host: error: the field is missing; allowed: a string",
            "routes[0].max_attempts: error: the value can't be read; value: 1.5; allowed: a whole number from 0 to 4294967295",
            "routes[1].priority: error: the value can't be read; value: 256; allowed: a whole number from 0 to 255",
            "routes[1].stretch: error: the value can't be read; value: \"fast\"; allowed: a number",
            "services: error: the value can't be read; value: {\"name\":\"s\"}; allowed: a list",
            "limits: error: the value can't be read; value: null; allowed: an object",
        ]
    );
    assert_eq!(
        findings(&json!([])),
        ["top level: error: the value can't be read; value: []; allowed: an object"]
    );
}

/// A misspelt optional field is ignored by the entry processes, and its default is in force.
#[test]
fn a_field_that_no_process_reads_is_a_warning() {
    let findings = findings(&with("/routes/1/timout_ms", Some(json!(900))));
    assert_eq!(findings.len(), 1);
    let start = "routes[1].timout_ms: warning: no process reads this field; value: 900; allowed: ";
    assert!(findings[0].starts_with(start), "{findings:?}");
}

#[test]
fn text_that_is_not_json_is_refused_with_line_and_column() {
    let e = parse(b"{\n  \"version\": 8,,\n}", Source::Checked).unwrap_err();
    assert_eq!((e.line(), e.column()), (2, 16));
    assert!(parse(b"\xff", Source::Checked).is_err());
    assert!(parse(b"", Source::Checked).is_err());
}

/// Of two values of a field the parsed tree keeps one, while the entry processes refuse the configuration.
#[test]
fn a_field_that_stands_there_twice_is_an_error_with_line_and_column() {
    let text = valid().to_string().replacen('{', "{\"version\": 7,\n", 1);
    assert!(!is_read_by_entry_process(&text));
    let (cfg, findings) = parse(text.as_bytes(), Source::Checked).unwrap();
    assert!(cfg.is_none());
    assert_eq!(findings.len(), 1);
    let finding = findings[0].to_string();
    assert!(finding.starts_with("line 2 column "), "{finding}");
    assert!(
        finding.ends_with(": error: duplicate field `version`"),
        "{finding}"
    );
}

/// The tool would mislead if it accepted what the entry processes refuse, or refused what they accept.
#[test]
fn the_entry_processes_read_the_same_configurations() {
    let values = [
        json!(null),
        json!(true),
        json!(0),
        json!(-1),
        json!(1),
        json!(1.0),
        json!(2.5),
        json!(255),
        json!(256),
        json!(u64::from(u32::MAX) + 1),
        json!(u64::MAX),
        json!("x"),
        json!([]),
        json!({}),
        json!([1]),
    ];
    let mut pointers = vec![
        "/routes",
        "/services",
        "/limits",
        "/version",
        "/routes/0",
        "/services/0",
        "/new",
    ]
    .into_iter()
    .map(str::to_owned)
    .collect::<Vec<_>>();
    for (parent, fields) in [
        (
            "/routes/1",
            "name host path_prefix service timeout_ms target_latency_ms priority max_attempts stretch new",
        ),
        ("/services/0", "name enforces_capacity"),
        ("/limits", "max_body_bytes header_timeout_ms"),
    ] {
        pointers.extend(fields.split(' ').map(|f| format!("{parent}/{f}")));
    }
    let mut checked = 0;
    for pointer in &pointers {
        let is_in_list = pointer.ends_with(|c: char| c.is_ascii_digit());
        let missing = (!is_in_list).then_some(None);
        for value in values.iter().cloned().map(Some).chain(missing) {
            let text = with(pointer, value.clone()).to_string();
            let (cfg, _) = parse(text.as_bytes(), Source::Checked).unwrap();
            assert_eq!(
                cfg.is_some(),
                is_read_by_entry_process(&text),
                "{pointer}: {value:?}"
            );
            checked += 1;
        }
    }
    assert!(checked > 300, "{checked}");
}

/// Of routes with equal host and prefix, only the first one gets requests. Hosts are compared without case.
#[test]
fn routes_of_equal_host_and_prefix_are_errors() {
    let mut cfg = valid();
    cfg["routes"][1]["path_prefix"] = json!("/a/");
    cfg["routes"][1]["host"] = json!("Jobs.Example");
    assert_eq!(
        findings(&cfg),
        [
            "routes[1].path_prefix: error: the route never matches, as routes[0] (\"a\") has the same host and prefix; \
             value: \"/a/\"; allowed: a prefix that no other route of the host has"
        ]
    );
    cfg["routes"][1]["host"] = json!("other.example");
    assert!(findings(&cfg).is_empty());
}

#[test]
fn services_that_are_not_defined_or_not_used_are_found() {
    let mut cfg = valid();
    cfg["routes"][1]["service"] = json!("t");
    cfg["services"]
        .as_array_mut()
        .unwrap()
        .push(json!({"name": "u"}));
    assert_eq!(
        findings(&cfg),
        [
            "routes[1].service: error: the service is not defined; value: \"t\"; allowed: the name of an entry of services",
            "services[1].name: warning: no route uses this service; value: \"u\"; allowed: the service of an entry of routes",
        ]
    );
}

#[test]
fn entries_of_the_same_name_are_found() {
    let mut cfg = valid();
    cfg["routes"][1]["name"] = json!("a");
    let same = json!({"name": "s", "enforces_capacity": true});
    cfg["services"] = json!([same, same, {"name": "s"}]);
    let findings = findings(&cfg);
    assert!(
        findings[0].starts_with("routes[1].name: warning: "),
        "{findings:?}"
    );
    assert!(
        findings[1].starts_with("services[1].name: warning: "),
        "{findings:?}"
    );
    assert!(
        findings[2].starts_with("services[2].name: error: "),
        "{findings:?}"
    );
    assert_eq!(findings.len(), 3);
}

/// Each limit just outside of what is allowed is an error, and just inside it is not.
#[test]
fn limits_that_contradict_each_other_are_errors() {
    for (pointer, bad, good) in [
        ("/routes/1/timeout_ms", json!(60), json!(61)),
        ("/routes/1/timeout_ms", json!(0), json!(100)),
        ("/routes/1/target_latency_ms", json!(1_500), json!(1_499.5)),
        ("/routes/1/target_latency_ms", json!(-0.5), json!(0)),
        ("/routes/1/max_attempts", json!(0), json!(1)),
        ("/routes/1/stretch", json!(0.99), json!(1)),
        (
            "/routes/1/host",
            json!("jobs.example:80"),
            json!("other.example"),
        ),
        ("/routes/1/host", json!(""), json!("h")),
        ("/routes/1/path_prefix", json!("b/"), json!("")),
        ("/version", json!(0), json!(1)),
        ("/limits/max_body_bytes", json!(0), json!(1)),
        ("/limits/header_timeout_ms", json!(0), json!(1)),
    ] {
        let found = findings(&with(pointer, Some(bad.clone())));
        assert_eq!(found.len(), 1, "{pointer} {bad}: {found:?}");
        assert!(found[0].contains(": error: "), "{found:?}");
        assert!(found[0].contains("; value: "), "{found:?}");
        assert!(found[0].contains("; allowed: "), "{found:?}");
        let found = findings(&with(pointer, Some(good.clone())));
        assert!(found.is_empty(), "{pointer} {good}: {found:?}");
    }
    let found = findings(&with("/routes/1/timeout_ms", Some(json!(60))));
    assert!(
        found[0].starts_with("routes[1].timeout_ms: error: "),
        "{found:?}"
    );
}

fn differences(new: &Value, old: &Value) -> Vec<String> {
    let (new, old) = (parsed(new).0.unwrap(), parsed(old).0.unwrap());
    let found = compare(&new, &old);
    found.iter().map(Finding::to_string).collect()
}

#[test]
fn differences_are_listed_by_name() {
    let old = valid();
    let mut new = valid();
    new["version"] = json!(9);
    new["routes"] = json!([route("c", "/c/"), route("a", "/a/")]);
    new["routes"][1]["stretch"] = json!(2);
    new["routes"][1]["timeout_ms"] = Value::Null;
    new["services"][0]["enforces_capacity"] = json!(false);
    new["limits"]["max_body_bytes"] = json!(1);
    assert_eq!(
        differences(&new, &old),
        [
            "version: change: was 8; value: 9",
            "routes[0]: change: added; value: \"c\"",
            "routes[1].timeout_ms: change: was 1500; value: null",
            "routes[1].stretch: change: was 1.6; value: 2.0",
            "routes[1]: change: removed; value: \"b\"",
            "services[0].enforces_capacity: change: was true; value: false",
            "limits.max_body_bytes: change: was 65536; value: 1",
        ]
    );
}

/// The place of a removed entry is in the other file.
#[test]
fn a_removed_entry_is_found_in_the_other_configuration() {
    let mut new = valid();
    new["version"] = json!(9);
    new["routes"].as_array_mut().unwrap().remove(0);
    let (new, old) = (parsed(&new).0.unwrap(), parsed(&valid()).0.unwrap());
    let found = compare(&new, &old);
    let removed = found.iter().find(|f| f.source == Source::Against).unwrap();
    assert_eq!(
        (&*removed.place, removed.severity),
        ("routes[0]", Severity::Change)
    );
}

/// Entry processes ignore such a configuration without a word to the operator.
#[test]
fn a_version_that_is_not_higher_is_an_error() {
    for version in [7, 8] {
        let new = with("/version", Some(json!(version)));
        assert_eq!(
            differences(&new, &valid()),
            [format!(
                "version: error: the version is not higher, so the configuration does not come into force; \
                 value: {version}; allowed: at least 9"
            )]
        );
    }
    // The order of the routes has no effect, and defaults equal the same values written out.
    let mut new = valid();
    new["version"] = json!(9);
    new["routes"].as_array_mut().unwrap().reverse();
    assert_eq!(
        differences(&new, &valid()),
        ["version: change: was 8; value: 9"]
    );
}

/// Scripts read one finding a line, also where a name in the file has a line break.
#[test]
fn a_finding_is_one_line() {
    let mut cfg = valid();
    cfg["routes"][1]["service"] = json!("a\nb\u{1b}[2J");
    cfg["routes"][1]["x\ny"] = json!("z".repeat(500));
    for finding in findings(&cfg) {
        assert!(!finding.contains(|c: char| c.is_control()), "{finding:?}");
        assert!(finding.len() < 400, "{finding}");
    }
}

/// Every configuration of the platform was reported with a dozen warnings, for fields that have no effect here.
#[test]
fn fields_of_the_platform_without_effect_are_not_reported() {
    let value = json!({"version": 7,
        "routes": [{"name": "r", "host": "h.example", "path_prefix": "/q/", "kind": "unsafe", "timeout_ms": 1500,
            "target_latency_ms": 60, "priority": 0, "service": "s", "max_attempts": 2, "stretch": 1.6}],
        "services": [{"name": "s", "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false,
            "cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": true, "standby": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000}});
    assert_eq!(findings(&value), Vec::<String>::new());
}
