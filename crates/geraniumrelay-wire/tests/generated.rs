//! Checks that the committed types match the types generated from the proto files.

use std::fs;
use std::path::{Path, PathBuf};

/// Environment variable that makes the test rewrite the committed files before it compares them.
const REGENERATE: &str = "GERANIUMRELAY_REGENERATE";

/// Messages that callers or operators send as JSON; unknown fields are rejected as errors.
const STRICT_MESSAGES: [&str; 3] = ["TaskRequest", "JobRequest", "ApplySheet"];

/// Messages that are only exchanged between entry VMs and have no JSON encoding.
const BINARY_ONLY_MESSAGES: [&str; 12] = [
    "ForwardSubmit",
    "ForwardQuery",
    "ForwardCancel",
    "Heartbeat",
    "FetchSheet",
    "SheetUpdate",
    "HandedClaim",
    "HandOver",
    "HandOverReply",
    "FetchTargets",
    "PeerRequest",
    "PeerReply",
];

fn generate() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto/geraniumrelay.proto");
    let descriptors = protox::compile([proto], [root.join("proto")]).expect("proto compiles");
    let out_dir: PathBuf =
        std::env::temp_dir().join(format!("geraniumrelay-wire-{}", std::process::id()));
    fs::create_dir_all(&out_dir).expect("temporary directory");
    let mut cfg = prost_build::Config::new();
    cfg.out_dir(&out_dir);
    for message in &descriptors.file[0].message_type {
        let name = message.name();
        if BINARY_ONLY_MESSAGES.contains(&name) {
            continue;
        }
        cfg.type_attribute(name, "#[derive(serde::Serialize, serde::Deserialize)]");
        cfg.type_attribute(
            name,
            if STRICT_MESSAGES.contains(&name) {
                "#[serde(deny_unknown_fields)]"
            } else {
                "#[serde(default)]"
            },
        );
    }
    for field in [
        "JobRequest.team",
        "JobRequest.deadline_ms",
        "TaskRequest.expected_ms",
        "TableWrite.value",
        "JournalRow.answer",
        "EntryStatus.heard_ms_ago",
        "StatusReport.platform_ms_ago",
    ] {
        cfg.field_attribute(
            field,
            "#[serde(default, skip_serializing_if = \"Option::is_none\")]",
        );
    }
    cfg.compile_fds(descriptors).expect("types are generated");
    let code = fs::read_to_string(out_dir.join("geraniumrelay.v1.rs")).expect("generated file");
    fs::remove_dir_all(&out_dir).expect("temporary directory is removed");
    with_header("geraniumrelay.proto", &code)
}

/// Generates the messages between entry VMs that run leased tasks; they have no JSON encoding.
fn generate_leased() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto/leased.proto");
    let descriptors = protox::compile([proto], [root.join("proto")]).expect("proto compiles");
    let out_dir: PathBuf =
        std::env::temp_dir().join(format!("geraniumrelay-wire-leased-{}", std::process::id()));
    fs::create_dir_all(&out_dir).expect("temporary directory");
    let mut cfg = prost_build::Config::new();
    cfg.out_dir(&out_dir);
    cfg.compile_fds(descriptors).expect("types are generated");
    let file = out_dir.join("geraniumrelay.leased.v1.rs");
    let code = fs::read_to_string(file).expect("generated file");
    fs::remove_dir_all(&out_dir).expect("temporary directory is removed");
    with_header("leased.proto", &code)
}

fn with_header(proto: &str, code: &str) -> String {
    format!(
        "//! Generated from `proto/{proto}`; see `tests/generated.rs`.\n#![allow(\n    missing_docs,\n    clippy::all,\n    clippy::pedantic,\n    clippy::allow_attributes_without_reason\n)]\n\n{code}"
    )
}

#[test]
fn committed_types_match_the_proto_file() {
    check_committed_file("src/generated.rs", &generate());
    check_committed_file("src/leased.rs", &generate_leased());
}

fn check_committed_file(file: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(file);
    if std::env::var_os(REGENERATE).is_some() {
        fs::write(&path, expected).expect("types are written");
    }
    let committed = fs::read_to_string(&path).expect("committed types");
    assert!(
        committed == expected,
        "run the test with {REGENERATE}=1 and commit the result"
    );
}
