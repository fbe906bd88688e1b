//! Sheets: faults, consistency rules between rows, and changes against the sheet in force.

use geraniumrelay_core::modules::sheet::{
    MAX_SHEET_BYTES, Refusal, Sheet, SheetFault, SheetRules, decode_sheet, parse_sheet, plan,
};

const HEADER: &str = "service,data_centre,workers,slots,connections,request_kind,urgency,\
                      idempotent,deadline_ms,state,team,team_share\n";

const KIALLITAS_SAMPLE: &str = include_str!("../../../samples/kiallitas-pont.csv");

fn sheet(rows: &str) -> Sheet {
    parse_sheet(1, &format!("{HEADER}{rows}")).unwrap()
}

fn faults(text: &str) -> Vec<SheetFault> {
    parse_sheet(1, text).unwrap_err().faults
}

fn fault_positions(text: &str) -> Vec<(u64, String)> {
    let faults = faults(text).into_iter();
    faults.map(|fault| (fault.line, fault.column)).collect()
}

fn owned_positions(listed: &[(u64, &str)]) -> Vec<(u64, String)> {
    let listed = listed.iter();
    listed
        .map(|(line, column)| (*line, (*column).to_owned()))
        .collect()
}

#[test]
fn samples_have_no_faults() {
    assert_eq!(parse_sheet(1, KIALLITAS_SAMPLE).unwrap().rows.len(), 12);
    let rental = include_str!("../../../samples/rental-desk.csv");
    assert_eq!(parse_sheet(1, rental).unwrap().rows.len(), 16);
}

#[test]
fn all_faults_are_reported_at_once_with_their_lines() {
    let text = format!(
        "{HEADER}Bad,szeged,x,8,64,score,soon,maybe,0,on,,\n\n\
         pont,szeged,16,8\n\
         pont,szeged,16,0,64,score,urgent,no,2000,active,club,\n"
    );
    let columns = [
        "service",
        "workers",
        "urgency",
        "idempotent",
        "deadline_ms",
        "state",
    ];
    let mut expected_positions: Vec<_> = columns.iter().map(|column| (2, *column)).collect();
    expected_positions.extend([(4, "(line)"), (5, "slots"), (5, "team_share")]);
    assert_eq!(fault_positions(&text), owned_positions(&expected_positions));
    let fault = faults(&text)[1].to_string();
    assert_eq!(
        fault,
        "line 2, column workers: \"x\" is not allowed; a whole number from 0 to 100000"
    );
}

#[test]
fn share_without_a_team_is_refused() {
    let text = format!("{HEADER}pont,szeged,16,8,64,score,urgent,no,2000,active,,5\n");
    assert_eq!(fault_positions(&text), owned_positions(&[(2, "team")]));
}

#[test]
fn header_faults_are_reported() {
    let text = "service,service,data_centre,workers,slots,connections,request_kind,urgency,\
                idempotent,deadline_ms,colour\n";
    assert_eq!(
        fault_positions(text),
        owned_positions(&[(1, "service"), (1, "colour"), (1, "state")])
    );
}

#[test]
fn contradictory_and_duplicate_rows_are_refused() {
    let text = format!(
        "{HEADER}pont,szeged,16,8,64,score,urgent,no,2000,active,,\n\
         pont,szeged,17,8,64,rank,urgent,no,2000,draining,a,1\n\
         pont,gyor,17,8,64,score,bulk,yes,3000,active,a,2\n\
         pont,szeged,16,8,64,score,urgent,no,2000,active,,\n"
    );
    assert_eq!(
        fault_positions(&text),
        owned_positions(&[
            (3, "workers"),
            (3, "state"),
            (4, "urgency"),
            (4, "idempotent"),
            (4, "deadline_ms"),
            (4, "team_share"),
            (5, "request_kind"),
        ])
    );
}

#[test]
fn exports_with_byte_order_mark_and_crlf_are_parsed() {
    let text = format!("\u{feff}{}", KIALLITAS_SAMPLE.replace('\n', "\r\n"));
    assert_eq!(parse_sheet(1, &text).unwrap().rows.len(), 12);
    let broken = text.replacen("szeged,16", "szeged,none", 1);
    assert_eq!(fault_positions(&broken)[0], (2, "workers".to_owned()));
}

#[test]
fn empty_and_oversize_sheets_are_refused() {
    assert_eq!(faults(HEADER).len(), 1);
    assert_eq!(faults("").len(), 10);
    let row = "pont,szeged,16,8,64,score,urgent,no,2000,active,,\n";
    let text = format!("{HEADER}{}", row.repeat(MAX_SHEET_BYTES / row.len() + 1));
    assert_eq!(fault_positions(&text), owned_positions(&[(1, "(sheet)")]));
}

#[test]
fn invalid_utf8_is_reported_with_its_line() {
    let fault = decode_sheet(b"a\nb\nGy\xf5r").unwrap_err().faults.remove(0);
    assert_eq!((fault.line, fault.value.as_str()), (3, "byte 0xf5"));
}

#[test]
fn shares_are_indexed_by_team() {
    let sheet = sheet("pont,szeged,16,8,64,score,urgent,no,2000,active,club,7\n");
    let rules = SheetRules::new(&sheet);
    let service = &rules.services[&"pont".parse().unwrap()];
    assert_eq!(service.team_shares[&"club".parse().unwrap()], 7);
}

fn row(data_centre: &str, workers: u32, kind: &str, state: &str) -> String {
    format!("pont,{data_centre},{workers},8,64,{kind},urgent,no,2000,{state},,\n")
}

fn change_texts(base: &str, next: &str) -> Vec<String> {
    let changes = plan(Some(&sheet(base)), &sheet(next)).unwrap();
    changes.iter().map(ToString::to_string).collect()
}

#[test]
fn plan_describes_each_change_in_text() {
    let base = row("szeged", 16, "score", "active");
    let next = base.replace("16,8", "20,8").replace("urgent", "bulk");
    assert_eq!(
        change_texts(&base, &next),
        [
            "pont in szeged: capacity from 16 workers with 8 slots and 64 connections each \
             to 20 workers with 8 slots and 64 connections each",
            "pont, score: urgency from urgent to bulk",
        ]
    );
    assert!(change_texts(&base, &base).is_empty());
}

#[test]
fn states_advance_one_step_at_a_time_and_may_go_back() {
    let [active, draining, retired] =
        ["active", "draining", "retired"].map(|state| row("szeged", 16, "score", state));
    assert_eq!(
        change_texts(&active, &draining),
        ["pont in szeged: from active to draining: takes no new work and finishes what it has"]
    );
    assert_eq!(change_texts(&draining, &retired).len(), 1);
    assert_eq!(
        change_texts(&draining, &active),
        ["pont in szeged: from draining to active: the drain is taken back, takes new work again"]
    );
    assert_eq!(
        change_texts(&retired, &active),
        ["pont in szeged: from retired to active: back in service, takes new work"]
    );
    let refusals = plan(Some(&sheet(&active)), &sheet(&retired))
        .unwrap_err()
        .refusals;
    assert!(matches!(refusals[..], [Refusal::DrainSkipped { .. }]));
}

#[test]
fn active_deployments_and_services_must_not_be_removed() {
    let szeged = row("szeged", 16, "score", "active");
    let base = format!("{szeged}{}", row("gyor", 16, "score", "active"));
    let refusals = plan(Some(&sheet(&base)), &sheet(&szeged))
        .unwrap_err()
        .refusals;
    assert!(matches!(refusals[..], [Refusal::DeploymentMissing { .. }]));
    let other = szeged.replace("pont", "desk");
    let refusals = plan(Some(&sheet(&base)), &sheet(&other))
        .unwrap_err()
        .refusals;
    assert!(matches!(refusals[..], [Refusal::ServiceMissing { .. }]));
}

#[test]
fn draining_deployments_and_retired_services_may_be_removed() {
    let szeged = row("szeged", 16, "score", "active");
    let base = format!("{szeged}{}", row("gyor", 16, "score", "draining"));
    assert_eq!(
        change_texts(&base, &szeged),
        ["pont in gyor: leaves the sheet after it drained"]
    );
    let drained = row("szeged", 16, "score", "retired");
    let other = szeged.replace("pont", "desk");
    assert_eq!(
        change_texts(&drained, &other)[0],
        "pont: leaves the sheet after it drained"
    );
}
