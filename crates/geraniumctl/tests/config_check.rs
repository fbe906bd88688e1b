//! `geraniumctl config check`: output and exit codes.

use std::fs;
use std::path::PathBuf;

use clap::Parser as _;
use geraniumctl::{Cli, Exit, Failure, execute};
use serde_json::{Value, json};

fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{"name": "a", "host": "h", "path_prefix": "/", "service": "s", "stretch": 1.6}],
        "services": [{"name": "s"}],
        "limits": {"max_body_bytes": 1_000, "header_timeout_ms": 1_000}
    })
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Runs `config check` with these arguments; output, and failure.
fn run(args: &[&str]) -> (String, Result<(), Failure>) {
    let all = ["geraniumctl", "config", "check"].into_iter();
    let cli = Cli::parse_from(all.chain(args.iter().copied()));
    let mut out = Vec::new();
    let result = execute(&cli, &mut out);
    (String::from_utf8(out).unwrap(), result)
}

fn exit(result: &Result<(), Failure>) -> u8 {
    result.as_ref().map_or_else(|f| f.exit as u8, |()| 0)
}

/// Scripts tell the four cases apart by the exit code.
#[test]
fn each_kind_of_result_has_its_exit_code() {
    let good = file("good.json", &configuration(8).to_string());
    let good = good.to_str().unwrap();
    let (out, result) = run(&[good]);
    assert_eq!((exit(&result), out), (0, format!("{good}: no findings\n")));

    let mut unused = configuration(8);
    unused["services"]
        .as_array_mut()
        .unwrap()
        .push(json!({"name": "t"}));
    let unused = file("unused.json", &unused.to_string());
    let unused = unused.to_str().unwrap();
    let (out, result) = run(&[unused]);
    assert_eq!(exit(&result), Exit::Warnings as u8);
    assert_eq!(out.lines().count(), 1);
    assert!(
        out.starts_with(&format!("{unused}: services[1].name: warning: ")),
        "{out}"
    );
    let message = result.unwrap_err().to_string();
    assert_eq!(message, format!("{unused}: errors: 0, warnings: 1"));

    let mut bad = configuration(8);
    bad["routes"][0]["stretch"] = json!(0.5);
    bad["services"]
        .as_array_mut()
        .unwrap()
        .push(json!({"name": "t"}));
    let bad = file("bad.json", &bad.to_string());
    let (out, result) = run(&[bad.to_str().unwrap()]);
    assert_eq!(exit(&result), Exit::BadConfiguration as u8);
    assert_eq!(out.lines().count(), 2);
    assert!(
        out.lines()
            .next()
            .unwrap()
            .contains("routes[0].stretch: error: "),
        "{out}"
    );

    let broken = file("broken.json", "{\n\"version\": }");
    let (out, result) = run(&[broken.to_str().unwrap()]);
    assert_eq!((exit(&result), &*out), (Exit::File as u8, ""));
    let message = result.unwrap_err().to_string();
    assert!(message.contains("broken.json is not JSON: "), "{message}");
    assert!(message.contains("line 2 column 12"), "{message}");
    let (_, result) = run(&["does-not-exist.json"]);
    assert_eq!(exit(&result), Exit::File as u8);
}

#[test]
fn changes_against_another_file_are_listed_and_do_not_fail() {
    let old = file("old.json", &configuration(8).to_string());
    let mut new = configuration(9);
    new["routes"][0]["name"] = json!("b");
    let new = file("new.json", &new.to_string());
    let (old, new) = (old.to_str().unwrap(), new.to_str().unwrap());
    let (out, result) = run(&[new, "--against", old]);
    assert_eq!(exit(&result), 0);
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(
        lines,
        [
            format!("{new}: version: change: was 8; value: 9"),
            format!("{new}: routes[0]: change: added; value: \"b\""),
            format!("{old}: routes[0]: change: removed; value: \"a\""),
        ]
    );
    let (out, result) = run(&[old, "--against", new]);
    assert_eq!(exit(&result), Exit::BadConfiguration as u8);
    assert!(
        out.starts_with(&format!("{old}: version: error: ")),
        "{out}"
    );
    let (_, result) = run(&[new, "--against", "does-not-exist.json"]);
    assert_eq!(exit(&result), Exit::File as u8);
}

/// A comparison that was not made must not look like one without differences.
#[test]
fn an_error_in_the_other_file_is_an_error() {
    let new = file("new-2.json", &configuration(9).to_string());
    let old = file("old-2.json", "{\"version\": \"8\"}");
    let (new, old) = (new.to_str().unwrap(), old.to_str().unwrap());
    let (out, result) = run(&[new, "--against", old]);
    assert_eq!(exit(&result), Exit::BadConfiguration as u8);
    assert!(out.contains(&format!("{old}: version: error: ")), "{out}");
}

#[test]
fn findings_are_printed_as_json() {
    let mut cfg = configuration(8);
    cfg["routes"][0]["stretch"] = json!(0.5);
    let path = file("json.json", &cfg.to_string());
    let path = path.to_str().unwrap();
    let (out, result) = run(&[path, "--json"]);
    assert_eq!(exit(&result), Exit::BadConfiguration as u8);
    let report: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        report,
        json!({
            "file": path, "against": null, "errors": 1, "warnings": 0, "changes": 0,
            "findings": [{
                "severity": "error", "source": "checked", "place": "routes[0].stretch",
                "message": "the objective is below the expected run time",
                "value": "0.5", "allowed": "at least 1"
            }]
        })
    );
}

#[test]
fn help_shows_an_example_and_the_exit_codes() {
    let args = ["geraniumctl", "config", "check", "--help"];
    let help = Cli::try_parse_from(args).unwrap_err().to_string();
    assert!(help.contains("--against"), "{help}");
    assert!(
        help.contains("$ geraniumctl config check new.json"),
        "{help}"
    );
    for code in ["  0  ", "  9  ", "  10  ", "  11  "] {
        assert!(help.contains(code), "{help}");
    }
}
