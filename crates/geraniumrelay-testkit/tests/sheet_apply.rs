//! Sheets from `geraniumctl` to force in every data centre, and what operators see.

use std::thread;
use std::time::{Duration, Instant};

use geraniumctl::Exit;
use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::operators::{CtlOutcome, credential, run_ctl, token_of};
use geraniumrelay_testkit::{Cluster, ClusterPlan};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

const SAMPLE: &str = include_str!("../../../samples/kiallitas-pont.csv");

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

fn three_data_centres() -> Cluster {
    let plan = ClusterPlan::new(0, 1);
    Cluster::start(plan.with_data_centres(&[("szeged", 1), ("gyor", 1), ("pecs", 1)]))
}

fn run(cluster: &Cluster, who: &str, action: &str, sheet: &str) -> CtlOutcome {
    let path = cluster.dir().join(format!("{who}.csv"));
    std::fs::write(&path, sheet).unwrap();
    let path = path.to_str().unwrap();
    let args = if action == "apply" {
        vec!["apply", path, "--yes"]
    } else {
        vec![action, path]
    };
    run_ctl(&cluster.operator_addresses(), who, &args)
}

fn assert_has(text: &str, parts: &[&str]) {
    for part in parts {
        assert!(text.contains(part), "\"{part}\" is missing in:\n{text}");
    }
}

#[test]
fn an_accepted_sheet_is_in_force_in_every_data_centre() {
    let cluster = three_data_centres();
    let sheet = SAMPLE.replace("gyor,16", "gyor,20");
    let planned = run(&cluster, "anna", "plan", &sheet);
    assert_has(
        &planned.text,
        &["on top of revision 1", "gyor: capacity from 16 workers"],
    );
    let applied = run(&cluster, "anna", "apply", &sheet);
    assert_eq!(applied.exit, None, "{}", applied.text);
    assert_has(
        &applied.text,
        &["accepted as revision 2", "szeged", "gyor", "pecs"],
    );
    let again = run(&cluster, "bela", "apply", &sheet);
    assert_eq!(again.exit, None, "{}", again.text);
    assert_has(&again.text, &["nothing changes"]);
    let entries = cluster.operator_addresses();
    for entry in &entries {
        let status = run_ctl(&[*entry], "anna", &["status"]).text;
        assert_has(&status, &["revision 2 in force here", "platform: answers"]);
    }
    let audit = run_ctl(&entries, "bela", &["audit", "--after", "1"]).text;
    assert_has(
        &audit,
        &["revision 2 (from 1)", "anna", "gyor: capacity from 16"],
    );
    let services = run_ctl(&entries, "bela", &["services"]).text;
    assert_has(&services, &["kiallitas-pont  gyor         active  20"]);
    let targets = run_ctl(&entries, "bela", &["targets"]).text;
    assert_has(&targets, &["szeged-t0", "open"]);
    let jobs = run_ctl(&entries, "bela", &["jobs", "--json"]).text;
    assert_has(&jobs, &["\"total\": 0"]);
}

#[test]
fn nothing_changes_without_a_known_token() {
    let cluster = three_data_centres();
    let before = cluster.platform.rows();
    let sheet = SAMPLE.replace("gyor,16", "gyor,20");
    let stranger = run(&cluster, "stranger", "apply", &sheet);
    assert_eq!(stranger.exit, Some(Exit::NotSignedIn), "{}", stranger.text);
    for query in ["status", "services", "targets", "jobs", "audit"] {
        let told = run_ctl(&cluster.operator_addresses(), "stranger", &[query]);
        assert_eq!(told.exit, Some(Exit::NotSignedIn), "{}", told.text);
    }
    assert_eq!(cluster.platform.rows(), before);
}

#[test]
fn bad_sheets_change_nothing() {
    let cluster = three_data_centres();
    let before = cluster.platform.rows();
    let cut_off: String = SAMPLE.split_inclusive('\n').take(9).collect();
    for sheet in [
        SAMPLE.replacen("szeged,16", "szeged,many", 1),
        cut_off,
        SAMPLE.replace("active", "retired"),
        "\u{0}".to_owned(),
    ] {
        let told = run(&cluster, "anna", "apply", &sheet);
        assert_eq!(told.exit, Some(Exit::BadSheet), "{}", told.text);
    }
    assert_eq!(cluster.platform.rows(), before);
}

#[test]
fn draining_refuses_new_work_and_finishes_what_runs() {
    let cluster = Cluster::start(ClusterPlan::new(1, 1));
    let caller = Caller::new();
    let entry = cluster.entries[0].address;
    let tickets = caller.tickets(entry, 2);
    let running = thread::spawn({
        let (caller, ticket) = (caller.clone(), tickets[0].clone());
        let job = job_of("kiallitas-pont", "score", &[1_500]);
        move || caller.submit(entry, &ticket, &job)
    });
    let until = Instant::now() + PATIENCE;
    while cluster.starts_per_task().is_empty() {
        assert!(Instant::now() < until, "the task has not started in time");
        thread::sleep(Duration::from_millis(5));
    }
    let draining = SAMPLE.replace("active", "draining");
    let told = run(&cluster, "anna", "apply", &draining);
    assert_has(&told.text, &["from active to draining", "in force"]);
    let refused = caller.submit(
        entry,
        &tickets[1],
        &job_of("kiallitas-pont", "score", &[10]),
    );
    assert!(
        matches!(&refused, RequestOutcome::Problem(p) if p.verdict == "NotRun" && p.reason == "service-leaving"),
        "{refused:?}"
    );
    let told = run(
        &cluster,
        "anna",
        "apply",
        &SAMPLE.replace("active", "retired"),
    );
    assert_has(&told.text, &["from draining to retired", "in force"]);
    assert!(running.join().unwrap().is_complete());
    let told = run(&cluster, "anna", "apply", SAMPLE);
    assert_has(&told.text, &["back in service"]);
    let ticket = caller.tickets(entry, 1).remove(0);
    let told = caller.submit(entry, &ticket, &job_of("kiallitas-pont", "score", &[10]));
    assert!(told.is_complete(), "{told:?}");
}

#[test]
fn callers_need_the_token_of_their_team_where_teams_are_set() {
    let club = credential("club");
    let plan = ClusterPlan::new(1, 1).with_setting("GERANIUMRELAY_TEAMS", &club);
    let cluster = Cluster::start(plan);
    let entry = cluster.entries[0].address;
    let caller = Caller::new();
    assert!(caller.tickets(entry, 1).is_empty());
    let member = Caller::new().with_token(&token_of("club"));
    let ticket = member.tickets(entry, 1).remove(0);
    let job = job_of("kiallitas-pont", "score", &[10]);
    for told in [
        caller.submit(entry, &ticket, &job),
        caller.cancel(entry, &ticket),
        caller.with_token("guess").submit(entry, &ticket, &job),
    ] {
        assert!(
            matches!(&told, RequestOutcome::Problem(p) if p.reason == "not-signed-in"),
            "{told:?}"
        );
    }
    let mut others = job.clone();
    others.team = Some("other".to_owned());
    let told = member.submit(entry, &ticket, &others);
    assert!(
        matches!(&told, RequestOutcome::Problem(p) if p.reason == "other-team"),
        "{told:?}"
    );
    assert!(cluster.starts_per_task().is_empty());
    assert_eq!(caller.get(entry, "/healthz").0, 200);
    let told = member.submit(entry, &ticket, &job);
    assert!(told.is_complete(), "{told:?}");
}
