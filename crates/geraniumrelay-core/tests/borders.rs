//! Parsing of arbitrary sheet and ticket texts: returns a value or an error and never panics.

use geraniumrelay_core::Ticket;
use geraniumrelay_core::modules::sheet::{SheetRules, parse_sheet};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the generated texts.
const SEED: u64 = 1;

const HEADER: &str = "service,data_centre,workers,slots,connections,request_kind,urgency,\
                      idempotent,deadline_ms,state,team,team_share";

fn cfg() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

/// Cells that are valid, nearly valid or arbitrary text.
fn cell() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-z]{1,8}",
        "[0-9]{1,20}",
        Just(String::new()),
        Just("active".to_owned()),
        Just("urgent".to_owned()),
        Just("yes".to_owned()),
        ".{0,12}",
    ]
}

fn rows() -> impl Strategy<Value = String> {
    let row = prop::collection::vec(cell(), 8..14).prop_map(|cells| cells.join(","));
    prop::collection::vec(row, 0..8).prop_map(|rows| format!("{HEADER}\n{}", rows.join("\n")))
}

proptest! {
    #![proptest_config(cfg())]

    #[test]
    fn arbitrary_text_is_a_sheet_or_has_faults(text in prop_oneof![rows(), ".{0,400}"]) {
        match parse_sheet(1, &text) {
            Ok(sheet) => {
                prop_assert!(!sheet.rows.is_empty());
                prop_assert_eq!(SheetRules::new(&sheet).revision, 1);
            }
            Err(e) => prop_assert!(!e.faults.is_empty()),
        }
    }

    #[test]
    fn arbitrary_text_is_a_ticket_or_an_error(
        text in prop_oneof!["[a-z]{1,9}\\.[0-9a-f]{1,17}\\.[0-9a-f]{1,17}\\.[0-9a-f]{1,33}", ".{0,99}"]
    ) {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
        }
    }
}
